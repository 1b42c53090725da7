#include "dispatch/dispatch.h"

#include <algorithm>

namespace yuccachute {

namespace {

constexpr milliseconds reportMaxAge { 5000 };
/// A report may describe the target as it was so long ago.
constexpr milliseconds reportLag { 1500 };
/// Without doubt about a target it is asked twice a second: a request that is sent into work that this
/// dispatcher does not know of waits for that work's end, up to a second. A report costs some 0.3 ms of
/// processor time.
constexpr milliseconds reportInterval { 500 };
/// While a target works on what others sent, or does not answer: a slot that comes free is seen this soon.
constexpr milliseconds reportIntervalInDoubt { 100 };
/// A target that is new to this dispatcher counts as full until its first report, for so long at most.
constexpr milliseconds firstReportPatience { 150 };
/// A report shows the target as it was some 50 ms ago, and a run that is cancelled ends within a step of the
/// engine; an id that is still named after this belongs to a run whose end did not reach the target.
constexpr milliseconds endedMemory { 600 };
/// One lost packet delays an answer beyond its timeout; two reports in a row are missed once in a thousand
/// times on a link that loses 3 of 100.
constexpr unsigned missedReports = 2;

} // namespace

target_load::target_load(bool asked, steady_time now)
    : m_asked(asked)
    , m_listedSince(now)
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

bool target_load::silent() const
{
    return m_missed >= missedReports;
}

unsigned target_load::foreignWork(unsigned slots, steady_time now) const
{
    if (m_asked && !known())
        return now - m_listedSince < firstReportPatience ? slots : 0;
    if (!fresh(now))
        return 0;
    if (m_last.runs)
        return m_foreignRuns;
    // Grants that ended meanwhile would otherwise count as foreign until the next report, and leave their
    // slots empty.
    const unsigned reported = m_last.running + m_last.queued;
    return reported > m_grantsAtReport ? reported - m_grantsAtReport : 0;
}

void target_load::noteOwn(unsigned own, steady_time now)
{
    constexpr int steps = 8;
    if (m_ownPeaks.empty() || now - m_ownPeaks.back().first > reportLag / steps)
        m_ownPeaks.emplace_back(now, own);
    else
        m_ownPeaks.back().second = std::max(m_ownPeaks.back().second, own);
    while (now - m_ownPeaks.front().first > reportLag)
        m_ownPeaks.pop_front();
}

void target_load::ended(std::string requestId, steady_time now)
{
    if (!m_asked)
        return;
    m_ended.emplace_back(now, std::move(requestId));
    forgetEnded(now);
}

void target_load::forgetEnded(steady_time now)
{
    while (!m_ended.empty() && now - m_ended.front().first > endedMemory)
        m_ended.pop_front();
}

bool target_load::takeDue(steady_time now)
{
    if (m_waiting || now < m_nextReport)
        return false;
    m_waiting = true;
    return true;
}

void target_load::askSoon(steady_time now)
{
    m_nextReport = std::min(m_nextReport, now + reportIntervalInDoubt);
}

void target_load::missed(steady_time now)
{
    m_waiting = false;
    ++m_missed;
    m_nextReport = now + reportIntervalInDoubt;
}

void target_load::refusedByItself(steady_time now)
{
    m_last.leaving = true;
    m_reportTime = now;
}

void target_load::report(
    const load_report& report, const std::set<std::string_view>& granted, unsigned own, steady_time now)
{
    m_last = report;
    m_reportTime = now;
    m_waiting = false;
    m_missed = 0;
    m_foreignRuns = report.runs ? unknownRuns(granted, now) : 0;
    m_nextReport = now + (m_foreignRuns > 0 ? reportIntervalInDoubt : reportInterval);
    noteOwn(own, now);
    m_grantsAtReport = 0;
    for (const auto& [time, peak] : m_ownPeaks)
        m_grantsAtReport = std::max(m_grantsAtReport, peak);
}

unsigned target_load::unknownRuns(const std::set<std::string_view>& granted, steady_time now)
{
    forgetEnded(now);
    std::set<std::string_view> lately;
    for (const auto& [time, id] : m_ended)
        lately.insert(id);
    unsigned foreign = 0;
    unsigned ownRuns = 0;
    for (const auto& id : *m_last.runs) {
        if (granted.contains(id))
            ++ownRuns;
        else if (!lately.contains(id))
            ++foreign;
    }
    // Own requests that do not run yet may be those that wait.
    const auto ownGrants = static_cast<unsigned>(granted.size());
    const auto ownWaiting = ownGrants - std::min(ownGrants, ownRuns);
    return foreign + m_last.queued - std::min(m_last.queued, ownWaiting);
}

} // namespace yuccachute
