#include "request_context.h"

#include "logging/logging.h"

#include <algorithm>
#include <thread>

namespace yuccachute {

namespace {

/// Share of a target's slots that all entries together use for slots that they grant themselves while no
/// dispatcher responds.
constexpr double localSlotShare = 0.5;
/// Time within which the successor of a failed dispatcher responds, also on a busy VM.
constexpr milliseconds takeoverTime { 1500 };
/// Interval between attempts while the local share is in use. Within a few of these a local slot is released
/// or the new dispatcher responds.
constexpr milliseconds localShareRetryInterval { 20 };

bool noDispatcherResponded(const failure& error)
{
    return error.kind == failure_kind::unavailable && error.retryAfter.count() == 0;
}

} // namespace

result<held_grant> local_slot_chooser::acquire(
    const group_description& group, slot_request slotRequest, std::size_t entries)
{
    const auto now = std::chrono::steady_clock::now();
    auto targets = group.targets;
    for (auto& target : targets)
        target.slots = std::max(1u,
            static_cast<unsigned>(
                target.slots * localSlotShare / static_cast<double>(std::max<std::size_t>(1, entries))));
    const std::scoped_lock lock(m_mutex);
    auto& chooser = m_groups[group.name];
    if (!chooser)
        chooser = std::make_unique<target_group>(group_options { no_bulk {}, fair_queue::order::arrival });
    chooser->setTargets(targets, now);
    chooser->tick(now);
    chooser->takeDecisions();
    slotRequest.holder = 1;
    slotRequest.id = 1;
    chooser->ask(slotRequest, now);
    chooser->withdraw(1, 1, now);
    for (const auto& decision : chooser->takeDecisions()) {
        if (const auto* given = std::get_if<slot_grant>(&decision))
            return held_grant { group.name, {}, given->grantId, given->target, given->address,
                milliseconds { 0 }, std::make_shared<revocation>() };
        if (const auto* refused = std::get_if<slot_refusal>(&decision))
            return refused->reason;
    }
    return notRun(failure_kind::overloaded,
        "no dispatcher responds, and all slots that this entry may use without one are taken",
        milliseconds { 1000 });
}

void local_slot_chooser::release(const held_grant& grant, grant_release figures)
{
    const std::scoped_lock lock(m_mutex);
    if (const auto found = m_groups.find(grant.group); found != m_groups.end()) {
        figures.grantId = grant.grantId;
        found->second->release(figures, std::chrono::steady_clock::now());
    }
}

namespace {

/// Tries the groups of each zone in turn. Sets `localShareExhausted` if for some group no dispatcher
/// responded and the entry's local share was in use.
result<held_grant> searchZones(entry_services& services, request_context& context, const std::string& service,
    const slot_request& slotRequest, bool& localShareExhausted)
{
    auto zones = context.settings->zonesOf(service);
    // The entry's own zone comes first.
    std::stable_partition(
        zones.begin(), zones.end(), [&](const auto& zone) { return zone == services.options.zone; });
    failure last = notRun(
        failure_kind::unavailable, "service \"" + service + "\" has no targets", milliseconds { 2000 });
    std::optional<held_grant> avoidedSlot;
    for (const auto& zone : zones) {
        auto groups = context.settings->groupsOf(service, zone);
        // Requests with the same prompt prefix go to the same group, so that they hit the prefix caches of
        // its targets. Other requests are spread over the groups.
        const auto seed = slotRequest.prefixes.empty() ? std::hash<std::string> {}(context.requestId)
                                                       : slotRequest.prefixes.front();
        std::sort(groups.begin(), groups.end(),
            [&](const auto* a, const auto* b) { return hashText(a->name, seed) > hashText(b->name, seed); });
        for (const auto* group : groups) {
            auto slot = services.grants.acquire(group->name, zone, slotRequest);
            if (!slot && noDispatcherResponded(slot.error())) {
                services.figures.count("yuccachute_self_choices_total", "zone", zone);
                slot = services.chooser.acquire(
                    *group, slotRequest, services.peers.owners(group->name, zone).size());
                localShareExhausted = localShareExhausted || !slot;
            }
            // A slot at the target that has just failed this request is used only if no other group or zone
            // has one.
            if (slot && slot.value().target == slotRequest.avoid && !avoidedSlot) {
                avoidedSlot = slot.value();
                continue;
            }
            if (slot && avoidedSlot)
                releaseSlot(services, *avoidedSlot, { 0, grant_outcome::abandoned, milliseconds { 0 }, 0 });
            if (slot)
                return slot;
            last = slot.error();
            const bool tryNextGroup
                = last.kind == failure_kind::unavailable || last.kind == failure_kind::overloaded;
            if (!tryNextGroup || std::chrono::steady_clock::now() >= context.deadline)
                break;
        }
    }
    if (avoidedSlot)
        return *avoidedSlot;
    return last;
}

} // namespace

/// When a dispatcher fails, all pending slot requests of an entry return to it at once and exceed its local
/// share. Refusing the rest would report the targets as full although they have free slots. The requests
/// therefore wait for the new dispatcher, at most for takeoverTime.
result<held_grant> acquireSlot(entry_services& services, request_context& context, const std::string& service,
    const slot_request& slotRequest)
{
    const auto until = std::min(context.deadline, std::chrono::steady_clock::now() + takeoverTime);
    for (;;) {
        bool localShareExhausted = false;
        auto found = searchZones(services, context, service, slotRequest, localShareExhausted);
        if (found || !localShareExhausted || std::chrono::steady_clock::now() >= until)
            return found;
        std::this_thread::sleep_for(localShareRetryInterval);
    }
}

void releaseSlot(entry_services& services, const held_grant& grant, const grant_release& figures)
{
    if (grant.dispatcher.empty())
        services.chooser.release(grant, figures);
    else
        services.grants.release(grant, figures);
}

void recordRequestEnd(entry_services& services, const request_context& context, std::string_view service,
    std::string_view target, const failure* error)
{
    const auto took
        = std::chrono::duration<double>(std::chrono::steady_clock::now() - context.started).count();
    const std::string_view ran = error ? toString(error->ran) : "done";
    services.figures.count("yuccachute_requests_total", "verdict", ran);
    logEvent(error ? log_level::warning : log_level::info, "request",
        { { "request_id", context.requestId }, { "customer", context.customer }, { "class", "live" },
            { "service", service }, { "target", target }, { "verdict", ran },
            { "code", error ? toString(error->kind) : "ok" },
            { "message", error ? std::string_view(error->message) : std::string_view() },
            { "seconds", took } });
}

} // namespace yuccachute
