#include "open_lookup.h"

#include <algorithm>
#include <iterator>

namespace yuccachute {

namespace {

/// Minimum time between calls. Callers wait 1.5 s for a reply and poll twice per second, so they are not
/// affected.
constexpr milliseconds minCallInterval { 200 };

} // namespace

open_lookup::open_lookup(event_loop& loop, bulk_job_store& jobStore)
    : m_jobStore(jobStore)
    , m_timer(loop)
{
}

void open_lookup::lookUp(const std::string& jobId, callback done)
{
    m_pending.emplace(jobId, std::move(done));
    schedule();
}

void open_lookup::schedule()
{
    if (m_pending.empty() || m_calling || m_timer.armed())
        return;
    if (std::chrono::steady_clock::now() >= m_nextCall)
        return send();
    m_timer.armAt(m_nextCall, [this] { send(); });
}

void open_lookup::send()
{
    m_calling = true;
    m_nextCall = std::chrono::steady_clock::now() + minCallInterval;
    auto sent = std::exchange(m_pending, {});
    const auto& job = sent.begin()->first;
    if (sent.count(job) < sent.size())
        return m_jobStore.listOpen(
            [this, sent = std::move(sent)](
                const result<bulk_job_store::open_jobs>& open) { deliver(sent, open); });
    // All lookups are for the same job: reading its key is cheaper than the listing.
    m_jobStore.readOpenJob(job, [this, sent](const result<std::optional<bulk_job_store::open_job>>& open) {
        callFinished();
        for (const auto& [id, done] : sent)
            done(open);
    });
}

void open_lookup::deliver(const pending_lookups& sent, const result<bulk_job_store::open_jobs>& open)
{
    callFinished();
    for (const auto& lookup : sent) {
        const auto& done = lookup.second;
        if (!open) {
            done(open.error());
            continue;
        }
        const auto& jobs = open.value().jobs;
        const auto found
            = std::find_if(jobs.begin(), jobs.end(), [&](const auto& job) { return job.id == lookup.first; });
        done(found == jobs.end() ? std::nullopt : std::optional(*found));
    }
}

void open_lookup::callFinished()
{
    m_calling = false;
    schedule();
}

} // namespace yuccachute
