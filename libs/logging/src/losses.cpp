#include "logging/logging.h"

#include "log_lines.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <set>
#include <sstream>
#include <tuple>

namespace yuccachute {

namespace {

using nlohmann::json;

constexpr double secondsPerBar = 2;
/// Of the objective: whoever waited longer in the queue was late because of it.
constexpr double waitedShare = 0.5;

/// What a caller lost, and why.
struct loss {
    std::string what; ///< Route of a live request, or "items".
    std::string zone;
    std::string reason;

    bool operator<(const loss& other) const
    {
        return std::tie(what, zone, reason) < std::tie(other.what, other.zone, other.reason);
    }
};

struct tally {
    std::map<loss, unsigned> losses;
    std::map<std::string, unsigned> asked; ///< By route, and "items".
    std::map<int, std::pair<unsigned, unsigned>> byTime; ///< Live requests and items lost, by bar.
};

/// What becomes of items is told by several lines.
struct item_history {
    unsigned revoked = 0;
    unsigned cut = 0;
};

std::string zoneOf(const std::map<std::string, std::string>& zones, const json& fields)
{
    const auto found = zones.find(textOf(fields, "vm"));
    return found == zones.end() ? "-" : found->second;
}

/// Why a live request was not served on time; empty if it was.
std::string reasonOf(const json& fields)
{
    const auto outcome = textOf(fields, "outcome");
    const auto objective = numberOf(fields, "objective_ms");
    if (outcome == "refused")
        return "refused: " + textOf(fields, "reason");
    if (outcome == "broken")
        return numberOf(fields, "status") == 200 ? "stream broken" : "no answer from the target";
    if (outcome == "failed at target")
        return "the target failed";
    if (outcome != "served" || objective == 0 || numberOf(fields, "first_event_ms") <= objective)
        return {};
    if (numberOf(fields, "waited_ms") >= waitedShare * objective)
        return "late: waited for a place";
    return numberOf(fields, "sends") > 1 ? "late: several targets" : "late: at the target";
}

std::string reasonOf(const item_history& item, bool done, bool changedHands)
{
    if (!done)
        return "given up";
    if (changedHands)
        return "late: its holder went";
    if (item.cut > item.revoked)
        return "late: cut off by targets";
    return item.revoked > 0 ? "late: called back for live requests" : "late: waited for a place";
}

tally count(const std::vector<parsed_line>& lines)
{
    tally sum;
    std::map<std::string, std::string> zones;
    std::set<std::string> movedJobs;
    std::map<std::string, item_history> items;
    const auto lost = [&](const parsed_line& line, const std::string& what, const std::string& reason) {
        ++sum.losses[{ what, zoneOf(zones, line.fields), reason }];
        const auto bar = static_cast<int>((line.seconds - lines.front().seconds) / secondsPerBar);
        ++(what == "items" ? sum.byTime[bar].second : sum.byTime[bar].first);
    };
    for (const auto& line : lines) {
        const auto event = textOf(line.fields, "event");
        if (event == "started") {
            zones[textOf(line.fields, "vm")] = textOf(line.fields, "zone");
        } else if (event == "job without holder") {
            movedJobs.insert(textOf(line.fields, "job"));
        } else if (event == "item run") {
            auto& item = items[textOf(line.fields, "item")];
            const auto reason = textOf(line.fields, "reason");
            item.revoked += reason == "revoked" ? 1 : 0;
            item.cut += numberOf(line.fields, "end") == 2 ? 1 : 0;
        } else if (event == "item listed") {
            ++sum.asked["items"];
            const bool done = numberOf(line.fields, "done") != 0;
            if (!done || numberOf(line.fields, "late_ms") > 0)
                lost(line, "items",
                    reasonOf(items[textOf(line.fields, "item")], done,
                        movedJobs.contains(textOf(line.fields, "job"))));
        } else if (event == "request" && !textOf(line.fields, "route").empty()) {
            ++sum.asked[textOf(line.fields, "route")];
            if (const auto reason = reasonOf(line.fields); !reason.empty())
                lost(line, textOf(line.fields, "route"), reason);
        }
    }
    return sum;
}

std::string format(const tally& sum)
{
    std::ostringstream text;
    text << "lost  of     what             zone             reason\n";
    std::vector<std::pair<unsigned, loss>> order;
    for (const auto& [one, number] : sum.losses)
        order.emplace_back(number, one);
    std::stable_sort(order.begin(), order.end(),
        [](const auto& left, const auto& right) { return left.first > right.first; });
    for (const auto& [number, one] : order)
        text << std::left << std::setw(6) << number << std::setw(7) << sum.asked.at(one.what) << std::setw(17)
             << one.what << std::setw(17) << one.zone << one.reason << '\n';
    text << "\nsecond  live  items\n";
    for (const auto& [bar, lost] : sum.byTime)
        text << std::left << std::setw(8) << bar * secondsPerBar << std::setw(6) << lost.first << std::setw(6)
             << lost.second << std::string(std::min(60u, lost.first), '#')
             << std::string(std::min(60u, lost.second), 'o') << '\n';
    return text.str();
}

} // namespace

std::string describeLosses(std::istream& logs)
{
    const auto lines = readLines(logs);
    return lines.empty() ? std::string() : format(count(lines));
}

} // namespace yuccachute
