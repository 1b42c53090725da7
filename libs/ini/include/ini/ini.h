#pragma once

#include "verdict/verdict.h"

#include <string>
#include <string_view>
#include <vector>

/// INI parser based on inih that keeps the line number of each value, and a writer. Layer: state.
namespace yuccachute {

struct ini_value {
    std::string section;
    std::string key;
    std::string value;
    int line = 0;
};

/// Parses INI text. A line that begins with white space continues the value of the previous line, so that
/// long lists can be wrapped after a comma. Fails on a line that is neither a section header nor a value, on
/// a line longer than the buffer of inih, and on a key set twice in one section. The error names the file and
/// line.
result<std::vector<ini_value>> parseIni(std::string_view fileName, std::string_view text);

/// Maximum length of a written line of a value. A value is wrapped only after commas, so this also limits
/// each of its comma-separated parts.
constexpr std::size_t maxIniPartBytes = 150;

/// Returns "key = value", wrapped after commas into lines that parseIni() accepts.
std::string writeIniValue(std::string_view key, std::string_view value);

/// Reads a whole file. The error names the file.
result<std::string> readFile(const std::string& fileName);

} // namespace yuccachute
