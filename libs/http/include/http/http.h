#pragma once

#include "event_loop/event_loop.h"
#include "memory_budget/memory_budget.h"
#include "shared_bytes/shared_bytes.h"
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

/// HTTP/1.1 over Boost.Beast: an event-driven server and client, and blocking wrappers around them for
/// programs that use one thread per request. Layer: transport. No Boost.Beast type appears in this header.
namespace yuccachute {

/// Header fields in order of arrival. Field names are case-insensitive.
using http_headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field with that name, or an empty view if there is none.
std::string_view findHeader(const http_headers& headers, std::string_view name);
/// Removes all fields with that name, also those with an empty value.
void removeHeader(http_headers& headers, std::string_view name);
/// Removes all fields with that name and adds one.
void replaceHeader(http_headers& headers, std::string_view name, std::string value);

struct http_request {
    std::string method = "GET";
    std::string path;
    std::string query; ///< Raw query string, without the question mark.
    /// Request target as received, for forwarding it unchanged. If set, it is sent in place of path and
    /// query.
    std::string target;
    http_headers headers;
    shared_bytes body;
};

struct http_reply {
    unsigned status = 200;
    http_headers headers;
    std::string body;
    /// Of a response that the client received: how often the request was sent, and whether the response came
    /// over a connection that had carried earlier requests.
    unsigned attempts = 1;
    bool reusedConnection = false;
};

/// Whether the end of a response's body follows from the response, rather than from the end of its connection
/// (RFC 9112, 6.3).
bool isFramed(const http_reply& head);

/// Splits "host:port" into its parts. The port is 0 if it is missing.
std::pair<std::string, std::uint16_t> splitAddress(std::string_view address);

/// Returns the percent-decoded value of a query parameter, or an empty string if it is missing.
std::string queryParameter(std::string_view query, std::string_view name);

/// Whether a header can be sent as it is: its name is a token, and its value has no line ends or other
/// control characters but tabs (RFC 9110, 5.5 and 5.6.2).
bool isValidHeader(std::string_view name, std::string_view value);

/// Whether a request target can be sent as it is: it begins with a slash and has no spaces or control
/// characters.
bool isValidTarget(std::string_view target);

/// Response writer for one request of a blocking server. Call either send() once, or startStream(), then
/// write() any number of times, then finish().
class reply_sink {
public:
    virtual ~reply_sink() = default;
    /// Sends a complete response.
    virtual void send(http_reply reply) = 0;
    /// Sends the status line and headers of a chunked response. Returns false if the caller has disconnected.
    virtual bool startStream(unsigned status, const http_headers& headers) = 0;
    /// Sends one chunk immediately. Returns false if the caller has disconnected.
    virtual bool write(std::string_view chunk) = 0;
    /// Sends the final chunk. Without it the caller's HTTP client reports a truncated body.
    virtual void finish() = 0;
};

// --- Event-driven server ---

/// One request and its response. Call either send(), or startStream(), write() and finish(), all on the
/// loop's thread. Data sent after the caller has disconnected is dropped.
class http_exchange {
public:
    virtual ~http_exchange() = default;
    virtual const http_request& request() const = 0;
    /// When the last byte of the request arrived.
    virtual steady_time received() const = 0;
    virtual void send(http_reply reply) = 0;
    /// Sends status and headers. If a length is given, exactly that many bytes must follow; otherwise the
    /// response is chunked.
    virtual void startStream(
        unsigned status, const http_headers& headers, std::optional<std::uint64_t> length)
        = 0;
    virtual void write(std::string_view piece) = 0;
    virtual void finish() = 0;
    /// Closes the connection immediately, so that the caller detects the partial response as truncated.
    virtual void abort() = 0;
    /// Bytes queued for the caller that have not been written to the socket yet.
    virtual std::size_t unsentBytes() const = 0;
    /// Calls the function once, when all queued bytes have been written to the socket.
    virtual void onDrained(std::function<void()> drained) = 0;
    /// Calls the function at most once, if the connection closes before finish().
    virtual void onCallerGone(std::function<void()> gone) = 0;
    /// Drops the body of the request and returns its memory, if it is not needed any more.
    virtual void releaseBody() { }
    /// Reserves memory for this many bytes of the response, to be queued next. Returns false if the process
    /// has none: its callers have not read the responses that they were sent.
    virtual bool reserveResponse(std::size_t /*bytes*/) { return true; }
};

/// Limits on the size and duration of requests and on the number of connections.
struct http_limits {
    std::size_t maxHeaderBytes = 16u << 10; ///< Larger headers are answered 431.
    std::size_t maxBodyBytes = 64u << 20; ///< Larger bodies are answered 413.
    /// For the request headers and between pieces of the body; then the request is answered 408.
    milliseconds headerTimeout { 20000 };
    /// From the first byte of a request to its last; then it is answered 408.
    milliseconds requestTimeout { 120000 };
    milliseconds idleTimeout { 30000 }; ///< Between requests; then the connection is closed.
    /// A further connection replaces the one that has been idle longest, or else one whose caller has made no
    /// progress for longest with a request that it sends or a response that it reads. If there is none, it is
    /// closed without being read: its peer can turn to another server at once.
    std::size_t maxConnections = 4000;
};

/// What a listener did about connections that it could not serve.
struct http_listener_counters {
    std::uint64_t replaced = 0; ///< Connections without progress that gave way to new ones.
    std::uint64_t refusedForMemory = 0; ///< Requests that the memory budget did not admit.
    std::uint64_t reclaimed = 0; ///< Connections without progress that were closed for their memory.
    std::uint64_t timedOut = 0; ///< Requests that were not received within requestTimeout.
};

/// What this library reports besides the results of calls. It writes no log itself, so that programs can be
/// linked without the logging library.
struct http_log {
    /// An answer crossed a limit, and its call has failed.
    std::function<void(std::string_view address, std::string_view limit, std::uint64_t receivedBytes)>
        answerLimit;
    /// A receiver of a call's events has thrown, and the call has failed.
    std::function<void(std::string_view address, std::string_view message)> callException;
    /// A handler or the parser of requests has thrown, and the caller's connection is closed.
    std::function<void(std::string_view message)> requestException;
    /// A connection was refused or closed because of a limit on all of them together. `heldBytes` is the
    /// memory that it held or asked for, `usedBytes` that of all requests.
    std::function<void(std::string_view action, std::uint64_t heldBytes, std::uint64_t usedBytes)>
        connectionLimit;
};

/// Sets where all clients and listeners of the process report. To be called before the first one is created,
/// with all functions set; until then nothing is reported.
void setHttpLog(http_log log);

struct http_listener_options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    http_limits limits;
    std::string certificateFile; ///< PEM; enables TLS if set.
    std::string privateKeyFile;
    /// If not set, responses of unknown length end with their connection, as those of some servers do.
    bool chunkedResponses = true;
    /// Limit on the memory of all connections, requests and responses; may be shared. Null: no limit.
    std::shared_ptr<memory_budget> memory;
};

