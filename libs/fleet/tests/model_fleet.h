#pragma once

#include "fleet/fleet.h"

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// A model of a fleet within one program: a store, processes that learn of changes from the store and from
/// each other, and connections that can be broken. Time is real; messages are function calls.
namespace yuccachute {

/// A configuration is a version number, a target's document the word "ready" or "draining".
class model_codec final : public fleet_codec {
public:
    std::string operatorPrefix() const override { return "orders/"; }
    std::string configurationKey() const override { return "orders/config"; }
    std::string targetsPrefix() const override { return "targets/"; }
    result<routing_table> decodeConfiguration(std::string_view document) const override;
    result<listed_target> decodeTarget(std::string_view key, std::string_view document) const override;
};

/// The content of the store and the history of its changes.
class model_store {
public:
    void write(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    std::int64_t revision() const { return m_revision; }
    store_listing list(std::string_view prefix) const;
    /// The listing as of an earlier revision.
    store_listing listAsOf(std::string_view prefix, std::int64_t revision) const;
    store_changes changesAfter(std::string_view prefix, std::int64_t revision) const;
    /// Called after each change.
    std::vector<std::function<void()>> listeners;

private:
    std::vector<store_event> m_events; ///< Ordered by revision.
    std::int64_t m_revision = 1;
};

/// The connection of one process to the store.
class model_link final : public async_store {
public:
    model_link(event_loop& loop, model_store& store);

    /// From now on no call arrives and none is answered. Pending waiting calls are never answered, even after
    /// restore(): their connections are dead and end by a timeout.
    void cut();
    /// The same for answers only: calls arrive and take effect.
    void dropAnswers();
    void restore();
    /// The connections of all waiting calls die without an error; new calls are answered.
    void killWaits();
    /// Number of pending waiting calls whose connection is alive.
    std::size_t waiting() const;
    /// Stale reads return the state of this revision; 0 for the current one.
    std::int64_t staleRevision = 0;
    /// Number of waiting calls so far, answered or not.
    unsigned waitCalls = 0;
    /// Number of pages of listings read so far.
    std::size_t pages = 0;

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
    struct wait {
        std::string prefix;
        std::int64_t after = 0;
        steady_time until;
        callback<store_changes> done;
        bool dead = false;
        loop_timer timer;
    };

    template <typename T> void answer(callback<T> done, std::function<T()> value);
    template <typename T> void failWithTimeout(callback<T> done, milliseconds timeout);
    store_listing readStale(const std::string& prefix);
    store_listing countPages(store_listing listing);
    void answerWaits();
    void keepLease(milliseconds timeToLive);
    void endWait(wait& ended, result<store_changes> outcome);

    event_loop& m_loop;
    model_store& m_store;
    bool m_cut = false;
    bool m_answersDropped = false;
    std::vector<std::shared_ptr<wait>> m_waits;
    std::vector<std::unique_ptr<loop_timer>> m_timeouts;
    milliseconds m_timeToLive { 0 };
    loop_timer m_lease; ///< Removes the keys unless the lease is renewed.
    std::vector<std::string> m_leased; ///< Keys under the lease.
};

class model_fleet;

/// Synchronization of one process with its peers.
class model_peers final : public peer_sync {
public:
    model_peers(model_fleet& fleet, std::size_t self)
        : m_fleet(fleet)
        , m_self(self)
    {
    }
    void sync(std::string_view address, const sync_question& question, milliseconds timeout,
        std::function<void(result<sync_answer>)> done) override;

private:
    model_fleet& m_fleet;
    std::size_t m_self;
    std::vector<std::unique_ptr<loop_timer>> m_timeouts;
};

struct model_process {
    model_process(model_fleet& fleet, std::size_t index, node_record record, const fleet_options& options);

    /// Whether the process would send a request to the target now.
    bool uses(const std::string& target) const;

    node_record record;
    model_link link;
    metrics figures;
    observed_store store;
    model_peers peers;
    fleet_watch watch;
    registration registered; ///< Only started if the process registers.
    bool partitioned = false; ///< Exchanges messages only with other partitioned processes.
};

/// Number of entries of each zone that register.
constexpr std::size_t registeredPerZone = 4;

class model_fleet {
public:
    /// Starts the entries of each zone. The first ones of each zone register, one after the other.
    model_fleet(event_loop& loop, std::size_t zones, std::size_t entriesPerZone);

    /// Starts another entry.
    model_process& add(const std::string& zone, bool registers);
    /// Starts a batch process, which registers.
    model_process& addBatch(const std::string& zone);
    std::vector<model_process*> of(const std::string& zone);
    model_process* at(std::string_view address);

    event_loop& loop;
    model_store store;
    std::vector<std::unique_ptr<model_process>> processes;

private:
    model_process& start(node_record record, bool registers);

    std::vector<std::unique_ptr<loop_timer>> m_starts;
};

} // namespace yuccachute
