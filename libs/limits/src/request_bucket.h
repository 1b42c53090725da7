#pragma once

#include "late_requests.h"
#include "limits/limits.h"

namespace yuccachute {

/// Token bucket of one customer in one process. Refill rate and capacity are those of the customer's limit,
/// multiplied by the share that the process holds.
class request_bucket {
public:
    request_bucket(const request_limit& limit, const limit_bounds& bounds, double share, steady_time now);

    void setLimit(const request_limit& limit);
    const request_limit& limit() const { return m_limit; }
    /// Tokens beyond the capacity of the new share are discarded.
    void setShare(double share, steady_time now);
    void advance(steady_time now);

    double level() const { return m_level; }
    double capacity() const { return fullCapacity() * m_share + m_loanedCapacity; }
    /// Capacity of the whole limit.
    double fullCapacity() const { return m_limit.burst + tolerance(); }
    /// By how many tokens continuations of requests may overdraw the bucket.
    double credit() const;
    /// Initial tokens, for the whole limit, of a process that does not know what was granted before its
    /// start.
    double startLevel() const;
    void add(double tokens);
    void remove(double tokens) { m_level -= tokens; }
    /// Adds capacity that was borrowed from another process, or lent to it if negative, until a given time.
    void addCapacityLoan(double tokens, steady_time until);

    steady_time lastRetryAt; ///< Latest retry time that was assigned to a refused request.
    bool usedSinceRequest = false; ///< Whether a token was requested since the last token request to peers.
    steady_time lastAcquire;
    /// Requests that could meet their latency objective. A period of one second is short enough to notice the
    /// end of an excess before its refused callers give up, and covers several requests of most customers.
    recent_demand timelyDemand { std::chrono::seconds { 1 } };
    /// The same over the window in which the limit is enforced.
    recent_demand windowDemand;
    void recordDemand(steady_time now)
    {
        timelyDemand.record(now);
        windowDemand.record(now);
    }
    bool wasOverLimit = false; ///< At its previous request; see isOverLimit().
    steady_time lastOverLimitAt; ///< At its latest request that found it over the limit.
    steady_time lastLateAt; ///< Latest arrival of a request that could no longer meet its objective.
    steady_time peersLowAt; ///< When another process last reported that its bucket runs low.

private:
    struct capacity_loan {
        double tokens;
        steady_time until;
    };

    /// Requests above the limit that are granted nevertheless.
    double tolerance() const;
    double slack() const;
    void sumCapacityLoans();
    void discardExcess();

    request_limit m_limit;
    limit_bounds m_bounds;
    double m_share;
    std::vector<capacity_loan> m_capacityLoans;
    double m_loanedCapacity = 0;
    double m_level = 0;
    steady_time m_updated;
};

} // namespace yuccachute
