#include "process.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// Runs and asks for places at once; each costs a few kilobytes.
constexpr std::size_t mostRuns = 160;
/// Of these, items that wait for a place; the first ones by due time. As soon as one has its place the next
/// asks, within a few milliseconds, so this many fill thousands of slots a second when a live peak ends. With
/// all items asking, 1,000 of them at a peak would be 12,000 asks a second,
/// which the dispatchers answer in place of live requests.
constexpr std::size_t mostWaiting = 24;
/// When items are given up whose route names no expiry.
constexpr std::chrono::hours defaultExpiry { 24 };
/// An item that ends its targets waits so long before each further run. It cannot be refused as a live
/// request is, since it was accepted, nor be given up before it expires; a few ends until then are the price
/// of a wrong suspicion costing an item no more than this.
constexpr milliseconds heldBackFor { 20000 };

} // namespace

bulk_limits bulk_process::limitsOf(const bulk_record& record, milliseconds age) const
{
    bulk_limits limits;
    limits.expiry = now() + defaultExpiry;
    const auto table = m_fleet.configuration();
    const auto* matched
        = table && !record.items.empty() ? table->match(record.host, record.items.front().path) : nullptr;
    if (!matched)
        return limits;
    limits.maxAttempts = std::max(1u, matched->maxAttempts);
    if (matched->expiry.count() > 0)
        limits.expiry = now() + matched->expiry - age;
    return limits;
}

steady_time bulk_process::dueOf(const bulk_record& record, milliseconds age) const
{
    const auto table = m_fleet.configuration();
    const auto* matched
        = table && !record.items.empty() ? table->match(record.host, record.items.front().path) : nullptr;
    return now() + (matched ? matched->completionWindow : milliseconds { 0 }) - age;
}

held_job bulk_process::build(job_keeper::stored_job stored)
{
    // Clocks of VMs differ, and may jump: an age is believed only as far as it is possible.
    const auto age = std::clamp(milliseconds { wallClockMs() - stored.record.acceptedMs }, milliseconds { 0 },
        m_settings.resultRetention);
    held_job held;
    held.openRevision = stored.holder || stored.openRevision != 0 ? stored.openRevision : 0;
    held.claim = stored.claim;
    held.ended = stored.ended;
    held.acceptedAt = now() - age;
    const auto limits = limitsOf(stored.record, age);
    const auto due = dueOf(stored.record, age);
    held.job = std::make_unique<bulk_job>(std::move(stored.record), limits, due);
    for (const auto& group : stored.groups)
        held.job->committed(group);
    held.job->restore(std::move(stored.progress));
    held.eventsSaved = held.job->eventsHeld();
    return held;
}

void bulk_process::hold(job_keeper::stored_job stored)
{
    const auto id = stored.record.id;
    const auto known = m_jobs.find(id);
    if (known != m_jobs.end() && known->second.openRevision >= stored.openRevision)
        return;
    if (known != m_jobs.end())
        dropJob(known);
    m_jobs.emplace(id, build(std::move(stored)));
    pump();
}

void bulk_process::dropJob(job_map::iterator job)
{
    for (auto& reader : job->second.readers)
        refuse(*reader.caller, notRun(failure_kind::unavailable, "the job changes hands", retryAfter));
    m_jobs.erase(job);
}

