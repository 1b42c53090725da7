#include "http/http.h"

#include "byte_stream.h"
#include "http_log.h"
#include "received_body.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <functional>
#include <limits>
#include <list>
#include <map>

namespace yuccachute {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t readBufferBytes = 8u << 10;
/// Larger bodies are written after the head without being copied behind it.
constexpr std::size_t maxCopiedBody = 16u << 10;
/// A second response arrives within a few requests of the first one, before the connection is idle for long.
constexpr std::size_t maxCarriedIds = 64;
/// Framing of a chunked body: an allowance as for a head, and for each byte of the body. The smallest chunk
/// has six bytes of framing for one of the body; the rest is for leading zeros and short extensions.
constexpr std::uint64_t framingAllowance = 64u << 10;
constexpr std::uint64_t framingBytesPerBodyByte = 16;
/// The line end after a chunk's data may arrive without the next chunk's header.
constexpr std::size_t chunkLineEndBytes = 2;
/// An idle connection is not reused this close to the end of the peer's keep-alive timeout, because a request
/// that is in transit when the peer closes the connection is lost.
constexpr milliseconds keepAliveMargin { 500 };
/// Statuses that answers can have (RFC 9110, 15).
constexpr unsigned minStatus = 100;
constexpr unsigned maxStatus = 599;

/// Client side of one connection.
struct server_connection {
    explicit server_connection(event_loop& loop)
        : socket(loop.context())
        , idleTimer(loop)
    {
    }

    tcp::socket socket;
    std::unique_ptr<byte_stream> stream; ///< Owns the socket once it is connected.
    std::array<char, readBufferBytes> readBuffer;
    std::string address;
    loop_timer idleTimer; ///< Closes the connection when it has been idle for too long.
    bool closed = false;
    steady_time idleSince; ///< When the last response on it was complete.
    /// Receives the input. Null while the connection is idle; any input then closes it.
    std::function<void(const error_code&, std::string_view)> reader;
    bool reading = false;
    std::deque<std::size_t> carriedIds; ///< Hashes of the ids of the latest requests.

    void carry(std::string_view id)
    {
        if (carriedIds.size() >= maxCarriedIds)
            carriedIds.pop_front();
        carriedIds.push_back(std::hash<std::string_view> {}(id));
    }

    bool hasCarried(std::string_view id) const
    {
        const auto hash = std::hash<std::string_view> {}(id);
        return std::find(carriedIds.begin(), carriedIds.end(), hash) != carriedIds.end();
    }

    void close()
    {
        closed = true;
        reader = nullptr;
        idleTimer.cancel();
        error_code ignored; // A failed close cannot be handled.
        if (stream)
            stream->close();
        else
            socket.close(ignored);
    }
};

using connection_ptr = std::shared_ptr<server_connection>;

/// The head, and the body if it is small.
std::string serializeRequest(const http_request& request, std::string_view address)
{
    std::string target = request.target;
    if (target.empty()) {
        target = request.path.empty() ? "/" : request.path;
        if (!request.query.empty())
            target += '?' + request.query;
    }
    std::string text = request.method + ' ' + target + " HTTP/1.1\r\n";
    const auto add = [&](std::string_view name, std::string_view value) {
        text.append(name).append(": ").append(value).append("\r\n");
    };
    if (findHeader(request.headers, "Host").empty())
        add("Host", address);
    for (const auto& [name, value] : request.headers)
        add(name, value);
    const bool hasBody = !request.body.empty() || request.method == "POST" || request.method == "PUT";
    if (hasBody && findHeader(request.headers, "Content-Length").empty())
        add("Content-Length", std::to_string(request.body.size()));
    text.append("\r\n");
    if (request.body.size() <= maxCopiedBody)
        text.append(request.body);
    return text;
}

/// Returns how long an idle connection may be reused: maxIdle, or less if the Keep-Alive header says so.
milliseconds reusableFor(std::string_view keepAlive, milliseconds maxIdle)
{
    constexpr std::string_view parameter = "timeout=";
    const auto found = keepAlive.find(parameter);
    if (found == std::string_view::npos)
        return maxIdle;
    const auto digits = keepAlive.substr(found + parameter.size());
    unsigned seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::min(maxIdle, milliseconds { seconds * 1000 } - keepAliveMargin);
}

/// Whether a line begins with a blank. The parser appends such a line to the value of the field before it; no
/// current server sends one (RFC 9112, 5.2).
bool hasFoldedLine(std::string_view fields)
{
    return fields.find("\r\n ") != std::string_view::npos || fields.find("\r\n\t") != std::string_view::npos;
}

class call;

} // namespace

