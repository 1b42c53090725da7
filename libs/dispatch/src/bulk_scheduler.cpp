#include "bulk_scheduler.h"

#include <algorithm>

namespace yuccachute {

namespace {

constexpr milliseconds adaptationInterval { 100 };
/// After all waiting items were held back for a peak, they are considered again after this time: the decision
/// goes through all of them, and a group handles thousands of messages per second.
constexpr milliseconds heldBackInterval { 20 };
/// Events that an item which is longer than expected is assumed to have left.
constexpr int minRemainingEvents = 5;

} // namespace

void bulk_scheduler::setOrder(fair_queue::order order)
{
    m_queue = reordered(std::move(m_queue), order);
}

bulk_policy_input bulk_scheduler::policyInput(std::size_t liveWaiting, steady_time now) const
{
    bulk_policy_input policyInput;
    for (const auto& [name, target] : m_table.targets()) {
        if (!m_table.usable(target, now))
            continue;
        policyInput.slots += m_table.slotsOf(target, now);
        policyInput.live += target.live + m_table.slotsUsedByOthers(target, now);
        ++policyInput.targets;
    }
    policyInput.liveWaiting = static_cast<unsigned>(liveWaiting);
    policyInput.arrivals = m_arrivals.p95Arrivals(now);
    policyInput.window = m_window;
    return policyInput;
}

bool bulk_scheduler::mayStart(std::size_t liveWaiting, steady_time now)
{
    if (m_queue.empty() || liveWaiting > 0)
        return false;
    unsigned running = 0;
    for (const auto& [name, target] : m_table.targets())
        running += target.bulk;
    const auto current = policyInput(liveWaiting, now);
    if (running < bulkAllowance(m_options.policy, current))
        return true;
    // The window may grow only if work was held back while slots were free.
    m_windowFull = m_windowFull || current.live + running < current.slots;
    return false;
}

bool bulk_scheduler::looksAhead() const
{
    return m_options.bulkLookahead && std::holds_alternative<spare_bulk>(m_options.policy)
        && m_options.bulkOrder.value_or(m_options.order) == fair_queue::order::due;
}

std::chrono::microseconds bulk_scheduler::expectedEventInterval(
    const target_state& target, steady_time now) const
{
    const auto learned = m_table.eventInterval(target, now);
    return learned.count() > 0 ? learned : m_options.assumedEventInterval;
}

std::optional<steady_time::duration> bulk_scheduler::remainingTime(
    const grant_record& grant, steady_time now) const
{
    const auto target = m_table.targets().find(grant.target);
    if (target == m_table.targets().end())
        return std::nullopt;
    const auto interval = expectedEventInterval(target->second, now);
    const auto whole = expectedTime(grant.request, interval);
    if (!whole)
        return std::nullopt;
    return std::max<steady_time::duration>(*whole - (now - grant.since), interval * minRemainingEvents);
}

steady_time::duration bulk_scheduler::expectedItemWait(
    std::chrono::microseconds eventInterval, steady_time now) const
{
    const auto peak = m_demand.nextPeak(now);
    if (!peak)
        return steady_time::duration { 0 };
    steady_time::duration work { 0 };
    m_queue.forEach([&](const slot_request& item, steady_time) {
        work += expectedTime(item, eventInterval).value_or(steady_time::duration { 0 });
    });
    const double slots = std::max(1.0, ownSlots(now) - m_demand.meanSlots());
    return std::max(peak->end - now, steady_time::duration { 0 })
        + std::chrono::duration_cast<steady_time::duration>(work / slots);
}

int bulk_scheduler::ownSlots(steady_time now) const
{
    int slots = 0;
    for (const auto& [name, target] : m_table.targets()) {
        if (m_table.usable(target, now))
            slots += static_cast<int>(m_table.slotsOf(target, now))
                - static_cast<int>(m_table.slotsUsedByOthers(target, now));
    }
    return slots;
}

int bulk_scheduler::slotsLeftBy(const expected_peak& peak, steady_time now) const
{
    int slots = ownSlots(now) - static_cast<int>(peak.slots);
    const auto begins = std::max(peak.start, now);
    for (const auto& [id, grant] : m_table.grants()) {
        const auto target = m_table.targets().find(grant.target);
        if (grant.live() || grant.revoked || target == m_table.targets().end()
            || !m_table.usable(target->second, now))
            continue; // ownSlots() has no slots of unusable targets.
        const auto remaining = remainingTime(grant, now);
        if (!remaining || now + *remaining > begins)
            --slots;
    }
    return slots;
}

std::vector<const slot_request*> bulk_scheduler::heads() const
{
    const auto* first = m_queue.front();
    if (!first)
        return {};
    std::map<std::optional<std::string_view>, const slot_request*> byVersion;
    m_queue.forEach([&](const slot_request& item, steady_time) {
        auto& head = byVersion[item.version];
        if (!head || item.due < head->due)
            head = &item;
    });
    std::vector<const slot_request*> heads { first };
    for (const auto& [version, head] : byVersion) {
        if (version != first->version)
            heads.push_back(head);
    }
    return heads;
}

/// Items at risk of being late come first and those that are late anyway last, each by due time.
const slot_request* bulk_scheduler::nextItem(
    const slot_request& head, const target_state& target, steady_time now)
{
    if (!looksAhead())
        return &head;
    const auto interval = expectedEventInterval(target, now);
    const auto peak = m_demand.nextPeak(now);
    const auto wait = expectedItemWait(interval, now);
    std::optional<int> slotsLeft;
    const slot_request* best = nullptr;
    const slot_request* heldBackItem = nullptr;
    auto bestUrgency = item_urgency::late;
    m_queue.forEach([&](const slot_request& item, steady_time since) {
        if (!acceptsVersion(item, target.description))
            return;
        const auto remaining = expectedTime(item, interval);
        auto urgency = remaining ? urgencyOf(item.due, *remaining, wait, now) : item_urgency::on_time;
        urgency = item.due <= since ? item_urgency::late : urgency;
        if (best && std::pair(urgency, item.due) >= std::pair(bestUrgency, best->due))
            return;
        if (remaining && peak) {
            if (!slotsLeft)
                slotsLeft = slotsLeftBy(*peak, now);
            if (!mayStartBeforePeak(*peak, *slotsLeft, urgency, *remaining, now)) {
                heldBackItem = &item;
                return;
            }
        }
        best = &item;
        bestUrgency = urgency;
    });
    if (!best && heldBackItem) {
        m_heldBackUntil = now + heldBackInterval;
        const std::pair request(heldBackItem->holder, heldBackItem->id);
        m_startsHeldBack += request != m_lastHeldBack ? 1 : 0;
        m_lastHeldBack = request;
    }
    return best;
}

revocable_item bulk_scheduler::revocableItemOf(
    std::uint64_t grantId, steady_time::duration wait, steady_time now) const
{
    const auto& grant = *m_table.findGrant(grantId);
    revocable_item item;
    item.grantId = grantId;
    item.due = grant.request.due;
    const auto remaining = remainingTime(grant, now);
    if (!remaining)
        return item;
    const auto interval = expectedEventInterval(m_table.targets().find(grant.target)->second, now);
    const auto ran = now - grant.since;
    item.known = true;
    item.remaining = *remaining;
    item.worked = ran + interval * grant.request.producedEvents;
    const auto resumed
        = item.remaining + reprocessingTime(static_cast<double>(item.worked / interval), interval);
    item.urgency
        = now + item.remaining > item.due ? item_urgency::late : urgencyOf(item.due, resumed, wait, now);
    item.expectedLateness = now + wait + resumed - item.due;
    return item;
}

std::vector<steady_time> bulk_scheduler::expectedReleases(
    const slot_request& next, std::chrono::duration<double, std::milli> serviceTime, steady_time now) const
{
    std::vector<steady_time> releases;
    for (const auto& [id, grant] : m_table.grants()) {
        const auto target = m_table.targets().find(grant.target);
        if (grant.revoked || target == m_table.targets().end() || !m_table.usable(target->second, now)
            || !acceptsVersion(next, target->second.description))
            continue;
        if (grant.live() && serviceTime.count() > 0) {
            const auto expected = serviceTime / m_table.paceOf(target->second, now);
            releases.push_back(grant.since + std::chrono::duration_cast<steady_time::duration>(expected));
        } else if (!grant.live()) {
            const auto whole = expectedTime(grant.request, expectedEventInterval(target->second, now));
            if (whole)
                releases.push_back(grant.since + *whole);
        }
    }
    return releases;
}

std::size_t bulk_scheduler::revocableSlots(steady_time now) const
{
    if (!looksAhead())
        return 0;
    std::size_t slots = 0;
    for (const auto id : m_table.revocableGrants()) {
        const auto& grant = *m_table.findGrant(id);
        const auto& target = m_table.targets().find(grant.target)->second;
        slots += m_table.usable(target, now) && remainingTime(grant, now) ? 1 : 0;
    }
    return slots;
}

bool bulk_scheduler::knowsRemainingTimes(steady_time now) const
{
    const auto grants = m_table.revocableGrants();
    return looksAhead() && std::any_of(grants.begin(), grants.end(), [&](auto id) {
        return remainingTime(*m_table.findGrant(id), now).has_value();
    });
}

std::size_t bulk_scheduler::neededRevocations(const slot_request& next, std::vector<steady_time> latest,
    std::chrono::duration<double, std::milli> serviceTime, steady_time now) const
{
    return revocationsNeeded(std::move(latest), expectedReleases(next, serviceTime, now), now);
}

bool bulk_scheduler::slotsExpected(const live_queue& live, const slot_request& next,
    std::chrono::duration<double, std::milli> serviceTime, steady_time now) const
{
    return knowsRemainingTimes(now)
        && neededRevocations(next, live.latestGrantTimes(next), serviceTime, now) == 0;
}

/// No grant is revoked for a live request that is expected to get a slot in time anyway. Without figures for
/// any of the items, as many are revoked as live requests wait.
std::vector<grant_revocation> bulk_scheduler::grantsToRevoke(const live_queue& live, const slot_request& next,
    std::chrono::duration<double, std::milli> serviceTime, const target_filter& suitable,
    steady_time now) const
{
    if (!revokesBulkGrants(m_options.policy))
        return {};
    auto latest = live.latestGrantTimes(next);
    std::vector<grant_revocation> revocations;
    if (!knowsRemainingTimes(now)) {
        for (const auto id : revokedWithoutFigures(latest.size(), suitable, now))
            revocations.push_back({ m_table.findGrant(id)->request.holder, id });
        return revocations;
    }
    const auto needed = neededRevocations(next, std::move(latest), serviceTime, now);
    if (needed == 0)
        return {};
    const auto nominal = m_table.nominalEventInterval(now);
    const auto wait = expectedItemWait(nominal.count() > 0 ? nominal : m_options.assumedEventInterval, now);
    std::vector<revocable_item> items;
    for (const auto id : m_table.revocableGrants()) {
        const auto& target = m_table.targets().find(m_table.findGrant(id)->target)->second;
        if (m_table.usable(target, now) && suitable(target)) // Elsewhere a revocation makes no room.
            items.push_back(revocableItemOf(id, wait, now));
    }
    std::reverse(items.begin(), items.end());
    orderForRevocation(items, now);
    items.resize(std::min(items.size(), needed));
    for (const auto& item : items)
        revocations.push_back({ m_table.findGrant(item.grantId)->request.holder, item.grantId,
            reasonOf(item, now), std::chrono::duration_cast<milliseconds>(item.expectedLateness) });
    return revocations;
}

/// Selects as many bulk grants as live requests are waiting. If a revoked item loses its progress, the grants
/// given last are revoked first; if it can be resumed, overdue items are first and then those due last.
std::vector<std::uint64_t> bulk_scheduler::revokedWithoutFigures(
    std::size_t liveWaiting, const target_filter& suitable, steady_time now) const
{
    auto candidates = m_table.revocableGrants();
    std::erase_if(candidates,
        [&](auto id) { return !suitable(m_table.targets().find(m_table.findGrant(id)->target)->second); });
    std::reverse(candidates.begin(), candidates.end());
    if (std::holds_alternative<spare_bulk>(m_options.policy)) {
        const auto revokedFirst = [&](std::uint64_t left, std::uint64_t right) {
            const auto& one = m_table.findGrant(left)->request.due;
            const auto& other = m_table.findGrant(right)->request.due;
            const bool overdue = one <= now;
            return overdue != (other <= now) ? overdue : one > other;
        };
        std::stable_sort(candidates.begin(), candidates.end(), revokedFirst);
    }
    candidates.resize(std::min(candidates.size(), liveWaiting));
    return candidates;
}

void bulk_scheduler::recordLiveWait(milliseconds waited)
{
    if (const auto* adaptive = std::get_if<adaptive_bulk>(&m_options.policy))
        m_liveDelayed = m_liveDelayed || waited > adaptive->maxLiveWait;
}

void bulk_scheduler::recordFirstToken(milliseconds firstToken)
{
    if (const auto* adaptive = std::get_if<adaptive_bulk>(&m_options.policy))
        m_liveDelayed = m_liveDelayed || firstToken > adaptive->firstTokenObjective;
}

void bulk_scheduler::tick(std::size_t liveWaiting, steady_time now)
{
    if (looksAhead()) {
        auto demand = static_cast<unsigned>(liveWaiting);
        for (const auto& [name, target] : m_table.targets())
            demand += target.live;
        m_demand.record(demand, now);
    }
    if (now < m_nextAdaptation)
        return;
    m_nextAdaptation = now + adaptationInterval;
    m_window = adaptWindow(m_window, m_liveDelayed, m_windowFull);
    m_liveDelayed = false;
    m_windowFull = false;
}

} // namespace yuccachute