/// Accepts connections on an event loop and passes complete requests to a handler. Chunked request bodies are
/// decoded. A request with an ambiguous length is answered 400 and its connection closed, which prevents
/// request smuggling.
class http_listener {
public:
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;

    /// Throws std::runtime_error with the address if it cannot listen there.
    http_listener(event_loop& loop, http_listener_options options, handler onRequest);
    /// Closes all connections.
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// Applies to requests that start after this call.
    void setLimits(const http_limits& limits);
    void stopAccepting();
    /// Closes idle connections now, and the others once their current response has been sent.
    void closeAfterAnswers();
    std::size_t connections() const;
    /// Number of requests that were received completely and whose response is not fully written yet.
    std::size_t exchanges() const;
    /// Number of connections that were closed at once because there was no room for them.
    std::uint64_t connectionsClosedUnread() const;
    const http_listener_counters& counters() const;

    struct impl; ///< Internal; public only for this library's source files.

private:
    std::shared_ptr<impl> m_impl;
};

// --- Event-driven client ---

/// Limits of one answer. Crossing one closes the connection, is logged and counted with the name of the
/// limit, and fails the call with failure_kind::incomplete. Bytes that arrive renew none of the times.
struct answer_limits {
    std::string_view kind = "answer"; ///< For logs and counters.
    /// A head, and all interim answers together. Larger than the heads of any server.
    std::uint32_t headBytes = 64u << 10;
    /// From the first byte of a head to its end, from the first interim answer to the last, and from the
    /// first byte of a chunk's header or of the trailer to its end. They are sent at once; two
    /// retransmissions over a lossy link take less.
    milliseconds headTime { 2000 };
    /// Of a body, whatever its framing. A larger Content-Length fails the call with the head.
    std::uint64_t bodyBytes = 64u << 20;
    /// Unlike bodyBytes for a body with Content-Length, which may be passed on as it arrives; 0: bodyBytes.
    std::uint64_t lengthBytes = 0;
    /// From the first byte of a body, or of an event, to its end; 0: until the deadline.
    milliseconds bodyTime { 0 };
    /// Between two reports of whole events (client_call::eventsReceived); 0: the body has no events.
    std::uint64_t eventBytes = 0;
};

