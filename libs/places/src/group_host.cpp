#include "places/places.h"

#include "limit_gate.h"
#include "logging/logging.h"

#include <cmath>

namespace yuccachute {

namespace {

/// Resolution of the deadlines of queued slot requests.
constexpr milliseconds tickInterval { 10 };
/// A target that is unexpectedly full is running work unknown to this dispatcher, such as requests granted by
/// its predecessor. Such work finishes within about this time.
constexpr milliseconds refusalBackoff { 150 };
constexpr milliseconds notPrimaryRetryDelay { 200 };

} // namespace

group_options defaultGroupOptions()
{
    group_options options;
    options.refusalBackoff = refusalBackoff;
    options.policy = spare_bulk {};
    options.bulkOrder = fair_queue::order::due;
    return options;
}

group_host::group_host(event_loop& loop, sender send, primary_check first, load_report_source* loads,
    const group_options& options, distributed_rate_limiter* limits)
    : m_loads(loads)
    , m_limitGate(std::make_unique<limit_gate>(limits, options.customerShares))
    , m_options(options)
    , m_send(std::move(send))
    , m_isPrimary(std::move(first))
    , m_tick(loop)
{
}

group_host::~group_host() = default;

namespace {

std::string groupOf(const listed_target& target)
{
    return groupName(target.service, target.zone, 0);
}

void logPaceChanges(const std::string& group, const std::vector<pace_change>& changes)
{
    for (const auto& change : changes)
        logEvent(change.slow ? log_level::warning : log_level::info,
            change.slow ? "target below half speed: requests prefer other targets" : "target no longer slow",
            { { "target", change.target }, { "group", group },
                { "pace_percent", std::int64_t { std::llround(change.pace * 100) } },
                { "event_interval_us", std::int64_t { change.eventInterval.count() } } });
}

target_description describe(const listed_target& target)
{
    return { target.id, target.address, target.slots, target.draining, target.version };
}

} // namespace

void group_host::setTargets(
    const target_directory& targets, std::span<const target_change> changes, steady_time now)
{
    m_targets = &targets;
    for (auto& [name, hosted] : m_groups) {
        if (applyChanges(name, hosted.group, changes, now))
            sendDecisions(name, hosted);
    }
}

bool group_host::applyChanges(const std::string& name, target_group& group,
    std::span<const target_change> changes, steady_time now) const
{
    std::vector<target_description> set;
    std::vector<std::string> removed;
    for (const auto& [before, after, released] : changes) {
        if (after && groupOf(*after) == name)
            set.push_back(describe(*after));
        else if (before && groupOf(*before) == name)
            removed.push_back(before->id);
    }
    if (set.empty() && removed.empty())
        return false;
    group.changeTargets(set, removed, now);
    return true;
}

std::vector<target_description> group_host::targetsOf(const std::string& name) const
{
    std::vector<target_description> found;
    if (!m_targets)
        return found;
    for (const auto& [id, target] : m_targets->targets()) {
        if (groupOf(*target) == name)
            found.push_back(describe(*target));
    }
    return found;
}

group_host::hosted_group& group_host::find(const std::string& name, steady_time now)
{
    const auto found = m_groups.find(name);
    if (found != m_groups.end())
        return found->second;
    auto options = m_options;
    options.pollsLoadReports = options.pollsLoadReports && m_loads;
    auto& hosted = m_groups.emplace(name, options).first->second;
    hosted.group.setTargets(targetsOf(name), now);
    return hosted;
}

void group_host::prepare(const std::string& name, steady_time now)
{
    if (!m_options.pollsLoadReports || !m_loads || m_groups.contains(name))
        return;
    auto& hosted = find(name, now);
    logEvent(log_level::info, "polling targets before the first request",
        { { "group", name }, { "targets", std::int64_t { hosted.group.summary(now).targets } } });
    hosted.group.expectRequests(now);
    requestReports(name, hosted, now);
    armTick();
}

void group_host::received(std::uint64_t session, envelope message, steady_time now)
{
    std::set<std::string> touched;
    for (const auto& release : message.releases) {
        received(release, now);
        touched.insert(release.group);
    }
    for (const auto& withdrawal : message.withdrawals) {
        find(withdrawal.group, now).group.withdraw(session, withdrawal.slotRequestId, now);
        m_limitGate->dropped(session, withdrawal.slotRequestId, now);
        touched.insert(withdrawal.group);
    }
    envelope acknowledgement;
    for (auto& one : message.asks) {
        touched.insert(one.group);
        handleSlotRequest(session, std::move(one), acknowledgement, now);
    }
    for (const auto& name : touched)
        sendDecisions(name, find(name, now));
    if (!acknowledgement.empty())
        m_send(session, std::move(acknowledgement));
    armTick();
}

milliseconds group_host::objectiveOf(std::string_view group) const
{
    const auto found = m_objectives.find(group.substr(0, group.find('/')));
    return found == m_objectives.end() ? milliseconds { 0 } : found->second;
}

void group_host::handleSlotRequest(
    std::uint64_t session, ask_message one, envelope& acknowledgement, steady_time now)
{
    one.ask.holder = session;
    auto refused = m_limitGate->admit(one.ask, objectiveOf(one.group), now);
    if (one.ask.workClass == work_class::bulk && !m_isPrimary(one.group))
        refused = notRun(failure_kind::unavailable,
            "bulk work is refused: this entry is not the primary dispatcher of the group",
            notPrimaryRetryDelay);
    if (refused) {
        envelope refusal;
        refusal.refusals.push_back({ session, one.ask.id, std::move(*refused) });
        return m_send(session, std::move(refusal));
    }
    acknowledgement.moved.push_back({ one.ask.id, "" });
    find(one.group, now).group.ask(std::move(one.ask), now);
}

void group_host::received(const release_message& message, steady_time now)
{
    auto& group = find(message.group, now).group;
    m_limitGate->released(group.requestOfGrant(message.release.grantId), message.release.outcome,
        objectiveOf(message.group), now);
    group.release(message.release, now);
}

void group_host::sessionClosed(std::uint64_t session, steady_time now)
{
    m_limitGate->sessionClosed(session, now);
    for (auto& [name, hosted] : m_groups) {
        hosted.group.dropHolder(session, now);
        sendDecisions(name, hosted);
    }
}

namespace {

void logRevocation(const std::string& name, const target_group& group, const grant_revocation& revoked)
{
    const auto* item = group.requestOfGrant(revoked.grantId);
    logEvent(log_level::info, "item revoked",
        { { "group", name }, { "item", item ? std::string_view(item->requestId) : std::string_view() },
            { "reason", toString(revoked.reason) },
            { "expected_late_ms", std::int64_t { revoked.expectedLateness.count() } } });
}

} // namespace

void group_host::sendDecisions(const std::string& name, hosted_group& hosted)
{
    std::map<std::uint64_t, envelope> bySession;
    for (auto& one : hosted.group.takeDecisions()) {
        if (auto* given = std::get_if<slot_grant>(&one)) {
            m_limitGate->granted(given->holder, given->slotRequestId);
            bySession[given->holder].grants.push_back(std::move(*given));
        } else if (auto* refused = std::get_if<slot_refusal>(&one)) {
            m_limitGate->dropped(refused->holder, refused->slotRequestId, std::chrono::steady_clock::now());
            bySession[refused->holder].refusals.push_back(std::move(*refused));
        }
        if (const auto* revoked = std::get_if<grant_revocation>(&one)) {
            bySession[revoked->holder].revokes.push_back({ name, revoked->grantId });
            logRevocation(name, hosted.group, *revoked);
        }
    }
    for (auto& [session, message] : bySession)
        m_send(session, std::move(message));
}

void group_host::armTick()
{
    if (!m_tick.armed())
        m_tick.arm(tickInterval, [this] { tick(); });
}

void group_host::tick()
{
    const auto now = std::chrono::steady_clock::now();
    bool active = false;
    for (auto& [name, hosted] : m_groups) {
        if (!m_isPrimary(name))
            hosted.group.revokeBulk();
        hosted.group.tick(now);
        logPaceChanges(name, hosted.group.takePaceChanges());
        sendDecisions(name, hosted);
        requestReports(name, hosted, now);
        active = active || hosted.group.active(now);
    }
    if (active)
        armTick();
}

void group_host::requestReports(const std::string& name, hosted_group& hosted, steady_time now)
{
    for (const auto& due : hosted.group.reportsDue(now)) {
        m_loads->ask(due.address,
            [this, alive = std::weak_ptr(m_alive), name, target = due.target](result<load_report> report) {
                if (!alive.expired())
                    handleReport(name, target, report);
            });
    }
}

void group_host::handleReport(
    const std::string& name, const std::string& target, const result<load_report>& report)
{
    auto& hosted = m_groups.at(name);
    const auto now = std::chrono::steady_clock::now();
    if (report)
        hosted.group.report(target, report.value(), now);
    else
        hosted.group.recordMissedReport(target, now);
    sendDecisions(name, hosted);
}

std::map<std::string, group_summary> group_host::summaries(steady_time now) const
{
    std::map<std::string, group_summary> all;
    for (const auto& [name, hosted] : m_groups)
        all[name] = hosted.group.summary(now);
    return all;
}

} // namespace yuccachute
