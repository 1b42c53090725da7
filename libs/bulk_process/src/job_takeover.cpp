#include "process.h"

#include <algorithm>

namespace yuccachute {

void bulk_process::scan()
{
    m_scan.started(bootClockNow());
    m_jobStore.listOpen(
        [this, generation = m_registration.generation()](result<bulk_job_store::open_jobs> open) {
            if (!open) {
                m_scan.failed(open.error().kind, bootClockNow());
                return logFailedScan(open.error());
            }
            m_scan.succeeded();
            logListing(open.value());
            m_admission.updateListing(open.value(), now());
            reconcile(open.value(), m_scan.requestedAt());
            // A frozen process may register again while it still believes that it holds jobs that others have
            // taken over. From here on its jobs are known to match this registration.
            m_reconciledGeneration = generation;
        });
}

void bulk_process::logFailedScan(const failure& error) const
{
    logEvent(log_level::warning, "open jobs could not be listed",
        { { "jobs", static_cast<std::int64_t>(m_jobs.size()) }, { "took_ms", msSince(m_scan.requestedAt()) },
            { "listing_age_ms", m_scan.listedAt() ? msSince(*m_scan.listedAt()) : -1 },
            { "kind", toString(error.kind) }, { "store_silent_ms", storeSilence().count() },
            { "message", error.message } });
}

void bulk_process::logListing(const bulk_job_store::open_jobs& open) const
{
    if (m_jobs.empty())
        return;
    logEvent(log_level::info, "open jobs listed",
        { { "held", static_cast<std::int64_t>(m_jobs.size()) },
            { "open", static_cast<std::int64_t>(open.jobs.size()) },
            { "took_ms", msSince(m_scan.requestedAt()) },
            { "reused_connection", std::int64_t { open.reusedConnection } },
            { "repeated_calls", static_cast<std::int64_t>(open.repeatedCalls) },
            { "revision", open.revision } });
}

std::int64_t bulk_process::msSince(steady_time bootTime)
{
    return std::chrono::duration_cast<milliseconds>(bootClockNow() - bootTime).count();
}

void bulk_process::reconcile(const bulk_job_store::open_jobs& open, steady_time requestedAt)
{
    std::set<std::string, std::less<>> listed;
    for (const auto& job : open.jobs) {
        listed.insert(job.id);
        const auto held = m_jobs.find(job.id);
        const bool mine = job.holder == bulk_holder { m_self.vm, m_self.incarnation };
        if (held != m_jobs.end() && held->second.openRevision == job.revision) {
            held->second.openAt = std::max(held->second.openAt, requestedAt);
            continue;
        }
        if (held != m_jobs.end() && held->second.openRevision != 0 && job.revision > held->second.openRevision
            && !mine) {
            logEvent(log_level::warning, "job taken by another",
                { { "job", job.id }, { "holder", job.holder.vm }, { "revision", job.revision } });
            dropHeldJob(held);
            continue;
        }
        if (mine && !m_leaving)
            loadOwnJob(job);
        else if (!mine && shouldTakeOver(job) && hasMemoryFor(job))
            takeOver(job);
    }
    for (auto job = m_jobs.begin(); job != m_jobs.end();) {
        const auto current = job++;
        const auto& held = current->second;
        const bool missing = held.openRevision != 0 && held.openRevision <= open.revision
            && !listed.contains(current->first);
        if (!missing || held.committing)
            continue; // Its last commit may have closed the job.
        // The job was cancelled, or another process took it over and finished it while this one was frozen.
        // Its results are known only to the store.
        logEvent(log_level::info, "job closed by another process; dropping it",
            { { "job", current->first }, { "runs", static_cast<std::int64_t>(held.runs.size()) },
                { "revision", open.revision } });
        dropHeldJob(current);
    }
}

bool bulk_process::shouldTakeOver(const bulk_job_store::open_job& job) const
{
    if (m_leaving || !m_fleet.nodeListReliable(now()) || m_loadingJobs.contains(job.id))
        return false;
    auto nodes = m_fleet.registered(node_role::batch);
    const bool holderLives = std::any_of(nodes.begin(), nodes.end(), [&](const auto& node) {
        return !node.leaving && node.vm == job.holder.vm && node.incarnation == job.holder.incarnation;
    });
    std::erase_if(nodes, [](const auto& node) { return node.leaving; });
    if (holderLives || nodes.empty())
        return false;
    const auto seed = hashText(job.id);
    const auto first = std::max_element(nodes.begin(), nodes.end(), [&](const auto& left, const auto& right) {
        return hashText(left.vm, seed) < hashText(right.vm, seed);
    });
    return first->vm == m_self.vm;
}

/// A job that is not taken over waits in the store until a later listing finds memory for it.
bool bulk_process::hasMemoryFor(const bulk_job_store::open_job& job) const
{
    const bool fits = m_memory->fits(memory_budget::mediumBytes + 1);
    if (!fits)
        logEvent(log_level::warning, "job without holder waits for memory",
            { { "job", job.id }, { "used_bytes", static_cast<std::int64_t>(m_memory->used()) } });
    return fits;
}

void bulk_process::takeOver(const bulk_job_store::open_job& job)
{
    logEvent(log_level::info, "job without holder",
        { { "job", job.id }, { "holder", job.holder.vm }, { "revision", job.revision } });
    m_loadingJobs.insert(job.id);
    m_jobStore.takeOver(job, [this, id = job.id](result<std::int64_t> revision) {
        m_loadingJobs.erase(id);
        if (revision && revision.value() != 0)
            loadOwnJob({ id, {}, {}, 0, revision.value() });
    });
}

void bulk_process::loadOwnJob(const bulk_job_store::open_job& job)
{
    if (!m_loadingJobs.insert(job.id).second)
        return;
    m_jobStore.load(
        job.id, [this, id = job.id, sent = bootClockNow()](result<bulk_job_store::stored_job> stored) {
            m_loadingJobs.erase(id);
            if (!stored) {
                logEvent(log_level::warning, "job could not be loaded; retrying",
                    { { "job", id }, { "message", stored.error().message } });
                m_scan.request(bootClockNow() + commitRetryDelay);
                return;
            }
            const bool mine = stored.value().holder == bulk_holder { m_self.vm, m_self.incarnation };
            if (!mine || m_leaving)
                return;
            logEvent(log_level::info, "job taken",
                { { "job", id }, { "revision", stored.value().openRevision },
                    { "groups", static_cast<std::int64_t>(stored.value().groups.size()) } });
            addHeldJob(std::move(stored.value()), sent);
        });
}

} // namespace yuccachute
