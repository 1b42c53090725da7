#pragma once

#include "event_loop/event_loop.h"
#include "mirror/mirror.h"
#include "origins/origins.h"
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

/// A process's view of the fleet: the configuration, the targets and the system's own processes. Layer:
/// processes.
namespace yuccachute {

/// Decodes the documents that a platform keeps in its store. Stateless.
class fleet_codec {
public:
    virtual ~fleet_codec() = default;
    /// Prefix of the keys that operators write, among them the configuration's.
    virtual std::string operatorPrefix() const = 0;
    virtual std::string configurationKey() const = 0;
    /// Prefix of the keys under which targets register.
    virtual std::string targetsPrefix() const = 0;
    /// The failure names the invalid field.
    virtual result<routing_table> decodeConfiguration(std::string_view document) const = 0;
    virtual result<listed_target> decodeTarget(std::string_view key, std::string_view document) const = 0;
};

enum class node_role : std::uint8_t { entry, batch };

/// A process of the system, as registered in the store.
struct node_record {
    std::string vm;
    node_role role = node_role::entry;
    std::string zone;
    std::string address; ///< host:port for the system's other processes.
    std::uint64_t incarnation = 0; ///< Different at each start.
    bool leaving = false; ///< The process stops soon and accepts no new work.
    double cores = 0; ///< CPU cores of its VM, possibly a fraction; 0 if unknown.
};

/// Whether a VM is large: it has at least half as many cores as the largest VM.
bool isLarge(const node_record& node, double maxCores);
/// The same, compared with the largest VM of a list.
bool isLargeAmong(const node_record& node, std::span<const node_record> others);

std::string encodeNode(const node_record& node);
result<node_record> decodeNode(std::string_view document);

/// Prefix of the keys under which the system's processes register.
constexpr std::string_view nodesPrefix = "yuccachute/node/";
std::string nodeKey(const node_record& node);

/// An entry that may own a share of customers' limits, as recorded in the store.
struct share_record {
    std::string vm;
    std::string zone;
    std::string address; ///< host:port for the system's other processes.
};

std::string encodeShare(const share_record& share);
result<share_record> decodeShare(std::string_view vm, std::string_view document);

/// Below nodesPrefix, so that one listing and one watch cover both kinds of records.
constexpr std::string_view sharesPrefix = "yuccachute/node/limit-share/";
/// Key of the record that an entry owns a share of customers' limits. The key has no lease: an entry that is
/// partitioned from the store continues to grant requests from its share after its registration has lapsed.
std::string shareKey(std::string_view vm);

/// Prefix of the records of the software versions that a service has, or has had lately. Below nodesPrefix as
/// well: every process needs them, and they change only when a service gets another version.
constexpr std::string_view versionsPrefix = "yuccachute/node/service-version/";
/// Prefix of the keys of a service's records.
std::string versionsPrefixOf(std::string_view service);
std::string versionKey(const service_version& recorded);
std::string encodeVersion(const service_version& recorded);
result<service_version> decodeVersion(std::string_view document);

/// Keeps a process registered under a lease. The key is removed when the process dies. It may also be removed
/// while the process runs, so the lease is renewed at an interval and the process registers again if it has
/// lapsed. An entry's share record is written with the registration and removed when the entry leaves.
class registration {
public:
    struct timing {
        milliseconds leaseTtl { 4000 };
        milliseconds renewalInterval { 1300 };
    };

    registration(event_loop& loop, async_store& store, node_record self, timing intervals);

    void start();
    /// Marks the process as leaving in the store.
    void leave();
    /// Ends the lease, which removes the registration at once.
    void end();
    /// When the last renewal that the store confirmed was sent, by bootClockNow(). From then on the key
    /// existed at least until the next renewal failed, unless somebody removed it.
    steady_time lastConfirmed() const { return m_lastConfirmed; }
    /// How many times the process has registered. Whatever the process held under an earlier registration
    /// must be checked after each new one: other processes may have taken it over in between.
    std::uint64_t generation() const { return m_generation; }
    const node_record& record() const { return m_self; }

private:
    void grant();
    void write();
    void renew();
    void scheduleStep(milliseconds delay, void (registration::*step)());

