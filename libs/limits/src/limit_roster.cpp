#include "limit_roster.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// A member that has vanished keeps its part so long: it may be cut off, and serves its callers meanwhile.
constexpr milliseconds fullPartFor { 60000 };
/// A process that is cut off gives a share of its part up some time before the others take it.
constexpr milliseconds cutOffFor { 45000 };
constexpr milliseconds heardFor { 5000 };
constexpr double partLeftWhenCutOff = 0.5;
/// Longer than regions lose each other. Whoever is away for longer is taken for ended.
constexpr std::chrono::hours absentFor { 2 };
/// The life of a registration, and the time that its end takes to be heard of: who is still listed so long
/// after this process was, has heard of it.
constexpr milliseconds listDelay { 8000 };
/// Members that have not answered by then are not asked for it any more.
constexpr milliseconds startingFor { 10000 };

} // namespace

limit_roster::limit_roster(std::string vm)
    : m_vm(std::move(vm))
{
}

void limit_roster::setMembers(std::span<const limit_member> members, steady_time now)
{
    if (!m_started)
        m_started = now;
    std::set<std::string_view> named;
    for (const auto& member : members) {
        named.insert(member.vm);
        setMember(member, now);
    }
    for (auto& [vm, member] : m_members) {
        if (named.contains(vm) || (vm == m_vm && m_leaving))
            continue;
        if (member.recorded && !member.goneSince)
            member.goneSince = now;
        member.registered = false;
        member.recorded = false;
    }
    if (!isRegistered())
        m_registeredSince.reset();
    else if (!m_registeredSince)
        m_registeredSince = now;
    noteSeen(now);
}

void limit_roster::setMember(const limit_member& listed, steady_time now)
{
    if (listed.leaving && listed.vm == m_vm) {
        m_leaving = true;
        return;
    }
    if (listed.leaving) {
        m_left.insert(listed.vm);
        const auto known = m_members.find(listed.vm);
        if (known != m_members.end() && !known->second.goneSince)
            known->second.goneSince = now;
        return;
    }
    m_left.erase(listed.vm);
    const auto [known, added] = m_members.try_emplace(listed.vm);
    auto& member = known->second;
    // It is away from now on, however old the list was that named it last.
    const bool lapsed = member.registered && !listed.registered;
    if (added || listed.registered || lapsed)
        member.lastKnown = now;
    member.zone = listed.zone;
    member.registered = listed.registered;
    member.recorded = true;
    member.goneSince.reset();
}

void limit_roster::setStoreReachable(bool reached, steady_time now)
{
    m_storeReached = reached;
    noteSeen(now);
}

void limit_roster::noteSeen(steady_time now)
{
    if (!isRegistered() || !m_storeReached)
        return;
    m_lastSeen = now;
    const bool allHaveHeard = now - *m_registeredSince >= listDelay;
    for (auto& [vm, member] : m_members) {
        if (!member.registered)
            continue;
        member.lastKnown = now;
        member.countsThis = member.countsThis || allHaveHeard;
    }
}

bool limit_roster::isRegistered() const
{
    const auto self = m_members.find(m_vm);
    return self != m_members.end() && self->second.registered;
}

void limit_roster::heard(const std::string& vm, steady_time now)
{
    if (m_left.contains(vm))
        return;
    auto& member = m_members[vm];
    member.lastHeard = now;
    member.lastKnown = now;
    member.goneSince.reset();
}

reachability_report limit_roster::reachability(steady_time now)
{
    reachability_report reachability;
    for (const auto& [vm, member] : m_members) {
        if (vm != m_vm && now - member.lastHeard > heardFor)
            reachability.unresponsive.push_back(vm);
    }
    reachability.hasMajority = 2 * reachability.unresponsive.size() < m_members.size();
    if (reachability.hasMajority)
        m_hearsMostAt = now;
    else
        reachability.unresponsive.clear();
    return reachability;
}

void limit_roster::noteSurvey(const reachability_report& reachability, steady_time now)
{
    if (!reachability.hasMajority)
        return;
    m_hearsMostAt = now;
    const std::set<std::string_view> unresponsive(
        reachability.unresponsive.begin(), reachability.unresponsive.end());
    for (auto& [vm, member] : m_members) {
        if (!unresponsive.contains(vm))
            member.lastKnown = now;
    }
}

void limit_roster::confirmed(std::string_view vm)
{
    const auto member = m_members.find(vm);
    if (member != m_members.end())
        member->second.countsThis = true;
}

bool limit_roster::lacksConfirmation(std::string_view vm) const
{
    const auto member = m_members.find(vm);
    return knowsSelf() && member != m_members.end() && !member->second.countsThis;
}

std::vector<std::string> limit_roster::takeLost()
{
    return std::exchange(m_lost, {});
}

std::size_t limit_roster::zones() const
{
    std::set<std::string_view> zones;
    for (const auto& [vm, member] : m_members)
        zones.insert(member.zone);
    return zones.size();
}

void limit_roster::forget(milliseconds loanTime, steady_time now)
{
    std::erase_if(m_members, [&](const auto& entry) {
        const auto& [vm, member] = entry;
        if (member.goneSince)
            return now - *member.goneSince > loanTime;
        const bool lost = vm != m_vm && !member.registered && now - member.lastKnown > absentFor;
        if (lost && member.recorded)
            m_lost.push_back(vm);
        return lost;
    });
}

/// Two sides of a cut cannot both hear most members: only one may take a part of what the other owns.
bool limit_roster::countsInFull(std::string_view vm, const member_state& member, steady_time now) const
{
    const bool hasMajority = now - m_hearsMostAt <= heardFor;
    return vm == m_vm || member.registered || !hasMajority || now - member.lastKnown <= fullPartFor;
}

bool limit_roster::mayCountAsAbsent(steady_time now) const
{
    return now - m_lastSeen > cutOffFor && now - m_hearsMostAt > cutOffFor;
}

double limit_roster::ownPart(milliseconds loanTime, steady_time now)
{
    forget(loanTime, now);
    noteSeen(now);
    if (m_leaving || !m_members.contains(m_vm) || !m_started)
        return 0;
    double owners = 0;
    double keptForAbsent = 0;
    double unaware = 0;
    for (const auto& [vm, member] : m_members) {
        if (countsInFull(vm, member, now))
            ++owners;
        else
            keptForAbsent += partLeftWhenCutOff * member.share;
        if (vm != m_vm && !member.countsThis)
            ++unaware;
    }
    const double share = std::max(0.0, 1 - keptForAbsent) / owners;
    for (auto& [vm, member] : m_members) {
        if (countsInFull(vm, member, now))
            member.share = share;
    }
    // Who does not count this process owns a larger part.
    if (unaware > 0 && now - *m_started < loanTime)
        return 0;
    const double others = static_cast<double>(m_members.size()) - 1;
    const double ownShare = others > 0 ? 1 - unaware / others : 1;
    return share * ownShare * (mayCountAsAbsent(now) ? partLeftWhenCutOff : 1);
}

bool limit_roster::isNew(steady_time now) const
{
    return m_started && now - *m_started <= startingFor;
}

bool limit_roster::starting(steady_time now) const
{
    if (!isNew(now))
        return false;
    return std::any_of(m_members.begin(), m_members.end(),
        [&](const auto& entry) { return entry.first != m_vm && !entry.second.countsThis; });
}

} // namespace yuccachute
