#pragma once

#include "verdict/verdict.h"

#include <cstdint>
#include <deque>
#include <utility>

namespace yuccachute {

/// Counts live arrivals in short intervals to find out how many arrive at once in a busy one.
class arrival_history {
public:
    void record(steady_time now);
    /// 95th percentile of the arrivals per interval over the last seconds.
    unsigned p95Arrivals(steady_time now) const;

private:
    /// Number of each interval and its arrivals; intervals without arrivals are left out.
    std::deque<std::pair<std::int64_t, unsigned>> m_intervals;
};

/// Tracks how long periods of overload last, to tell refused callers when to retry.
class overload_periods {
public:
    /// A live request was refused because no slot was available in time.
    void recordRefusal(steady_time now);
    /// Delay after which a request that is refused now should be retried: the length of a whole period, not
    /// the remainder of the current one. A caller that returns at the end of the period meets the queue that
    /// it has left behind, and one that returns earlier spends its retry on another refusal.
    milliseconds retryDelay(steady_time now) const;

private:
    steady_time m_periodStart;
    steady_time m_last;
    double m_refusals = 0;
    double m_meanLengthMs = 1700; ///< Initial estimate until a period has been observed.
};

} // namespace yuccachute
