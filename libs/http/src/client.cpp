#include "http/http.h"

#include "byte_stream.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <list>
#include <map>

namespace yuccachute {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t readBytes = 8u << 10;
/// Larger heads than any server of ours sends.
constexpr std::uint32_t mostHeadBytes = 64u << 10;
/// A kept connection is left alone so long before the peer closes it: a request that crosses the close is
/// lost.
constexpr milliseconds closeMargin { 500 };

/// One connection to a server, with what has been read of it.
struct server_connection {
    explicit server_connection(event_loop& loop)
        : socket(loop.context())
        , expiry(loop)
    {
    }

    tcp::socket socket;
    std::unique_ptr<byte_stream> stream; ///< Takes over the socket once it is connected.
    std::array<char, readBytes> space;
    std::string address;
    loop_timer expiry; ///< While it is idle.
    bool closed = false;
    /// Who gets what is read. Null while the connection is idle: anything that comes then ends it.
    std::function<void(const error_code&, std::string_view)> reader;
    bool reading = false;

    void close()
    {
        closed = true;
        reader = nullptr;
        expiry.cancel();
        error_code ignored; // Nothing can be done about a failed close.
        if (stream)
            stream->close();
        else
            socket.close(ignored);
    }
};

using connection_ptr = std::shared_ptr<server_connection>;

std::string requestText(const http_request& request, std::string_view address)
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
    text.append("\r\n").append(request.body);
    return text;
}

/// Time for which the peer promises to keep an idle connection; the default if it names none.
milliseconds keptTime(std::string_view keepAlive, milliseconds kept)
{
    constexpr std::string_view parameter = "timeout=";
    const auto found = keepAlive.find(parameter);
    if (found == std::string_view::npos)
        return kept;
    const auto digits = keepAlive.substr(found + parameter.size());
    unsigned seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::min(kept, milliseconds { seconds * 1000 } - closeMargin);
}

class call;

} // namespace

struct http_client::impl : std::enable_shared_from_this<http_client::impl> {
    impl(event_loop& eventLoop, http_client_options given)
        : loop(eventLoop)
        , options(given)
    {
    }

    connection_ptr takeKept(std::string_view address);
    void keep(const connection_ptr& connection, milliseconds time);
    void read(const connection_ptr& connection);

    event_loop& loop;
    http_client_options options;
    std::map<std::string, std::list<connection_ptr>, std::less<>> kept;
    std::uint64_t opened = 0;
};

connection_ptr http_client::impl::takeKept(std::string_view address)
{
    const auto found = kept.find(address);
    if (found == kept.end())
        return nullptr;
    auto& connections = found->second;
    connection_ptr taken;
    // The one used last: the others may come to be closed for want of use.
    while (!connections.empty() && !taken) {
        taken = connections.back();
        connections.pop_back();
        if (taken->closed)
            taken.reset();
    }
    if (connections.empty())
        kept.erase(found);
    if (taken)
        taken->expiry.cancel();
    return taken;
}

void http_client::impl::keep(const connection_ptr& connection, milliseconds time)
{
    auto& connections = kept[connection->address];
    if (time <= milliseconds { 0 } || connections.size() >= options.keptPerAddress)
        return connection->close();
    connections.push_back(connection);
    connection->reader = nullptr;
    connection->expiry.arm(time, [connection] { connection->close(); });
    read(connection);
}

void http_client::impl::read(const connection_ptr& connection)
{
    if (connection->reading || connection->closed)
        return;
    connection->reading = true;
    connection->stream->readSome(
        asio::buffer(connection->space), [connection](const error_code& error, std::size_t count) {
            connection->reading = false;
            if (connection->closed)
                return;
            // An idle connection has nothing to say: its end, or bytes that belong to no request.
            if (!connection->reader)
                return connection->close();
            const auto reader = connection->reader;
            reader(error, std::string_view(connection->space.data(), count));
        });
}

