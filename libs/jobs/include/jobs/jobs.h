#pragma once

#include "verdict/verdict.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Bulk jobs: their items, what is stored of them, and the decisions of the process that runs one.
/// Layer: coordination. No I/O.
namespace yuccachute {

// --- Items
// ---------------------------------------------------------------------------------------------------

constexpr std::size_t mostItemsPerJob = 58000;
/// Values in the key-value service may have up to 1 MB; chunks stay well below.
constexpr std::size_t mostChunkBytes = 512u << 10;

/// One item of a job.
struct job_item {
    std::string id; ///< The caller's, or "item-N".
    std::string prompt;
    unsigned maxTokens = 16;
    /// False for an item that must not run twice: it is never started again after its start was committed.
    bool idempotent = true;
};

/// Parses JSON lines. The failure names the line; nothing of a job with a bad line is accepted.
result<std::vector<job_item>> parseItems(std::string_view lines);

/// Compresses items into chunks of at most mostChunkBytes each.
std::vector<std::string> packItems(std::span<const job_item> items);
/// Reverses packItems() for one chunk.
result<std::vector<job_item>> unpackItems(std::string_view chunk);

/// Compresses text, and back. Unpacking damaged bytes fails.
std::string compress(std::string_view text);
result<std::string> decompress(std::string_view bytes);

// --- What is stored
// ------------------------------------------------------------------------------------------

/// Written once, when the job is accepted.
struct job_record {
    std::string id;
    std::string customer;
    std::string service;
    std::string token; ///< Of the submission that created the job.
    std::uint64_t itemsHash = 0; ///< To tell a resent submission from another job under the same key.
    std::uint32_t items = 0;
    std::uint32_t chunks = 0;
    std::int64_t createdMs = 0; ///< Milliseconds since 1970.
    std::int64_t dueMs = 0;
    std::int64_t retentionMs = 0; ///< How long results stay readable after the end.
    unsigned attempts = 4;
    bool expired = false; ///< Only this record is left.
};

std::string encodeRecord(const job_record& record);
result<job_record> decodeRecord(std::string_view bytes);

enum class job_state : std::uint8_t { running, completed, cancelled };
std::string_view toString(job_state state);

/// Rewritten with every commit of results.
struct job_progress {
    job_state state = job_state::running;
    std::string token; ///< Of the commit that wrote it: settles a commit whose reply was lost.
    std::uint32_t resultChunks = 0;
    std::uint32_t completed = 0;
    std::uint32_t failed = 0;
    std::int64_t endedMs = 0;
    std::vector<bool> ended; ///< One bit an item: its result is committed.
    std::map<std::uint32_t, std::uint32_t> attempts; ///< Of items that have not ended.
    std::set<std::uint32_t> inFlight; ///< Items that were running at the commit.
    std::set<std::uint32_t> startedOnce; ///< Non-idempotent items that may have started.
};

std::string encodeProgress(const job_progress& progress);
result<job_progress> decodeProgress(std::string_view bytes);

// --- Running a job
// -------------------------------------------------------------------------------------------

/// How one attempt at an item ended.
struct item_outcome {
    enum class kind : std::uint8_t {
        completed,
        not_run, ///< Nothing reached a target: no attempt was used.
        yielded, ///< Given back for live work; the text so far is kept to go on from.
        failed, ///< It cannot be told whether it ran, or it failed at the target: one attempt was used.
        rejected ///< The target says that this item can never be completed.
    };
    kind what = kind::completed;
    std::string text; ///< Completed: the whole text. Yielded: the text of this attempt.
    unsigned tokens = 0;
    std::string reason; ///< Of a failure.
};

/// An item to run next.
struct item_start {
    std::uint32_t index = 0;
    std::string text; ///< Emitted by earlier attempts: the prompt goes on from there.
    unsigned tokensLeft = 0;
};

/// What to commit: result lines and the progress that goes with them, in one transaction.
struct job_commit {
    std::string lines; ///< JSON lines, one a result; may be empty when only marks changed.
    std::uint32_t resultChunk = 0; ///< Number of the chunk that the lines go into.
    std::uint32_t results = 0;
    job_progress progress;
};

/// The decisions of the process that holds a job. Pure: what it returns is to be done, what happened is told
/// to it. Not thread-safe.
class job_run {
public:
    /// Takes a job over from its record, items and last progress. Items that were in flight then have used an
    /// attempt, because they may be what ended their worker; they are suspects and run one at a time.
    job_run(job_record record, std::vector<job_item> items, job_progress progress);

    const job_record& record() const { return m_record; }
    const job_progress& progress() const { return m_progress; }
    const job_item& item(std::uint32_t index) const { return m_items[index]; }

    /// The next item to start, or nothing now. A non-idempotent item is returned only once its start mark was
    /// committed.
    std::optional<item_start> next(steady_time now);
    void finished(std::uint32_t index, const item_outcome& outcome, steady_time now);

    /// Whether there is something to commit at this time: enough results, old ones, the end, or a start mark
    /// that an item waits for.
    bool commitDue(steady_time now, milliseconds age) const;
    /// Builds the commit of all that has happened. Exactly one of committed() and commitFailed() must follow.
    job_commit beginCommit(std::string token, std::int64_t nowMs);
    void committed(steady_time now);
    void commitFailed();

    bool ended() const { return m_progress.state != job_state::running; }
    std::size_t running() const { return m_running.size(); }
    std::size_t remaining() const;
    std::size_t uncommittedBytes() const { return m_bufferedBytes; }

private:
    struct item_state {
        std::uint32_t attempts = 0;
        std::string text;
        unsigned tokens = 0;
        steady_time notBefore;
    };
    struct buffered_result {
        std::uint32_t index = 0;
        std::string line;
        bool failed = false;
    };

    void queueAgain(std::uint32_t index, steady_time notBefore);
    void endItem(std::uint32_t index, const std::string& text, unsigned tokens, steady_time now);
    void failItem(std::uint32_t index, const std::string& reason, steady_time now);
    void buffer(buffered_result result, steady_time now);
    std::optional<std::uint32_t> takeStartable(std::deque<std::uint32_t>& queue, steady_time now);

    job_record m_record;
    std::vector<job_item> m_items;
    job_progress m_progress;
    std::deque<std::uint32_t> m_waiting;
    std::deque<std::uint32_t> m_suspects;
    std::set<std::uint32_t> m_suspectSet;
    std::set<std::uint32_t> m_running;
    std::map<std::uint32_t, item_state> m_states;
    std::set<std::uint32_t> m_marksWanted; ///< Non-idempotent items whose start mark is to be committed.
    std::set<std::uint32_t> m_marksCommitted;
    std::vector<buffered_result> m_buffer;
    std::vector<buffered_result> m_committing;
    std::optional<job_progress> m_nextProgress;
    std::size_t m_bufferedBytes = 0;
    std::optional<steady_time> m_oldest;
};

/// Deterministic id of a job, so that a resent submission finds it.
std::uint64_t hashItems(std::string_view lines);

} // namespace yuccachute
