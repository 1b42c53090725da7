#pragma once

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace yuccachute {

/// One line of a process's log.
struct parsed_line {
    nlohmann::json fields;
    std::string time;
    double seconds = 0; ///< Since midnight, for distances.
};

/// A field that is a text, or an empty string.
std::string textOf(const nlohmann::json& fields, const char* name);
/// A field that is a number, or 0.
double numberOf(const nlohmann::json& fields, const char* name);

/// Reads lines, each of which may have a prefix before its JSON object, in order of time. Others are left
/// out.
std::vector<parsed_line> readLines(std::istream& logs);

} // namespace yuccachute
