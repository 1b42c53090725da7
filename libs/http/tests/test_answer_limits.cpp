#include "http/http.h"
#include "scripted_server.h"
#include "support/free_port.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <thread>

using namespace yuccachute;
using namespace yuccachute::testing;

namespace {

/// Peak of the virtual memory of this process in KiB, which a reservation raises even if it is never used.
std::size_t peakVirtualKiB()
{
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmPeak:"))
            return std::stoul(line.substr(7));
    }
    return 0;
}

constexpr std::size_t slackKiB = 16u << 10; ///< Threads of the servers, and what the allocator keeps.

} // namespace

// Guards against a process that ends by std::bad_alloc, or reserves gigabytes, because a header names a
// length.
TEST_CASE("the length that an answer promises takes no memory and does not end the process")
{
    for (const char* length :
        { "2000000000", "99999999999", "9223372036854775807", "18446744073709551615" }) {
        const scripted_server server(
            inPieces({ "HTTP/1.1 200 OK\r\nContent-Length: " + std::string(length) + "\r\n\r\nabc" }));
        const auto before = peakVirtualKiB();
        const auto seen = fetchFrom(server);
        CHECK(peakVirtualKiB() < before + slackKiB);
        REQUIRE(!seen.reply);
        CHECK(seen.reply.error().kind == failure_kind::incomplete);
    }
}

namespace {

/// Sends the pieces of a request one by one to a listener that answers "done", and returns what it answers.
std::string answerToPieces(const std::vector<std::string>& pieces, std::size_t& peakKiB)
{
    event_loop loop;
    http_listener_options options;
    options.port = freePort();
    http_listener listener(loop, options, [](const std::shared_ptr<http_exchange>& exchange) {
        exchange->send({ 200, {}, "done" });
    });
    const auto before = peakVirtualKiB();
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    for (const auto& piece : pieces) {
        sendText(fd, piece);
        loop.runFor(milliseconds { 10 });
    }
    peakKiB = peakVirtualKiB() - before;
    char buffer[4096];
    const auto count = ::recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
    ::close(fd);
    return { buffer, static_cast<std::size_t>(std::max<ssize_t>(count, 0)) };
}

} // namespace

// Guards against callers that occupy 64 MB a connection by a header alone.
TEST_CASE("the length that a request promises takes no memory")
{
    std::size_t peakKiB = 0;
    const auto head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 64000000\r\n\r\n";
    CHECK(answerToPieces({ head, "abc" }, peakKiB).empty());
    CHECK(peakKiB < slackKiB);
}

// Guards against a process that ends by an assertion of the parser: it takes the last chunk and one more
// byte, in pieces of their own, for an impossible state.
TEST_CASE("the end of a chunked answer may arrive in any pieces")
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string begin : { "", "3\r\nabc\r\n", "4\r\n0\r\n\r\r\n" }) {
        std::vector<std::string> bytes { head };
        for (const char byte : begin + "0\r\n\r\n")
            bytes.emplace_back(1, byte);
        const scripted_server server(inPieces(bytes));
        const auto seen = fetchFrom(server);
        REQUIRE(seen.reply);
        CHECK(seen.reply.value().body == (begin.empty() ? "" : begin.substr(3, begin.size() - 5)));
    }
}

// The same of a request: a caller's bytes must not end a server either.
TEST_CASE("the end of a chunked request may arrive in any pieces")
{
    std::size_t peakKiB = 0;
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto answer = answerToPieces({ head, "0", "\r", "\n", "\r", "\n" }, peakKiB);
    CHECK(answer.starts_with("HTTP/1.1 200"));
}

