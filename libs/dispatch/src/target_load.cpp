#include "target_load.h"

#include <algorithm>

namespace yuccachute {

namespace {

constexpr milliseconds reportMaxAge { 5000 };
/// Maximum age of the state that a report describes.
constexpr milliseconds maxReportLag { 1500 };
/// Poll interval while a target's load is known. A request sent to a target that is full with work unknown to
/// this dispatcher waits there for up to a second, until that work has ended. A report costs about 0.3 ms of
/// CPU time.
constexpr milliseconds reportInterval { 500 };
/// Poll interval while a target runs requests of others or does not answer: the maximum delay until a slot
/// that has become free is used.
constexpr milliseconds shortReportInterval { 100 };
/// Maximum time for which a target that is new to this dispatcher counts as full without a report.
constexpr milliseconds firstReportTimeout { 150 };
/// Time for which ids of finished requests in a report are ignored. A report describes the target about 50 ms
/// ago, and a cancelled run ends within one step of the engine. An id that is still listed afterwards belongs
/// to a run that was stopped without the target noticing.
constexpr milliseconds finishedRetention { 600 };
/// Consecutive missed reports after which a target is unresponsive. One lost packet delays an answer beyond
/// its timeout; on a link with 3% packet loss, two consecutive reports are missed about once in a thousand
/// times.
constexpr unsigned missesForUnresponsive = 2;

} // namespace

target_load::target_load(bool polled, steady_time now)
    : m_polled(polled)
    , m_addedAt(now)
{
}

bool target_load::fresh(steady_time now) const
{
    return now - m_reportTime < reportMaxAge;
}

bool target_load::leaving(steady_time now) const
{
    return fresh(now) && m_last.leaving;
}

std::optional<unsigned> target_load::slots(steady_time now) const
{
    return fresh(now) && m_last.slots > 0 ? std::optional(m_last.slots) : std::nullopt;
}

bool target_load::unresponsive() const
{
    return m_missed >= missesForUnresponsive;
}

unsigned target_load::slotsUsedByOthers(unsigned slots, steady_time now) const
{
    if (m_polled && !hasReported())
        return now - m_addedAt < firstReportTimeout ? slots : 0;
    if (!fresh(now))
        return 0;
    if (m_last.runs)
        return m_runsOfOthers;
    // Compared with the peak of own grants: grants that have ended since would otherwise count as work of
    // others until the next report and leave their slots empty.
    const unsigned reported = m_last.running + m_last.queued;
    return reported > m_grantsAtReport ? reported - m_grantsAtReport : 0;
}

void target_load::recordOwnGrants(unsigned own, steady_time now)
{
    constexpr int steps = 8;
    if (m_ownPeaks.empty() || now - m_ownPeaks.back().first > maxReportLag / steps)
        m_ownPeaks.emplace_back(now, own);
    else
        m_ownPeaks.back().second = std::max(m_ownPeaks.back().second, own);
    while (now - m_ownPeaks.front().first > maxReportLag)
        m_ownPeaks.pop_front();
}

void target_load::recordFinished(std::string requestId, steady_time now)
{
    if (!m_polled)
        return;
    m_finished.emplace_back(now, std::move(requestId));
    removeOldFinished(now);
}

void target_load::removeOldFinished(steady_time now)
{
    while (!m_finished.empty() && now - m_finished.front().first > finishedRetention)
        m_finished.pop_front();
}

bool target_load::startPollIfDue(steady_time now)
{
    if (m_pollPending || now < m_nextReport)
        return false;
    m_pollPending = true;
    return true;
}

void target_load::pollSoon(steady_time now)
{
    m_nextReport = std::min(m_nextReport, now + shortReportInterval);
}

void target_load::recordMiss(steady_time now)
{
    m_pollPending = false;
    ++m_missed;
    m_nextReport = now + shortReportInterval;
}

void target_load::markUnavailable(steady_time now)
{
    m_last.leaving = true;
    m_reportTime = now;
}

void target_load::report(
    const load_report& report, const std::set<std::string_view>& granted, unsigned own, steady_time now)
{
    m_last = report;
    m_reportTime = now;
    m_pollPending = false;
    m_missed = 0;
    m_runsOfOthers = report.runs ? countRunsOfOthers(granted, now) : 0;
    m_nextReport = now + (m_runsOfOthers > 0 ? shortReportInterval : reportInterval);
    recordOwnGrants(own, now);
    m_grantsAtReport = 0;
    for (const auto& [time, peak] : m_ownPeaks)
        m_grantsAtReport = std::max(m_grantsAtReport, peak);
}

unsigned target_load::countRunsOfOthers(const std::set<std::string_view>& granted, steady_time now)
{
    removeOldFinished(now);
    std::set<std::string_view> recentlyFinished;
    for (const auto& [time, id] : m_finished)
        recentlyFinished.insert(id);
    unsigned runsOfOthers = 0;
    unsigned ownRuns = 0;
    for (const auto& id : *m_last.runs) {
        if (granted.contains(id))
            ++ownRuns;
        else if (!recentlyFinished.contains(id))
            ++runsOfOthers;
    }
    // Own requests that are not running yet may be among the queued ones.
    const auto ownGrants = static_cast<unsigned>(granted.size());
    const auto ownWaiting = ownGrants - std::min(ownGrants, ownRuns);
    return runsOfOthers + m_last.queued - std::min(m_last.queued, ownWaiting);
}

} // namespace yuccachute
