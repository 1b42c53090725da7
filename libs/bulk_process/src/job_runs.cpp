#include "process.h"

#include <algorithm>
#include <limits>

namespace yuccachute {

namespace {

/// Maximum number of concurrent runs and requests for slots; each costs a few kilobytes.
constexpr std::size_t maxRuns = 160;
/// Maximum number of runs without a slot, taken in order of due time. The next item requests a slot as soon
/// as one is granted, within a few milliseconds, so this is enough to fill thousands of slots per second when
/// a peak of live load ends. If all items requested slots, 1,000 of them would send 12,000 requests per
/// second at such a peak, and the dispatchers would answer them instead of live requests.
constexpr std::size_t maxRunsWithoutSlot = 24;
/// An item begins anew after its software version has been unavailable for this time while other items got
/// slots: its targets may be cut off or fail for longer than the item has left.
constexpr milliseconds versionTimeout { 2000 };

} // namespace

void bulk_process::configurationChanged()
{
    for (auto& [id, held] : m_jobs)
        applyConfiguration(held);
    resumeSubmissions();
}

std::shared_ptr<const routing_table> bulk_process::configurationFor(const bulk_record& record) const
{
    auto table = m_fleet.configuration();
    return table && canDecide(*table, record) ? table : nullptr;
}

void bulk_process::applyConfiguration(held_job& held) const
{
    const auto table = configurationFor(held.job->record());
    held.job->setDue(held.acceptedAt + completionWindowOf(table.get(), held.job->record()));
    if (!table)
        return;
    held.earliestExpiry = held.acceptedAt + shortestExpiry(*table);
    held.nextExpiryCheck = held.earliestExpiry;
}

steady_time bulk_process::expiryOf(
    const held_job& held, std::uint32_t index, const routing_table& table) const
{
    return held.acceptedAt + limitsOfItem(table, held.job->record(), index).expiry;
}

bool bulk_process::hasExpired(const held_job& held, std::uint32_t index, const routing_table& table) const
{
    const auto time = now();
    return time >= held.earliestExpiry && time >= expiryOf(held, index, table);
}

void bulk_process::expireItems(held_job& held, const routing_table& table, steady_time time) const
{
    if (time < held.nextExpiryCheck)
        return;
    held.nextExpiryCheck
        = held.job->expire([&](std::uint32_t index) { return expiryOf(held, index, table); }, time);
}

held_job bulk_process::makeHeldJob(bulk_job_store::stored_job stored)
{
    // Clocks of VMs differ and may jump, so the age is clamped to the possible range.
    const auto age = std::clamp(milliseconds { wallClockMs() - stored.record.acceptedMs }, milliseconds { 0 },
        m_settings.resultRetention);
    held_job held;
    held.openRevision = stored.holder || stored.openRevision != 0 ? stored.openRevision : 0;
    held.claim = stored.claim;
    held.cancelled = stored.cancelled;
    held.acceptedAt = now() - age;
    held.storedParts = m_jobStore.partsOf(stored.record);
    held.memory = memory_share(m_memory);
    held.job = std::make_unique<bulk_job>(std::move(stored.record), held.acceptedAt);
    applyConfiguration(held);
    for (const auto& group : stored.groups)
        held.job->addCommitted(group);
    held.job->restore(std::move(stored.progress));
    held.eventsSaved = held.job->bufferedEvents();
    return held;
}

void bulk_process::addHeldJob(bulk_job_store::stored_job stored, steady_time openAt)
{
    const auto id = stored.record.id;
    const auto known = m_jobs.find(id);
    if (known != m_jobs.end() && known->second.openRevision >= stored.openRevision)
        return;
    if (known != m_jobs.end())
        dropHeldJob(known);
    auto& held = m_jobs.emplace(id, makeHeldJob(std::move(stored))).first->second;
    held.openAt = openAt;
    held.memory.force(memoryOf(held.job->record()), now()); // It is owed, whatever else must give way.
    startRuns();
}

bool bulk_process::reclaimFinishedJob()
{
    for (auto& [id, held] : m_jobs) {
        const bool finished = held.openRevision == 0 || (held.job->complete() && held.runs.empty());
        if (!finished || held.job->itemBodiesDropped())
            continue;
        held.job->dropItemBodies();
        held.memory.resize(memoryOf(held.job->record()), now());
        return true;
    }
    return false;
}

void bulk_process::dropHeldJob(job_map::iterator job)
{
    for (auto& reader : job->second.readers)
        refuse(*reader.caller,
            notRun(failure_kind::unavailable, "this process no longer holds the job; retry", retryAfter));
    m_jobs.erase(job);
}

void bulk_process::notifyReaders(held_job& held)
{
    std::vector<waiting_reader> kept;
    const auto time = now();
    for (auto& reader : held.readers) {
        const bool due = held.job->committedResults().size() > reader.after || reader.until <= time;
        if (!due)
            kept.push_back(std::move(reader));
        else if (isCurrent(held))
            replyWithResults(*reader.caller, held, reader.after);
        else
            refuse(*reader.caller,
                notRun(failure_kind::unavailable,
                    "the store does not confirm that the results are current; retry", retryAfter));
    }
    held.readers = std::move(kept);
}

std::size_t bulk_process::runs() const
{
    std::size_t count = 0;
    for (const auto& [id, held] : m_jobs)
        count += held.runs.size();
    return count;
}

std::size_t bulk_process::runsWithoutSlot() const
{
    std::size_t count = 0;
    for (const auto& [id, held] : m_jobs)
        count += static_cast<std::size_t>(std::count_if(held.runs.begin(), held.runs.end(),
            [](const auto& run) { return run.second->target().empty(); }));
    return count;
}

void bulk_process::startRuns()
{
    if (m_leaving)
        return;
    const auto table = m_fleet.configuration();
    if (!table)
        return;
    std::vector<held_job*> order;
    bool outdated = false;
    std::size_t uncertain = 0;
    const auto bootTime = bootClockNow();
    const auto silence = storeSilence();
    for (auto& [id, held] : m_jobs) {
        if (held.openRevision == 0 || held.cancelled || held.job->waiting() == 0)
            continue;
        if (!m_scan.maySend(held.openAt, bootTime, silence))
            ++uncertain;
        else if (canDecide(*table, held.job->record()))
            order.push_back(&held);
        else
            outdated = true;
    }
    logWaitingJobs(uncertain);
    updateStoreLost(silence);
    if (outdated)
        m_fleet.requestConfiguration(now());
    std::sort(order.begin(), order.end(), [this, time = now()](const auto* left, const auto* right) {
        const bool leftWillMiss = willMissDeadline(*left->job, left->job->nextItemEvents(), time);
        if (leftWillMiss != willMissDeadline(*right->job, right->job->nextItemEvents(), time))
            return !leftWillMiss;
        return left->job->due() < right->job->due();
    });
    auto running = runs();
    auto waiting = runsWithoutSlot();
    for (auto* held : order) {
        while (running < maxRuns && waiting < maxRunsWithoutSlot && startItem(*held, *table)) {
            ++running;
            ++waiting;
        }
    }
}

void bulk_process::logWaitingJobs(std::size_t count)
{
    if (std::exchange(m_jobsWait, count > 0) == m_jobsWait)
        return;
    logEvent(m_jobsWait ? log_level::warning : log_level::info,
        m_jobsWait ? "items wait until the store confirms that their jobs are open"
                   : "no job waits to be confirmed",
        { { "jobs", static_cast<std::int64_t>(count) } });
    if (m_jobsWait)
        m_metrics.count("yuccachute_item_waits_total", "reason", "job not confirmed");
}

void bulk_process::updateStoreLost(milliseconds silence)
{
    if (std::exchange(m_storeLost, m_scan.storeLost(silence)) == m_storeLost)
        return;
    logEvent(m_storeLost ? log_level::warning : log_level::info,
        m_storeLost ? "items are sent without confirmation of their jobs: the store answers no process"
                    : "items are sent only of confirmed jobs again",
        { { "jobs", static_cast<std::int64_t>(m_jobs.size()) },
            { "listing_age_ms", m_scan.listedAt() ? msSince(*m_scan.listedAt()) : -1 },
            { "store_silent_ms", silence.count() } });
    if (!m_storeLost)
        m_scan.request(bootClockNow());
}

void bulk_process::logSentItem(const std::string& id, std::uint32_t index) const
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    const auto& held = found->second;
    const auto run = held.runs.find(index);
    const auto silence = storeSilence();
    logEvent(log_level::info, "item sent",
        { { "job", id }, { "item", held.job->record().items[index].id },
            { "target", run == held.runs.end() ? std::string_view() : run->second->target() },
            { "open_age_ms", msSince(held.openAt) }, { "store_silent_ms", silence.count() },
            { "unconfirmed", std::int64_t { m_scan.storeLost(silence) } } });
}

