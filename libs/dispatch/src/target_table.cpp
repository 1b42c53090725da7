#include "target_table.h"

#include <algorithm>
#include <set>

namespace yuccachute {

namespace {

constexpr milliseconds grantGrace { 2000 };
/// How often the targets in use are checked for ones that are no longer needed.
constexpr milliseconds deactivationInterval { 1000 };
/// Runs that show the speed of a target take longer than this, and an update looks at all targets.
constexpr milliseconds paceUpdateInterval { 250 };
/// The nominal interval describes the service, which changes with a release, and not the present state of its
/// targets. At low load the preferred targets have nearly all recent runs, and their median would make the
/// others look slow.
constexpr milliseconds nominalSampleLifetime { 60000 };
/// The nominal interval is updated while the group is active. After a longer pause it is unknown.
constexpr milliseconds nominalLifetime { 10000 };
/// For the moving average of the time to the first event.
constexpr double previousAverageWeight = 0.9;
/// A slow target counts as recovered above this pace. The distance to `slowPace` keeps a target that is near
/// it from being reported again and again.
constexpr double recoveredPace = 0.6;

} // namespace

target_state* target_table::find(std::string_view name)
{
    const auto found = m_targets.find(name);
    return found == m_targets.end() ? nullptr : &found->second;
}

std::vector<std::string> target_table::names() const
{
    auto names = m_standby.names();
    for (const auto& [name, target] : m_targets)
        names.push_back(name);
    return names;
}

bool target_table::remove(std::string_view name)
{
    if (m_standby.remove(name))
        return false;
    const auto known = m_targets.find(name);
    if (known == m_targets.end())
        return false;
    m_targets.erase(known);
    return true;
}

void target_table::update(const target_description& description, steady_time now)
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
        return activate(description, now);
    known->second.description = description;
}

void target_table::activatePreceding(steady_time now)
{
    std::uint64_t last = 0;
    for (const auto& [name, target] : m_targets)
        last = std::max(last, activationOrder(name));
    while (!m_standby.empty() && m_standby.firstActivationOrder() < last)
        activate(*m_standby.popFirst(), now);
}

void target_table::activate(target_description description, steady_time now)
{
    auto& target = m_targets[description.name];
    target = {};
    target.load = target_load(m_options.pollsLoadReports, now);
    target.description = std::move(description);
}

working_set_state target_table::workingSet(steady_time now) const
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

void target_table::activateNeeded(std::size_t waiting, steady_time now)
{
    m_demand.record(m_grants.size() + waiting, now);
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
        activate(std::move(*next), now);
    }
}

void target_table::activateForVersion(const slot_request& request, steady_time now)
{
    if (!request.version || m_standby.empty())
        return;
    const bool found = std::any_of(m_targets.begin(), m_targets.end(), [&](const auto& entry) {
        return acceptsVersion(request, entry.second.description) && usable(entry.second, now)
            && freeSlots(entry.second, now) > 0;
    });
    if (found)
        return;
    if (auto next = m_standby.popFirst(*request.version))
        activate(std::move(*next), now);
}

std::vector<std::string> target_table::deactivateIdle(steady_time now)
{
    std::vector<std::string> deactivated;
    if (now < m_nextDeactivation || m_targets.size() <= m_options.minTargets)
        return deactivated;
    m_nextDeactivation = now + deactivationInterval;
    auto state = workingSet(now);
    std::vector<std::pair<std::uint64_t, std::string>> idle;
    for (const auto& [name, target] : m_targets) {
        const bool busy = target.live + target.bulk + slotsUsedByOthers(target, now) > 0;
        if (!busy && !target.description.drain)
            idle.emplace_back(activationOrder(name), name);
    }
    std::sort(idle.rbegin(), idle.rend());
    for (auto& [order, name] : idle) {
        const auto& target = m_targets.find(name)->second;
        const std::size_t slots = usable(target, now) ? slotsOf(target, now) : 0;
        if (!canDeactivate(state, slots, m_options.minTargets))
            break;
        --state.targets;
        state.usableSlots -= slots;
        auto description = target.description;
        remove(name);
        m_standby.add(std::move(description));
        deactivated.push_back(std::move(name));
    }
    return deactivated;
}

