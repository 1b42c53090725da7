#include "cluster.h"

#include "logging/logging.h"
#include "settings_store/settings_store.h"

#include <algorithm>

namespace yuccachute {

namespace {

constexpr milliseconds gossipInterval { 1000 };
constexpr milliseconds gossipTimeout { 800 };
constexpr milliseconds pullTimeout { 2000 };
constexpr milliseconds storeCheckInterval { 50 };
constexpr milliseconds processTimeout { 3000 };
constexpr std::size_t contactsPerZone = 3;
constexpr std::size_t watchersPerZone = 3;
constexpr std::uint64_t roundsBetweenZoneExchanges = 2;
constexpr std::uint64_t roundsBetweenSeedExchanges = 10;

member_info describeSelf(const process_options& options)
{
    member_info self;
    self.vm = options.vm;
    self.zone = options.zone;
    self.address = options.rpc;
    self.incarnation = static_cast<std::uint64_t>(wallClockMs());
    return self;
}

} // namespace

cluster::cluster(const process_options& options, rpc_client& client, config_store& store,
    settings_cell& settings, std::function<void()> settingsChanged)
    : m_options(options)
    , m_client(client)
    , m_store(store)
    , m_settings(settings)
    , m_settingsChanged(std::move(settingsChanged))
    , m_members(describeSelf(options), {}, std::chrono::steady_clock::now())
    , m_random(hashText(options.vm))
    , m_storeThread(std::make_unique<periodic_thread>(storeCheckInterval, [this] { maintainWatch(); }))
    , m_gossipThread(std::make_unique<periodic_thread>(gossipInterval, [this] { round(); }))
{
}

cluster::~cluster()
{
    m_gossipThread.reset();
    m_storeThread.reset();
    m_watch.reset();
}

std::vector<std::string> cluster::owners(const std::string& group, const std::string& zone) const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<std::string> addresses;
    for (const auto& member : rankMembers(group, m_members.eligibleMembers(zone)))
        addresses.push_back(member.address);
    return addresses;
}

std::string cluster::ownerElsewhere(const std::string& group) const
{
    const auto ranked = owners(group, m_options.zone);
    return ranked.empty() || ranked.front() == m_options.rpc ? std::string() : ranked.front();
}

std::vector<std::string> cluster::batchAddresses(const std::string& key) const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<member_info> here;
    std::vector<member_info> elsewhere;
    for (const auto& member : m_members.view()) {
        if (member.state == member_state::alive && !member.info.batchAddress.empty())
            (member.info.zone == m_options.zone ? here : elsewhere).push_back(member.info);
    }
    std::vector<std::string> addresses;
    for (const auto* candidates : { &here, &elsewhere }) {
        for (const auto& member : rankMembers(key, *candidates))
            addresses.push_back(member.batchAddress);
    }
    return addresses;
}

void cluster::reportUnreachable(const std::string& address)
{
    const std::scoped_lock lock(m_mutex);
    for (const auto& member : m_members.view()) {
        if (member.info.address == address)
            m_members.reportUnreachable(member.info.vm, std::chrono::steady_clock::now());
    }
}

/// Returns all members of the own zone, but only a few contacts of each other zone, so that the size of a
/// message grows with the zone and not with the fleet. For a peer in another zone the own zone is reduced to
/// its contacts, too.
std::vector<member_info> cluster::digestFor(std::string_view zone) const
{
    std::map<std::string, std::vector<member_info>> byZone;
    for (auto& member : m_members.digest())
        byZone[member.zone].push_back(std::move(member));
    std::vector<member_info> digest;
    for (auto& [name, members] : byZone) {
        if (name == m_options.zone && zone == m_options.zone) {
            digest.insert(digest.end(), members.begin(), members.end());
            continue;
        }
        auto contacts = rankMembers("contact", members);
        contacts.resize(std::min(contacts.size(), contactsPerZone));
        digest.insert(digest.end(), contacts.begin(), contacts.end());
    }
    // A digest always includes its sender.
    const auto& self = m_members.self();
    if (std::none_of(digest.begin(), digest.end(), [&](const auto& member) { return member.vm == self.vm; }))
        digest.push_back(self);
    return digest;
}

gossip_message cluster::describe(std::string_view zone) const
{
    gossip_message message;
    message.zone = m_options.zone;
    for (const auto& member : digestFor(zone))
        message.notes.push_back(heartbeatOf(member));
    return message;
}

std::vector<member_info> cluster::wantedMembers(std::span<const std::uint32_t> ids) const
{
    std::vector<member_info> found;
    for (const auto& member : m_members.digest()) {
        if (std::find(ids.begin(), ids.end(), heartbeatOf(member).id) != ids.end())
            found.push_back(member);
    }
    return found;
}

