#pragma once

#include "event_loop/event_loop.h"
#include "mirror/mirror.h"
#include "process_settings/process_settings.h"
#include "routing/routing.h"
#include "rpc/rpc.h"
#include "store/store.h"

#include <algorithm>
#include <array>
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
    virtual std::string operatorPrefix() const = 0;
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

/// Whether a VM is one of the larger ones: it offers at least half of what the largest does.
bool isLarge(const node_record& node, double maxCores);
/// The same among others.
bool isLargeAmong(const node_record& node, std::span<const node_record> others);

std::string encodeNode(const node_record& node);
result<node_record> decodeNode(std::string_view document);

/// Prefix of the keys under which processes register.
constexpr std::string_view nodesPrefix = "yuccachute/node/";
std::string nodeKey(const node_record& node);

/// An entry that may own a part of customers' limits, as it is on record in the store.
struct share_record {
    std::string vm;
    std::string zone;
    std::string address; ///< host:port for the system's other processes.
};

std::string encodeShare(const share_record& share);
result<share_record> decodeShare(std::string_view vm, std::string_view document);

/// Beside the registrations, so that one reading and one watch tell of both.
constexpr std::string_view sharesPrefix = "yuccachute/node/limit-share/";
/// Key of the record that an entry owns a part of customers' limits. It has no lease: behind a cut the entry
/// goes on granting when its registration has lapsed.
std::string shareKey(std::string_view vm);

/// Keeps a process registered under a lease. The key vanishes when the process dies; it may also vanish
/// unnoticed, so the registration is renewed and checked at an interval. The share record of an entry is
/// written along, and removed when the entry leaves.
class registration {
public:
    struct timing {
        milliseconds leaseTtl { 4000 };
        milliseconds renewalInterval { 1300 };
    };

    registration(event_loop& loop, async_store& store, node_record self, timing intervals);

    void start();
    /// Says in the store that the process leaves.
    void leave();
    /// Ends the lease, and with it the registration, at once.
    void end();
    /// When the last renewal that the store confirmed was sent, by a clock that counts suspended time. From
    /// then on the key existed at least until the next renewal failed, unless it was taken away.
    steady_time lastConfirmed() const { return m_lastConfirmed; }
    /// How often the process has been registered anew. Whoever held something under the registration must
    /// look whether it still does after each time: it may have been taken by others in between.
    std::uint64_t generation() const { return m_generation; }
    const node_record& record() const { return m_self; }

private:
    void grant();
    void write();
    void renew();
    void scheduleStep(milliseconds pause, void (registration::*step)());

    async_store& m_store;
    node_record m_self;
    timing m_intervals;
    loop_timer m_timer;
    std::int64_t m_lease = 0;
    steady_time m_lastConfirmed;
    std::uint64_t m_generation = 0;
    unsigned m_failures = 0;
    bool m_leaseEnded = false;
};

/// A clock that also runs while the VM is suspended.
steady_time bootClockNow();

struct fleet_options {
    std::vector<std::string> seeds; ///< host:port of entries to ask while none is known.
    bool followPeers = true; ///< Whether entries beyond the first of a zone leave the store to those.
    /// For so long after its start, and at most twice as long, a process waits to hear from entries that
    /// follow the store before it does so itself: a batch process for the list of targets, an entry that has
    /// not offered itself for all. When a whole fleet starts nobody knows yet who follows it.
    milliseconds startupGrace { 0 };
};

/// As the process's settings ask for.
fleet_options fleetOptions(const process_settings& settings);

/// Whether others of its zone need an entry, for places at targets and for copies of the store.
enum class registration_need : std::uint8_t {
    none,
    spare, ///< Enough are registered, but few could go at once.
    urgent
};

/// By how many others of the zone that come before the entry, the larger ones first, have registered
/// themselves.
///
/// An entry that is not needed does not register: the list of processes grows with the zones and not with the
/// VMs. With all 250 entries of a fleet in it, starts and renewals would be a third of the calls of a
/// quiet minute, and each restart is told to everybody.
registration_need registrationNeed(const node_record& self, std::span<const node_record> registered);

