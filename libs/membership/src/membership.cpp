#include "membership/membership.h"

#include <algorithm>

namespace yuccachute {

std::string_view toString(member_state state)
{
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "dead";
}

member_heartbeat heartbeatOf(const member_info& member)
{
    constexpr std::uint64_t mask16 = 0xffff;
    const auto parts
        = member.zone + '|' + member.address + '|' + member.batchAddress + '|' + member.adminAddress;
    const auto hash = hashText(parts, member.incarnation);
    return { static_cast<std::uint32_t>(hashText(member.vm)), static_cast<std::uint32_t>(hash & mask16),
        member.heartbeat, member.settingsVersion, member.otherProcessesVersion, member.leaving };
}

namespace {

bool isNewer(const member_info& candidate, const member_info& known)
{
    if (candidate.incarnation != known.incarnation)
        return candidate.incarnation > known.incarnation;
    return candidate.heartbeat > known.heartbeat;
}

member_state stateFromHeartbeatAge(
    const member_view& member, const membership_options& options, steady_time now)
{
    const auto heartbeatAge = now - member.lastHeartbeatTime;
    if (heartbeatAge > options.deadAfter)
        return member_state::dead;
    if (member.info.leaving)
        return member_state::leaving;
    return heartbeatAge > options.suspectAfter ? member_state::suspect : member_state::alive;
}

} // namespace

membership::membership(member_info self, membership_options options, steady_time)
    : m_self(std::move(self))
    , m_options(options)
{
}

void membership::tick(steady_time now)
{
    ++m_self.heartbeat;
    for (auto other = m_others.begin(); other != m_others.end();) {
        auto& member = other->second;
        // A member that is suspect because of a broken connection stays so until its next heartbeat, although
        // the last one is recent.
        const auto byHeartbeatAge = stateFromHeartbeatAge(member, m_options, now);
        if (!(member.state == member_state::suspect && byHeartbeatAge == member_state::alive))
            member.state = byHeartbeatAge;
        other = now - member.lastHeartbeatTime > m_options.forgetAfter ? m_others.erase(other)
                                                                       : std::next(other);
    }
}

bool membership::merge(std::span<const member_info> updates, steady_time now)
{
    bool changed = false;
    for (const auto& info : updates) {
        if (info.vm == m_self.vm) {
            // An earlier start of this VM whose clock was ahead: peers would ignore the current, lower
            // incarnation.
            if (info.incarnation > m_self.incarnation) {
                m_self.incarnation = info.incarnation + 1;
                changed = true;
            }
            continue;
        }
        auto [found, fresh] = m_others.try_emplace(info.vm, member_view { info, member_state::alive, now });
        auto& member = found->second;
        if (!fresh && !isNewer(info, member.info))
            continue;
        const auto before = member.state;
        const bool moved
            = member.info.batchAddress != info.batchAddress || member.info.adminAddress != info.adminAddress;
        member.info = info;
        member.lastHeartbeatTime = now;
        member.state = info.leaving ? member_state::leaving : member_state::alive;
        changed = changed || fresh || moved || member.state != before;
    }
    return changed;
}

std::vector<std::uint32_t> membership::mergeHeartbeats(
    std::span<const member_heartbeat> heartbeats, steady_time now)
{
    std::map<std::uint32_t, member_view*> known;
    for (auto& [vm, member] : m_others)
        known[heartbeatOf(member.info).id] = &member;
    const auto own = heartbeatOf(m_self);
    std::vector<std::uint32_t> wanted;
    for (const auto& received : heartbeats) {
        if (received.id == own.id) {
            if (received.fingerprint != own.fingerprint)
                wanted.push_back(received.id); // Possibly of an earlier start whose clock was ahead.
            continue;
        }
        const auto found = known.find(received.id);
        if (found == known.end() || heartbeatOf(found->second->info).fingerprint != received.fingerprint) {
            wanted.push_back(received.id);
            continue;
        }
        auto update = found->second->info;
        update.heartbeat = received.heartbeat;
        update.settingsVersion = received.settingsVersion;
        update.otherProcessesVersion = received.otherProcessesVersion;
        update.leaving = received.leaving;
        merge(std::span(&update, 1), now);
    }
    return wanted;
}

void membership::reportUnreachable(std::string_view vm, steady_time)
{
    const auto found = m_others.find(vm);
    if (found != m_others.end() && found->second.state == member_state::alive)
        found->second.state = member_state::suspect;
}

void membership::leave()
{
    m_self.leaving = true;
    ++m_self.heartbeat;
}

std::vector<member_view> membership::view() const
{
    std::vector<member_view> all;
    all.push_back({ m_self, m_self.leaving ? member_state::leaving : member_state::alive, {} });
    for (const auto& [vm, member] : m_others)
        all.push_back(member);
    return all;
}

std::vector<member_info> membership::digest() const
{
    std::vector<member_info> members { m_self };
    for (const auto& [vm, member] : m_others) {
        if (member.state != member_state::dead)
            members.push_back(member.info);
    }
    return members;
}

std::vector<member_info> membership::eligibleMembers(std::string_view zone) const
{
    std::vector<member_info> alive;
    std::vector<member_info> suspects;
    if (m_self.zone == zone && !m_self.leaving)
        alive.push_back(m_self);
    for (const auto& [vm, member] : m_others) {
        if (member.info.zone != zone)
            continue;
        if (member.state == member_state::alive)
            alive.push_back(member.info);
        else if (member.state == member_state::suspect)
            suspects.push_back(member.info);
    }
    return alive.empty() ? suspects : alive;
}

} // namespace yuccachute
