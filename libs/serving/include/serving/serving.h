#pragma once

#include "http/http.h"
#include "quarantine/quarantine.h"
#include "routing/routing.h"
#include "verdict/verdict.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Platform-independent representation of requests, and the interface that encodes them with the header names
/// of a platform. Layer: protocol. No I/O.
namespace yuccachute {

/// Properties of a request, as decoded from its headers and body.
struct request_facts {
    std::string id; ///< Request id. A caller that sends the request again uses a new one.
    std::string host;
    std::string key; ///< API key, which identifies the customer. Secret. Empty if there is none.
    std::optional<milliseconds> callerTimeout; ///< How long the caller waits for the response.
    std::optional<std::uint64_t> lastEvent; ///< The stream resumes after the event with this id.
    /// Id of the request that received the first event of the stream to resume; empty for a new stream.
    std::string resumes;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    std::vector<std::uint64_t>
        prefixes; ///< Hashes of leading parts of the prompt, to detect shared prefixes.
    /// Parts of the prompt that other requests may share: all but the last one.
    std::vector<prompt_part> promptParts;
};

/// Data that the system adds to a request before it is sent to a target.
struct target_envelope {
    std::string targetId; ///< Identifies one start of the target; no other start may run the request.
    milliseconds timeLeft { 0 };
    std::optional<std::uint64_t> lastEvent;
    /// The authenticated customer, which replaces what the caller's headers claim; empty for an anonymous
    /// caller. Unset in a deployment without customers, where the caller's headers are passed on unchanged.
    std::optional<std::string> customer;
};

/// Classification of a response by its head.
enum class answer_meaning : std::uint8_t {
    own, ///< Responds to this request, which has run, with success or failure.
    not_run, ///< The target refused the request before running it.
    other_target, ///< The address now belongs to another target, which has not run the request.
    foreign ///< Responds to another request.
};

/// Decodes callers' requests and encodes requests to targets in the format of a platform. Stateless.
class caller_protocol {
public:
    virtual ~caller_protocol() = default;
    /// Fails with bad_request and a message that names the invalid header.
    virtual result<request_facts> describe(const http_request& request) const = 0;
    /// Returns the request to send to a target: the caller's request with the envelope added.
    virtual http_request forTarget(const http_request& request, const target_envelope& envelope) const = 0;
    /// Removes the caller's key and the header in which the caller names its customer.
    virtual void removeKey(http_headers& headers) const = 0;
    virtual answer_meaning classify(const http_reply& head, std::string_view requestId) const = 0;
};

/// Identifies the content of a request (method, host, credentials, customer, URL and body) independently of
/// its request id, so that a request that is sent again has the same identity.
request_identity identityOf(const http_request& request, std::string_view customer);

/// Returns the headers that a proxy forwards: all except hop-by-hop headers, Content-Length and Expect.
http_headers endToEndHeaders(const http_headers& headers);

// --- Limits of answers. Those of time are longer than any sound target needs, and end an answer that never
// ends within 3 s.

/// An event holds a token or a few and their description, under 1 KB. A value of the store holds 1 MB, so a
/// larger event could not be kept.
constexpr std::uint64_t maxEventBytes = 1u << 20;
/// A target sends an event at once; this leaves time for retransmissions.
constexpr milliseconds maxEventTime { 2000 };
/// For the description of one token with its alternatives.
constexpr std::uint64_t maxBytesPerToken = 4u << 10;
/// Of a stream whose request does not say how many tokens it may produce.
constexpr std::uint64_t maxUnknownStreamBytes = 64u << 20;
/// For claims of callers that no target could produce: 250,000 tokens.
constexpr std::uint64_t maxStreamBytes = 1u << 30;

/// Of a stream of events, from the tokens that its request may produce; 0: unknown. Events for usage and
/// errors, and comments that keep the connection alive, have the allowance of one event.
constexpr answer_limits streamLimits(std::uint64_t maxOutputTokens)
{
    answer_limits limits;
    limits.kind = "stream";
    const auto tokens = std::min(maxOutputTokens, maxStreamBytes / maxBytesPerToken);
    limits.bodyBytes = tokens == 0 ? maxUnknownStreamBytes : maxEventBytes + tokens * maxBytesPerToken;
    limits.bodyTime = maxEventTime;
    limits.eventBytes = maxEventBytes;
    return limits;
}

/// Of a target's answer that is no stream of events and is passed on to a caller. With a length it is passed
/// on as it arrives and takes no memory, so only the length limits it. The deadline of the request limits its
/// time, because some targets write such an answer as they compute it.
constexpr answer_limits plainLimits { .kind = "plain", .lengthBytes = std::uint64_t { 1 } << 40 };
/// Of a target's answer that is read to its end and not kept: a failure of an item, a refusal.
constexpr answer_limits discardedLimits {
    .kind = "discarded", .bodyBytes = 1u << 20, .bodyTime = maxEventTime
};
/// Of a load report or health answer: some hundred bytes of JSON. Its deadline of 250 ms limits its time.
constexpr answer_limits reportLimits { .kind = "report", .headBytes = 16u << 10, .bodyBytes = 64u << 10 };
/// Of the store: a page ends after 500 items or 1 MB, with one more value of 1 MB, and base64 adds a third.
/// The changes since a revision and the values of failed conditions are not paged. The deadline of 1.5 s, or
/// of the wait, limits the time.
constexpr answer_limits storeLimits { .kind = "store", .bodyBytes = 64u << 20 };
/// Between processes of this project: results of a job, which are read in parts of less than what a request
/// may have. The deadline of 1.5 s and the hold that the caller wishes limit the time.
constexpr answer_limits peerLimits { .kind = "peer", .bodyBytes = 64u << 20 };

/// Splits a stream of server-sent events into complete events. The bytes of an incomplete event are held
/// back, so that an interrupted stream can be resumed at another target without a gap or a duplicate.
class event_splitter {
public:
    /// Adds bytes and returns the bytes of all events that are now complete.
    std::string feed(std::string_view piece);
    /// Discards an incomplete event, before the stream is resumed.
    void restart()
    {
        m_partial.clear();
        m_searched = 0;
    }
    bool midEvent() const { return !m_partial.empty(); }
    /// Id of the last complete event, if one had an id.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    /// Number of complete events; comments do not count.
    std::uint64_t events() const { return m_events; }
    /// Whether an event had no numeric id, or one that was not that of its predecessor plus one.
    bool outOfOrder() const { return m_outOfOrder; }
    /// Returns the data of the events since the last call, one string for each event. Requires collectData().
    std::vector<std::string> takeData() { return std::exchange(m_data, {}); }
    void collectData() { m_collect = true; }

private:
    void parseEvent(std::string_view event);

