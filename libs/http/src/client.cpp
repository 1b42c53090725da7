#include "http/http.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/selector.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <istream>

namespace yuccachute {

namespace {

constexpr milliseconds abandonPollInterval { 20 };
constexpr std::size_t readBufferBytes = 16u << 10;

struct endpoint {
    std::string host;
    unsigned short port = 0;
};

endpoint parseEndpoint(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return { std::string(address), 80 };
    const auto port = std::atoi(std::string(address.substr(colon + 1)).c_str());
    return { std::string(address.substr(0, colon)), static_cast<unsigned short>(port) };
}

cxxtools::Milliseconds toLibrary(milliseconds time)
{
    return cxxtools::Milliseconds(static_cast<double>(time.count()));
}

/// The library has no type of its own for a failed connect(); its message is pinned by a test. Nothing has
/// been sent by then.
bool failedToConnect(std::string_view message)
{
    constexpr std::string_view connecting = "while trying to connect";
    return message.substr(0, connecting.size()) == connecting;
}

void copyHead(const cxxtools::http::ReplyHeader& header, http_reply& reply)
{
    reply.status = header.httpReturnCode();
    for (const auto& field : header) {
        std::string key = field.first;
        if (!key.empty() && key.back() == ':')
            key.pop_back();
        reply.headers.emplace_back(std::move(key), field.second);
    }
}

/// One call, driven by a selector of its own on the calling thread.
class call_driver : public cxxtools::Connectable {
public:
    call_driver(std::string_view address, const http_call_options& options)
        : m_options(options)
        , m_endpoint(parseEndpoint(address))
        , m_client(m_selector, m_endpoint.host, m_endpoint.port)
    {
        cxxtools::connect(m_client.requestSent, *this, &call_driver::onSent);
        cxxtools::connect(m_client.headerReceived, *this, &call_driver::onHeader);
        cxxtools::connect(m_client.replyFinished, *this, &call_driver::onFinished);
        cxxtools::connect(m_client.bodyAvailable, *this, &call_driver::onBody);
    }

    result<http_reply> run(const http_request& request)
    {
        // The library leaves the query out of a POST, so it travels in the URL itself.
        cxxtools::http::Request outgoing(
            request.query.empty() ? request.path : request.path + "?" + request.query);
        outgoing.method(request.method);
        for (const auto& [key, value] : request.headers)
            outgoing.addHeader(key.c_str(), value.c_str());
        outgoing.body() << request.body;
        m_started = std::chrono::steady_clock::now();
        m_lastProgress = m_started;
        try {
            return drive(outgoing);
        } catch (const std::exception& error) {
            return connectionFailure(error.what());
        }
    }

private:
    result<http_reply> drive(const cxxtools::http::Request& outgoing)
    {
        m_client.beginExecute(outgoing);
        while (!m_finished && !sawWholeContent()) {
            if (auto stop = reasonToStop(std::chrono::steady_clock::now()); !stop.message.empty()) {
                m_client.cancel();
                return stop;
            }
            const bool active = m_selector.wait(toLibrary(waitTime()));
            if (!active && isWholeDocument())
                return std::move(m_reply);
        }
        if (m_finished)
            m_client.endExecute();
        return checkedReply();
    }

    void onSent(cxxtools::http::Client&) { m_sent = true; }

    void onHeader(cxxtools::http::Client& client)
    {
        m_sent = true;
        m_lastProgress = std::chrono::steady_clock::now();
        copyHead(client.header(), m_reply);
        m_chunked = client.header().chunkedTransferEncoding();
        m_framed = m_chunked || client.header().hasHeader("Content-Length") || m_reply.status == 204
            || m_reply.status == 304;
        if (m_options.onHead && !m_options.onHead(m_reply))
            m_refusedByCaller = true;
    }

    std::size_t onBody(cxxtools::http::Client& client)
    {
        char buffer[readBufferBytes];
        auto* source = client.in().rdbuf();
        m_lastProgress = std::chrono::steady_clock::now();
        const auto count
            = source->sgetn(buffer, std::min<std::streamsize>(source->in_avail(), sizeof buffer));
        if (count <= 0)
            return 0;
        const std::string_view piece(buffer, static_cast<std::size_t>(count));
        if (!m_options.onBody)
            m_reply.body.append(piece);
        else if (!m_refusedByCaller && !m_options.onBody(piece))
            m_refusedByCaller = true;
        return piece.size();
    }