namespace {

class call : public std::enable_shared_from_this<call> {
public:
    call(std::shared_ptr<http_client::impl> owner, std::string_view address, const http_request& request,
        const client_call_options& options, client_call_events events)
        : m_owner(std::move(owner))
        , m_address(address)
        , m_request(requestText(request, address))
        , m_headOnly(request.method == "HEAD")
        , m_options(options)
        , m_events(std::move(events))
        , m_deadline(m_owner->loop)
        , m_silence(m_owner->loop)
    {
    }

    void start()
    {
        m_deadline.armAt(m_options.deadline, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->fail(failure_kind::timeout, "no whole answer before the deadline");
        });
        if (!m_options.freshConnection)
            m_connection = m_owner->takeKept(m_address);
        if (m_connection)
            return m_owner->loop.post([self = shared_from_this()] { self->send(); });
        connect();
    }

    void cancel()
    {
        end();
        if (m_connection)
            m_connection->close();
    }

    void pause() { m_paused = true; }

    void resume()
    {
        m_paused = false;
        if (!m_ended && m_sent)
            m_owner->read(m_connection);
    }

private:
    void connect()
    {
        error_code error;
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
        armSilence(m_options.connectTimeout, "no connection in time");
        m_connection->socket.async_connect(endpoint, [self = shared_from_this()](const error_code& result) {
            if (self->m_ended)
                return;
            if (result)
                return self->fail(failure_kind::unavailable, "cannot connect: " + result.message());
            ++self->m_owner->opened;
            self->m_silence.cancel();
            self->m_connection->stream = plainStream(std::move(self->m_connection->socket));
            self->send();
        });
    }

    void send()
    {
        if (m_ended)
            return;
        if (m_connection->closed) // While the call was queued: not a byte has been sent, so start anew.
            return connect();
        m_sent = true;
        m_parser.emplace();
        prepareParser();
        m_connection->reader = [weak = weak_from_this()](const error_code& error, std::string_view bytes) {
            if (const auto self = weak.lock())
                self->received(error, bytes);
        };
        m_owner->read(m_connection);
        if (m_options.idleTimeout.count() > 0)
            armSilence(m_options.idleTimeout, "the server fell silent");
        m_connection->stream->writeAll(
            asio::buffer(m_request), [self = shared_from_this()](const error_code& error, std::size_t) {
                self->m_written = !error;
                // A failed write is told by the reader: an answer may have come before.
            });
    }

    void prepareParser()
    {
        m_parser->eager(true);
        m_parser->header_limit(mostHeadBytes);
        m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
        m_parser->skip(m_headOnly);
    }

    void received(const error_code& error, std::string_view bytes)
    {
        const auto self = shared_from_this();
        if (m_ended)
            return;
        if (error)
            return ended(error);
        if (m_options.idleTimeout.count() > 0)
            armSilence(m_options.idleTimeout, "the server fell silent");
        m_input.append(bytes);
        if (parse() && !m_paused)
            m_owner->read(m_connection);
    }

    /// Returns false once the call has ended.
    bool parse()
    {
        while (!m_input.empty()) {
            error_code error;
            const auto used = m_parser->put(asio::buffer(m_input), error);
            m_input.erase(0, used);
            if (error && error != beast_http::error::need_more) {
                fail(failure_kind::incomplete, "the answer is not HTTP: " + error.message());
                return false;
            }
            if (m_parser->is_header_done() && m_parser->get().result_int() / 100 == 1) {
                m_parser.emplace(); // An interim response, such as 100 Continue; the answer follows.
                prepareParser();
                continue;
            }
            if (!passOn())
                return false;
            if (m_parser->is_done()) {
                whole();
                return false;
            }
            if (error == beast_http::error::need_more || used == 0)
                break;
        }
        return true;
    }

    bool passOn()
    {
        if (!m_parser->is_header_done())
            return true;
        if (!m_headPassed) {
            m_headPassed = true;
            http_reply head;
            head.status = m_parser->get().result_int();
            for (const auto& field : m_parser->get())
                head.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
            if (m_events.head && !m_events.head(head))
                return refused();
            if (m_ended)
                return false;
        }
        const auto body = std::exchange(m_parser->get().body(), {});
        if (!body.empty() && m_events.body && !m_events.body(body))
            return refused();
        return !m_ended;
    }

