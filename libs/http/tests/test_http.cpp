#include "http/http.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace yuccachute;

namespace {

int listenOnFreePort(std::uint16_t& port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    REQUIRE(::listen(fd, 16) == 0);
    socklen_t length = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    port = ntohs(address.sin_port);
    return fd;
}

std::uint16_t freePort()
{
    std::uint16_t port = 0;
    ::close(listenOnFreePort(port));
    return port;
}

http_call_options withDeadline(milliseconds time)
{
    http_call_options options;
    options.deadline = std::chrono::steady_clock::now() + time;
    return options;
}

std::string localAddress(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

enum class closing : std::uint8_t { orderly, reset };

/// Server that reads once from each connection, sends the given bytes and closes. Counts the requests.
class raw_peer {
public:
    explicit raw_peer(std::string answer, closing end = closing::orderly)
        : m_fd(listenOnFreePort(m_port))
        , m_thread([this, answer, end] { serve(answer, end); })
    {
    }

    ~raw_peer()
    {
        ::shutdown(m_fd, SHUT_RDWR);
        m_thread.join();
        ::close(m_fd);
    }

    std::string address() const { return localAddress(m_port); }
    int requests() const { return m_requests; }

private:
    void serve(const std::string& answer, closing end)
    {
        for (int peer; (peer = ::accept(m_fd, nullptr, nullptr)) >= 0; ::close(peer)) {
            const linger discarding { 1, 0 };
            if (end == closing::reset)
                ::setsockopt(peer, SOL_SOCKET, SO_LINGER, &discarding, sizeof discarding);
            char buffer[4096];
            if (::recv(peer, buffer, sizeof buffer, 0) > 0)
                ++m_requests;
            if (!answer.empty())
                REQUIRE(::send(peer, answer.data(), answer.size(), MSG_NOSIGNAL) > 0);
        }
    }

    std::uint16_t m_port = 0;
    int m_fd;
    std::atomic<int> m_requests { 0 };
    std::thread m_thread;
};

http_request post(std::string path, std::string body)
{
    http_request request;
    request.method = "POST";
    request.path = std::move(path);
    request.body = std::move(body);
    return request;
}

/// Sends a request by the event-driven client, which accepts responses that end with their connection.
result<http_reply> fetchUnframed(const std::string& address)
{
    event_loop loop;
    http_client client(loop, {});
    client_call_options options;
    options.deadline = std::chrono::steady_clock::now() + milliseconds { 2000 };
    options.acceptUnframed = true;
    std::optional<result<http_reply>> outcome;
    client.fetch(address, post("/", "x"), options,
        [&](result<http_reply> reply) { outcome.emplace(std::move(reply)); });
    while (!outcome)
        loop.runFor(milliseconds { 1 });
    return *outcome;
}

} // namespace

TEST_CASE("complete and streamed responses are received completely")
{
    http_server_options options;
    options.port = freePort();
    options.maxBodyBytes = 1000;
    http_server server(options, [](const http_request& request, reply_sink& sink) {
        if (request.path == "/stream") {
            sink.startStream(200, { { "Content-Type", "text/event-stream" } });
            for (int i = 0; i < 100; ++i)
                sink.write("data: " + std::to_string(i) + "\n\n");
            return sink.finish();
        }
        sink.send({ 200, { { "X-Seen", std::string(findHeader(request.headers, "x-id")) } },
            request.body.str() + request.query });
    });
    auto request = post("/echo", "hello");
    request.query = "a=b%20c";
    request.headers.emplace_back("X-Id", "7");
    auto whole = httpCall(localAddress(options.port), request, withDeadline(milliseconds { 5000 }));
    REQUIRE(whole);
    CHECK(whole.value().body == "helloa=b%20c");
    CHECK(findHeader(whole.value().headers, "X-Seen") == "7");
    CHECK(queryParameter("x=1&a=b%20c", "a") == "b c");

    std::string collected;
    auto options2 = withDeadline(milliseconds { 5000 });
    options2.onBody = [&](std::string_view piece) {
        collected += piece;
        return true;
    };
    auto streamed = httpCall(localAddress(options.port), post("/stream", "{}"), options2);
    REQUIRE(streamed);
    CHECK(collected.substr(collected.size() - 10) == "data: 99\n\n");

    auto tooLarge = httpCall(localAddress(options.port), post("/echo", std::string(2000, 'x')),
        withDeadline(milliseconds { 5000 }));
    REQUIRE(tooLarge);
    CHECK(tooLarge.value().status == 413);

    // An ambiguous body length is rejected. test_event_http covers the variants of request smuggling.
    auto ambiguous = post("/echo", "5\r\nhello\r\n0\r\n\r\n");
    ambiguous.headers.emplace_back("Transfer-Encoding", "chunked");
    ambiguous.headers.emplace_back("Content-Length", "15");
    auto refused = httpCall(localAddress(options.port), ambiguous, withDeadline(milliseconds { 5000 }));
    REQUIRE(refused);
    CHECK(refused.value().status == 400);
}

TEST_CASE("a call to a port without listener fails as not_run")
{
    const auto failed
        = httpCall(localAddress(freePort()), post("/", "x"), withDeadline(milliseconds { 2000 }));
    REQUIRE(!failed);
    CHECK(failed.error().ran == verdict::not_run);
    auto options = withDeadline(milliseconds { 2000 });
    options.onBody = [](std::string_view) { return true; };
    const auto streamed = httpCall(localAddress(freePort()), post("/", "x"), options);
    REQUIRE(!streamed);
    CHECK(streamed.error().ran == verdict::not_run);
}

// Guards against duplicate execution: a server runs a request, such as a payment, and crashes before it
// responds. An HTTP library that retries when a reused connection closes without a response runs it twice.
TEST_CASE("a request whose connection closes without a response is sent once and may have run")
{
    raw_peer peer("");
    for (int i = 0; i < 5; ++i) {
        const auto failed = httpCall(peer.address(), post("/pay", "x"), withDeadline(milliseconds { 2000 }));
        REQUIRE(!failed);
        CHECK(failed.error().ran == verdict::may_have_run);
        auto options = withDeadline(milliseconds { 2000 });
        options.onBody = [](std::string_view) { return true; };
        const auto streamed = httpCall(peer.address(), post("/pay", "x"), options);
        REQUIRE(!streamed);
        CHECK(streamed.error().ran == verdict::may_have_run);
    }
    CHECK(peer.requests() == 10);
}

// Guards against a client that overlooks the final chunk when it arrives in one segment with the data before
// it: the caller waits for seconds and gets an error although the response is complete.
TEST_CASE("a chunked JSON response in one segment is complete")
{
    raw_peer peer("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: "
                  "chunked\r\n\r\n7\r\n{\"a\":1}\r\n0\r\n\r\n");
    const auto whole = httpCall(peer.address(), post("/", "x"), withDeadline(milliseconds { 5000 }));
    REQUIRE(whole);
    CHECK(whole.value().body == "{\"a\":1}");
}

// Guards against reporting a truncated response as complete: the target crashed while sending, and HTTP ends
// a response without length or chunking where the connection ends.
TEST_CASE("a truncated response is never reported as complete")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    for (const std::string& answer : { head + "Content-Length: 10\r\n\r\nhalf",
             head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", head + "\r\nhalf" }) {
        raw_peer peer(answer);
        auto options = withDeadline(milliseconds { 2000 });
        const auto whole = httpCall(peer.address(), post("/", "x"), options);
        REQUIRE(!whole);
        CHECK(whole.error().ran == verdict::may_have_run);
        options.onBody = [](std::string_view) { return true; };
        const auto streamed = httpCall(peer.address(), post("/", "x"), options);
        REQUIRE(!streamed);
        CHECK(streamed.error().ran == verdict::may_have_run);
    }
}

// Guards against an answer with an empty or short body that is taken for whole: the target stopped in the
// middle of the head and closed the connection.
TEST_CASE("a response whose head is cut is never reported as complete")
{
    const std::string sound = "HTTP/1.1 200 OK\r\n";
    const std::vector<std::string> framings { "Content-Length: 0\r\n", "Content-Length: 4\r\n",
        "Transfer-Encoding: chunked\r\n", "Connection: close\r\n", "" };
    for (const std::string& interim :
        { "", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n" }) {
        for (const auto& framing : framings) {
            const auto head = sound + framing + "\r\n";
            for (std::size_t length = 0; length < head.size(); ++length) {
                const auto cut = interim + head.substr(0, length);
                for (const auto end : { closing::orderly, closing::reset }) {
                    INFO(cut << (end == closing::reset ? " and a reset" : ""));
                    raw_peer peer(cut, end);
                    const auto reply = fetchUnframed(peer.address());
                    REQUIRE(!reply);
                    CHECK(reply.error().ran == verdict::may_have_run);
                    const auto blocking
                        = httpCall(peer.address(), post("/", "x"), withDeadline(milliseconds { 2000 }));
                    REQUIRE(!blocking);
                    CHECK(blocking.error().ran == verdict::may_have_run);
                }
            }
        }
    }
}

TEST_CASE("a call to an unresponsive peer ends at the deadline, a cancelled call immediately")
{
    std::uint16_t port = 0;
    const int unresponsivePeer = listenOnFreePort(port);
    const auto late = httpCall(localAddress(port), post("/", "x"), withDeadline(milliseconds { 100 }));
    REQUIRE(!late);
    CHECK(late.error().kind == failure_kind::timeout);
    CHECK(late.error().ran == verdict::may_have_run);
    std::atomic<bool> abandon { true };
    auto options = withDeadline(milliseconds { 60000 });
    options.abandon = &abandon;
    options.onBody = [](std::string_view) { return true; };
    const auto abandoned = httpCall(localAddress(port), post("/", "x"), options);
    REQUIRE(!abandoned);
    CHECK(abandoned.error().kind == failure_kind::cancelled);
    ::close(unresponsivePeer);
}

TEST_CASE("a polling client reuses its connection and reconnects after a restart of the peer")
{
    http_server_options options;
    options.port = freePort();
    std::atomic<int> served { 0 };
    const auto handler = [&](const http_request& request, reply_sink& sink) {
        sink.send({ 200, {}, request.path + std::to_string(++served) });
    };
    auto server = std::make_unique<http_server>(options, handler);
    polling_client client(localAddress(options.port));
    for (int i = 1; i <= 3; ++i)
        CHECK(client.get("/load", milliseconds { 2000 }).value().body == "/load" + std::to_string(i));
    server.reset();
    CHECK(!client.get("/load", milliseconds { 200 }));
    server = std::make_unique<http_server>(options, handler);
    CHECK(client.get("/load", milliseconds { 2000 }).value().body == "/load4");
}

// Guards against a server that is destroyed as soon as its handlers have returned: the end of a response that
// the loop has not written to the socket yet is lost, and the caller receives a truncated response.
TEST_CASE("a drained server has written the whole responses of its handlers")
{
    // More than the socket buffers of both sides hold, so that output is left when the handler returns.
    constexpr std::size_t bodyBytes = 32u << 20;
    http_server_options options;
    options.port = freePort();
    std::atomic<bool> queued { false };
    auto server = std::make_unique<http_server>(options, [&](const http_request&, reply_sink& sink) {
        sink.send({ 200, {}, std::string(bodyBytes, 'x') });
        queued = true;
    });
    std::atomic<bool> mayRead { false };
    std::size_t received = 0;
    bool whole = false;
    std::thread caller([&] {
        auto call = withDeadline(milliseconds { 30000 });
        call.onHead = [&](const http_reply&) {
            while (!mayRead)
                std::this_thread::sleep_for(milliseconds { 1 });
            return true;
        };
        call.onBody = [&](std::string_view piece) {
            received += piece.size();
            return true;
        };
        whole = httpCall(localAddress(options.port), post("/", "x"), call).has_value();
    });
    while (!queued)
        std::this_thread::sleep_for(milliseconds { 1 });
    CHECK(server->drain(std::chrono::steady_clock::now() + milliseconds { 50 }) == 1);
    mayRead = true;
    CHECK(server->drain(std::chrono::steady_clock::now() + milliseconds { 30000 }) == 0);
    server.reset();
    caller.join();
    CHECK(whole);
    CHECK(received == bodyBytes);
}
