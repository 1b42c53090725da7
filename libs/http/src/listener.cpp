#include "http/http.h"

#include "byte_stream.h"
#include "http_log.h"
#include "received_body.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>
#include <stdexcept>

namespace yuccachute {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr unsigned http10 = 10; ///< HTTP/1.0, as Boost.Beast gives versions.
constexpr std::size_t readBufferBytes = 8u << 10;
/// Limit on unparsed pipelined input; above it the connection is not read until a response is written.
constexpr std::size_t maxReadAheadBytes = 64u << 10;
/// Time allowed for the peer to close the connection after its last response. Closing a socket with unread
/// input sends a reset, and a reset can discard response bytes that the peer has not read yet.
constexpr milliseconds lingerTimeout { 1000 };
/// A connection that has been idle for less may be about to bring the request that it was opened for.
constexpr milliseconds minIdleTimeBeforeEviction { 1000 };
/// Delay before accepting again after a failure, usually a lack of file descriptors.
constexpr milliseconds acceptRetryDelay { 50 };

std::string formatResponseHead(unsigned status, const http_headers& headers)
{
    const auto reason = beast_http::obsolete_reason(static_cast<beast_http::status>(status));
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ';
    text.append(reason.data(), reason.size()).append("\r\n");
    for (const auto& [key, value] : headers)
        text.append(key).append(": ").append(value).append("\r\n");
    return text;
}

http_request toRequest(beast_http::request<received_body>&& message)
{
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    const auto question = request.target.find('?');
    request.path = request.target.substr(0, question);
    if (question != std::string::npos)
        request.query = request.target.substr(question + 1);
    for (const auto& field : message)
        request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    request.body = std::move(message.body());
    return request;
}

/// Whether the length of the body follows from a transfer coding that is not "chunked" alone. The parser
/// takes such a request for one without a body, and its body for the next request.
bool hasAmbiguousLength(const beast_http::request_header<>& head)
{
    const auto codings = head.equal_range(beast_http::field::transfer_encoding);
    const auto count = std::distance(codings.first, codings.second);
    return count > 1 || (count == 1 && !boost::beast::iequals(codings.first->value(), "chunked"));
}

/// Maps a parse error to the status code of the response.
unsigned statusForParseError(const error_code& error)
{
    if (error == beast_http::error::header_limit || error == beast_http::error::buffer_overflow)
        return 431;
    if (error == beast_http::error::body_limit)
        return 413;
    return 400;
}

class connection;

} // namespace

struct http_listener::impl : std::enable_shared_from_this<http_listener::impl> {
    impl(event_loop& eventLoop, http_listener_options given, handler onRequest)
        : loop(eventLoop)
        , options(std::move(given))
        , callback(std::move(onRequest))
        , acceptor(loop.context())
        , acceptRetryTimer(loop)
        , tls(asio::ssl::context::tls_server)
    {
    }

    void listen();
    void accept();
    void startConnection(tcp::socket socket);
    bool makeRoom(steady_time now);
    void remove(const std::shared_ptr<connection>& gone);

    event_loop& loop;
    http_listener_options options;
    handler callback;
    tcp::acceptor acceptor;
    loop_timer acceptRetryTimer;
    asio::ssl::context tls;
    std::set<std::shared_ptr<connection>> connections;
    std::size_t exchanges = 0;
    std::uint64_t closedUnread = 0;
    bool accepting = false;
    bool draining = false;
    bool closed = false;
};

namespace {

/// Server side of one connection. Handles its requests one at a time. It keeps reading while a response is
/// pending, in order to detect that the caller has disconnected.
class connection : public std::enable_shared_from_this<connection> {
public:
    connection(std::shared_ptr<http_listener::impl> owner, std::unique_ptr<byte_stream> stream)
        : m_owner(std::move(owner))
        , m_stream(std::move(stream))
        , m_timer(m_owner->loop)
    {
    }

