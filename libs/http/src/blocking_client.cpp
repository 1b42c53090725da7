#include "http/http.h"

#include <algorithm>

namespace yuccachute {

namespace {

constexpr milliseconds abandonPollInterval { 20 };

/// Runs one call to completion by running the event loop on the calling thread.
class blocking_call {
public:
    blocking_call(event_loop& loop, http_client& client)
        : m_loop(loop)
        , m_client(client)
    {
    }

    result<http_reply> run(
        std::string_view address, const http_request& request, const http_call_options& options)
    {
        client_call_options callOptions;
        callOptions.deadline = options.deadline;
        callOptions.connectTimeout = options.connectTimeout;
        callOptions.idleTimeout = options.idleTimeout;
        client_call_events events;
        events.head = [&](const http_reply& head) {
            m_reply = head;
            return accept(!options.onHead || options.onHead(m_reply));
        };
        events.body = [&](std::string_view piece) {
            if (options.onBody)
                return accept(options.onBody(piece));
            m_reply.body.append(piece);
            return true;
        };
        events.whole = [&] { m_done = true; };
        events.failed = [&](const failure& error) {
            m_error = error;
            m_done = true;
        };
        const auto call = m_client.start(address, request, callOptions, std::move(events));
        while (!m_done) {
            if (options.abandon && options.abandon->load(std::memory_order_relaxed)) {
                call->cancel();
                return mayHaveRun(failure_kind::cancelled, "the caller cancelled the call");
            }
            m_loop.runFor(abandonPollInterval);
        }
        if (m_error && m_rejectedByCallback)
            return mayHaveRun(failure_kind::cancelled, "the receiver of the response rejected it");
        if (m_error)
            return *m_error;
        return std::move(m_reply);
    }

private:
    bool accept(bool accepted)
    {
        m_rejectedByCallback = m_rejectedByCallback || !accepted;
        return accepted;
    }

    event_loop& m_loop;
    http_client& m_client;
    http_reply m_reply;
    std::optional<failure> m_error;
    bool m_rejectedByCallback = false;
    bool m_done = false;
};

} // namespace

result<http_reply> httpCall(
    std::string_view address, const http_request& request, const http_call_options& options)
{
    event_loop loop;
    http_client client(loop, { 0, milliseconds { 0 } });
    return blocking_call(loop, client).run(address, request, options);
}

struct polling_client::impl {
    std::string address;
    event_loop loop;
    http_client client { loop, { 1, milliseconds { 60000 } } };
};

polling_client::polling_client(std::string_view address)
    : m_impl(std::make_unique<impl>())
{
    m_impl->address = address;
}

polling_client::~polling_client() = default;

result<http_reply> polling_client::get(const std::string& path, milliseconds timeout)
{
    http_request request;
    request.path = path;
    http_call_options options;
    options.deadline = std::chrono::steady_clock::now() + timeout;
    options.connectTimeout = timeout;
    return blocking_call(m_impl->loop, m_impl->client).run(m_impl->address, request, options);
}

} // namespace yuccachute
