#include "item_runner.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// Time to wait for a slot in one target group before requesting one from the next group.
constexpr milliseconds slotWaitPerGroup { 5000 };
constexpr milliseconds itemTimeout { 600000 };
constexpr double bytesPerToken = 4;

} // namespace

item_runner::item_runner(job_holder& holder, grant_client& grants, const settings_cell& settings,
    std::string zone, metrics& processMetrics)
    : m_holder(holder)
    , m_grants(grants)
    , m_settings(settings)
    , m_zone(std::move(zone))
    , m_metrics(processMetrics)
{
}

cancel_queue::cancel_queue()
{
    for (unsigned i = 0; i < threadCount; ++i)
        m_threads.emplace_back([this] { run(); });
}

cancel_queue::~cancel_queue()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    for (auto& thread : m_threads)
        thread.join();
}

void cancel_queue::add(std::string address, std::string requestId)
{
    const std::scoped_lock lock(m_mutex);
    m_waiting.emplace_back(std::move(address), std::move(requestId));
    m_changed.notify_one();
}

void cancel_queue::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_changed.wait(lock, [this] { return m_stopping || !m_waiting.empty(); });
        if (m_waiting.empty())
            continue;
        const auto [address, requestId] = std::move(m_waiting.front());
        m_waiting.pop_front();
        lock.unlock();
        cancelCompletion(address, requestId);
        lock.lock();
    }
}

bool item_runner::runOne()
{
    const auto item = m_holder.next(std::chrono::steady_clock::now());
    if (!item)
        return false;
    const auto grant = acquireSlot(*item);
    if (!grant) {
        m_holder.finished(*item, { item_outcome::kind::not_run, {}, 0, grant.error().message },
            std::chrono::steady_clock::now());
        return true;
    }
    const auto started = std::chrono::steady_clock::now();
    const auto outcome = runOnTarget(*item, grant.value());
    const auto now = std::chrono::steady_clock::now();
    m_metrics.observe("yuccachute_total_seconds", { item->customer, "bulk" }, now - started);
    m_metrics.count("yuccachute_items_total", "outcome",
        outcome.status == item_outcome::kind::completed     ? "completed"
            : outcome.status == item_outcome::kind::yielded ? "yielded"
            : outcome.status == item_outcome::kind::not_run ? "not_run"
                                                            : "failed");
    m_holder.finished(*item, outcome, now);
    return true;
}

result<held_grant> item_runner::acquireSlot(const work_item& item)
{
    const auto settings = m_settings.current();
    const auto effective = resolveRequest(settings->tree, item.customer, item.service, item.jobId);
    auto zones = settings->zonesOf(item.service);
    std::stable_partition(zones.begin(), zones.end(), [&](const auto& zone) { return zone == m_zone; });
    const auto now = std::chrono::steady_clock::now();
    slot_request slotRequest;
    slotRequest.customer = item.customer;
    slotRequest.workClass = work_class::bulk;
    slotRequest.hold = itemTimeout;
    slotRequest.weight = effective.weight;
    slotRequest.cost
        = static_cast<double>(item.request.prompt.size()) / bytesPerToken + item.request.maxTokens;
    slotRequest.prefixes = prefixHashes(item.request.prompt);
    slotRequest.due = now + milliseconds { std::max<std::int64_t>(0, item.dueMs - wallClockMs()) };
    failure lastFailure
        = notRun(failure_kind::unavailable, "service \"" + item.service + "\" has no target group");
    for (const auto& zone : zones) {
        for (const auto* group : settings->groupsOf(item.service, zone)) {
            slotRequest.deadline = std::chrono::steady_clock::now() + slotWaitPerGroup;
            auto grant = m_grants.acquire(group->name, zone, slotRequest);
            if (grant)
                return grant;
            lastFailure = grant.error();
            if (item.abandon->load())
                return lastFailure;
        }
    }
    return lastFailure;
}

item_outcome item_runner::runOnTarget(const work_item& item, const held_grant& grant)
{
    std::string text;
    completion_attempt attempt;
    attempt.address = grant.address;
    attempt.requestId = item.jobId + '-' + std::to_string(item.index) + '-' + randomId().substr(0, 8);
    attempt.request = item.request;
    attempt.deadline = std::chrono::steady_clock::now() + itemTimeout;
    attempt.idleTimeout
        = resolveRequest(m_settings.current()->tree, item.customer, item.service).stallTimeout;
    attempt.abandon = grant.revoked->flag();
    attempt.onEvent = [&](const completion_event& event) {
        text += event.text;
        return !item.abandon->load() && !grant.revoked->requested();
    };
    // Cancel at the target as soon as the grant is revoked instead of at the next event of this stream: the
    // live request that needs the slot is already on its way to the target.
    grant.revoked->onRequest(
        [this, address = grant.address, id = attempt.requestId] { m_cancels.add(address, id); });
    const auto outcome = runCompletion(attempt);
    grant.revoked->onRequest({});
    if (!outcome.whole && outcome.error.ran != verdict::not_run)
        cancelCompletion(grant.address, attempt.requestId);
    const bool revoked = grant.revoked->requested();
    grant_release grantRelease;
    grantRelease.outcome = revoked || item.abandon->load() ? grant_outcome::abandoned : judgeTarget(outcome);
    grantRelease.firstToken = outcome.firstToken;
    grantRelease.tokens = static_cast<double>(outcome.events);
    m_grants.release(grant, grantRelease);
    return toItemOutcome(outcome, std::move(text), revoked);
}

item_outcome item_runner::toItemOutcome(const attempt_outcome& attempt, std::string text, bool revoked)
{
    const auto tokens = static_cast<unsigned>(attempt.events);
    if (attempt.whole)
        return { item_outcome::kind::completed, std::move(text), tokens, {} };
    if (revoked)
        return { item_outcome::kind::yielded, std::move(text), tokens, {} };
    if (attempt.error.ran == verdict::not_run)
        return { item_outcome::kind::not_run, {}, 0, attempt.error.message };
    return { item_outcome::kind::failed, {}, 0, attempt.error.message };
}

} // namespace yuccachute
