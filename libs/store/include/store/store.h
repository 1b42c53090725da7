#pragma once

#include "metrics/metrics.h"
#include "verdict/verdict.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Client interfaces of the platform's key-value service, an adapter for its gRPC protocol (etcd), and an
/// in-memory implementation for tests and test servers. Layer: transport.
namespace yuccachute {

struct stored_value {
    std::string key;
    std::string value;
    std::int64_t createRevision = 0; ///< 0: the key does not exist.
    std::int64_t modRevision = 0;
    std::int64_t lease = 0;
};

/// Precondition of a transaction on a key: it does not exist, or it has this creation or modification
/// revision.
struct store_condition {
    enum class kind : std::uint8_t { absent, create_revision, mod_revision };
    kind what = kind::absent;
    std::string key;
    std::int64_t revision = 0;
};

struct store_write {
    std::string key;
    std::string value;
    std::int64_t lease = 0; ///< Lease that the key is attached to; 0 for none.
};

/// Deletes one key, or all keys with a prefix.
struct store_removal {
    std::string key;
    bool prefix = false; ///< Whether `key` is a prefix.
};

/// If all conditions hold, all writes and removals are applied atomically; otherwise the keys in
/// `readOtherwise` are read.
struct store_transaction {
    std::vector<store_condition> conditions;
    std::vector<store_write> writes;
    std::vector<store_removal> removals;
    std::vector<std::string> readOtherwise;
};

struct commit_outcome {
    bool applied = false;
    std::int64_t revision = 0; ///< The store's revision after the transaction.
    /// If the transaction was not applied: the values of readOtherwise, in order; keys that do not exist have
    /// createRevision 0. An async_store returns the keys of the conditions instead, only those that exist.
    std::vector<stored_value> found;
};

struct store_listing {
    std::vector<stored_value> values; ///< Sorted by key.
    std::int64_t revision = 0; ///< The store's revision at which the list was read.
    bool more = false; ///< Whether there are further keys beyond the limit.
    bool reusedConnection = false; ///< The last answer came over a connection that had carried earlier calls.
    unsigned repeatedCalls = 0; ///< Calls that were sent once more, over a new connection or after a failure.
};

struct store_event {
    bool removed = false;
    stored_value value;
};

/// Handle of a running watch; destroying it stops the watch.
class store_watch {
public:
    virtual ~store_watch() = default;
};

/// Blocking client. A failed call has the verdict may_have_run unless the service rejected it. To find out
/// whether such a write was applied, the caller reads the key back; it must therefore write a value that it
/// recognizes as its own, for example one with a unique token.
class config_store {
public:
    virtual ~config_store() = default;

    /// Lists keys with a prefix, starting after the key `after` unless it is empty. A limit of 0 means no
    /// limit.
    virtual result<store_listing> list(
        std::string_view prefix, std::string_view after = {}, std::size_t limit = 0, bool keysOnly = false)
        = 0;
    virtual result<std::optional<stored_value>> get(std::string_view key) = 0;
    virtual result<commit_outcome> commit(const store_transaction& transaction) = 0;

    virtual result<std::int64_t> grantLease(std::chrono::seconds ttl) = 0;
    /// Fails with not_found if the lease has expired.
    virtual result<void> renewLease(std::int64_t lease) = 0;
    virtual result<void> revokeLease(std::int64_t lease) = 0;

    /// Reports every change to keys with a prefix, in order, starting at a revision (0: from now on).
    /// `changed` is called on a thread of the watch. When the watch terminates, `ended` is called once.
    virtual std::unique_ptr<store_watch> watch(std::string_view prefix, std::int64_t fromRevision,
        std::function<void(std::span<const store_event>, std::int64_t revision)> changed,
        std::function<void()> ended)
        = 0;
};

/// Changes returned by async_store::waitForChange().
struct store_changes {
    std::vector<store_event> events;
    std::int64_t revision = 0; ///< To be passed as `after` to the next call.
};

/// A call that may be executed twice is repeated over a new connection if it gets no answer over an idle one
/// in this time: the connection may have gone silent. The store answers within some milliseconds, and within
/// 300 ms when it is slow.
constexpr milliseconds silentConnectionTimeout { 350 };

/// Non-blocking client of the same service for programs with an event loop. Callbacks run on the loop and
/// never before the call returns. A read that fails has therefore been tried over a new connection, and one
/// that meets a silent connection is late by silentConnectionTimeout. Only the conditions `absent` and
/// `mod_revision` and removals of single keys are supported.
class async_store {
public:
    template <typename T> using callback = std::function<void(result<T>)>;

    virtual ~async_store() = default;

