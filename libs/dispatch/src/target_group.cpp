#include "bulk_scheduler.h"
#include "dispatch/dispatch.h"
#include "live_admission.h"
#include "target_selector.h"
#include "target_table.h"

#include <algorithm>
#include <optional>
#include <set>

namespace yuccachute {

namespace {

/// A group polls its targets only for this long after the last slot request.
constexpr milliseconds activityTimeout { 2000 };
constexpr milliseconds minRetryAfter { 1000 };

} // namespace

struct target_group::impl {
    explicit impl(group_options groupOptions)
        : options(std::move(groupOptions))
    {
    }

    void setOptions(const group_options& newOptions);
    void changeTargets(
        std::span<const target_description> changed, std::span<const std::string> removed, steady_time now);
    void ask(slot_request request, steady_time now);
    void release(const grant_release& release, steady_time now);
    void recordOutcome(target_state& target, grant_outcome outcome, steady_time now) const;
    void tick(steady_time now);

    void removeTarget(std::string_view name);
    void activateNeededTargets(steady_time now);
    void assignSlots(steady_time now);
    bool assignLiveSlot(bool onlyInTime, steady_time now);
    bool assignBulkSlot(steady_time now);
    void grantSlot(slot_request request, target_state& target, steady_time since, steady_time now);
    std::vector<grant_revocation> grantsToRevoke(steady_time now);
    void refuseOrLetWait(const slot_request& asked, steady_time now);
    void revoke(std::span<const grant_revocation> revocations);
    void refuse(const slot_request& request, failure reason);
    void refuseExpired(steady_time now);
    void summarizePaces(group_summary& summary, steady_time now) const;

