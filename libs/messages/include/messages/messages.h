#pragma once

#include "dispatch/dispatch.h"
#include "limits/limits.h"
#include "membership/membership.h"
#include "origins/origins.h"
#include "quarantine/quarantine.h"
#include "settings/settings.h"
#include "verdict/verdict.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Types of the messages between processes, and of the JSON bodies and event streams exchanged with callers,
/// with the codecs for JSON and streams. Layer: protocol. No I/O.
namespace yuccachute {

// --- Messages between processes ---

/// A request for a slot, sent to the group's dispatcher.
struct ask_message {
    std::string group;
    slot_request ask;
};

/// Redirects a slot request to the process that runs the group's dispatcher. An empty address acknowledges
/// that the request is waiting in the queue of this dispatcher.
struct moved_message {
    std::uint64_t slotRequestId = 0;
    std::string ownerAddress;
};

/// Asks the holder of a bulk grant to stop its item at once. The holder still has to release the grant.
struct revoke_message {
    std::string group;
    std::uint64_t grantId = 0;
};

/// Returns a granted slot, with the outcome of its use.
struct release_message {
    std::string group;
    grant_release release;
};

/// Cancels a slot request.
struct withdraw_message {
    std::string group;
    std::uint64_t slotRequestId = 0;
};

/// A batch of messages for one peer. Points in time are sent as durations from now, because clocks differ.
struct envelope {
    std::vector<ask_message> asks;
    std::vector<slot_grant> grants;
    std::vector<slot_refusal> refusals;
    std::vector<moved_message> moved;
    std::vector<revoke_message> revokes;
    std::vector<release_message> releases;
    std::vector<withdraw_message> withdrawals;
    std::vector<limit_message> limits;
    std::vector<origin_record> origins; ///< Origins of streams that have begun, to be kept.
    std::vector<origin_query> originQueries;
    std::vector<origin_answer> originAnswers;

    bool empty() const;
    /// Appends the messages of `other`.
    void add(envelope other);
};

/// Local copy of a key and its value in the platform's store. Copies of an entry share the text.
class section_entry {
public:
    section_entry(std::string_view key, std::string_view value, std::int64_t revision);

    std::string_view key() const { return std::string_view(*m_text).substr(0, m_keySize); }
    std::string_view value() const { return std::string_view(*m_text).substr(m_keySize); }
    std::int64_t revision() const { return m_revision; } ///< Revision of the key's last change.

    bool operator==(const section_entry& other) const;

private:
    std::shared_ptr<const std::string> m_text; ///< The key, followed by the value.
    std::size_t m_keySize = 0;
    std::int64_t m_revision = 0;
};

/// A change of an entry in the local copy of a section.
struct section_change {
    enum class kind : std::uint8_t {
        written,
        removed,
        released ///< No longer part of the slice that this process mirrors; may still exist in the store.
    };
    section_entry entry; ///< The new entry if `written`, otherwise the last known one.
    kind what = kind::written;
};

/// One of several parts of about the same size into which a section is divided by the hashes of its keys. The
/// default is the whole section.
struct section_slice {
    std::uint32_t parts = 1; ///< Number of parts; a power of two.
    std::uint32_t part = 0; ///< Index of this part.

