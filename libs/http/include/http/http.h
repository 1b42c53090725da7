#pragma once

#include "event_loop/event_loop.h"
#include "verdict/verdict.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// HTTP/1.1 over Boost.Beast: an event-driven server and client, and blocking ones made of them for programs
/// with a thread for each request. Layer: transport. No type of the library appears here.
namespace yuccachute {

/// Header fields in order of arrival. Names compare without case.
using http_headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field of that name, or an empty view.
std::string_view findHeader(const http_headers& headers, std::string_view name);

struct http_request {
    std::string method = "GET";
    std::string path;
    std::string query; ///< Raw query string, without the question mark.
    /// Request target as it was received, for passing on unchanged; goes before path and query if set.
    std::string target;
    http_headers headers;
    std::string body;
};

struct http_reply {
    unsigned status = 200;
    http_headers headers;
    std::string body;
};

/// "host:port" in two parts; the port is 0 if there is none.
std::pair<std::string, std::uint16_t> splitAddress(std::string_view address);

/// Returns the decoded value of a query parameter, or an empty string.
std::string queryParameter(std::string_view query, std::string_view name);

/// Answers one request of a blocking server: either send() once, or startStream(), write() repeatedly and
/// finish().
class reply_sink {
public:
    virtual ~reply_sink() = default;
    /// Sends a whole reply.
    virtual void send(http_reply reply) = 0;
    /// Sends the status line and headers of a chunked reply. Returns false if the caller has gone.
    virtual bool startStream(unsigned status, const http_headers& headers) = 0;
    /// Sends one chunk at once. Returns false if the caller has gone.
    virtual bool write(std::string_view chunk) = 0;
    /// Ends a chunked reply properly. Without it the caller's library reports a truncated body.
    virtual void finish() = 0;
};

// --- Event-driven server
// -------------------------------------------------------------------------------------

/// One request of a caller and its answer: either send(), or startStream(), write() and finish(). To be used
/// on the loop's thread. What is sent after the caller has gone is dropped.
class http_exchange {
public:
    virtual ~http_exchange() = default;
    virtual const http_request& request() const = 0;
    /// When the last byte of the request arrived.
    virtual steady_time received() const = 0;
    virtual void send(http_reply reply) = 0;
    /// Sends status and headers. With a length exactly that many bytes must follow; without one the answer is
    /// chunked.
    virtual void startStream(
        unsigned status, const http_headers& headers, std::optional<std::uint64_t> length)
        = 0;
    virtual void write(std::string_view piece) = 0;
    virtual void finish() = 0;
    /// Closes the connection at once, so that the caller cannot take what it has for a whole answer.
    virtual void abort() = 0;
    /// Bytes that the caller has not taken yet.
    virtual std::size_t unsentBytes() const = 0;
    /// Calls the function once when everything has been taken.
    virtual void onDrained(std::function<void()> drained) = 0;
    /// Calls the function at most once, when the caller closes its connection before the answer's end.
    virtual void onCallerGone(std::function<void()> gone) = 0;
};

/// What a caller may send and how long it may take.
struct http_limits {
    std::size_t maxHeaderBytes = 16u << 10; ///< More gets 431.
    std::size_t maxBodyBytes = 64u << 20; ///< More gets 413.
    milliseconds headerTimeout { 20000 }; ///< For the head of a request and between pieces of its body: 408.
    milliseconds idleTimeout { 30000 }; ///< Between requests; the connection is then closed.
    std::size_t maxConnections = 4000; ///< More wait until one is closed.
};

struct http_listener_options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    http_limits limits;
    std::string certificateFile; ///< PEM; TLS is on when it is set.
    std::string privateKeyFile;
};

/// Accepts connections on a loop and hands over whole requests. Chunked bodies are read. A request whose
/// length is ambiguous is answered 400 and its connection closed: a second request cannot hide in a body.
class http_listener {
public:
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;

    /// Throws std::runtime_error naming the address if it cannot listen.
    http_listener(event_loop& loop, http_listener_options options, handler onRequest);
    /// Closes all connections.
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// Holds for requests that begin afterwards.
    void setLimits(const http_limits& limits);
    void stopAccepting();
    /// Closes connections that wait for a request, and the others after their answer.
    void closeAfterAnswers();
    std::size_t connections() const;
    /// Requests that have arrived whole and are not answered yet.
    std::size_t exchanges() const;

    struct impl; ///< Hidden; public only for the library's own files.

private:
    std::shared_ptr<impl> m_impl;
};

// --- Event-driven client
// -------------------------------------------------------------------------------------

