#include "target_loads.h"

#include "logging/logging.h"

namespace yuccachute {

namespace {

/// A target answers this question at once, without a slot; a lost packet is sent again after 200 ms.
constexpr milliseconds patience { 250 };

struct running_call {
    std::shared_ptr<client_call> handle;
    http_reply reply;
    load_source::callback done;
};

} // namespace

target_loads::target_loads(event_loop& loop, http_client& client, const load_protocol& protocol)
    : m_loop(loop)
    , m_client(client)
    , m_protocol(protocol)
{
}

void target_loads::ask(const std::string& address, callback done)
{
    const auto running = std::make_shared<running_call>();
    running->done = std::move(done);
    // Later, so that the call's handle is not dropped in its own step.
    const auto end = [this, running](result<load_report> outcome) {
        m_loop.post([running, outcome = std::move(outcome)]() mutable {
            running->handle.reset();
            running->done(std::move(outcome));
        });
    };
    client_call_options options;
    options.deadline = std::chrono::steady_clock::now() + patience;
    options.connectTimeout = patience;
    client_call_events events;
    events.head = [running](const http_reply& head) {
        running->reply = head;
        return true;
    };
    events.body = [running](std::string_view piece) {
        running->reply.body.append(piece);
        return true;
    };
    events.whole = [this, running, end] {
        auto read = m_protocol.readLoad(running->reply);
        if (read)
            return end(std::move(read));
        // A target that answers otherwise than with a report is alive, and tells nothing of its work.
        logEvent(log_level::debug, "load report not understood", { { "message", read.error().message } });
        end(load_report {});
    };
    events.failed = [end](const failure& error) { end(error); };
    running->handle = m_client.start(address, m_protocol.loadRequest(), options, std::move(events));
}

} // namespace yuccachute
