#include "serving/serving.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

using completeness = run_evidence::completeness;

run_evidence runAfter(std::optional<std::uint64_t> lastEvent, bool framed)
{
    run_evidence run(lastEvent);
    run.receiveHead(
        { 200, framed ? http_headers { { "Transfer-Encoding", "chunked" } } : http_headers {}, "" });
    return run;
}

} // namespace

// Guards against events of another run, or of another answer, that are joined to those of this one.
TEST_CASE("the events of a run are those after its last event, in order and without a gap")
{
    auto first = runAfter(std::nullopt, true);
    CHECK(!first.addEvents(1, 2));
    CHECK(!first.addEvents(1, std::nullopt));
    CHECK(!first.addEvents(1, 0));
    CHECK(first.addEvents(1, 1));
    CHECK(first.addEvents(3, 4));
    CHECK(!first.addEvents(1, 4));
    CHECK(!first.addEvents(1, 6));
    CHECK(first.firstEvent() == 1);
    CHECK(first.lastEvent() == 4);
    auto resumed = runAfter(4, true);
    CHECK(!resumed.addEvents(1, 1));
    CHECK(resumed.addEvents(0, std::nullopt));
    CHECK(resumed.firstEvent() == 0);
    CHECK(resumed.addEvents(2, 6));
    CHECK(resumed.firstEvent() == 5);
    CHECK(resumed.lastEvent() == 6);
}

TEST_CASE("the end of a framed response is known from the response")
{
    auto run = runAfter(std::nullopt, true);
    CHECK(run.addEvents(1, 1));
    CHECK(run.endStream(true) == completeness::cut);
    CHECK(run.endStream(false) == completeness::whole);
    CHECK(run.end() == response_end::framed);
    CHECK(runAfter(std::nullopt, true).endStream(false) == completeness::whole);
    CHECK(runAfter(std::nullopt, true).endPlain() == completeness::whole);
}

// Guards against the end of a connection that is taken for the end of a response.
TEST_CASE("a response that ended with its connection is whole only if the start that sent it runs")
{
    for (const bool running : { true, false }) {
        auto run = runAfter(std::nullopt, false);
        CHECK(run.addEvents(1, 1));
        REQUIRE(run.endStream(false) == completeness::unconfirmed);
        CHECK(run.end() == response_end::closed);
        CHECK(run.confirm(running) == (running ? completeness::whole : completeness::cut));
        CHECK(run.end() == (running ? response_end::confirmed : response_end::refuted));
        auto plain = runAfter(std::nullopt, false);
        REQUIRE(plain.endPlain() == completeness::unconfirmed);
        CHECK(plain.confirm(running) == (running ? completeness::whole : completeness::cut));
    }
    auto partial = runAfter(std::nullopt, false);
    CHECK(partial.addEvents(1, 1));
    CHECK(partial.endStream(true) == completeness::cut);
}

// Guards against a target that ends before its first event and whose closed connection looks like the end of
// the response.
TEST_CASE("without framing and without events only a run that continues a stream can be whole")
{
    CHECK(runAfter(std::nullopt, false).endStream(false) == completeness::cut);
    CHECK(runAfter(5, true).endStream(false) == completeness::whole);
    CHECK(runAfter(5, false).endStream(false) == completeness::unconfirmed);
    CHECK(runAfter(0, false).endStream(false) == completeness::unconfirmed);
}

// Guards against a response that ends with its connection and counts as framed for a header that is no
// framing.
TEST_CASE("a transfer coding other than chunked does not tell where a response ends")
{
    const auto framed = [](unsigned status, http_headers headers) {
        run_evidence run;
        run.receiveHead({ status, std::move(headers), "" });
        return run.framed();
    };
    CHECK(framed(200, { { "Transfer-Encoding", "chunked" } }));
    CHECK(framed(200, { { "Transfer-Encoding", "gzip, Chunked " } }));
    CHECK_FALSE(framed(200, { { "Transfer-Encoding", "identity" } }));
    CHECK_FALSE(framed(200, { { "Transfer-Encoding", "chunked, gzip" } }));
    CHECK_FALSE(framed(200, { { "Transfer-Encoding", "gzip" }, { "Content-Length", "5" } }));
    CHECK(framed(200, { { "Content-Length", "0" } }));
    CHECK(framed(204, {}));
    CHECK_FALSE(framed(200, {}));
}
