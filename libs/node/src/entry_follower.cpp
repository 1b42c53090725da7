#include "node/node.h"

#include "logging/logging.h"

namespace yuccachute {

namespace {

constexpr milliseconds followInterval { 500 };
constexpr milliseconds followTimeout { 1000 };
constexpr milliseconds avoidPeriod { 2000 };

} // namespace

entry_follower::entry_follower(rpc_client& client, std::vector<std::string> entries,
    follow_request announcement, settings_cell& settings)
    : m_client(client)
    , m_entries(std::move(entries))
    , m_announcement(std::move(announcement))
    , m_settings(settings)
    , m_thread(std::make_unique<periodic_thread>(followInterval, [this] { round(); }))
{
}

entry_follower::~entry_follower()
{
    m_thread.reset();
}

void entry_follower::round()
{
    auto entries = m_entries;
    for (const auto& member : members())
        entries.push_back(member.address);
    for (const auto& entry : entries) {
        m_announcement.settingsVersion = m_settings.version();
        auto reply = m_client.follow(entry, m_announcement, followTimeout);
        if (!reply)
            continue;
        if (reply.value().settings && m_settings.offer(std::move(*reply.value().settings)))
            logEvent(log_level::info, "settings in force", { { "version", m_settings.version() } });
        const std::scoped_lock lock(m_mutex);
        m_members = std::move(reply.value().members);
        return;
    }
}

std::vector<member_info> entry_follower::members() const
{
    const std::scoped_lock lock(m_mutex);
    return m_members;
}

std::vector<std::string> entry_follower::owners(const std::string& group, const std::string& zone) const
{
    const auto now = std::chrono::steady_clock::now();
    const std::scoped_lock lock(m_mutex);
    std::vector<member_info> working;
    for (const auto& member : m_members) {
        const auto avoided = m_avoidUntil.find(member.address);
        if (member.zone == zone && !member.leaving
            && (avoided == m_avoidUntil.end() || avoided->second <= now))
            working.push_back(member);
    }
    std::vector<std::string> addresses;
    for (const auto& member : rankMembers(group, working))
        addresses.push_back(member.address);
    return addresses;
}

void entry_follower::reportUnreachable(const std::string& address)
{
    const std::scoped_lock lock(m_mutex);
    m_avoidUntil[address] = std::chrono::steady_clock::now() + avoidPeriod;
}

} // namespace yuccachute
