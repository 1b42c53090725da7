#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

/// JSON-line logs through spdlog. Layer: state.
namespace yuccachute {

enum class log_level : std::uint8_t { debug, info, warning, error };

/// One named value of a log line. Keys and tokens of callers and operators are never passed here.
struct log_field {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double> value;
};

/// Starts logging to standard error, asynchronously, with the program's and the VM's name in each line.
void startLogging(std::string_view program, std::string_view vm, log_level least);

/// Writes one line: time, level, program, vm, event and the fields. Does nothing before startLogging().
void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

/// Returns the JSON object of one line without its time, for tests and for logEvent().
std::string formatEvent(std::string_view event, std::initializer_list<log_field> fields);

/// Writes out what is buffered.
void stopLogging();

} // namespace yuccachute
