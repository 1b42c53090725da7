#pragma once

#include "node/node.h"
#include "store/store.h"

namespace yuccachute {

/// Claims of idempotency keys by non-idempotent requests, kept in the store. The first request with a key
/// runs. A later one at any entry gets the stored response of the first, or a failure that the request may
/// have run. Thread-safe.
class request_claims {
public:
    explicit request_claims(config_store& store)
        : m_store(store)
    {
    }

    /// Result of claiming a key.
    struct claim {
        bool mine = false; ///< This request is the first with the key and may run.
        std::optional<http_reply> earlierReply; ///< Response to the first request, if it was stored.
    };

    /// Claims the key before the request runs. Fails with not_run if the store is unreachable.
    result<claim> take(const std::string& customer, std::string_view key, const std::string& token);
    /// Stores the response for later requests with the same key. Best effort: without it they fail with the
    /// verdict may_have_run.
    void storeReply(
        const std::string& customer, std::string_view key, const std::string& token, const http_reply& reply);
    /// Removes the claim of a request that has not run, so that the key can be used again.
    void releaseClaim(const std::string& customer, std::string_view key);

private:
    result<std::int64_t> lease(steady_time now);

    config_store& m_store;
    std::mutex m_mutex;
    std::int64_t m_lease = 0;
    steady_time m_leaseRenewal;
};

} // namespace yuccachute