    bool refused()
    {
        if (!m_ended)
            fail(failure_kind::incomplete, "the answer was not accepted");
        return false;
    }

    void ended(const error_code& error)
    {
        const bool unframed = m_parser->is_header_done() && m_parser->need_eof();
        if (error == asio::error::eof && unframed && m_options.acceptUnframed)
            return whole();
        const bool begun = m_parser->got_some();
        fail(failure_kind::incomplete, (begun ? "the answer was cut: " : "no answer: ") + error.message());
    }

    void whole()
    {
        const bool reusable = m_written && m_input.empty() && m_parser->get().keep_alive()
            && !m_parser->need_eof() && !m_connection->closed;
        const auto keepAlive = m_parser->get()[beast_http::field::keep_alive];
        const auto time = keptTime({ keepAlive.data(), keepAlive.size() }, m_owner->options.keptFor);
        end();
        if (reusable)
            m_owner->keep(m_connection, time);
        else
            m_connection->close();
        if (const auto report = std::exchange(m_events.whole, nullptr))
            report();
    }

    void fail(failure_kind kind, std::string message)
    {
        if (m_ended)
            return;
        const auto self = shared_from_this();
        const bool sent = m_sent;
        const auto report = std::move(m_events.failed);
        cancel();
        if (!report)
            return;
        message += " (" + m_address + ')';
        report(sent ? mayHaveRun(kind, std::move(message)) : notRun(kind, std::move(message)));
    }

    void end()
    {
        m_ended = true;
        m_deadline.cancel();
        m_silence.cancel();
    }

    void armSilence(milliseconds time, const char* message)
    {
        m_silence.arm(time, [weak = weak_from_this(), message] {
            if (const auto self = weak.lock())
                self->fail(failure_kind::timeout, message);
        });
    }

    std::shared_ptr<http_client::impl> m_owner;
    std::string m_address;
    std::string m_request;
    bool m_headOnly;
    client_call_options m_options;
    client_call_events m_events;
    loop_timer m_deadline;
    loop_timer m_silence;
    connection_ptr m_connection;
    std::optional<beast_http::response_parser<beast_http::string_body>> m_parser;
    std::string m_input;
    bool m_sent = false; ///< The first byte may have been handed to the network.
    bool m_written = false;
    bool m_headPassed = false;
    bool m_paused = false;
    bool m_ended = false;
};

/// What the caller holds: dropping it cancels the call.
class call_owner final : public client_call {
public:
    explicit call_owner(std::shared_ptr<call> running)
        : m_call(std::move(running))
    {
    }
    ~call_owner() override { cancel(); }
    void cancel() override
    {
        if (!m_done) {
            m_done = true;
            m_call->cancel();
        }
    }
    void pause() override { m_call->pause(); }
    void resume() override { m_call->resume(); }
    /// The call has reported its end.
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
    for (const auto& [address, connections] : m_impl->kept) {
        for (const auto& connection : connections)
            connection->close();
    }
}

std::shared_ptr<client_call> http_client::start(std::string_view address, const http_request& request,
    const client_call_options& options, client_call_events events)
{
    // The owner must not close a connection that went back among the kept ones.
    const auto handle = std::make_shared<std::weak_ptr<call_owner>>();
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
    const auto owner = std::make_shared<call_owner>(running);
    *handle = owner;
    running->start();
    return owner;
}

void http_client::fetch(std::string_view address, const http_request& request,
    const client_call_options& options, std::function<void(result<http_reply>)> done)
{
    // The handle is kept by the call's own callbacks, which are dropped at its end.
    struct running_call {
        std::shared_ptr<client_call> handle;
        http_reply reply;
    };
    const auto running = std::make_shared<running_call>();
    const auto end = [owner = m_impl, running, done = std::move(done)](result<http_reply> outcome) {
        // Dropped outside of its own step.
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
