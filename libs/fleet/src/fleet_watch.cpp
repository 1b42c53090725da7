#include "fleet/fleet.h"

#include "watchers.h"

#include "logging/logging.h"
#include "membership/membership.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace yuccachute {

namespace {

constexpr milliseconds tickInterval { 100 };
/// Interval of synchronization with peers while the store does not answer: a change that takes two rounds
/// reaches all processes well within the two seconds that operators are promised.
constexpr milliseconds disconnectedSyncInterval { 250 };
/// Interval at which watchers synchronize with the first watcher otherwise, to receive changes that their own
/// calls may have missed.
constexpr milliseconds watcherSyncInterval { 500 };
/// From this age of its copies a watcher synchronizes at every tick: the first watcher has asked for their
/// confirmation by then. At followerSyncInterval, which the ticks round up to 300 ms, copies taken just
/// before this would reach the confirmation age of the second watcher.
constexpr milliseconds agedCopyAge { 700 };
constexpr milliseconds syncTimeout { 500 };
/// A full copy takes longer to arrive.
constexpr milliseconds fullCopyTimeout { 1500 };
/// After this time without an answer, a full copy is requested from another peer.
constexpr milliseconds fullCopyRetryInterval { 700 };
/// Interval at which a process that does not follow the store synchronizes with a watcher. Together with
/// targetBurstDelay, 400 ms, a target that leaves is known to all within 0.7 s; it continues to serve for two
/// seconds.
constexpr milliseconds followerSyncInterval { 250 };
/// A process follows the store itself after this time without an answer of a watcher to which the store
/// answers, that is, after two unsuccessful requests.
constexpr milliseconds watcherTimeout { 700 };
/// The same for a process on which no others rely. By then the registered entries of its zone follow the
/// store if it answers them, and entries of other zones have been contacted too. During an outage 250
/// processes that call the store themselves would cause thousands of refused calls, which are charged as
/// well.
constexpr milliseconds unregisteredWatcherTimeout { 6000 };
/// Age of a copy at which the first watcher asks the store for a confirmation, which the others receive from
/// it. With the values below, a tick and a hop, every connected process knows of a target that leaves after
/// 1.8 s; the target continues to serve for two seconds.
constexpr milliseconds firstWatcherConfirmationAge { 600 };
/// Increases the confirmation age for each further watcher, up to maxConfirmationSteps, so that normally only
/// the first one calls the store: calls are charged, and a fleet of 300 processes has 25 that follow the
/// store. Batch processes, which choose no targets, wait for batchConfirmationSteps.
constexpr milliseconds confirmationAgeStep { 400 };
constexpr std::size_t maxConfirmationSteps = 2;
constexpr std::size_t batchConfirmationSteps = 3;
/// Consecutive ticks with copies that are older than firstWatcherConfirmationAge after which a process other
/// than the first watcher may ask the store for a confirmation. Three synchronizations suffice to receive the
/// first watcher's confirmation, which it publishes at the tick after its call.
constexpr unsigned minAgedTicks = 4;
/// After a longer gap between two ticks the process was suspended or its VM overloaded: its copies are old
/// because it did not ask, so the ticks are counted anew.
constexpr milliseconds maxTickGap { 200 };
/// The ticks are counted anew at most this often: a process that is always slow would otherwise never ask the
/// store.
constexpr milliseconds minPauseInterval { 2000 };
/// A process with older copies synchronizes with one entry of each zone: its previous peer may have lost the
/// store without noticing, such as a watcher whose connection is dead. In an idle fleet this does not happen:
/// copies are at most 1 s old in watchers and 1.3 s in other processes.
constexpr milliseconds maxCopyAge { 1400 };
/// A process on which others rely follows the store itself if its copies become this old nevertheless.
constexpr milliseconds followStoreAge { 1600 };
/// Processes on which no others rely are the majority, so besides their own zone they contact entries of only
/// this many other zones.
constexpr std::size_t unregisteredOtherZones = 1;
/// Limits of the delay between calls while the store does not answer. Watchers retry every second. The others
/// retry less often, because refused calls are charged too and watchers inform them when the store is back.
constexpr milliseconds watcherMaxRetryDelay { 1000 };
constexpr milliseconds followerMaxRetryDelay { 4000 };
/// Targets and processes are added and removed in groups, and each process that follows the store makes a
/// call for each reported change. Further changes of a burst are therefore grouped into one call. A target
/// that leaves is still known well within the two seconds for which it continues to serve.
constexpr milliseconds targetBurstDelay { 400 };
/// A rolling restart of all processes changes their list three times a second for a minute. Processes that
/// stop are noticed sooner by their broken connections.
constexpr milliseconds nodeBurstDelay { 1000 };
/// How long a process that is missing from the list still counts, in case only its lease has lapsed.
constexpr milliseconds missingNodeRetention { 3000 };
/// Entries whose leases lapsed in an outage of the store exist again about two seconds after its end.
constexpr milliseconds reregistrationTime { 2200 };
/// Number of simultaneously changed targets that are logged by name: a process that starts receives all of
/// them as changes.
constexpr std::size_t maxLoggedChanges = 50;

/// When a fleet starts, the larger VMs register within about a second, and all processes know of it within
/// another second.
constexpr milliseconds startupGrace { 3000 };

/// Except in the largest fleets, the entries that register first have read the list by then.
constexpr milliseconds targetReadDelay { 500 };
/// Processes that no peer has answered by then spread their reads of the first page over this time.
constexpr milliseconds targetReadSpread { 3500 };

/// Never 0, which would mean the whole section.
std::uint32_t sliceSeed(std::string_view vm)
{
    return static_cast<std::uint32_t>(hashText(vm)) | (1U << 31);
}

} // namespace

