#include "dispatch/dispatch.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace yuccachute {

namespace {

constexpr milliseconds grantGrace { 2000 };
/// A group that nobody asks for places does not ask its targets either.
constexpr milliseconds activeFor { 2000 };
constexpr milliseconds adaptationInterval { 100 };
/// How often the targets in use are looked through for some that are not needed any more.
constexpr milliseconds restInterval { 1000 };
constexpr milliseconds leastRetryAfter { 1000 };
constexpr milliseconds unavailableRetryAfter { 2000 };
constexpr double avoidPenalty = 10;
constexpr double averageKeep = 0.9;
constexpr double memoryFull = 0.98;

double elapsedMs(steady_time from, steady_time to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

double movingAverage(double average, double value)
{
    return average == 0 ? value : averageKeep * average + (1 - averageKeep) * value;
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
    // The waiting asks keep their places only within a queue of their own order.
    fair_queue live(options.order);
    fair_queue bulk(options.bulkOrder.value_or(options.order));
    for (; !m_live.empty();) {
        auto [ask, since] = m_live.pop();
        live.push(std::move(ask), since);
    }
    for (; !m_bulk.empty();) {
        auto [ask, since] = m_bulk.pop();
        bulk.push(std::move(ask), since);
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
    for (auto& name : m_resting.names()) {
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
        changeTarget(description, now);
    useMoreTargets(now);
    useFirstTargets(now);
    pump(now);
}

void target_group::removeTarget(std::string_view name)
{
    if (m_resting.remove(name))
        return;
    if (const auto known = m_targets.find(name); known != m_targets.end()) {
        m_prefixes.forgetTarget(name);
        m_targets.erase(known);
    }
}

void target_group::changeTarget(const target_description& description, steady_time now)
{
    const auto known = m_targets.find(description.name);
    if (known == m_targets.end()) {
        m_resting.remove(description.name);
        if (!description.drain || m_targets.size() < m_options.leastTargets)
            m_resting.put(description);
        return;
    }
    // The same name at another address is another machine: its health and counts start anew.
    if (known->second.description.address != description.address)
        return use(description, now);
    known->second.description = description;
}

/// Those that come before others in use take their places, so that a process that learns of the targets one
/// after the other uses the same ones as one that learns of them at once.
void target_group::useFirstTargets(steady_time now)
{
    std::uint64_t last = 0;
    for (const auto& [name, target] : m_targets)
        last = std::max(last, restOrder(name));
    while (!m_resting.empty() && m_resting.firstOrder() < last)
        use(*m_resting.takeFirst(), now);
}

void target_group::use(target_description description, steady_time now)
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
    state.wantedSlots = m_demand.wantedSlots();
    for (const auto& [name, target] : m_targets) {
        state.allSlots += target.description.slots;
        state.usableSlots += usable(target, now) ? slotsOf(target, now) : 0;
    }
    return state;
}

void target_group::useMoreTargets(steady_time now)
{
    m_demand.note(m_grants.size() + m_live.size() + m_bulk.size(), now);
    if (m_resting.empty())
        return;
    auto state = workingSet(now);
    while (takesMoreTargets(state, m_options.leastTargets)) {
        auto next = m_resting.takeFirst();
        if (!next)
            return;
        ++state.targets;
        state.allSlots += next->slots;
        state.usableSlots += next->slots;
        use(std::move(*next), now);
    }
}

/// Those that were taken into use last go first.
void target_group::restTargets(steady_time now)
{
    if (now < m_nextRest || m_targets.size() <= m_options.leastTargets)
        return;
    m_nextRest = now + restInterval;
    auto state = workingSet(now);
    std::vector<std::pair<std::uint64_t, std::string>> idle;
    for (const auto& [name, target] : m_targets) {
        const bool works = target.live + target.bulk + foreignWork(target, now) > 0;
        if (!works && !target.description.drain)
            idle.emplace_back(restOrder(name), name);
    }
    std::sort(idle.rbegin(), idle.rend());
    for (const auto& [order, name] : idle) {
        const auto& target = m_targets.find(name)->second;
        const std::size_t slots = usable(target, now) ? slotsOf(target, now) : 0;
        if (!canRest(state, slots, m_options.leastTargets))
            return;
        --state.targets;
        state.usableSlots -= slots;
        auto description = target.description;
        removeTarget(name);
        m_resting.put(std::move(description));
    }
}

bool target_group::usable(const target_state& target, steady_time now) const
{
    if (target.description.drain || target.health.at(now) == target_health::state::ejected)
        return false;
    if (now < target.refusedUntil)
        return false;
    // A dark target swallows what it is sent: a stream that may not run twice is lost with it. Where none
    // answers it is more likely this process that cannot hear them.
    if (target.load.silent() && !allSilent())
        return false;
    return !target.load.leaving(now);
}

unsigned target_group::slotsOf(const target_state& target, steady_time now) const
{
    if (target.health.at(now) == target_health::state::probing)
        return 1;
    return std::min(target.load.slots(now).value_or(target.description.slots), target.description.slots);
}

unsigned target_group::foreignWork(const target_state& target, steady_time now) const
{
    return target.load.foreignWork(target.description.slots, now);
}

bool target_group::allSilent() const
{
    return std::all_of(
        m_targets.begin(), m_targets.end(), [](const auto& entry) { return entry.second.load.silent(); });
}

std::vector<report_due> target_group::reportsDue(steady_time now)
{
    std::vector<report_due> due;
    if (!m_options.pollsLoadReports || now - m_lastAsk > activeFor)
        return due;
    for (auto& [name, target] : m_targets) {
        if (target.load.takeDue(now))
            due.push_back({ name, target.description.address });
    }
    return due;
}

void target_group::recordMissedReport(std::string_view target, steady_time now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    found->second.load.missed(now);
    pump(now);
}

unsigned target_group::freeSlots(const target_state& target, steady_time now) const
{
    // A revoked item is on its way out: a live request that takes its place reaches the target's queue
    // meanwhile and is admitted with the step at which the item leaves.
    const unsigned used = target.live + target.bulk - target.revoked + foreignWork(target, now);
    const unsigned slots = slotsOf(target, now);
    return used < slots ? slots - used : 0;
}

unsigned target_group::spareSlots(const target_state& target, steady_time now) const
{
    const auto kept = std::count_if(target.liveLeft.begin(), target.liveLeft.end(),
        [&](steady_time left) { return now - left < m_options.keptForLive; });
    const auto slots = freeSlots(target, now);
    return slots - std::min(slots, static_cast<unsigned>(kept));
}

/// What it costs to send an ask to a target: its load in shares of its slots, less what cached prefixes save.
double target_group::costOf(const slot_request& ask, const target_state& target, steady_time now) const
{
    const auto& name = target.description.name;
    const double used = target.live + target.bulk + foreignWork(target, now);
    const double blocks = std::max<double>(1, static_cast<double>(ask.prefixes.size()));
    const double hit = static_cast<double>(m_prefixes.matched(ask.prefixes, name, now)) / blocks;
    const double full = target.load.memoryUsed() > memoryFull ? 1 : 0;
    const double avoided = name == ask.avoid ? avoidPenalty : 0;
    return used / slotsOf(target, now) - m_options.affinity * hit + full + avoided;
}

target_group::target_state* target_group::chooseTarget(
    const slot_request& ask, bool needFreeSlot, steady_time now)
{
    target_state* best = nullptr;
    double bestCost = 0;
    for (auto& [name, target] : m_targets) {
        const bool live = ask.workClass == work_class::live;
        if (!usable(target, now))
            continue;
        if (needFreeSlot && (live ? freeSlots(target, now) : spareSlots(target, now)) == 0)
            continue;
        const double cost
            = m_options.randomChoice ? static_cast<double>(m_random() % 1000) : costOf(ask, target, now);
        if (!best || cost < bestCost) {
            best = &target;
            bestCost = cost;
        }
    }
    return best;
}

milliseconds target_group::expectedWait(const slot_request& ask, steady_time now) const
{
    unsigned slots = 0;
    for (const auto& [name, target] : m_targets) {
        if (!usable(target, now))
            continue;
        // A target that has not reported yet does so within milliseconds: whoever asks waits for that.
        const auto foreign = target.load.known() ? foreignWork(target, now) : 0;
        slots += slotsOf(target, now) - std::min(slotsOf(target, now), foreign);
    }
    if (slots == 0)
        return unavailableRetryAfter;
    const double ahead = static_cast<double>(
        m_options.order == fair_queue::order::fair ? m_live.sizeOf(ask.customer) : m_live.size());
    const double share
        = m_options.order == fair_queue::order::fair ? m_live.shareOf(ask.customer, ask.weight) : 1;
    return milliseconds { std::llround(ahead * m_serviceTimeMs / slots / share) };
}

void target_group::refuse(const slot_request& ask, failure reason)
{
    m_decisions.emplace_back(slot_refusal { ask.holder, ask.id, std::move(reason) });
}

void target_group::refuseForLoad(const slot_request& ask, std::string why, steady_time now)
{
    const auto wait = expectedWait(ask, now);
    if (ask.immediate) // It will be asked for again in a queue.
        return refuse(ask, notRun(failure_kind::overloaded, std::move(why), wait));
    m_spells.refused(now);
    refuse(ask, notRun(failure_kind::overloaded, std::move(why), std::max(wait, m_spells.returnAfter(now))));
}

/// A request that cannot be served in time is told so at once, and when to come back.
bool target_group::refuseHopeless(const slot_request& ask, steady_time now)
{
    const bool anyUsable = std::any_of(
        m_targets.begin(), m_targets.end(), [&](const auto& entry) { return usable(entry.second, now); });
    if (!anyUsable) {
        refuse(ask,
            notRun(failure_kind::unavailable, "no target of this service can be used now",
                unavailableRetryAfter));
        return true;
    }
    if (ask.workClass == work_class::bulk)
        return false;
    const auto wait = expectedWait(ask, now);
    if (m_live.sizeOf(ask.customer) >= ask.queueLimit) {
        refuse(ask,
            notRun(failure_kind::overloaded, "too many requests of this customer are waiting",
                std::max(wait, leastRetryAfter)));
        return true;
    }
    if (!ask.immediate && now + wait * m_options.waitMargin > ask.deadline) {
        refuseForLoad(ask, "the queue is longer than the request's timeout", now);
        return true;
    }
    return false;
}

void target_group::ask(slot_request ask, steady_time now)
{
    m_lastAsk = now;
    useMoreTargets(now);
    if (refuseHopeless(ask, now))
        return;
    if (std::holds_alternative<unlimited_bulk>(m_options.policy)) {
        if (auto* target = chooseTarget(ask, false, now))
            give(std::move(ask), *target, now, now);
        return;
    }
    if (ask.workClass == work_class::live)
        m_arrivals.record(now);
    auto& queue = ask.workClass == work_class::live ? m_live : m_bulk;
    const bool immediate = ask.immediate;
    if (immediate)
        ask.deadline = now; // What is not granted by the end of this step has expired.
    queue.push(std::move(ask), now);
    pump(now);
    if (immediate)
        refuseExpired(now);
}

void target_group::give(slot_request ask, target_state& target, steady_time since, steady_time now)
{
    const auto waited = std::chrono::duration_cast<milliseconds>(now - since);
    (ask.workClass == work_class::live ? target.live : target.bulk) += 1;
    if (ask.workClass == work_class::live && !target.liveLeft.empty())
        target.liveLeft.pop_front();
    m_prefixes.record(ask.prefixes, target.description.name, now);
    const auto id = m_nextGrant++;
    m_decisions.emplace_back(
        slot_grant { ask.holder, ask.id, id, target.description.name, target.description.address, waited });
    if (ask.workClass == work_class::live) {
        if (const auto* adaptive = std::get_if<adaptive_bulk>(&m_options.policy))
            m_liveHarmed = m_liveHarmed || waited > adaptive->longestLiveWait;
    }
    const auto lapses = std::max(ask.deadline, now + ask.hold) + grantGrace;
    m_grants.emplace(id, grant_record { std::move(ask), target.description.name, now, lapses, false });
}

bulk_situation target_group::situation(steady_time now) const
{
    bulk_situation situation;
    for (const auto& [name, target] : m_targets) {
        if (!usable(target, now))
            continue;
        situation.slots += slotsOf(target, now);
        situation.live += target.live + foreignWork(target, now);
        ++situation.targets;
    }
    situation.liveWaiting = static_cast<unsigned>(m_live.size());
    situation.arrivals = m_arrivals.busySpan(now);
    situation.window = m_window;
    return situation;
}

bool target_group::pumpLive(steady_time now)
{
    const auto* next = m_live.front();
    if (!next)
        return false;
    auto* target = chooseTarget(*next, true, now);
    if (!target)
        return false;
    auto [ask, since] = m_live.pop();
    give(std::move(ask), *target, since, now);
    return true;
}

bool target_group::pumpBulk(steady_time now)
{
    const auto* next = m_bulk.front();
    if (!next || !m_live.empty())
        return false;
    unsigned running = 0;
    for (const auto& [name, target] : m_targets)
        running += target.bulk;
    const auto current = situation(now);
    const auto allowed = bulkAllowance(m_options.policy, current);
    if (running >= allowed) {
        // Only a window that held work back may grow: an idle one proves nothing.
        m_windowFull = m_windowFull || current.live + running < current.slots;
        return false;
    }
    auto* target = chooseTarget(*next, !std::holds_alternative<unlimited_bulk>(m_options.policy), now);
    if (!target)
        return false;
    auto [ask, since] = m_bulk.pop();
    give(std::move(ask), *target, since, now);
    return true;
}

/// Makes room for waiting live requests: as many bulk grants are revoked as live requests wait. Where a
/// revoked item loses its progress, those that began last go first; where it only pauses, those that can
/// pause longest.
void target_group::revokeForLive(steady_time now)
{
    if (!revokes(m_options.policy) || m_live.empty())
        return;
    std::vector<std::uint64_t> candidates;
    for (const auto& [id, record] : m_grants) {
        const bool bulk = record.ask.workClass == work_class::bulk && !record.revoked;
        if (bulk && m_targets.contains(record.target))
            candidates.push_back(id);
    }
    std::reverse(candidates.begin(), candidates.end());
    if (std::holds_alternative<spare_bulk>(m_options.policy)) {
        const auto pausesLonger = [&](std::uint64_t left, std::uint64_t right) {
            const auto& one = m_grants.at(left).ask.due;
            const auto& other = m_grants.at(right).ask.due;
            const bool overdue = one <= now;
            return overdue != (other <= now) ? overdue : one > other;
        };
        std::stable_sort(candidates.begin(), candidates.end(), pausesLonger);
    }
    for (std::size_t i = 0; i < std::min(candidates.size(), m_live.size()); ++i)
        revoke(candidates[i]);
}

void target_group::revoke(std::uint64_t grantId)
{
    auto& record = m_grants.at(grantId);
    record.revoked = true;
    ++m_targets.find(record.target)->second.revoked;
    m_decisions.emplace_back(grant_revocation { record.ask.holder, grantId });
}

void target_group::pump(steady_time now)
{
    useMoreTargets(now);
    while (pumpLive(now)) { }
    revokeForLive(now);
    while (pumpLive(now)) { }
    while (pumpBulk(now)) { }
}

void target_group::withdraw(std::uint64_t holder, std::uint64_t slotRequestId, steady_time now)
{
    if (!m_live.remove(holder, slotRequestId))
        m_bulk.remove(holder, slotRequestId);
    pump(now);
}

void target_group::keepForLive(target_state& target, steady_time now) const
{
    while (!target.liveLeft.empty() && now - target.liveLeft.front() >= m_options.keptForLive)
        target.liveLeft.pop_front();
    target.liveLeft.push_back(now);
}

void target_group::forgetGrant(std::uint64_t grantId, steady_time now)
{
    const auto found = m_grants.find(grantId);
    if (found == m_grants.end())
        return;
    const auto target = m_targets.find(found->second.target);
    if (target != m_targets.end()) {
        target->second.load.noteOwn(target->second.live + target->second.bulk, now);
        const bool live = found->second.ask.workClass == work_class::live;
        if (live && m_options.keptForLive.count() > 0)
            keepForLive(target->second, now);
        auto& count = live ? target->second.live : target->second.bulk;
        count -= count > 0 ? 1 : 0;
        if (found->second.revoked && target->second.revoked > 0)
            --target->second.revoked;
        target->second.load.ended(std::move(found->second.ask.requestId), now);
    }
    m_grants.erase(found);
}

void target_group::release(const grant_release& release, steady_time now)
{
    const auto found = m_grants.find(release.grantId);
    if (found == m_grants.end())
        return; // It has lapsed, or was given by an earlier dispatcher of this group.
    const auto& grant = found->second;
    const bool live = grant.ask.workClass == work_class::live;
    if (const auto target = m_targets.find(grant.target); target != m_targets.end()) {
        auto& state = target->second;
        if (release.outcome == grant_outcome::ok)
            state.health.succeeded(now);
        if (release.outcome == grant_outcome::refused && m_options.refusalBackoff.count() > 0) {
            state.refusedUntil = now + m_options.refusalBackoff;
            state.load.askNow(now);
        } else if (release.outcome == grant_outcome::refused) {
            state.load.refusedByItself(now);
        }
        if (release.outcome == grant_outcome::failed) {
            state.health.failed(now);
            state.load.askNow(now);
        }
    }
    if (live && release.outcome == grant_outcome::ok)
        m_serviceTimeMs = movingAverage(m_serviceTimeMs, elapsedMs(grant.since, now));
    if (const auto* adaptive = std::get_if<adaptive_bulk>(&m_options.policy))
        m_liveHarmed = m_liveHarmed || (live && release.firstToken > adaptive->firstTokenObjective);
    forgetGrant(release.grantId, now);
    pump(now);
}

const slot_request* target_group::requestOfGrant(std::uint64_t grantId) const
{
    const auto found = m_grants.find(grantId);
    return found == m_grants.end() ? nullptr : &found->second.ask;
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
            granted.insert(grant.ask.requestId);
    }
    state.load.report(report, granted, state.live + state.bulk, now);
    pump(now);
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
    // Bulk items of a lost holder may still run until the target notices; their places come back soon.
    for (auto& [id, grant] : m_grants) {
        if (grant.ask.holder == holder)
            grant.lapses = std::min(grant.lapses, now + grantGrace);
    }
    for (auto& [name, target] : m_targets)
        target.load.askSoon(now);
    pump(now);
}

void target_group::adapt(steady_time now)
{
    if (now < m_nextAdaptation)
        return;
    m_nextAdaptation = now + adaptationInterval;
    m_window = adaptWindow(m_window, m_liveHarmed, m_windowFull);
    m_liveHarmed = false;
    m_windowFull = false;
}

/// An ask whose deadline has come waits no longer.
void target_group::refuseExpired(steady_time now)
{
    for (const auto& ask : m_live.takeExpired(now))
        refuseForLoad(ask, "no target had room before the timeout", now);
    for (const auto& ask : m_bulk.takeExpired(now))
        refuse(ask, notRun(failure_kind::overloaded, "no spare capacity for bulk work", leastRetryAfter));
}

void target_group::tick(steady_time now)
{
    refuseExpired(now);
    std::vector<std::uint64_t> lapsed;
    for (const auto& [id, grant] : m_grants) {
        if (grant.lapses <= now)
            lapsed.push_back(id);
    }
    for (auto id : lapsed)
        forgetGrant(id, now);
    adapt(now);
    restTargets(now);
    pump(now);
}

bool target_group::active(steady_time now) const
{
    return !m_live.empty() || !m_bulk.empty() || !m_grants.empty() || now - m_lastAsk <= activeFor;
}

void target_group::revokeBulk()
{
    for (const auto& [id, record] : m_grants) {
        const bool bulk = record.ask.workClass == work_class::bulk && !record.revoked;
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
    summary.targets = static_cast<unsigned>(m_targets.size() + m_resting.size());
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
