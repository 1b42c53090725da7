#include "store/store.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// Whether a failure is caused by the store or the connection to it rather than by the request.
bool indicatesOutage(const failure& error)
{
    switch (error.kind) {
    case failure_kind::unavailable:
    case failure_kind::timeout:
    case failure_kind::incomplete:
    case failure_kind::limited:
        return true;
    default:
        return false;
    }
}

} // namespace

void observed_store::recordOutcome(bool answered, steady_time sent, steady_time now)
{
    // A call on a broken connection fails seconds later, after the store has already answered other calls.
    // Treated as an outage, it made processes keep targets that were removed during the next two seconds.
    if (!answered && sent < m_lastAnswered)
        return;
    if (answered)
        m_lastAnswered = std::max(m_lastAnswered, sent);
    if (answered && !m_reachable)
        m_reachableSince = now;
    m_reachable = answered;
    m_consecutiveFailures = answered ? 0 : m_consecutiveFailures + 1;
}

template <typename T>
observed_store::callback<T> observed_store::observed(std::string_view call, callback<T> done)
{
    m_metrics.count("yuccachute_store_calls_total", "call", call);
    const auto sent = std::chrono::steady_clock::now();
    return [this, sent, done = std::move(done)](result<T> outcome) {
        recordOutcome(outcome || !indicatesOutage(outcome.error()), sent, std::chrono::steady_clock::now());
        done(std::move(outcome));
    };
}

void observed_store::get(std::string_view key, callback<std::optional<stored_value>> done)
{
    m_store.get(key, observed("get", std::move(done)));
}

void observed_store::list(std::string_view prefix, callback<store_listing> done)
{
    m_store.list(prefix, observed("list", std::move(done)));
}

void observed_store::listFirst(std::string_view prefix, bool stale, callback<store_listing> done)
{
    m_store.listFirst(prefix, stale, observed("list first", std::move(done)));
}

void observed_store::listStale(std::string_view prefix, callback<store_listing> done)
{
    m_store.listStale(prefix, observed("list stale", std::move(done)));
}

void observed_store::commit(const store_transaction& transaction, callback<commit_outcome> done)
{
    m_store.commit(transaction, observed("commit", std::move(done)));
}

void observed_store::waitForChange(
    std::string_view prefix, std::int64_t after, milliseconds time, callback<store_changes> done)
{
    m_store.waitForChange(prefix, after, time, observed("wait", std::move(done)));
}

void observed_store::grantLease(milliseconds timeToLive, callback<std::int64_t> done)
{
    m_store.grantLease(timeToLive, observed("grant lease", std::move(done)));
}

void observed_store::renewLease(std::int64_t lease, callback<bool> done)
{
    m_store.renewLease(lease, observed("renew lease", std::move(done)));
}

void observed_store::endLease(std::int64_t lease, callback<bool> done)
{
    m_store.endLease(lease, observed("end lease", std::move(done)));
}

} // namespace yuccachute