    async_store& m_store;
    node_record m_self;
    timing m_intervals;
    loop_timer m_timer;
    std::int64_t m_lease = 0;
    std::int64_t m_revision = 0; ///< Of the record as it was last seen; 0 if it did not exist.
    steady_time m_lastConfirmed;
    std::uint64_t m_generation = 0;
    unsigned m_failures = 0;
    bool m_leaseEnded = false;
};

/// A clock that runs with the steady clock and also counts the time during which the VM is suspended, as far
/// as the system's boot clock shows it. Some systems refuse that clock or let it stand still. Thread-safe.
class suspension_clock {
public:
    /// The time at these readings of the two clocks; `boot` is unset if it could not be read.
    steady_time at(steady_time steady, std::optional<steady_time> boot);

private:
    std::atomic<std::int64_t> m_suspendedNs { 0 }; ///< The most by which the boot clock has been ahead.
};

/// Reading of the system's boot clock; unset if the system refuses it.
std::optional<steady_time> readBootClock();

/// Time of the process's suspension_clock.
steady_time bootClockNow();

struct fleet_options {
    std::vector<std::string> seeds; ///< host:port of entries to contact while no other entry is known.
    /// Whether only the first entries of a zone follow the store and the others synchronize with them.
    bool followPeers = true;
    /// How long after its start, and at most twice as long, a process waits for answers of entries that
    /// follow the store before it follows the store itself: a batch process for the list of targets, an
    /// unregistered entry for everything. When a whole fleet starts, it is not yet known which entries follow
    /// the store.
    milliseconds startupGrace { 0 };
};

fleet_options fleetOptions(const process_settings& settings);

/// Whether a zone needs an entry to register. The registered entries grant slots at targets and provide
/// copies of the store to the other entries of their zone.
enum class registration_need : std::uint8_t {
    none,
    spare, ///< Enough entries are registered, but too few to survive the loss of several.
    urgent
};

/// Decides by the number of registered entries of the same zone that rank before this one; larger VMs rank
/// first.
///
/// An entry that is not needed does not register, so that the list of processes grows with the number of
/// zones and not with the number of VMs. If all 250 entries of a fleet registered, starts and renewals would
/// be a third of the calls of an idle minute, and every process would be notified of each restart.
registration_need registrationNeed(const node_record& self, std::span<const node_record> registered);

/// How long an entry waits after its start before it checks whether it is needed. Larger VMs wait for a
/// shorter time, so that the others find them registered.
milliseconds initialRegistrationDelay(double cores);

/// After an entry has found that it is needed, it waits for a random part of this time and checks again
/// before it registers, so that the first entries are listed before the last ones decide.
milliseconds maxRegistrationDelay(registration_need need, double cores);

class store_watchers;

/// Keeps the process's view of the fleet up to date from the store, or from peers while the store does not
/// answer this process. To be used on the loop's thread only.
///
/// The store charges one call for each change and each process that follows it. Therefore only some entries
/// of an availability zone follow the store, the watchers, which are chosen by rendezvous hashing. The others
/// synchronize with a watcher several times a second over the connections between processes. A process that
/// gets no answer from a watcher to which the store answers follows the store itself.
class fleet_watch {
public:
    struct listeners {
        std::function<void()> configuration; ///< A newer configuration is in force.
        std::function<void(std::span<const target_change>)> targets; ///< Called with the changes.
        std::function<void()> nodes;
        std::function<void()> operatorKeys; ///< Keys that operators write have changed.
    };

    fleet_watch(event_loop& loop, observed_store& store, peer_sync& peers, const fleet_codec& codec,
        node_record self, fleet_options options, listeners notify);
    ~fleet_watch();
    fleet_watch(const fleet_watch&) = delete;
    fleet_watch& operator=(const fleet_watch&) = delete;