bool bulk_process::willMissDeadline(const bulk_job& job, std::size_t produced, steady_time time) const
{
    const double left = m_meanRunMs - static_cast<double>(produced) * m_meanEventMs;
    return job.due() < time + milliseconds { static_cast<std::int64_t>(std::max(0.0, left)) };
}

void bulk_process::updateMeanDurations(const run_statistics& run)
{
    constexpr double keep = 0.9;
    const double took = std::chrono::duration<double, std::milli>(now() - run.firstEventAt).count();
    if (run.events == 0)
        return;
    m_meanRunMs = keep * m_meanRunMs + (1 - keep) * took;
    m_meanEventMs = keep * m_meanEventMs + (1 - keep) * took / static_cast<double>(run.events);
}

std::optional<bulk_process::routed_item> bulk_process::nextItem(
    held_job& held, const routing_table& table) const
{
    auto& job = *held.job;
    const auto& record = job.record();
    while (auto start = job.next()) {
        const auto* itemRoute = routeOfItem(table, record, start->index);
        const bool expired = hasExpired(held, start->index, table);
        if (itemRoute && !expired)
            return routed_item { std::move(*start), itemRoute };
        logEvent(log_level::warning,
            itemRoute ? "item has expired; abandoning it" : "no route matches the item; abandoning it",
            { { "job", record.id }, { "item", record.items[start->index].id },
                { "path", record.items[start->index].path }, { "config", table.version } });
        job.abandon(start->index, now());
    }
    return std::nullopt;
}