    group_options options;
    target_table table { options };
    target_selector selector { table, options };
    live_admission live { table, options };
    bulk_scheduler bulk { table, options };
    std::vector<decision> decisions;
    steady_time lastRequestTime;
};

void target_group::impl::setOptions(const group_options& newOptions)
{
    options.policy = newOptions.policy;
    options.randomChoice = newOptions.randomChoice;
    options.refusalBackoff = newOptions.refusalBackoff;
    options.bulkLookahead = newOptions.bulkLookahead;
    options.assumedEventInterval = newOptions.assumedEventInterval;
    if (newOptions.order == options.order)
        return;
    options.order = newOptions.order;
    live.queue().setOrder(newOptions.order);
    bulk.setOrder(newOptions.bulkOrder.value_or(newOptions.order));
}

void target_group::impl::changeTargets(
    std::span<const target_description> changed, std::span<const std::string> removed, steady_time now)
{
    for (const auto& name : removed)
        removeTarget(name);
    for (const auto& description : changed)
        table.update(description, now);
    activateNeededTargets(now);
    table.activatePreceding(now);
    assignSlots(now);
}

void target_group::impl::removeTarget(std::string_view name)
{
    if (table.remove(name))
        selector.forget(name);
}

void target_group::impl::activateNeededTargets(steady_time now)
{
    table.activateNeeded(live.queue().size() + bulk.queue().size(), now);
}

void target_group::impl::ask(slot_request request, steady_time now)
{
    lastRequestTime = now;
    activateNeededTargets(now);
    table.activateForVersion(request, now);
    const auto revocable = live.queue().empty() ? 0 : bulk.revocableSlots(now);
    if (auto refusal = live.refusalOf(request, revocable, now))
        return refuse(request, std::move(*refusal));
    if (std::holds_alternative<unlimited_bulk>(options.policy)) {
        if (auto* target = selector.choose(request, false, now))
            grantSlot(std::move(request), *target, now, now);
        return;
    }
    const bool isLive = request.workClass == work_class::live;
    if (isLive)
        bulk.recordLiveArrival(now);
    else
        bulk.recordBulkArrival();
    const auto asked = request.immediate ? std::optional(request) : std::nullopt;
    if (isLive)
        live.queue().push(std::move(request), now);
    else
        bulk.queue().push(std::move(request), now);
    assignSlots(now);
    if (asked)
        refuseOrLetWait(*asked, now);
}

void target_group::impl::grantSlot(
    slot_request request, target_state& target, steady_time since, steady_time now)
{
    const auto waited = std::chrono::duration_cast<milliseconds>(now - since);
    if (request.workClass == work_class::live)
        bulk.recordLiveWait(waited);
    selector.recordGrant(request, target, now);
    const auto holder = request.holder;
    const auto slotRequestId = request.id;
    const auto id = table.addGrant(std::move(request), target, now);
    decisions.emplace_back(slot_grant { holder, slotRequestId, id, target.description.name,
        target.description.address, waited, target.description.version });
}

bool target_group::impl::assignLiveSlot(bool onlyInTime, steady_time now)
{
    const bool itemsPresent = table.bulkGrants() > 0 || !bulk.queue().empty();
    for (const auto* next : live.queue().heads()) {
        auto* target = selector.choose(*next, true, now, { itemsPresent, onlyInTime });
        if (!target)
            continue;
        auto [request, since] = live.queue().pop(*next);
        grantSlot(std::move(request), *target, since, now);
        return true;
    }
    return false;
}

bool target_group::impl::assignBulkSlot(steady_time now)
{
    if (bulk.heldBack(now) || !bulk.mayStart(live.queue().size(), now))
        return false;
    const bool needFreeSlot = !std::holds_alternative<unlimited_bulk>(options.policy);
    // Without a slot for any version there is none for each of them, and the heads need not be looked for.
    auto unbound = *bulk.queue().front();
    unbound.version.reset();
    if (!selector.choose(unbound, needFreeSlot, now))
        return false;
    for (const auto* first : bulk.heads()) {
        auto* target = selector.choose(*first, needFreeSlot, now);
        if (!target)
            continue;
        const auto* next = bulk.nextItem(*first, *target, now);
        if (!next)
            return false;
        if (next != first)
            target = selector.choose(*next, needFreeSlot, now);
        if (!target)
            return false;
        auto [request, since] = *bulk.queue().take(next->holder, next->id);
        grantSlot(std::move(request), *target, since, now);
        return true;
    }
    return false;
}

void target_group::impl::revoke(std::span<const grant_revocation> revocations)
{
    for (const auto& revocation : revocations) {
        table.markRevoked(revocation.grantId);
        bulk.countRevocation(revocation.reason);
        decisions.emplace_back(revocation);
    }
}

/// Requests that are bound to a software version are helped only by items at targets of that version.
std::vector<grant_revocation> target_group::impl::grantsToRevoke(steady_time now)
{
    if (table.bulkGrants() == 0)
        return {};
    for (const auto* next : live.queue().heads()) {
        // If a slot is free, it is at a target that is too slow for the request. Then only items at other
        // targets make a difference to it.
        const bool slotFree = selector.choose(*next, true, now) != nullptr;
        const auto suitable = [&](const target_state& target) {
            return acceptsVersion(*next, target.description)
                && (!slotFree || !selector.unsuitable(*next, target, now));
        };
        auto revocations = bulk.grantsToRevoke(live.queue(), *next, live.meanServiceTime(), suitable, now);
        if (!revocations.empty())
            return revocations;
    }
    return {};
}

/// Refuses an immediate request that was not granted a slot, unless one is expected to become free in time.
void target_group::impl::refuseOrLetWait(const slot_request& asked, steady_time now)
{
    const bool isLive = asked.workClass == work_class::live;
    if (isLive && !live.queue().empty()
        && bulk.slotsExpected(live.queue(), asked, live.meanServiceTime(), now))
        live.queue().letWait(asked.holder, asked.id, immediateWaitEnd(asked, now));
    refuseExpired(now);
}

void target_group::impl::assignSlots(steady_time now)
{
    activateNeededTargets(now);
    // Items are revoked before a live request goes to a target that is too slow for it.
    while (assignLiveSlot(true, now)) { }
    revoke(grantsToRevoke(now));
    while (assignLiveSlot(true, now)) { }
    while (assignLiveSlot(false, now)) { }
    while (assignBulkSlot(now)) { }
}

void target_group::impl::release(const grant_release& release, steady_time now)
{
    const auto* grant = table.findGrant(release.grantId);
    if (!grant)
        return; // It has expired, or was given by a previous dispatcher of this group.
    auto* target = table.find(grant->target);
    if (target) {
        recordOutcome(*target, release.outcome, now);
        table.recordRun(*target, *grant, release, now);
    }
    if (grant->live() && release.outcome == grant_outcome::ok)
        live.recordServiceTime(now - grant->since, target ? table.paceOf(*target, now) : 1);
    if (grant->live())
        bulk.recordFirstToken(release.firstToken);
    table.removeGrant(release.grantId, now);
    assignSlots(now);
}

void target_group::impl::recordOutcome(target_state& target, grant_outcome outcome, steady_time now) const
{
    if (outcome == grant_outcome::ok)
        target.health.succeeded(now);
    if (outcome == grant_outcome::refused && options.refusalBackoff.count() > 0) {
        target.refusedUntil = now + options.refusalBackoff;
        target.load.pollNow(now);
    } else if (outcome == grant_outcome::refused) {
        target.load.markUnavailable(now);
    }
    if (outcome == grant_outcome::failed) {
        target.health.failed(now);
        target.load.pollNow(now);
    }
}

void target_group::impl::refuse(const slot_request& request, failure reason)
{
    decisions.emplace_back(slot_refusal { request.holder, request.id, std::move(reason) });
}

void target_group::impl::refuseExpired(steady_time now)
{
    for (const auto& [request, servingClass] : live.queue().takeExpired(now))
        refuse(request,
            live.overloadRefusal(request, servingClass, "no target had room before the timeout", now));
    for (const auto& request : bulk.queue().takeExpired(now))
        refuse(request,
            notRun(failure_kind::overloaded, "no slot was available for bulk work in time", minRetryAfter));
}

void target_group::impl::tick(steady_time now)
{
    refuseExpired(now);
    table.removeExpiredGrants(now);
    bulk.tick(live.queue().size(), now);
    table.updatePaces(now);
    for (const auto& name : table.deactivateIdle(now))
        selector.forget(name);
    assignSlots(now);
}

void target_group::impl::summarizePaces(group_summary& summary, steady_time now) const
{
    std::vector<double> paces;
    for (const auto& [name, target] : table.targets())
        paces.push_back(table.paceOf(target, now));
    if (paces.empty())
        return;
    std::sort(paces.begin(), paces.end());
    summary.slowestPace = paces.front();
    summary.medianPace = paces[(paces.size() - 1) / 2];
    summary.fastestPace = paces.back();
    summary.slowTargets = static_cast<unsigned>(
        std::count_if(paces.begin(), paces.end(), [](double pace) { return pace < slowPace; }));
}

target_group::target_group(group_options options)
    : m_impl(std::make_unique<impl>(std::move(options)))
{
}

target_group::~target_group() = default;
target_group::target_group(target_group&&) noexcept = default;
target_group& target_group::operator=(target_group&&) noexcept = default;

void target_group::setOptions(const group_options& options)
{
    m_impl->setOptions(options);
}

void target_group::setTargets(std::span<const target_description> targets, steady_time now)
{
    std::set<std::string_view> listed;
    for (const auto& description : targets)
        listed.insert(description.name);
    auto removed = m_impl->table.names();
    std::erase_if(removed, [&](const auto& name) { return listed.contains(name); });
    changeTargets(targets, removed, now);
}

void target_group::changeTargets(
    std::span<const target_description> changed, std::span<const std::string> removed, steady_time now)
{
    m_impl->changeTargets(changed, removed, now);
}

void target_group::ask(slot_request request, steady_time now)
{
    m_impl->ask(std::move(request), now);
}

void target_group::withdraw(std::uint64_t holder, std::uint64_t slotRequestId, steady_time now)
{
    if (!m_impl->live.queue().remove(holder, slotRequestId))
        m_impl->bulk.queue().remove(holder, slotRequestId);
    m_impl->assignSlots(now);
}

void target_group::release(const grant_release& release, steady_time now)
{
    m_impl->release(release, now);
}

const slot_request* target_group::requestOfGrant(std::uint64_t grantId) const
{
    const auto* grant = m_impl->table.findGrant(grantId);
    return grant ? &grant->request : nullptr;
}

void target_group::report(std::string_view target, const load_report& report, steady_time now)
{
    auto* found = m_impl->table.find(target);
    if (!found)
        return;
    m_impl->table.report(*found, report, now);
    m_impl->assignSlots(now);
}

void target_group::reportUnreachable(std::string_view target, steady_time now)
{
    if (auto* found = m_impl->table.find(target))
        found->health.failed(now);
}

std::vector<report_due> target_group::reportsDue(steady_time now)
{
    if (!m_impl->options.pollsLoadReports || now - m_impl->lastRequestTime > activityTimeout)
        return {};
    return m_impl->table.reportsDue(now);
}

void target_group::recordMissedReport(std::string_view target, steady_time now)
{
    auto* found = m_impl->table.find(target);
    if (!found)
        return;
    found->load.recordMiss(now);
    m_impl->assignSlots(now);
}

void target_group::expectRequests(steady_time now)
{
    m_impl->lastRequestTime = now;
}

void target_group::dropHolder(std::uint64_t holder, steady_time now)
{
    m_impl->live.queue().removeHolder(holder);
    m_impl->bulk.queue().removeHolder(holder);
    m_impl->table.dropHolder(holder, now);
    m_impl->assignSlots(now);
}

void target_group::tick(steady_time now)
{
    m_impl->tick(now);
}

bool target_group::active(steady_time now) const
{
    return !m_impl->live.queue().empty() || !m_impl->bulk.queue().empty() || !m_impl->table.grants().empty()
        || now - m_impl->lastRequestTime <= activityTimeout;
}

void target_group::revokeBulk()
{
    std::vector<grant_revocation> all;
    for (const auto id : m_impl->table.revocableGrants())
        all.push_back({ m_impl->table.findGrant(id)->request.holder, id });
    m_impl->revoke(all);
}

std::vector<decision> target_group::takeDecisions()
{
    return std::exchange(m_impl->decisions, {});
}

group_summary target_group::summary(steady_time now) const
{
    const auto& table = m_impl->table;
    group_summary summary;
    summary.targets = static_cast<unsigned>(table.size());
    for (const auto& [name, target] : table.targets()) {
        summary.live += target.live;
        summary.bulk += target.bulk;
        if (!table.usable(target, now))
            continue;
        ++summary.usableTargets;
        summary.slots += table.slotsOf(target, now);
    }
    summary.liveWaiting = m_impl->live.queue().size();
    summary.liveWaitingPastObjective = m_impl->live.queue().missedObjectives();
    summary.bulkWaiting = m_impl->bulk.queue().size();
    summary.bulkWindow = m_impl->bulk.window();
    m_impl->summarizePaces(summary, now);
    summary.revocations = m_impl->bulk.revocations();
    summary.startsHeldBack = m_impl->bulk.startsHeldBack();
    return summary;
}

std::vector<pace_change> target_group::takePaceChanges()
{
    return m_impl->table.takePaceChanges();
}

} // namespace yuccachute