    void start()
    {
        armTimer(m_owner->options.limits.headerTimeout);
        m_stream->accept([self = shared_from_this()](const error_code& error) {
            if (error)
                return self->close();
            self->awaitRequest();
            self->read();
        });
    }

    void close();
    void drain()
    {
        if (!m_exchangeActive && !requestStarted())
            close();
    }

    /// Since when no request has been under way; unset during one.
    std::optional<steady_time> idleSince() const
    {
        const bool idle = !m_exchangeActive && !m_lingering && !requestStarted();
        return idle ? std::optional(m_idleSince) : std::nullopt;
    }

    // Interface for `exchange`. The id identifies an exchange; calls of one that is not current are ignored.
    bool current(std::uint64_t exchange) const { return m_exchangeActive && exchange == m_exchangeId; }
    bool awaitingResponse(std::uint64_t exchange) const { return current(exchange) && !m_responseQueued; }
    void send(http_reply reply);
    void startStream(unsigned status, const http_headers& headers, std::optional<std::uint64_t> length);
    void write(std::string_view piece);
    void finish();
    std::size_t unsentBytes() const { return m_pendingOutput.size() + m_outputInFlight.size(); }
    void onDrained(std::function<void()> drained);
    void onCallerGone(std::function<void()> gone) { m_onCallerGone = std::move(gone); }

private:
    bool requestStarted() const { return !m_input.empty() || (m_parser && m_parser->got_some()); }
    void armTimer(milliseconds time);
    void timedOut();
    void awaitRequest();
    void read();
    void parse();
    void parseGuarded();
    void dispatchRequest();
    void rejectRequest(unsigned status, std::string_view message);
    void queue(std::string_view text);
    void flush();
    void responseWritten();
    void startLinger();

    using parser_base = beast_http::request_parser<received_body>;
    struct parser : parser_base {
        bool got_some() const { return parser_base::got_some(); }
    };

    std::shared_ptr<http_listener::impl> m_owner;
    std::unique_ptr<byte_stream> m_stream;
    loop_timer m_timer;
    std::unique_ptr<parser> m_parser;
    std::array<char, readBufferBytes> m_readBuffer;
    std::string m_input; ///< Received, not parsed yet.
    std::string m_pendingOutput; ///< Queued behind m_outputInFlight.
    std::string m_outputInFlight;
    std::function<void()> m_onCallerGone;
    std::function<void()> m_onDrained;
    steady_time m_idleSince = std::chrono::steady_clock::now();
    std::uint64_t m_exchangeId = 0;
    bool m_exchangeActive = false;
    bool m_reading = false;
    bool m_headRequest = false; ///< The response to a HEAD request has no body.
    bool m_http10 = false; ///< The caller does not understand chunks.
    bool m_endsByClose = false; ///< The end of the connection is the end of the response.
    bool m_chunked = false;
    bool m_keepAlive = true;
    bool m_responseQueued = false; ///< The current response is completely queued.
    bool m_lingering = false;
    bool m_closed = false;
    bool m_continueSent = false; ///< "100 Continue" was sent.
};

class exchange final : public http_exchange {
public:
    exchange(std::shared_ptr<connection> caller, std::uint64_t id, http_request request, steady_time now)
        : m_connection(std::move(caller))
        , m_id(id)
        , m_request(std::move(request))
        , m_received(now)
    {
    }

    ~exchange() override
    {
        // The handler released the exchange without finishing the response, so none can follow.
        if (m_connection->awaitingResponse(m_id))
            m_connection->close();
    }

    const http_request& request() const override { return m_request; }
    steady_time received() const override { return m_received; }

    void send(http_reply reply) override
    {
        if (m_connection->current(m_id))
            m_connection->send(std::move(reply));
    }

    void startStream(
        unsigned status, const http_headers& headers, std::optional<std::uint64_t> length) override
    {
        if (m_connection->current(m_id))
            m_connection->startStream(status, headers, length);
    }

