#include "routing/routing.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

const steady_time start {};

steady_time at(int ms)
{
    return start + milliseconds { ms };
}

listed_target target(std::string id, bool draining = false)
{
    return { std::move(id), "llm", "10.0.0.1:80", "z", 8, draining };
}

} // namespace

TEST_CASE("the longest prefix of the host wins")
{
    routing_table table;
    table.routes = { { .name = "a", .host = "h", .prefix = "/x/" }, { .name = "b", .host = "h", .prefix = "/x/y/" },
        { .name = "c", .host = "other", .prefix = "/x/y/z/" } };
    CHECK(table.match("h", "/x/y/z/1")->name == "b");
    CHECK(table.match("h", "/x/yy")->name == "a");
    CHECK(table.match("h", "/x") == nullptr);
    CHECK(table.match("nobody", "/x/y/") == nullptr);
}

TEST_CASE("requests are shared by weight")
{
    route split;
    split.shares = { { "one", 90 }, { "two", 10 } };
    int second = 0;
    for (std::uint64_t number = 0; number < 1000; ++number)
        second += split.pickService(number) == "two" ? 1 : 0;
    CHECK(second == 100);
}

TEST_CASE("a target that vanishes by itself is gone at once")
{
    target_directory directory;
    CHECK(directory.update({ target("a"), target("b"), target("c") }, false, at(0)));
    CHECK(!directory.update({ target("a"), target("b"), target("c") }, false, at(1)));
    CHECK(directory.update({ target("a", true), target("b"), target("c") }, false, at(2)));
    CHECK(directory.targets().at("a").draining);
    CHECK(directory.update({ target("b"), target("c") }, false, at(3)));
    CHECK(directory.targets().size() == 2);
}

// Story: the store is away for five seconds and the servers' leases run out. At its return the list is empty for
// a second; every caller is refused although all servers work.
TEST_CASE("targets that vanish together are kept until they are back or the grace period is over")
{
    target_directory directory;
    directory.update({ target("a"), target("b"), target("c"), target("d") }, false, at(0));
    CHECK(!directory.update({ target("d") }, false, at(100)));
    CHECK(directory.targets().size() == 4);
    CHECK(!directory.update({ target("a"), target("d") }, false, at(1000)));
    CHECK(!directory.expire(at(2000)));
    CHECK(directory.expire(at(2400)));
    CHECK(directory.targets().size() == 2);
}

TEST_CASE("after an outage a single missing target is kept for the grace period, a draining one is not")
{
    target_directory directory;
    directory.update({ target("a"), target("b", true), target("c") }, false, at(0));
    CHECK(directory.update({ target("c") }, true, at(100)));
    CHECK(directory.targets().contains("a"));
    CHECK(!directory.targets().contains("b"));
    // The next list, an ordinary one, still misses it: the grace period goes on from where it began.
    CHECK(!directory.update({ target("c") }, false, at(2000)));
    CHECK(directory.update({ target("c") }, false, at(2301)));
    CHECK(directory.targets().size() == 1);
}