bool target_table::usable(const target_state& target, steady_time now) const
{
    if (target.description.drain || target.health.at(now) == target_health::state::ejected)
        return false;
    if (now < target.refusedUntil)
        return false;
    // Requests sent to an unresponsive target are lost, and a stream must not run twice. If no target
    // answers, the fault is probably in this process's network, and the targets remain usable.
    if (target.load.unresponsive() && !allUnresponsive())
        return false;
    return !target.load.leaving(now);
}

bool target_table::anyUsable(steady_time now) const
{
    return std::any_of(
        m_targets.begin(), m_targets.end(), [&](const auto& entry) { return usable(entry.second, now); });
}

bool target_table::anyUsable(const slot_request& request, steady_time now) const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [&](const auto& entry) {
        return acceptsVersion(request, entry.second.description) && usable(entry.second, now);
    });
}

unsigned target_table::slotsOf(const target_state& target, steady_time now) const
{
    if (target.health.at(now) == target_health::state::probing)
        return 1;
    return std::min(target.load.slots(now).value_or(target.description.slots), target.description.slots);
}

unsigned target_table::slotsUsedByOthers(const target_state& target, steady_time now) const
{
    return target.load.slotsUsedByOthers(target.description.slots, now);
}

bool target_table::allUnresponsive() const
{
    return std::all_of(m_targets.begin(), m_targets.end(),
        [](const auto& entry) { return entry.second.load.unresponsive(); });
}

unsigned target_table::freeSlots(const target_state& target, steady_time now) const
{
    // Slots of revoked items count as free: a live request that is granted one reaches the target's queue
    // before the item has left, and is admitted in the engine step in which the item is removed.
    const unsigned used = target.live + target.bulk - target.revoked + slotsUsedByOthers(target, now);
    const unsigned slots = slotsOf(target, now);
    return used < slots ? slots - used : 0;
}

unsigned target_table::spareSlots(const target_state& target, steady_time now) const
{
    const auto kept = std::count_if(target.liveReleaseTimes.begin(), target.liveReleaseTimes.end(),
        [&](steady_time left) { return now - left < m_options.keptForLive; });
    const auto slots = freeSlots(target, now);
    return slots - std::min(slots, static_cast<unsigned>(kept));
}

std::chrono::microseconds target_table::nominalEventInterval(steady_time now) const
{
    return now - m_pacesUpdated < nominalLifetime ? m_nominalInterval : std::chrono::microseconds { 0 };
}

std::chrono::microseconds target_table::eventInterval(const target_state& target, steady_time now) const
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
        nominalEventInterval(now) / paceOf(target, now));
}

double target_table::paceOf(const target_state& target, steady_time now) const
{
    return target.pace.relative(target.live + target.bulk, now);
}

void target_table::recordRun(
    target_state& target, const grant_record& grant, const grant_release& release, steady_time now)
{
    if (!m_options.targetPace)
        return;
    // A run of few events measures no speed, but a failed one that was silent for longer than the nominal
    // interval shows that the target takes at least this long for an event.
    const auto nominal = nominalEventInterval(now);
    const bool silent = release.outcome == grant_outcome::failed && release.events > 0 && nominal.count() > 0
        && release.eventInterval > nominal;
    if (silent)
        target.pace.recordSilence(release.eventInterval, now);
    else
        target.pace.record(release.eventInterval, release.events, now);
    const bool wholeRun = release.outcome == grant_outcome::ok && !grant.request.begun;
    // A first event cannot have taken longer than the grant was held.
    const bool valid = release.firstToken.count() > 0 && release.firstToken <= now - grant.since;
    if (!grant.live() || !wholeRun || !valid)
        return;
    const double atNominal = static_cast<double>(release.firstToken.count()) * paceOf(target, now);
    m_firstEventMs = m_firstEventMs == 0
        ? atNominal
        : previousAverageWeight * m_firstEventMs + (1 - previousAverageWeight) * atNominal;
}

std::chrono::microseconds target_table::medianInterval(steady_time now) const
{
    std::vector<std::chrono::microseconds> intervals;
    for (const auto& [name, target] : m_targets) {
        if (const auto interval = target.pace.interval(now, nominalSampleLifetime); interval.count() > 0)
            intervals.push_back(interval);
    }
    if (intervals.empty())
        return std::chrono::microseconds { 0 };
    // Of two targets the faster one is nominal.
    const auto middle = intervals.begin() + static_cast<std::ptrdiff_t>((intervals.size() - 1) / 2);
    std::nth_element(intervals.begin(), middle, intervals.end());
    return *middle;
}