struct http_client::impl : std::enable_shared_from_this<http_client::impl> {
    impl(event_loop& eventLoop, http_client_options given)
        : loop(eventLoop)
        , options(given)
    {
    }

    connection_ptr takeIdle(std::string_view address, std::string_view answerId);
    void addIdle(const connection_ptr& connection, milliseconds time);
    /// Closes the connections to the address that have been idle since before then.
    void closeIdleSince(std::string_view address, steady_time time);
    void read(const connection_ptr& connection);

    event_loop& loop;
    http_client_options options;
    std::map<std::string, std::list<connection_ptr>, std::less<>> idleConnections;
    std::uint64_t opened = 0;
};

connection_ptr http_client::impl::takeIdle(std::string_view address, std::string_view answerId)
{
    const auto found = idleConnections.find(address);
    if (found == idleConnections.end())
        return nullptr;
    auto& connections = found->second;
    connection_ptr taken;
    std::erase_if(connections, [](const auto& idle) { return idle->closed; });
    // Prefers the connection used last, so that surplus ones reach their idle timeout and are closed.
    const auto usable = std::find_if(connections.rbegin(), connections.rend(),
        [&](const auto& idle) { return answerId.empty() || !idle->hasCarried(answerId); });
    if (usable != connections.rend()) {
        taken = *usable;
        connections.erase(std::next(usable).base());
    }
    if (connections.empty())
        idleConnections.erase(found);
    if (taken)
        taken->idleTimer.cancel();
    return taken;
}

void http_client::impl::addIdle(const connection_ptr& connection, milliseconds time)
{
    auto& connections = idleConnections[connection->address];
    if (time <= milliseconds { 0 } || connections.size() >= options.maxIdlePerAddress)
        return connection->close();
    connections.push_back(connection);
    connection->idleSince = std::chrono::steady_clock::now();
    connection->reader = nullptr;
    connection->idleTimer.arm(time, [connection] { connection->close(); });
    read(connection);
}

void http_client::impl::closeIdleSince(std::string_view address, steady_time time)
{
    const auto found = idleConnections.find(address);
    if (found == idleConnections.end())
        return;
    for (const auto& idle : found->second) {
        if (idle->idleSince < time)
            idle->close();
    }
}

void http_client::impl::read(const connection_ptr& connection)
{
    if (connection->reading || connection->closed)
        return;
    connection->reading = true;
    connection->stream->readSome(
        asio::buffer(connection->readBuffer), [connection](const error_code& error, std::size_t count) {
            connection->reading = false;
            if (connection->closed)
                return;
            // On an idle connection this is the end of file, or bytes that belong to no request.
            if (!connection->reader)
                return connection->close();
            const auto reader = connection->reader;
            reader(error, std::string_view(connection->readBuffer.data(), count));
        });
}

namespace {

class call : public std::enable_shared_from_this<call> {
public:
    call(std::shared_ptr<http_client::impl> owner, std::string_view address, const http_request& request,
        const client_call_options& options, client_call_events events)
        : m_owner(std::move(owner))
        , m_address(address)
        , m_request(serializeRequest(request, address))
        , m_largeBody(request.body.size() > maxCopiedBody ? request.body : shared_bytes())
        , m_headRequest(request.method == "HEAD")
        , m_options(options)
        , m_events(std::move(events))
        , m_deadlineTimer(m_owner->loop)
        , m_inactivityTimer(m_owner->loop)
        , m_reuseTimer(m_owner->loop)
        , m_headTimer(m_owner->loop)
        , m_bodyTimer(m_owner->loop)
    {
    }

    void start()
    {
        m_deadlineTimer.armAt(m_options.deadline, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->failTimedOut("the response was not complete before the deadline");
        });
        if (!m_options.freshConnection)
            m_connection = m_owner->takeIdle(m_address, m_options.answerId);
        m_reused = m_connection != nullptr;
        if (m_reused)
            return m_owner->loop.post([self = shared_from_this()] { self->sendOnIdle(); });
        connect();
    }

    void cancel()
    {
        end();
        if (m_connection)
            m_connection->close();
    }

    void pause()
    {
        m_paused = true;
        m_headTimer.cancel();
        m_bodyTimer.cancel();
    }

    void resume()
    {
        m_paused = false;
        if (!m_ended && m_sendStarted)
            m_owner->read(m_connection);
    }

