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
    /// `limits` may be null: then all requests are admitted. `customerShares`: of a customer above its limit,
    /// requests that can meet their latency objective are preferred, and a refusal because a part of the
    /// limits is out of reach is distinguished from one because of the limit.
    explicit limit_gate(distributed_rate_limiter* limits, bool customerShares = true)
        : m_limits(limits)
        , m_customerShares(customerShares)
    {
    }

    /// Takes a token for the slot request, or returns the reason for refusing it. `objective` is the latency
    /// objective of the request's service; 0 if unknown.
    std::optional<failure> admit(const slot_request& request, milliseconds objective, steady_time now);
    /// The slot request was granted: from now on only released() refunds its token.
    void granted(std::uint64_t session, std::uint64_t slotRequestId);
    /// The slot request was refused or withdrawn: its token is refunded.
    void dropped(std::uint64_t session, std::uint64_t slotRequestId, steady_time now);
    void sessionClosed(std::uint64_t session, steady_time now);
    /// A grant was released. `request` is the slot request that it was given for; null if that is no longer
    /// known.
    void released(
        const slot_request* request, grant_outcome outcome, milliseconds objective, steady_time now);

private:
    using request_key = std::pair<std::uint64_t, std::uint64_t>; ///< Session, and id of the slot request.

    struct token_holder {
        std::string customer;
        bool isLate = false; ///< Whether the request was late when it took the token.
    };

    token_need needOf(const slot_request& request, milliseconds objective) const;
    void refund(const token_holder& holder, steady_time now);

    distributed_rate_limiter* m_limits;
    bool m_customerShares;
    std::map<request_key, token_holder> m_tokenHolders; ///< Pending requests that hold a token.
};

} // namespace yuccachute
