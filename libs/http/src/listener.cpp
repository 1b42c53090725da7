#include "http/http.h"

#include "byte_stream.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>

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

constexpr std::size_t readBytes = 8u << 10;
/// What a caller may send ahead of its answer before it is read no further.
constexpr std::size_t mostBytesAhead = 64u << 10;
/// How long a connection is kept after its last answer for the peer to close it first. Closing with unread
/// bytes resets the connection, and a reset can destroy an answer that the peer has not read yet.
constexpr milliseconds lingerTime { 1000 };
constexpr milliseconds acceptPause { 50 };

std::string headText(unsigned status, const http_headers& headers)
{
    const auto reason = beast_http::obsolete_reason(static_cast<beast_http::status>(status));
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ';
    text.append(reason.data(), reason.size()).append("\r\n");
    for (const auto& [key, value] : headers)
        text.append(key).append(": ").append(value).append("\r\n");
    return text;
}

http_request toRequest(beast_http::request<beast_http::string_body>&& message)
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

/// Status that answers what the parser found wrong.
unsigned statusOf(const error_code& error)
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
        , pause(loop)
        , tls(asio::ssl::context::tls_server)
    {
    }

    void listen();
    void accept();
    void accepted(tcp::socket socket);
    void remove(const std::shared_ptr<connection>& gone);

    event_loop& loop;
    http_listener_options options;
    handler callback;
    tcp::acceptor acceptor;
    loop_timer pause;
    asio::ssl::context tls;
    std::set<std::shared_ptr<connection>> connections;
    std::size_t exchanges = 0;
    bool accepting = false;
    bool draining = false;
    bool closed = false;
};

namespace {

/// One connection of a caller: reads requests one after the other and writes their answers. It goes on
/// reading while an answer is under way, to notice that the caller has gone.
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
        if (!m_exchanging && !requestBegun())
            close();
    }

    // What an exchange does; `exchange` tells whether it is still the current one.
    bool current(std::uint64_t exchange) const { return m_exchanging && exchange == m_exchangeId; }
    bool unanswered(std::uint64_t exchange) const { return current(exchange) && !m_answered; }
    void send(http_reply reply);
    void startStream(unsigned status, const http_headers& headers, std::optional<std::uint64_t> length);
    void write(std::string_view piece);
    void finish();
    std::size_t unsentBytes() const { return m_out.size() + m_writing.size(); }
    void onDrained(std::function<void()> drained);
    void onCallerGone(std::function<void()> gone) { m_callerGone = std::move(gone); }

private:
    bool requestBegun() const { return !m_input.empty() || (m_parser && m_parser->got_some()); }
    void armTimer(milliseconds time);
    void timedOut();
    void awaitRequest();
    void read();
    void parse();
    void deliver();
    void refuse(unsigned status, std::string_view message);
    void queue(std::string_view text);
    void flush();
    void answered();
    void linger();

    using parser_base = beast_http::request_parser<beast_http::string_body>;
    struct parser : parser_base {
        bool got_some() const { return parser_base::got_some(); }
    };

    std::shared_ptr<http_listener::impl> m_owner;
    std::unique_ptr<byte_stream> m_stream;
    loop_timer m_timer;
    std::unique_ptr<parser> m_parser;
    std::array<char, readBytes> m_space;
    std::string m_input; ///< Received and not parsed yet.
    std::string m_out; ///< To be written after m_writing.
    std::string m_writing;
    std::function<void()> m_callerGone;
    std::function<void()> m_drained;
    std::uint64_t m_exchangeId = 0;
    bool m_exchanging = false;
    bool m_reading = false;
    bool m_headOnly = false; ///< The answer to a HEAD request has no body.
    bool m_chunked = false;
    bool m_keep = true;
    bool m_answered = false; ///< The current answer is queued whole.
    bool m_lingering = false;
    bool m_closed = false;
    bool m_continued = false; ///< "100 Continue" was sent.
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
        // A request whose handler has dropped it can get no answer any more.
        if (m_connection->unanswered(m_id))
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
    const bool midRequest = !m_exchanging && !m_lingering && requestBegun();
    if (!midRequest)
        return close();
    refuse(408, "the request took too long to arrive");
}

void connection::close()
{
    if (m_closed)
        return;
    m_closed = true;
    const auto self = shared_from_this();
    m_stream->close();
    m_timer.cancel();
    m_drained = nullptr;
    const auto gone = std::exchange(m_callerGone, nullptr);
    const bool unanswered = m_exchanging && !m_answered;
    if (m_exchanging) {
        m_exchanging = false;
        --m_owner->exchanges;
    }
    m_owner->remove(self);
    if (unanswered && gone)
        m_owner->loop.post(gone);
}

void connection::awaitRequest()
{
    m_parser = std::make_unique<parser>();
    const auto& limits = m_owner->options.limits;
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    m_parser->body_limit(limits.maxBodyBytes);
    m_continued = false;
    armTimer(limits.idleTimeout);
}