fleet_options fleetOptions(const process_settings& settings)
{
    return { settings.seeds, settings.followPeers, settings.followPeers ? startupGrace : milliseconds { 0 } };
}

fleet_watch::fleet_watch(event_loop& loop, observed_store& store, peer_sync& peers, const fleet_codec& codec,
    node_record self, fleet_options options, listeners notify)
    : m_loop(loop)
    , m_store(store)
    , m_peers(peers)
    , m_codec(codec)
    , m_self(std::move(self))
    , m_options(std::move(options))
    , m_notify(std::move(notify))
    , m_operatorMirror(loop, store, codec.operatorPrefix(), milliseconds { 0 },
          [this](const auto& mirror, auto) { operatorKeysChanged(mirror); })
    , m_targetsMirror(
          loop, store, codec.targetsPrefix(), targetBurstDelay,
          [this](const auto& mirror, auto changes) { targetsChanged(mirror, changes); },
          [this] { return listsAreComplete(std::chrono::steady_clock::now()); })
    , m_nodesMirror(loop, store, std::string(nodesPrefix), nodeBurstDelay,
          [this](const auto& mirror, auto) { nodesChanged(mirror); })
    , m_watchers(std::make_unique<store_watchers>())
    , m_ticker(loop, tickInterval, [this] { tick(); })
    , m_random(std::random_device {}())
{
    m_watchers->choose(nodes(node_role::entry));
}

fleet_watch::~fleet_watch() = default;

void fleet_watch::start()
{
    // Not a stale read: an old configuration would be in force until a newer one arrives.
    m_operatorMirror.start();
    if (!hasStartupGrace()) {
        m_targetsMirror.start();
        m_nodesMirror.start();
        return;
    }
    m_startupGraceUntil
        = std::chrono::steady_clock::now() + m_options.startupGrace + randomDelay(m_options.startupGrace);
    m_lastWatcherAnswer = m_startupGraceUntil - unregisteredWatcherTimeout;
    m_targetsMirror.requestSlice(sliceSeed(m_self.vm));
    m_targetsMirror.startWithoutReading();
    m_targetReadTime = std::chrono::steady_clock::now() + targetReadDelay + randomDelay(targetReadSpread);
    if (m_self.role == node_role::batch)
        return m_nodesMirror.start();
    m_followsStore = false;
    m_operatorMirror.setFollowing(false);
    m_nodesMirror.setFollowing(false);
    m_nodesMirror.start(store_mirror::read_consistency::stale);
}

