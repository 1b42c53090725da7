#pragma once

#include "bulk/bulk.h"
#include "event_loop/event_loop.h"
#include "fleet/fleet.h"
#include "front/front.h"
#include "http/http.h"
#include "process_settings/process_settings.h"
#include "serving/serving.h"
#include "store/store.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The batch process on a platform: keeps batch jobs in the platform's store and runs their items. Layer:
/// processes.
namespace yuccachute {

// --- What the platform's adapter decodes
// ----------------------------------------------------------------------

struct read_results_call {
    std::string jobId;
    std::size_t after = 0; ///< Position of the first result wanted.
    milliseconds wait { 0 };
};

struct read_item_body_call {
    std::string jobId;
    std::string itemId;
};

struct cancel_job_call {
    std::string jobId;
};

using bulk_job_call = std::variant<read_results_call, read_item_body_call, cancel_job_call>;

/// An operator's order to empty a VM.
struct retirement_order {
    std::string vm;
    std::int64_t revision = 0;
};

/// Callers' calls on batch jobs and operators' orders, as a platform writes them. Stateless.
class bulk_protocol {
public:
    virtual ~bulk_protocol() = default;
    /// Nothing if the request is no call on an existing job.
    virtual std::optional<bulk_job_call> parseCall(const http_request& request) const = 0;
    /// A submission; the failure names the field.
    virtual result<bulk_record> parseSubmission(const http_request& request) const = 0;
    /// Results from a position on, up to a bound in bytes but at least one if there is one.
    virtual http_reply writeResults(const bulk_record& record, std::span<const bulk_result> results,
        std::size_t after, std::size_t maxBytes) const = 0;
    /// The request for a target that an item stands for.
    virtual http_request itemRequest(const bulk_record& record, const bulk_item& item) const = 0;
    /// Orders among what operators have written.
    virtual std::vector<retirement_order> retirements(const store_section& orders) const = 0;
    /// Key and value that report on an order.
    virtual store_write retirementReport(const std::string& vm, bool done) const = 0;
};

// --- Jobs in the store
// ---------------------------------------------------------------------------------------

/// Keeps jobs in the platform's store. Keys, all under yuccachute/:
///   job/ID         record, written once; the first part of it if it is larger than a value of the store
///   part/ID/N      N-th further part of the record
///   open/ID        holder of a job that is not finished, and its claim on the limit of waiting tokens
///   open/ID/left   what is left of that claim, once results were listed
///   progress/ID    how far the items without a result had come a moment ago
///   tokens/ROUTE   account of the limit (job_admission)
///   result/ID/N    N-th group of results, written once
///   end/ID         "complete" or "ended"
///
/// A group is written on two conditions: its key is absent, and open/ID has not changed since this process
/// took the job. So results never change or stand twice, whatever was believed while a process was paused or
/// a lease had vanished, and a call that is executed late cannot do harm.
class bulk_job_store {
public:
    template <typename T> using callback = std::function<void(result<T>)>;

    struct creation {
        std::int64_t openRevision = 0; ///< Of open/ID, if this call created the job; else 0.
    };

    struct stored_job {
        bulk_record record;
        std::vector<bulk_result_group> groups;
        std::vector<item_progress> progress; ///< Of an unfinished job; may be missing.
        std::optional<bulk_holder> holder; ///< Of an unfinished job.
        token_claim claim;
        std::int64_t openRevision = 0;
        bool cancelled = false; ///< By its caller.
    };

    enum class commit_result : std::uint8_t {
        committed,
        lost ///< Another process holds the job, or it has been ended.
    };

    struct open_job {
        std::string id;
        bulk_holder holder;
        token_claim claim;
        std::uint64_t tokensRemaining = 0; ///< Of the claim, for items without a result.
        std::int64_t revision = 0;
    };

    struct open_jobs {
        std::vector<open_job> jobs;
        std::int64_t revision = 0; ///< Jobs that were created later are not among them.
    };

    /// `valueBytes` is the largest value that the store takes.
    bulk_job_store(event_loop& loop, async_store& store, bulk_holder self, std::size_t valueBytes);

