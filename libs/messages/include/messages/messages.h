#pragma once

#include "dispatch/dispatch.h"
#include "limits/limits.h"
#include "membership/membership.h"
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

/// Typed messages and their codecs: the callers' JSON, the streams' events, and what the project's processes
/// say to each other. Layer: protocol. No I/O.
namespace yuccachute {

// --- Between processes
// ---------------------------------------------------------------------------------------

struct ask_message {
    std::string group;
    slot_request ask;
};

/// The group's dispatcher is another process.
struct moved_message {
    std::uint64_t slotRequestId = 0;
    std::string ownerAddress;
};

struct revoke_message {
    std::string group;
    std::uint64_t grantId = 0;
};

struct release_message {
    std::string group;
    grant_release release;
};

struct withdraw_message {
    std::string group;
    std::uint64_t slotRequestId = 0;
};

/// Everything that is ready for one peer. Times travel as durations from now, because clocks differ.
struct envelope {
    std::vector<ask_message> asks;
    std::vector<slot_grant> grants;
    std::vector<slot_refusal> refusals;
    std::vector<moved_message> moved;
    std::vector<revoke_message> revokes;
    std::vector<release_message> releases;
    std::vector<withdraw_message> withdrawals;
    std::vector<limit_message> limits;

    bool empty() const;
    /// Appends the other's messages.
    void add(envelope other);
};

/// A key of the platform's store as a process has copied it. Copies of it share its text.
class section_entry {
public:
    section_entry(std::string_view key, std::string_view value, std::int64_t revision);

    std::string_view key() const { return std::string_view(*m_text).substr(0, m_keySize); }
    std::string_view value() const { return std::string_view(*m_text).substr(m_keySize); }
    std::int64_t revision() const { return m_revision; } ///< Of its last change.

    bool operator==(const section_entry& other) const;

private:
    std::shared_ptr<const std::string> m_text; ///< The key and behind it the value.
    std::size_t m_keySize = 0;
    std::int64_t m_revision = 0;
};

/// What has become of an entry.
struct section_change {
    enum class kind : std::uint8_t {
        written,
        removed,
        released ///< It lies outside of the slice that is held from now on, and may exist or not.
    };
    section_entry entry; ///< If it was not written: what it was.
    kind what = kind::written;
};

/// One of several parts of a section, of about the same size, to which keys belong by their hashes. By
/// default all of it.
struct section_slice {
    std::uint32_t parts = 1; ///< A power of two.
    std::uint32_t part = 0;

