#pragma once

#include "shared_bytes/shared_bytes.h"
#include "verdict/verdict.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Batch jobs whose items are requests to targets: the stored records of a job, and the state machine of the
/// process that holds it. Layer: coordination. No I/O, not thread-safe.
namespace yuccachute {

/// One request of a batch job.
struct bulk_item {
    std::string id;
    std::string path;
    /// Submitted headers, with the names that the platform uses.
    std::vector<std::pair<std::string, std::string>> headers;
    shared_bytes body;
    std::uint64_t tokens = 0; ///< Upper bound for prompt and completion together.
};

/// Immutable record of a job, written when the job is accepted.
struct bulk_record {
    std::string id;
    std::string host; ///< `Host` header of the submission; the items are routed by it.
    std::int64_t acceptedMs = 0; ///< Unix time in milliseconds.
    std::vector<bulk_item> items;
    /// Empty in a deployment without customers. Stored, because a job can outlive its customer's API keys.
    std::string customer;
    std::string path; ///< Path of the submission; empty in records of releases that did not store it.
    /// Time from the acceptance to the last result by the route of the submission; unset if the route was
    /// unknown, and in records of releases that did not store it.
    std::optional<milliseconds> completionWindow;
    /// Version of the configuration by which the job was accepted. An older one may lack the routes of its
    /// items. 0 in records of releases that did not store it.
    std::int64_t configuration = 0;
};

/// Approximate memory of a record that is held.
std::size_t memoryOf(const bulk_record& record);

/// Path that the job's own route follows from: that of its submission, or of its first item if unknown.
const std::string& submissionPath(const bulk_record& record);

/// Returns the internal id of something that is named by a customer, so that equal ids of different customers
/// do not collide. `id` may contain only letters, digits, '-', '_' and '.'.
std::string customerScopedId(std::string_view customer, std::string_view id);

/// Returns the sum of the tokens of all items.
std::uint64_t tokensOf(const bulk_record& record);

std::string encodeRecord(const bulk_record& record);
result<bulk_record> decodeBulkRecord(std::string_view bytes);

/// Final result of one item.
struct bulk_result {
    std::uint32_t index = 0; ///< Index of the item in its job.
    bool done = false; ///< False if the item was abandoned.
    std::string text; ///< Data of all events, separated by line feeds; empty for an abandoned item.
};

/// Results that are committed in one transaction. Result positions continue from the previous groups.
struct bulk_result_group {
    /// Unique token of the commit. After a lost reply it shows whether the stored group is one's own.
    std::string token;
    std::vector<bulk_result> results;
};

std::string encodeGroup(const bulk_result_group& group);
result<bulk_result_group> decodeGroup(std::string_view bytes);

/// Process that holds an unfinished job.
struct bulk_holder {
    std::string vm;
    std::uint64_t incarnation = 0;

    bool operator==(const bulk_holder&) const = default;
};

/// Tokens of a job that count against its customer's limit on its route.
struct token_claim {
    /// Account name, which includes the customer if there is one. Empty if the route was unknown when the job
    /// was accepted.
    std::string route;
    std::uint64_t tokens = 0;

    bool operator==(const token_claim&) const = default;
};

/// Mutable record of an unfinished (open) job; it exists until the job is finished or cancelled.
struct open_job_record {
    bulk_holder holder;
    token_claim claim;
};

std::string encodeOpenJob(const open_job_record& openJob);
result<open_job_record> decodeOpenJob(std::string_view bytes);

/// Open jobs of one route as seen in a listing of the store.
struct open_claims {
    std::int64_t revision = 0; ///< Store revision of the listing; jobs created later are missing from it.
    std::map<std::string, std::uint64_t> tokens; ///< Tokens of the items without a result, by job.
};

/// Token account of a route's limit, kept in the store. Every creation of a job rewrites the account under
/// the condition that it has not changed since it was read. This serializes the creations, so a process that
/// creates a job has counted all earlier jobs, either in its listing of open jobs or in this account.
class token_account {
public:
    /// Decodes a stored account. `revision` is the revision of its key, or 0 if there is no account yet.
    static result<token_account> decode(std::string_view bytes, std::int64_t revision);
    std::string encode() const;

    std::int64_t revision() const { return m_revision; }
    /// Returns whether this account and the listing together include all open jobs.
    bool covers(const open_claims& listed) const { return listed.revision >= m_trimmedRevision; }
    /// Returns an upper bound for the tokens of unfinished items.
    std::uint64_t pendingTokens(const open_claims& listed) const;
    /// Returns the account with one more job, to be written under the condition that revision() is unchanged.
    token_account withJob(std::string_view job, std::uint64_t tokens) const;

private:
    struct recent_job {
        std::string job;
        std::uint64_t tokens = 0;
        /// Revision of the job's creation. 0 for the newest job, whose revision is that of the account.
        std::int64_t revision = 0;
    };

    std::int64_t m_revision = 0;
    /// Jobs created at or before this revision have been dropped from the account.
    std::int64_t m_trimmedRevision = 0;
    std::vector<recent_job> m_recentJobs;
};

/// Progress of an item that has no result yet.
struct item_progress {
    std::uint32_t index = 0;
    std::uint64_t lastEvent = 0;
    std::vector<std::string> events; ///< Data of all events received so far.
    /// Software version of the target that made the events; unset if unknown.
    std::optional<std::string> version;
    /// Service that made the events; unset if unknown.
    std::optional<std::string> service;