gossip_message cluster::gossip(const gossip_message& request)
{
    gossip_message answer;
    bool newer = false;
    {
        const std::scoped_lock lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        m_members.setSettingsVersion(m_settings.version());
        m_members.merge(request.members, now);
        auto wanted = m_members.mergeHeartbeats(request.notes, now);
        if (!request.notes.empty())
            answer = describe(request.zone);
        answer.zone = m_options.zone;
        answer.wanted = std::move(wanted);
        answer.members = wantedMembers(request.wanted);
        newer = std::any_of(request.notes.begin(), request.notes.end(),
            [&](const auto& note) { return note.settingsVersion > m_settings.version(); });
    }
    if (newer)
        m_gossipThread->wake();
    return answer;
}

std::vector<std::pair<std::string, std::string>> cluster::pickPeers()
{
    std::vector<std::pair<std::string, std::string>> zonePeers;
    std::vector<std::pair<std::string, std::string>> otherZonePeers;
    bool isContact = false;
    std::vector<member_info> zoneMembers;
    for (const auto& member : m_members.view()) {
        if (member.info.zone == m_options.zone && member.state != member_state::dead)
            zoneMembers.push_back(member.info);
        if (member.info.vm == m_options.vm)
            continue;
        // Dead members are contacted as well, at times, to detect the end of a network partition.
        (member.info.zone == m_options.zone ? zonePeers : otherZonePeers)
            .emplace_back(member.info.address, member.info.zone);
    }
    const auto ranked = rankMembers("contact", zoneMembers);
    for (std::size_t i = 0; i < std::min(ranked.size(), contactsPerZone); ++i)
        isContact = isContact || ranked[i].vm == m_options.vm;
    std::vector<std::pair<std::string, std::string>> chosen;
    if (!zonePeers.empty())
        chosen.push_back(zonePeers[m_random() % zonePeers.size()]);
    if (isContact && !otherZonePeers.empty() && m_rounds % roundsBetweenZoneExchanges == 0)
        chosen.push_back(otherZonePeers[m_random() % otherZonePeers.size()]);
    // Contacts all seeds until a peer of the zone is known. Later it contacts one from time to time, in case
    // two parts of the zone have removed each other from their member lists.
    for (const auto& seed : m_options.seeds) {
        if (zonePeers.empty() && seed != m_options.rpc)
            chosen.emplace_back(seed, m_options.zone);
    }
    if (m_rounds % roundsBetweenSeedExchanges == 0 && !m_options.seeds.empty()) {
        const auto& seed = m_options.seeds[m_random() % m_options.seeds.size()];
        if (seed != m_options.rpc)
            chosen.emplace_back(seed, m_options.zone);
    }
    return chosen;
}

/// Exchanges heartbeats with a peer. A second call follows only if one side lacks some members' data.
void cluster::exchange(const std::string& address, std::string_view zone)
{
    gossip_message request;
    {
        const std::scoped_lock lock(m_mutex);
        request = describe(zone);
    }
    const auto answer = m_client.gossip(address, request, gossipTimeout);
    if (!answer)
        return reportUnreachable(address);
    gossip_message rest;
    rest.zone = m_options.zone;
    {
        const std::scoped_lock lock(m_mutex);
        rest.wanted = m_members.mergeHeartbeats(answer.value().notes, std::chrono::steady_clock::now());
        rest.members = wantedMembers(answer.value().wanted);
    }
    if (!rest.wanted.empty() || !rest.members.empty()) {
        const auto whole = m_client.gossip(address, rest, gossipTimeout);
        if (!whole)
            return reportUnreachable(address);
        const std::scoped_lock lock(m_mutex);
        m_members.merge(whole.value().members, std::chrono::steady_clock::now());
    }
    pullFromNewest();
}

template <typename Settings> void cluster::applyIfNewer(Settings settings)
{
    if (!m_settings.offer(std::move(settings)))
        return;
    const auto version = m_settings.version();
    logEvent(log_level::info, "settings in force", { { "version", version } });
    m_settingsChanged();
    const std::scoped_lock lock(m_mutex);
    m_members.setSettingsVersion(version);
}

void cluster::pullFromNewest()
{
    std::vector<member_info> known;
    {
        const std::scoped_lock lock(m_mutex);
        known = m_members.digest();
    }
    const member_info* newest = nullptr;
    for (const auto& member : known) {
        if (member.settingsVersion > m_settings.version()
            && (!newest || member.settingsVersion > newest->settingsVersion))
            newest = &member;
    }
    if (!newest || newest->address.empty())
        return;
    auto pulled = m_client.pull(newest->address, m_settings.version(), pullTimeout);
    if (pulled && pulled.value())
        applyIfNewer(std::move(*pulled.value()));
}

