#include "http/http.h"
#include "scripted_server.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace yuccachute;
using namespace yuccachute::testing;

namespace {

/// Larger than what the system buffers for a connection whose peer reads nothing.
constexpr std::size_t uploadBytes = 32u << 20;
const std::string okHead = "HTTP/1.1 200 OK\r\n";

/// The error of a call to a server that sends these bytes and closes the connection; nothing if the call
/// succeeded.
std::optional<failure> errorOf(const std::string& bytes)
{
    const scripted_server server(inPieces({ bytes }));
    client_call_options options;
    options.acceptUnframed = true;
    const auto seen = fetchFrom(server, options);
    return seen.reply ? std::nullopt : std::optional(seen.reply.error());
}

void checkRejected(const std::string& bytes)
{
    CAPTURE(bytes);
    const auto error = errorOf(bytes);
    CHECK(error);
    if (!error)
        return;
    CHECK(error->kind == failure_kind::incomplete);
    CHECK(error->ran == verdict::may_have_run);
}

/// Sends a request that is still being written while the server runs the script.
result<http_reply> uploadTo(scripted_server::script answer)
{
    const scripted_server server(std::move(answer));
    http_request request;
    request.method = "POST";
    request.body = std::string(uploadBytes, 'u');
    client_call_options options;
    options.acceptUnframed = true;
    return fetchFrom(server, options, {}, request).reply;
}

void resetConnection(int fd)
{
    const linger sendReset { 1, 0 };
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &sendReset, sizeof sendReset);
}

void readToEnd(int fd)
{
    std::vector<char> piece(1u << 20);
    while (::recv(fd, piece.data(), piece.size(), 0) > 0) { }
}

} // namespace

