#include "job_holder.h"

#include "logging/logging.h"

#include <algorithm>

namespace yuccachute {

namespace {

constexpr milliseconds scanInterval { 2000 };
/// The lease is considered invalid this long before its TTL has passed.
constexpr milliseconds leaseMargin { 500 };
constexpr int renewalsPerTtl = 3;

} // namespace

job_holder::job_holder(job_store& jobs, config_store& store, std::string address, holder_options options)
    : m_jobs(jobs)
    , m_store(store)
    , m_address(std::move(address))
    , m_options(options)
{
}

/// Renews the lease if that is due, or obtains a new one. Returns false if the store did not confirm a lease.
/// The TTL is counted from before the call is sent, because the store may have started it at any time since.
bool job_holder::ensureLease(steady_time now)
{
    if (m_lease != 0 && now < m_nextRenewal)
        return true;
    const auto before = now;
    if (m_lease != 0) {
        const auto renewed = m_store.renewLease(m_lease);
        if (renewed) {
            const std::scoped_lock lock(m_mutex);
            m_leaseUntil = before + m_options.leaseTtl - leaseMargin;
            m_nextRenewal = before + m_options.leaseTtl / renewalsPerTtl;
            return true;
        }
        if (renewed.error().kind != failure_kind::not_found)
            return false; // The lease may still be valid; the next call retries the renewal.
        logEvent(log_level::warning, "lease lapsed: the held jobs will be claimed again under a new lease",
            { { "jobs", static_cast<std::int64_t>(heldJobs()) } });
        const std::scoped_lock lock(m_mutex);
        m_lease = 0;
        for (auto& [id, job] : m_held)
            job.lost = true;
    }
    const auto granted = m_store.grantLease(m_options.leaseTtl);
    if (!granted)
        return false;
    const std::scoped_lock lock(m_mutex);
    m_lease = granted.value();
    m_leaseUntil = before + m_options.leaseTtl - leaseMargin;
    m_nextRenewal = before + m_options.leaseTtl / renewalsPerTtl;
    return true;
}

void job_holder::reclaimLostJobs()
{
    std::vector<std::pair<std::string, std::int64_t>> lost;
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto& [id, job] : m_held) {
            if (job.lost && !job.committing)
                lost.emplace_back(id, job.progressRevision);
        }
    }
    for (const auto& [id, revision] : lost) {
        const auto epoch = m_jobs.claim(id, m_address, m_lease, revision);
        const std::scoped_lock lock(m_mutex);
        const auto job = m_held.find(id);
        if (job == m_held.end() || !epoch)
            continue;
        if (epoch.value()) {
            job->second.epoch = *epoch.value();
            job->second.lost = false;
        } else {
            dropLocked(job);
        }
    }
}

void job_holder::maintain(steady_time now)
{
    if (ensureLease(now))
        reclaimLostJobs();
}

void job_holder::supervise(const std::function<bool(const std::string&)>& handOver, steady_time now)
{
    if (now < m_nextScan || m_stopping)
        return;
    m_nextScan = now + scanInterval;
    const auto scanned = m_jobs.scan();
    if (!scanned)
        return;
    const auto& [open, held] = scanned.value();
    // A held job that is no longer open was cancelled through another process, or ended under another holder.
    std::vector<std::string> missingIds;
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto& [id, job] : m_held) {
            if (!job.committing && !std::binary_search(open.begin(), open.end(), id))
                missingIds.push_back(id);
        }
    }
    for (const auto& id : missingIds) {
        const auto job = m_jobs.read(id);
        if ((job && job.value().progress.state != job_state::running)
            || (!job && job.error().kind == failure_kind::not_found))
            drop(id);
    }
    for (const auto& id : open) {
        if (!std::binary_search(held.begin(), held.end(), id) && !handOver(id))
            adopt(id, now);
    }
}

void job_holder::adopt(const std::string& id, steady_time now)
{
    // If the job cannot be claimed here now, because the lease is not valid or too many jobs are held, a
    // later scan by a supervisor finds a holder for it.
    if (m_stopping || heldJobs() >= m_options.maxHeldJobs)
        return;
    {
        const std::scoped_lock lock(m_mutex);
        if (m_lease == 0 || now >= m_leaseUntil)
            return;
    }
    claimJob(id);
}

void job_holder::claimJob(const std::string& id)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (m_held.contains(id))
            return;
    }
    auto stored = m_jobs.read(id);
    if (!stored || stored.value().progress.state != job_state::running)
        return;
    auto& job = stored.value();
    const auto epoch = m_jobs.claim(id, m_address, m_lease, job.progressRevision);
    if (!epoch || !epoch.value())
        return;
    auto items = m_jobs.readItems(job.record);
    if (!items) {
        logEvent(log_level::error, "job released: its items cannot be read",
            { { "job", id }, { "message", items.error().message } });
        m_jobs.release(id, *epoch.value());
        return;
    }
    held_job held;
    held.epoch = *epoch.value();
    held.progressRevision = job.progressRevision;
    held.run
        = std::make_unique<job_run>(std::move(job.record), std::move(items.value()), std::move(job.progress));
    logEvent(log_level::info, "job taken",
        { { "job", id }, { "epoch", held.epoch },
            { "remaining", static_cast<std::int64_t>(held.run->remaining()) } });
    const std::scoped_lock lock(m_mutex);
    m_held[id] = std::move(held);
}