void bulk_process::notifyReaders(held_job& held)
{
    std::vector<waiting_reader> kept;
    const auto time = now();
    for (auto& reader : held.readers) {
        const bool told = held.job->listed().size() > reader.after || reader.until <= time;
        if (!told)
            kept.push_back(std::move(reader));
        else if (current(held))
            answerPage(*reader.caller, held, reader.after);
        else
            refuse(
                *reader.caller, notRun(failure_kind::unavailable, "the store is not in reach", retryAfter));
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

std::size_t bulk_process::waitingRuns() const
{
    std::size_t count = 0;
    for (const auto& [id, held] : m_jobs)
        count += static_cast<std::size_t>(std::count_if(held.runs.begin(), held.runs.end(),
            [](const auto& run) { return run.second->target().empty(); }));
    return count;
}

void bulk_process::pump()
{
    if (m_leaving)
        return;
    const auto table = m_fleet.configuration();
    if (!table)
        return;
    std::vector<held_job*> order;
    for (auto& [id, held] : m_jobs) {
        if (held.openRevision != 0 && !held.ended && held.job->waiting() > 0)
            order.push_back(&held);
    }
    std::sort(order.begin(), order.end(), [this, time = now()](const auto* left, const auto* right) {
        const bool leftHopeless = hopeless(*left->job, time);
        if (leftHopeless != hopeless(*right->job, time))
            return !leftHopeless;
        return left->job->due() < right->job->due();
    });
    auto running = runs();
    auto waiting = waitingRuns();
    for (auto* held : order) {
        while (running < mostRuns && waiting < mostWaiting && startItem(*held, *table)) {
            ++running;
            ++waiting;
        }
    }
}

bool bulk_process::hopeless(const bulk_job& job, steady_time time) const
{
    const double left = m_meanRunMs - static_cast<double>(job.nextProgress()) * m_meanEventMs;
    return job.due() < time + milliseconds { static_cast<std::int64_t>(std::max(0.0, left)) };
}

void bulk_process::noteRun(const run_figures& run)
{
    constexpr double keep = 0.9;
    const double took = std::chrono::duration<double, std::milli>(now() - run.begun).count();
    if (run.events == 0)
        return;
    m_meanRunMs = keep * m_meanRunMs + (1 - keep) * took;
    m_meanEventMs = keep * m_meanEventMs + (1 - keep) * took / static_cast<double>(run.events);
}

bool bulk_process::startItem(held_job& held, const routing_table& table)
{
    auto& job = *held.job;
    if (job.waiting() == 0)
        return false;
    const auto& record = job.record();
    const auto* matched = table.match(record.host, record.items.front().path);
    if (!matched) {
        logEvent(log_level::warning, "route of a job is gone",
            { { "job", record.id }, { "config", table.version } });
        job.giveUpWaiting(now());
        return false;
    }
    const bool late = hopeless(job, now());
    const auto next = job.next();
    const auto& item = record.items[next->index];
    item_order order;
    order.itemId = item.id;
    order.request = m_adapter.jobs.itemRequest(record, item);
    order.customer = record.customer.empty() ? matched->name : record.customer;
    if (heldBack(held, next->index, order))
        return true;
    order.service = matched->pickService(std::hash<std::string> {}(item.id));
    order.cost = static_cast<double>(item.tokens);
    // To dispatchers a hopeless item is overdue already.
    order.due = late ? now() : job.due();
    order.expiry = now() + defaultRunTime;
    order.lastEvent = next->lastEvent;
    const auto cuts = held.cuts.find(next->index);
    order.blameTarget = cuts == held.cuts.end() || cuts->second < cutsBlamedOnTargets;
    item_events events;
    events.placed = [this] { pump(); };
    const auto id = record.id;
    const auto index = next->index;
    const auto figures = std::make_shared<run_figures>();
    events.event = [this, id, index, figures](std::optional<std::uint64_t> event, std::string data) {
        if (figures->events++ == 0)
            figures->begun = now();
        const auto found = m_jobs.find(id);
        if (found != m_jobs.end())
            found->second.cuts.erase(index);
        return found != m_jobs.end() && found->second.job->event(index, event, std::move(data));
    };
    events.ended
        = [this, id, index, figures, fresh = !next->lastEvent](run_end how, std::string_view reason) {
              if (how == run_end::whole && fresh)
                  noteRun(*figures);
              itemEnded(id, index, how, reason);
          };
    held.runs[index] = runItem(m_items, std::move(order), std::move(events));
    return true;
}

bool bulk_process::heldBack(held_job& held, std::uint32_t index, const item_order& order)
{
    auto& guard = m_suspects.guard;
    if (!guard.hasSuspects())
        return false;
    const auto identity = identityOf(order.request, order.customer);
    if (guard.known().statusOf(identity, now()) != quarantine::status::refused)
        return false;
    if (held.waitedOut.erase(index) > 0)
        return false;
    held.waitedOut.insert(index);
    const auto& record = held.job->record();
    logEvent(log_level::warning, "item held back",
        { { "job", record.id }, { "item", record.items[index].id }, { "identity", toString(identity) },
            { "strikes", std::int64_t { guard.record(identity).strikes } },
            { "for_ms", heldBackFor.count() } });
    putBack(record.id, index, run_end::broken, heldBackFor);
    return true;
}

void bulk_process::putBack(const std::string& id, std::uint32_t index, run_end how, milliseconds pause)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    if (pause.count() == 0)
        return found->second.job->ended(index, how, now());
    auto& timer = found->second.pauses.try_emplace(index, m_loop).first->second;
    timer.arm(pause, [this, id, index, how] {
        putBack(id, index, how, milliseconds { 0 });
        pump();
    });
}

void bulk_process::itemEnded(const std::string& id, std::uint32_t index, run_end how, std::string_view reason)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    auto& held = found->second;
    const auto run = held.runs.find(index);
    const std::string target = run == held.runs.end() ? "" : run->second->target();
    const bool placed = !target.empty();
    held.runs.erase(index);
    putBack(
        id, index, how, how == run_end::aborted ? pauseAfterCuts(++held.cuts[index]) : milliseconds { 0 });
    m_figures.count("yuccachute_item_runs_total", "end",
        how == run_end::whole         ? "whole"
            : how == run_end::broken  ? (placed ? "broken" : "no place")
            : how == run_end::aborted ? "cut"
            : how == run_end::failed  ? "failed"
                                      : "impossible");
    if (placed)
        logEvent(how == run_end::whole ? log_level::info : log_level::warning, "item run",
            { { "job", id }, { "item", held.job->record().items[index].id }, { "target", target },
                { "end", static_cast<std::int64_t>(how) }, { "reason", reason } });
    pump();
}

} // namespace yuccachute
