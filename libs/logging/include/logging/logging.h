#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <iosfwd>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// JSON-line logs through spdlog. Layer: state.
namespace yuccachute {

enum class log_level : std::uint8_t { debug, info, warning, error };

/// One named value of a log line. Keys and tokens of callers and operators are never passed here.
struct log_field {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double> value;
};

/// Starts logging to standard output, asynchronously, with the program's and the VM's name in each line. From
/// then on a crash writes a last line with the signal and the stack ("FILE+OFFSET", for addr2line).
void startLogging(std::string_view program, std::string_view vm, log_level least);

/// Lines that were left out, because there were too many of them or nobody read the output. Such lines are
/// also counted in the log itself.
std::uint64_t droppedLogLines();

/// Lets so many lines pass in a second. Keeps the volume of the log bounded under load.
class log_budget {
public:
    explicit log_budget(unsigned perSecond)
        : m_perSecond(perSecond)
    {
    }
    bool take(std::chrono::steady_clock::time_point now);

private:
    unsigned m_perSecond;
    unsigned m_used = 0;
    std::chrono::steady_clock::time_point m_second;
};

/// Writes one line: time, level, program, vm, event and the fields. Does nothing before startLogging(). At
/// most some hundred lines a second pass; those of failures have a budget of their own, so that successes,
/// however many, never displace them.
void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

/// Returns the JSON object of one line without its time, for tests and for logEvent().
std::string formatEvent(std::string_view event, std::initializer_list<log_field> fields);

/// Writes out what is buffered.
void stopLogging();

/// Commit of the sources that this program was built from, with "-dirty" if they were changed since;
/// "unknown" outside of a checkout.
std::string_view buildRevision();

/// What the logs of all processes tell of one request, batch job or item, in order of time: the lines that
/// name its id, and what the processes concerned learned shortly before about the store, their peers, the
/// configuration and the targets that the request was sent to. Reads log lines, each of which may have a
/// prefix before its JSON object.
std::vector<std::string> timelineOf(std::string_view id, std::istream& logs);

/// Where callers lost, added up from the logs of all processes: a table of live requests and items that were
/// not served on time, by route, availability zone and reason, and a plot over time. Empty if there is no
/// line. A request that was refused and served later counts as refused; successes beyond the budget of a log
/// are missing.
std::string describeLosses(std::istream& logs);

} // namespace yuccachute