    void onFinished(cxxtools::http::Client&) { m_finished = true; }

    // The library overlooks a last chunk that arrives together with data, and waits for more until the
    // connection ends, which it then reports as an error. The content's own end has to tell: a stream's final
    // event, or a JSON document that is complete.
    bool sawWholeContent() const { return m_reply.status != 0 && m_options.isWhole && m_options.isWhole(); }

    bool isWholeDocument() const
    {
        const bool json = findHeader(m_reply.headers, "Content-Type").find("json") != std::string_view::npos;
        return json && m_chunked && !m_options.onBody && nlohmann::json::accept(m_reply.body);
    }

    milliseconds waitTime() const
    {
        const auto left
            = std::chrono::duration_cast<milliseconds>(m_options.deadline - std::chrono::steady_clock::now());
        return std::max(milliseconds { 1 }, std::min(left, abandonPollInterval));
    }

    /// Returns a failure with an empty message while the call may go on.
    failure reasonToStop(steady_time now) const
    {
        // Until the request is handed over completely the target cannot have run it: it waits for the rest.
        const auto ran = m_sent ? verdict::may_have_run : verdict::not_run;
        if (m_refusedByCaller || (m_options.abandon && m_options.abandon->load(std::memory_order_relaxed)))
            return { ran, failure_kind::cancelled, "the call was abandoned" };
        if (now >= m_options.deadline)
            return { ran, failure_kind::timeout, "no whole answer before the deadline" };
        if (!m_sent && now - m_started > m_options.connectTimeout)
            return { ran, failure_kind::unavailable, "cannot connect" };
        if (m_sent && m_options.idleTimeout.count() > 0 && now - m_lastProgress > m_options.idleTimeout)
            return { ran, failure_kind::unavailable, "the target has gone silent" };
        return {};
    }

    result<http_reply> connectionFailure(std::string_view message)
    {
        if (!m_sent && failedToConnect(message))
            return notRun(failure_kind::unavailable, std::string(message));
        if (sawWholeContent() || isWholeDocument())
            return std::move(m_reply);
        return mayHaveRun(failure_kind::incomplete, std::string(message));
    }

    result<http_reply> checkedReply()
    {
        if (m_refusedByCaller)
            return mayHaveRun(failure_kind::cancelled, "the call was abandoned");
        if (m_reply.status == 0 || !(m_framed || sawWholeContent()))
            return mayHaveRun(failure_kind::incomplete, "the answer has no length and no final chunk");
        return std::move(m_reply);
    }

    const http_call_options& m_options;
    endpoint m_endpoint;
    cxxtools::Selector m_selector;
    cxxtools::http::Client m_client;
    http_reply m_reply { 0, {}, {} };
    steady_time m_started;
    steady_time m_lastProgress;
    bool m_sent = false;
    bool m_chunked = false;
    bool m_framed = false;
    bool m_finished = false;
    bool m_refusedByCaller = false;
};

} // namespace

result<http_reply> httpCall(
    std::string_view address, const http_request& request, const http_call_options& options)
{
    try {
        return call_driver(address, options).run(request);
    } catch (const std::exception& error) {
        return notRun(failure_kind::unavailable, error.what());
    }
}

struct polling_client::impl {
    explicit impl(std::string_view address)
        : target(parseEndpoint(address))
        , client(target.host, target.port)
    {
    }

    endpoint target;
    cxxtools::http::Client client;
};

polling_client::polling_client(std::string_view address)
    : m_impl(std::make_unique<impl>(address))
{
}

polling_client::~polling_client() = default;

result<http_reply> polling_client::get(const std::string& path, milliseconds timeout)
{
    http_reply reply;
    try {
        cxxtools::http::Request request(path);
        const auto& header = m_impl->client.execute(request, toLibrary(timeout), toLibrary(timeout));
        copyHead(header, reply);
        reply.body = m_impl->client.readBody().body();
        return reply;
    } catch (const std::exception& error) {
        m_impl->client.close(); // What is left of the answer must not be read as the next one.
        return mayHaveRun(failure_kind::unavailable, error.what());
    }
}

} // namespace yuccachute
