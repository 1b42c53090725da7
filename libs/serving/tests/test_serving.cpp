#include "serving/serving.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

TEST_CASE("events pass whole, however the bytes come")
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
        CHECK(!splitter.disordered());
        CHECK(splitter.takeData() == std::vector<std::string> { "a", "b\nc", "d" });
    }
}

// Story: a target dies in the middle of an event; the stream goes on at another one, and the caller gets the
// half event and the whole one as one.
TEST_CASE("half of an event is kept back and dropped at a restart")
{
    event_splitter splitter;
    CHECK(splitter.feed("id: 7\ndata: x\n\nid: 8\nda") == "id: 7\ndata: x\n\n");
    CHECK(splitter.midEvent());
    splitter.restart();
    CHECK(splitter.feed("id: 8\ndata: y\n\n") == "id: 8\ndata: y\n\n");
    CHECK(!splitter.disordered());
    splitter.feed("id: 10\ndata: z\n\n");
    CHECK(splitter.disordered());
}

TEST_CASE("headers of one connection are not passed on")
{
    const auto kept = endToEndHeaders({ { "Host", "h" }, { "Connection", "close, X-Hop" }, { "x-hop", "1" },
        { "Keep-Alive", "timeout=2" }, { "Transfer-Encoding", "chunked" }, { "X-Kept", "2" } });
    REQUIRE(kept.size() == 2);
    CHECK(kept[0].first == "Host");
    CHECK(kept[1].second == "2");
}