    void setLimits(const answer_limits& limits) { m_options.limits = limits; }

    void eventsReceived()
    {
        m_eventBytes = 0;
        m_eventReported = true;
        cancelIfArmed(m_bodyTimer);
    }

private:
    void connect()
    {
        error_code error;
        m_reused = false;
        const auto endpoint = parseEndpoint(m_address, error);
        m_connection = std::make_shared<server_connection>(m_owner->loop);
        m_connection->address = m_address;
        if (!error)
            m_connection->socket.open(endpoint.protocol(), error);
        if (error)
            return m_owner->loop.post([self = shared_from_this(), error] {
                self->fail(failure_kind::unavailable, "cannot connect: " + error.message());
            });
        setSocketOptions(m_connection->socket);
        armInactivityTimer(
            m_options.connectTimeout, "the connection was not established before the connect timeout");
        m_connection->socket.async_connect(endpoint, [self = shared_from_this()](const error_code& result) {
            if (self->m_ended)
                return;
            if (result)
                return self->fail(failure_kind::unavailable, "cannot connect: " + result.message());
            ++self->m_owner->opened;
            self->m_inactivityTimer.cancel();
            self->m_connection->stream = plainStream(std::move(self->m_connection->socket));
            self->send();
        });
    }

    /// In a process that stood still, a late response to an earlier request, or the end of the connection,
    /// may lie on an idle connection that the loop has not read yet.
    void sendOnIdle()
    {
        if (!m_ended && !m_connection->closed && m_connection->stream->hasUnreadInput())
            m_connection->close();
        send();
    }

    void send()
    {
        if (m_ended)
            return;
        if (m_connection->closed) // Closed while the call was queued. No byte was sent, so a retry is safe.
            return connect();
        m_sendStarted = true;
        ++m_attempts;
        m_requestWritten = false;
        m_writeError.clear();
        m_sentAt = std::chrono::steady_clock::now();
        if (m_reused && m_options.reuseTimeout.count() > 0)
            m_reuseTimer.arm(m_options.reuseTimeout, [weak = weak_from_this()] {
                if (const auto self = weak.lock())
                    self->sendAgain();
            });
        if (!m_options.answerId.empty())
            m_connection->carry(m_options.answerId);
        m_parser.emplace();
        prepareParser();
        m_connection->reader = [weak = weak_from_this()](const error_code& error, std::string_view bytes) {
            if (const auto self = weak.lock())
                self->receivedGuarded(error, bytes);
        };
        m_owner->read(m_connection);
        if (m_options.idleTimeout.count() > 0)
            armInactivityTimer(m_options.idleTimeout, "the server sent no data within the idle timeout");
        write(m_request, m_largeBody.empty());
    }

    /// `last`: whether the request ends with these bytes. A write error ends the call only after the reader
    /// has, which may hold a response already.
    void write(std::string_view bytes, bool last)
    {
        const auto written
            = [self = shared_from_this(), last, on = m_connection](const error_code& error, std::size_t) {
                  if (self->m_ended || self->m_connection != on)
                      return;
                  if (!error && !last)
                      return self->write(self->m_largeBody, true);
                  self->m_writeError = error;
                  self->m_requestWritten = !error;
                  if (self->m_inputEnded)
                      self->connectionEnded(asio::error::eof);
              };
        m_connection->stream->writeAll(asio::buffer(bytes.data(), bytes.size()), written);
    }

    /// The request may have arrived over the reused connection, on which no byte of the response has.
    void sendAgain()
    {
        if (m_ended)
            return;
        cancelIfArmed(m_reuseTimer);
        m_owner->closeIdleSince(m_address, m_sentAt);
        m_connection->close();
        connect();
    }

    void prepareParser()
    {
        m_parser->eager(false); // Until the end of the head.
        m_parser->header_limit(m_options.limits.headBytes);
        m_parser->body_limit(std::numeric_limits<std::uint64_t>::max()); // See checkBody().
        m_parser->skip(m_headRequest);
    }

    /// An exception of the reader, or of a receiver that could not handle these bytes, fails this call alone.
    void receivedGuarded(const error_code& error, std::string_view bytes)
    {
        try {
            received(error, bytes);
        } catch (const std::exception& exception) {
            // Thrown by the receiver of the outcome, which gets no second report: if this went unnoticed, its
            // next step would be missing.
            if (m_ended)
                throw;
            currentHttpLog().callException(m_address, exception.what());
            m_connection->close();
            fail(failure_kind::incomplete, "the response could not be handled");
        }
    }