/// How long an entry waits after its start before it looks whether it is needed: larger VMs first, so that
/// the others find them registered.
milliseconds initialRegistrationDelay(double cores);

/// From the moment at which it sees the need, an entry decides after a part of this time that is drawn at
/// random, so that the first ones are listed before the last ones decide.
milliseconds maxRegistrationDelay(registration_need need, double cores);

class store_watchers;

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
        std::function<void(std::span<const target_change>)> targets; ///< What has changed about them.
        std::function<void()> nodes;
        std::function<void()> operatorKeys; ///< What operators wrote has changed.
    };

    fleet_watch(event_loop& loop, observed_store& store, peer_sync& peers, const fleet_codec& codec,
        node_record self, fleet_options options, listeners notify);
    ~fleet_watch();
    fleet_watch(const fleet_watch&) = delete;
    fleet_watch& operator=(const fleet_watch&) = delete;

    void start();
    /// This process has decided to register itself: from now on it counts among the fleet's processes, and
    /// others rely on its copies. Until then an entry has no use for all targets: it asks dispatchers for
    /// places, and needs some targets for the case that it is cut off from all of them. It holds a slice of
    /// the list, which does not grow with the fleet.
    void joinFleet();
    bool hasJoined() const { return m_joined; }

    /// Null until one is known.
    std::shared_ptr<const routing_table> configuration() const { return m_configuration; }
    const target_directory& targets() const { return m_targets; }
    /// Whether a list of targets has been read; without one every request would be refused.
    bool hasTargetList() const { return m_targetsMirror.known(); }
    /// Processes that are registered, and for a moment those whose registration has just lapsed. This process
    /// is among them if it has offered itself, or knows no other entry of its zone.
    std::vector<node_record> nodes(node_role role) const;
    /// Addresses of the entries among them, without this process.
    std::vector<std::string> otherEntryAddresses() const;
    /// Processes that the store lists now.
    std::vector<node_record> registered(node_role role) const;
    /// Whether the list names this process, in this or a former start.
    bool listed() const { return m_nodes.contains(nodeKey(m_self)); }
    /// Entries that may own parts of customers' limits, registered or not.
    std::span<const share_record> shareRecords() const { return m_shareRecords; }
    const store_section& operatorKeys() const { return m_operatorMirror.section(); }
    bool storeConnected() const { return m_operatorMirror.connected(); }
    /// Since when the configuration, or the list of targets, may be another than the one in force here.
    milliseconds configurationAge(steady_time now) const { return ageOf(m_operatorMirror, now); }
    milliseconds targetsAge(steady_time now) const { return ageOf(m_targetsMirror, now); }
    /// Whether the list of processes was read from the store, and the store has been in reach long enough for
    /// lapsed entries to be back.
    bool nodeListReliable(steady_time now) const;

    /// From any thread.
    store_contact storeContact() const { return { m_watchesStore }; }
    /// What a peer with these copies is answered. From any thread.
    sync_answer answer(std::span<const section_revision> known) const;

