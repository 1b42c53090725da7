#pragma once

#include "places/places.h"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace yuccachute {

/// Admits live slot requests to a dispatcher's queues within the rate limits of their customers. Requests
/// above the limit are refused before they are queued, because queued requests that may not run would delay
/// those that may. The token taken for a slot request is refunded if the request gets no slot or does not use
/// it.
class limit_gate {
public:
    /// `limits` may be null: then all requests are admitted.
    explicit limit_gate(distributed_rate_limiter* limits)
        : m_limits(limits)
    {
    }

    /// Takes a token for the slot request, or returns the reason for refusing it.
    std::optional<failure> admit(const slot_request& request, steady_time now);
    /// The slot request was granted: from now on only released() refunds its token.
    void granted(std::uint64_t session, std::uint64_t slotRequestId);
    /// The slot request was refused or withdrawn: its token is refunded.
    void dropped(std::uint64_t session, std::uint64_t slotRequestId, steady_time now);
    void sessionClosed(std::uint64_t session, steady_time now);
    /// A grant was released. `request` is the slot request that it was given for; null if that is no longer
    /// known.
    void released(const slot_request* request, grant_outcome outcome, steady_time now);

private:
    using request_key = std::pair<std::uint64_t, std::uint64_t>; ///< Session, and id of the slot request.

    distributed_rate_limiter* m_limits;
    std::map<request_key, std::string> m_tokenHolders; ///< Customers of pending requests that hold a token.
};

} // namespace yuccachute