void fleet_watch::joinFleet()
{
    m_joined = true;
    if (m_self.role == node_role::entry) {
        m_targetReadTime.reset();
        m_targetsMirror.requireAllEntries();
    }
    notifyNodes();
}

void fleet_watch::unpublish(const store_mirror& mirror)
{
    const std::scoped_lock lock(m_publishedMutex);
    m_published.erase(mirror.section().prefix);
}

void fleet_watch::publish(const store_mirror& mirror)
{
    if (!mirror.history().whole())
        return unpublish(mirror);
    auto copy = std::make_shared<const section_history>(mirror.history());
    const auto standing = mirror.standing(std::chrono::steady_clock::now());
    const std::scoped_lock lock(m_publishedMutex);
    m_published[copy->section().prefix] = { copy, standing, mirror.lastConfirmed() };
}

void fleet_watch::publishStandings()
{
    const auto now = std::chrono::steady_clock::now();
    const std::scoped_lock lock(m_publishedMutex);
    for (const auto* mirror : mirrors()) {
        const auto found = m_published.find(mirror->section().prefix);
        if (found == m_published.end())
            continue;
        auto& [history, standing, lastConfirmed] = found->second;
        standing = mirror->standing(now);
        lastConfirmed = mirror->lastConfirmed();
        // The mirror's revision also advances without a change of the section, while the published copy
        // stays.
        standing.revision = history->section().revision;
    }
}

sync_answer fleet_watch::answer(std::span<const section_revision> known) const
{
    const auto now = std::chrono::steady_clock::now();
    sync_answer answer;
    answer.contact = storeContact();
    for (const auto& requested : known) {
        const auto copy = published(requested.prefix);
        if (!copy.history)
            continue;
        answer.standings.push_back(copy.standing);
        answer.standings.back().age = std::chrono::duration_cast<milliseconds>(now - copy.lastConfirmed);
        const auto& section = copy.history->section();
        const auto slice = requested.seed == 0
            ? section_slice {}
            : sliceFor(section.entries.size(), requested.slice, requested.seed);
        const bool sliceDiffers = slice != requested.slice;
        if (sliceDiffers || section.revision > requested.revision)
            answer.newer.push_back(copy.history->updateSince(sliceDiffers ? 0 : requested.revision, slice));
    }
    return answer;
}

fleet_watch::published_section fleet_watch::published(const std::string& prefix) const
{
    const std::scoped_lock lock(m_publishedMutex);
    const auto found = m_published.find(prefix);
    return found == m_published.end() ? published_section {} : found->second;
}

void fleet_watch::operatorKeysChanged(const store_mirror& mirror)
{
    publish(mirror);
    const auto key = m_codec.configurationKey();
    for (const auto& entry : mirror.section().entries) {
        if (entry.key() != key || entry.revision() == m_configurationRevision)
            continue;
        m_configurationRevision = entry.revision();
        auto decoded = m_codec.decodeConfiguration(entry.value());
        if (!decoded) {
            logEvent(log_level::error, "cannot decode configuration; ignoring this revision",
                { { "revision", entry.revision() }, { "message", decoded.error().message } });
            continue;
        }
        if (m_configuration && decoded.value().version <= m_configuration->version)
            continue;
        m_configuration = std::make_shared<const routing_table>(std::move(decoded.value()));
        logEvent(log_level::info, "configuration in force",
            { { "version", m_configuration->version }, { "revision", entry.revision() },
                { "routes", static_cast<std::int64_t>(m_configuration->routes.size()) },
                { "from_store", std::int64_t { mirror.connected() } } });
        m_notify.configuration();
    }
    if (m_notify.operatorKeys)
        m_notify.operatorKeys();
}