/// Prefers the job with the earliest due time. Among jobs due in the same minute, prefers the one with the
/// fewest items started.
std::optional<work_item> job_holder::next(steady_time now)
{
    constexpr std::int64_t dueWindowMs = 60000;
    const std::scoped_lock lock(m_mutex);
    if (m_stopping || m_lease == 0 || now >= m_leaseUntil)
        return std::nullopt;
    std::vector<held_job*> candidates;
    std::size_t uncommitted = 0;
    for (auto& [id, job] : m_held) {
        uncommitted += job.run->uncommittedBytes();
        if (!job.lost && !job.run->ended())
            candidates.push_back(&job);
    }
    if (uncommitted > m_options.maxUncommittedBytes)
        return std::nullopt;
    std::sort(candidates.begin(), candidates.end(), [](const held_job* a, const held_job* b) {
        const auto dueA = a->run->record().dueMs / dueWindowMs;
        const auto dueB = b->run->record().dueMs / dueWindowMs;
        return dueA != dueB ? dueA < dueB : a->startedItems < b->startedItems;
    });
    for (auto* job : candidates) {
        const auto start = job->run->next(now);
        if (!start)
            continue;
        ++job->startedItems;
        const auto& record = job->run->record();
        const auto& item = job->run->item(start->index);
        work_item work { record.id, record.customer, record.service, record.dueMs, start->index, {},
            job->abandon };
        work.request.model = record.service;
        work.request.prompt = item.prompt + start->text;
        work.request.maxTokens = start->tokensLeft;
        work.request.stream = true;
        return work;
    }
    return std::nullopt;
}

void job_holder::finished(const work_item& item, const item_outcome& outcome, steady_time now)
{
    const std::scoped_lock lock(m_mutex);
    const auto job = m_held.find(item.jobId);
    // Each time a job is claimed it gets a new abandon flag, so a differing flag shows that the item was
    // started before this process dropped the job and claimed it again.
    if (job == m_held.end() || job->second.abandon != item.abandon) {
        ++m_droppedResults;
        return;
    }
    job->second.run->finished(item.index, outcome, now);
}

void job_holder::commitDueJobs(steady_time now, bool flush)
{
    std::vector<std::string> due;
    {
        const std::scoped_lock lock(m_mutex);
        // The commit interval grows with the number of held jobs, to limit the rate of store calls.
        const auto age
            = flush ? milliseconds { 0 } : m_options.commitAge * (1 + static_cast<int>(m_held.size()) / 8);
        for (auto& [id, job] : m_held) {
            if (!job.lost && !job.committing && job.run->isCommitDue(now, age))
                due.push_back(id);
        }
    }
    for (const auto& id : due)
        commitJob(id, now);
}

void job_holder::commitJob(const std::string& id, steady_time now)
{
    job_commit commit;
    job_record record;
    std::int64_t epoch = 0;
    std::int64_t revision = 0;
    {
        const std::scoped_lock lock(m_mutex);
        const auto job = m_held.find(id);
        if (job == m_held.end())
            return;
        job->second.committing = true;
        commit = job->second.run->beginCommit(randomId(), wallClockMs());
        record = job->second.run->record();
        epoch = job->second.epoch;
        revision = job->second.progressRevision;
    }
    const auto outcome = m_jobs.commit(record, commit, epoch, revision);
    const std::scoped_lock lock(m_mutex);
    const auto job = m_held.find(id);
    if (job == m_held.end())
        return;
    job->second.committing = false;
    if (!outcome)
        return job->second.run->commitFailed();
    if (!outcome.value()) {
        logEvent(log_level::warning,
            "commit refused: the job was cancelled or has another holder; dropping its results",
            { { "job", id }, { "results", std::int64_t { commit.results } } });
        m_droppedResults += commit.results;
        return dropLocked(job);
    }
    job->second.progressRevision = *outcome.value();
    job->second.run->committed(now);
    if (job->second.run->ended()) {
        logEvent(log_level::info, "job completed",
            { { "job", id }, { "completed", std::int64_t { commit.progress.completed } },
                { "failed", std::int64_t { commit.progress.failed } } });
        m_held.erase(job);
    }
}

void job_holder::dropLocked(job_map::iterator job)
{
    job->second.abandon->store(true);
    m_held.erase(job);
}

void job_holder::drop(const std::string& id)
{
    const std::scoped_lock lock(m_mutex);
    if (const auto job = m_held.find(id); job != m_held.end() && !job->second.committing) {
        logEvent(log_level::info, "job dropped: it is no longer running", { { "job", id } });
        dropLocked(job);
    }
}

void job_holder::releaseAll()
{
    std::map<std::string, std::int64_t> epochs;
    {
        const std::scoped_lock lock(m_mutex);
        for (auto& [id, job] : m_held) {
            job.abandon->store(true);
            epochs[id] = job.epoch;
        }
        m_held.clear();
    }
    for (const auto& [id, epoch] : epochs)
        m_jobs.release(id, epoch);
    if (m_lease != 0)
        (void)m_store.revokeLease(m_lease);
}

std::size_t job_holder::heldJobs() const
{
    const std::scoped_lock lock(m_mutex);
    return m_held.size();
}

} // namespace yuccachute
