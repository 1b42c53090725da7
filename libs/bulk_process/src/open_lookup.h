#pragma once

#include "bulk_process/bulk_process.h"

#include <map>
#include <string>
#include <vector>

namespace yuccachute {

/// Tells who holds a job as the store knows it. On the loop's thread.
///
/// While a process cannot be sure of what it holds, because its registration was not confirmed for a second
/// or because it has just started, each question of a caller about a job is one for the store. Callers ask
/// twice a second for each job: 250 jobs were 500 calls a second, as long as the doubt lasted. So questions
/// that come close together share one listing of all unfinished jobs.
class open_lookup {
public:
    using callback = bulk_job_store::callback<std::optional<bulk_job_store::open_job>>;

    open_lookup(event_loop& loop, bulk_job_store& jobStore);

    /// The answer is the store's of a moment after the question; nothing if the job is finished, ended or not
    /// there.
    void lookUp(const std::string& jobId, callback done);

private:
    using pending_lookups = std::multimap<std::string, callback>;

    void schedule();
    void send();
    void deliver(const pending_lookups& sent, const result<bulk_job_store::open_jobs>& open);
    void callFinished();

    bulk_job_store& m_jobStore;
    loop_timer m_timer;
    pending_lookups m_pending;
    steady_time m_nextCall;
    bool m_calling = false;
};

} // namespace yuccachute