    void write(std::string_view piece) override
    {
        if (m_connection->current(m_id))
            m_connection->write(piece);
    }

    void finish() override
    {
        if (m_connection->current(m_id))
            m_connection->finish();
    }

    void abort() override
    {
        if (m_connection->current(m_id))
            m_connection->close();
    }

    std::size_t unsentBytes() const override
    {
        return m_connection->current(m_id) ? m_connection->unsentBytes() : 0;
    }

    void onDrained(std::function<void()> drained) override
    {
        if (m_connection->current(m_id))
            m_connection->onDrained(std::move(drained));
    }

    void onCallerGone(std::function<void()> gone) override
    {
        if (m_connection->current(m_id))
            m_connection->onCallerGone(std::move(gone));
    }

private:
    std::shared_ptr<connection> m_connection;
    std::uint64_t m_id;
    http_request m_request;
    steady_time m_received;
};

void connection::armTimer(milliseconds time)
{
    m_timer.arm(time, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->timedOut();
    });
}

void connection::timedOut()
{
    const bool midRequest = !m_exchangeActive && !m_lingering && requestStarted();
    if (!midRequest)
        return close();
    rejectRequest(408, "the request was not received before the header timeout");
}

void connection::close()
{
    if (m_closed)
        return;
    m_closed = true;
    const auto self = shared_from_this();
    if (m_exchangeActive && m_endsByClose && !m_responseQueued)
        m_stream->reset();
    else
        m_stream->close();
    m_timer.cancel();
    m_onDrained = nullptr;
    const auto gone = std::exchange(m_onCallerGone, nullptr);
    const bool awaitingResponse = m_exchangeActive && !m_responseQueued;
    if (m_exchangeActive) {
        m_exchangeActive = false;
        --m_owner->exchanges;
    }
    m_owner->remove(self);
    if (awaitingResponse && gone)
        m_owner->loop.post(gone);
}

void connection::awaitRequest()
{
    m_parser = std::make_unique<parser>();
    const auto& limits = m_owner->options.limits;
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    m_parser->body_limit(limits.maxBodyBytes);
    m_continueSent = false;
    m_idleSince = std::chrono::steady_clock::now();
    armTimer(limits.idleTimeout);
}

void connection::read()
{
    if (m_reading || m_closed || m_input.size() > maxReadAheadBytes)
        return;
    m_reading = true;
    m_stream->readSome(
        asio::buffer(m_readBuffer), [self = shared_from_this()](const error_code& error, std::size_t count) {
            self->m_reading = false;
            if (self->m_closed)
                return;
            if (error)
                return self->close();
            if (!self->m_lingering)
                self->m_input.append(self->m_readBuffer.data(), count);
            self->parseGuarded();
            self->read();
        });
}

/// An exception of the parser or of the request's handler closes this connection alone.
void connection::parseGuarded()
{
    try {
        parse();
    } catch (const std::exception& exception) {
        currentHttpLog().requestException(exception.what());
        close();
    }
}

void connection::parse()
{
    while (!m_exchangeActive && !m_lingering && !m_closed && !m_input.empty()) {
        if (!m_parser->is_header_done() && !m_parser->got_some())
            armTimer(m_owner->options.limits.headerTimeout);
        if (endsWithinLastChunk(*m_parser, m_input))
            return;
        error_code error;
        const auto used = m_parser->put(asio::buffer(m_input), error);
        m_input.erase(0, used);
        if (error && error != beast_http::error::need_more)
            return rejectRequest(statusForParseError(error), error.message());
        if (m_parser->is_header_done() && hasAmbiguousLength(m_parser->get()))
            return rejectRequest(400, "the transfer coding is not supported");
        if (m_parser->is_done())
            return dispatchRequest();
        if (m_parser->is_header_done()) {
            armTimer(m_owner->options.limits.headerTimeout);
            if (!m_continueSent && m_parser->get()[beast_http::field::expect] == "100-continue") {
                m_continueSent = true;
                queue("HTTP/1.1 100 Continue\r\n\r\n");
            }
        }
        if (error == beast_http::error::need_more || used == 0)
            return;
    }
}

