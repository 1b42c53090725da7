#include "http_log/http_log.h"

#include "http/http.h"
#include "logging/logging.h"

namespace yuccachute {

void logHttpReports()
{
    http_log log;
    log.answerLimit = [](std::string_view address, std::string_view limit, std::uint64_t receivedBytes) {
        logEvent(log_level::warning, "answer limit",
            { { "address", address }, { "limit", limit },
                { "received_bytes", static_cast<std::int64_t>(receivedBytes) } });
    };
    log.callException = [](std::string_view address, std::string_view message) {
        logEvent(log_level::error, "exception in a call; its connection is closed",
            { { "address", address }, { "message", message } });
    };
    log.requestException = [](std::string_view message) {
        logEvent(log_level::error, "exception while a request was handled; its connection is closed",
            { { "message", message } });
    };
    log.connectionLimit = [](std::string_view action, std::uint64_t heldBytes, std::uint64_t usedBytes) {
        logEvent(log_level::warning, "connection limit",
            { { "action", action }, { "held_bytes", static_cast<std::int64_t>(heldBytes) },
                { "used_bytes", static_cast<std::int64_t>(usedBytes) } });
    };
    setHttpLog(std::move(log));
}

} // namespace yuccachute