    /// Creates a job, or finds the one that an earlier submission created: the job is durable when this
    /// reports success. A failure with verdict not_run says that it does not exist and was not created; one
    /// with may_have_run that this is not known. A job that does not fit is refused with too_large.
    void create(const bulk_record& record, token_claim claim, callback<creation> done);
    /// The call that creates a job; its first condition is that there is none. Fails with too_large.
    result<store_transaction> makeCreation(const bulk_record& record, token_claim claim) const;
    /// Reads a job; fails with not_found only if the store has just said that there is none.
    void load(const std::string& id, callback<stored_job> done);
    /// The same of an unfinished job, without progress, for whoever only reads it. `open` is what
    /// readOpenJob() or listOpen() has just told of it: the results are read after that, so no holder can
    /// have committed more before.
    void loadResults(const std::string& id, const open_job& open, callback<stored_job> done);
    /// Who holds an unfinished job, and since which revision; nothing if the job is finished, ended or not
    /// there.
    void readOpenJob(const std::string& id, callback<std::optional<open_job>> done);
    /// Takes a job whose holder has gone; reports the new revision of open/ID, or 0 if somebody else was
    /// first.
    void takeOver(const open_job& job, callback<std::int64_t> done);
    /// A group of results to be committed.
    struct group_commit {
        std::size_t number = 0;
        const bulk_result_group& group;
        std::int64_t openRevision = 0;
        bool completes = false;
        std::optional<std::uint64_t> tokensRemaining; ///< Of the job's claim, if it has one.
    };
    /// Commits a group, again and again until the outcome is known. A failure means that it is not known yet.
    void commit(const std::string& id, const group_commit& commit, callback<commit_result> done);
    /// The same for a group of one of several jobs.
    struct job_commit {
        std::string id;
        group_commit commit;
    };
    /// How many of these, from the first on, fit into one call; at least one.
    std::size_t fittingOneCall(std::span<const job_commit> jobs) const;
    /// Commits groups of several jobs by one call. Reports false if a condition of one of them did not hold:
    /// then none was committed, and each is to be committed alone, which tells what became of it. A failure
    /// means that it is not known; then, too, the same groups are committed again, together or alone.
    void commitTogether(std::span<const job_commit> jobs, callback<bool> done);
    /// Progress of a job to be saved.
    struct progress_save {
        std::string id;
        std::int64_t openRevision = 0;
        std::string encoded; ///< By encodeItemProgress().
    };
    /// At most so many jobs can be saved by one call.
    static constexpr std::size_t maxSavesPerCall = 15;
    /// Saves progress of several jobs by one call. If one of them has been taken by another process, none is
    /// saved.
    void saveProgress(std::span<const progress_save> jobs, callback<bool> done);
    /// Ends a job on its caller's behalf. Fails with not_found if there is none.
    void end(const std::string& id, callback<bool> done);
    void listOpen(callback<open_jobs> done);
    /// Removes what is left of a job, in groups.
    void remove(const bulk_record& record, std::size_t groups);

private:
    void resolveCreation(
        std::shared_ptr<const store_transaction> creating, unsigned attempt, callback<creation> done);
    void readRecord(const std::string& id, callback<bulk_record> done);
    void readParts(const std::string& id, std::shared_ptr<std::string> encoded, std::size_t next,
        std::size_t parts, callback<bulk_record> done);
    /// Notes the holder, and reads the results.
    void readGroups(
        std::shared_ptr<stored_job> job, const std::optional<open_job>& open, callback<stored_job> done);
    void readProgress(std::shared_ptr<stored_job> job, callback<stored_job> done);
    void appendCommit(store_transaction& committing, const std::string& id, const group_commit& commit) const;
    void resolveCommit(
        const std::string& id, std::size_t number, const std::string& token, callback<commit_result> done);
    void tryEnd(const std::string& id, unsigned attempt, callback<bool> done);

    event_loop& m_loop;
    async_store& m_store;
    bulk_holder m_self;
    std::size_t m_valueBytes;
};

struct bulk_adapter {
    const fleet_codec& documents;
    const caller_protocol& callers;
    const bulk_protocol& jobs;
    const load_protocol& loads;
};

/// Runs the batch process until it is told to stop. Returns the exit code.
int runBulkProcess(const process_settings& settings, const bulk_adapter& adapter,
    const std::function<std::unique_ptr<async_store>(http_client&)>& connect);

} // namespace yuccachute
