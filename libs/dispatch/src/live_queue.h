#pragma once

#include "dispatch/dispatch.h"

#include <cstddef>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccachute {

/// The waiting live requests of a group. Requests that can still meet their objective are served before those
/// that have missed it: after a restart, the latter would otherwise take the slots first and make the
/// requests that arrive meanwhile late as well. Within each class, the order is that of fair_queue.
class live_queue {
public:
    explicit live_queue(fair_queue::order order)
        : m_timely(order)
        , m_missed(order)
    {
    }

    /// Moves the waiting requests to queues of another order.
    void setOrder(fair_queue::order order);

    void push(slot_request request, steady_time now);
    bool empty() const { return m_timely.empty() && m_missed.empty(); }
    std::size_t size() const { return m_timely.size() + m_missed.size(); }
    /// Number of requests that have missed their objective.
    std::size_t missedObjectives() const { return m_missed.size(); }

    /// The queue of the requests that are served in turn with this one.
    const fair_queue& queueOf(const slot_request& request, steady_time now) const;
    /// Number of waiting requests of the class that is served before the one of this request.
    std::size_t sizeBefore(const slot_request& request, steady_time now) const;

    const slot_request* front() const { return m_timely.empty() ? m_missed.front() : m_timely.front(); }
    std::pair<slot_request, steady_time> pop() { return m_timely.empty() ? m_missed.pop() : m_timely.pop(); }

    std::vector<slot_request> takeExpired(steady_time now);
    bool remove(std::uint64_t holder, std::uint64_t id);
    void removeHolder(std::uint64_t holder);

private:
    fair_queue m_timely;
    fair_queue m_missed;
};

/// Returns a queue of another order with the same waiting requests.
fair_queue reordered(fair_queue queue, fair_queue::order order);

} // namespace yuccachute
