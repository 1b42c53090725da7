#include "dispatch/dispatch.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace yuccachute {

namespace {

constexpr milliseconds grantGrace { 2000 };
/// A group polls its targets only for this long after the last slot request.
constexpr milliseconds activityTimeout { 2000 };
constexpr milliseconds adaptationInterval { 100 };
/// How often the targets in use are checked for ones that are no longer needed.
constexpr milliseconds deactivationInterval { 1000 };
constexpr milliseconds minRetryAfter { 1000 };
constexpr milliseconds unavailableRetryAfter { 2000 };
constexpr double avoidPenalty = 10;
constexpr double previousAverageWeight = 0.9;
constexpr double memoryFullShare = 0.98;

double elapsedMs(steady_time from, steady_time to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

double movingAverage(double average, double value)
{
    return average == 0 ? value : previousAverageWeight * average + (1 - previousAverageWeight) * value;
}

} // namespace

target_group::target_group(group_options options)
    : m_options(std::move(options))
    , m_live(m_options.order)
    , m_bulk(m_options.bulkOrder.value_or(m_options.order))
{
}

void target_group::setOptions(group_options options)
{
    m_options.policy = options.policy;
    m_options.randomChoice = options.randomChoice;
    m_options.refusalBackoff = options.refusalBackoff;
    if (options.order == m_options.order)
        return;
    m_options.order = options.order;
    // A queue has a fixed order, so the waiting requests move to new queues.
    fair_queue live(options.order);
    fair_queue bulk(options.bulkOrder.value_or(options.order));
    for (; !m_live.empty();) {
        auto [request, since] = m_live.pop();
        live.push(std::move(request), since);
    }
    for (; !m_bulk.empty();) {
        auto [request, since] = m_bulk.pop();
        bulk.push(std::move(request), since);
    }
    m_live = std::move(live);
    m_bulk = std::move(bulk);
}

void target_group::setTargets(std::span<const target_description> targets, steady_time now)
{
    std::set<std::string_view> listed;
    for (const auto& description : targets)
        listed.insert(description.name);
    std::vector<std::string> removed;
    for (const auto& [name, target] : m_targets) {
        if (!listed.contains(name))
            removed.push_back(name);
    }
    for (auto& name : m_standby.names()) {
        if (!listed.contains(name))
            removed.push_back(std::move(name));
    }
    changeTargets(targets, removed, now);
}

void target_group::changeTargets(
    std::span<const target_description> changed, std::span<const std::string> removed, steady_time now)
{
    for (const auto& name : removed)
        removeTarget(name);
    for (const auto& description : changed)
        updateTarget(description, now);
    activateNeededTargets(now);
    activatePrecedingTargets(now);
    assignSlots(now);
}

void target_group::removeTarget(std::string_view name)
{
    if (m_standby.remove(name))
        return;
    if (const auto known = m_targets.find(name); known != m_targets.end()) {
        m_prefixes.eraseTarget(name);
        m_targets.erase(known);
    }
}

void target_group::updateTarget(const target_description& description, steady_time now)
{
    const auto known = m_targets.find(description.name);
    if (known == m_targets.end()) {
        m_standby.remove(description.name);
        if (!description.drain || m_targets.size() < m_options.minTargets)
            m_standby.add(description);
        return;
    }
    // The same name at another address is a new instance: its health and counts are reset.
    if (known->second.description.address != description.address)
        return activateTarget(description, now);
    known->second.description = description;
}

/// Activates the standby targets that come before any target in use. So a process that learns of the targets
/// one by one uses the same ones as a process that learns of all at once.
void target_group::activatePrecedingTargets(steady_time now)
{
    std::uint64_t last = 0;
    for (const auto& [name, target] : m_targets)
        last = std::max(last, activationOrder(name));
    while (!m_standby.empty() && m_standby.firstActivationOrder() < last)
        activateTarget(*m_standby.popFirst(), now);
}

void target_group::activateTarget(target_description description, steady_time now)
{
    auto& target = m_targets[description.name];
    target = {};
    target.load = target_load(m_options.pollsLoadReports, now);
    target.description = std::move(description);
}

working_set_state target_group::workingSet(steady_time now) const
{
    working_set_state state;
    state.targets = m_targets.size();
    state.desiredSlots = m_demand.desiredSlots();
    for (const auto& [name, target] : m_targets) {
        state.totalSlots += target.description.slots;
        state.usableSlots += usable(target, now) ? slotsOf(target, now) : 0;
    }
    return state;
}

void target_group::activateNeededTargets(steady_time now)
{
    m_demand.record(m_grants.size() + m_live.size() + m_bulk.size(), now);
    if (m_standby.empty())
        return;
    auto state = workingSet(now);
    while (needsMoreTargets(state, m_options.minTargets)) {
        auto next = m_standby.popFirst();
        if (!next)
            return;
        ++state.targets;
        state.totalSlots += next->slots;
        state.usableSlots += next->slots;
        activateTarget(std::move(*next), now);
    }
}

/// Deactivates targets in reverse order of activation.
void target_group::deactivateIdleTargets(steady_time now)
{
    if (now < m_nextDeactivation || m_targets.size() <= m_options.minTargets)
        return;
    m_nextDeactivation = now + deactivationInterval;
    auto state = workingSet(now);
    std::vector<std::pair<std::uint64_t, std::string>> idle;
    for (const auto& [name, target] : m_targets) {
        const bool busy = target.live + target.bulk + slotsUsedByOthers(target, now) > 0;
        if (!busy && !target.description.drain)
            idle.emplace_back(activationOrder(name), name);
    }
    std::sort(idle.rbegin(), idle.rend());
    for (const auto& [order, name] : idle) {
        const auto& target = m_targets.find(name)->second;
        const std::size_t slots = usable(target, now) ? slotsOf(target, now) : 0;
        if (!canDeactivate(state, slots, m_options.minTargets))
            return;
        --state.targets;
        state.usableSlots -= slots;
        auto description = target.description;
        removeTarget(name);
        m_standby.add(std::move(description));
    }
}

bool target_group::usable(const target_state& target, steady_time now) const
{
    if (target.description.drain || target.health.at(now) == target_health::state::ejected)
        return false;
    if (now < target.refusedUntil)
        return false;
    // Requests sent to an unresponsive target are lost, and a stream must not run twice. If no target
    // answers, the fault is probably in this process's network, and the targets remain usable.
    if (target.load.unresponsive() && !allTargetsUnresponsive())
        return false;
    return !target.load.leaving(now);
}

unsigned target_group::slotsOf(const target_state& target, steady_time now) const
{
    if (target.health.at(now) == target_health::state::probing)
        return 1;
    return std::min(target.load.slots(now).value_or(target.description.slots), target.description.slots);
}

unsigned target_group::slotsUsedByOthers(const target_state& target, steady_time now) const
{
    return target.load.slotsUsedByOthers(target.description.slots, now);
}

bool target_group::allTargetsUnresponsive() const
{
    return std::all_of(m_targets.begin(), m_targets.end(),
        [](const auto& entry) { return entry.second.load.unresponsive(); });
}

std::vector<report_due> target_group::reportsDue(steady_time now)
{
    std::vector<report_due> due;
    if (!m_options.pollsLoadReports || now - m_lastRequestTime > activityTimeout)
        return due;
    for (auto& [name, target] : m_targets) {
        if (target.load.startPollIfDue(now))
            due.push_back({ name, target.description.address });
    }
    return due;
}

void target_group::recordMissedReport(std::string_view target, steady_time now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    found->second.load.recordMiss(now);
    assignSlots(now);
}

unsigned target_group::freeSlots(const target_state& target, steady_time now) const
{
    // Slots of revoked items count as free: a live request that is granted one reaches the target's queue
    // before the item has left, and is admitted in the engine step in which the item is removed.
    const unsigned used = target.live + target.bulk - target.revoked + slotsUsedByOthers(target, now);
    const unsigned slots = slotsOf(target, now);
    return used < slots ? slots - used : 0;
}

unsigned target_group::spareSlots(const target_state& target, steady_time now) const
{
    const auto kept = std::count_if(target.liveReleaseTimes.begin(), target.liveReleaseTimes.end(),
        [&](steady_time left) { return now - left < m_options.keptForLive; });
    const auto slots = freeSlots(target, now);
    return slots - std::min(slots, static_cast<unsigned>(kept));
}

/// Cost of sending a request to a target: the fraction of its slots in use, less the benefit of cached
/// prefixes.
double target_group::costOf(const slot_request& request, const target_state& target, steady_time now) const
{
    const auto& name = target.description.name;
    const double used = target.live + target.bulk + slotsUsedByOthers(target, now);
    const double blocks = std::max<double>(1, static_cast<double>(request.prefixes.size()));
    const double hit = static_cast<double>(m_prefixes.matchedBlocks(request.prefixes, name, now)) / blocks;
    const double full = target.load.memoryUsed() > memoryFullShare ? 1 : 0;
    const double avoided = name == request.avoid ? avoidPenalty : 0;
    return used / slotsOf(target, now) - m_options.affinity * hit + full + avoided;
}

target_group::target_state* target_group::chooseTarget(
    const slot_request& request, bool needFreeSlot, steady_time now)
{
    target_state* best = nullptr;
    double bestCost = 0;
    for (auto& [name, target] : m_targets) {
        const bool live = request.workClass == work_class::live;
        if (!usable(target, now))
            continue;
        if (needFreeSlot && (live ? freeSlots(target, now) : spareSlots(target, now)) == 0)
            continue;
        const double cost
            = m_options.randomChoice ? static_cast<double>(m_random() % 1000) : costOf(request, target, now);
        if (!best || cost < bestCost) {
            best = &target;
            bestCost = cost;
        }
    }
    return best;
}

milliseconds target_group::expectedWait(const slot_request& request, steady_time now) const
{
    unsigned slots = 0;
    for (const auto& [name, target] : m_targets) {
        if (!usable(target, now))
            continue;
        // A target that has not reported yet is not counted as full here: it will report within milliseconds,
        // and the request can wait for that.
        const auto usedByOthers = target.load.hasReported() ? slotsUsedByOthers(target, now) : 0;
        slots += slotsOf(target, now) - std::min(slotsOf(target, now), usedByOthers);
    }
    if (slots == 0)
        return unavailableRetryAfter;
    const double ahead = static_cast<double>(
        m_options.order == fair_queue::order::fair ? m_live.sizeOf(request.customer) : m_live.size());
    const double share
        = m_options.order == fair_queue::order::fair ? m_live.shareOf(request.customer, request.weight) : 1;
    return milliseconds { std::llround(ahead * m_serviceTimeMs / slots / share) };
}

void target_group::refuse(const slot_request& request, failure reason)
{
    m_decisions.emplace_back(slot_refusal { request.holder, request.id, std::move(reason) });
}

void target_group::refuseForLoad(const slot_request& request, std::string message, steady_time now)
{
    const auto wait = expectedWait(request, now);
    if (request.immediate) // The sender can request the slot again and wait in the queue.
        return refuse(request, notRun(failure_kind::overloaded, std::move(message), wait));
    m_overloadPeriods.recordRefusal(now);
    refuse(request,
        notRun(
            failure_kind::overloaded, std::move(message), std::max(wait, m_overloadPeriods.retryDelay(now))));
}

/// Refuses a request at once, with a time to retry after, if it cannot be served in time.
bool target_group::refuseIfUnservable(const slot_request& request, steady_time now)
{
    const bool anyUsable = std::any_of(
        m_targets.begin(), m_targets.end(), [&](const auto& entry) { return usable(entry.second, now); });
    if (!anyUsable) {
        refuse(request,
            notRun(failure_kind::unavailable, "no target of this service can be used now",
                unavailableRetryAfter));
        return true;
    }
    if (request.workClass == work_class::bulk)
        return false;
    const auto wait = expectedWait(request, now);
    if (m_live.sizeOf(request.customer) >= request.queueLimit) {
        refuse(request,
            notRun(failure_kind::overloaded, "too many requests of this customer are waiting",
                std::max(wait, minRetryAfter)));
        return true;
    }
    if (!request.immediate && now + wait * m_options.waitMargin > request.deadline) {
        refuseForLoad(request, "the expected wait in the queue exceeds the request's timeout", now);
        return true;
    }
    return false;
}

void target_group::ask(slot_request request, steady_time now)
{
    m_lastRequestTime = now;
    activateNeededTargets(now);
    if (refuseIfUnservable(request, now))
        return;
    if (std::holds_alternative<unlimited_bulk>(m_options.policy)) {
        if (auto* target = chooseTarget(request, false, now))
            grantSlot(std::move(request), *target, now, now);
        return;
    }
    if (request.workClass == work_class::live)
        m_arrivals.record(now);
    auto& queue = request.workClass == work_class::live ? m_live : m_bulk;
    const bool immediate = request.immediate;
    if (immediate)
        request.deadline = now; // Expires in refuseExpired() below unless it is granted here.
    queue.push(std::move(request), now);
    assignSlots(now);
    if (immediate)
        refuseExpired(now);
}

void target_group::grantSlot(slot_request request, target_state& target, steady_time since, steady_time now)
{
    const auto waited = std::chrono::duration_cast<milliseconds>(now - since);
    (request.workClass == work_class::live ? target.live : target.bulk) += 1;
    if (request.workClass == work_class::live && !target.liveReleaseTimes.empty())
        target.liveReleaseTimes.pop_front();
    m_prefixes.record(request.prefixes, target.description.name, now);
    const auto id = m_nextGrant++;
    m_decisions.emplace_back(slot_grant {
        request.holder, request.id, id, target.description.name, target.description.address, waited });
    if (request.workClass == work_class::live) {
        if (const auto* adaptive = std::get_if<adaptive_bulk>(&m_options.policy))
            m_liveDelayed = m_liveDelayed || waited > adaptive->maxLiveWait;
    }
    const auto expiresAt = std::max(request.deadline, now + request.hold) + grantGrace;
    m_grants.emplace(id, grant_record { std::move(request), target.description.name, now, expiresAt, false });
}

bulk_policy_input target_group::policyInput(steady_time now) const
{
    bulk_policy_input policyInput;
    for (const auto& [name, target] : m_targets) {
        if (!usable(target, now))
            continue;
        policyInput.slots += slotsOf(target, now);
        policyInput.live += target.live + slotsUsedByOthers(target, now);
        ++policyInput.targets;
    }
    policyInput.liveWaiting = static_cast<unsigned>(m_live.size());
    policyInput.arrivals = m_arrivals.p95Arrivals(now);
    policyInput.window = m_window;
    return policyInput;
}

bool target_group::assignLiveSlot(steady_time now)
{
    const auto* next = m_live.front();
    if (!next)
        return false;
    auto* target = chooseTarget(*next, true, now);
    if (!target)
        return false;
    auto [request, since] = m_live.pop();
    grantSlot(std::move(request), *target, since, now);
    return true;
}

bool target_group::assignBulkSlot(steady_time now)
{
    const auto* next = m_bulk.front();
    if (!next || !m_live.empty())
        return false;
    unsigned running = 0;
    for (const auto& [name, target] : m_targets)
        running += target.bulk;
    const auto current = policyInput(now);
    const auto allowed = bulkAllowance(m_options.policy, current);
    if (running >= allowed) {
        // The window may grow only if work was held back while slots were free.
        m_bulkWindowFull = m_bulkWindowFull || current.live + running < current.slots;
        return false;
    }
    auto* target = chooseTarget(*next, !std::holds_alternative<unlimited_bulk>(m_options.policy), now);
    if (!target)
        return false;
    auto [request, since] = m_bulk.pop();
    grantSlot(std::move(request), *target, since, now);
    return true;
}

/// Revokes as many bulk grants as live requests are waiting. If a revoked item loses its progress, the grants
/// given last are revoked first; if it can be resumed, overdue items are first and then those due last.
void target_group::revokeForLive(steady_time now)
{
    if (!revokesBulkGrants(m_options.policy) || m_live.empty())
        return;
    std::vector<std::uint64_t> candidates;
    for (const auto& [id, record] : m_grants) {
        const bool bulk = record.request.workClass == work_class::bulk && !record.revoked;
        if (bulk && m_targets.contains(record.target))
            candidates.push_back(id);
    }
    std::reverse(candidates.begin(), candidates.end());
    if (std::holds_alternative<spare_bulk>(m_options.policy)) {
        const auto revokedFirst = [&](std::uint64_t left, std::uint64_t right) {
            const auto& one = m_grants.at(left).request.due;
            const auto& other = m_grants.at(right).request.due;
            const bool overdue = one <= now;
            return overdue != (other <= now) ? overdue : one > other;
        };
        std::stable_sort(candidates.begin(), candidates.end(), revokedFirst);
    }
    for (std::size_t i = 0; i < std::min(candidates.size(), m_live.size()); ++i)
        revoke(candidates[i]);
}

void target_group::revoke(std::uint64_t grantId)
{
    auto& record = m_grants.at(grantId);
    record.revoked = true;
    ++m_targets.find(record.target)->second.revoked;
    m_decisions.emplace_back(grant_revocation { record.request.holder, grantId });
}

void target_group::assignSlots(steady_time now)
{
    activateNeededTargets(now);
    while (assignLiveSlot(now)) { }
    revokeForLive(now);
    while (assignLiveSlot(now)) { }
    while (assignBulkSlot(now)) { }
}

void target_group::withdraw(std::uint64_t holder, std::uint64_t slotRequestId, steady_time now)
{
    if (!m_live.remove(holder, slotRequestId))
        m_bulk.remove(holder, slotRequestId);
    assignSlots(now);
}

void target_group::keepSlotForLive(target_state& target, steady_time now) const
{
    while (!target.liveReleaseTimes.empty() && now - target.liveReleaseTimes.front() >= m_options.keptForLive)
        target.liveReleaseTimes.pop_front();
    target.liveReleaseTimes.push_back(now);
}

void target_group::removeGrant(std::uint64_t grantId, steady_time now)
{
    const auto found = m_grants.find(grantId);
    if (found == m_grants.end())
        return;
    const auto target = m_targets.find(found->second.target);
    if (target != m_targets.end()) {
        target->second.load.recordOwnGrants(target->second.live + target->second.bulk, now);
        const bool live = found->second.request.workClass == work_class::live;
        if (live && m_options.keptForLive.count() > 0)
            keepSlotForLive(target->second, now);
        auto& count = live ? target->second.live : target->second.bulk;
        count -= count > 0 ? 1 : 0;
        if (found->second.revoked && target->second.revoked > 0)
            --target->second.revoked;
        target->second.load.recordFinished(std::move(found->second.request.requestId), now);
    }
    m_grants.erase(found);
}

void target_group::release(const grant_release& release, steady_time now)
{
    const auto found = m_grants.find(release.grantId);
    if (found == m_grants.end())
        return; // It has expired, or was given by a previous dispatcher of this group.
    const auto& grant = found->second;
    const bool live = grant.request.workClass == work_class::live;
    if (const auto target = m_targets.find(grant.target); target != m_targets.end()) {
        auto& state = target->second;
        if (release.outcome == grant_outcome::ok)
            state.health.succeeded(now);
        if (release.outcome == grant_outcome::refused && m_options.refusalBackoff.count() > 0) {
            state.refusedUntil = now + m_options.refusalBackoff;
            state.load.pollNow(now);
        } else if (release.outcome == grant_outcome::refused) {
            state.load.markUnavailable(now);
        }
        if (release.outcome == grant_outcome::failed) {
            state.health.failed(now);
            state.load.pollNow(now);
        }
    }
    if (live && release.outcome == grant_outcome::ok)
        m_serviceTimeMs = movingAverage(m_serviceTimeMs, elapsedMs(grant.since, now));
    if (const auto* adaptive = std::get_if<adaptive_bulk>(&m_options.policy))
        m_liveDelayed = m_liveDelayed || (live && release.firstToken > adaptive->firstTokenObjective);
    removeGrant(release.grantId, now);
    assignSlots(now);
}

const slot_request* target_group::requestOfGrant(std::uint64_t grantId) const
{
    const auto found = m_grants.find(grantId);
    return found == m_grants.end() ? nullptr : &found->second.request;
}

void target_group::report(std::string_view target, const load_report& report, steady_time now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    auto& state = found->second;
    std::set<std::string_view> granted;
    for (const auto& [id, grant] : m_grants) {
        if (grant.target == target)
            granted.insert(grant.request.requestId);
    }
    state.load.report(report, granted, state.live + state.bulk, now);
    assignSlots(now);
}

void target_group::reportUnreachable(std::string_view target, steady_time now)
{
    if (const auto found = m_targets.find(target); found != m_targets.end())
        found->second.health.failed(now);
}

void target_group::dropHolder(std::uint64_t holder, steady_time now)
{
    m_live.removeHolder(holder);
    m_bulk.removeHolder(holder);
    // Requests of a lost holder may still run until the target notices: their slots are freed after a grace
    // period.
    for (auto& [id, grant] : m_grants) {
        if (grant.request.holder == holder)
            grant.expiresAt = std::min(grant.expiresAt, now + grantGrace);
    }
    for (auto& [name, target] : m_targets)
        target.load.pollSoon(now);
    assignSlots(now);
}

void target_group::adaptBulkWindow(steady_time now)
{
    if (now < m_nextAdaptation)
        return;
    m_nextAdaptation = now + adaptationInterval;
    m_window = adaptWindow(m_window, m_liveDelayed, m_bulkWindowFull);
    m_liveDelayed = false;
    m_bulkWindowFull = false;
}

void target_group::refuseExpired(steady_time now)
{
    for (const auto& request : m_live.takeExpired(now))
        refuseForLoad(request, "no target had room before the timeout", now);
    for (const auto& request : m_bulk.takeExpired(now))
        refuse(request,
            notRun(failure_kind::overloaded, "no slot was available for bulk work in time", minRetryAfter));
}

void target_group::tick(steady_time now)
{
    refuseExpired(now);
    std::vector<std::uint64_t> expired;
    for (const auto& [id, grant] : m_grants) {
        if (grant.expiresAt <= now)
            expired.push_back(id);
    }
    for (auto id : expired)
        removeGrant(id, now);
    adaptBulkWindow(now);
    deactivateIdleTargets(now);
    assignSlots(now);
}

bool target_group::active(steady_time now) const
{
    return !m_live.empty() || !m_bulk.empty() || !m_grants.empty()
        || now - m_lastRequestTime <= activityTimeout;
}

void target_group::revokeBulk()
{
    for (const auto& [id, record] : m_grants) {
        const bool bulk = record.request.workClass == work_class::bulk && !record.revoked;
        if (bulk && m_targets.contains(record.target))
            revoke(id);
    }
}

std::vector<decision> target_group::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

group_summary target_group::summary(steady_time now) const
{
    group_summary summary;
    summary.targets = static_cast<unsigned>(m_targets.size() + m_standby.size());
    for (const auto& [name, target] : m_targets) {
        summary.live += target.live;
        summary.bulk += target.bulk;
        if (!usable(target, now))
            continue;
        ++summary.usableTargets;
        summary.slots += slotsOf(target, now);
    }
    summary.liveWaiting = m_live.size();
    summary.bulkWaiting = m_bulk.size();
    summary.bulkWindow = m_window;
    return summary;
}

} // namespace yuccachute
