#include "live_load.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace yuccachute {

namespace {

/// Approximate time from a revocation until the item has left its target.
constexpr milliseconds intervalLength { 20 };
constexpr std::int64_t intervalsKept = 250;

/// Refusals further apart belong to different periods: an overloaded group refuses tens of requests per
/// second.
constexpr milliseconds maxRefusalGap { 500 };
constexpr double newestPeriodWeight = 0.3;
/// Number of refusals from which a period has full weight in the mean. Periods of one or two refusals are
/// frequent but affect hardly any caller.
constexpr double refusalsForFullWeight = 10;
/// Approximate time to serve the queue that remains at the end of a period.
constexpr milliseconds queueDrainTime { 300 };
/// A longer period is due to a lack of targets and does not predict the length of the next one.
constexpr double maxPeriodMs = 10000;

double toMs(steady_time::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

std::int64_t intervalNumber(steady_time time)
{
    return time.time_since_epoch() / intervalLength;
}

} // namespace

void arrival_history::record(steady_time now)
{
    const auto number = intervalNumber(now);
    if (m_intervals.empty() || m_intervals.back().first != number)
        m_intervals.emplace_back(number, 0);
    ++m_intervals.back().second;
    while (m_intervals.front().first <= number - intervalsKept)
        m_intervals.pop_front();
}

unsigned arrival_history::p95Arrivals(steady_time now) const
{
    constexpr std::size_t exceeding = intervalsKept / 20;
    std::vector<unsigned> counts;
    for (const auto& [number, count] : m_intervals) {
        if (number > intervalNumber(now) - intervalsKept)
            counts.push_back(count);
    }
    // Intervals without arrivals are not kept: if all kept ones are within the top 5%, the percentile is 0.
    if (counts.size() <= exceeding)
        return 0;
    std::nth_element(counts.begin(), counts.begin() + exceeding, counts.end(), std::greater<>());
    return counts[exceeding];
}

void overload_periods::recordRefusal(steady_time now)
{
    if (now - m_last > maxRefusalGap) {
        const double length = std::min(toMs(m_last - m_periodStart), maxPeriodMs);
        m_meanLengthMs += newestPeriodWeight * std::min(1.0, m_refusals / refusalsForFullWeight)
            * (length - m_meanLengthMs);
        m_periodStart = now;
        m_refusals = 0;
    }
    m_last = now;
    ++m_refusals;
}

milliseconds overload_periods::retryDelay(steady_time now) const
{
    const bool overloaded = now - m_last <= maxRefusalGap;
    const double elapsed = overloaded ? std::min(toMs(now - m_periodStart), maxPeriodMs) : 0;
    return milliseconds { static_cast<std::int64_t>(std::max(m_meanLengthMs, elapsed)) } + queueDrainTime;
}

} // namespace yuccachute
