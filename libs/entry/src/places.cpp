#include "request_context.h"

#include "logging/logging.h"

#include <algorithm>
#include <thread>

namespace yuccachute {

namespace {

/// Share of a target's slots that an entry takes when it chooses for itself.
constexpr double selfChoiceShare = 0.5;
/// A dispatcher's successor answers within about this time of its death, also on a busy VM.
constexpr milliseconds takeoverTime { 1500 };
/// A place of the own share comes back, or the successor answers, within some of these.
constexpr milliseconds ownSharePause { 20 };

bool noDispatcher(const failure& error)
{
    return error.kind == failure_kind::unavailable && error.retryAfter.count() == 0;
}

} // namespace

result<held_grant> self_choice::acquire(const group_description& group, slot_request ask, std::size_t entries)
{
    const auto now = std::chrono::steady_clock::now();
    auto targets = group.targets;
    for (auto& target : targets)
        target.slots = std::max(1u,
            static_cast<unsigned>(
                target.slots * selfChoiceShare / static_cast<double>(std::max<std::size_t>(1, entries))));
    const std::scoped_lock lock(m_mutex);
    auto& chooser = m_groups[group.name];
    if (!chooser)
        chooser = std::make_unique<target_group>(group_options { no_bulk {}, fair_queue::order::arrival });
    chooser->setTargets(targets, now);
    chooser->tick(now);
    chooser->takeDecisions();
    ask.holder = 1;
    ask.id = 1;
    chooser->ask(ask, now);
    chooser->withdraw(1, 1, now);
    for (const auto& decision : chooser->takeDecisions()) {
        if (const auto* given = std::get_if<slot_grant>(&decision))
            return held_grant { group.name, {}, given->grantId, given->target, given->address,
                milliseconds { 0 }, std::make_shared<revocation>() };
        if (const auto* refused = std::get_if<slot_refusal>(&decision))
            return refused->reason;
    }
    return notRun(failure_kind::overloaded,
        "no dispatcher answers, and this entry's own share of the targets is in use", milliseconds { 1000 });
}

void self_choice::release(const held_grant& grant, grant_release figures)
{
    const std::scoped_lock lock(m_mutex);
    if (const auto found = m_groups.find(grant.group); found != m_groups.end()) {
        figures.grantId = grant.grantId;
        found->second->release(figures, std::chrono::steady_clock::now());
    }
}

namespace {

/// One round through the zones. Sets ownShareUsed if no dispatcher answered and the entry's own share was in
/// use.
result<held_grant> searchZones(entry_services& services, request_context& context, const std::string& service,
    const slot_request& ask, bool& ownShareUsed)
{
    auto zones = context.settings->zonesOf(service);
    // The own zone first; the others in an order that spreads different prompts.
    std::stable_partition(
        zones.begin(), zones.end(), [&](const auto& zone) { return zone == services.options.zone; });
    failure last = notRun(
        failure_kind::unavailable, "service \"" + service + "\" has no targets", milliseconds { 2000 });
    std::optional<held_grant> failedBefore;
    for (const auto& zone : zones) {
        auto groups = context.settings->groupsOf(service, zone);
        // Requests with one prefix meet at one group, so that its targets' caches serve them.
        const auto seed
            = ask.prefixes.empty() ? std::hash<std::string> {}(context.requestId) : ask.prefixes.front();
        std::sort(groups.begin(), groups.end(),
            [&](const auto* a, const auto* b) { return hashText(a->name, seed) > hashText(b->name, seed); });
        for (const auto* group : groups) {
            auto place = services.grants.acquire(group->name, zone, ask);
            if (!place && noDispatcher(place.error())) {
                services.figures.count("yuccachute_self_choices_total", "zone", zone);
                place
                    = services.chooser.acquire(*group, ask, services.peers.owners(group->name, zone).size());
                ownShareUsed = ownShareUsed || !place;
            }
            // The target that has just failed this request is the last resort, after all other groups and
            // zones.
            if (place && place.value().target == ask.avoid && !failedBefore) {
                failedBefore = place.value();
                continue;
            }
            if (place && failedBefore)
                returnPlace(services, *failedBefore, { 0, grant_outcome::abandoned, milliseconds { 0 }, 0 });
            if (place)
                return place;
            last = place.error();
            const bool elsewhere
                = last.kind == failure_kind::unavailable || last.kind == failure_kind::overloaded;
            if (!elsewhere || std::chrono::steady_clock::now() >= context.deadline)
                break;
        }
    }
    if (failedBefore)
        return *failedBefore;
    return last;
}

} // namespace

/// When a dispatcher dies, the asks of an entry come back to it all at once and exceed its own share of the
/// targets. To refuse the rest would tell callers that there is no room while targets are free; the successor
/// is only not there yet. So they wait for it, for as long as a takeover lasts.
result<held_grant> findPlace(
    entry_services& services, request_context& context, const std::string& service, const slot_request& ask)
{
    const auto until = std::min(context.deadline, std::chrono::steady_clock::now() + takeoverTime);
    for (;;) {
        bool ownShareUsed = false;
        auto found = searchZones(services, context, service, ask, ownShareUsed);
        if (found || !ownShareUsed || std::chrono::steady_clock::now() >= until)
            return found;
        std::this_thread::sleep_for(ownSharePause);
    }
}

void returnPlace(entry_services& services, const held_grant& grant, const grant_release& figures)
{
    if (grant.dispatcher.empty())
        services.chooser.release(grant, figures);
    else
        services.grants.release(grant, figures);
}

void recordEnd(entry_services& services, const request_context& context, std::string_view service,
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
