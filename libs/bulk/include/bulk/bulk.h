#pragma once

#include "verdict/verdict.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Batch jobs whose items are requests for targets: what is stored of them, and the decisions of the process
/// that holds one. Layer: coordination. No I/O, not thread-safe.
namespace yuccachute {

/// One request of a batch job.
struct bulk_item {
    std::string id;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers; ///< As submitted, by the platform's names.
    std::string body;
    std::uint64_t tokens = 0; ///< Of prompt and answer together, at most.
};

/// Written once, when the job is accepted.
struct bulk_record {
    std::string id;
    std::string host; ///< Host of the submission; its items go to routes of that host.
    std::int64_t acceptedMs = 0; ///< Milliseconds since 1970.
    std::vector<bulk_item> items;
    std::string customer; ///< Empty in a deployment without customers. The job outlives the customer's keys.
};

/// By which a job is known: the id that its customer gave it, within the customer's own ids. So a job of
/// another customer is not found under the same id. `id` holds letters, digits, '-', '_' and '.' only.
std::string customerScopedId(std::string_view customer, std::string_view id);

/// Tokens of all items of a job.
std::uint64_t tokensOf(const bulk_record& record);

std::string encodeRecord(const bulk_record& record);
result<bulk_record> decodeBulkRecord(std::string_view bytes);

/// The final state of one item.
struct bulk_result {
    std::uint32_t index = 0; ///< Of the item in its job.
    bool done = false; ///< Otherwise the item was given up.
    std::string text; ///< Data of all events, separated by line feeds; empty if given up.
};

/// Results that are committed in one step. They stand at the positions after those of the groups before.
struct bulk_result_group {
    std::string token; ///< Of the commit: tells one's own write from another's after a lost answer.
    std::vector<bulk_result> results;
};

std::string encodeGroup(const bulk_result_group& group);
result<bulk_result_group> decodeGroup(std::string_view bytes);

/// Who holds a job that is not finished.
struct bulk_holder {
    std::string vm;
    std::uint64_t incarnation = 0;

    bool operator==(const bulk_holder&) const = default;
};

/// Tokens of a job that count against the limit of its customer on its route.
struct token_claim {
    std::string route; ///< Names the customer, too, if the job has one. Empty if the job's route was not
                       ///< known when it was accepted.
    std::uint64_t tokens = 0;

    bool operator==(const token_claim&) const = default;
};

/// What is stored of an unfinished job beside its record.
struct open_job_record {
    bulk_holder holder;
    token_claim claim;
};

std::string encodeOpenJob(const open_job_record& openJob);
result<open_job_record> decodeOpenJob(std::string_view bytes);

/// The unfinished jobs of a route, as far as a listing of the store shows them.
struct open_claims {
    std::int64_t revision = 0; ///< Of the store: jobs that were created later are not among them.
    std::map<std::string, std::uint64_t> tokens; ///< Of items without a result, by job.
};

/// The account of a route's limit in the store. Each creation of a job rewrites it on condition that it has
/// not changed since it was read. So all creations come one after the other, and whoever creates a job has
/// counted all before it: in its listing of unfinished jobs, or here.
class token_account {
public:
    /// Reads the account; `revision` is that of its key, 0 if there is none yet.
    static result<token_account> decode(std::string_view bytes, std::int64_t revision);
    std::string encode() const;

    std::int64_t revision() const { return m_revision; }
    /// Whether a listing together with this account shows all jobs.
    bool covers(const open_claims& listed) const { return listed.revision >= m_trimmedRevision; }
    /// Tokens that wait at most.
    std::uint64_t pendingTokens(const open_claims& listed) const;
    /// The account with one more job, to be written on condition of revision().
    token_account withJob(std::string_view job, std::uint64_t tokens) const;

private:
    struct recent_job {
        std::string job;
        std::uint64_t tokens = 0;
        std::int64_t revision = 0; ///< Of its creation; 0 for the latest, which is that of the account.
    };

    std::int64_t m_revision = 0;
    std::int64_t m_trimmedRevision = 0; ///< Jobs up to this revision are not kept here any more.
    std::vector<recent_job> m_recentJobs;
};

/// How far an item has come that has no result yet.
struct item_progress {
    std::uint32_t index = 0;
    std::uint64_t lastEvent = 0;
    std::vector<std::string> events; ///< Data of all events so far.