void connection::dispatchRequest()
{
    auto message = m_parser->release();
    m_timer.cancel();
    m_keepAlive = message.keep_alive();
    m_headRequest = message.method() == beast_http::verb::head;
    m_http10 = message.version() == http10;
    m_endsByClose = false;
    m_exchangeActive = true;
    m_responseQueued = false;
    ++m_owner->exchanges;
    ++m_exchangeId;
    auto request = toRequest(std::move(message));
    m_owner->callback(std::make_shared<exchange>(
        shared_from_this(), m_exchangeId, std::move(request), std::chrono::steady_clock::now()));
}

void connection::rejectRequest(unsigned status, std::string_view message)
{
    m_keepAlive = false;
    m_exchangeActive = true;
    m_responseQueued = false;
    m_headRequest = false;
    ++m_owner->exchanges;
    ++m_exchangeId;
    m_input.clear();
    send({ status, { { "Content-Type", "text/plain" } }, std::string(message) + "\n" });
}

void connection::send(http_reply reply)
{
    startStream(reply.status, reply.headers, reply.body.size());
    write(reply.body);
    finish();
}

void connection::startStream(
    unsigned status, const http_headers& headers, std::optional<std::uint64_t> length)
{
    m_endsByClose = !length && m_http10;
    m_chunked = !length && !m_endsByClose && m_owner->options.chunkedResponses;
    if (m_owner->draining)
        m_keepAlive = false;
    auto text = formatResponseHead(status, headers);
    if (length)
        text += "Content-Length: " + std::to_string(*length) + "\r\n";
    else if (m_chunked)
        text += "Transfer-Encoding: chunked\r\n";
    else
        m_keepAlive = false; // The end of the connection is the end of the body.
    if (!m_keepAlive)
        text += "Connection: close\r\n";
    queue(text + "\r\n");
}

void connection::write(std::string_view piece)
{
    if (piece.empty() || m_headRequest)
        return;
    if (!m_chunked)
        return queue(piece);
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
    std::string framed = size;
    framed.append(piece).append("\r\n");
    queue(framed);
}

void connection::finish()
{
    m_responseQueued = true;
    m_onCallerGone = nullptr;
    if (m_chunked && !m_headRequest)
        queue("0\r\n\r\n");
    if (unsentBytes() == 0)
        responseWritten();
}

void connection::onDrained(std::function<void()> drained)
{
    m_onDrained = std::move(drained);
    if (unsentBytes() == 0 && m_onDrained)
        m_owner->loop.post(std::exchange(m_onDrained, nullptr));
}

void connection::queue(std::string_view text)
{
    m_pendingOutput.append(text);
    flush();
}

void connection::flush()
{
    if (m_closed || !m_outputInFlight.empty() || m_pendingOutput.empty())
        return;
    m_outputInFlight.swap(m_pendingOutput);
    m_stream->writeAll(
        asio::buffer(m_outputInFlight), [self = shared_from_this()](const error_code& error, std::size_t) {
            self->m_outputInFlight.clear();
            if (self->m_closed)
                return;
            if (error)
                return self->close();
            if (!self->m_pendingOutput.empty())
                return self->flush();
            if (const auto drained = std::exchange(self->m_onDrained, nullptr))
                drained();
            if (self->m_exchangeActive && self->m_responseQueued && self->unsentBytes() == 0)
                self->responseWritten();
        });
}