target_ptr fleet_watch::decodeTargetEntry(const section_entry& entry) const
{
    auto decoded = m_codec.decodeTarget(entry.key(), entry.value());
    if (decoded)
        return std::make_shared<const listed_target>(std::move(decoded.value()));
    logEvent(log_level::error, "cannot decode target record; treating the target as not listed",
        { { "key", entry.key() }, { "revision", entry.revision() }, { "message", decoded.error().message } });
    return nullptr;
}

std::vector<target_change> fleet_watch::decodeChanges(section_changes changes)
{
    std::vector<target_change> decoded;
    decoded.reserve(changes.size());
    for (const auto& [entry, what] : changes) {
        const auto known = m_decodedTargets.find(entry.key());
        target_change change { known == m_decodedTargets.end() ? nullptr : known->second,
            what == section_change::kind::written ? decodeTargetEntry(entry) : nullptr,
            what == section_change::kind::released };
        if (change.after)
            m_decodedTargets.insert_or_assign(std::string(entry.key()), change.after);
        else if (change.before)
            m_decodedTargets.erase(known);
        if (change.before || change.after)
            decoded.push_back(std::move(change));
    }
    return decoded;
}

void fleet_watch::targetsChanged(const store_mirror& mirror, section_changes changes)
{
    publish(mirror);
    m_targets.setPartial(!mirror.history().whole());
    const auto listed = decodeChanges(changes);
    const auto now = std::chrono::steady_clock::now();
    const auto revision = mirror.section().revision;
    const auto missingBefore = m_targets.missing();
    const auto changed = m_targets.apply(listed, mirror.settled(revision) ? now : steady_time::max(), now);
    const auto& missing = m_targets.missing();
    const bool newlyMissing = std::any_of(
        missing.begin(), missing.end(), [&](const auto& one) { return !missingBefore.contains(one.first); });
    if (newlyMissing)
        m_missingRevision = revision;
    logMissingTargets();
    notifyTargets(changed);
}

void fleet_watch::notifyTargets(std::span<const target_change> changes)
{
    if (changes.empty())
        return;
    logTargetChanges(changes);
    m_notify.targets(changes);
}

bool fleet_watch::listsAreComplete(steady_time now) const
{
    return m_store.reachable() && now >= m_store.reachableSince() + reregistrationTime;
}

void fleet_watch::dropMissingTargets()
{
    if (!m_targets.hasMissingTargets())
        return;
    const auto now = std::chrono::steady_clock::now();
    const bool settled = m_targetsMirror.settled(m_missingRevision);
    const auto changes = m_targets.expire(settled ? now : steady_time::max(), now);
    if (changes.empty())
        return;
    logMissingTargets();
    notifyTargets(changes);
}

void fleet_watch::logTargetChanges(std::span<const target_change> changes) const
{
    const auto revision = m_targetsMirror.section().revision;
    for (const auto& [before, after, released] : changes.first(std::min(changes.size(), maxLoggedChanges))) {
        if (released)
            continue;
        if (!after)
            logEvent(log_level::info, "target gone",
                { { "target", before->id }, { "address", before->address }, { "revision", revision } });
        else if (!before || before->draining != after->draining)
            logEvent(log_level::info, after->draining ? "target drains" : "target listed",
                { { "target", after->id }, { "address", after->address }, { "zone", after->zone },
                    { "version", after->version }, { "revision", revision } });
    }
    if (changes.size() > maxLoggedChanges)
        logEvent(log_level::info, "targets changed",
            { { "not_named", static_cast<std::int64_t>(changes.size() - maxLoggedChanges) },
                { "targets", static_cast<std::int64_t>(m_targets.targets().size()) },
                { "revision", revision } });
}

