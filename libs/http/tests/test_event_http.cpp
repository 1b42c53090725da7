#include "http/http.h"
#include "support/free_port.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace yuccachute;

namespace {

/// A raw client connection to a listener on the same loop.
class raw_client {
public:
    explicit raw_client(std::uint16_t port)
        : m_fd(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    }
    ~raw_client() { close(); }

    void send(std::string_view text)
    {
        REQUIRE(::send(m_fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
    }

    /// Returns what has arrived so far. Sets closed() at the end of file.
    std::string receive()
    {
        std::string all;
        char buffer[4096];
        ssize_t count = 0;
        while ((count = ::recv(m_fd, buffer, sizeof buffer, MSG_DONTWAIT)) > 0)
            all.append(buffer, static_cast<std::size_t>(count));
        m_closed = count == 0;
        m_reset = count < 0 && errno == ECONNRESET;
        return all;
    }

    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }
    bool closed() const { return m_closed; }
    bool wasReset() const { return m_reset; }

private:
    int m_fd;
    bool m_closed = false;
    bool m_reset = false;
};

/// Listener that stores the exchanges it receives.
struct fixture {
    fixture()
    {
        options.port = freePort();
        options.limits.maxHeaderBytes = 500;
        options.limits.maxBodyBytes = 100;
        options.limits.headerTimeout = milliseconds { 50 };
        options.limits.idleTimeout = milliseconds { 80 };
        listener = std::make_unique<http_listener>(loop, options,
            [this](std::shared_ptr<http_exchange> exchange) { exchanges.push_back(std::move(exchange)); });
    }
    void run(int ms = 20) { loop.runFor(milliseconds { ms }); }

