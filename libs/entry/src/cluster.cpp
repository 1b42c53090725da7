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
constexpr milliseconds processSilence { 3000 };
constexpr std::size_t contactsPerZone = 3;
constexpr std::size_t watchersPerZone = 3;
constexpr std::uint64_t roundsBetweenZones = 2;
constexpr std::uint64_t roundsBetweenSeeds = 10;

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
    , m_storeThread(std::make_unique<periodic_thread>(storeCheckInterval, [this] { keepWatch(); }))
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

/// The own zone's members in full; of other zones only a few contacts, so that what is sent grows with the
/// zone and not with the fleet.
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
    // Whoever speaks is always part of what it says.
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

gossip_message cluster::gossip(const gossip_message& news)
{
    gossip_message answer;
    bool newer = false;
    {
        const std::scoped_lock lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        m_members.setSettingsVersion(m_settings.version());
        m_members.merge(news.members, now);
        auto wanted = m_members.mergeHeartbeats(news.notes, now);
        if (!news.notes.empty())
            answer = describe(news.zone);
        answer.zone = m_options.zone;
        answer.wanted = std::move(wanted);
        answer.members = wantedMembers(news.wanted);
        newer = std::any_of(news.notes.begin(), news.notes.end(),
            [&](const auto& note) { return note.settingsVersion > m_settings.version(); });
    }
    if (newer)
        m_gossipThread->wake();
    return answer;
}

std::vector<std::pair<std::string, std::string>> cluster::pickPeers()
{
    std::vector<std::pair<std::string, std::string>> neighbours;
    std::vector<std::pair<std::string, std::string>> strangers;
    bool contact = false;
    std::vector<member_info> zoneMembers;
    for (const auto& member : m_members.view()) {
        if (member.info.zone == m_options.zone && member.state != member_state::dead)
            zoneMembers.push_back(member.info);
        if (member.info.vm == m_options.vm)
            continue;
        // Dead members are tried now and then, too: that is how a healed partition is noticed.
        (member.info.zone == m_options.zone ? neighbours : strangers)
            .emplace_back(member.info.address, member.info.zone);
    }
    const auto ranked = rankMembers("contact", zoneMembers);
    for (std::size_t i = 0; i < std::min(ranked.size(), contactsPerZone); ++i)
        contact = contact || ranked[i].vm == m_options.vm;
    std::vector<std::pair<std::string, std::string>> chosen;
    if (!neighbours.empty())
        chosen.push_back(neighbours[m_random() % neighbours.size()]);
    if (contact && !strangers.empty() && m_rounds % roundsBetweenZones == 0)
        chosen.push_back(strangers[m_random() % strangers.size()]);
    // All seeds are met until a neighbour is known; later one now and then, in case both sides have
    // forgotten.
    for (const auto& seed : m_options.seeds) {
        if (neighbours.empty() && seed != m_options.rpc)
            chosen.emplace_back(seed, m_options.zone);
    }
    if (m_rounds % roundsBetweenSeeds == 0 && !m_options.seeds.empty()) {
        const auto& seed = m_options.seeds[m_random() % m_options.seeds.size()];
        if (seed != m_options.rpc)
            chosen.emplace_back(seed, m_options.zone);
    }
    return chosen;
}

/// One exchange of heartbeats; a second call only if one side lacks whole members.
void cluster::exchange(const std::string& address, std::string_view zone)
{
    gossip_message news;
    {
        const std::scoped_lock lock(m_mutex);
        news = describe(zone);
    }
    const auto answer = m_client.gossip(address, news, gossipTimeout);
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

template <typename Settings> void cluster::offerSettings(Settings settings)
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
        offerSettings(std::move(*pulled.value()));
}

void cluster::forgetSilentProcesses(steady_time now)
{
    if (now - m_batchSeen > processSilence) {
        m_members.setBatchAddress({});
        m_batchVersion = 0;
    }
    if (now - m_adminSeen > processSilence) {
        m_members.setAdminAddress({});
        m_adminVersion = 0;
    }
    updateOthersVersion();
}

void cluster::updateOthersVersion()
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
        forgetSilentProcesses(now);
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
    // Only processes of the same VM are announced with it; others merely follow.
    if (request.vm == m_options.vm && !request.batchAddress.empty()) {
        m_members.setBatchAddress(request.batchAddress);
        m_batchSeen = now;
        m_batchVersion = request.settingsVersion;
    }
    if (request.vm == m_options.vm && !request.adminAddress.empty()) {
        m_members.setAdminAddress(request.adminAddress);
        m_adminSeen = now;
        m_adminVersion = request.settingsVersion;
    }
    updateOthersVersion();
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
        m_storeChanged = true; // Tried again in the next round.
        return;
    }
    const auto before = m_settings.version();
    offerSettings(std::move(tree.value()));
    if (m_settings.version() == before)
        return;
    // The others learn of the new version at once instead of by the next heartbeats.
    std::vector<std::string> addresses;
    for (const auto& member : view()) {
        if (member.info.zone == m_options.zone && member.info.vm != m_options.vm
            && member.state == member_state::alive)
            addresses.push_back(member.info.address);
    }
    for (const auto& address : addresses)
        exchange(address, m_options.zone);
}

/// Keeps a watch on the settings while this entry is one of its zone's watchers. A waiting watch counts as a
/// call of the store, so most entries have none. A process without settings reads the store whatever its
/// rank.
void cluster::keepWatch()
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