void connection::read()
{
    if (m_reading || m_closed || m_input.size() > mostBytesAhead)
        return;
    m_reading = true;
    m_stream->readSome(
        asio::buffer(m_space), [self = shared_from_this()](const error_code& error, std::size_t count) {
            self->m_reading = false;
            if (self->m_closed)
                return;
            if (error)
                return self->close();
            if (!self->m_lingering)
                self->m_input.append(self->m_space.data(), count);
            self->parse();
            self->read();
        });
}

void connection::parse()
{
    while (!m_exchanging && !m_lingering && !m_closed && !m_input.empty()) {
        if (!m_parser->is_header_done() && !m_parser->got_some())
            armTimer(m_owner->options.limits.headerTimeout);
        error_code error;
        const auto used = m_parser->put(asio::buffer(m_input), error);
        m_input.erase(0, used);
        if (error && error != beast_http::error::need_more)
            return refuse(statusOf(error), error.message());
        if (m_parser->is_done())
            return deliver();
        if (m_parser->is_header_done()) {
            armTimer(m_owner->options.limits.headerTimeout);
            if (!m_continued && m_parser->get()[beast_http::field::expect] == "100-continue") {
                m_continued = true;
                queue("HTTP/1.1 100 Continue\r\n\r\n");
            }
        }
        if (error == beast_http::error::need_more || used == 0)
            return;
    }
}

void connection::deliver()
{
    auto message = m_parser->release();
    m_timer.cancel();
    m_keep = message.keep_alive();
    m_headOnly = message.method() == beast_http::verb::head;
    m_exchanging = true;
    m_answered = false;
    ++m_owner->exchanges;
    ++m_exchangeId;
    auto request = toRequest(std::move(message));
    m_owner->callback(std::make_shared<exchange>(
        shared_from_this(), m_exchangeId, std::move(request), std::chrono::steady_clock::now()));
}

void connection::refuse(unsigned status, std::string_view message)
{
    m_keep = false;
    m_exchanging = true;
    m_answered = false;
    m_headOnly = false;
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
    m_chunked = !length;
    if (m_owner->draining)
        m_keep = false;
    auto text = headText(status, headers);
    if (length)
        text += "Content-Length: " + std::to_string(*length) + "\r\n";
    else
        text += "Transfer-Encoding: chunked\r\n";
    if (!m_keep)
        text += "Connection: close\r\n";
    queue(text + "\r\n");
}

void connection::write(std::string_view piece)
{
    if (piece.empty() || m_headOnly)
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
    m_answered = true;
    m_callerGone = nullptr;
    if (m_chunked && !m_headOnly)
        queue("0\r\n\r\n");
    if (unsentBytes() == 0)
        answered();
}

void connection::onDrained(std::function<void()> drained)
{
    m_drained = std::move(drained);
    if (unsentBytes() == 0 && m_drained)
        m_owner->loop.post(std::exchange(m_drained, nullptr));
}

void connection::queue(std::string_view text)
{
    m_out.append(text);
    flush();
}

void connection::flush()
{
    if (m_closed || !m_writing.empty() || m_out.empty())
        return;
    m_writing.swap(m_out);
    m_stream->writeAll(
        asio::buffer(m_writing), [self = shared_from_this()](const error_code& error, std::size_t) {
            self->m_writing.clear();
            if (self->m_closed)
                return;
            if (error)
                return self->close();
            if (!self->m_out.empty())
                return self->flush();
            if (const auto drained = std::exchange(self->m_drained, nullptr))
                drained();
            if (self->m_exchanging && self->m_answered && self->unsentBytes() == 0)
                self->answered();
        });
}

/// The answer has been handed to the network: the next request may come.
void connection::answered()
{
    if (!m_exchanging)
        return;
    m_exchanging = false;
    --m_owner->exchanges;
    if (!m_keep || m_owner->draining)
        return linger();
    awaitRequest();
    // Not from here: the caller of this may be the handler of the request just answered.
    m_owner->loop.post([self = shared_from_this()] {
        self->parse();
        self->read();
    });
}

void connection::linger()
{
    m_lingering = true;
    m_input.clear();
    m_stream->finishSending();
    armTimer(lingerTime);
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
    if (accepting || !acceptor.is_open() || connections.size() >= options.limits.maxConnections)
        return;
    accepting = true;
    acceptor.async_accept([self = shared_from_this()](const error_code& error, tcp::socket socket) {
        self->accepting = false;
        if (!self->acceptor.is_open())
            return;
        if (error) // Most likely no descriptor is left: one comes back when a connection ends.
            return self->pause.arm(acceptPause, [self] { self->accept(); });
        self->accepted(std::move(socket));
        self->accept();
    });
}

void http_listener::impl::accepted(tcp::socket socket)
{
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
    error_code ignored; // Nothing can be done about a failed close.
    m_impl->acceptor.close(ignored);
    m_impl->pause.cancel();
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

} // namespace yuccachute
