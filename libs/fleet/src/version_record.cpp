#include "fleet/fleet.h"

#include <cctype>

namespace yuccachute {

namespace {

/// Versions and names of services may contain any character, keys cannot.
std::string encodeName(std::string_view name)
{
    std::string encoded;
    for (const unsigned char letter : name) {
        constexpr std::string_view digits = "0123456789abcdef";
        if (std::isalnum(letter) || letter == '.' || letter == '-') {
            encoded += static_cast<char>(letter);
            continue;
        }
        encoded += '_';
        encoded += digits[letter >> 4];
        encoded += digits[letter & 15];
    }
    return encoded;
}

} // namespace

std::string versionsPrefixOf(std::string_view service)
{
    return std::string(versionsPrefix) + encodeName(service) + '/';
}

std::string versionKey(const service_version& recorded)
{
    return versionsPrefixOf(recorded.service) + encodeName(recorded.version);
}

std::string encodeVersion(const service_version& recorded)
{
    return recorded.service + '\n' + recorded.version;
}

result<service_version> decodeVersion(std::string_view document)
{
    const auto end = document.find('\n');
    if (end == std::string_view::npos)
        return notRun(failure_kind::internal, "version record: service and version are not on two lines");
    return service_version { std::string(document.substr(0, end)), std::string(document.substr(end + 1)) };
}

} // namespace yuccachute
