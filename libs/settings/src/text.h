#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace yuccachute {

/// Splits text at each separator. Returns one empty part for empty text.
inline std::vector<std::string_view> splitText(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    for (;;) {
        const auto end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos)
            return parts;
        text.remove_prefix(end + 1);
    }
}

/// Prints a number without trailing zeros.
inline std::string formatNumber(double value)
{
    auto text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.')
        text.pop_back();
    return text;
}

} // namespace yuccachute
