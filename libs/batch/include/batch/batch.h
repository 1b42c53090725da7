#pragma once

#include "jobs/jobs.h"
#include "messages/messages.h"
#include "node/node.h"
#include "store/store.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The batch process: accepts bulk jobs, runs the jobs it holds and commits their results.
namespace yuccachute {

/// Stores jobs in the key-value service. Thread-safe. Keys, under /yuccachute/:
///   job/ID               job_record; replaced by a tombstone when the results expire
///   job-input/ID/N       chunk N of the items, compressed
///   job-progress/ID      job_progress, rewritten with each commit
///   job-result/ID/N      chunk N of the results, compressed
///   job-open/ID          exists while the job runs
///   job-owner/ID         address of the holder, attached to its lease; the create revision is the epoch
///   job-expiry/TIME-ID   marks the results of a completed or cancelled job for removal at TIME
class job_store {
public:
    explicit job_store(config_store& store)
        : m_store(store)
    {
    }

    /// A job and the revision of its progress; the next commit is conditional on this revision.
    struct stored_job {
        job_record record;
        job_progress progress;
        std::int64_t progressRevision = 0;
    };

    struct create_result {
        stored_job job;
        bool existed = false; ///< The job was created by an earlier submission.
    };
    /// Creates a job, or returns the one that an earlier submission created under the same id. The job is
    /// durable when this succeeds. Fails with conflict if the id belongs to a job with different items.
    result<create_result> create(job_record record, const std::vector<std::string>& chunks);

    /// Fails with not_found if there is no such job, and with gone if its results have expired.
    result<stored_job> read(std::string_view id);
    result<std::vector<job_item>> readItems(const job_record& record);
    /// Returns the result lines of one chunk, or nothing if the chunk does not exist.
    result<std::optional<std::string>> readResults(std::string_view id, std::uint32_t chunk);

    /// Sorted ids of the running jobs, and of the jobs that have a holder.
    struct scan_result {
        std::vector<std::string> open;
        std::vector<std::string> held;
    };
    result<scan_result> scan();

    /// Makes `address` the holder of a job under the given lease. Returns the epoch, or nothing if the job
    /// has a holder or its progress is not at `progressRevision`.
    result<std::optional<std::int64_t>> claim(
        std::string_view id, std::string_view address, std::int64_t lease, std::int64_t progressRevision);
    /// Gives up a job held in this epoch. Best effort: if this fails, the owner key is removed with its
    /// lease.
    void release(std::string_view id, std::int64_t epoch);
    /// Returns the address of the process that holds a job, or nothing if the job is unheld.
    result<std::optional<std::string>> holder(std::string_view id);

    /// Commits results and progress in one transaction, on condition that the owner key still has this epoch
    /// and the progress is still at `progressRevision`. Returns the new revision of the progress, or nothing
    /// if the holder has been replaced or the job was cancelled. If the reply is lost, reads the progress
    /// back to find out whether the commit took effect.
    result<std::optional<std::int64_t>> commit(const job_record& record, const job_commit& commit,
        std::int64_t epoch, std::int64_t progressRevision);

    /// Cancels a running job. A completed or cancelled job is returned unchanged.
    result<stored_job> cancel(std::string_view id, std::string token, std::int64_t nowMs);

    /// Removes the results of at most `maxJobs` expired jobs and returns the number of these jobs.
    result<std::size_t> removeExpired(std::int64_t nowMs, std::size_t maxJobs);

private:
    config_store& m_store;
};

class batch_process {
public:
    explicit batch_process(const process_options& options);
    /// Graceful shutdown: starts no further items, waits for running ones up to process_options::stopLimit,
    /// commits their results and releases all jobs.
    ~batch_process();
    batch_process(const batch_process&) = delete;
    batch_process& operator=(const batch_process&) = delete;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace yuccachute
