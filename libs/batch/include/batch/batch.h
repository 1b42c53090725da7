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

/// The batch process: accepts jobs, runs those it holds, commits their results.
namespace yuccachute {

/// Jobs in the key-value service. Thread-safe. Keys, under /yuccachute/:
///   job/ID               record, written once
///   job-input/ID/N       items, compressed
///   job-progress/ID      progress, rewritten with each commit
///   job-result/ID/N      results, compressed
///   job-open/ID          exists while the job runs
///   job-owner/ID         address of the holder, under its lease; its create revision is the epoch
///   job-expiry/TIME-ID   when what is left of an ended job is to be removed
class job_store {
public:
    explicit job_store(config_store& store)
        : m_store(store)
    {
    }

    /// A job with the revision of its progress, which the next commit must name.
    struct stored_job {
        job_record record;
        job_progress progress;
        std::int64_t progressRevision = 0;
    };

    /// Creates a job, or finds the one that an earlier submission under the same id created. It is durable
    /// when this returns. Fails with conflict if the id belongs to a job with other items.
    struct create_result {
        stored_job job;
        bool existed = false;
    };
    result<create_result> create(job_record record, const std::vector<std::string>& chunks);

    /// Fails with not_found, or with gone once its results have expired.
    result<stored_job> read(std::string_view id);
    result<std::vector<job_item>> readItems(const job_record& record);
    /// Result lines of one chunk; nothing if it is not there.
    result<std::optional<std::string>> readResults(std::string_view id, std::uint32_t chunk);

    /// Ids of running jobs, and of those that are held.
    struct scan_result {
        std::vector<std::string> open;
        std::vector<std::string> held;
    };
    result<scan_result> scan();

    /// Takes a job that nobody holds. Returns the epoch, or nothing if somebody holds it or its progress is
    /// not the one named.
    result<std::optional<std::int64_t>> claim(
        std::string_view id, std::string_view address, std::int64_t lease, std::int64_t progressRevision);
    /// Gives a job back. Best effort: the lease ends it otherwise.
    void release(std::string_view id, std::int64_t epoch);
    result<std::optional<std::string>> holder(std::string_view id);

    /// Commits results and progress in one step, if the epoch is still the holder's and the progress is the
    /// one it knows. Returns the new revision of the progress, or nothing if the holder has been replaced or
    /// the job cancelled. A lost reply is settled by reading.
    result<std::optional<std::int64_t>> commit(const job_record& record, const job_commit& commit,
        std::int64_t epoch, std::int64_t progressRevision);

    /// Cancels a job; one that has ended stays as it is.
    result<stored_job> cancel(std::string_view id, std::string token, std::int64_t nowMs);

    /// Removes what is left of expired jobs, a few at a time. Returns how many.
    result<std::size_t> removeExpired(std::int64_t nowMs, std::size_t maxJobs);

private:
    config_store& m_store;
};

class batch_process {
public:
    explicit batch_process(const process_options& options);
    /// Graceful shutdown: starts no further items, lets running ones finish up to the limit, commits, and
    /// gives its jobs back.
    ~batch_process();
    batch_process(const batch_process&) = delete;
    batch_process& operator=(const batch_process&) = delete;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace yuccachute