void fleet_watch::logMissingTargets()
{
    const auto missing = m_targets.missing();
    if (missing.size() == std::exchange(m_loggedMissingCount, missing.size()))
        return;
    std::string ids;
    std::size_t named = 0;
    for (const auto& [id, missingSince] : missing) {
        if (++named > maxLoggedChanges)
            break;
        ids += (ids.empty() ? "" : " ") + id;
    }
    logEvent(log_level::info, "missing targets kept",
        { { "targets", ids }, { "count", static_cast<std::int64_t>(missing.size()) },
            { "revision", m_targetsMirror.section().revision }, { "missing_at", m_missingRevision },
            { "settled_at", m_targetsMirror.settledRevision() },
            { "follows_store", std::int64_t { m_followsStore } },
            { "store_reachable", std::int64_t { m_store.reachable() } } });
}

void fleet_watch::nodesChanged(const store_mirror& mirror)
{
    publish(mirror);
    const auto now = std::chrono::steady_clock::now();
    std::map<std::string, known_node, std::less<>> next;
    m_shareRecords.clear();
    m_recordedVersions.clear();
    for (const auto& entry : mirror.section().entries) {
        if (entry.key().starts_with(sharesPrefix)) {
            addShareRecord(entry);
            continue;
        }
        if (entry.key().starts_with(versionsPrefix)) {
            addVersionRecord(entry);
            continue;
        }
        const auto known = m_nodes.find(entry.key());
        const std::string key(entry.key());
        if (known != m_nodes.end() && known->second.revision == entry.revision())
            next[key] = { std::move(known->second.record), entry.revision(), std::nullopt };
        else if (auto decoded = decodeNode(entry.value()))
            next[key] = { std::move(decoded.value()), entry.revision(), std::nullopt };
        else
            logEvent(log_level::error, "cannot decode process record; treating the process as not registered",
                { { "key", key }, { "message", decoded.error().message } });
    }
    for (auto& [key, node] : m_nodes) {
        if (next.contains(key) || node.record.leaving)
            continue;
        if (!node.missingSince)
            node.missingSince = now;
        next[key] = std::move(node);
    }
    m_nodes = std::move(next);
    notifyNodes();
}

void fleet_watch::addShareRecord(const section_entry& entry)
{
    if (auto share = decodeShare(entry.key().substr(sharesPrefix.size()), entry.value()))
        m_shareRecords.push_back(std::move(share.value()));
    else
        logEvent(log_level::error, "cannot decode share record; ignoring it",
            { { "message", share.error().message } });
}

void fleet_watch::addVersionRecord(const section_entry& entry)
{
    if (auto version = decodeVersion(entry.value()))
        m_recordedVersions.push_back(std::move(version.value()));
    else
        logEvent(log_level::error, "cannot decode version record; ignoring it",
            { { "key", entry.key() }, { "message", version.error().message } });
}

void fleet_watch::notifyNodes()
{
    m_watchers->choose(nodes(node_role::entry));
    m_notify.nodes();
}

void fleet_watch::tick()
{
    const auto now = std::chrono::steady_clock::now();
    const bool watcher = isWatcher() && (m_joined || now >= m_startupGraceUntil);
    const auto timeout = servesPeers() ? watcherTimeout : unregisteredWatcherTimeout;
    m_followsStore
        = watcher || now - m_lastWatcherAnswer > timeout || (servesPeers() && age(now) > followStoreAge);
    for (auto* mirror : mirrors()) {
        mirror->setMaxRetryDelay(watcher ? watcherMaxRetryDelay : followerMaxRetryDelay);
        mirror->setFollowing(mirror == &m_targetsMirror ? followsTargets(now) : m_followsStore);
    }
    readTargetsIfUnknown(now);
    m_watchesStore = m_followsStore && connected() && age(now) <= maxCopyAge;
    countAgedTick(now);
    confirmCopies(now);
    publishStandings();
    dropMissingTargets();
    // During an outage of the store no process can register again, so missing processes are kept.
    const bool drop = m_nodesMirror.connected() && std::erase_if(m_nodes, [&](const auto& entry) {
        return entry.second.missingSince && now - *entry.second.missingSince > missingNodeRetention;
    }) > 0;
    if (drop)
        notifyNodes();
    if (now - m_lastSync >= syncInterval(now))
        syncWithPeers(now);
}

