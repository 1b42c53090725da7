#pragma once

#include "batch/batch.h"

namespace yuccachute {

/// Times and bounds of a batch process.
struct holder_options {
    std::chrono::seconds leaseTtl { 30 };
    milliseconds commitAge { 2000 };
    std::size_t maxHeldJobs = 64; ///< Held at once.
    std::size_t maxUncommittedBytes = 64u << 20; ///< Beyond that no item is started until a commit succeeds.
};

/// An item handed to a worker.
struct work_item {
    std::string jobId;
    std::string customer;
    std::string service;
    std::int64_t dueMs = 0;
    std::uint32_t index = 0;
    completion_request request; ///< With the text of earlier attempts in the prompt.
    std::shared_ptr<std::atomic<bool>> abandon; ///< Set when the job is cancelled or lost.
};

/// The jobs that this process holds under its lease: takes them, hands out their items, commits their
/// results, gives them up. Thread-safe.
///
/// Rule for an unreachable store: items are started only while the lease is known to be alive, counted from
/// the moment before its last renewal was sent. After that another process may hold the job as soon as the
/// store answers it, and this process cannot know; what is running goes on, and its results are kept. When
/// the store answers again and nobody has taken the job, which the owner key's absence and the unchanged
/// progress prove in one transaction, the job is taken again with those results; otherwise they are dropped,
/// because the other holder commits its own.
class job_holder {
public:
    job_holder(job_store& jobs, config_store& store, std::string address, holder_options options);

    /// Renews the lease and retakes lost jobs.
    void maintain(steady_time now);
    /// Looks through the running jobs, now and then. Whoever supervises takes the unheld ones that `handOver`
    /// does not find another holder for; with three supervisors whatever the fleet's size, the calls do not
    /// grow with it.
    void supervise(const std::function<bool(const std::string& id)>& handOver, steady_time now);
    void commitDueJobs(steady_time now, bool flush);
    /// Takes a job that was just accepted here, or that a supervisor found unheld.
    void adopt(const std::string& id, steady_time now);

    /// The item to run next, or nothing now.
    std::optional<work_item> next(steady_time now);
    void finished(const work_item& item, const item_outcome& outcome, steady_time now);

    /// Stops a job that was cancelled or taken over.
    void drop(const std::string& id);
    /// No further items are handed out.
    void stopStarting() { m_stopping = true; }
    /// Gives all jobs back.
    void releaseAll();

    std::size_t heldJobs() const;
    std::uint64_t droppedResults() const { return m_droppedResults; }

private:
    struct held_job {
        std::unique_ptr<job_run> run;
        std::int64_t epoch = 0;
        std::int64_t progressRevision = 0;
        bool committing = false;
        bool lost = false; ///< The lease lapsed; the job may be retaken.
        std::shared_ptr<std::atomic<bool>> abandon = std::make_shared<std::atomic<bool>>(false);
        std::uint64_t startedItems = 0; ///< Items handed out, to share among jobs.
    };
    using job_map = std::map<std::string, held_job, std::less<>>;

    bool ensureLease(steady_time now);
    void reclaimLostJobs();
    void claimJob(const std::string& id);
    void commitJob(const std::string& id, steady_time now);
    void dropLocked(job_map::iterator job);

    job_store& m_jobs;
    config_store& m_store;
    std::string m_address;
    holder_options m_options;
    mutable std::mutex m_mutex;
    job_map m_held;
    std::int64_t m_lease = 0;
    steady_time m_leaseUntil;
    steady_time m_nextRenewal;
    steady_time m_nextScan;
    std::atomic<bool> m_stopping { false };
    std::atomic<std::uint64_t> m_droppedResults { 0 };
};

} // namespace yuccachute
