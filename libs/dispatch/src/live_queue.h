#pragma once

#include "dispatch/dispatch.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccachute {

/// Classes of live requests in the order in which they are served.
enum class serving_class : std::uint8_t {
    bound, ///< Continues a stream, and can use targets of one software version only.
    timely, ///< Can still meet its objective.
    missed ///< Has missed its objective.
};

serving_class servingClassOf(const slot_request& request, steady_time now);

/// The waiting live requests of a group. Requests that are bound to a software version come first, because
/// others can use all targets. They have a queue for each version, so that none waits for a target that it
/// cannot use, and no other request waits for them. Of the others, requests that can still meet their
/// objective are served before those that have missed it: after a restart, the latter would otherwise take
/// the slots first and make the requests that arrive meanwhile late as well. Within each class, the order is
/// that of fair_queue.
class live_queue {
public:
    struct expired_request {
        slot_request request;
        serving_class servingClass;
    };

    explicit live_queue(fair_queue::order order)
        : m_order(order)
        , m_timely(order)
        , m_missed(order)
    {
    }

    /// Moves the waiting requests to queues of another order.
    void setOrder(fair_queue::order order);

    void push(slot_request request, steady_time now);
    bool empty() const { return size() == 0; }
    std::size_t size() const;
    /// Number of requests that have missed their objective.
    std::size_t missedObjectives() const { return m_missed.size(); }

    /// The queue that a request of this class is in, or would be added to.
    const fair_queue& queueOf(const slot_request& request, serving_class servingClass) const;
    /// Number of waiting requests that can use the same targets and are served before those of this class.
    std::size_t sizeBefore(serving_class servingClass) const;

    /// The next request of each software version, and then the next one of those that can use any target.
    std::vector<const slot_request*> heads() const;
    /// Removes one of the heads and returns it with the time at which it was queued.
    std::pair<slot_request, steady_time> pop(const slot_request& head);

    /// Times until which the waiting requests can wait that compete for the targets of this one: those of its
    /// software version, or all of them.
    std::vector<steady_time> latestGrantTimes(const slot_request& request) const;
    /// Calls `visit` for each waiting request with the time at which it was queued.
    void forEach(const std::function<void(const slot_request&, steady_time since)>& visit) const;
    std::vector<expired_request> takeExpired(steady_time now);
    bool remove(std::uint64_t holder, std::uint64_t id);
    /// Lets a queued immediate request wait until `until`.
    void letWait(std::uint64_t holder, std::uint64_t id, steady_time until);
    void removeHolder(std::uint64_t holder);

private:
    template <typename Visit> void forEachQueue(Visit visit);
    std::size_t boundSize() const;
    const fair_queue& unbound() const { return m_timely.empty() ? m_missed : m_timely; }

    fair_queue::order m_order;
    std::map<std::string, fair_queue, std::less<>> m_bound; ///< By software version; without empty ones.
    fair_queue m_timely;
    fair_queue m_missed;
};

/// Returns a queue of another order with the same waiting requests.
fair_queue reordered(fair_queue queue, fair_queue::order order);

} // namespace yuccachute
