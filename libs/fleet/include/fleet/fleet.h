#pragma once

#include "event_loop/event_loop.h"
#include "mirror/mirror.h"
#include "routing/routing.h"
#include "rpc/rpc.h"
#include "store/store.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <vector>

/// What a process knows of the fleet: configuration, targets and the system's own processes. Layer:
/// processes.
namespace yuccachute {

/// Reads the documents that a platform keeps in its store. Stateless.
class fleet_codec {
public:
    virtual ~fleet_codec() = default;
    /// Prefix of what operators write; the configuration is one of its keys.
    virtual std::string ordersPrefix() const = 0;
    virtual std::string configurationKey() const = 0;
    /// Prefix under which targets list themselves.
    virtual std::string targetsPrefix() const = 0;
    /// The failure names the field that is wrong.
    virtual result<routing_table> decodeConfiguration(std::string_view document) const = 0;
    virtual result<listed_target> decodeTarget(std::string_view key, std::string_view document) const = 0;
};

enum class node_role : std::uint8_t { entry, batch };

/// A process of the system as it has registered itself in the store.
struct node_record {
    std::string vm;
    node_role role = node_role::entry;
    std::string zone;
    std::string address; ///< host:port for the system's other processes.
    std::uint64_t incarnation = 0; ///< Different at each start.
    bool leaving = false; ///< Stops soon and takes nothing new.
    double cores = 0; ///< Processor time of its VM; 0 if not told.
};

/// Whether a VM is one of the larger ones among others: it offers at least half of what the largest does.
bool largeAmong(const node_record& node, std::span<const node_record> others);

std::string encodeNode(const node_record& node);
result<node_record> decodeNode(std::string_view document);

/// Prefix of the keys under which processes register.
constexpr std::string_view nodesPrefix = "yuccachute/node/";
std::string nodeKey(const node_record& node);

/// Keeps a process registered under a lease. The key vanishes when the process dies; it may also vanish
/// unnoticed, so the registration is renewed and checked at an interval.
class registration {
public:
    struct times {
        milliseconds timeToLive { 4000 };
        milliseconds renewal { 1300 };
    };

    registration(event_loop& loop, async_store& store, node_record self, times intervals);

    void start();
    /// Says in the store that the process leaves.
    void leave();
    /// Ends the lease, and with it the registration, at once.
    void end();
    /// When the last renewal that the store confirmed was sent, by a clock that counts suspended time. From
    /// then on the key existed at least until the next renewal failed, unless it was taken away.
    steady_time confirmed() const { return m_confirmed; }
    /// How often the process has been registered anew. Whoever held something under the registration must
    /// look whether it still does after each time: it may have been taken by others in between.
    std::uint64_t generation() const { return m_generation; }
    const node_record& record() const { return m_self; }

private:
    void grant();
    void write();
    void renew();
    void again(milliseconds pause, void (registration::*step)());

    async_store& m_store;
    node_record m_self;
    times m_times;
    loop_timer m_timer;
    std::int64_t m_lease = 0;
    steady_time m_confirmed;
    std::uint64_t m_generation = 0;
    unsigned m_failures = 0;
    bool m_ended = false;
};

/// A clock that also runs while the VM is suspended.
steady_time bootTime();

struct fleet_options {
    std::vector<std::string> seeds; ///< host:port of entries to ask while none is known.
    bool followPeers = true; ///< Whether entries beyond the first of a zone leave the store to those.
};

/// Follows the store, and peers while the store turns this process away. On the loop's thread.
///
/// Each change is told to each process that follows the store by a priced call. So only some entries of an
/// availability zone follow it, the first by rendezvous hashing; the others ask one of these several times a
/// second over the links between processes. One that hears of none that the store answers follows the store
/// itself.
class fleet_watch {
public:
    struct listeners {
        std::function<void()> configuration; ///< A newer configuration is in force.
        std::function<void()> targets;
        std::function<void()> nodes;
        std::function<void()> orders; ///< What operators wrote has changed.
    };

    fleet_watch(event_loop& loop, observed_store& store, rpc_client& peers, const fleet_codec& codec,
        node_record self, fleet_options options, listeners notify);

    void start();

    /// Null until one is known.
    std::shared_ptr<const routing_table> configuration() const { return m_configuration; }
    const target_directory& targets() const { return m_targets; }
    /// Processes that are registered, and for a moment those whose registration has just lapsed. This process
    /// is among them.
    std::vector<node_record> nodes(node_role role) const;
    /// Processes that the store lists now.
    std::vector<node_record> registered(node_role role) const;
    const store_section& orders() const { return m_ordersMirror.section(); }
    bool storeConnected() const { return m_ordersMirror.connected(); }
    /// Whether the list of processes was read from the store, and the store has been in reach long enough for
    /// lapsed entries to be back.
    bool nodesSettled(steady_time now) const;

    /// From any thread.
    store_contact storeContact() const { return { m_watches, m_settled }; }
    /// Copies that are newer than the asker's. From any thread.
    std::vector<store_section> newerThan(std::span<const section_revision> known) const;

private:
    void ordersChanged(const store_mirror& mirror);
    void targetsChanged(const store_mirror& mirror);
    void nodesChanged(const store_mirror& mirror);
    void publish(const store_mirror& mirror);
    steady_time listsTrustedFrom() const;
    void logTargetChanges(const std::map<std::string, listed_target, std::less<>>& before) const;
    void askPeer();
    /// Entries of the own zone that follow the store; this process may be among them.
    std::vector<node_record> watchers() const;
    bool isWatcher() const;
    std::vector<std::string> peersToAsk() const;
    void peerAnswered(const sync_answer& answer);
    void takeCopies(const std::vector<store_section>& copies);
    void tick();
    std::vector<section_revision> known() const;

    event_loop& m_loop;
    const observed_store& m_store;
    rpc_client& m_peers;
    const fleet_codec& m_codec;
    node_record m_self;
    fleet_options m_options;
    listeners m_notify;
    store_mirror m_ordersMirror;
    store_mirror m_targetsMirror;
    store_mirror m_nodesMirror;
    std::shared_ptr<const routing_table> m_configuration;
    target_directory m_targets;
    /// Revisions of entries of targets that could not be read, so that each is logged once a change.
    std::map<std::string, std::int64_t> m_notUnderstood;
    struct known_node {
        node_record record;
        std::optional<steady_time> missingSince;
    };
    std::map<std::string, known_node, std::less<>> m_nodes; ///< By key.
    loop_ticker m_ticker;
    steady_time m_nextSync;
    std::minstd_rand m_random;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    bool m_takingSettled = false; ///< The copy that is being taken over can be trusted.
    std::atomic<bool> m_settled { false }; ///< For peers, as of the last tick.
    std::atomic<bool> m_watches { false }; ///< Likewise.
    bool m_direct = true; ///< This process follows the store itself.
    steady_time m_watcherHeard; ///< When one that the store answers was last heard of.
    bool m_watcherSettled = false; ///< What it said of its copies.
    mutable std::mutex m_publishedMutex; ///< Peers ask from the transport's threads.
    std::map<std::string, std::shared_ptr<const store_section>> m_published;
};

} // namespace yuccachute
