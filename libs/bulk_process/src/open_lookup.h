#pragma once

#include "bulk_process/bulk_process.h"

#include <map>
#include <string>
#include <vector>

namespace yuccachute {

/// Looks up the holders of jobs in the store. Not thread-safe; runs on the event loop's thread.
///
/// A process that has just started, or whose registration was not confirmed for a second, cannot answer
/// callers from memory and must ask the store. Callers poll each job twice per second, so 250 jobs would
/// cause 500 store calls per second. Lookups that arrive close together therefore share one listing of all
/// open jobs.
class open_lookup {
public:
    using callback = bulk_job_store::callback<std::optional<bulk_job_store::open_job>>;

    open_lookup(event_loop& loop, bulk_job_store& jobStore);

    /// Calls `done` with the state in the store at some time after this call, or with nullopt if the job is
    /// finished, cancelled or does not exist.
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