std::size_t bulk_process::resumeOrDiscard(held_job& held, bulk_item_start& start, std::string_view service)
{
    auto& job = *held.job;
    const auto produced = job.eventsOf(start.index);
    if (!start.lastEvent)
        return produced;
    const bool moved = start.service && *start.service != service;
    if (!moved && canResume(held, start, service))
        return produced;
    const auto& record = job.record();
    logEvent(log_level::info,
        moved ? "item begins anew: its route has moved to another service"
              : "item begins anew: no target of its software version",
        { { "job", record.id }, { "item", record.items[start.index].id },
            { "version", start.version.value_or("unknown") }, { "service", service },
            { "events", static_cast<std::int64_t>(produced) } });
    m_metrics.count("yuccachute_items_begun_anew_total", "reason", moved ? "service" : "version");
    job.discardEvents(start.index);
    held.versionOutages.erase(start.index);
    start.lastEvent.reset();
    return 0;
}

bool bulk_process::startItem(held_job& held, const routing_table& table)
{
    auto found = nextItem(held, table);
    if (!found)
        return false;
    auto& start = found->start;
    const auto& itemRoute = *found->itemRoute;
    const auto& job = *held.job;
    const auto& record = job.record();
    const auto& item = record.items[start.index];
    const run_placement placement { itemRoute.name, serviceOfItem(itemRoute, item, start.service),
        table.version };
    const bool late = willMissDeadline(job, job.eventsOf(start.index), now());
    const auto produced = resumeOrDiscard(held, start, placement.service);
    item_run_request request;
    request.itemId = item.id;
    request.request = m_adapter.jobs.itemRequest(record, item);
    request.customer = record.customer.empty() ? itemRoute.name : record.customer;
    request.service = placement.service;
    request.cost = static_cast<double>(item.tokens);
    // Dispatchers treat an item that will miss its due time as overdue.
    request.due = late ? now() : job.due();
    // An item without a due time cannot be late, and dispatchers decide without its length.
    if (completionWindowOf(&table, record).count() > 0)
        request.remainingEvents = m_itemLengths.remaining(itemRoute.name, produced);
    request.producedEvents = static_cast<std::uint32_t>(produced);
    request.expiry = now() + defaultRunTime;
    request.lastEvent = start.lastEvent;
    request.version = start.version;
    const auto aborts = held.consecutiveAborts.find(start.index);
    request.chargeTarget
        = aborts == held.consecutiveAborts.end() || aborts->second < maxAbortsChargedToTarget;
    held.runs[start.index]
        = runItem(m_itemRunServices, std::move(request), eventsOfRun(record.id, start, placement, produced));
    return true;
}