    bool whole() const { return parts <= 1; }
    bool contains(std::string_view key) const;
    bool operator==(const section_slice&) const = default;
};

/// Chooses the slice for a process that needs only some entries of a section: a few hundred, independent of
/// the size of the section. Different seeds usually give different slices. The slice already held is
/// kept unless it has become too large or too small.
section_slice sliceFor(std::size_t entries, const section_slice& held, std::uint32_t seed);

/// All entries with a key prefix, as of a revision of the store.
struct store_section {
    std::string prefix;
    std::int64_t revision = 0;
    std::vector<section_entry> entries; ///< Sorted by key.
};

/// The difference between an earlier copy of a section and a newer one, or a whole section.
struct section_update {
    std::string prefix;
    std::int64_t revision = 0; ///< Revision of the newer copy.
    std::vector<section_entry> changed; ///< New and changed entries, sorted by key.
    /// The update can be applied to copies of this revision or later. 0 means that `changed` is the whole
    /// section.
    std::int64_t basedOn = 0;
    std::vector<std::string> removed; ///< Keys that are missing from the newer copy.
    /// Digest of all keys of the newer copy, set if the sender may not know all keys that were removed since
    /// `basedOn`. A copy whose keys have another digest after the update is inconsistent, and has to be
    /// replaced by a whole section. 0: no check.
    std::uint64_t keysDigest = 0;
    section_slice slice; ///< Slice of the section that the update covers.
};

/// Metadata of a process's copy of a section. Every answer includes it, also without an update of the
/// section, because the requesting process may have the same revision but older metadata.
struct section_standing {
    std::string prefix;
    std::int64_t revision = 0; ///< Revision of the copy.
    /// Keys missing from a copy of this revision, or of an earlier one, are known to be removed for good,
    /// rather than expired because the store was unreachable. 0: unknown.
    std::int64_t settledRevision = 0;
    /// Time since the copy was last confirmed to match the store.
    milliseconds age { 0 };
    /// The section is known not to have changed from the copy's revision to this later revision of the store.
    /// What is known about the later revision is therefore true of all copies in between.
    std::int64_t unchangedUntil = 0;
};

/// State of a process's connection to the store.
struct store_contact {
    bool watches = false; ///< The process watches the store directly, and the store responds.
};

/// Revision of a process's copy of a section.
struct section_revision {
    std::string prefix;
    std::int64_t revision = 0;
    section_slice slice; ///< Slice that the copy contains.
    std::uint32_t seed = 0; ///< If not 0, the process needs only a slice, chosen by this seed.
};

/// Asks a peer for newer copies of sections, and exchanges reports of suspected requests.
struct sync_question {
    std::vector<section_revision> known; ///< The sender's copies of the sections to update.
    std::vector<suspect_report> suspects; ///< Reports that are new to the peer.
    std::uint64_t suspectsDigest = 0; ///< Digest of all suspects that the sender knows.
    bool acceptsCompressed = true; ///< The sender can read compressed sections.
};

/// Answer to a sync_question.
struct sync_answer {
    std::vector<section_update> newer;
    store_contact contact;
    std::vector<section_standing>
        standings; ///< For the requested sections that the answering process has copies of.
    std::vector<suspect_report> suspects; ///< All known suspects, if the digests differ.
    std::uint64_t suspectsDigest = 0;
};

/// Heartbeats exchanged between entries. Full member information is sent only on request.
struct gossip_message {
    std::string zone; ///< Zone of the sender.
    std::vector<member_heartbeat> notes;
    std::vector<member_info> members;
    std::vector<std::uint32_t> wanted; ///< Ids of members whose full information the sender requests.
};

/// Sent to an entry by a process that does not take part in the gossip, to announce itself and to receive
/// members and settings.
struct follow_request {
    std::string vm;
    std::string batchAddress;
    std::string adminAddress;
    std::int64_t settingsVersion = 0;
};

struct follow_reply {
    std::vector<member_info> members;
    std::optional<settings_update> settings; ///< Set only if newer than the sender's version.
};

struct submit_request {
    std::string customer;
    std::string service;
    std::string idempotencyKey;
    milliseconds due { 0 }; ///< Time from now; 0 means the default from the settings.
    std::string items; ///< One JSON object per line.
};

/// State of a job as shown to callers and operators.
struct job_view {
    std::string id;
    std::string service;
    std::string state; ///< "running", "completed" or "cancelled".
    std::uint64_t total = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::int64_t createdMs = 0; ///< Milliseconds since 1970.
    std::int64_t dueMs = 0;
    std::int64_t endedMs = 0; ///< 0 while the job is running.
    bool existed = false; ///< The submission was a retry, and this job already existed.
};

struct results_page {
    std::string lines; ///< One JSON object per line, each a result.
    std::uint64_t nextCursor = 0;
    bool end = false; ///< No more results will follow.
};

// --- Messages exchanged with callers ---

/// A completion request of a caller.
struct completion_request {
    std::string model; ///< Name of the service.
    std::string prompt;
    unsigned maxTokens = 16;
    bool stream = false;
};

/// Parses the body of POST /v1/completions. A failure names the invalid field.
result<completion_request> parseCompletion(std::string_view body, std::size_t maxPromptBytes);

/// Writes the body of the request to a target.
std::string writeCompletion(const completion_request& request);

/// Writes the JSON body of an error reply, with code, message, verdict and request id.
std::string writeFailure(const failure& error, std::string_view requestId);

/// Reads the verdict from the JSON error body of a target or another entry. Returns nothing if there is none.
std::optional<verdict> readVerdict(std::string_view body);

/// Writes the state of a job as JSON.
std::string writeJob(const job_view& job);

// --- Completion streams ---

/// One event of a completion stream.
struct completion_event {
    std::string text;
    std::string finishReason; ///< Empty except in the last event with text.
};

/// Incremental parser of the server-sent events of a completion stream. The stream is complete once both a
/// finish reason and "[DONE]" were received.
class event_reader {
public:
    /// Parses the next bytes of the stream and returns the events that they complete. A malformed event sets
    /// broken().
    std::vector<completion_event> feed(std::string_view piece);
    bool whole() const { return m_done && !m_finishReason.empty(); }
    bool broken() const { return m_broken; }
    std::string_view finishReason() const { return m_finishReason; }
    std::size_t events() const { return m_events; }

private:
    void parseLine(std::string_view line, std::vector<completion_event>& out);

    std::string m_buffer;
    std::string m_finishReason;
    std::size_t m_events = 0;
    bool m_done = false;
    bool m_broken = false;
};

/// Writes one server-sent event of a completion.
std::string writeEvent(std::string_view id, std::string_view model, const completion_event& event);

/// The final event of every complete stream.
constexpr std::string_view doneEvent = "data: [DONE]\n\n";

/// Writes the reply to a request without streaming.
std::string writeWholeCompletion(std::string_view id, std::string_view model, std::string_view text,
    std::string_view finishReason, std::size_t tokens);

} // namespace yuccachute
