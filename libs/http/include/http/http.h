#pragma once

#include "verdict/verdict.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// HTTP server and client over cxxtools. Layer: transport. Compiles as C++17 and C++20.
namespace yuccachute {

/// Header fields in order of arrival. Names compare without case.
using http_headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field of that name, or an empty view.
std::string_view findHeader(const http_headers& headers, std::string_view name);

struct http_request {
    std::string method = "GET";
    std::string path;
    std::string query; ///< Raw query string, without the question mark.
    http_headers headers;
    std::string body;
};

struct http_reply {
    unsigned status = 200;
    http_headers headers;
    std::string body;
};

/// Returns the decoded value of a query parameter, or an empty string.
std::string queryParameter(std::string_view query, std::string_view name);

/// Answers one request: either send() once, or startStream(), write() repeatedly and finish().
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

/// Called on a server thread for each request; it may block, and holds its thread until it returns.
using http_handler = std::function<void(const http_request&, reply_sink&)>;

struct http_server_options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    unsigned maxThreads = 512; ///< Each streamed reply holds one thread.
    std::size_t maxBodyBytes = 64u << 20;
    milliseconds readTimeout { 20000 }; ///< For a whole request, from its first byte.
    milliseconds keepAliveTimeout { 30000 };
    std::string certificateFile; ///< PEM; TLS is on when it is set.
    std::string privateKeyFile;
};

/// Server with its own event loop thread.
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
    /// Whether the content received so far ends with its final event. Needed for streams: the library does
    /// not always see the last chunk.
    std::function<bool()> isWhole;
};

/// Sends one request to "host:port" over a connection of its own and receives the whole answer.
///
/// A connection is never reused: the library's client silently repeats a request, a POST too, when a reused
/// connection closes before the answer, after the target may have run it. On a fresh connection it does not,
/// and only so can the verdict be true.
///
/// The failure's verdict is not_run only if the connection was refused or the request had not been handed
/// over completely; otherwise may_have_run. An answer that ends without Content-Length or final chunk, or
/// whose end cannot be told from a cut connection, is reported as incomplete.
result<http_reply> httpCall(
    std::string_view address, const http_request& request, const http_call_options& options);

/// Asks one address again and again over a kept connection. For requests that may be repeated only: the
/// library sends a request again by itself when a kept connection closes without an answer. Not thread-safe.
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