void cluster::dropUnresponsiveProcesses(steady_time now)
{
    if (now - m_batchLastSeen > processTimeout) {
        m_members.setBatchAddress({});
        m_batchVersion = 0;
    }
    if (now - m_adminLastSeen > processTimeout) {
        m_members.setAdminAddress({});
        m_adminVersion = 0;
    }
    updateOtherProcessesVersion();
}

void cluster::updateOtherProcessesVersion()
{
    const bool both = m_batchVersion != 0 && m_adminVersion != 0;
    m_members.setOtherProcessesVersion(
        both ? std::min(m_batchVersion, m_adminVersion) : std::max(m_batchVersion, m_adminVersion));
}

void cluster::round()
{
    std::vector<std::pair<std::string, std::string>> peers;
    {
        const std::scoped_lock lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        dropUnresponsiveProcesses(now);
        m_members.setSettingsVersion(m_settings.version());
        m_members.tick(now);
        ++m_rounds;
        peers = pickPeers();
    }
    pullFromNewest();
    for (const auto& [address, zone] : peers)
        exchange(address, zone);
}

follow_reply cluster::follow(const follow_request& request)
{
    follow_reply reply;
    const std::scoped_lock lock(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    // The entry announces only processes of its own VM to its peers. Others just receive the reply.
    if (request.vm == m_options.vm && !request.batchAddress.empty()) {
        m_members.setBatchAddress(request.batchAddress);
        m_batchLastSeen = now;
        m_batchVersion = request.settingsVersion;
    }
    if (request.vm == m_options.vm && !request.adminAddress.empty()) {
        m_members.setAdminAddress(request.adminAddress);
        m_adminLastSeen = now;
        m_adminVersion = request.settingsVersion;
    }
    updateOtherProcessesVersion();
    for (const auto& member : m_members.view()) {
        if (member.state == member_state::alive || member.state == member_state::suspect)
            reply.members.push_back(member.info);
    }
    reply.settings = m_settings.updateSince(request.settingsVersion);
    return reply;
}

std::vector<member_view> cluster::view() const
{
    const std::scoped_lock lock(m_mutex);
    return m_members.view();
}

void cluster::leave()
{
    std::vector<std::pair<std::string, std::string>> peers;
    {
        const std::scoped_lock lock(m_mutex);
        m_members.leave();
        for (const auto& member : m_members.view()) {
            if (member.info.zone == m_options.zone && member.info.vm != m_options.vm
                && member.state != member_state::dead)
                peers.emplace_back(member.info.address, member.info.zone);
        }
    }
    for (const auto& [address, zone] : peers)
        exchange(address, zone);
}

bool cluster::isWatcher() const
{
    const std::scoped_lock lock(m_mutex);
    const auto ranked = rankMembers("settings-watch", m_members.eligibleMembers(m_options.zone));
    for (std::size_t i = 0; i < std::min(ranked.size(), watchersPerZone); ++i) {
        if (ranked[i].vm == m_options.vm)
            return true;
    }
    return false;
}

void cluster::readStore()
{
    auto tree = readSettings(m_store);
    if (!tree) {
        m_storeChanged = true; // Read again at the next check.
        return;
    }
    const auto before = m_settings.version();
    applyIfNewer(std::move(tree.value()));
    if (m_settings.version() == before)
        return;
    // Notifies the peers of the zone of the new version at once instead of with the next heartbeats.
    std::vector<std::string> addresses;
    for (const auto& member : view()) {
        if (member.info.zone == m_options.zone && member.info.vm != m_options.vm
            && member.state == member_state::alive)
            addresses.push_back(member.info.address);
    }
    for (const auto& address : addresses)
        exchange(address, m_options.zone);
}

/// Maintains a watch on the settings while this entry is one of its zone's watchers. A pending watch counts
/// as a store call, so most entries have none. An entry without settings reads the store in any case.
void cluster::maintainWatch()
{
    const bool watcher = isWatcher();
    if (!watcher)
        m_watch.reset();
    if (watcher && (m_watchBroken || !m_watch)) {
        m_watch.reset();
        m_watchBroken = false;
        m_storeChanged = true; // Changes may have been missed while there was no watch.
        m_watch = m_store.watch(
            settingsPrefix, 0, [this](std::span<const store_event>, std::int64_t) { m_storeChanged = true; },
            [this] { m_watchBroken = true; });
    }
    if ((watcher && m_storeChanged.exchange(false)) || m_settings.version() == 0)
        readStore();
}

} // namespace yuccachute