namespace {

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr milliseconds slowly { 100 }; ///< Between bytes; shorter than any idle timeout.
constexpr milliseconds closedWithin { 3000 };

struct endless_answer {
    const char* name;
    std::string limit; ///< Named in the failure.
    scripted_server::script script;
};

std::vector<endless_answer> endlessAnswers()
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    const std::string field = "X-Field: value\r\n";
    const std::string oneByteChunk = "1;" + std::string(60000, 'e') + "\r\nx\r\n";
    const std::string text(60000, 'x');
    return {
        { "head", "head bytes", endless("HTTP/1.1 200 OK\r\n", field) },
        { "slow head", "head time", endless("HTTP/1.1 200 OK\r\n", field, slowly) },
        { "interim answers", "interim bytes", endless("", interim) },
        { "slow interim answers", "interim time", endless("", interim, slowly) },
        { "body that is longer than allowed", "body bytes",
            endless("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", text) },
        { "body without end", "body bytes", endless("HTTP/1.1 200 OK\r\n\r\n", text) },
        { "chunks without end", "body bytes", endless(chunkedHead, "ea60\r\n" + text + "\r\n") },
        { "huge chunk", "body bytes", endless(chunkedHead + "ffffffffffff\r\n", text) },
        { "chunk size without end", "framing bytes", endless(chunkedHead, std::string(1000, '0')) },
        { "chunk extension", "framing bytes", endless(chunkedHead + "1;", std::string(1000, 'e')) },
        { "slow chunk extension", "framing time", endless(chunkedHead + "1;e", "e", slowly) },
        { "chunks with long extensions", "framing bytes", endless(chunkedHead, oneByteChunk) },
        { "trailer", "framing bytes", endless(chunkedHead + "0\r\n", field) },
        { "slow trailer", "framing time", endless(chunkedHead + "1\r\nx\r\n0\r\n", field, slowly) },
    };
}

} // namespace

// Guards against answers that go on until the deadline, or as long as there is memory: each byte renewed the
// idle timeout, and a body was collected without limit.
TEST_CASE("an answer that never ends is closed at its limit within 3 s and reported once")
{
    for (const auto& [name, limit, script] : endlessAnswers()) {
        INFO(name);
        const scripted_server server(script);
        std::vector<std::string> crossed;
        client_call_options options;
        options.idleTimeout = milliseconds { 700 };
        options.acceptUnframed = true;
        http_client_options clientOptions;
        clientOptions.limitCrossed = [&](std::string_view limit) { crossed.emplace_back(limit); };
        const auto seen = fetchFrom(server, options, clientOptions);
        REQUIRE(!seen.reply);
        CHECK(seen.took < closedWithin);
        CHECK(seen.reply.error().kind == failure_kind::incomplete);
        CHECK(seen.reply.error().ran == verdict::may_have_run);
        CHECK_THAT(seen.reply.error().message, Catch::Contains(limit));
        CHECK(crossed == std::vector<std::string> { "answer " + limit });
    }
}

