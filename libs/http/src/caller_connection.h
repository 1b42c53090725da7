#pragma once

#include "http/http.h"

#include "byte_stream.h"
#include "received_body.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <optional>
#include <set>

namespace yuccachute {

class caller_connection;

struct http_listener::impl : std::enable_shared_from_this<http_listener::impl> {
    impl(event_loop& eventLoop, http_listener_options given, handler onRequest);

    void listen();
    void accept();
    void startConnection(boost::asio::ip::tcp::socket socket);
    /// Returns whether a further connection can be served.
    bool makeRoom(steady_time now);
    /// Ends the connection of at least `leastBytes` that has made no progress for longest. Returns false if
    /// there is none. See memory_budget::reclaimer.
    bool reclaim(std::size_t leastBytes, steady_time now);
    std::shared_ptr<caller_connection> longestStalled(std::size_t leastBytes, steady_time now) const;
    std::shared_ptr<caller_connection> longestIdle(steady_time now) const;
    /// Reports a connection that is refused or closed because of a limit on all of them together.
    void reportLimit(std::string_view action, std::size_t heldBytes) const;
    void remove(const std::shared_ptr<caller_connection>& gone);

    event_loop& loop;
    http_listener_options options;
    handler callback;
    boost::asio::ip::tcp::acceptor acceptor;
    loop_timer acceptRetryTimer;
    boost::asio::ssl::context tls;
    std::set<std::shared_ptr<caller_connection>> connections;
    std::shared_ptr<const void> reclaimer; ///< Registration with the memory budget.
    std::array<char, 16u << 10> readBuffer; ///< Of whichever plain connection has input.
    std::size_t exchanges = 0;
    std::uint64_t closedUnread = 0;
    http_listener_counters counters;
    bool accepting = false;
    bool draining = false;
    bool closed = false;
};

/// Server side of one connection. Handles its requests one at a time. It keeps reading while a response is
/// pending, in order to detect that the caller has disconnected.
///
/// All memory that grows with what the caller sends or does not read is counted in shares of the listener's
/// budget: that of the connection and its unparsed input, that of the request, and that of the output.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(
        std::shared_ptr<http_listener::impl> owner, std::unique_ptr<byte_stream> stream, memory_share held);

    void start();
    void close();
    void drain();

    /// Since when no request has been under way; unset during one.
    std::optional<steady_time> idleSince() const;
    /// Since when the caller has neither sent a significant part of the current request nor read one of the
    /// response; unset while neither is under way, and while the request is being served.
    std::optional<steady_time> stalledSince() const;
    std::size_t heldBytes() const;
    /// Refuses a request that is not complete, and closes the connection otherwise.
    void reclaim();

    // Interface for the exchange. The id identifies an exchange; calls of one that is not current are
    // ignored.
    bool current(std::uint64_t exchange) const { return m_exchangeActive && exchange == m_exchangeId; }
    bool awaitingResponse(std::uint64_t exchange) const { return current(exchange) && !m_responseQueued; }
    void send(http_reply reply);
    void startStream(unsigned status, const http_headers& headers, std::optional<std::uint64_t> length);
    void write(std::string_view piece);
    void finish();
    std::size_t unsentBytes() const;
    bool reserveOutput(std::size_t bytes);
    void onDrained(std::function<void()> drained);
    void onCallerGone(std::function<void()> gone) { m_onCallerGone = std::move(gone); }

private:
    using parser_base = boost::beast::http::request_parser<received_body>;
    struct parser : parser_base {
        bool got_some() const { return parser_base::got_some(); }
    };

    bool requestStarted() const { return !m_input.empty() || (m_parser && m_parser->got_some()); }
    void armTimer(std::chrono::nanoseconds time);
    void armRequestTimer(steady_time now);
    void timedOut();
    void awaitRequest();
    void beginRequest(steady_time now);
    void read();
    void received(std::string_view bytes);
    void recordProgress(std::size_t bytes, steady_time now);
    bool keepInput(std::string_view bytes, steady_time now);
    bool resizeHeld(std::size_t inputCapacity, steady_time now);
    bool resize(memory_share& share, std::size_t bytes, steady_time now);
    void releaseInput();
    void discardFurtherInput();
    void discarded(std::size_t bytes, steady_time now);
    void parseInput();
    std::size_t parseGuarded(std::string_view input);
    std::size_t parse(std::string_view input);
    bool admitFields(std::string_view input, steady_time now);
    bool admitHead(steady_time now);
    bool admitChunks(std::size_t incoming, steady_time now);
    void allowLargeWindow(steady_time now);
    void dispatchRequest();
    void refuseForMemory(std::size_t wanted);
    void rejectRequest(unsigned status, std::string_view message, http_headers headers = {});
    void queue(std::string_view text);
    void countOutput();
    void flush();
    void outputWritten();
    void responseWritten();
    void startLinger();

    std::shared_ptr<http_listener::impl> m_owner;
    std::unique_ptr<byte_stream> m_stream;
    loop_timer m_timer;
    memory_share m_held; ///< The connection itself, its unparsed input, and what the system holds unread.
    memory_share m_requestMemory; ///< Until the request is passed on with its exchange.
    memory_share m_outputMemory;
    std::unique_ptr<parser> m_parser; ///< From the first byte of a request until it is complete.
    std::string m_input; ///< Received, not parsed yet.
    std::string m_pendingOutput; ///< Queued behind m_outputInFlight.
    std::string m_outputInFlight;
    std::size_t m_written = 0; ///< Bytes of m_outputInFlight that are written to the socket.
    std::function<void()> m_onCallerGone;
    std::function<void()> m_onDrained;
    steady_time m_idleSince;
    steady_time m_requestBegan;
    steady_time m_progressAt; ///< When the caller last sent a significant part of a request, or began one.
    steady_time m_writeProgressAt; ///< When output was last written, or began to be.
    steady_time m_lingerUntil;
    std::size_t m_sinceProgress = 0; ///< Bytes received since m_progressAt.
    std::size_t m_discardedBytes = 0;
    std::size_t m_headMemory = 0; ///< Part of m_requestMemory that is not for the body.
    std::uint64_t m_exchangeId = 0;
    bool m_exchangeActive = false;
    bool m_reading = false;
    bool m_writing = false;
    bool m_growing = false; ///< One of the shares is being resized.
    bool m_headAdmitted = false;
    bool m_largeWindow = false; ///< The system may hold more bytes unread than for other connections.
    bool m_discarding = false; ///< Input is dropped, since the connection ends with the current response.
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

/// Memory of a connection without input: the object with its timers, and what the system holds for it unread.
std::size_t connectionMemory(const http_listener_options& options);
/// How many bytes the system may hold unread for a connection that is not sending a large body.
constexpr int smallReceiveBuffer = 4 << 10;

} // namespace yuccachute
