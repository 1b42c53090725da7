#pragma once

#include "dispatch/dispatch.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccachute {

/// Whether a live request can still meet its objective.
enum class serving_class : std::uint8_t { timely, missed };

serving_class servingClassOf(const slot_request& request, steady_time now);

/// The waiting live requests of a group. Requests that can still meet their objective are served before those
/// that have missed it: after a restart, the latter would otherwise take the slots first and make the
/// requests that arrive meanwhile late as well. Within each class, the order is that of fair_queue.
class live_queue {
public:
    struct expired_request {
        slot_request request;
        serving_class servingClass;
    };

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

    const fair_queue& queueOf(serving_class servingClass) const;
    /// Number of waiting requests of the class that is served before this one.
    std::size_t sizeBefore(serving_class servingClass) const;

    const slot_request* front() const { return m_timely.empty() ? m_missed.front() : m_timely.front(); }
    std::pair<slot_request, steady_time> pop() { return m_timely.empty() ? m_missed.pop() : m_timely.pop(); }

    /// Calls `visit` for each waiting request with the time at which it was queued.
    void forEach(const std::function<void(const slot_request&, steady_time since)>& visit) const;
    std::vector<expired_request> takeExpired(steady_time now);
    bool remove(std::uint64_t holder, std::uint64_t id);
    /// Lets a queued immediate request wait until `until`.
    void letWait(std::uint64_t holder, std::uint64_t id, steady_time until);
    void removeHolder(std::uint64_t holder);

private:
    fair_queue m_timely;
    fair_queue m_missed;
};

/// Returns a queue of another order with the same waiting requests.
fair_queue reordered(fair_queue queue, fair_queue::order order);

} // namespace yuccachute
