#pragma once

#include "dispatch/dispatch.h"
#include "live_load.h"
#include "target_table.h"

#include <vector>

namespace yuccachute {

/// The queue of bulk requests, and the decision when bulk work starts and which of it is revoked.
class bulk_scheduler {
public:
    /// The arguments must outlive this object.
    bulk_scheduler(const target_table& table, const group_options& options)
        : m_table(table)
        , m_options(options)
        , m_queue(options.bulkOrder.value_or(options.order))
    {
    }

    fair_queue& queue() { return m_queue; }
    const fair_queue& queue() const { return m_queue; }
    /// Moves the waiting requests to a queue of another order.
    void setOrder(fair_queue::order order);

    /// Whether another item may start while `liveWaiting` live requests wait.
    bool mayStart(std::size_t liveWaiting, steady_time now);
    /// The grants to revoke for the live requests that wait.
    std::vector<std::uint64_t> grantsToRevoke(std::size_t liveWaiting, steady_time now) const;

    void recordLiveArrival(steady_time now) { m_arrivals.record(now); }
    void recordLiveWait(milliseconds waited);
    void recordFirstToken(milliseconds firstToken);
    /// Adapts the window of the policy to what was recorded since the last call.
    void tick(steady_time now);
    double window() const { return m_window; }

private:
    bulk_policy_input policyInput(std::size_t liveWaiting, steady_time now) const;

    const target_table& m_table;
    const group_options& m_options;
    fair_queue m_queue;
    arrival_history m_arrivals;
    double m_window = 0.25;
    bool m_liveDelayed = false;
    bool m_windowFull = false;
    steady_time m_nextAdaptation;
};

} // namespace yuccachute