    bool whole() const { return parts <= 1; }
    bool contains(std::string_view key) const;
    bool operator==(const section_slice&) const = default;
};

/// The slice for a process that needs some entries of a section and not all: a few hundred, however many
/// there are. Processes draw different ones by their seeds. One that is held already is kept unless it has
/// become too large or too small.
section_slice sliceFor(std::size_t entries, const section_slice& held, std::uint32_t seed);

/// All keys with a prefix, as of a revision of the store.
struct store_section {
    std::string prefix;
    std::int64_t revision = 0;
    std::vector<section_entry> entries; ///< In order of their keys.
};

/// What leads from an earlier copy of a section to a newer one, or a whole section.
struct section_update {
    std::string prefix;
    std::int64_t revision = 0; ///< Of the newer copy.
    std::vector<section_entry> changed; ///< New and changed ones, in order of their keys.
    /// The update holds for copies of this revision and later ones; 0: `changed` is the whole section.
    std::int64_t basedOn = 0;
    std::vector<std::string> removed; ///< Keys that the newer copy lacks.
    /// Of the keys of the newer copy, if the sender does not know all that went since `basedOn`: only a copy
    /// that has just these keys afterwards is right. 0: nothing to check.
    std::uint64_t keysDigest = 0;
    section_slice slice; ///< That the update is of.
};

/// What a process knows of its copy of a section beside the content. It is told with each answer, also
/// without news: an asker whose copy is as new may know less of it.
struct section_standing {
    std::string prefix;
    std::int64_t revision = 0; ///< Of the copy.
    /// What was missing from a copy of this revision, or an earlier one, has gone: it has not only lapsed
    /// while the store was away. 0: nothing is known.
    std::int64_t settledRevision = 0;
    /// Since the copy was last known to be what the store held.
    milliseconds age { 0 };
    /// The section has not changed between the copy's revision and this one, to which the store's has moved
    /// on. What is known of the later one holds for every copy in between.
    std::int64_t unchangedUntil = 0;
};

/// How a process stands with the store.
struct store_contact {
    bool watches = false; ///< It follows the store itself, and the store answers it.
};

/// How new a process's copy of a section is.
struct section_revision {
    std::string prefix;
    std::int64_t revision = 0;
    section_slice slice; ///< That the copy has.
    std::uint32_t seed = 0; ///< Other than 0: a slice is enough, drawn by this number.
};

/// What a process asks another one for.
struct sync_question {
    std::vector<section_revision> known; ///< Sections that it wants newer copies of.
    std::vector<suspect_report> suspects; ///< News for the asked process.
    std::uint64_t suspectsDigest = 0; ///< Of all suspects that the asker knows.
    bool takesPacked = true; ///< The asker understands compressed sections.
};

/// What the asked process answers.
struct sync_answer {
    std::vector<section_update> newer;
    store_contact contact;
    std::vector<section_standing> standings; ///< Of the sections asked for that it has copies of.
    std::vector<suspect_report> suspects; ///< All that it knows, if that is not what the asker does.
    std::uint64_t suspectsDigest = 0;
};

/// Heartbeats between entries. Whole members travel only when asked for.
struct gossip_message {
    std::string zone; ///< Of the sender.
    std::vector<member_heartbeat> notes;
    std::vector<member_info> members;
    std::vector<std::uint32_t> wanted; ///< Ids of members that the sender wants to know.
};

struct follow_request {
    std::string vm;
    std::string batchAddress;
    std::string adminAddress;
    std::int64_t settingsVersion = 0;
};

struct follow_reply {
    std::vector<member_info> members;
    std::optional<settings_update> settings; ///< Only if newer than the asker's.
};

struct submit_request {
    std::string customer;
    std::string service;
    std::string idempotencyKey;
    milliseconds due { 0 }; ///< From now; 0 for the settings' default.
    std::string items; ///< JSON lines.
};

/// What callers and operators see of a job.
struct job_view {
    std::string id;
    std::string service;
    std::string state; ///< "running", "completed" or "cancelled".
    std::uint64_t total = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::int64_t createdMs = 0; ///< Milliseconds since 1970.
    std::int64_t dueMs = 0;
    std::int64_t endedMs = 0; ///< 0 while it runs.
    bool existed = false; ///< A resent submission found this job.
};

struct results_page {
    std::string lines; ///< JSON lines, one a result.
    std::uint64_t nextCursor = 0;
    bool end = false; ///< No more results will follow.
};

// --- With callers
// --------------------------------------------------------------------------------------------

/// A completion as callers ask for it.
struct completion_request {
    std::string model; ///< The service's name.
    std::string prompt;
    unsigned maxTokens = 16;
    bool stream = false;
};

/// Parses the body of POST /v1/completions. The failure names the field.
result<completion_request> parseCompletion(std::string_view body, std::size_t mostPromptBytes);

/// Writes the body that a target receives.
std::string writeCompletion(const completion_request& request);

/// Writes the JSON body of a failure, with code, message, verdict and request id.
std::string writeFailure(const failure& error, std::string_view requestId);

/// Reads the verdict that a target or another entry gave in a JSON error body; nothing if it gave none.
std::optional<verdict> readVerdict(std::string_view body);

/// Writes a job's view as JSON.
std::string writeJob(const job_view& job);

// --- Streams
// -------------------------------------------------------------------------------------------------

/// One event of a completion stream.
struct completion_event {
    std::string text;
    std::string finishReason; ///< Empty until the last event with text.
};

/// Collects server-sent events of a completion stream from arbitrary pieces and checks its shape. The stream
/// is whole once "[DONE]" was seen after a finish reason.
class event_reader {
public:
    /// Adds bytes and returns the completed events' texts. Malformed events set broken().
    std::vector<completion_event> feed(std::string_view piece);
    bool whole() const { return m_done && !m_finishReason.empty(); }
    bool broken() const { return m_broken; }
    std::string_view finishReason() const { return m_finishReason; }
    std::size_t events() const { return m_events; }

private:
    void takeLine(std::string_view line, std::vector<completion_event>& out);

    std::string m_partial;
    std::string m_finishReason;
    std::size_t m_events = 0;
    bool m_done = false;
    bool m_broken = false;
};

/// Formats one server-sent event of a completion.
std::string writeEvent(std::string_view id, std::string_view model, const completion_event& event);

/// The last event of every whole stream.
constexpr std::string_view doneEvent = "data: [DONE]\n\n";

/// Formats the answer to a request that did not ask for a stream.
std::string writeWholeCompletion(std::string_view id, std::string_view model, std::string_view text,
    std::string_view finishReason, std::size_t tokens);

} // namespace yuccachute