// Guards against a status that does not exist and is passed on as an answer, as "HTTP/1.1 0" or "20".
TEST_CASE("an answer whose status is not between 100 and 599 is not accepted")
{
    for (const std::string status : { "000", "001", "020", "099", "600", "700", "999" }) {
        checkRejected("HTTP/1.1 " + status + " Status\r\nContent-Length: 2\r\n\r\nok");
        checkRejected("HTTP/1.1 " + status + "\r\n\r\nok");
        checkRejected("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + status + " Status\r\n\r\nok");
    }
    for (const std::string status : { "200", "299", "404", "418", "500", "599" })
        CHECK(!errorOf("HTTP/1.1 " + status + " Status\r\nContent-Length: 2\r\n\r\nok"));
}

// Guards against lines that are passed on as an answer although they are no status line.
TEST_CASE("an answer without a valid status line is not accepted")
{
    for (const std::string line :
        { "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK", "HTTP/1.1  200 OK", "HTTP/1.1 2 0 OK",
            "HTTP/2.0 200 OK", "HTTP/1.1 20\x01 OK", "HTTP/1.1 200 O\x01K", "200 OK" })
        checkRejected(line + "\r\nContent-Length: 2\r\n\r\nok");
}

// Guards against a part of a body that counts as whole: the error of the write takes the place of the reset,
// which the next read reports as an end in order.
TEST_CASE("an answer without length that is reset while its request is written is not whole")
{
    for (const int pauseMs : { 0, 10, 50, 150 }) {
        CAPTURE(pauseMs);
        const auto reply = uploadTo([pauseMs](int fd) {
            sendText(fd, okHead + "\r\nid: 1\ndata: a\n\n");
            std::this_thread::sleep_for(milliseconds { pauseMs });
            resetConnection(fd);
        });
        CHECK(!reply);
        if (reply)
            continue;
        CHECK(reply.error().kind == failure_kind::incomplete);
        CHECK(reply.error().ran == verdict::may_have_run);
    }
}

// Guards against the same where the connection ends in order, with a part of the request unread.
TEST_CASE("an answer without length whose request is never read to its end is not whole")
{
    const auto reply = uploadTo([](int fd) {
        sendText(fd, okHead + "\r\nid: 1\ndata: a\n\n");
        ::shutdown(fd, SHUT_WR);
        std::this_thread::sleep_for(milliseconds { 100 });
    });
    REQUIRE(!reply);
    CHECK(reply.error().kind == failure_kind::incomplete);
}

// Guards against sound answers that are rejected because they begin, or end, before their request does.
TEST_CASE("an early answer is whole if its request is read to the end, or if it has a length")
{
    const auto unframed = uploadTo([](int fd) {
        sendText(fd, okHead + "\r\nok");
        ::shutdown(fd, SHUT_WR);
        std::this_thread::sleep_for(milliseconds { 50 });
        readToEnd(fd);
    });
    REQUIRE(unframed);
    CHECK(unframed.value().body == "ok");
    const auto withLength = uploadTo([](int fd) {
        sendText(fd, okHead + "Content-Length: 2\r\n\r\nok");
        std::this_thread::sleep_for(milliseconds { 50 });
        resetConnection(fd);
    });
    REQUIRE(withLength);
    CHECK(withLength.value().body == "ok");
}

// Guards against a folded line, which changes the value of the field before it or hides the framing of the
// body, so that the sizes of chunks are taken for a part of it.
TEST_CASE("an answer with a folded line in its head is not accepted")
{
    for (const std::string blank : { " ", "\t", "  " }) {
        checkRejected(
            okHead + "Content-Type: text/plain\r\n" + blank + "X-Name: v\r\nContent-Length: 2\r\n\r\nok");
        checkRejected(
            okHead + "X-Name: v\r\n" + blank + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
        checkRejected(okHead + "X-Name: v\r\n" + blank + "Content-Length: 2\r\n\r\nok");
        checkRejected(okHead + "Content-Length:\r\n" + blank + "2\r\n\r\nok");
        checkRejected(okHead + "Content-Length: 2\r\n" + blank + "\r\n\r\nok");
        checkRejected(okHead + blank + "X-Name: v\r\nContent-Length: 2\r\n\r\nok");
        checkRejected("HTTP/1.1 103 Early Hints\r\nLink: a\r\n" + blank + "b\r\n\r\n" + okHead
            + "Content-Length: 2\r\n\r\nok");
    }
}

// Guards against the same where the line arrives in pieces.
TEST_CASE("a folded line that arrives in pieces is not accepted")
{
    const std::string bytes = okHead + "X-Name: v\r\n Content-Length: 2\r\n\r\nok";
    for (std::size_t cut = okHead.size() - 2; cut < bytes.size(); ++cut) {
        CAPTURE(cut);
        const scripted_server server(inPieces({ bytes.substr(0, cut), bytes.substr(cut) }));
        client_call_options options;
        options.acceptUnframed = true;
        CHECK(!fetchFrom(server, options).reply);
    }
}

// Guards against fields whose names no receiver agrees on.
TEST_CASE("an answer with a blank or a control byte in the name of a field is not accepted")
{
    for (int control = 0; control <= ' '; ++control) {
        const std::string byte(1, static_cast<char>(control));
        for (const auto& name : { "X" + byte + "Name", "X-Name" + byte, byte + "X-Name" }) {
            checkRejected(okHead + name + ": v\r\nContent-Length: 2\r\n\r\nok");
            checkRejected(okHead + "Content-Length: 2\r\n" + name + ": v\r\n\r\nok");
        }
    }
    for (const std::string framing : { "Content-Length: 2", "Transfer-Encoding: chunked" }) {
        const auto colon = framing.find(':');
        for (const std::string byte : { " ", "\t", "\x01" }) {
            for (const std::size_t at : { std::size_t { 0 }, std::size_t { 7 }, colon }) {
                auto broken = framing;
                checkRejected(okHead + broken.insert(at, byte) + "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
            }
        }
    }
    for (const std::string name : { "", "X\x7f", "X\xff", "X(Name)" })
        checkRejected(okHead + name + ": v\r\nContent-Length: 2\r\n\r\nok");
}

// Guards against fields that come after the body and are taken for fields of the head if both arrive at once.
TEST_CASE("the fields of a trailer are not added to the head")
{
    const scripted_server server(
        inPieces({ okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Trailer: v\r\n\r\n" }));
    const auto reply = fetchFrom(server).reply;
    REQUIRE(reply);
    CHECK(reply.value().body == "ok");
    CHECK(findHeader(reply.value().headers, "X-Trailer").empty());
}
