#pragma once

#include "http/http.h"
#include "verdict/verdict.h"

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>

namespace yuccachute::testing {

/// What a caller has received of a stream.
struct received_stream {
    unsigned status = 0; ///< 0 if there was no response.
    std::string events; ///< Complete events only.
    std::uint64_t lastEvent = 0; ///< Id of the last complete event; 0 without events.
    std::string retryAfter; ///< Header of a refusal.
    bool whole = false; ///< The response ended as complete.
};

constexpr std::uint64_t allEvents = std::numeric_limits<std::uint64_t>::max();

/// Reads a stream at 127.0.0.1 and disconnects once event `leaveAfter` has arrived.
received_stream readStream(std::uint16_t port, const std::string& path, http_headers headers,
    std::uint64_t leaveAfter = allEvents, milliseconds limit = milliseconds { 7000 });

/// Headers with which a caller resumes a stream: `id` is that of the new request, `first` that of the request
/// that received the first event.
http_headers resumingHeaders(
    const std::string& id, int events, const std::string& first, std::uint64_t lastEvent);

/// Software versions of the targets that made the events or the text of an item, as its lines name them.
std::set<std::string> versionsIn(std::string_view text);
/// The same text without the names of the versions.
std::string withoutVersions(std::string_view text);

} // namespace yuccachute::testing