    void received(const error_code& error, std::string_view bytes)
    {
        const auto self = shared_from_this();
        if (m_ended)
            return;
        if (error)
            return connectionEnded(error);
        if (m_options.idleTimeout.count() > 0)
            armInactivityTimer(m_options.idleTimeout, "the server sent no data within the idle timeout");
        cancelIfArmed(m_reuseTimer);
        m_input.append(bytes);
        m_received += bytes.size();
        if (parse() && watchHead() && !m_paused)
            m_owner->read(m_connection);
    }

    /// Returns false if the call is finished.
    bool parse()
    {
        while (!m_input.empty() && !endsWithinLastChunk(*m_parser, m_input)) {
            error_code error;
            const bool inHead = !m_parser->is_header_done();
            const auto used = m_parser->put(asio::buffer(m_input), error);
            const bool folded = inHead && hasFoldedLine(std::string_view(m_input).substr(0, used));
            m_input.erase(0, used);
            if (error == beast_http::error::header_limit)
                return failLimit("head bytes");
            if (error && error != beast_http::error::need_more)
                return failInvalid(error.message());
            if (folded)
                return failInvalid("a line of its head is folded");
            if (m_parser->is_header_done() && !hasValidStatus())
                return failInvalid("its status does not exist");
            if (m_parser->is_header_done() && m_parser->get().result_int() / 100 == 1) {
                if (!checkInterim())
                    return false;
                m_parser.emplace(); // An interim response such as 100 Continue; the final one follows.
                prepareParser();
                continue;
            }
            if (!deliverParsed())
                return false;
            if (m_parser->is_done()) {
                complete();
                return false;
            }
            if (error == beast_http::error::need_more || used == 0)
                break;
        }
        return true;
    }

    bool hasValidStatus() const
    {
        const auto status = m_parser->get().result_int();
        return status >= minStatus && status <= maxStatus;
    }

    /// An interim answer is complete. One alone may be followed by a long wait for the final answer.
    bool checkInterim()
    {
        const auto now = std::chrono::steady_clock::now();
        if (!m_firstInterim)
            m_firstInterim = now;
        cancelIfArmed(m_headTimer);
        if (m_received - m_input.size() > m_options.limits.headBytes)
            return failLimit("interim bytes");
        return now - *m_firstInterim <= m_options.limits.headTime || failLimit("interim time");
    }

    /// Limits the time of a head, a chunk's header or a trailer that has begun, and the bytes of the latter
    /// two. Returns false if the call is finished.
    bool watchHead()
    {
        const bool inBody = m_parser->is_header_done();
        if (inBody && !m_parser->chunked())
            return true;
        const auto framing = m_received - m_bodyBytes; // With the heads, each of which has its own limit.
        if (inBody
            && (m_input.size() > framingAllowance
                || framing > framingAllowance + 2 * m_options.limits.headBytes
                        + m_bodyBytes * framingBytesPerBodyByte))
            return failLimit("framing bytes");
        const bool begun
            = inBody ? m_input.size() > chunkLineEndBytes : !m_input.empty() || m_parser->got_some();
        if (!begun)
            cancelIfArmed(m_headTimer);
        else if (!m_headTimer.armed() && !m_paused)
            armLimitTimer(m_headTimer, m_options.limits.headTime, inBody ? "framing time" : "head time");
        return true;
    }

    bool deliverParsed()
    {
        if (!m_parser->is_header_done())
            return true;
        if (!m_headDelivered) {
            m_headDelivered = true;
            cancelIfArmed(m_headTimer);
            http_reply head;
            head.attempts = m_attempts;
            head.reusedConnection = m_reused;
            head.status = m_parser->get().result_int();
            for (const auto& field : m_parser->get())
                head.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
            if (m_events.head && !m_events.head(head))
                return failRejected();
            if (m_ended)
                return false;
        }
        m_parser->eager(true);
        const auto body = std::exchange(m_parser->get().body(), {});
        if (!checkBody(body.size()))
            return false;
        if (body.empty())
            return !m_ended;
        cancelIfArmed(m_headTimer);
        m_eventReported = false;
        if (m_events.body && !m_events.body(body))
            return failRejected();
        if (!m_ended && !m_eventReported)
            watchBody();
        return !m_ended;
    }

