#include "soak_ledger.h"

#include "resuming_caller.h"

#include <algorithm>
#include <set>

namespace yuccachute::soak {

using nlohmann::json;

namespace {

/// An ended job's items stop within this.
constexpr std::int64_t endTakesMs = 3000;
/// A target that leaves goes on serving for so long after the store has acknowledged it.
constexpr std::int64_t goesOnServingMs = 2000;
/// An entry that was out of touch with the store knows what has left after so long.
constexpr std::int64_t backInTouchMs = 3000;
constexpr std::size_t mostViolations = 30;

bool promisesNotRun(unsigned status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

void disturbance_log::begin(const std::string& part, std::int64_t now)
{
    const std::scoped_lock lock(m_mutex);
    m_intervals[part].push_back({ now, INT64_MAX });
}

void disturbance_log::end(const std::string& part, std::int64_t now)
{
    const std::scoped_lock lock(m_mutex);
    for (auto& one : m_intervals[part]) {
        if (one.to != INT64_MAX)
            continue;
        one.to = now;
        return;
    }
}

bool disturbance_log::calm(const std::string& part, std::int64_t from, std::int64_t to) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_intervals.find(part);
    if (found == m_intervals.end())
        return true;
    return std::none_of(found->second.begin(), found->second.end(),
        [&](const auto& one) { return one.from <= to && one.to >= from; });
}

const char* prefixOf(route_kind kind)
{
    switch (kind) {
    case route_kind::resumable:
        return "resumable";
    case route_kind::once:
        return "once";
    case route_kind::plain:
        return "plain";
    case route_kind::unsafe:
        break;
    }
    return "unsafe";
}

void ledger::violation(const std::string& what)
{
    const std::scoped_lock lock(m_mutex);
    if (m_violations.size() < mostViolations)
        m_violations.push_back(std::to_string(steadyMs()) + " " + what);
}

std::vector<std::string> ledger::violations() const
{
    const std::scoped_lock lock(m_mutex);
    return m_violations;
}

void ledger::add(seen_request request)
{
    const std::scoped_lock lock(m_mutex);
    m_requests.push_back(std::move(request));
}

void ledger::add(seen_job job)
{
    const std::scoped_lock lock(m_mutex);
    m_jobs.push_back(std::move(job));
}

std::vector<seen_request> ledger::requests() const
{
    const std::scoped_lock lock(m_mutex);
    return m_requests;
}

std::vector<seen_job> ledger::jobs() const
{
    const std::scoped_lock lock(m_mutex);
    return m_jobs;
}

void ledger::takePage(seen_job& job, std::size_t after, const json& page)
{
    if (page["total"] != job.items)
        violation("job " + job.id + ": total is " + page["total"].dump());
    const auto& results = page["results"];
    for (std::size_t i = 0; i < results.size(); ++i) {
        const auto text = results[i].dump();
        const auto position = after + i;
        if (position < job.positions.size()) {
            if (job.positions[position] != text)
                violation("job " + job.id + ": position " + std::to_string(position) + " has changed");
            continue;
        }
        const std::string item = results[i]["id"];
        std::string whole;
        for (int event = 1; event <= job.events; ++event)
            whole += (event > 1 ? "\n" : "") + item + "-" + std::to_string(event);
        const auto given = results[i].value("text", "");
        if (testing::versionsIn(given).size() > 1)
            violation("job " + job.id + ": item " + item + " holds events of two software versions");
        if (results[i]["state"] != "done" || testing::withoutVersions(given) != whole)
            violation("job " + job.id + ": item " + item + " is listed as " + text.substr(0, 200));
        job.positions.push_back(text);
    }
    std::set<std::string> items;
    for (const auto& text : job.positions) {
        if (!items.insert(json::parse(text)["id"]).second)
            violation("job " + job.id + ": an item is listed twice");
    }
}

void ledger::addLeaving(const std::string& target, std::int64_t acknowledgedMs)
{
    const std::scoped_lock lock(m_mutex);
    m_leaving[target] = acknowledgedMs;
}

void ledger::checkLeaving(const json& runs, const disturbance_log& log)
{
    std::map<std::string, std::string> entries;
    for (const auto& request : requests())
        entries[request.id] = request.entry;
    for (const auto& run : runs) {
        const auto left = m_leaving.find(run["server"]);
        const auto entry = entries.find(run["id"]);
        if (left == m_leaving.end() || entry == entries.end())
            continue;
        const auto reached = run["reached_ms"].get<std::int64_t>();
        const auto calm
            = [&](const std::string& part) { return log.calm(part, left->second - backInTouchMs, reached); };
        const bool inTouch = calm("store") && calm(entry->second) && calm("start of " + entry->second);
        if (inTouch && reached - left->second > goesOnServingMs)
            violation("request " + run["id"].get<std::string>() + " reached a target "
                + std::to_string(reached - left->second) + " ms after it had left, from " + entry->second);
    }
}

void ledger::checkRuns(
    const json& runs, const disturbance_log& log, const std::vector<std::string>& batches, bool strict)
{
    std::map<std::string, std::vector<const json*>> byId;
    for (const auto& run : runs)
        byId[run["id"]].push_back(&run);
    for (const auto& request : requests()) {
        const auto found = byId.find(request.id);
        const auto count = found == byId.end() ? 0 : found->second.size();
        const auto where = " (" + std::string(prefixOf(request.kind)) + " at " + request.entry + ")";
        const bool repeatable = request.kind == route_kind::resumable || request.kind == route_kind::plain;
        if (!repeatable && count > 1)
            violation("request " + request.id + " ran " + std::to_string(count) + " times" + where);
        if (promisesNotRun(request.status) && count > 0)
            violation("request " + request.id + " was answered " + std::to_string(request.status)
                + " and has run" + where);
        const bool broken
            = !request.left && (request.status == 0 || request.status == 502 || request.status == 504);
        if (strict && broken && count > 0)
            violation("request " + request.id + " ran and was broken off, status "
                + std::to_string(request.status) + where);
    }
    for (const auto& job : jobs()) {
        for (int item = 0; item < job.items; ++item) {
            const auto found = byId.find(job.id + "-" + std::to_string(item));
            if (found == byId.end())
                continue;
            if (!job.accepted && job.refusedAlways)
                violation("job " + job.id + " was refused always, and an item has run");
            for (const auto* run : found->second) {
                const auto began = (*run)["began_ms"].get<std::int64_t>();
                const bool late = job.endedMs != 0 && began > job.endedMs + endTakesMs;
                const bool calm = std::all_of(batches.begin(), batches.end(),
                    [&](const auto& batch) { return log.calm(batch, job.endedMs - endTakesMs, began); });
                if (late && calm && log.calm("store", job.endedMs - endTakesMs, began))
                    violation("job " + job.id + " was ended, and an item began "
                        + std::to_string(began - job.endedMs) + " ms later");
            }
        }
    }
}

} // namespace yuccachute::soak