std::string_view bulk_process::reasonNotToSend(
    const std::string& id, std::uint32_t index, const std::string& service) const
{
    const auto found = m_jobs.find(id);
    const auto table = m_fleet.configuration();
    if (found == m_jobs.end() || !table)
        return "the job is no longer held";
    if (!m_scan.maySend(found->second.openAt, bootClockNow(), storeSilence()))
        return "the store has not confirmed lately that the job is open";
    const auto* itemRoute = routeOfItem(*table, found->second.job->record(), index);
    const bool leadsThere = itemRoute && itemRoute->leadsTo(service);
    return leadsThere ? std::string_view() : "the item's route no longer leads to the service";
}

item_run_events bulk_process::eventsOfRun(
    const std::string& id, const bulk_item_start& start, const run_placement& placement, std::size_t produced)
{
    const auto index = start.index;
    const auto statistics = std::make_shared<run_statistics>();
    item_run_events events;
    events.reasonNotToSend
        = [this, id, index, service = placement.service] { return reasonNotToSend(id, index, service); };
    events.sent = [this, id, index] {
        logSentItem(id, index);
        m_lastSlotGranted = now();
        startRuns();
    };
    events.event = [this, id, index, service = placement.service, statistics](
                       std::optional<std::uint64_t> event, std::string data) {
        if (statistics->events++ == 0)
            statistics->firstEventAt = now();
        const auto found = m_jobs.find(id);
        if (found != m_jobs.end()) {
            found->second.consecutiveAborts.erase(index);
            found->second.versionOutages.erase(index);
            if (const auto run = found->second.runs.find(index); run != found->second.runs.end())
                found->second.job->setOrigin(index, run->second->version(), service);
        }
        return found != m_jobs.end() && found->second.job->addEvent(index, event, std::move(data));
    };
    events.finished = [this, id, index, statistics, fresh = !start.lastEvent, produced, placement](
                          run_outcome outcome, std::string_view reason) {
        if (outcome == run_outcome::completed)
            m_itemLengths.record(placement.route, produced + statistics->events);
        if (outcome == run_outcome::completed && fresh)
            updateMeanDurations(*statistics);
        runFinished(id, index, placement, outcome, reason);
    };
    return events;
}

