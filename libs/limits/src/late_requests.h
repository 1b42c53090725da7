#pragma once

#include "verdict/verdict.h"

#include <chrono>

namespace yuccachute {

/// Number of requests in a recent period, in which older requests count less (exponential decay).
class recent_demand {
public:
    explicit recent_demand(std::chrono::duration<double> period)
        : m_period(period)
    {
    }

    void record(steady_time now);
    /// Takes back a recorded request.
    void undo(steady_time now);
    double perSecond(steady_time now) const { return count(now) / m_period.count(); }
    /// Whether there were more requests in the period than the rate and a burst allow. The standard deviation
    /// of a Poisson process of that rate is added, so that random clusters within the limit do not count.
    bool exceeds(double ratePerSecond, steady_time now, double burst = 0) const;

private:
    double count(steady_time now) const;

    std::chrono::duration<double> m_period;
    double m_count = 0;
    steady_time m_updated;
};

/// A customer's token bucket, and the requests that compete for its tokens.
struct bucket_situation {
    double level = 0;
    double capacity = 0;
    double refillPerSecond = 0;
    double timelyPerSecond = 0; ///< Recent requests that could meet their latency objective.
    bool isOverLimit = false; ///< See isOverLimit().
    /// Callers that were refused while the customer was over its limit may still return.
    bool wasOverLimitLately = false;
};

/// Whether a customer is over its limit: its bucket has run nearly empty, and its recent timely requests are
/// more than the refill covers. A load peak that the bucket absorbs is within the limit. `wasOver` is the
/// result at the customer's previous request: the state lasts until the demand falls.
bool isOverLimit(const bucket_situation& bucket, bool demandExceedsRefill, bool wasOver);

/// The fill level above which late requests may take a token, those that can no longer meet their latency
/// objective. The tokens below it are kept for timely requests. Zero for a customer that has not been over
/// its limit lately.
double levelKeptForTimely(const bucket_situation& bucket);

/// Time until the bucket is filled above levelKeptForTimely() at the present refill and demand, but not more
/// than `most`. Another request may take the token by then.
milliseconds timeUntilLateMayRun(const bucket_situation& bucket, milliseconds most);

} // namespace yuccachute