/// Called when the response is completely written to the socket. Starts the next request.
void connection::responseWritten()
{
    if (!m_exchangeActive)
        return;
    m_exchangeActive = false;
    --m_owner->exchanges;
    if (!m_keepAlive || m_owner->draining)
        return startLinger();
    awaitRequest();
    // Posted to avoid recursion: this may be called from within the handler of the previous request.
    m_owner->loop.post([self = shared_from_this()] {
        self->parseGuarded();
        self->read();
    });
}

void connection::startLinger()
{
    m_lingering = true;
    m_input.clear();
    m_stream->finishSending();
    armTimer(lingerTimeout);
    read();
}

} // namespace

void http_listener::impl::listen()
{
    if (!options.certificateFile.empty()) {
        tls.use_certificate_chain_file(options.certificateFile);
        tls.use_private_key_file(options.privateKeyFile, asio::ssl::context::pem);
    }
    const tcp::endpoint endpoint(asio::ip::make_address(options.address), options.port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
    accept();
}

void http_listener::impl::accept()
{
    if (accepting || !acceptor.is_open())
        return;
    accepting = true;
    acceptor.async_accept([self = shared_from_this()](const error_code& error, tcp::socket socket) {
        self->accepting = false;
        if (!self->acceptor.is_open())
            return;
        if (error) // Most likely out of file descriptors; one becomes free when a connection closes.
            return self->acceptRetryTimer.arm(acceptRetryDelay, [self] { self->accept(); });
        self->startConnection(std::move(socket));
        self->accept();
    });
}

/// Returns whether a further connection can be served.
bool http_listener::impl::makeRoom(steady_time now)
{
    if (connections.size() < options.limits.maxConnections)
        return true;
    std::shared_ptr<connection> longestIdle;
    auto earliest = now - minIdleTimeBeforeEviction;
    for (const auto& one : connections) {
        const auto since = one->idleSince();
        if (!since || *since > earliest)
            continue;
        earliest = *since;
        longestIdle = one;
    }
    if (!longestIdle)
        return false;
    longestIdle->close();
    return true;
}

void http_listener::impl::startConnection(tcp::socket socket)
{
    if (!makeRoom(std::chrono::steady_clock::now())) {
        ++closedUnread;
        return; // The socket's destructor closes it.
    }
    setSocketOptions(socket);
    auto stream = options.certificateFile.empty() ? plainStream(std::move(socket))
                                                  : tlsStream(std::move(socket), tls);
    const auto caller = std::make_shared<connection>(shared_from_this(), std::move(stream));
    connections.insert(caller);
    caller->start();
}

void http_listener::impl::remove(const std::shared_ptr<connection>& gone)
{
    connections.erase(gone);
    if (!closed)
        accept();
}

http_listener::http_listener(event_loop& loop, http_listener_options options, handler onRequest)
{
    const auto where = options.address + ':' + std::to_string(options.port);
    m_impl = std::make_shared<impl>(loop, std::move(options), std::move(onRequest));
    try {
        m_impl->listen();
    } catch (const std::exception& error) {
        throw std::runtime_error("cannot listen on " + where + ": " + error.what());
    }
}

http_listener::~http_listener()
{
    m_impl->closed = true;
    stopAccepting();
    for (const auto& caller : std::set(m_impl->connections))
        caller->close();
}

void http_listener::setLimits(const http_limits& limits)
{
    m_impl->options.limits = limits;
}

void http_listener::stopAccepting()
{
    error_code ignored; // A failed close cannot be handled.
    m_impl->acceptor.close(ignored);
    m_impl->acceptRetryTimer.cancel();
}

void http_listener::closeAfterAnswers()
{
    m_impl->draining = true;
    for (const auto& caller : std::set(m_impl->connections))
        caller->drain();
}

std::size_t http_listener::connections() const
{
    return m_impl->connections.size();
}

std::size_t http_listener::exchanges() const
{
    return m_impl->exchanges;
}

std::uint64_t http_listener::connectionsClosedUnread() const
{
    return m_impl->closedUnread;
}

} // namespace yuccachute