    event_loop loop;
    http_listener_options options;
    std::vector<std::shared_ptr<http_exchange>> exchanges;
    std::unique_ptr<http_listener> listener;
};

constexpr std::string_view simpleRequest = "GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

TEST_CASE("pipelined requests are answered in order and chunked bodies are decoded")
{
    fixture f;
    raw_client client(f.options.port);
    client.send(
        "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    client.send(simpleRequest);
    f.run();
    REQUIRE(f.exchanges.size() == 1);
    CHECK(f.exchanges[0]->request().body == "abcde");
    f.exchanges[0]->startStream(200, {}, std::nullopt);
    f.exchanges[0]->write("one");
    f.exchanges[0]->finish();
    f.run();
    REQUIRE(f.exchanges.size() == 2);
    CHECK(f.exchanges[1]->request().target == "/a?b=c");
    f.exchanges[1]->send({ 404, {}, "no" });
    f.run();
    const auto text = client.receive();
    CHECK(text.find("3\r\none\r\n0\r\n\r\nHTTP/1.1 404 Not Found\r\nContent-Length: 2") != std::string::npos);
    CHECK(f.listener->connections() == 1);
    CHECK(f.listener->exchanges() == 0);
}

// Guards against a truncated response: the handler releases the exchange right after finishing it, and the
// connection is closed before the last bytes are written.
TEST_CASE(
    "an exchange released after finishing is still delivered; one without response closes the connection")
{
    fixture f;
    raw_client first(f.options.port);
    raw_client second(f.options.port);
    first.send(simpleRequest);
    f.run();
    f.exchanges[0]->send({ 200, {}, std::string(50000, 'x') });
    f.exchanges.clear();
    second.send(simpleRequest);
    f.run();
    REQUIRE(f.exchanges.size() == 1);
    f.exchanges.clear();
    f.run();
    CHECK(first.receive().size() > 50000);
    CHECK(second.receive().empty());
    CHECK(second.closed());
}

// Guards against request smuggling: a second request is hidden in the body of the first, and a server that
// interprets the length differently runs it.
TEST_CASE("requests with an ambiguous length are rejected and their connection is closed")
{
    for (const char* fields : { "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
             "Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: +5\r\n",
             "Content-Length: 5 \r\nBad Name: x\r\n", "Transfer-Encoding: identity\r\n",
             "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked, identity\r\n",
             "Transfer-Encoding: gzip, chunked\r\n",
             "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n" }) {
        fixture f;
        raw_client client(f.options.port);
        client.send("POST /x HTTP/1.1\r\nHost: h\r\n" + std::string(fields)
            + "\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\n\r\n");
        f.run();
        CHECK(f.exchanges.empty());
        CHECK(client.receive().substr(0, 12) == "HTTP/1.1 400");
        f.run();
        client.receive();
        CHECK(client.closed());
    }
}

TEST_CASE("exceeded limits are reported by status code")
{
    fixture f;
    raw_client longHead(f.options.port);
    longHead.send("GET /" + std::string(600, 'x') + " HTTP/1.1\r\n\r\n");
    raw_client longBody(f.options.port);
    longBody.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n");
    raw_client slow(f.options.port);
    slow.send("GET / HT");
    raw_client idle(f.options.port);
    f.run(120);
    CHECK(longHead.receive().substr(0, 12) == "HTTP/1.1 431");
    CHECK(longBody.receive().substr(0, 12) == "HTTP/1.1 413");
    CHECK(slow.receive().substr(0, 12) == "HTTP/1.1 408");
    CHECK(idle.receive().empty());
    CHECK(idle.closed());
}

// Guards against wasted work: a caller disconnects and the target keeps processing its request.
TEST_CASE("a disconnected caller is detected immediately, before and during the response")
{
    for (const bool streaming : { false, true }) {
        fixture f;
        auto client = std::make_unique<raw_client>(f.options.port);
        client->send(simpleRequest);
        f.run();
        REQUIRE(f.exchanges.size() == 1);
        bool gone = false;
        f.exchanges[0]->onCallerGone([&] { gone = true; });
        if (streaming) {
            f.exchanges[0]->startStream(200, {}, std::nullopt);
            f.exchanges[0]->write("data: 1\n\n");
        }
        f.run();
        CHECK(!gone);
        client.reset();
        f.run();
        CHECK(gone);
        f.exchanges[0]->write("more");
        f.exchanges[0]->finish();
    }
}

TEST_CASE("a draining listener finishes running requests, then closes the connections")
{
    fixture f;
    raw_client busy(f.options.port);
    raw_client idle(f.options.port);
    busy.send(simpleRequest);
    f.run();
    f.listener->stopAccepting();
    f.listener->closeAfterAnswers();
    f.run();
    idle.receive();
    CHECK(idle.closed());
    REQUIRE(f.exchanges.size() == 1);
    f.exchanges[0]->send({ 200, {}, "done" });
    f.run();
    const auto text = busy.receive();
    CHECK(text.find("Connection: close") != std::string::npos);
    CHECK(text.substr(text.size() - 4) == "done");
}

namespace {

struct call_recorder {
    std::string body;
    unsigned status = 0;
    bool whole = false;
    std::optional<failure> error;

    client_call_events events()
    {
        return { [this](const http_reply& head) {
                    status = head.status;
                    return true;
                },
            [this](std::string_view piece) {
                body += piece;
                return true;
            },
            [this] { whole = true; }, [this](const failure& given) { error = given; } };
    }
};

client_call_options withDeadline(milliseconds time)
{
    client_call_options options;
    options.deadline = std::chrono::steady_clock::now() + time;
    return options;
}

} // namespace

TEST_CASE("the client reuses connections, and opens a new one on demand")
{
    fixture f;
    f.listener->setLimits({});
    http_client client(f.loop, {});
    const auto address = "127.0.0.1:" + std::to_string(f.options.port);
    http_request request;
    request.target = "/a?";
    for (const bool fresh : { false, false, true }) {
        call_recorder seen;
        auto options = withDeadline(milliseconds { 1000 });
        options.freshConnection = fresh;
        const auto call = client.start(address, request, options, seen.events());
        f.run();
        REQUIRE(f.exchanges.size() == 1);
        CHECK(f.exchanges[0]->request().target == "/a?");
        f.exchanges[0]->send({ 200, {}, "hi" });
        f.exchanges.clear();
        f.run();
        CHECK(seen.whole);
        CHECK(seen.body == "hi");
    }
    CHECK(client.connectionsOpened() == 2);
}

// Guards against a late second response to a request with the same id, such as an earlier attempt, or the
// item of another job: it does not differ from the awaited one.
TEST_CASE("a connection that has carried a request is not reused for one with the same id")
{
    fixture f;
    http_client client(f.loop, {});
    const auto address = "127.0.0.1:" + std::to_string(f.options.port);
    const auto opensFor = [&](const std::string& id) {
        call_recorder seen;
        auto options = withDeadline(milliseconds { 1000 });
        options.answerId = id;
        const auto before = client.connectionsOpened();
        const auto call = client.start(address, {}, options, seen.events());
        f.run();
        REQUIRE(f.exchanges.size() == 1);
        f.exchanges[0]->send({ 200, {}, "hi" });
        f.exchanges.clear();
        f.run();
        CHECK(seen.whole);
        return client.connectionsOpened() > before;
    };
    CHECK(opensFor("a"));
    CHECK_FALSE(opensFor("b"));
    CHECK(opensFor("a"));
    CHECK_FALSE(opensFor("b")); // On the second connection.
    CHECK(opensFor("b"));
    CHECK_FALSE(opensFor(""));
    CHECK_FALSE(opensFor("c"));
}

// Guards against one timeout after the other: all connections to a server have gone silent at once.
TEST_CASE("idle connections are not reused after a later call has timed out without an answer")
{
    // A peer that may be busy keeps its connections.
    for (const bool closes : { true, false }) {
        fixture f;
        f.listener->setLimits({});
        http_client client(f.loop, {});
        const auto address = "127.0.0.1:" + std::to_string(f.options.port);
        const auto options = withDeadline(milliseconds { 1000 });
        std::vector<call_recorder> seen(3);
        std::vector<std::shared_ptr<client_call>> calls;
        for (auto& one : seen)
            calls.push_back(client.start(address, {}, options, one.events()));
        f.run();
        REQUIRE(f.exchanges.size() == 3);
        for (const auto& exchange : f.exchanges)
            exchange->send({ 200, {}, "hi" });
        f.exchanges.clear();
        f.run();
        call_recorder unanswered;
        auto impatient = options;
        impatient.idleTimeout = milliseconds { 30 };
        impatient.closesSilentConnections = closes;
        const auto silent = client.start(address, {}, impatient, unanswered.events());
        f.run(60);
        CHECK(unanswered.error);
        CHECK(client.connectionsOpened() == 3);
        f.exchanges.clear();
        call_recorder last;
        const auto next = client.start(address, {}, options, last.events());
        f.run();
        CHECK(client.connectionsOpened() == (closes ? 4 : 3));
    }
}

// Guards against late answers to calls that may run twice: a reused connection has gone silent or ends.
TEST_CASE("a call that may run twice is sent again over a new connection if the reused one does not answer")
{
    fixture f;
    f.listener->setLimits({});
    http_client client(f.loop, {});
    const auto address = "127.0.0.1:" + std::to_string(f.options.port);
    auto options = withDeadline(milliseconds { 1000 });
    options.reuseTimeout = milliseconds { 30 };
    const auto answer = [&] {
        REQUIRE(!f.exchanges.empty());
        f.exchanges.back()->send({ 200, {}, "hi" });
        f.run();
    };
    for (const bool ends : { false, true }) {
        const auto before = client.connectionsOpened();
        call_recorder first;
        const auto warming = client.start(address, {}, options, first.events());
        // A new connection may be slow.
        f.run(60);
        CHECK(f.exchanges.size() == 1);
        answer();
        CHECK(first.whole);
        options.freshConnection = false;
        call_recorder again;
        const auto call = client.start(address, {}, options, again.events());
        f.run();
        CHECK(client.connectionsOpened() == before + 1);
        REQUIRE(f.exchanges.size() == 2);
        if (ends)
            f.exchanges.back()->abort();
        f.run(ends ? 20 : 60);
        CHECK(client.connectionsOpened() == before + 2);
        CHECK(f.exchanges.size() == 3);
        answer();
        CHECK(again.whole);
        f.exchanges.clear();
        f.run(60);
        // The next round begins with a new connection.
        options.freshConnection = true;
    }
}

// Guards against response mix-up: a server sends a second response after the first, and the next request on
// that connection would receive it.
TEST_CASE("a connection with extra bytes after the response is not reused")
{
    fixture f;
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    REQUIRE(::listen(fd, 8) == 0);
    socklen_t length = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    const auto serverAddress = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";

    http_client client(f.loop, {});
    const auto callRawServer = [&](std::string_view reply, std::string_view later) {
        call_recorder seen;
        const auto call = client.start(serverAddress, {}, withDeadline(milliseconds { 1000 }), seen.events());
        f.run();
        const int peer = ::accept(fd, nullptr, nullptr);
        REQUIRE(peer >= 0);
        REQUIRE(::send(peer, reply.data(), reply.size(), MSG_NOSIGNAL) > 0);
        f.run();
        if (!later.empty())
            REQUIRE(::send(peer, later.data(), later.size(), MSG_NOSIGNAL) > 0);
        f.run();
        ::close(peer);
        f.run();
        return seen;
    };
    CHECK(callRawServer(answer + "ok" + answer + "xx", "").body == "ok");
    CHECK(callRawServer(answer + "ok", answer + "yy").body == "ok");
    CHECK(callRawServer("HTTP/1.1 100 Continue\r\n\r\n" + answer + "ok", "").body == "ok");
    CHECK(client.connectionsOpened() == 3);
    const auto cut = callRawServer("HTTP/1.1 200 OK\r\n\r\nhalf", "");
    CHECK(!cut.whole);
    REQUIRE(cut.error);
    CHECK(cut.error->ran == verdict::may_have_run);
    ::close(fd);
}

// Guards against response mix-up in a process that stood still: a second response, or the end of the
// connection, has arrived on an idle connection and is unread when the next call starts.
TEST_CASE("an idle connection on which input has arrived is not used for the next call")
{
    fixture f;
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    REQUIRE(::listen(fd, 8) == 0);
    socklen_t length = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    const auto serverAddress = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    const auto send = [](int peer, std::string_view body) {
        const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + std::string(body);
        REQUIRE(::send(peer, reply.data(), reply.size(), MSG_NOSIGNAL) > 0);
    };
    for (const bool secondResponse : { true, false }) {
        http_client client(f.loop, {});
        call_recorder first;
        const auto call
            = client.start(serverAddress, {}, withDeadline(milliseconds { 1000 }), first.events());
        f.run();
        const int peer = ::accept(fd, nullptr, nullptr);
        REQUIRE(peer >= 0);
        send(peer, "a1");
        f.run();
        REQUIRE(first.body == "a1");
        // The loop does not run between the arrival and the next call.
        if (secondResponse)
            send(peer, "a2");
        else
            ::close(peer);
        call_recorder second;
        const auto next
            = client.start(serverAddress, {}, withDeadline(milliseconds { 1000 }), second.events());
        f.run();
        CHECK(second.body.empty());
        CHECK(!second.error);
        REQUIRE(client.connectionsOpened() == 2);
        const int nextPeer = ::accept(fd, nullptr, nullptr);
        REQUIRE(nextPeer >= 0);
        send(nextPeer, "b1");
        f.run();
        CHECK(second.body == "b1");
        ::close(nextPeer);
        if (secondResponse)
            ::close(peer);
    }
    ::close(fd);
}

TEST_CASE("the server detects a cancelled call, and a call without a response ends at the idle timeout")
{
    fixture f;
    f.listener->setLimits({});
    http_client client(f.loop, {});
    const auto address = "127.0.0.1:" + std::to_string(f.options.port);
    call_recorder first;
    auto call = client.start(address, {}, withDeadline(milliseconds { 1000 }), first.events());
    f.run();
    REQUIRE(f.exchanges.size() == 1);
    bool gone = false;
    f.exchanges[0]->onCallerGone([&] { gone = true; });
    call.reset();
    f.run();
    CHECK(gone);
    CHECK(!first.error);
    call_recorder second;
    auto options = withDeadline(milliseconds { 1000 });
    options.idleTimeout = milliseconds { 30 };
    call = client.start(address, {}, options, second.events());
    f.run(80);
    REQUIRE(second.error);
    CHECK(second.error->kind == failure_kind::timeout);
    CHECK(second.error->ran == verdict::may_have_run);
}

// Guards against callers whose new connections are never read because idle ones take all the room.
TEST_CASE("at its limit the listener closes the connection that is idle longest, or the new one unread")
{
    fixture f;
    f.options.limits.maxConnections = 2;
    f.options.limits.idleTimeout = milliseconds { 20000 };
    f.listener->setLimits(f.options.limits);
    raw_client busy(f.options.port);
    busy.send(simpleRequest);
    raw_client idle(f.options.port);
    idle.send(simpleRequest);
    f.run();
    REQUIRE(f.exchanges.size() == 2);
    f.exchanges[1]->send({ 200, {}, "done" });
    f.run();
    idle.receive();

    raw_client early(f.options.port);
    f.run();
    early.receive();
    CHECK(early.closed());
    CHECK_FALSE(idle.closed());
    CHECK(f.listener->connectionsClosedUnread() == 1);

    f.run(1000);
    raw_client late(f.options.port);
    late.send(simpleRequest);
    f.run();
    idle.receive();
    CHECK(idle.closed());
    CHECK(f.exchanges.size() == 3);
    busy.receive();
    CHECK_FALSE(busy.closed());
    CHECK(f.listener->connections() == 2);
}

// Guards against chunks in responses to callers that take them for the body, and against a response that was
// cut but looks complete to them.
TEST_CASE(
    "a response of unknown length to an HTTP/1.0 caller ends with its connection, and by a reset if cut")
{
    constexpr std::string_view oldRequest = "GET /a HTTP/1.0\r\nHost: h\r\n\r\n";
    fixture f;
    raw_client whole(f.options.port);
    whole.send(oldRequest);
    raw_client cut(f.options.port);
    cut.send(oldRequest);
    f.run();
    REQUIRE(f.exchanges.size() == 2);
    for (const auto& exchange : f.exchanges) {
        exchange->startStream(200, {}, std::nullopt);
        exchange->write("body");
    }
    f.exchanges[0]->finish();
    f.run();
    const auto text = whole.receive();
    CHECK(text.find("Transfer-Encoding") == std::string::npos);
    CHECK(text.ends_with("\r\n\r\nbody"));
    CHECK(whole.closed());
    f.exchanges[1]->abort();
    f.run();
    cut.receive();
    CHECK_FALSE(cut.closed());
    CHECK(cut.wasReset());
}

namespace {

/// Listener whose connections share a memory budget.
struct budget_fixture : fixture {
    explicit budget_fixture(std::size_t bytes)
    {
        options.limits.maxBodyBytes = 1u << 20;
        options.limits.headerTimeout = milliseconds { 20000 };
        options.limits.idleTimeout = milliseconds { 20000 };
        options.memory = std::make_shared<memory_budget>(bytes);
        options.port = freePort();
        listener = std::make_unique<http_listener>(loop, options,
            [this](std::shared_ptr<http_exchange> exchange) { exchanges.push_back(std::move(exchange)); });
    }
    std::string post(std::size_t length) const
    {
        return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
    }
};

} // namespace

// Guards against bodies that are read although there is no memory for them, and against memory that stays
// counted after its request.
TEST_CASE(
    "a body for which there is no memory is answered 503 before it arrives, and small requests are served")
{
    budget_fixture f(800u << 10);
    raw_client large(f.options.port);
    large.send(f.post(500u << 10));
    f.run();
    raw_client refused(f.options.port);
    refused.send(f.post(500u << 10));
    f.run();
    const auto answer = refused.receive();
    CHECK(answer.starts_with("HTTP/1.1 503 "));
    CHECK(answer.find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(answer.find("Connection: close\r\n") != std::string::npos);
    CHECK(f.listener->counters().refusedForMemory == 1);
    raw_client small(f.options.port);
    small.send(simpleRequest);
    f.run();
    REQUIRE(f.exchanges.size() == 1);
    for (int i = 0; i < 50; ++i) {
        large.send(std::string(10u << 10, 'x'));
        f.run(2);
    }
    REQUIRE(f.exchanges.size() == 2);
    CHECK(f.exchanges[1]->request().body.size() == 500u << 10);
    const auto used = f.options.memory->used();
    f.exchanges[1]->releaseBody();
    CHECK(f.options.memory->used() == used - (500u << 10));
    CHECK(f.exchanges[1]->request().body.empty());
    f.exchanges.clear();
    f.listener.reset();
    f.run();
    CHECK(f.options.memory->used() == 0);
}

// Guards against callers who hold memory or a place by a request that they do not go on to send.
TEST_CASE("a request without progress gives way to one that needs its memory or its place")
{
    budget_fixture f(800u << 10);
    raw_client stalled(f.options.port);
    stalled.send(f.post(500u << 10));
    f.run(1100);
    raw_client next(f.options.port);
    next.send(f.post(500u << 10));
    f.run();
    CHECK(stalled.receive().starts_with("HTTP/1.1 503 "));
    CHECK(next.receive().empty());
    CHECK(f.listener->counters().reclaimed == 1);
    stalled.close();
    f.run();

    f.options.limits.maxConnections = 1;
    f.listener->setLimits(f.options.limits);
    f.run(1100);
    raw_client last(f.options.port);
    last.send(simpleRequest);
    f.run();
    CHECK(f.exchanges.size() == 1);
    next.receive();
    CHECK(next.closed());
    CHECK(f.listener->counters().replaced == 1);
}

// Guards against requests that renew their timeout with each byte.
TEST_CASE("a request that is not complete within the request timeout is answered 408")
{
    fixture f;
    f.options.limits.requestTimeout = milliseconds { 150 };
    f.listener->setLimits(f.options.limits);
    raw_client client(f.options.port);
    client.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 90\r\n\r\n");
    for (int i = 0; i < 8; ++i) {
        client.send("x");
        f.run(30);
    }
    CHECK(client.receive().starts_with("HTTP/1.1 408 "));
    CHECK(f.exchanges.empty());
    CHECK(f.listener->counters().timedOut == 1);
}

// Guards against requests that are kept in memory before it is their turn.
TEST_CASE("requests sent ahead for which there is no memory are discarded, and the current one is served")
{
    budget_fixture f(24u << 10);
    raw_client client(f.options.port);
    client.send(simpleRequest);
    f.run();
    REQUIRE(f.exchanges.size() == 1);
    for (int i = 0; i < 1000; ++i)
        client.send(simpleRequest);
    f.run();
    f.exchanges[0]->send({ 200, {}, "done" });
    f.run();
    const auto answer = client.receive();
    CHECK(answer.find("done") != std::string::npos);
    CHECK(answer.find("Connection: close\r\n") != std::string::npos);
    CHECK(f.exchanges.size() == 1);
}
