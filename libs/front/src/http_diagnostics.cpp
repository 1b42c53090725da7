#include "front/front.h"

#include "logging/logging.h"

namespace yuccachute {

http_diagnostics loggedDiagnostics(metrics& figures)
{
    http_diagnostics diagnostics;
    diagnostics.answerLimit
        = [&figures](std::string_view address, std::string_view limit, std::uint64_t bytes) {
              logEvent(log_level::warning, "answer limit",
                  { { "address", address }, { "limit", limit },
                      { "received_bytes", static_cast<std::int64_t>(bytes) } });
              figures.count("yuccachute_answer_limits_total", "limit", limit);
          };
    diagnostics.exception = [](std::string_view peer, std::string_view message) {
        logEvent(log_level::error, "exception in a callback; its connection is closed",
            { { "address", peer }, { "message", message } });
    };
    return diagnostics;
}

} // namespace yuccachute
