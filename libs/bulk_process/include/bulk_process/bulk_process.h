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

/// The batch process on a platform: stores batch jobs in the platform's store and runs their items. Layer:
/// processes.
namespace yuccachute {

// --- Types decoded by the platform adapter

struct read_results_call {
    std::string jobId;
    std::size_t after = 0; ///< Position of the first result to return.
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

/// An operator's order to empty a VM, that is, to move its jobs to other VMs.
struct retirement_order {
    std::string vm;
    std::int64_t revision = 0;
};

/// Platform-specific encoding of callers' requests for batch jobs and of operators' orders. Stateless.
class bulk_protocol {
public:
    virtual ~bulk_protocol() = default;
    /// Returns nullopt if the request does not refer to an existing job.
    virtual std::optional<bulk_job_call> parseCall(const http_request& request) const = 0;
    /// The id that a submission gives to its job, unchecked.
    virtual std::string_view submittedId(const http_request& request) const = 0;
    /// Parses the submission of a job. A failure names the invalid field.
    virtual result<bulk_record> parseSubmission(const http_request& request) const = 0;
    /// Encodes results starting at position `after`, at most `maxBytes` of them, but at least one if there is
    /// one.
    virtual http_reply writeResults(const bulk_record& record, std::span<const bulk_result> results,
        std::size_t after, std::size_t maxBytes) const = 0;
    /// Builds the request that is sent to a target for an item.
    virtual http_request itemRequest(const bulk_record& record, const bulk_item& item) const = 0;
    /// Extracts the retirement orders from the section that operators write.
    virtual std::vector<retirement_order> retirements(const store_section& orders) const = 0;
    /// Returns the key and value that report the state of an order.
    virtual store_write retirementReport(const std::string& vm, bool done) const = 0;
};

// --- Jobs in the store

/// Stores jobs in the platform's store. All keys are under yuccachute/:
///   job/ID         immutable record, or its first part if it exceeds the size limit of a value
///   part/ID/N      Nth further part of the record
///   open/ID        holder of an unfinished job, and its claim on the token limit
///   open/ID/left   remaining tokens of the claim, once results were committed
///   progress/ID    last saved progress of the items without a result
///   tokens/ROUTE   token account of the limit (see job_admission)
///   result/ID/N    Nth group of results, immutable
///   end/ID         "complete" or "ended" (cancelled)
///
/// A group is written under two conditions: its key does not exist, and open/ID has not changed since this
/// process became the holder. Therefore results never change and are never duplicated, even if a process was
/// paused, a lease expired unnoticed, or the store executes a call late.
class bulk_job_store {
public:
    template <typename T> using callback = std::function<void(result<T>)>;

    struct creation {
        std::int64_t openRevision = 0; ///< Revision of open/ID if this call created the job, otherwise 0.
    };

    struct stored_job {
        bulk_record record;
        std::vector<bulk_result_group> groups;
        std::vector<item_progress> progress; ///< Only of an open job; may be empty.
        std::optional<bulk_holder> holder; ///< Only of an open job.
        token_claim claim;
        std::int64_t openRevision = 0;
        bool cancelled = false; ///< Cancelled by its caller.
    };

    enum class commit_result : std::uint8_t {
        committed,
        lost ///< The job was taken over by another process, or cancelled.
    };

    struct open_job {
        std::string id;
        bulk_holder holder;
        token_claim claim;
        std::uint64_t tokensRemaining = 0; ///< Tokens of the claim for items without a result.
        std::int64_t revision = 0;
    };

    struct open_jobs {
        std::vector<open_job> jobs;
        std::int64_t revision = 0; ///< Store revision of the listing; jobs created later are missing from it.
        bool reusedConnection = false; ///< As in store_listing.
        unsigned repeatedCalls = 0; ///< As in store_listing.
    };

    /// `valueBytes` is the size limit of a value in the store.
    bulk_job_store(event_loop& loop, async_store& store, bulk_holder self, std::size_t valueBytes);

