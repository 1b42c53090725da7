#pragma once

#include "http/http.h"
#include "quarantine/quarantine.h"
#include "routing/routing.h"
#include "verdict/verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Requests in the project's own terms, and the interface behind which a platform's header names stand.
/// Layer: protocol. No I/O.
namespace yuccachute {

/// What a request says of itself.
struct request_facts {
    std::string id; ///< Of this attempt of the caller.
    std::string host;
    std::string key; ///< Names the caller's customer; a secret. Empty if there is none.
    std::optional<milliseconds> patience; ///< How long the caller waits.
    std::optional<std::uint64_t> lastEvent; ///< The stream goes on behind this event.
    std::uint64_t promptTokens = 0;
    std::uint64_t mostOutputTokens = 0;
    std::vector<std::uint64_t> prefixes; ///< Hashes of the leading parts of the prompt that requests share.
};

/// What the system adds to a request for a target.
struct target_envelope {
    std::string targetId; ///< Only this start of the target may run it.
    milliseconds timeLeft { 0 };
    std::optional<std::uint64_t> lastEvent;
    /// Whom the target may take for the sender, whatever the caller has said; empty for nobody. Unset in a
    /// deployment without customers, where the caller's headers are passed on as they are.
    std::optional<std::string> customer;
};

/// What the head of a target's answer means.
enum class answer_meaning : std::uint8_t {
    own, ///< The answer to this request, success or failure: it has run.
    not_run, ///< The target refused before running.
    other_target, ///< Another target has the address now; not run.
    foreign ///< The answer to another request.
};

/// Decodes and encodes requests as a platform's callers and targets speak. Stateless.
class caller_protocol {
public:
    virtual ~caller_protocol() = default;
    /// Fails with bad_request naming the header.
    virtual result<request_facts> describe(const http_request& request) const = 0;
    /// The request that a target gets: the caller's, with what the system adds.
    virtual http_request forTarget(const http_request& request, const target_envelope& envelope) const = 0;
    /// Removes the caller's key, and what it says of its customer.
    virtual void removeKey(http_headers& headers) const = 0;
    virtual answer_meaning classify(const http_reply& head, std::string_view requestId) const = 0;
};

/// What a request asks for, whatever its id: what is asked, of whom, by whom, with which body.
request_identity identityOf(const http_request& request, std::string_view customer);

/// The headers that concern more than one connection: what a proxy passes on.
http_headers endToEndHeaders(const http_headers& headers);

/// Cuts a body of server-sent events into whole events. What belongs to an event whose end has not arrived is
/// kept back, so that a stream that breaks can go on at another target without a gap or a repetition.
class event_splitter {
public:
    /// Adds bytes and returns the bytes of all events that are whole now.
    std::string feed(std::string_view piece);
    /// Drops half of an event.
    void restart() { m_partial.clear(); }
    bool midEvent() const { return !m_partial.empty(); }
    /// Id of the last whole event; nothing before the first.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    std::uint64_t events() const { return m_events; }
    /// An event's id was not the one after its predecessor's.
    bool disordered() const { return m_disordered; }
    /// Data lines of the events since the last call, one string an event.
    std::vector<std::string> takeData() { return std::exchange(m_data, {}); }
    void collectData() { m_collect = true; }

private:
    void noteEvent(std::string_view event);

    std::string m_partial;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_events = 0;
    bool m_disordered = false;
    bool m_collect = false;
    std::vector<std::string> m_data;
};

} // namespace yuccachute