    bool checkBody(std::size_t added)
    {
        const auto& limits = m_options.limits;
        m_bodyBytes += added;
        m_eventBytes += added;
        const auto promised = m_parser->content_length();
        const bool ownLimit = promised && limits.lengthBytes > 0;
        const auto allowed = ownLimit ? limits.lengthBytes : limits.bodyBytes;
        const auto known = promised && !m_parser->is_done() ? *promised : m_bodyBytes;
        if (known > allowed || m_bodyBytes > allowed)
            return failLimit("body bytes");
        return limits.eventBytes == 0 || m_eventBytes <= limits.eventBytes || failLimit("event bytes");
    }

    /// A part of the body has arrived that completes no event.
    void watchBody()
    {
        const auto& limits = m_options.limits;
        if (limits.bodyTime.count() > 0 && !m_paused && !m_bodyTimer.armed())
            armLimitTimer(m_bodyTimer, limits.bodyTime, limits.eventBytes > 0 ? "event time" : "body time");
    }

    static void cancelIfArmed(loop_timer& timer)
    {
        if (timer.armed())
            timer.cancel();
    }

    void armLimitTimer(loop_timer& timer, milliseconds time, const char* limit)
    {
        timer.arm(time, [weak = weak_from_this(), limit] {
            if (const auto self = weak.lock())
                self->failLimit(limit);
        });
    }

    /// Returns false.
    bool failLimit(std::string_view limit)
    {
        const auto name = std::string(m_options.limits.kind) + ' ' + std::string(limit);
        currentHttpLog().answerLimit(m_address, name, m_received);
        if (const auto& report = m_owner->options.limitCrossed)
            report(name);
        fail(failure_kind::incomplete, "the response exceeded a limit: " + name);
        return false;
    }

    /// Returns false.
    bool failInvalid(const std::string& reason)
    {
        fail(failure_kind::incomplete, "the response is not valid HTTP: " + reason);
        return false;
    }

    bool failRejected()
    {
        if (!m_ended)
            fail(failure_kind::incomplete, "the receiver of the response rejected it");
        return false;
    }

    void connectionEnded(const error_code& error)
    {
        if (m_reuseTimer.armed())
            return sendAgain();
        const bool unframed = m_parser->is_header_done() && m_parser->need_eof();
        if (error == asio::error::eof && unframed && m_options.acceptUnframed && !m_writeError) {
            if (m_requestWritten)
                return complete();
            m_inputEnded = true;
            return;
        }
        // The system reports a reset once. If that was to the writer, the reader has seen an end in order.
        const auto& cause = m_writeError ? m_writeError : error;
        const bool begun = m_parser->got_some();
        fail(failure_kind::incomplete,
            (begun ? "the response was truncated: " : "no answer: ") + cause.message());
    }

    void complete()
    {
        const bool reusable = m_requestWritten && m_input.empty() && m_parser->get().keep_alive()
            && !m_parser->need_eof() && !m_connection->closed;
        const auto keepAlive = m_parser->get()[beast_http::field::keep_alive];
        const auto time = reusableFor({ keepAlive.data(), keepAlive.size() }, m_owner->options.maxIdleTime);
        end();
        if (reusable)
            m_owner->addIdle(m_connection, time);
        else
            m_connection->close();
        if (const auto report = std::exchange(m_events.whole, nullptr))
            report();
    }

    void failTimedOut(std::string message)
    {
        if (!m_ended && m_sendStarted && m_received == 0 && m_options.closesSilentConnections)
            m_owner->closeIdleSince(m_address, m_sentAt);
        fail(failure_kind::timeout, std::move(message));
    }

    void fail(failure_kind kind, std::string message)
    {
        if (m_ended)
            return;
        const auto self = shared_from_this();
        const bool sent = m_sendStarted;
        const auto report = std::move(m_events.failed);
        cancel();
        if (!report)
            return;
        message += " (" + m_address + (m_reused ? ", reused connection)" : ", new connection)");
        report(sent ? mayHaveRun(kind, std::move(message)) : notRun(kind, std::move(message)));
    }

    void end()
    {
        m_ended = true;
        m_deadlineTimer.cancel();
        m_inactivityTimer.cancel();
        m_reuseTimer.cancel();
        m_headTimer.cancel();
        m_bodyTimer.cancel();
    }

    void armInactivityTimer(milliseconds time, const char* message)
    {
        m_inactivityTimer.arm(time, [weak = weak_from_this(), message] {
            if (const auto self = weak.lock())
                self->failTimedOut(message);
        });
    }

