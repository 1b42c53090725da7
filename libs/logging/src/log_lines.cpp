#include "log_lines.h"

#include "json_input/json_input.h"

#include <algorithm>
#include <istream>

namespace yuccachute {

namespace {

using nlohmann::json;

double secondsOf(const std::string& time)
{
    // "2026-01-31T10:20:30.123+00:00"
    constexpr std::size_t clockBegin = 11;
    constexpr std::size_t clockSize = 12;
    if (time.size() < clockBegin + clockSize)
        return 0;
    try {
        return 3600 * std::stod(time.substr(clockBegin, 2)) + 60 * std::stod(time.substr(clockBegin + 3, 2))
            + std::stod(time.substr(clockBegin + 6, 6));
    } catch (const std::exception&) {
        return 0; // A line of another program.
    }
}

} // namespace

std::string textOf(const json& fields, const char* name)
{
    const auto found = fields.find(name);
    return found != fields.end() && found->is_string() ? found->get<std::string>() : std::string();
}

double numberOf(const json& fields, const char* name)
{
    const auto found = fields.find(name);
    return found != fields.end() && found->is_number() ? found->get<double>() : 0;
}

std::vector<parsed_line> readLines(std::istream& logs)
{
    std::vector<parsed_line> lines;
    for (std::string text; std::getline(logs, text);) {
        const auto brace = text.find('{');
        if (brace == std::string::npos)
            continue;
        auto fields = parseJson(std::string_view(text).substr(brace));
        if (!fields.is_object() || !fields.contains("event"))
            continue;
        auto time = textOf(fields, "time");
        const auto seconds = secondsOf(time);
        lines.push_back({ std::move(fields), std::move(time), seconds });
    }
    std::stable_sort(lines.begin(), lines.end(),
        [](const auto& left, const auto& right) { return left.time < right.time; });
    return lines;
}

} // namespace yuccachute