/// Reads the list of targets from the store if no peer has provided it in time. If all processes of a large
/// fleet that starts at once read the list, the store's network link would be saturated for seconds with data
/// that most do not need, and calls that time out would be repeated.
void fleet_watch::readTargetsIfUnknown(steady_time now)
{
    if (!m_targetReadTime || now < *m_targetReadTime)
        return;
    m_targetReadTime.reset();
    if (!m_targetsMirror.known())
        m_targetsMirror.start(store_mirror::read_consistency::stale);
}

milliseconds fleet_watch::randomDelay(milliseconds limit)
{
    return milliseconds { m_random() % static_cast<unsigned>(limit.count() + 1) };
}

/// Each reported change costs a call for each process that follows the store, and hundreds of targets
/// change when a new version of them is rolled out. A batch process makes no decisions based on targets and
/// receives them from the entries of its zone.
bool fleet_watch::followsTargets(steady_time now) const
{
    if (m_self.role == node_role::entry || !hasStartupGrace())
        return m_followsStore;
    return now - m_lastWatcherAnswer > unregisteredWatcherTimeout;
}

milliseconds fleet_watch::syncInterval(steady_time now) const
{
    const bool aged = isWatcher() && age(now) > agedCopyAge;
    if (connected() && aged && !m_peerUnresponsive)
        return milliseconds { 0 };
    if (!connected() || needsNewerCopies(now))
        return disconnectedSyncInterval;
    return isWatcher() && age(now) <= firstWatcherConfirmationAge ? watcherSyncInterval
                                                                  : followerSyncInterval;
}

bool fleet_watch::needsNewerCopies(steady_time now) const
{
    return age(now) > maxCopyAge || m_targets.hasMissingTargets();
}

milliseconds fleet_watch::confirmationAge() const
{
    const auto steps = m_self.role == node_role::entry
        ? std::min(maxConfirmationSteps, m_watchers->rank(m_self.vm))
        : batchConfirmationSteps;
    return firstWatcherConfirmationAge + confirmationAgeStep * steps;
}

void fleet_watch::countAgedTick(steady_time now)
{
    const bool late = now - std::exchange(m_lastTick, now) > maxTickGap;
    const bool paused = late && now - m_lastPause >= minPauseInterval;
    if (paused)
        m_lastPause = now;
    if (paused || age(now) <= firstWatcherConfirmationAge)
        m_agedTicks = 0;
    if (age(now) > firstWatcherConfirmationAge)
        ++m_agedTicks;
}

void fleet_watch::confirmCopies(steady_time now)
{
    if (!m_followsStore || !connected())
        return;
    const auto after = confirmationAge();
    // Targets that are still missing once all lapsed entries should exist again have been removed.
    const bool missing = m_targets.hasMissingTargets() && listsAreComplete(now);
    const bool askedPeers = m_watchers->rank(m_self.vm) == 0 || m_agedTicks >= minAgedTicks;
    if (missing || (askedPeers && targetsAge(now) > after))
        m_targetsMirror.requestConfirmation(now);
    if (askedPeers && configurationAge(now) > after)
        m_operatorMirror.requestConfirmation(now);
}

bool fleet_watch::needsFullCopy() const
{
    const auto lacks = [](const store_mirror* mirror) { return mirror->history().syncFromRevision() == 0; };
    const auto all = { &m_operatorMirror, &m_targetsMirror, &m_nodesMirror };
    return std::any_of(all.begin(), all.end(), lacks);
}