    std::shared_ptr<http_client::impl> m_owner;
    std::string m_address;
    std::string m_request; ///< The head, and the body if it is small.
    shared_bytes m_largeBody;
    bool m_headRequest;
    client_call_options m_options;
    client_call_events m_events;
    loop_timer m_deadlineTimer;
    loop_timer m_inactivityTimer;
    loop_timer m_reuseTimer; ///< Armed until the first byte of a response over a reused connection.
    loop_timer m_headTimer; ///< Of a head, a chunk's header or a trailer that has begun.
    loop_timer m_bodyTimer; ///< Of a body or event that has begun.
    connection_ptr m_connection;
    std::optional<beast_http::response_parser<received_body>> m_parser;
    std::string m_input;
    std::optional<steady_time> m_firstInterim;
    std::uint64_t m_received = 0;
    std::uint64_t m_bodyBytes = 0;
    std::uint64_t m_eventBytes = 0; ///< Of the body since the last whole event.
    steady_time m_sentAt; ///< When sending last began.
    bool m_reused = false; ///< Whether the connection has carried earlier calls.
    unsigned m_attempts = 0; ///< How often the request was sent.
    bool m_sendStarted = false; ///< Set before the first write; from then on the request may have run.
    bool m_requestWritten = false;
    error_code m_writeError;
    /// The input of a response without framing has ended before the request was written. The outcome of the
    /// write tells whether the connection was reset.
    bool m_inputEnded = false;
    bool m_headDelivered = false;
    bool m_paused = false;
    bool m_eventReported = false; ///< By the receiver of the current piece of the body.
    bool m_ended = false;
};

/// Handle given to the caller. Destroying it cancels the call.
class call_handle final : public client_call {
public:
    explicit call_handle(std::shared_ptr<call> running)
        : m_call(std::move(running))
    {
    }
    ~call_handle() override { cancel(); }
    void cancel() override
    {
        if (!m_done) {
            m_done = true;
            m_call->cancel();
        }
    }
    void pause() override { m_call->pause(); }
    void resume() override { m_call->resume(); }
    void setLimits(const answer_limits& limits) override { m_call->setLimits(limits); }
    void eventsReceived() override { m_call->eventsReceived(); }
    /// Called when the call has reported its outcome; afterwards cancel() has no effect.
    void finished() { m_done = true; }

private:
    std::shared_ptr<call> m_call;
    bool m_done = false;
};

} // namespace

http_client::http_client(event_loop& loop, http_client_options options)
    : m_impl(std::make_shared<impl>(loop, options))
{
}

http_client::~http_client()
{
    for (const auto& [address, connections] : m_impl->idleConnections) {
        for (const auto& connection : connections)
            connection->close();
    }
}

std::shared_ptr<client_call> http_client::start(std::string_view address, const http_request& request,
    const client_call_options& options, client_call_events events)
{
    // Once the call is finished, its connection may be idle in the pool: the handle must not close it then.
    const auto handle = std::make_shared<std::weak_ptr<call_handle>>();
    const auto finished = [handle] {
        if (const auto owner = handle->lock())
            owner->finished();
    };
    events.whole = [finished, report = std::move(events.whole)] {
        finished();
        if (report)
            report();
    };
    events.failed = [finished, report = std::move(events.failed)](const failure& error) {
        finished();
        if (report)
            report(error);
    };
    const auto running = std::make_shared<call>(m_impl, address, request, options, std::move(events));
    const auto owner = std::make_shared<call_handle>(running);
    *handle = owner;
    running->start();
    return owner;
}

void http_client::fetch(std::string_view address, const http_request& request,
    const client_call_options& options, std::function<void(result<http_reply>)> done)
{
    // The callbacks of the call own the handle. They are released when the call finishes.
    struct running_call {
        std::shared_ptr<client_call> handle;
        http_reply reply;
    };
    const auto running = std::make_shared<running_call>();
    const auto end = [owner = m_impl, running, done = std::move(done)](result<http_reply> outcome) {
        // Destroyed from the loop, because the call is still running its own callback here.
        owner->loop.post([handle = std::move(running->handle)] {});
        done(std::move(outcome));
    };
    client_call_events events;
    events.head = [running](const http_reply& head) {
        running->reply = head;
        return true;
    };
    events.body = [running](std::string_view piece) {
        running->reply.body.append(piece);
        return true;
    };
    events.whole = [running, end] { end(std::move(running->reply)); };
    events.failed = [end](const failure& error) { end(error); };
    running->handle = start(address, request, options, std::move(events));
}

std::uint64_t http_client::connectionsOpened() const
{
    return m_impl->opened;
}

} // namespace yuccachute