    virtual void get(std::string_view key, callback<std::optional<stored_value>> done) = 0;
    /// Lists all keys with a prefix, in several pages if necessary. The returned revision is that of the
    /// first page, so waitForChange() from that revision reports all changes made while further pages were
    /// read, even those that the list already contains.
    virtual void list(std::string_view prefix, callback<store_listing> done) = 0;
    /// Like list(), but the data may be several seconds old; cheaper if the service supports it. A caller
    /// that makes decisions from this list must receive newer changes in another way.
    virtual void listStale(std::string_view prefix, callback<store_listing> done)
    {
        list(prefix, std::move(done));
    }
    /// Lists the first keys only, as many as one call returns; `more` is set if there are further keys.
    virtual void listFirst(std::string_view prefix, bool stale, callback<store_listing> done)
    {
        if (stale)
            return listStale(prefix, std::move(done));
        list(prefix, std::move(done));
    }
    /// If a condition does not hold, nothing is written and `found` has the values of the conditions' keys.
    virtual void commit(const store_transaction& transaction, callback<commit_outcome> done) = 0;
    /// Waits until a key with the prefix changes after a revision, or until the time has passed. Fails with
    /// `gone` if the store no longer has the history since that revision (compaction).
    virtual void waitForChange(
        std::string_view prefix, std::int64_t after, milliseconds time, callback<store_changes> done)
        = 0;
    /// Returns the ID of the lease. It expires at the latest when its time to live has passed since the store
    /// received the last renewal.
    virtual void grantLease(milliseconds timeToLive, callback<std::int64_t> done) = 0;
    /// Fails with not_found if the lease has expired.
    virtual void renewLease(std::int64_t lease, callback<bool> done) = 0;
    virtual void endLease(std::int64_t lease, callback<bool> done) = 0;
};

/// Forwards calls to another store, counts them by kind and tracks whether the store is reachable. A reader
/// of a list needs to know of a recent outage, because leases may have expired during it: keys that are
/// missing from the list may belong to processes that are still running.
class observed_store final : public async_store {
public:
    /// Calls are counted by kind in the metric "yuccachute_store_calls_total", since each loads the store.
    observed_store(async_store& store, metrics& registry)
        : m_store(store)
        , m_metrics(registry)
    {
    }

    /// Whether the last call received a response, including an error from the store. A call that fails after
    /// the store has answered a call sent later is ignored: it indicates a broken connection, not an outage.
    bool reachable() const { return m_reachable; }
    /// Whether several consecutive calls received no response; callers should then omit calls that are not
    /// essential. Occasional lost responses do not lead to this state, as each success resets the counter.
    bool away() const { return m_consecutiveFailures >= outageFailureThreshold; }
    /// When the store responded again after the last outage; the clock's epoch if there was none.
    steady_time reachableSince() const { return m_reachableSince; }

    void get(std::string_view key, callback<std::optional<stored_value>> done) override;
    void list(std::string_view prefix, callback<store_listing> done) override;
    void listStale(std::string_view prefix, callback<store_listing> done) override;
    void listFirst(std::string_view prefix, bool stale, callback<store_listing> done) override;
    void commit(const store_transaction& transaction, callback<commit_outcome> done) override;
    void waitForChange(std::string_view prefix, std::int64_t after, milliseconds time,
        callback<store_changes> done) override;
    void grantLease(milliseconds timeToLive, callback<std::int64_t> done) override;
    void renewLease(std::int64_t lease, callback<bool> done) override;
    void endLease(std::int64_t lease, callback<bool> done) override;

private:
    template <typename T> callback<T> observed(std::string_view call, callback<T> done);
    void recordOutcome(bool answered, steady_time sent, steady_time now);

    static constexpr unsigned outageFailureThreshold = 3;

    async_store& m_store;
    metrics& m_metrics;
    unsigned m_consecutiveFailures = 0;
    bool m_reachable = true;
    steady_time m_reachableSince;
    steady_time m_lastAnswered; ///< Send time of the most recently sent call that received a response.
};

/// Connects to the service at "host:port". `timeout` applies to each call.
std::unique_ptr<config_store> connectStore(
    std::string_view address, milliseconds timeout = milliseconds { 2000 });

/// In-memory implementation with the same behaviour. Thread-safe. Leases expire only when expireLeases() is
/// called.
class memory_store final : public config_store {
public:
    memory_store();
    ~memory_store() override;

    result<store_listing> list(std::string_view prefix, std::string_view after = {}, std::size_t limit = 0,
        bool keysOnly = false) override;
    result<std::optional<stored_value>> get(std::string_view key) override;
    result<commit_outcome> commit(const store_transaction& transaction) override;
    result<std::int64_t> grantLease(std::chrono::seconds ttl) override;
    result<void> renewLease(std::int64_t lease) override;
    result<void> revokeLease(std::int64_t lease) override;
    std::unique_ptr<store_watch> watch(std::string_view prefix, std::int64_t fromRevision,
        std::function<void(std::span<const store_event>, std::int64_t)> changed,
        std::function<void()> ended) override;

    void expireLeases(steady_time now);

    /// Fault injection for tests: invoked before each call except watch() and revokeLease(). If it returns a
    /// failure, the call returns that failure. A commit() is applied nevertheless if the failure's verdict is
    /// may_have_run.
    std::function<std::optional<failure>(std::string_view call)> fault;

private:
    struct impl;
    std::shared_ptr<impl> m_impl;
};

/// Returns the exclusive upper bound of the range of all keys with a prefix.
std::string prefixEnd(std::string_view prefix);

} // namespace yuccachute
