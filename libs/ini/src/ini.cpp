#include "ini/ini.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <iterator>
#include <set>

namespace yuccachute {

namespace {

/// State of one parse. The value handler of inih does not receive the line number, so readLine() counts
/// lines.
struct ini_parse {
    std::string_view rest;
    int line = 0;
    bool continued = false; ///< The line begins with white space, so it continues a value.
    std::string fileName;
    std::vector<ini_value> values;
    std::set<std::pair<std::string, std::string>> seen;
    std::string problem;

    void fail(const std::string& message)
    {
        if (problem.empty())
            problem = fileName + ':' + std::to_string(line) + ": " + message;
    }
};

char* readLine(char* buffer, int size, void* stream)
{
    auto& parse = *static_cast<ini_parse*>(stream);
    if (parse.rest.empty())
        return nullptr;
    ++parse.line;
    parse.continued = parse.rest.front() == ' ' || parse.rest.front() == '\t';
    const auto end = parse.rest.find('\n');
    const auto length = end == std::string_view::npos ? parse.rest.size() : end + 1;
    const auto copied = std::min(length, static_cast<std::size_t>(size - 1));
    if (copied < length)
        parse.fail("the line is longer than " + std::to_string(size - 2) + " characters");
    std::memcpy(buffer, parse.rest.data(), copied);
    buffer[copied] = '\0';
    parse.rest.remove_prefix(length);
    return buffer;
}

int addValue(void* user, const char* section, const char* key, const char* value)
{
    auto& parse = *static_cast<ini_parse*>(user);
    const bool repeated = !parse.seen.emplace(section, key).second;
    if (repeated && parse.continued && !parse.values.empty() && parse.values.back().key == key) {
        parse.values.back().value += value;
        return parse.problem.empty();
    }
    if (repeated)
        parse.fail('[' + std::string(section) + "] " + key + ": set twice");
    parse.values.push_back({ section, key, value, parse.line });
    return parse.problem.empty();
}

} // namespace

result<std::vector<ini_value>> parseIni(std::string_view fileName, std::string_view text)
{
    ini_parse parse;
    parse.rest = text;
    parse.fileName = std::string(fileName);
    const int invalidLine = ini_parse_stream(readLine, &parse, addValue, &parse);
    if (!parse.problem.empty())
        return notRun(failure_kind::bad_request, parse.problem);
    if (invalidLine != 0)
        return notRun(failure_kind::bad_request,
            parse.fileName + ':' + std::to_string(invalidLine) + ": neither [section] nor key = value");
    return std::move(parse.values);
}

std::string writeIniValue(std::string_view key, std::string_view value)
{
    std::string text = std::string(key) + " = ";
    std::size_t lineLength = 0;
    while (!value.empty()) {
        const auto comma = value.find(',');
        const auto part = value.substr(0, comma == std::string_view::npos ? value.size() : comma + 1);
        if (lineLength > 0 && lineLength + part.size() > maxIniPartBytes) {
            text += "\n  ";
            lineLength = 0;
        }
        text += part;
        lineLength += part.size();
        value.remove_prefix(part.size());
    }
    return text + '\n';
}

result<std::string> readFile(const std::string& fileName)
{
    std::ifstream file(fileName, std::ios::binary);
    if (!file)
        return notRun(failure_kind::not_found, fileName + ": cannot be read");
    return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace yuccachute
