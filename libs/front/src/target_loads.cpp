#include "front/front.h"

#include "logging/logging.h"

namespace yuccachute {

namespace {

/// A target sends its load report at once and without using a slot. 250 ms leave time for one TCP
/// retransmission, which comes after 200 ms.
constexpr milliseconds loadReportTimeout { 250 };

} // namespace

target_loads::target_loads(http_client& client, const load_protocol& protocol)
    : m_client(client)
    , m_protocol(protocol)
{
}

void target_loads::ask(const std::string& address, callback done)
{
    send(address, {}, std::move(done));
}

void target_loads::askStart(const std::string& address, const std::string& target, callback done)
{
    send(address, target, std::move(done));
}

void target_loads::send(const std::string& address, const std::string& target, callback done)
{
    const bool startOnly = !target.empty();
    client_call_options options;
    options.freshConnection = startOnly;
    options.deadline = std::chrono::steady_clock::now() + loadReportTimeout;
    options.connectTimeout = loadReportTimeout;
    options.limits = reportLimits;
    options.acceptUnframed = true; // A report that was cut off is not valid.
    m_client.fetch(address, m_protocol.loadRequest(target), options,
        [this, startOnly, target, done = std::move(done)](const result<http_reply>& reply) {
            if (!reply)
                return done(reply.error());
            auto read = m_protocol.readLoad(reply.value(), target);
            if (read || read.error().kind == failure_kind::gone)
                return done(std::move(read));
            if (startOnly) // Another response than a report does not tell which start sent it.
                return done(mayHaveRun(failure_kind::bad_request, read.error().message));
            // A target that responds without a valid report is alive, but its load is unknown.
            logEvent(log_level::debug, "invalid load report; load of the target taken as unknown",
                { { "message", read.error().message } });
            done(load_report {});
        });
}

} // namespace yuccachute