    std::string m_partial;
    std::size_t m_searched = 0; ///< No delimiter begins before this place of m_partial.
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_events = 0;
    bool m_outOfOrder = false;
    bool m_collect = false;
    std::vector<std::string> m_data;
};

/// How the end of a run's response became known.
enum class response_end : std::uint8_t {
    open, ///< It has not ended, or has been broken off.
    framed, ///< Its length or its last chunk has arrived.
    closed, ///< Its connection has ended, which shows nothing.
    confirmed, ///< Its connection has ended, and the start of the target that sent it runs.
    refuted ///< Its connection has ended, and that start has terminated or does not respond.
};

std::string_view toString(response_end end);

/// Decides whether one run of a request at a target has sent its whole response. Only what belongs to this
/// run is evidence of it: the order of its events from the first one on, the framing of its response, and the
/// start of the target that sent it. The absence of an error is none, since a target that terminates closes
/// its connections in order, and neither is an address or a request id, which serve other runs as well.
class run_evidence {
public:
    enum class completeness : std::uint8_t {
        whole,
        cut,
        unconfirmed ///< Whole if the start of the target that sent the response still runs.
    };

    run_evidence() = default;
    /// For a run that continues after `lastEvent`; one without it begins with event 1.
    explicit run_evidence(std::optional<std::uint64_t> lastEvent)
        : m_resumed(lastEvent.has_value())
        , m_lastEvent(lastEvent.value_or(0))
    {
    }

    void receiveHead(const http_reply& head);
    /// Adds `count` events with successive ids, of which the last one is `lastId`. Returns false if they are
    /// not the next ones of the run.
    bool addEvents(std::uint64_t count, std::optional<std::uint64_t> lastId);
    /// The response of an event stream has ended without an error.
    completeness endStream(bool midEvent);
    /// A response without events has ended without an error.
    completeness endPlain();
    /// After an unconfirmed end: whether the start that sent the response runs.
    completeness confirm(bool running);

    /// Whether the response has a length or chunks, so that its end differs from that of its connection.
    bool framed() const { return m_framed; }
    response_end end() const { return m_end; }
    /// Id of the run's first event; 0 if there was none.
    std::uint64_t firstEvent() const { return m_firstEvent; }
    /// Id of the last event, of this run or of the ones that it continues; 0 if there was none.
    std::uint64_t lastEvent() const { return m_lastEvent; }

private:
    bool m_resumed = false;
    std::uint64_t m_lastEvent = 0;
    std::uint64_t m_firstEvent = 0;
    bool m_framed = false;
    response_end m_end = response_end::open;
};

} // namespace yuccachute
