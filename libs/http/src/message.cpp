#include "http/http.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>

namespace yuccachute {

namespace {

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    auto same = [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); };
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), same);
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool escape = text[i] == '%' && i + 2 < text.size()
            && std::isxdigit(static_cast<unsigned char>(text[i + 1]))
            && std::isxdigit(static_cast<unsigned char>(text[i + 2]));
        if (escape) {
            decoded
                += static_cast<char>(std::strtol(std::string(text.substr(i + 1, 2)).c_str(), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i] == '+' ? ' ' : text[i];
        }
    }
    return decoded;
}

} // namespace

std::string_view findHeader(const http_headers& headers, std::string_view name)
{
    for (const auto& [key, value] : headers) {
        if (equalsIgnoringCase(key, name))
            return value;
    }
    return {};
}

void removeHeader(http_headers& headers, std::string_view name)
{
    std::erase_if(headers, [name](const auto& field) { return equalsIgnoringCase(field.first, name); });
}

void replaceHeader(http_headers& headers, std::string_view name, std::string value)
{
    removeHeader(headers, name);
    headers.emplace_back(name, std::move(value));
}

std::string queryParameter(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto end = query.find('&');
        const auto pair = query.substr(0, end);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string() : percentDecode(pair.substr(equals + 1));
        if (end == std::string_view::npos)
            break;
        query.remove_prefix(end + 1);
    }
    return {};
}

bool isFramed(const http_reply& head)
{
    constexpr unsigned noContent = 204;
    constexpr unsigned notModified = 304;
    if (head.status == noContent || head.status == notModified)
        return true;
    const auto coding = findHeader(head.headers, "Transfer-Encoding");
    if (coding.empty())
        return !findHeader(head.headers, "Content-Length").empty();
    // With other codings than "chunked" as the last one, the body ends with its connection.
    const auto comma = coding.find_last_of(',');
    auto last = comma == std::string_view::npos ? coding : coding.substr(comma + 1);
    last.remove_prefix(std::min(last.find_first_not_of(" \t"), last.size()));
    return equalsIgnoringCase(last.substr(0, last.find_last_not_of(" \t") + 1), "chunked");
}

bool isValidHeader(std::string_view name, std::string_view value)
{
    constexpr std::string_view tokenPunctuation = "!#$%&'*+-.^_`|~";
    const auto isTokenCharacter = [&](unsigned char letter) {
        return std::isalnum(letter)
            || tokenPunctuation.find(static_cast<char>(letter)) != std::string_view::npos;
    };
    return !name.empty() && std::all_of(name.begin(), name.end(), isTokenCharacter)
        && std::none_of(value.begin(), value.end(),
            [](unsigned char letter) { return letter != '\t' && std::iscntrl(letter); });
}

bool isValidTarget(std::string_view target)
{
    return target.starts_with('/') && std::none_of(target.begin(), target.end(), [](unsigned char letter) {
        return letter == ' ' || std::iscntrl(letter);
    });
}

std::pair<std::string, std::uint16_t> splitAddress(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return { std::string(address), 0 };
    std::uint16_t port = 0;
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    return { std::string(address.substr(0, colon)), port };
}

} // namespace yuccachute
