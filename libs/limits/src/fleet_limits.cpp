#include "limits/limits.h"

#include "membership/membership.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace yuccachute {

namespace {

/// Processes that are asked for tokens tell all members of themselves at this interval. Beyond so many
/// members it grows with them, and what a process sends does not.
constexpr milliseconds shortestInterval { 100 };
constexpr std::size_t membersAtShortestInterval = 16;
/// In intervals: when a member that is not heard may be cut off, and when it is taken for that.
constexpr double freshIntervals = 1.5;
constexpr double reachIntervals = 12;
constexpr milliseconds urgentInterval { 40 };
/// So much of what is held back may be granted all the same: small customers' buckets hold little more.
constexpr double leastUnconfirmed = 2;
constexpr milliseconds grantingFor { 2000 };
constexpr milliseconds partInterval { 20 };
/// What is told at once: a part of a burst. Fewer requests than `leastUrgent` are within any allowance.
constexpr double urgentShareOfBurst = 1.0 / 16;
constexpr double leastUrgent = 4;
/// A member that is not listed any more may live behind a cut. Those behind the cut, if they are the fewer,
/// have given most of their part up before the others take it.
constexpr milliseconds memberForgottenAfter { 9000 };
constexpr milliseconds cutOffFor { 7000 };
constexpr double partLeftWhenCutOff = 0.25;
/// Over which another process's rate is taken.
constexpr std::chrono::duration<double> rateSpan { 0.3 };
/// Of the tolerance, what requests that have begun elsewhere may overdraw.
constexpr double creditShare = 0.25;
constexpr milliseconds leastReturn { 50 };
constexpr milliseconds longestReturn { 5000 };
/// When to ask a process again that may not grant yet.
constexpr milliseconds unregisteredRetry { 250 };

double secondsBetween(steady_time from, steady_time to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

double urgentAmount(const request_limit& limit)
{
    return std::max(leastUrgent, limit.burst * urgentShareOfBurst);
}

} // namespace

fleet_limits::fleet_limits(
    std::string vm, std::uint64_t incarnation, limit_policy policy, limit_bounds bounds)
    : m_vm(std::move(vm))
    , m_incarnation(incarnation)
    , m_policy(policy)
    , m_bounds(bounds)
{
}

void fleet_limits::setCustomers(const customer_directory& customers, steady_time now)
{
    std::set<std::uint64_t> limited;
    for (const auto& customer : customers.all()) {
        if (customer.requestsPerSecond <= 0)
            continue;
        const auto hash = hashText(customer.name);
        const request_limit limit { customer.requestsPerSecond, customer.burst };
        limited.insert(hash);
        const auto [bucket, added] = m_buckets.try_emplace(hash, limit, m_bounds, now);
        if (!added)
            bucket->second.setLimit(limit);
    }
    std::erase_if(m_buckets, [&](const auto& entry) { return !limited.contains(entry.first); });
}

bool fleet_limits::limits(std::string_view customer) const
{
    return !m_buckets.empty() && m_buckets.contains(hashText(customer));
}

void fleet_limits::setMembers(std::span<const limit_member> members, steady_time now)
{
    for (auto& [vm, known] : m_members) {
        if (known.listed)
            known.lastListed = now;
        known.listed = false;
    }
    for (const auto& member : members) {
        // One that leaves of its own accord grants nothing any more; nobody has to keep a part for it.
        if (member.leaving && member.vm != m_vm) {
            m_members.erase(member.vm);
            m_leaving.insert(member.vm);
            continue;
        }
        m_leaving.erase(member.vm);
        m_members[member.vm] = { member.zone, now, true };
    }
    forgetMembers(now);
    m_partComputed = {};
}

void fleet_limits::forgetMembers(steady_time now)
{
    std::erase_if(m_members, [&](const auto& member) {
        return !member.second.listed && now - member.second.lastListed > memberForgottenAfter;
    });
}

void fleet_limits::setStoreReached(bool reached, steady_time now)
{
    if (reached)
        m_storeLostSince.reset();
    else if (!m_storeLostSince)
        m_storeLostSince = now;
}

bool fleet_limits::active(steady_time now) const
{
    return m_lastTake != steady_time {} && now - m_lastTake <= grantingFor;
}

milliseconds fleet_limits::regularInterval() const
{
    const auto most = std::max(m_members.size(), membersAtShortestInterval);
    return shortestInterval * static_cast<std::int64_t>(most) / membersAtShortestInterval;
}

milliseconds fleet_limits::reachTimeout() const
{
    return std::chrono::duration_cast<milliseconds>(regularInterval() * reachIntervals);
}

milliseconds fleet_limits::freshTimeout() const
{
    return std::chrono::duration_cast<milliseconds>(regularInterval() * freshIntervals);
}

bool fleet_limits::isReached(std::string_view vm, steady_time now) const
{
    // Members are silent towards a process that asks them nothing. Until they have had the time to answer,
    // their part is held back, not lost.
    if (vm == m_vm || !active(now) || now - m_activeSince <= reachTimeout())
        return true;
    const auto peer = m_peers.find(vm);
    return peer != m_peers.end() && now - peer->second.heard <= reachTimeout();
}

double fleet_limits::part(steady_time now)
{
    if (m_partComputed != steady_time {} && now - m_partComputed < partInterval)
        return m_part;
    m_partComputed = now;
    noteLostPeers(now);
    m_part = computePart(now);
    return m_part;
}

double fleet_limits::computePart(steady_time now)
{
    // Until it has registered itself, others do not know of what it grants, and do not tell it of theirs.
    if (!m_members.contains(m_vm))
        return 0;
    forgetMembers(now);
    return std::holds_alternative<even_shares>(m_policy) ? evenPart() : countedPart(now);
}

double fleet_limits::evenPart()
{
    m_freshShare = 1;
    std::set<std::string_view> zones;
    for (const auto& [vm, member] : m_members)
        zones.insert(member.zone);
    return 1.0 / static_cast<double>(zones.size());
}

std::size_t fleet_limits::heardSince(steady_time since) const
{
    return static_cast<std::size_t>(
        std::count_if(m_members.begin(), m_members.end(), [&](const auto& member) {
            const auto peer = m_peers.find(member.first);
            return member.first == m_vm || (peer != m_peers.end() && peer->second.heard >= since);
        }));
}

double fleet_limits::countedPart(steady_time now)
{
    const auto reached = static_cast<double>(std::count_if(m_members.begin(), m_members.end(),
        [&](const auto& member) { return isReached(member.first, now); }));
    m_freshShare = static_cast<double>(heardSince(now - freshTimeout())) / reached;
    const double share = reached / static_cast<double>(m_members.size());
    constexpr double half = 0.5;
    const bool cutOff = share < half && m_storeLostSince && now - *m_storeLostSince > cutOffFor;
    return cutOff ? share * partLeftWhenCutOff : share;
}

void fleet_limits::advance(request_bucket& bucket, steady_time now)
{
    const double held = part(now);
    bucket.advance(held, m_freshShare, now);
}

/// What of a bucket may be granted now.
double fleet_limits::available(request_bucket& bucket, steady_time now)
{
    advance(bucket, now);
    return bucket.usable() + std::min(bucket.heldBack(), leastUnconfirmed) - expectedSpending(bucket, now);
}

/// What another process has probably granted since it last told.
double fleet_limits::expectedSpending(
    const request_bucket& bucket, std::string_view vm, steady_time now) const
{
    const auto other = bucket.others.find(vm);
    const auto peer = m_peers.find(vm);
    if (other == bucket.others.end() || peer == m_peers.end() || !other->second.counted)
        return 0;
    const double idle = secondsBetween(other->second.changed, peer->second.heard);
    const double rate = other->second.perSecond * std::exp(-idle / rateSpan.count());
    // What it grants after that is held back.
    const double unheard = std::min(
        secondsBetween(peer->second.heard, now), std::chrono::duration<double>(freshTimeout()).count());
    return rate * unheard;
}

double fleet_limits::expectedSpending(const request_bucket& bucket, steady_time now) const
{
    double expected = 0;
    for (const auto& [vm, other] : bucket.others)
        expected += expectedSpending(bucket, vm, now);
    return expected;
}

/// What a lost peer has granted since it was last heard is never told: what is expected is taken for granted.
void fleet_limits::noteLostPeers(steady_time now)
{
    for (auto& [vm, peer] : m_peers) {
        if (!peer.reached || isReached(vm, now))
            continue;
        peer.reached = false;
        for (auto& [customer, bucket] : m_buckets) {
            advance(bucket, now);
            bucket.deduct(expectedSpending(bucket, vm, now));
        }
        forgetSpending(vm);
    }
}

void fleet_limits::forgetSpending(const std::string& vm)
{
    for (auto& [customer, bucket] : m_buckets)
        bucket.others.erase(vm);
}

milliseconds fleet_limits::take(std::string_view customer, bool begun, steady_time now)
{
    const auto found = m_buckets.find(hashText(customer));
    if (found == m_buckets.end())
        return milliseconds { 0 };
    auto& bucket = found->second;
    if (!active(now))
        m_activeSince = now;
    m_lastTake = now;
    if (part(now) <= 0)
        return unregisteredRetry;
    const double left = available(bucket, now);
    const double wanted = begun ? 1 - creditShare * bucket.tolerance() * m_part : 1;
    if (left < wanted)
        return promise(bucket, wanted - left, now);
    bucket.add(-1);
    ++bucket.granted;
    return milliseconds { 0 };
}

/// Those that are refused come back one after the other, as tokens flow in.
milliseconds fleet_limits::promise(request_bucket& bucket, double missing, steady_time now)
{
    ++m_refused;
    const double perSecond = std::max(bucket.limit().perSecond * part(now), 1e-3);
    const auto after = [&](steady_time from, double tokens) {
        return from
            + std::chrono::duration_cast<steady_time::duration>(std::chrono::duration<double>(
                std::min(tokens / perSecond, std::chrono::duration<double>(longestReturn).count())));
    };
    bucket.promisedUntil = std::max(after(now, missing), after(bucket.promisedUntil, 1));
    bucket.promisedUntil = std::min(bucket.promisedUntil, now + longestReturn);
    return std::max(leastReturn, std::chrono::duration_cast<milliseconds>(bucket.promisedUntil - now));
}

void fleet_limits::giveBack(std::string_view customer, steady_time now)
{
    const auto found = m_buckets.find(hashText(customer));
    if (found == m_buckets.end())
        return;
    auto& bucket = found->second;
    if (bucket.granted == 0) // It was taken before the customer's limit was dropped and set anew.
        return;
    advance(bucket, now);
    bucket.add(1);
    --bucket.granted;
}

bool fleet_limits::grants(std::string_view vm, steady_time now) const
{
    const auto peer = m_peers.find(vm);
    return peer != m_peers.end() && peer->second.granted != steady_time {}
    && now - peer->second.granted <= grantingFor;
}

std::vector<customer_spending> fleet_limits::changedSince(
    std::uint64_t request_bucket::*mark, steady_time now)
{
    std::vector<customer_spending> changed;
    for (auto& [customer, bucket] : m_buckets) {
        if (bucket.*mark == bucket.granted)
            continue;
        const auto added
            = static_cast<std::int64_t>(bucket.granted - std::exchange(bucket.*mark, bucket.granted));
        advance(bucket, now);
        const double fill = bucket.level() / std::max(1.0, bucket.capacity() * m_part);
        constexpr double mostPercent = 1000;
        const auto percent = std::clamp(100 * fill, -mostPercent, mostPercent);
        changed.push_back({ customer, bucket.granted, added, static_cast<int>(std::lround(percent)) });
    }
    return changed;
}

std::optional<spending_report> fleet_limits::takeUrgentReport(steady_time now)
{
    if (std::holds_alternative<even_shares>(m_policy) || now - m_lastUrgent < urgentInterval)
        return std::nullopt;
    const bool urgent = std::any_of(m_buckets.begin(), m_buckets.end(), [](const auto& entry) {
        const auto& bucket = entry.second;
        const auto untold = static_cast<double>(static_cast<std::int64_t>(bucket.granted - bucket.told));
        return untold >= urgentAmount(bucket.limit());
    });
    if (!urgent)
        return std::nullopt;
    m_lastUrgent = now;
    return spending_report { m_vm, m_incarnation, false, changedSince(&request_bucket::told, now) };
}

std::optional<spending_report> fleet_limits::takeRegularReport(steady_time now)
{
    const bool silent
        = std::holds_alternative<even_shares>(m_policy) || !m_members.contains(m_vm) || !active(now);
    if (silent || now - m_lastRegular < regularInterval())
        return std::nullopt;
    m_lastRegular = now;
    spending_report report { m_vm, m_incarnation, true, changedSince(&request_bucket::toldAll, now) };
    for (auto& [customer, bucket] : m_buckets)
        bucket.told = bucket.granted;
    return report;
}

std::optional<spending_report> fleet_limits::heard(const spending_report& report, steady_time now)
{
    if (report.vm == m_vm)
        return std::nullopt;
    auto& peer = m_peers[report.vm];
    // What it granted while it was out of reach, or in a former life, is covered by its own part.
    if (peer.incarnation != report.incarnation || now - peer.heard > reachTimeout()) {
        forgetSpending(report.vm);
        m_partComputed = {};
    }
    peer.incarnation = report.incarnation;
    peer.reached = true;
    keepMember(report.vm, now);
    for (const auto& told : report.customers) {
        const auto found = m_buckets.find(told.customer);
        if (found == m_buckets.end())
            continue;
        takeSpending(found->second, report.vm, told, now);
        peer.granted = now;
    }
    peer.heard = now;
    if (!report.wantsAnswer || active(now))
        return std::nullopt;
    return spending_report { m_vm, m_incarnation, false, {} };
}

/// A process that is heard may grant, also if the list does not name it: it was cut off when its registration
/// lapsed, and is back sooner than that.
void fleet_limits::keepMember(const std::string& vm, steady_time now)
{
    if (m_leaving.contains(vm))
        return;
    auto& member = m_members.try_emplace(vm, member_state { "", now, false }).first->second;
    member.lastListed = now;
}

void fleet_limits::takeSpending(
    request_bucket& bucket, const std::string& vm, const customer_spending& told, steady_time now)
{
    auto& other = bucket.others[vm];
    advance(bucket, now);
    if (!std::exchange(other.counted, true)) {
        other.granted = told.granted;
        other.changed = now;
        bucket.deduct(static_cast<double>(told.added));
        // Across a cut, or before this process started, more was granted than it knows of.
        const double theirs = told.fillPercent / 100.0 * bucket.capacity() * m_part;
        bucket.deduct(std::max(0.0, bucket.level() - theirs));
        return;
    }
    const auto spent = static_cast<double>(
        static_cast<std::int64_t>(told.granted - std::exchange(other.granted, told.granted)));
    bucket.deduct(spent);
    const double span = std::max(secondsBetween(other.changed, now), 1e-3);
    const double keep = std::exp(-span / rateSpan.count());
    other.perSecond = keep * other.perSecond + (1 - keep) * std::max(0.0, spent) / span;
    other.changed = now;
}

std::optional<fleet_limits::usage> fleet_limits::usageOf(std::string_view customer, steady_time now)
{
    const auto found = m_buckets.find(hashText(customer));
    if (found == m_buckets.end())
        return std::nullopt;
    advance(found->second, now);
    return usage { found->second.level(), found->second.capacity() * m_part };
}

} // namespace yuccachute