    /// Creates a job, or finds it if an earlier submission created it. On success the job is durable. A
    /// failure with verdict not_run means that the job does not exist and was not created; with may_have_run,
    /// that this is unknown. Fails with too_large if the job exceeds the limits of the store.
    void create(const bulk_record& record, token_claim claim, callback<creation> done);
    /// Returns the transaction that creates a job. Its first condition is that the job does not exist. Fails
    /// with too_large.
    result<store_transaction> makeCreation(const bulk_record& record, token_claim claim) const;
    /// Reads a job. Fails with not_found only if the store has confirmed that the job does not exist.
    void load(const std::string& id, callback<stored_job> done);
    /// Reads an open job without its progress, for callers that only need the results. `open` must come from
    /// a preceding readOpenJob() or listOpen(): the results are read afterwards, so they include everything
    /// that its holder had committed by then.
    void loadResults(const std::string& id, const open_job& open, callback<stored_job> done);
    /// Reads the holder of a job and the revision of that entry. Returns nullopt if the job is finished,
    /// cancelled or does not exist.
    void readOpenJob(const std::string& id, callback<std::optional<open_job>> done);
    /// Becomes the holder of a job whose previous holder is no longer registered. Returns the new revision of
    /// open/ID, or 0 if another process was faster.
    void takeOver(const open_job& job, callback<std::int64_t> done);
    /// A group of results to be committed.
    struct group_commit {
        std::size_t number = 0;
        const bulk_result_group& group;
        std::int64_t openRevision = 0;
        bool completes = false;
        std::optional<std::uint64_t> tokensRemaining; ///< Remaining tokens of the job's claim, if it has one.
    };
    /// Commits a group. A failure means that the outcome is unknown; the caller must then commit the same
    /// group again.
    void commit(const std::string& id, const group_commit& commit, callback<commit_result> done);
    /// A group of results together with the job that it belongs to.
    struct job_commit {
        std::string id;
        group_commit commit;
    };
    /// Returns how many of these commits, counted from the first, fit into one transaction; at least one.
    std::size_t fittingOneCall(std::span<const job_commit> jobs) const;
    /// Commits groups of several jobs in one transaction. Returns false if a condition of any of them did not
    /// hold. None is committed then, and the caller must commit each one separately to learn its outcome. A
    /// failure means that the outcome is unknown; the caller must commit the same groups again, together or
    /// separately.
    void commitTogether(std::span<const job_commit> jobs, callback<bool> done);
    /// Progress of a job to be saved.
    struct progress_save {
        std::string id;
        std::int64_t openRevision = 0;
        std::string encoded; ///< Encoded by encodeItemProgress().
    };
    /// Maximum number of jobs per saveProgress() call.
    static constexpr std::size_t maxSavesPerCall = 15;
    /// Saves the progress of several jobs in one transaction. Returns false and saves nothing if another
    /// process has taken over one of them.
    void saveProgress(std::span<const progress_save> jobs, callback<bool> done);
    /// Cancels a job for its caller. Returns the holder that it had; nothing if it had been finished or
    /// cancelled before. Fails with not_found if the job does not exist.
    void end(const std::string& id, callback<std::optional<bulk_holder>> done);
    void listOpen(callback<open_jobs> done);
    /// Removes all keys of a job, in several transactions if necessary. `groups` is the number of its result
    /// groups.
    /// `parts`: result of partsOf() for the record as it was stored.
    void remove(const bulk_record& record, std::size_t groups, std::size_t parts);
    /// Returns an upper bound for the number of parts that the record is stored in.
    std::size_t partsOf(const bulk_record& record) const;

private:
    void resolveCreation(
        std::shared_ptr<const store_transaction> creating, unsigned attempt, callback<creation> done);
    void readRecord(const std::string& id, callback<bulk_record> done);
    void readParts(const std::string& id, std::shared_ptr<std::string> encoded, std::size_t next,
        std::size_t parts, callback<bulk_record> done);
    /// Sets the holder and reads the results.
    void readGroups(
        std::shared_ptr<stored_job> job, const std::optional<open_job>& open, callback<stored_job> done);
    void readProgress(std::shared_ptr<stored_job> job, callback<stored_job> done);
    void appendCommit(store_transaction& committing, const std::string& id, const group_commit& commit) const;
    void resolveCommit(
        const std::string& id, std::size_t number, const std::string& token, callback<commit_result> done);
    /// `known` is the holder as an earlier attempt read it, which may have taken effect unnoticed.
    void tryEnd(const std::string& id, unsigned attempt, std::optional<bulk_holder> known,
        callback<std::optional<bulk_holder>> done);

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
