#include "limit_roster.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// An unreachable member keeps its full share for this time, because it may still serve callers in its
/// partition.
constexpr milliseconds fullShareTime { 60000 };
/// A partitioned process reduces its own share after this time, well before the others claim the difference.
constexpr milliseconds reduceOwnShareAfter { 45000 };
/// A member counts as reachable for this time after its last message. A report of a majority is valid for
/// the same time.
constexpr milliseconds contactTimeout { 5000 };
/// Fraction of its share that a partitioned process goes on using.
constexpr double partitionedShareFactor = 0.5;
/// A member that is unreachable for longer is treated as terminated. Network partitions between regions are
/// shorter.
constexpr std::chrono::hours absenceTimeout { 2 };
/// Lifetime of a registration plus the time until its expiry reaches all members. A member that is still
/// listed this long after this process was registered has received a list that contains this process.
constexpr milliseconds listPropagationTime { 8000 };
/// A process requests the members' confirmations only for this time after its start.
constexpr milliseconds startupTime { 10000 };

} // namespace

limit_roster::limit_roster(std::string vm)
    : m_vm(std::move(vm))
{
}

void limit_roster::setMembers(std::span<const limit_member> members, steady_time now)
{
    if (!m_startedAt)
        m_startedAt = now;
    std::set<std::string_view> named;
    for (const auto& member : members) {
        named.insert(member.vm);
        setMember(member, now);
    }
    for (auto& [vm, member] : m_members) {
        if (named.contains(vm) || (vm == m_vm && m_leaving))
            continue;
        if (member.hasRecord && !member.removedSince)
            member.removedSince = now;
        member.registered = false;
        member.hasRecord = false;
    }
    if (!isRegistered())
        m_registeredSince.reset();
    else if (!m_registeredSince)
        m_registeredSince = now;
    updateLastListed(now);
}

void limit_roster::setMember(const limit_member& listed, steady_time now)
{
    if (listed.leaving && listed.vm == m_vm) {
        m_leaving = true;
        return;
    }
    if (listed.leaving) {
        m_departed.insert(listed.vm);
        const auto known = m_members.find(listed.vm);
        if (known != m_members.end() && !known->second.removedSince)
            known->second.removedSince = now;
        return;
    }
    m_departed.erase(listed.vm);
    const auto [known, added] = m_members.try_emplace(listed.vm);
    auto& member = known->second;
    // Its absence starts now, however old the last list was that contained it.
    const bool lapsed = member.registered && !listed.registered;
    if (added || listed.registered || lapsed)
        member.lastKnownAlive = now;
    member.zone = listed.zone;
    member.registered = listed.registered;
    member.hasRecord = true;
    member.removedSince.reset();
}

void limit_roster::setStoreReachable(bool reachable, steady_time now)
{
    m_storeReachable = reachable;
    updateLastListed(now);
}

void limit_roster::updateLastListed(steady_time now)
{
    if (!isRegistered() || !m_storeReachable)
        return;
    m_lastListed = now;
    const bool listHasPropagated = now - *m_registeredSince >= listPropagationTime;
    for (auto& [vm, member] : m_members) {
        if (!member.registered)
            continue;
        member.lastKnownAlive = now;
        member.countsSelf = member.countsSelf || listHasPropagated;
    }
}

bool limit_roster::isRegistered() const
{
    const auto self = m_members.find(m_vm);
    return self != m_members.end() && self->second.registered;
}

void limit_roster::recordContact(const std::string& vm, steady_time now)
{
    if (m_departed.contains(vm))
        return;
    auto& member = m_members[vm];
    member.lastReceived = now;
    member.lastKnownAlive = now;
    member.removedSince.reset();
}

reachability_report limit_roster::reachability(steady_time now)
{
    reachability_report report;
    for (const auto& [vm, member] : m_members) {
        if (vm != m_vm && now - member.lastReceived > contactTimeout)
            report.unresponsive.push_back(vm);
    }
    report.hasMajority = 2 * report.unresponsive.size() < m_members.size();
    if (report.hasMajority)
        m_majorityAt = now;
    else
        report.unresponsive.clear();
    return report;
}

