#include "caller_connection.h"

#include "http_log.h"

#include <algorithm>
#include <stdexcept>

namespace yuccachute {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// A connection that has been idle for less may be about to bring the request that it was opened for.
constexpr milliseconds minIdleTimeBeforeEviction { 1000 };
/// Callers that are sending a request make progress sooner.
constexpr milliseconds minStallTimeBeforeEviction { 1000 };
/// The same for callers that read a response, which cannot be sent again.
constexpr milliseconds minUnreadTimeBeforeEviction { 3000 };
/// Connections that wait to be accepted hold descriptors and memory that no limit counts.
constexpr int maxWaitingConnections = 1024;
/// Delay before accepting again after a failure, usually a lack of file descriptors.
constexpr milliseconds acceptRetryDelay { 50 };

} // namespace

http_listener::impl::impl(event_loop& eventLoop, http_listener_options given, handler onRequest)
    : loop(eventLoop)
    , options(std::move(given))
    , callback(std::move(onRequest))
    , acceptor(loop.context())
    , acceptRetryTimer(loop)
    , tls(asio::ssl::context::tls_server)
{
}

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
    if (options.memory) {
        acceptor.set_option(asio::socket_base::receive_buffer_size(smallReceiveBuffer)); // Inherited.
        reclaimer = options.memory->addReclaimer(
            [this](std::size_t leastBytes, steady_time now) { return reclaim(leastBytes, now); });
    }
    acceptor.listen(maxWaitingConnections);
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

bool http_listener::impl::makeRoom(steady_time now)
{
    if (connections.size() < options.limits.maxConnections)
        return true;
    auto replaced = longestIdle(now);
    if (!replaced) {
        replaced = longestStalled(0, now);
        if (!replaced)
            return false;
        ++counters.replaced;
        reportLimit("connection without progress replaced by a new one", replaced->heldBytes());
    }
    replaced->close();
    return true;
}

bool http_listener::impl::reclaim(std::size_t leastBytes, steady_time now)
{
    if (const auto stalled = longestStalled(leastBytes, now)) {
        ++counters.reclaimed;
        reportLimit("connection without progress ended for its memory", stalled->heldBytes());
        stalled->reclaim();
        return true;
    }
    const auto idle = leastBytes == 0 ? longestIdle(now) : nullptr;
    if (idle)
        idle->close();
    return idle != nullptr;
}

std::shared_ptr<caller_connection> http_listener::impl::longestStalled(
    std::size_t leastBytes, steady_time now) const
{
    std::shared_ptr<caller_connection> longest;
    auto earliest = now;
    for (const auto& one : connections) {
        const auto since = one->stalledSince();
        const auto allowed
            = one->unsentBytes() > 0 ? minUnreadTimeBeforeEviction : minStallTimeBeforeEviction;
        if (!since || *since > std::min(earliest, now - allowed) || one->heldBytes() < leastBytes)
            continue;
        earliest = *since;
        longest = one;
    }
    return longest;
}

std::shared_ptr<caller_connection> http_listener::impl::longestIdle(steady_time now) const
{
    std::shared_ptr<caller_connection> longest;
    auto earliest = now - minIdleTimeBeforeEviction;
    for (const auto& one : connections) {
        const auto since = one->idleSince();
        if (!since || *since > earliest)
            continue;
        earliest = *since;
        longest = one;
    }
    return longest;
}

void http_listener::impl::reportLimit(std::string_view action, std::size_t heldBytes) const
{
    currentHttpLog().connectionLimit(action, heldBytes, options.memory ? options.memory->used() : 0);
}

void http_listener::impl::startConnection(tcp::socket socket)
{
    const auto now = std::chrono::steady_clock::now();
    memory_share held(options.memory);
    if (!makeRoom(now) || !held.resize(connectionMemory(options), now)) {
        ++closedUnread;
        return; // The socket's destructor closes it.
    }
    setSocketOptions(socket);
    auto stream = options.certificateFile.empty() ? plainStream(std::move(socket))
                                                  : tlsStream(std::move(socket), tls);
    const auto caller
        = std::make_shared<caller_connection>(shared_from_this(), std::move(stream), std::move(held));
    connections.insert(caller);
    caller->start();
}

void http_listener::impl::remove(const std::shared_ptr<caller_connection>& gone)
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

const http_listener_counters& http_listener::counters() const
{
    return m_impl->counters;
}

} // namespace yuccachute
