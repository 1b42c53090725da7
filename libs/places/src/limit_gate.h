#pragma once

#include "places/places.h"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace yuccachute {

/// Lets live asks into a dispatcher's queues as far as their customers' limits go. What is over is refused
/// before it waits: a queue of requests that may not run would hold up those that may. A token that an ask
/// took is given back if the ask gets no place, or uses none.
class limit_gate {
public:
    /// The limits may be null: then everybody is let in.
    explicit limit_gate(distributed_rate_limiter* limits)
        : m_limits(limits)
    {
    }

    /// Takes a token for an ask, or says why it may not wait.
    std::optional<failure> admit(const slot_request& ask, steady_time now);
    /// The ask has its place.
    void granted(std::uint64_t session, std::uint64_t slotRequestId);
    /// The ask gets no place: it was refused or withdrawn.
    void dropped(std::uint64_t session, std::uint64_t slotRequestId, steady_time now);
    void sessionClosed(std::uint64_t session, steady_time now);
    /// A grant has ended. `ask` is what it was given for; null if that is not known any more.
    void released(const slot_request* ask, grant_outcome outcome, steady_time now);

private:
    using ask_key = std::pair<std::uint64_t, std::uint64_t>; ///< Session and id.

    distributed_rate_limiter* m_limits;
    std::map<ask_key, std::string> m_waiting; ///< Customers of asks that hold a token.
};

} // namespace yuccachute
