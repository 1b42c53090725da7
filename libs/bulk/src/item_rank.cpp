#include "bulk/bulk.h"

#include <algorithm>
#include <cmath>

namespace yuccachute {

namespace {

constexpr double averageKeep = 0.9;
/// An item that has more events than most is taken to need this share of a whole run.
constexpr double leastShareLeft = 0.05;
/// Pauses beyond this are an outage, and say nothing about the next item.
constexpr double mostStretch = 3;
/// Ranks lie in three ranges, one behind the other. The first begins further away than a run takes, so that
/// no rank passes while its item runs: dispatchers take places from what is overdue first.
constexpr std::chrono::minutes begunOffset { 2 };
constexpr std::chrono::minutes notBegunOffset { 10 };
constexpr std::chrono::hours lateOffset { 24 * 365 };

void follow(double& average, double value)
{
    average = averageKeep * average + (1 - averageKeep) * value;
}

milliseconds toMs(double ms)
{
    return milliseconds { std::llround(ms) };
}

} // namespace

void run_times::noteRun(milliseconds took, std::size_t events)
{
    if (events == 0)
        return;
    follow(m_runMs, static_cast<double>(took.count()));
    follow(m_eventMs, static_cast<double>(took.count()) / static_cast<double>(events));
}

void run_times::noteFinished(milliseconds sinceFirstEvent, std::size_t events)
{
    const double undisturbed = m_eventMs * static_cast<double>(events);
    if (undisturbed > 0)
        follow(m_stretch,
            std::clamp(static_cast<double>(sinceFirstEvent.count()) / undisturbed, 1.0, mostStretch));
}

milliseconds run_times::remaining(std::size_t events) const
{
    return toMs(std::max(m_runMs - static_cast<double>(events) * m_eventMs, leastShareLeft * m_runMs));
}

milliseconds run_times::wholeWithPauses() const
{
    return toMs(m_runMs * m_stretch);
}

steady_time rankOf(const item_outlook& item, const run_times& times, steady_time now)
{
    const auto remaining = times.remaining(item.events);
    const bool begun = item.events > 0;
    if (now + (begun ? remaining : times.wholeWithPauses()) > item.due)
        return now + lateOffset + remaining;
    return begun ? now + begunOffset + remaining : item.due + notBegunOffset;
}

} // namespace yuccachute