/// Handle of one call of an http_client. Use it on the loop's thread only.
class client_call {
public:
    virtual ~client_call() = default;
    /// Closes the connection; no further event is reported. Destroying the handle does the same.
    virtual void cancel() = 0;
    /// Stops reading the response until resume(), for backpressure from a slow consumer.
    virtual void pause() = 0;
    virtual void resume() = 0;
    /// Replaces the limits for the rest of the answer. Called once its kind is known from the head.
    virtual void setLimits(const answer_limits& /*limits*/) { }
    /// Reports that the last piece of the body completed an event: its limits apply anew to the next one.
    virtual void eventsReceived() { }
};

struct client_call_options {
    steady_time deadline; ///< Limits the whole call.
    milliseconds connectTimeout { 1000 };
    milliseconds idleTimeout { 0 }; ///< Longest time without data once sending has started; 0: none.
    /// Opens a new connection instead of reusing an idle one. The peer may close an idle connection while the
    /// request is in transit, and then it is unknown whether the request ran.
    bool freshConnection = false;
    /// Longest time without a byte of the response over a reused connection, which may have gone silent.
    /// Then, or if the connection ends before a byte, the request is sent once more over a new connection.
    /// Only for requests that may run twice. 0: none.
    milliseconds reuseTimeout { 0 };
    /// If the call times out without a byte of the response, idle connections to the address may have gone
    /// silent as well and are closed. For peers that always respond sooner: a busy one would lose its
    /// connections just when it is busy.
    bool closesSilentConnections = false;
    /// Id that the peer echoes in its response. An idle connection that has carried a request with this id is
    /// not reused: a second response to that one would be taken for the response to this one. Empty: none.
    std::string answerId;
    /// Accepts a response without Content-Length or chunking as complete when the peer closes cleanly.
    bool acceptUnframed = false;
    answer_limits limits;
};

/// Callbacks of a call, in the order in which they run. The last one is either whole or failed, exactly once.
struct client_call_events {
    /// Receives status and headers. Returning false fails the call with failure_kind::incomplete.
    std::function<bool(const http_reply&)> head;
    std::function<bool(std::string_view)> body; ///< Returning false fails the call as for head.
    std::function<void()> whole; ///< The response is complete.
    std::function<void(const failure&)> failed;
};

struct http_client_options {
    std::size_t maxIdlePerAddress = 32; ///< Further idle connections are closed.
    milliseconds maxIdleTime { 4000 }; ///< Unless the Keep-Alive header of the peer gives a shorter time.
    /// Called with the limit that an answer crossed, besides the report to the log; may be empty.
    std::function<void(std::string_view limit)> limitCrossed;
};

