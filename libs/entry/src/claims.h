#pragma once

#include "node/node.h"
#include "store/store.h"

namespace yuccachute {

/// Claims of non-idempotent requests by their idempotency key, kept in the store: the first one runs, a
/// resent one at any entry gets the first one's answer or is told that it may have run. Thread-safe.
class request_claims {
public:
    explicit request_claims(config_store& store)
        : m_store(store)
    {
    }

    /// What became of a claim.
    struct claim {
        bool mine = false; ///< This request is the first: it may run.
        std::optional<http_reply> earlier; ///< The answer of the first, if it was kept.
    };

    /// Claims the key before the request runs. The store being down is an honest not_run.
    result<claim> take(const std::string& customer, std::string_view key, const std::string& token);
    /// Keeps the answer for resent requests. Best effort: without it they learn that it may have run.
    void keepAnswer(
        const std::string& customer, std::string_view key, const std::string& token, const http_reply& reply);
    /// The request was not run after all: the key may be used again.
    void giveBack(const std::string& customer, std::string_view key);

private:
    result<std::int64_t> lease(steady_time now);

    config_store& m_store;
    std::mutex m_mutex;
    std::int64_t m_lease = 0;
    steady_time m_leaseRenewal;
};

} // namespace yuccachute