    bool operator==(const item_progress&) const = default;
};

std::string encodeItemProgress(std::span<const item_progress> items);
result<std::vector<item_progress>> decodeItemProgress(std::string_view bytes);

/// Outcome of one run of an item.
enum class run_outcome : std::uint8_t {
    completed, ///< All events were received.
    /// No slot was granted, the slot was revoked, or the target refused the item. It resumes after its last
    /// event.
    interrupted,
    aborted, ///< The request failed, or the response broke off or was invalid. The item can run again.
    failed, ///< The target reported a failure of the item.
    rejected ///< The target rejected the item permanently.
};

/// Item to run next.
struct bulk_item_start {
    std::uint32_t index = 0;
    std::optional<std::uint64_t> lastEvent; ///< Last event received; the run resumes after it.
    /// Software version that made the events received, which alone can resume them; unset if unknown.
    std::optional<std::string> version;
    /// Service that made the events received; unset if unknown.
    std::optional<std::string> service;
};

/// Items of a job that this process holds.
class bulk_job {
public:
    /// Starts with all items waiting. Committed results are added by addCommitted().
    bulk_job(bulk_record record, steady_time due);

    const bulk_record& record() const { return m_record; }
    steady_time due() const { return m_due; }
    void setDue(steady_time due) { m_due = due; }
    /// Discards the bodies of the items, which no run needs any more.
    void dropItemBodies();
    bool itemBodiesDropped() const { return m_bodiesDropped; }

    /// Adds a committed group. The calls define the order of the results.
    void addCommitted(const bulk_result_group& group);
    /// Returns all committed results by position.
    std::span<const bulk_result> committedResults() const { return m_committedResults; }
    std::size_t committedGroups() const { return m_groups; }
    bool complete() const { return m_committedResults.size() == m_record.items.size(); }

    /// Takes the waiting item with the most events, and marks it as running. Returns nullopt if none is
    /// waiting.
    std::optional<bulk_item_start> next();
    /// Number of items waiting to run.
    std::size_t waiting() const { return m_waiting.size(); }
    std::size_t running() const { return m_running; }
    /// Number of events that the item returned by the next call of next() has received.
    std::size_t nextItemEvents() const;
    std::size_t eventsOf(std::uint32_t index) const { return m_items[index].events.size(); }

    /// Returns the progress of all items without a result.
    std::vector<item_progress> progress() const;
    /// Returns the number of events received by items without a result.
    std::size_t bufferedEvents() const;
    /// Restores progress saved by a previous holder, so that items resume where they stopped. Must be called
    /// before the first next().
    void restore(std::vector<item_progress> saved);

    /// Sets the software version and the service that make the events of a running item, unless it has
    /// events already.
    void setOrigin(
        std::uint32_t index, const std::optional<std::string>& version, const std::string& service);
    /// Discards the events of an item, which begins anew: no target can resume them.
    void discardEvents(std::uint32_t index);
    /// Adds an event to a running item. Returns false if its id does not follow that of the previous event,
    /// or is not 1 for the first event.
    bool addEvent(std::uint32_t index, std::optional<std::uint64_t> id, std::string data);
    /// Ends a run. An item that has failed `maxAttempts` times is abandoned.
    void finishRun(std::uint32_t index, run_outcome outcome, unsigned maxAttempts, steady_time now);
    /// Abandons an item that waits or was returned by next().
    void abandon(std::uint32_t index, steady_time now);
    /// Abandons waiting items that have expired. Returns when to call this again.
    steady_time expire(const std::function<steady_time(std::uint32_t)>& expiryOf, steady_time now);

    /// Number of results not committed yet; uncommittedSince() is the time of the oldest one.
    std::size_t uncommitted() const { return m_uncommitted.size(); }
    steady_time uncommittedSince() const { return m_uncommittedSince; }
    /// Returns the group to commit next. It stays the same until it is committed: the reply to a commit can
    /// be lost, and the store may execute that commit later.
    const bulk_result_group& nextGroup(std::string_view token);
    bool completes(const bulk_result_group& group) const;
    /// Returns the tokens of the items that have no committed result once the group is committed.
    std::uint64_t tokensRemainingAfter(const bulk_result_group& group) const;

private:
    struct item_state {
        std::vector<std::string> events;
        std::optional<std::uint64_t> lastEvent;
        std::optional<std::string> version;
        std::optional<std::string> service;
        unsigned failures = 0;
        bool hasResult = false; ///< Whether the item has a result, committed or not.
        bool running = false;
    };

    void finishItem(std::uint32_t index, bool done, steady_time now);
    /// Returns the waiting item with the most events.
    std::deque<std::uint32_t>::const_iterator mostAdvancedItem() const;

    bulk_record m_record;
    steady_time m_due;
    std::vector<item_state> m_items;
    std::deque<std::uint32_t> m_waiting;
    std::size_t m_running = 0;
    std::vector<bulk_result> m_committedResults;
    std::size_t m_groups = 0;
    std::vector<bulk_result> m_uncommitted;
    steady_time m_uncommittedSince;
    std::optional<bulk_result_group> m_pendingGroup;
    bool m_bodiesDropped = false;
};

/// Number of consecutive aborted runs without a new event that count against the health of the targets. Later
/// ones are attributed to the item. Otherwise one bad item would make every target in turn look unhealthy,
/// and leave none for live requests.
constexpr unsigned maxAbortsChargedToTarget = 2;

/// Returns how long an item waits after this many consecutive aborted runs. Zero as long as they count
/// against the targets.
milliseconds retryDelayAfterAborts(unsigned aborts);

} // namespace yuccachute