std::vector<section_revision> fleet_watch::revisionsToSync(bool whole) const
{
    std::vector<section_revision> revisions;
    const bool peersKnown = m_nodesMirror.history().syncFromRevision() != 0;
    for (const auto* mirror : { &m_operatorMirror, &m_targetsMirror, &m_nodesMirror }) {
        const auto from = mirror->history().syncFromRevision();
        // The list of targets is by far the largest section. It is requested only after the first answer,
        // which shows which peers are in this process's zone.
        const bool unknownZones = m_fullCopyRequests <= 1 && !peersKnown;
        const bool later = !whole || (mirror == &m_targetsMirror && unknownZones);
        if (from != 0 || !later)
            revisions.push_back(
                { mirror->section().prefix, from, mirror->history().slice(), mirror->sliceSeed() });
    }
    return revisions;
}

bool fleet_watch::isWatcher() const
{
    // Batch processes decide about jobs based on these copies. They are few, so they read from the store
    // itself.
    if (m_self.role != node_role::entry || !m_options.followPeers)
        return true;
    return m_watchers->contains(m_self.vm);
}

std::vector<std::string> fleet_watch::selectPeers(steady_time now)
{
    if (!connected() || needsNewerCopies(now) || m_peerUnresponsive) {
        const auto zones = servesPeers() ? std::numeric_limits<std::size_t>::max() : unregisteredOtherZones;
        if (auto some = drawOnePerZone(nodes(node_role::entry), m_self, zones, m_random); !some.empty())
            return some;
    }
    std::vector<std::string> addresses;
    const auto add = [&](const std::string& address) {
        if (address != m_self.address)
            addresses.push_back(address);
    };
    const auto all = m_watchers->all();
    if (!isWatcher() || m_targetsMirror.sliceSeed() != 0) {
        for (const auto& node : m_watchers->ofZone(m_self.zone))
            add(node.address);
    } else if (!all.empty())
        add(all.front().address);
    // The first watcher synchronizes with a random other one.
    if (addresses.empty() && all.size() > 1)
        add(all[1 + m_random() % (all.size() - 1)].address);
    if (addresses.empty())
        std::for_each(m_options.seeds.begin(), m_options.seeds.end(), add);
    if (addresses.empty())
        return {};
    return { addresses[m_random() % addresses.size()] };
}

void fleet_watch::syncWithPeers(steady_time now)
{
    m_lastSync = now;
    const auto addresses = selectPeers(now);
    // Full copies are large. Requesting them from several peers at once, or again before the first has
    // arrived, would saturate the links of these peers until every request has timed out.
    const bool whole = needsFullCopy() && now >= m_nextFullCopyRequest && !addresses.empty();
    const auto fullCopyIndex = whole ? m_fullCopyRequests++ % addresses.size() : addresses.size();
    if (whole)
        m_nextFullCopyRequest = now + fullCopyRetryInterval;
    for (std::size_t i = 0; i < addresses.size(); ++i)
        syncWith(addresses[i], i == fullCopyIndex);
}

void fleet_watch::syncWith(const std::string& address, bool whole)
{
    const auto sent = std::chrono::steady_clock::now();
    auto sections = revisionsToSync(whole);
    if (sections.empty())
        return;
    m_peers.sync(address, { std::move(sections), {}, 0 }, whole ? fullCopyTimeout : syncTimeout,
        [this, address, sent, whole, alive = std::weak_ptr(m_alive)](result<sync_answer> answer) {
            if (alive.expired())
                return;
            m_loop.post([this, alive, address, sent, whole, answer = std::move(answer)] {
                if (alive.expired())
                    return;
                if (whole)
                    m_nextFullCopyRequest = {};
                // All watchers of the zone may be unreachable; then the next request goes to other zones too.
                m_peerUnresponsive = !answer;
                if (answer)
                    onPeerAnswer(address, answer.value(), sent);
                // After the first answer the remaining sections are requested at once. Later requests wait
                // for the interval: peers that lack copies themselves answer immediately, so that the
                // requests would form a busy loop.
                if (whole && answer && m_fullCopyRequests <= 1 && needsFullCopy())
                    syncWithPeers(std::chrono::steady_clock::now());
            });
        });
}

