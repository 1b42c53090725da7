#include "dispatch/dispatch.h"

#include <algorithm>

namespace yuccachute {

namespace {

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

} // namespace

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
