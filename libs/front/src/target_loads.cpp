#include "front/front.h"

#include "logging/logging.h"

namespace yuccachute {

namespace {

/// A target answers this question at once, without a slot; a lost packet is sent again after 200 ms.
constexpr milliseconds patience { 250 };

} // namespace

target_loads::target_loads(http_client& client, const load_protocol& protocol)
    : m_client(client)
    , m_protocol(protocol)
{
}

void target_loads::ask(const std::string& address, callback done)
{
    client_call_options options;
    options.deadline = std::chrono::steady_clock::now() + patience;
    options.connectTimeout = patience;
    m_client.fetch(address, m_protocol.loadRequest(), options,
        [this, done = std::move(done)](const result<http_reply>& reply) {
            if (!reply)
                return done(reply.error());
            auto read = m_protocol.readLoad(reply.value());
            if (read)
                return done(std::move(read));
            // A target that answers otherwise than with a report is alive, and tells nothing of its work.
            logEvent(log_level::debug, "load report not understood", { { "message", read.error().message } });
            done(load_report {});
        });
}

} // namespace yuccachute