// Guards against limits that fail sound answers.
TEST_CASE("an interim answer before a long wait, a slow body and a long trailer are sound")
{
    client_call_options options;
    options.limits.headTime = milliseconds { 50 };
    const scripted_server waits([](int fd) {
        sendText(fd, "HTTP/1.1 100 Continue\r\n\r\n");
        std::this_thread::sleep_for(milliseconds { 150 });
        sendText(fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no");
        std::this_thread::sleep_for(milliseconds { 150 });
        sendText(fd, "k");
    });
    CHECK(fetchFrom(waits, options).reply.value().body == "ok");
    const scripted_server slowChunks([](int fd) {
        sendText(fd, chunkedHead + "2\r\nab\r\n");
        for (int i = 0; i < 2; ++i) {
            std::this_thread::sleep_for(milliseconds { 100 });
            sendText(fd, "2\r\nab\r\n");
        }
        sendText(fd, "0\r\nX: " + std::string(60000, 'x') + "\r\n\r\n");
    });
    CHECK(fetchFrom(slowChunks, options).reply.value().body == "ababab");
}

namespace {

/// Runs one call whose receiver reports an event for each newline, and returns its failure.
std::optional<failure> receiveEvents(const scripted_server& server, const answer_limits& limits)
{
    event_loop loop;
    http_client client(loop, {});
    client_call_options options;
    options.deadline = std::chrono::steady_clock::now() + milliseconds { 6000 };
    options.acceptUnframed = true;
    std::shared_ptr<client_call> call;
    std::optional<failure> error;
    client_call_events events;
    events.head = [&](const http_reply&) {
        call->setLimits(limits);
        return true;
    };
    events.body = [&](std::string_view piece) {
        if (piece.ends_with('\n'))
            call->eventsReceived();
        return true;
    };
    events.whole = [&] { loop.stop(); };
    events.failed = [&](const failure& given) {
        error = given;
        loop.stop();
    };
    call = client.start(server.address, {}, options, std::move(events));
    loop.run();
    return error;
}

answer_limits eventLimits()
{
    answer_limits limits;
    limits.eventBytes = 1000;
    limits.bodyBytes = 5000;
    limits.bodyTime = milliseconds { 300 };
    return limits;
}

} // namespace

// Guards against a stream whose bytes hold no end of an event, in which each byte renewed the idle timeout.
TEST_CASE("an event that never ends is closed at its limits, and whole events renew them")
{
    const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
    const auto closedAt = [](const scripted_server::script& script) {
        const auto error = receiveEvents(scripted_server(script), eventLimits());
        return error ? error->message : "whole";
    };
    CHECK(closedAt(endless(head, std::string(100, 'x'), milliseconds { 1 })).find("event bytes")
        != std::string::npos);
    CHECK(closedAt(endless(head, "x", milliseconds { 20 })).find("event time") != std::string::npos);
    CHECK(closedAt(endless(head, "data: x\n", milliseconds { 1 })).find("body bytes") != std::string::npos);
    CHECK(closedAt([&](int fd) {
        sendText(fd, head);
        for (int i = 0; i < 8; ++i) {
            sendText(fd, "data: x\n");
            std::this_thread::sleep_for(milliseconds { 100 });
        }
    }) == "whole");
}

// Guards against bytes that end the process through a receiver that throws, and against exceptions that no
// log shows.
TEST_CASE("an exception of a receiver fails its call or connection, is reported, and the loop goes on")
{
    std::vector<std::string> reports;
    setHttpLog({ [](std::string_view, std::string_view, std::uint64_t) {},
        [&](std::string_view, std::string_view message) {
            reports.push_back("call " + std::string(message));
        },
        [&](std::string_view message) { reports.push_back("request " + std::string(message)); } });
    event_loop loop;
    http_listener_options options;
    options.port = freePort();
    int requests = 0;
    http_listener listener(loop, options, [&](const std::shared_ptr<http_exchange>& exchange) {
        if (++requests == 1)
            throw std::out_of_range("request");
        exchange->send({ 200, {}, "body" });
    });
    http_client client(loop, {});
    std::vector<std::string> outcomes;
    const auto callWith = [&](const std::string& thrower) {
        const auto throwAt = [thrower](const char* place) {
            if (thrower == place)
                throw std::runtime_error(place);
            return true;
        };
        client_call_options callOptions;
        callOptions.deadline = std::chrono::steady_clock::now() + milliseconds { 1000 };
        client_call_events events;
        events.head = [=](const http_reply&) { return throwAt("head"); };
        events.body = [=](std::string_view) { return throwAt("body"); };
        events.whole = [=, &outcomes] {
            outcomes.emplace_back("whole");
            throwAt("whole");
        };
        events.failed = [=, &outcomes](const failure& error) {
            outcomes.emplace_back(toString(error.kind));
            throwAt("failed");
        };
        const auto call
            = client.start("127.0.0.1:" + std::to_string(options.port), {}, callOptions, std::move(events));
        loop.runFor(milliseconds { 30 });
    };
    for (const char* thrower : { "", "head", "body", "" })
        callWith(thrower);
    CHECK(outcomes == std::vector<std::string> { "incomplete", "incomplete", "incomplete", "whole" });
    // The receiver of the outcome gets no second report.
    CHECK_THROWS(callWith("whole"));
    CHECK(outcomes.back() == "whole");
    loop.runFor(milliseconds { 30 });
    CHECK(listener.exchanges() == 0);
    CHECK(reports == std::vector<std::string> { "request request", "call head", "call body" });
    setHttpLog({ [](std::string_view, std::string_view, std::uint64_t) {},
        [](std::string_view, std::string_view) {}, [](std::string_view) {} });
}
