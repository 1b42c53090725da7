#include "logging/logging.h"

#include "log_lines.h"

#include <algorithm>
#include <array>
#include <set>

namespace yuccachute {

namespace {

/// Fields in which an id can stand.
constexpr std::array<const char*, 3> idFields { "request_id", "job", "item" };
/// What happened to a process explains its requests of the next seconds.
constexpr double contextSeconds = 5;
constexpr std::array<std::string_view, 11> contextEvents { "configuration in force", "store does not answer",
    "store answers again", "dispatcher lost", "dispatcher is silent", "registration lapsed", "target gone",
    "target drains", "stopping", "started", "job taken by another" };

bool names(const parsed_line& line, const std::string& id)
{
    return std::any_of(idFields.begin(), idFields.end(),
        [&](const char* field) { return textOf(line.fields, field) == id; });
}

std::string format(const parsed_line& line)
{
    std::string text
        = line.time + ' ' + textOf(line.fields, "vm") + "  " + textOf(line.fields, "event") + ':';
    for (const auto& [name, value] : line.fields.items()) {
        const bool shown
            = name == "time" || name == "vm" || name == "event" || name == "program" || name == "level";
        if (!shown && value != "")
            text += ' ' + name + '=' + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text;
}

} // namespace

std::vector<std::string> timelineOf(std::string_view id, std::istream& logs)
{
    const auto lines = readLines(logs);
    const std::string wanted(id);
    std::set<std::string> vms;
    std::set<std::string> targets;
    double first = 0;
    double last = 0;
    for (const auto& line : lines) {
        if (!names(line, wanted))
            continue;
        vms.insert(textOf(line.fields, "vm"));
        targets.insert(textOf(line.fields, "target"));
        // A request's line is written at its end: it began earlier.
        const auto took = line.fields.value("took_ms", 0.0) / 1000;
        first = last == 0 ? line.seconds - took : std::min(first, line.seconds - took);
        last = line.seconds;
    }
    std::vector<std::string> timeline;
    for (const auto& line : lines) {
        const auto event = textOf(line.fields, "event");
        const bool context
            = std::find(contextEvents.begin(), contextEvents.end(), event) != contextEvents.end()
            && vms.contains(textOf(line.fields, "vm")) && line.seconds >= first - contextSeconds
            && line.seconds <= last
            && (!line.fields.contains("target") || targets.contains(textOf(line.fields, "target")));
        if (names(line, wanted))
            timeline.push_back("* " + format(line));
        else if (context)
            timeline.push_back("  " + format(line));
    }
    return timeline;
}

} // namespace yuccachute
