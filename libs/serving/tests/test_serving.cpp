#include "serving/serving.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

TEST_CASE("events are split the same way for every size of the received pieces")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\ndata: d\n\n";
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        event_splitter splitter;
        splitter.collectData();
        std::string passed;
        for (std::size_t begin = 0; begin < stream.size(); begin += size)
            passed += splitter.feed(std::string_view(stream).substr(begin, size));
        CHECK(passed == stream);
        CHECK(splitter.lastId() == 3);
        CHECK(splitter.events() == 3);
        CHECK(!splitter.midEvent());
        CHECK(!splitter.outOfOrder());
        CHECK(splitter.takeData() == std::vector<std::string> { "a", "b\nc", "d" });
    }
}

// A target terminates in the middle of an event and the stream resumes at another target. The caller received
// the partial event and the complete one joined together.
TEST_CASE("an incomplete event is held back and discarded by a restart")
{
    event_splitter splitter;
    CHECK(splitter.feed("id: 7\ndata: x\n\nid: 8\nda") == "id: 7\ndata: x\n\n");
    CHECK(splitter.midEvent());
    splitter.restart();
    CHECK(splitter.feed("id: 8\ndata: y\n\n") == "id: 8\ndata: y\n\n");
    CHECK(!splitter.outOfOrder());
    splitter.feed("id: 10\ndata: z\n\n");
    CHECK(splitter.outOfOrder());
}

// Guards against parts of another answer whose ids are not numbers or are missing.
TEST_CASE("events without a numeric id are out of order, and comments are no events")
{
    for (const std::string event :
        { "data: x\n\n", "id: 2x\ndata: x\n\n", "id:\ndata: x\n\n", "id: -2\n\n" }) {
        INFO(event);
        event_splitter splitter;
        splitter.feed("id: 1\ndata: a\n\n");
        CHECK(!splitter.outOfOrder());
        splitter.feed(event);
        CHECK(splitter.outOfOrder());
    }
    event_splitter splitter;
    CHECK(splitter.feed(": comment\n\n") == ": comment\n\n");
    CHECK(splitter.events() == 0);
    splitter.feed("id: 1\ndata: a\n\n: comment\n\nid: 2\ndata: b\n\n");
    CHECK(splitter.events() == 2);
    CHECK(splitter.lastId() == 2);
    CHECK(!splitter.outOfOrder());
}

// Guards against work that grows with the square of an event's size: the whole partial event was searched
// again with each piece.
// Lines of 2 MB take 20 ms, and took more than two minutes.
TEST_CASE("work on an event grows with its bytes")
{
    constexpr std::size_t pieces = 1u << 18;
    event_splitter splitter;
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < pieces; ++i)
        splitter.feed("data: x\n");
    CHECK(splitter.midEvent());
    CHECK(splitter.feed("\n").size() == pieces * 8 + 1);
    CHECK(splitter.events() == 1);
    CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds { 5 });
}

TEST_CASE("hop-by-hop headers are not forwarded")
{
    const auto forwarded
        = endToEndHeaders({ { "Host", "h" }, { "Connection", "close, X-Hop" }, { "x-hop", "1" },
            { "Keep-Alive", "timeout=2" }, { "Transfer-Encoding", "chunked" }, { "X-Kept", "2" } });
    REQUIRE(forwarded.size() == 2);
    CHECK(forwarded[0].first == "Host");
    CHECK(forwarded[1].second == "2");
}