private:
    using section_changes = std::span<const section_change>;

    void operatorKeysChanged(const store_mirror& mirror);
    void targetsChanged(const store_mirror& mirror, section_changes changes);
    void nodesChanged(const store_mirror& mirror);
    /// Null if the entry cannot be read.
    target_ptr decodeTargetEntry(const section_entry& entry) const;
    /// What the entries' changes mean for the targets that they name.
    std::vector<target_change> decodeChanges(section_changes changes);
    /// A copy as peers are told of it.
    struct published_section {
        std::shared_ptr<const section_history> history;
        section_standing standing; ///< As of the last tick, but for its age.
        steady_time lastConfirmed;
    };

    void publish(const store_mirror& mirror);
    void unpublish(const store_mirror& mirror);
    void publishStandings();
    published_section published(const std::string& prefix) const;
    /// Whether the store has been in reach of this process for so long that lapsed entries are back.
    bool listsAreComplete(steady_time now) const;
    void dropMissingTargets();
    void notifyTargets(std::span<const target_change> changes);
    void logTargetChanges(std::span<const target_change> changes) const;
    void logMissingTargets();
    static milliseconds ageOf(const store_mirror& mirror, steady_time now)
    {
        return std::chrono::duration_cast<milliseconds>(now - mirror.lastConfirmed());
    }
    /// Of what callers' requests are decided by.
    milliseconds age(steady_time now) const { return std::max(configurationAge(now), targetsAge(now)); }
    bool needsNewerCopies(steady_time now) const;
    /// The age at which this process has its copies confirmed.
    milliseconds confirmationAge() const;
    void confirmCopies(steady_time now);
    milliseconds syncInterval(steady_time now) const;
    void syncWithPeers(steady_time now);
    void notifyNodes();
    void addShareRecord(const section_entry& entry);
    bool isWatcher() const;
    bool followsTargets(steady_time now) const;
    void readTargetsIfUnknown(steady_time now);
    milliseconds randomDelay(milliseconds most);
    bool hasStartupGrace() const { return m_options.startupGrace.count() > 0; }
    /// `whole`: also for sections that this process has no copy of.
    void syncWith(const std::string& address, bool whole);
    std::vector<std::string> selectPeers(steady_time now);
    void onPeerAnswer(const std::string& address, const sync_answer& answer, steady_time asked);
    std::array<store_mirror*, 3> mirrors() { return { &m_operatorMirror, &m_targetsMirror, &m_nodesMirror }; }
    /// The store answers this process, as far as it knows.
    bool connected() const;
    /// Others may ask this process: it is registered, or about to be.
    bool servesPeers() const;
    void applyPeerAnswer(const sync_answer& answer, steady_time asked);
    void tick();
    bool needsFullCopy() const;
    std::vector<section_revision> known(bool whole) const;

    event_loop& m_loop;
    const observed_store& m_store;
    peer_sync& m_peers;
    const fleet_codec& m_codec;
    node_record m_self;
    fleet_options m_options;
    listeners m_notify;
    store_mirror m_operatorMirror;
    store_mirror m_targetsMirror;
    store_mirror m_nodesMirror;
    std::shared_ptr<const routing_table> m_configuration;
    target_directory m_targets;
    std::size_t m_loggedMissingCount = 0; ///< How many kept targets the log told of last.
    std::int64_t m_missingRevision = 0; ///< Of the list from which one of them was missing first.
    std::int64_t m_configurationRevision = 0; ///< Of the entry that was read last.
    std::map<std::string, target_ptr, std::less<>>
        m_decodedTargets; ///< By key, of entries that could be read.
    struct known_node {
        node_record record;
        std::int64_t revision = 0;
        std::optional<steady_time> missingSince;
    };
    std::map<std::string, known_node, std::less<>> m_nodes; ///< By key.
    std::vector<share_record> m_shareRecords;
    std::unique_ptr<store_watchers> m_watchers; ///< Entries that follow the store.
    loop_ticker m_ticker;
    steady_time m_lastSync;
    steady_time m_nextFullCopyRequest; ///< When the next peer may be asked for a whole copy.
    std::size_t m_fullCopyRequests = 0;
    std::minstd_rand m_random;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::atomic<bool> m_watchesStore { false }; ///< For peers, as of the last tick.
    bool m_followsStore = true; ///< This process follows the store itself.
    bool m_joined = false; ///< It has decided to register itself.
    steady_time m_startupGraceUntil;
    std::optional<steady_time> m_targetReadTime; ///< Unless a peer has told of targets.
    steady_time m_lastWatcherAnswer; ///< When one that the store answers was last heard of.
    bool m_peerUnresponsive = false; ///< The peer that was asked last did not answer.
    mutable std::mutex m_publishedMutex; ///< Peers ask from the transport's threads.
    std::map<std::string, published_section> m_published;
};

} // namespace yuccachute