/// HTTP client on an event loop with a pool of persistent connections. It repeats a request only as
/// client_call_options::reuseTimeout says. A connection is reused only if the request was sent completely,
/// the response was received completely and no bytes follow it, and not after a later call to the same
/// address has timed out without a byte of a response: both may have gone silent at the same time.
class http_client {
public:
    http_client(event_loop& loop, http_client_options options);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts a call to "host:port". The failure's verdict is not_run only if no byte of the request was
    /// written to the socket. No event is reported before this function returns.
    std::shared_ptr<client_call> start(std::string_view address, const http_request& request,
        const client_call_options& options, client_call_events events);

    /// Like start(), but collects the complete response. The call keeps itself alive until `done`, which runs
    /// exactly once; it cannot be cancelled.
    void fetch(std::string_view address, const http_request& request, const client_call_options& options,
        std::function<void(result<http_reply>)> done);

    std::uint64_t connectionsOpened() const;

    struct impl; ///< Internal; public only for this library's source files.

private:
    std::shared_ptr<impl> m_impl;
};

// --- Blocking server and client ---

/// Called on a worker thread for each request. It may block, and occupies its thread until it returns.
using http_handler = std::function<void(const http_request&, reply_sink&)>;

struct http_server_options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    unsigned maxThreads = 512; ///< Each streamed response occupies one thread.
    std::size_t maxBodyBytes = 64u << 20;
    /// Limit on the memory of all connections, requests and responses, in bytes; 0: none.
    std::size_t memoryBytes = 0;
    milliseconds readTimeout { 20000 }; ///< For the request headers and between pieces of the body.
    milliseconds keepAliveTimeout { 30000 };
    std::string certificateFile; ///< PEM; enables TLS if set.
    std::string privateKeyFile;
};

/// Blocking server with its own event loop thread and a pool of worker threads, one per running request.
class http_server {
public:
    /// Starts listening. Throws std::runtime_error with the address if that fails.
    http_server(http_server_options options, http_handler handler);
    /// Waits for the running handlers and stops the loop. Output that is not written to the socket yet is
    /// lost, so the owner calls drain() first.
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Stops accepting, closes idle connections, and waits until the responses to all received requests are
    /// written to the socket. That is later than the return of their handlers, which only queue output.
    /// Returns the number of responses that are not written at the deadline; the server can be drained again.
    std::size_t drain(steady_time deadline);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

/// Timeouts, cancellation and callbacks of one blocking call.
struct http_call_options {
    steady_time deadline; ///< Limits the whole call.
    milliseconds connectTimeout { 1000 }; ///< For establishing the connection.
    /// Longest time without data once sending has started; zero for no limit except the deadline.
    milliseconds idleTimeout { 0 };
    /// Set by another thread to cancel the call; checked every 20 ms. May be null.
    const std::atomic<bool>* abandon = nullptr;
    /// Called with the status and headers before the body. Returning false cancels the call.
    std::function<bool(const http_reply&)> onHead;
    /// Called with each piece of the body; the reply's body then stays empty. Returning false cancels the
    /// call.
    std::function<bool(std::string_view)> onBody;
};

/// Sends one request to "host:port" over a new connection and receives the complete response.
///
/// The failure's verdict is not_run only if no byte of the request was written to the socket; otherwise it is
/// may_have_run. A response without Content-Length or chunking is reported as incomplete, because its end
/// cannot be distinguished from a lost connection.
result<http_reply> httpCall(
    std::string_view address, const http_request& request, const http_call_options& options);

/// Polls one address over a persistent connection. Not thread-safe.
class polling_client {
public:
    explicit polling_client(std::string_view address);
    ~polling_client();
    polling_client(const polling_client&) = delete;
    polling_client& operator=(const polling_client&) = delete;

    /// The timeout limits the whole call, including connecting.
    result<http_reply> get(const std::string& path, milliseconds timeout);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace yuccachute
