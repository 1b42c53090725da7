#include "serving/serving.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace yuccachute {

namespace {

constexpr std::array<std::string_view, 10> hopByHopHeaders { "connection", "keep-alive", "proxy-connection",
    "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
    "content-length" };

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
        [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return lower;
}

/// Whether the comma-separated list of a Connection header, such as "close, X-Hop", contains `name`. Ignores
/// the case of the list; `name` must be in lower case.
bool listContains(std::string_view list, std::string_view name)
{
    const auto lower = lowerCase(list);
    for (std::size_t begin = 0; begin < lower.size();) {
        auto end = std::min(lower.find(',', begin), lower.size());
        auto item = std::string_view(lower).substr(begin, end - begin);
        while (item.starts_with(' '))
            item.remove_prefix(1);
        while (item.ends_with(' '))
            item.remove_suffix(1);
        if (item == name)
            return true;
        begin = end + 1;
    }
    return false;
}

} // namespace

request_identity identityOf(const http_request& request, std::string_view customer)
{
    const bool raw = !request.target.empty();
    const std::array<std::string_view, 7> parts { request.method, findHeader(request.headers, "Host"),
        findHeader(request.headers, "Authorization"), customer, raw ? request.target : request.path,
        raw ? std::string_view() : request.query, request.body };
    return identify(parts);
}

http_headers endToEndHeaders(const http_headers& headers)
{
    const auto connection = findHeader(headers, "Connection");
    http_headers forwarded;
    for (const auto& [name, value] : headers) {
        const auto lower = lowerCase(name);
        const bool hopByHop
            = std::find(hopByHopHeaders.begin(), hopByHopHeaders.end(), lower) != hopByHopHeaders.end()
            || listContains(connection, lower) || lower == "expect";
        if (!hopByHop)
            forwarded.emplace_back(name, value);
    }
    return forwarded;
}

} // namespace yuccachute
