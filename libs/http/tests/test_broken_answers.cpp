#include "http/http.h"
#include "scripted_server.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace yuccachute;
using namespace yuccachute::testing;

namespace {

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