void target_table::updatePaces(steady_time now)
{
    if (!m_options.targetPace || now - m_pacesUpdated < paceUpdateInterval)
        return;
    m_pacesUpdated = now;
    m_nominalInterval = medianInterval(now);
    for (auto& [name, target] : m_targets) {
        target.pace.update(m_nominalInterval, now);
        recordPaceChange(target, now);
    }
}

void target_table::recordPaceChange(target_state& target, steady_time now)
{
    const double pace = target.pace.relative(now);
    const bool slow = target.reportedSlow ? pace < recoveredPace : pace < slowPace;
    if (slow == target.reportedSlow)
        return;
    target.reportedSlow = slow;
    m_paceChanges.push_back({ target.description.name, slow, pace, target.pace.interval(now) });
}

std::vector<report_due> target_table::reportsDue(steady_time now)
{
    std::vector<report_due> due;
    for (auto& [name, target] : m_targets) {
        if (target.load.startPollIfDue(now))
            due.push_back({ name, target.description.address });
    }
    return due;
}

void target_table::report(target_state& target, const load_report& report, steady_time now)
{
    std::set<std::string_view> granted;
    for (const auto& [id, grant] : m_grants) {
        if (grant.target == target.description.name)
            granted.insert(grant.request.requestId);
    }
    target.load.report(report, granted, target.live + target.bulk, now);
}

const grant_record* target_table::findGrant(std::uint64_t grantId) const
{
    const auto found = m_grants.find(grantId);
    return found == m_grants.end() ? nullptr : &found->second;
}

std::uint64_t target_table::addGrant(slot_request request, target_state& target, steady_time now)
{
    const bool live = request.workClass == work_class::live;
    (live ? target.live : target.bulk) += 1;
    m_bulkGrants += live ? 0 : 1;
    if (live && !target.liveReleaseTimes.empty())
        target.liveReleaseTimes.pop_front();
    const auto heldUntil = now + request.hold;
    const auto expiresAt
        = (request.immediate ? heldUntil : std::max(request.deadline, heldUntil)) + grantGrace;
    const auto id = m_nextGrant++;
    m_grants.emplace(id, grant_record { std::move(request), target.description.name, now, expiresAt, false });
    return id;
}

void target_table::keepSlotForLive(target_state& target, steady_time now) const
{
    while (!target.liveReleaseTimes.empty() && now - target.liveReleaseTimes.front() >= m_options.keptForLive)
        target.liveReleaseTimes.pop_front();
    target.liveReleaseTimes.push_back(now);
}

void target_table::removeGrant(std::uint64_t grantId, steady_time now)
{
    const auto found = m_grants.find(grantId);
    if (found == m_grants.end())
        return;
    if (auto* target = find(found->second.target)) {
        target->load.recordOwnGrants(target->live + target->bulk, now);
        const bool live = found->second.live();
        if (live && m_options.keptForLive.count() > 0)
            keepSlotForLive(*target, now);
        auto& count = live ? target->live : target->bulk;
        count -= count > 0 ? 1 : 0;
        if (found->second.revoked && target->revoked > 0)
            --target->revoked;
        target->load.recordFinished(std::move(found->second.request.requestId), now);
    }
    m_bulkGrants -= found->second.live() ? 0 : 1;
    m_grants.erase(found);
}

void target_table::removeExpiredGrants(steady_time now)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [id, grant] : m_grants) {
        if (grant.expiresAt <= now)
            expired.push_back(id);
    }
    for (auto id : expired)
        removeGrant(id, now);
}

std::vector<std::uint64_t> target_table::revocableGrants() const
{
    std::vector<std::uint64_t> revocable;
    for (const auto& [id, grant] : m_grants) {
        if (!grant.live() && !grant.revoked && m_targets.contains(grant.target))
            revocable.push_back(id);
    }
    return revocable;
}

void target_table::markRevoked(std::uint64_t grantId)
{
    auto& grant = m_grants.at(grantId);
    grant.revoked = true;
    ++m_targets.find(grant.target)->second.revoked;
}

void target_table::dropHolder(std::uint64_t holder, steady_time now)
{
    for (auto& [id, grant] : m_grants) {
        if (grant.request.holder == holder)
            grant.expiresAt = std::min(grant.expiresAt, now + grantGrace);
    }
    for (auto& [name, target] : m_targets)
        target.load.pollSoon(now);
}

} // namespace yuccachute