void fleet_watch::onPeerAnswer(const std::string& address, const sync_answer& answer, steady_time sent)
{
    const auto own = m_watchers->ofZone(m_self.zone);
    const bool isZoneWatcher
        = std::any_of(own.begin(), own.end(), [&](const auto& node) { return node.address == address; });
    m_targetReadTime.reset(); // Peers are reachable and provide the list.
    // A process on which others rely accepts only watchers of its own zone. If these are unreachable, it
    // follows the store itself.
    const bool acceptsOtherZones = !servesPeers() || m_self.role == node_role::batch;
    if (answer.contact.watches && (isZoneWatcher || acceptsOtherZones))
        m_lastWatcherAnswer = std::chrono::steady_clock::now();
    applyPeerAnswer(answer, sent);
}

bool fleet_watch::connected() const
{
    return m_operatorMirror.connected() && m_targetsMirror.connected() && m_nodesMirror.connected();
}

bool fleet_watch::servesPeers() const
{
    return m_joined || listed();
}

void fleet_watch::applyPeerAnswer(const sync_answer& answer, steady_time sent)
{
    for (auto* mirror : mirrors()) {
        const auto standing = std::find_if(answer.standings.begin(), answer.standings.end(),
            [&](const auto& one) { return one.prefix == mirror->section().prefix; });
        const bool hasStanding = standing != answer.standings.end();
        if (hasStanding)
            mirror->recordStanding(*standing);
        for (const auto& update : answer.newer)
            mirror->applyPeerUpdate(update); // Ignores updates of other sections.
        if (!hasStanding)
            continue;
        // Advances the copy to the revision up to which the peer knows the section to be unchanged, so that
        // the peer's settled revision applies to it. Without this, a target that the peer knew to be removed
        // was kept for 10 s, because the copy never reached that revision.
        mirror->recordUnchanged(standing->revision, standing->unchangedUntil);
        // By this process's clock, and never too late: the peer determined the age after the request was
        // sent.
        mirror->recordConfirmation(standing->revision, sent - standing->age);
    }
    publishStandings();
    dropMissingTargets();
}

std::vector<node_record> fleet_watch::nodes(node_role role) const
{
    std::vector<node_record> found;
    for (const auto& [key, node] : m_nodes) {
        if (node.record.role == role && !node.record.leaving)
            found.push_back(node.record);
    }
    const bool alone = std::none_of(
        found.begin(), found.end(), [&](const auto& node) { return node.zone == m_self.zone; });
    if (m_self.role == role && !listed() && (m_joined || alone))
        found.push_back(m_self);
    return found;
}

std::vector<std::string> fleet_watch::otherEntryAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto& node : nodes(node_role::entry)) {
        if (node.address != m_self.address)
            addresses.push_back(node.address);
    }
    return addresses;
}

std::vector<node_record> fleet_watch::registered(node_role role) const
{
    std::vector<node_record> found;
    for (const auto& [key, node] : m_nodes) {
        if (node.record.role == role && !node.missingSince)
            found.push_back(node.record);
    }
    return found;
}

milliseconds fleet_watch::storeSilence(steady_time now) const
{
    return std::min({ ageOf(m_operatorMirror, now), ageOf(m_targetsMirror, now), ageOf(m_nodesMirror, now) });
}

bool fleet_watch::nodeListReliable(steady_time now) const
{
    return m_nodesMirror.known() && m_nodesMirror.connected() && m_followsStore && listsAreComplete(now);
}

} // namespace yuccachute
