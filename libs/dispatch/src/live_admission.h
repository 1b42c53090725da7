#pragma once

#include "dispatch/dispatch.h"
#include "live_load.h"
#include "target_table.h"

#include <optional>
#include <string>

namespace yuccachute {

/// The queue of live requests, and the decision which of them are refused.
class live_admission {
public:
    /// The arguments must outlive this object.
    live_admission(const target_table& table, const group_options& options)
        : m_table(table)
        , m_options(options)
        , m_queue(options.order)
    {
    }

    fair_queue& queue() { return m_queue; }
    const fair_queue& queue() const { return m_queue; }
    /// Moves the waiting requests to a queue of another order.
    void setOrder(fair_queue::order order);

    /// The reason, with a time to retry after, for refusing a request that cannot be served in time. As many
    /// waiting requests as there are `revocableSlots` delay no other request.
    std::optional<failure> refusalOf(
        const slot_request& request, std::size_t revocableSlots, steady_time now);
    /// The reason for refusing a request because of overload.
    failure overloadRefusal(const slot_request& request, std::string message, steady_time now);
    /// Records how long a live grant was held at a target of a pace.
    void recordServiceTime(steady_time::duration held, double pace);

    /// Mean time for which live grants are held; zero if unknown.
    std::chrono::duration<double, std::milli> meanServiceTime() const
    {
        return std::chrono::duration<double, std::milli> { m_serviceTimeMs };
    }

private:
    milliseconds expectedWait(const slot_request& request, std::size_t revocableSlots, steady_time now) const;

    const target_table& m_table;
    const group_options& m_options;
    fair_queue m_queue;
    double m_serviceTimeMs = 0; ///< Moving average of the time for which a slot is held at nominal pace.
    overload_periods m_overloadPeriods;
};

/// Returns a queue of another order with the same waiting requests.
fair_queue reordered(fair_queue queue, fair_queue::order order);

} // namespace yuccachute