/// One call of an http_client, to be used on the loop's thread.
class client_call {
public:
    virtual ~client_call() = default;
    /// Closes the connection; no event follows. Dropping the call does the same.
    virtual void cancel() = 0;
    /// Stops reading the answer, and goes on; for callers that take it more slowly than it comes.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

struct client_call_options {
    steady_time deadline; ///< For the whole call.
    milliseconds connectTimeout { 1000 };
    milliseconds idleTimeout { 0 }; ///< Longest silence once the request is sent; 0 for none.
    /// Takes no kept connection. A kept one may be closed by the peer while the request is on its way, and
    /// then nobody can tell whether it ran; on a fresh one the peer has no reason to.
    bool freshConnection = false;
    /// Takes an answer without length that ends with an orderly close for whole.
    bool acceptUnframed = false;
};

/// What a call reports, in this order. Exactly one of whole and failed comes, last.
struct client_call_events {
    /// Status and headers. Returning false ends the call with a failure of kind incomplete.
    std::function<bool(const http_reply&)> head;
    std::function<bool(std::string_view)> body; ///< As above.
    std::function<void()> whole;
    std::function<void(const failure&)> failed;
};

struct http_client_options {
    std::size_t keptPerAddress = 32; ///< Idle connections kept; more are closed.
    milliseconds keptFor { 4000 }; ///< If the peer names no shorter time in Keep-Alive.
};

/// Sends requests on a loop over kept connections. It never sends a request twice by itself. A connection is
/// used again only after a whole answer to a wholly sent request, with nothing behind it.
class http_client {
public:
    http_client(event_loop& loop, http_client_options options);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts a call to "host:port". The failure's verdict is not_run only if no byte of the request was
    /// handed to the network. No event comes before this returns.
    std::shared_ptr<client_call> start(std::string_view address, const http_request& request,
        const client_call_options& options, client_call_events events);

    /// The same for a whole reply. The call keeps itself alive until `done`, which comes exactly once; it
    /// cannot be cancelled.
    void fetch(std::string_view address, const http_request& request, const client_call_options& options,
        std::function<void(result<http_reply>)> done);

    std::uint64_t connectionsOpened() const;

    struct impl; ///< Hidden; public only for the library's own files.

private:
    std::shared_ptr<impl> m_impl;
};

// --- Blocking server and client
// ------------------------------------------------------------------------------

/// Called on a server thread for each request; it may block, and holds its thread until it returns.
using http_handler = std::function<void(const http_request&, reply_sink&)>;

struct http_server_options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    unsigned maxThreads = 512; ///< Each streamed reply holds one thread.
    std::size_t maxBodyBytes = 64u << 20;
    milliseconds readTimeout { 20000 }; ///< For the head of a request and between pieces of its body.
    milliseconds keepAliveTimeout { 30000 };
    std::string certificateFile; ///< PEM; TLS is on when it is set.
    std::string privateKeyFile;
};

/// Server with its own loop thread, and a thread for each request.
class http_server {
public:
    /// Starts listening. Throws std::runtime_error naming the address if it cannot.
    http_server(http_server_options options, http_handler handler);
    /// Stops the loop. The owner first waits for its running requests.
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

/// Timeouts and control of one call.
struct http_call_options {
    steady_time deadline; ///< For the whole call.
    milliseconds connectTimeout { 1000 }; ///< Until the request is handed over to the network.
    /// Longest silence accepted while the answer is being received; zero for no limit but the deadline.
    milliseconds idleTimeout { 0 };
    /// Set by another thread to abandon the call; looked at every 20 ms. May be null.
    const std::atomic<bool>* abandon = nullptr;
    /// Called with the status and headers before the body. Returning false abandons the call.
    std::function<bool(const http_reply&)> onHead;
    /// Called with each piece of the body; the reply's body then stays empty. Returning false abandons it.
    std::function<bool(std::string_view)> onBody;
};

/// Sends one request to "host:port" over a connection of its own and receives the whole answer.
///
/// The call has a connection of its own. The failure's verdict is not_run only if no byte of the request was
/// handed to the network; otherwise may_have_run. An answer that ends without Content-Length or final chunk,
/// whose end cannot be told from a cut connection, is reported as incomplete.
result<http_reply> httpCall(
    std::string_view address, const http_request& request, const http_call_options& options);

/// Asks one address again and again over a kept connection. Not thread-safe.
class polling_client {
public:
    explicit polling_client(std::string_view address);
    ~polling_client();
    polling_client(const polling_client&) = delete;
    polling_client& operator=(const polling_client&) = delete;

    /// The timeout holds for each step of the call, connecting included.
    result<http_reply> get(const std::string& path, milliseconds timeout);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace yuccachute
