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

/// The platform's key-value service: interface, adapter for its published protocol, and a store in memory for
/// tests and stand-ins. Layer: transport.
namespace yuccachute {

struct stored_value {
    std::string key;
    std::string value;
    std::int64_t createRevision = 0; ///< 0: the key does not exist.
    std::int64_t modRevision = 0;
    std::int64_t lease = 0;
};

/// Condition of a transaction.
struct store_condition {
    enum class kind : std::uint8_t { absent, create_revision, mod_revision };
    kind what = kind::absent;
    std::string key;
    std::int64_t revision = 0;
};

struct store_write {
    std::string key;
    std::string value;
    std::int64_t lease = 0; ///< 0 for none.
};

/// Removes one key, or all keys with a prefix.
struct store_removal {
    std::string key;
    bool prefix = false;
};

/// If all conditions hold, everything is written in one step; otherwise the keys are read.
struct store_transaction {
    std::vector<store_condition> conditions;
    std::vector<store_write> writes;
    std::vector<store_removal> removals;
    std::vector<std::string> readOtherwise;
};

struct commit_outcome {
    bool applied = false;
    std::int64_t revision = 0; ///< The store's revision after the transaction.
    /// Values of readOtherwise, in order; those that do not exist have createRevision 0. A store that reads
    /// the keys of the conditions instead names those that exist.
    std::vector<stored_value> found;
};

struct store_listing {
    std::vector<stored_value> values; ///< In order of their keys.
    std::int64_t revision = 0;
    bool more = false;
};

struct store_event {
    bool removed = false;
    stored_value value;
};

/// A running watch; it ends when this is destroyed.
class store_watch {
public:
    virtual ~store_watch() = default;
};

/// A failed call's verdict is may_have_run unless the service refused it. An unknown outcome is settled by
/// reading: whoever writes puts a token of its own into the value.
class config_store {
public:
    virtual ~config_store() = default;

    /// Lists keys with a prefix, after a key if one is named; a limit of 0 is none.
    virtual result<store_listing> list(
        std::string_view prefix, std::string_view after = {}, std::size_t limit = 0, bool keysOnly = false)
        = 0;
    virtual result<std::optional<stored_value>> get(std::string_view key) = 0;
    virtual result<commit_outcome> commit(const store_transaction& transaction) = 0;

    virtual result<std::int64_t> grantLease(std::chrono::seconds ttl) = 0;
    /// Fails with not_found if the lease has lapsed.
    virtual result<void> renewLease(std::int64_t lease) = 0;
    virtual result<void> revokeLease(std::int64_t lease) = 0;

    /// Reports every change of keys with a prefix from a revision on (0: from now on), in order, from a
    /// thread of the watch; then calls ended once if the watch breaks.
    virtual std::unique_ptr<store_watch> watch(std::string_view prefix, std::int64_t fromRevision,
        std::function<void(std::span<const store_event>, std::int64_t revision)> changed,
        std::function<void()> ended)
        = 0;
};

/// Changes that a waiting call has seen.
struct store_changes {
    std::vector<store_event> events;
    std::int64_t revision = 0; ///< The next call continues from here.
};

/// The same service for programs on an event loop: no call blocks. Callbacks come from the loop, never before
/// the call returns. Conditions are `absent` and `mod_revision` only, and removals name single keys.
class async_store {
public:
    template <typename T> using callback = std::function<void(result<T>)>;

    virtual ~async_store() = default;

    virtual void get(std::string_view key, callback<std::optional<stored_value>> done) = 0;
    /// Lists all keys with a prefix. The revision is one at which the first page was read: changes made while
    /// further pages were read are seen again by waiting from there.
    virtual void list(std::string_view prefix, callback<store_listing> done) = 0;
    /// The same, but the copy may be seconds old; cheaper where the service offers that. Whoever decides by
    /// it must learn of newer changes in another way.
    virtual void listStale(std::string_view prefix, callback<store_listing> done)
    {
        list(prefix, std::move(done));
    }
    /// The first keys, as many as one call gives; `more` tells whether there are others.
    virtual void listFirst(std::string_view prefix, bool stale, callback<store_listing> done)
    {
        if (stale)
            return listStale(prefix, std::move(done));
        list(prefix, std::move(done));
    }
    /// If a condition does not hold, nothing is done and `found` has the values of the conditions' keys.
    virtual void commit(const store_transaction& transaction, callback<commit_outcome> done) = 0;
    /// Waits until a key with the prefix changes after a revision, or the time is over. Fails with gone if
    /// the store does not remember that far back.
    virtual void waitForChange(
        std::string_view prefix, std::int64_t after, milliseconds time, callback<store_changes> done)
        = 0;
    /// Returns the lease; it lapses the time to live after its last renewal arrived, or earlier.
    virtual void grantLease(milliseconds timeToLive, callback<std::int64_t> done) = 0;
    /// Fails with not_found if the lease has lapsed.
    virtual void renewLease(std::int64_t lease, callback<bool> done) = 0;
    virtual void endLease(std::int64_t lease, callback<bool> done) = 0;
};

/// Passes calls on to another store, counts them by kind, and notes when it could not be reached. Who reads a
/// list shortly after an outage must know of it: entries under leases may have lapsed meanwhile.
class observed_store final : public async_store {
public:
    /// Each call has its price, so each kind is counted in the metrics: "yuccachute_store_calls_total".
    observed_store(async_store& store, metrics& figures)
        : m_store(store)
        , m_figures(figures)
    {
    }

    /// Whether the last call was answered, however it was answered. A call that fails although a later one
    /// was answered tells of a connection that died, not of the store.
    bool reachable() const { return m_reachable; }
    /// Whether several calls in a row were not answered: further ones that can be spared should be. Single
    /// lost answers do not count, as calls between them are answered.
    bool away() const { return m_failuresInRow >= failuresOfOutage; }
    /// When the store answered again after the last outage; long ago if there was none.
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
    void note(bool answered, steady_time sent, steady_time now);

    static constexpr unsigned failuresOfOutage = 3;

    async_store& m_store;
    metrics& m_figures;
    unsigned m_failuresInRow = 0;
    bool m_reachable = true;
    steady_time m_reachableSince;
    steady_time m_lastAnswered; ///< When the latest call that was answered had been sent.
};

/// Connects to the service at "host:port". Calls time out after the time given.
std::unique_ptr<config_store> connectStore(
    std::string_view address, milliseconds timeout = milliseconds { 2000 });

/// A store in memory with the same behaviour. Thread-safe. Leases lapse when expireLeases() is called.
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

    /// Test hook: called before each call; a failure is returned in place of the answer, after the change has
    /// taken effect if its verdict is may_have_run.
    std::function<std::optional<failure>(std::string_view call)> fault;

private:
    struct impl;
    std::shared_ptr<impl> m_impl;
};

/// The key after all keys with this prefix.
std::string prefixEnd(std::string_view prefix);

} // namespace yuccachute