void limit_roster::recordReport(const reachability_report& report, steady_time now)
{
    if (!report.hasMajority)
        return;
    m_majorityAt = now;
    const std::set<std::string_view> unresponsive(report.unresponsive.begin(), report.unresponsive.end());
    for (auto& [vm, member] : m_members) {
        if (!unresponsive.contains(vm))
            member.lastKnownAlive = now;
    }
}

void limit_roster::recordConfirmation(std::string_view vm)
{
    const auto member = m_members.find(vm);
    if (member != m_members.end())
        member->second.countsSelf = true;
}

bool limit_roster::lacksConfirmation(std::string_view vm) const
{
    const auto member = m_members.find(vm);
    return includesSelf() && member != m_members.end() && !member->second.countsSelf;
}

std::vector<std::string> limit_roster::takeExpired()
{
    return std::exchange(m_expired, {});
}

std::size_t limit_roster::zones() const
{
    std::set<std::string_view> zones;
    for (const auto& [vm, member] : m_members)
        zones.insert(member.zone);
    return zones.size();
}

void limit_roster::removeExpired(milliseconds loanDuration, steady_time now)
{
    std::erase_if(m_members, [&](const auto& entry) {
        const auto& [vm, member] = entry;
        if (member.removedSince)
            return now - *member.removedSince > loanDuration;
        const bool expired = vm != m_vm && !member.registered && now - member.lastKnownAlive > absenceTimeout;
        if (expired && member.hasRecord)
            m_expired.push_back(vm);
        return expired;
    });
}

/// At most one side of a network partition has a majority of members, and only that side may claim a part of
/// the shares that the other side owns.
bool limit_roster::ownsFullShare(std::string_view vm, const member_state& member, steady_time now) const
{
    const bool hasMajority = now - m_majorityAt <= contactTimeout;
    return vm == m_vm || member.registered || !hasMajority || now - member.lastKnownAlive <= fullShareTime;
}

bool limit_roster::mayBeConsideredAbsent(steady_time now) const
{
    return now - m_lastListed > reduceOwnShareAfter && now - m_majorityAt > reduceOwnShareAfter;
}

double limit_roster::ownShare(milliseconds loanDuration, steady_time now)
{
    removeExpired(loanDuration, now);
    updateLastListed(now);
    if (m_leaving || !m_members.contains(m_vm) || !m_startedAt)
        return 0;
    double owners = 0;
    double reservedForAbsent = 0;
    double unconfirmed = 0;
    for (const auto& [vm, member] : m_members) {
        if (ownsFullShare(vm, member, now))
            ++owners;
        else
            reservedForAbsent += partitionedShareFactor * member.share;
        if (vm != m_vm && !member.countsSelf)
            ++unconfirmed;
    }
    const double share = std::max(0.0, 1 - reservedForAbsent) / owners;
    for (auto& [vm, member] : m_members) {
        if (ownsFullShare(vm, member, now))
            member.share = share;
    }
    // A member that does not count this process divides the limit among fewer members and owns a larger
    // share.
    if (unconfirmed > 0 && now - *m_startedAt < loanDuration)
        return 0;
    const double others = static_cast<double>(m_members.size()) - 1;
    const double confirmedFraction = others > 0 ? 1 - unconfirmed / others : 1;
    return share * confirmedFraction * (mayBeConsideredAbsent(now) ? partitionedShareFactor : 1);
}

bool limit_roster::isStarting(steady_time now) const
{
    return m_startedAt && now - *m_startedAt <= startupTime;
}

bool limit_roster::needsConfirmations(steady_time now) const
{
    if (!isStarting(now))
        return false;
    return std::any_of(m_members.begin(), m_members.end(),
        [&](const auto& entry) { return entry.first != m_vm && !entry.second.countsSelf; });
}

} // namespace yuccachute