    bool operator==(const item_progress&) const = default;
};

std::string encodeItemProgress(std::span<const item_progress> items);
result<std::vector<item_progress>> decodeItemProgress(std::string_view bytes);

/// Limits of a job's route.
struct bulk_limits {
    unsigned maxAttempts = 1; ///< Failures at targets after which an item is given up.
    steady_time expiry; ///< After that, an item is given up.
};

/// How one run of an item ended.
enum class run_outcome : std::uint8_t {
    completed, ///< All events have been received.
    interrupted, ///< It broke off, was revoked, or was refused; it goes on behind its last event.
    aborted, ///< Broken off by the target, or answered in a way that means nothing; may be repeated.
    failed, ///< The target failed on it.
    rejected ///< The target says that it can never be done.
};

/// An item to run.
struct bulk_item_start {
    std::uint32_t index = 0;
    std::optional<std::uint64_t> lastEvent; ///< To go on behind.
};

/// The items of a job that this process holds.
class bulk_job {
public:
    /// Takes a job over with the results that are committed.
    bulk_job(bulk_record record, bulk_limits limits, steady_time due);

    const bulk_record& record() const { return m_record; }
    steady_time due() const { return m_due; }

    /// Adds a committed group; the job's results are listed in the order of these calls.
    void addCommitted(const bulk_result_group& group);
    /// All committed results, by position.
    std::span<const bulk_result> committedResults() const { return m_committedResults; }
    std::size_t committedGroups() const { return m_groups; }
    bool complete() const { return m_committedResults.size() == m_record.items.size(); }

    /// The next item to run, or nothing: the one that has come furthest.
    std::optional<bulk_item_start> next();
    /// Items that wait to be run.
    std::size_t waiting() const { return m_waiting.size(); }
    std::size_t running() const { return m_running; }
    /// Events that the next item to run has already.
    std::size_t nextItemEvents() const;

    /// How far the items without a result have come.
    std::vector<item_progress> progress() const;
    /// Events of the items without a result, together.
    std::size_t bufferedEvents() const;
    /// Takes over what a former holder has saved: its items go on where they stood. Called before the first
    /// next().
    void restore(std::vector<item_progress> saved);

    /// An event of a running item has arrived. Returns false if it does not follow its predecessor.
    bool addEvent(std::uint32_t index, std::optional<std::uint64_t> id, std::string data);
    void finishRun(std::uint32_t index, run_outcome outcome, steady_time now);
    /// Gives up what waits, because of its age or because its route is gone.
    void abandonWaiting(steady_time now);
    /// Gives up what waits if the job has expired.
    void expire(steady_time now);

    /// Results that wait to be committed. `since` is when the oldest one came.
    std::size_t uncommitted() const { return m_uncommitted.size(); }
    steady_time uncommittedSince() const { return m_uncommittedSince; }
    /// What to commit next: the same until it was committed, because the answer to a commit can be lost and
    /// the commit be executed later.
    const bulk_result_group& nextGroup(std::string_view token);
    bool completes(const bulk_result_group& group) const;
    /// Tokens of the items that have no listed result once a group is committed.
    std::uint64_t tokensRemainingAfter(const bulk_result_group& group) const;

private:
    struct item_state {
        std::vector<std::string> events;
        std::optional<std::uint64_t> lastEvent;
        unsigned failures = 0;
        bool hasResult = false; ///< It has a result, committed or not.
        bool running = false;
    };

    void finishItem(std::uint32_t index, bool done, steady_time now);
    /// The waiting item that is nearest to its end.
    std::deque<std::uint32_t>::const_iterator mostAdvancedItem() const;

    bulk_record m_record;
    bulk_limits m_limits;
    steady_time m_due;
    std::vector<item_state> m_items;
    std::deque<std::uint32_t> m_waiting;
    std::size_t m_running = 0;
    std::vector<bulk_result> m_committedResults;
    std::size_t m_groups = 0;
    std::vector<bulk_result> m_uncommitted;
    steady_time m_uncommittedSince;
    std::optional<bulk_result_group> m_pendingGroup;
};

/// After so many cuts in a row without a new event the item is the cause, not the targets: they are not
/// blamed any more. Each target would be blamed in turn, and all be left alone, live callers included.
constexpr unsigned maxAbortsChargedToTarget = 2;

/// How long an item waits after so many cuts in a row: zero while they are blamed on targets.
milliseconds retryDelayAfterAborts(unsigned aborts);

} // namespace yuccachute
