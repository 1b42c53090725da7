#include "dispatch/dispatch.h"

#include <algorithm>
#include <cmath>

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

} // namespace yuccachute