bool bulk_process::canResume(
    const held_job& held, const bulk_item_start& start, std::string_view service) const
{
    if (!start.version)
        return false;
    const auto outage = held.versionOutages.find(start.index);
    if (outage != held.versionOutages.end() && outage->second.othersServedSince
        && now() - *outage->second.othersServedSince >= versionTimeout)
        return false;
    // A process that has just started may not know the targets yet.
    if (!m_fleet.hasTargetList() || m_fleet.targets().partial())
        return true;
    bool serviceListed = false;
    for (const auto& [id, target] : m_fleet.targets().targets()) {
        if (target->service != service || target->draining)
            continue;
        if (target->version == *start.version)
            return true;
        serviceListed = true;
    }
    return !serviceListed;
}

void bulk_process::recordVersionOutage(held_job& held, std::uint32_t index) const
{
    const auto time = now();
    auto& outage
        = held.versionOutages.try_emplace(index, version_outage { time, std::nullopt }).first->second;
    if (!outage.othersServedSince && m_lastSlotGranted > outage.since)
        outage.othersServedSince = time;
}

void bulk_process::requeueItem(
    const std::string& id, std::uint32_t index, run_outcome outcome, milliseconds delay)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    if (delay.count() == 0)
        return finishRun(found->second, index, outcome);
    auto& timer = found->second.requeueTimers.try_emplace(index, m_loop).first->second;
    timer.arm(delay, [this, id, index, outcome] {
        requeueItem(id, index, outcome, milliseconds { 0 });
        startRuns();
    });
}

void bulk_process::finishRun(held_job& held, std::uint32_t index, run_outcome outcome) const
{
    // Most runs end otherwise, those without a slot many times a second.
    const auto table = outcome == run_outcome::failed ? configurationFor(held.job->record()) : nullptr;
    const auto maxAttempts = table ? limitsOfItem(*table, held.job->record(), index).maxAttempts
                                   : std::numeric_limits<unsigned>::max();
    held.job->finishRun(index, outcome, maxAttempts, now());
}

void bulk_process::runFinished(const std::string& id, std::uint32_t index, const run_placement& placement,
    run_outcome outcome, std::string_view reason)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    auto& held = found->second;
    const auto run = held.runs.find(index);
    const std::string target = run == held.runs.end() ? "" : run->second->target();
    const auto version = run == held.runs.end() ? std::nullopt : run->second->version();
    const bool hadSlot = !target.empty();
    const auto evidence = run == held.runs.end() ? run_evidence() : run->second->evidence();
    if (run != held.runs.end() && run->second->targetsUnavailable())
        recordVersionOutage(held, index);
    else
        held.versionOutages.erase(index);
    held.runs.erase(index);
    requeueItem(id, index, outcome,
        outcome == run_outcome::aborted ? retryDelayAfterAborts(++held.consecutiveAborts[index])
                                        : milliseconds { 0 });
    m_metrics.count("yuccachute_item_runs_total", "end",
        outcome == run_outcome::completed         ? "whole"
            : outcome == run_outcome::interrupted ? (hadSlot ? "broken" : "no place")
            : outcome == run_outcome::aborted     ? "cut"
            : outcome == run_outcome::failed      ? "failed"
                                                  : "impossible");
    if (hadSlot)
        logEvent(outcome == run_outcome::completed ? log_level::info : log_level::warning, "item run",
            { { "job", id }, { "item", held.job->record().items[index].id },
                { "path", held.job->record().items[index].path }, { "route", placement.route },
                { "service", placement.service }, { "config", placement.config }, { "target", target },
                { "target_version", version.value_or("unknown") },
                { "end", static_cast<std::int64_t>(outcome) }, { "reason", reason },
                { "first_event", static_cast<std::int64_t>(evidence.firstEvent()) },
                { "last_event", static_cast<std::int64_t>(evidence.lastEvent()) },
                { "framed", evidence.framed() ? 1 : 0 },
                { "response_end", std::string(toString(evidence.end())) } });
    startRuns();
}

} // namespace yuccachute
