#include "dispatch/dispatch.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace yuccachute {

milliseconds rate_budget::take(double amount, double perSecond, steady_time now)
{
    if (perSecond <= 0)
        return milliseconds { 0 };
    // An amount above the capacity would never be available: it overdraws a full bucket instead.
    const double capacity = std::max(perSecond, 1.0);
    const double elapsed = m_started ? std::chrono::duration<double>(now - m_last).count() : 1.0;
    m_level = m_started ? std::min(capacity, m_level + elapsed * perSecond) : capacity;
    m_started = true;
    m_last = now;
    const double needed = std::min(amount, capacity);
    if (m_level >= needed) {
        m_level -= amount;
        return milliseconds { 0 };
    }
    return milliseconds { std::max<std::int64_t>(
        1, std::llround(std::ceil((needed - m_level) / perSecond * 1000))) };
}

void retry_budget::countRequest(double share)
{
    m_level = std::min(maxLevel, m_level + share);
}

bool retry_budget::takeRetry()
{
    if (m_level < 1)
        return false;
    m_level -= 1;
    return true;
}

namespace {

/// Approximate time from a revocation until the item has left its target.
constexpr milliseconds intervalLength { 20 };
constexpr std::int64_t intervalsKept = 250;

std::int64_t intervalNumber(steady_time time)
{
    return time.time_since_epoch() / intervalLength;
}

} // namespace

void arrival_history::record(steady_time now)
{
    const auto span = intervalNumber(now);
    if (m_intervals.empty() || m_intervals.back().first != span)
        m_intervals.emplace_back(span, 0);
    ++m_intervals.back().second;
    while (m_intervals.front().first <= span - intervalsKept)
        m_intervals.pop_front();
}

unsigned arrival_history::p95Arrivals(steady_time now) const
{
    constexpr std::size_t exceeding = intervalsKept / 20;
    std::vector<unsigned> counts;
    for (const auto& [span, count] : m_intervals) {
        if (span > intervalNumber(now) - intervalsKept)
            counts.push_back(count);
    }
    // Intervals without arrivals are not kept: if all kept ones are within the top 5%, the percentile is 0.
    if (counts.size() <= exceeding)
        return 0;
    std::nth_element(counts.begin(), counts.begin() + exceeding, counts.end(), std::greater<>());
    return counts[exceeding];
}

} // namespace yuccachute
