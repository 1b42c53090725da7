#pragma once

#include "dispatch/dispatch.h"
#include "live_load.h"
#include "live_queue.h"
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

    live_queue& queue() { return m_queue; }
    const live_queue& queue() const { return m_queue; }

    /// The reason, with a time to retry after, for refusing a request that cannot be served in time. As many
    /// waiting requests as there are `revocableSlots` delay no other request.
    std::optional<failure> refusalOf(
        const slot_request& request, std::size_t revocableSlots, steady_time now);
    /// The reason for refusing a request because of overload.
    failure overloadRefusal(
        const slot_request& request, serving_class servingClass, std::string message, steady_time now);
    /// Records how long a live grant was held at a target of this pace.
    void recordServiceTime(steady_time::duration held, double pace);

    /// Mean time for which live grants are held; zero if unknown.
    std::chrono::duration<double, std::milli> meanServiceTime() const
    {
        return std::chrono::duration<double, std::milli> { m_serviceTimeMs };
    }

private:
    milliseconds expectedWait(const slot_request& request, serving_class servingClass,
        std::size_t revocableSlots, steady_time now) const;

    const target_table& m_table;
    const group_options& m_options;
    live_queue m_queue;
    double m_serviceTimeMs = 0; ///< Moving average of the time for which a slot is held at nominal pace.
    overload_periods m_overloadPeriods;
};

} // namespace yuccachute
