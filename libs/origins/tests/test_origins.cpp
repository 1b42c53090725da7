#include "origins/origins.h"

#include <catch2/catch.hpp>

using namespace yuccachute;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time {} + 1h;

stream_origin originOf(const std::string& id, const std::string& version = "v1")
{
    return { id, "llm", version };
}

} // namespace

TEST_CASE("an origin is known until its caller can no longer resume the stream")
{
    origin_table table;
    table.record(originOf("a"), start + 5s, start);
    CHECK(table.find("a", start + 4999ms) == originOf("a"));
    CHECK(!table.find("a", start + 5s));
    CHECK(!table.find("b", start));
    table.record(originOf("b"), start + 20s, start + 10s);
    CHECK(table.size() == 1);
}

// Guards against a late or repeated record that changes the version of a stream.
TEST_CASE("the first record of a stream decides, and later ones only extend it")
{
    origin_table table;
    table.record(originOf("a"), start + 5s, start);
    table.record(originOf("a", "v2"), start + 9s, start + 1s);
    CHECK(table.find("a", start + 8s) == originOf("a"));
    table.record(originOf("a"), start + 2s, start + 1s);
    CHECK(table.find("a", start + 8s) == originOf("a"));
}

// Guards against memory that grows with the number of streams.
TEST_CASE("a full table drops the record that ends first")
{
    origin_table table(100);
    for (int i = 0; i < 1000; ++i)
        table.record(originOf(std::to_string(i)), start + 5s + i * 1ms, start);
    CHECK(table.size() == 100);
    CHECK(!table.find("899", start));
    CHECK(table.find("900", start));
}
