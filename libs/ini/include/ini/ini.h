#pragma once

#include "verdict/verdict.h"

#include <string>
#include <string_view>
#include <vector>

/// INI text over inih, with the line of each value. Layer: state.
namespace yuccachute {

struct ini_value {
    std::string section;
    std::string key;
    std::string value;
    int line = 0;
};

/// Parses INI text. A line that begins with a blank goes on with the value of the line before, so that long
/// lists can be broken after a comma. Errors name the file and line: text that is neither a section nor a
/// value, a line that is too long for the library, or a key set twice in one section.
result<std::vector<ini_value>> parseIni(std::string_view fileName, std::string_view text);

/// Longest part of a value without a comma that can be written.
constexpr std::size_t mostIniPartBytes = 150;

/// Writes "key = value", broken after commas into lines that parseIni() takes.
std::string writeIniValue(std::string_view key, std::string_view value);

/// Reads a whole file; the failure names it.
result<std::string> readFile(const std::string& fileName);

} // namespace yuccachute
