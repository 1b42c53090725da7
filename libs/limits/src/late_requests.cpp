#include "late_requests.h"

#include <algorithm>
#include <cmath>

namespace yuccachute {

namespace {

/// Customers with a burst of one second's worth have half a second's worth of tokens below this level, which
/// covers fluctuations of the arrivals while demand exceeds the refill.
constexpr double keptFractionOverLimit = 0.5;
/// Covers about 0.1 s at the limit's rate for the same customers: tokens of other processes arrive within
/// this time. After an excess, more would refuse late requests of customers that have tokens to spare.
constexpr double nearlyEmptyFraction = 0.1;

} // namespace

double recent_demand::count(steady_time now) const
{
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - m_updated).count());
    return m_count * std::exp(-elapsed / m_period.count());
}

void recent_demand::record(steady_time now)
{
    m_count = count(now) + 1;
    m_updated = std::max(m_updated, now);
}

void recent_demand::undo(steady_time now)
{
    m_count = std::max(0.0, count(now) - 1);
    m_updated = std::max(m_updated, now);
}

bool recent_demand::exceeds(double ratePerSecond, steady_time now, double burst) const
{
    const double expected = ratePerSecond * m_period.count();
    return count(now) > expected + burst + std::sqrt(expected);
}

bool isOverLimit(const bucket_situation& bucket, bool demandExceedsRefill, bool wasOver)
{
    const bool nearlyEmpty
        = bucket.level <= std::max(1.0, nearlyEmptyFraction * std::max(0.0, bucket.capacity));
    return demandExceedsRefill && (wasOver || nearlyEmpty);
}

double levelKeptForTimely(const bucket_situation& bucket)
{
    const double capacity = std::max(0.0, bucket.capacity);
    if (bucket.isOverLimit)
        return keptFractionOverLimit * capacity;
    return bucket.wasOverLimitLately ? nearlyEmptyFraction * capacity : 0;
}

milliseconds timeUntilLateMayRun(const bucket_situation& bucket, milliseconds most)
{
    const double missing = std::max(levelKeptForTimely(bucket), 1.0) - bucket.level;
    const double gainPerSecond = bucket.refillPerSecond - bucket.timelyPerSecond;
    const double mostSeconds = std::chrono::duration<double>(most).count();
    if (missing <= 0)
        return milliseconds { 0 };
    if (gainPerSecond * mostSeconds <= missing)
        return most;
    return milliseconds { std::llround(1000 * missing / gainPerSecond) };
}

} // namespace yuccachute