    void start();
    /// To be called when this process has decided to register: from now on it counts as one of the fleet's
    /// processes, and others rely on its copies. Until then an entry keeps only a slice of the list of
    /// targets, whose size does not grow with the fleet. It does not need all targets, because it requests
    /// slots from dispatchers and uses targets of its own choice only while no dispatcher can be reached.
    void joinFleet();
    bool hasJoined() const { return m_joined; }

    /// Null until a configuration is known.
    std::shared_ptr<const routing_table> configuration() const { return m_configuration; }
    /// Asks the store for a newer configuration, unless it has been asked a moment ago: another process has
    /// one. A copy can be up to two seconds old if the connection of the waiting call is dead.
    void requestConfiguration(steady_time now) { m_operatorMirror.requestConfirmation(now); }
    const target_directory& targets() const { return m_targets; }
    /// Whether a list of targets is known; without one every request would be refused.
    bool hasTargetList() const { return m_targetsMirror.known(); }
    /// Registered processes, including those whose registration has just lapsed. This process is included if
    /// it has joined the fleet, or if no other process of this role in its zone is known.
    std::vector<node_record> nodes(node_role role) const;
    /// Addresses of the entries among nodes(), without this process.
    std::vector<std::string> otherEntryAddresses() const;
    /// Processes that are registered in the store now.
    std::vector<node_record> registered(node_role role) const;
    /// Whether this process is registered, by this or an earlier start.
    bool listed() const { return m_nodes.contains(nodeKey(m_self)); }
    /// Entries that may own shares of customers' limits, registered or not.
    std::span<const share_record> shareRecords() const { return m_shareRecords; }
    /// Software versions that are recorded in the store.
    std::span<const service_version> recordedVersions() const { return m_recordedVersions; }
    const store_section& operatorKeys() const { return m_operatorMirror.section(); }
    bool storeConnected() const { return m_operatorMirror.connected(); }
    /// For how long the configuration, or the list of targets, may have been outdated here.
    milliseconds configurationAge(steady_time now) const { return ageOf(m_operatorMirror, now); }
    milliseconds targetsAge(steady_time now) const { return ageOf(m_targetsMirror, now); }
    /// How long ago the store last confirmed one of the copies, to this process or to one that it
    /// synchronizes with.
    milliseconds storeSilence(steady_time now) const;
    /// Whether the list of processes comes from the store itself, and the store has been reachable for long
    /// enough that processes whose leases lapsed in an outage have registered again.
    bool nodeListReliable(steady_time now) const;

    /// Thread-safe.
    store_contact storeContact() const { return { m_watchesStore }; }
    /// The answer to a peer that has copies of these revisions. Thread-safe.
    sync_answer answer(std::span<const section_revision> known) const;

private:
    using section_changes = std::span<const section_change>;

    void operatorKeysChanged(const store_mirror& mirror);
    void targetsChanged(const store_mirror& mirror, section_changes changes);
    void nodesChanged(const store_mirror& mirror);
    /// Null if the entry cannot be decoded.
    target_ptr decodeTargetEntry(const section_entry& entry) const;
    /// Converts changes of entries to changes of the targets that they describe.
    std::vector<target_change> decodeChanges(section_changes changes);
    /// A copy that is provided to peers.
    struct published_section {
        std::shared_ptr<const section_history> history;
        section_standing standing; ///< As of the last tick, except for its age.
        steady_time lastConfirmed;
    };

