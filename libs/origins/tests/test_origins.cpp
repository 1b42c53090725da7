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

namespace {

target_change listing(const std::string& id, const std::string& version, bool listed = true)
{
    auto target = std::make_shared<listed_target>();
    target->id = id;
    target->service = "llm";
    target->version = version;
    return listed ? target_change { nullptr, target } : target_change { target, nullptr };
}

version_evidence single(const std::string& version)
{
    return { version_evidence::kind::single, version };
}

const version_evidence several { version_evidence::kind::several, "" };

} // namespace

// Guards against a version that is taken for the only one although the last target of another has just left.
TEST_CASE("a version counts for as long as a stream of its last target may have lasted")
{
    version_history history;
    history.apply(std::vector { listing("t1", "v1") }, true, start);
    history.apply(std::vector { listing("t2", "v2") }, true, start + 20s);
    CHECK(history.evidence("llm", 10s, start + 21s) == several);
    history.apply(std::vector { listing("t1", "v1", false) }, true, start + 30s);
    CHECK(history.evidence("llm", 10s, start + 40s) == several);
    CHECK(history.evidence("llm", 10s, start + 40001ms) == single("v2"));
    CHECK(history.evidence("other", 10s, start + 41s) == version_evidence {});
}

// Guards against a process that has just started and takes what it sees for all that has been.
TEST_CASE("a process has evidence of a single version only after it has known all targets for long enough")
{
    version_history history;
    history.apply(std::vector { listing("t1", "v1") }, false, start);
    CHECK(history.evidence("llm", 10s, start + 20s) == version_evidence {});
    history.apply({}, true, start + 20s);
    CHECK(history.evidence("llm", 10s, start + 29s) == version_evidence {});
    CHECK(history.evidence("llm", 10s, start + 30s) == single("v1"));
    history.apply(std::vector { listing("t2", "v2") }, false, start + 31s);
    CHECK(history.evidence("llm", 10s, start + 31s) == several);
}

TEST_CASE("processes without evidence do not count, and different versions are several")
{
    CHECK(combine({}, single("v1")) == single("v1"));
    CHECK(combine(single("v1"), {}) == single("v1"));
    CHECK(combine(single("v1"), single("v1")) == single("v1"));
    CHECK(combine(single("v1"), single("v2")) == several);
    CHECK(combine(several, single("v1")) == several);
    CHECK(combine({}, {}) == version_evidence {});
}