    void publish(const store_mirror& mirror);
    void unpublish(const store_mirror& mirror);
    void publishStandings();
    published_section published(const std::string& prefix) const;
    /// Whether the store has been reachable for long enough that entries that lapsed in an outage exist
    /// again.
    bool listsAreComplete(steady_time now) const;
    void dropMissingTargets();
    void notifyTargets(std::span<const target_change> changes);
    void logTargetChanges(std::span<const target_change> changes) const;
    void logMissingTargets();
    static milliseconds ageOf(const store_mirror& mirror, steady_time now)
    {
        return std::chrono::duration_cast<milliseconds>(now - mirror.lastConfirmed());
    }
    /// Age of the older one of the copies that decide about callers' requests.
    milliseconds age(steady_time now) const { return std::max(configurationAge(now), targetsAge(now)); }
    bool needsNewerCopies(steady_time now) const;
    /// Age of a copy from which this process asks the store for a confirmation.
    milliseconds confirmationAge() const;
    /// Counts the ticks with old copies since the last pause of the process. To be called once a tick.
    void countAgedTick(steady_time now);
    void confirmCopies(steady_time now);
    milliseconds syncInterval(steady_time now) const;
    void syncWithPeers(steady_time now);
    void notifyNodes();
    void addShareRecord(const section_entry& entry);
    void addVersionRecord(const section_entry& entry);
    bool isWatcher() const;
    bool followsTargets(steady_time now) const;
    void readTargetsIfUnknown(steady_time now);
    milliseconds randomDelay(milliseconds limit);
    bool hasStartupGrace() const { return m_options.startupGrace.count() > 0; }
    /// `whole`: also requests full copies of the sections that need one.
    void syncWith(const std::string& address, bool whole);
    std::vector<std::string> selectPeers(steady_time now);
    void onPeerAnswer(const std::string& address, const sync_answer& answer, steady_time sent);
    std::array<store_mirror*, 3> mirrors() { return { &m_operatorMirror, &m_targetsMirror, &m_nodesMirror }; }
    /// Whether the store is connected, for all sections.
    bool connected() const;
    /// Whether peers may synchronize with this process: it is registered, or about to be.
    bool servesPeers() const;
    void applyPeerAnswer(const sync_answer& answer, steady_time sent);
    void tick();
    bool needsFullCopy() const;
    std::vector<section_revision> revisionsToSync(bool whole) const;

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
    std::size_t m_loggedMissingCount = 0; ///< Number of missing targets in the last log entry about them.
    std::int64_t m_missingRevision = 0; ///< Latest revision at which another target was found missing.
    std::int64_t m_configurationRevision = 0; ///< Of the configuration's entry that was decoded last.
    std::map<std::string, target_ptr, std::less<>> m_decodedTargets; ///< By key.
    struct known_node {
        node_record record;
        std::int64_t revision = 0;
        std::optional<steady_time> missingSince;
    };
    std::map<std::string, known_node, std::less<>> m_nodes; ///< By key.
    std::vector<share_record> m_shareRecords;
    std::vector<service_version> m_recordedVersions;
    std::unique_ptr<store_watchers> m_watchers; ///< Entries that follow the store.
    loop_ticker m_ticker;
    steady_time m_lastSync;
    steady_time m_nextFullCopyRequest; ///< Earliest time of the next request for a full copy.
    std::size_t m_fullCopyRequests = 0;
    std::minstd_rand m_random;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    /// This process follows the store, the store answers it, and its copies are recent. As of the last tick.
    std::atomic<bool> m_watchesStore { false };
    bool m_followsStore = true;
    bool m_joined = false; ///< The process has decided to register.
    steady_time m_startupGraceUntil;
    /// When to read the list of targets from the store, unless a peer answers before.
    std::optional<steady_time> m_targetReadTime;
    /// When this process last got an answer from a watcher to which the store answers.
    steady_time m_lastWatcherAnswer;
    bool m_peerUnresponsive = false; ///< The last synchronization failed.
    /// Consecutive ticks at which the first watcher should have asked for a confirmation of these copies.
    unsigned m_agedTicks = 0;
    steady_time m_lastTick;
    steady_time m_lastPause; ///< When the aged ticks were last counted anew after a pause of the process.
    mutable std::mutex m_publishedMutex; ///< answer() is called by the transport's threads.
    std::map<std::string, published_section> m_published;
};

} // namespace yuccachute
