#include "routing/routing.h"
#include "support/whole_list.h"

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

TEST_CASE("the route with the longest matching prefix is selected")
{
    routing_table table;
    table.routes
        = { { .name = "a", .host = "h", .prefix = "/x/" }, { .name = "b", .host = "h", .prefix = "/x/y/" },
              { .name = "c", .host = "other", .prefix = "/x/y/z/" } };
    CHECK(table.match("h", "/x/y/z/1")->name == "b");
    CHECK(table.match("h", "/x/yy")->name == "a");
    CHECK(table.match("h", "/x") == nullptr);
    CHECK(table.match("nobody", "/x/y/") == nullptr);
}

TEST_CASE("requests are split by weight")
{
    route split;
    split.shares = { { "one", 90 }, { "two", 10 } };
    int second = 0;
    for (std::uint64_t number = 0; number < 1000; ++number)
        second += split.pickService(number) == "two" ? 1 : 0;
    CHECK(second == 100);
}

// Guards against requests that are taken for late although the most patient route of their service accepts
// them, and against objectives of batch routes, which say nothing about live requests.
TEST_CASE("the longest objective of a service is that of its live routes")
{
    routing_table table;
    table.routes.resize(3);
    table.routes[0].objective = milliseconds { 300 };
    table.routes[0].shares = { { "llm", 1 }, { "small", 1 } };
    table.routes[1].objective = milliseconds { 700 };
    table.routes[1].shares = { { "llm", 1 } };
    table.routes[2].kind = request_kind::batch;
    table.routes[2].objective = milliseconds { 18000 };
    table.routes[2].shares = { { "llm", 1 }, { "batch", 1 } };
    const auto longest = longestObjectives(table);
    CHECK(longest.size() == 2);
    CHECK(longest.at("llm") == milliseconds { 700 });
    CHECK(longest.at("small") == milliseconds { 300 });
}

TEST_CASE("a target that is missing from a trusted list is removed at once")
{
    whole_list directory;
    CHECK(directory.update({ target("a"), target("b"), target("c") }, at(0), at(0)));
    CHECK(!directory.update({ target("a"), target("b"), target("c") }, at(0), at(1)));
    CHECK(directory.update({ target("a", true), target("b"), target("c") }, at(0), at(2)));
    CHECK(directory.targets().at("a")->draining);
    CHECK(directory.update({ target("b"), target("c") }, at(0), at(3)));
    CHECK(directory.targets().size() == 2);
}

// Guards against mistaking several removals at once for lapsed entries: two servers were removed while a
// third was replaced, and they received requests for another 2.2 s.
TEST_CASE("many targets that are removed at once are dropped immediately if the store is available")
{
    whole_list directory;
    directory.update({ target("a"), target("b"), target("c"), target("d") }, at(0), at(0));
    CHECK(directory.update({ target("d") }, at(0), at(100)));
    CHECK(directory.targets().size() == 1);
}

// Guards against refusing all requests after an outage of the store: the servers' leases expire during an
// outage of five seconds, and the list is empty for the first second after it, although all servers work.
TEST_CASE("targets that are missing after an outage are kept until lists can be trusted")
{
    whole_list directory;
    directory.update({ target("a"), target("b"), target("c"), target("d", true) }, at(0), at(0));
    CHECK(directory.update({}, at(2300), at(100)));
    CHECK(directory.targets().size() == 3);
    CHECK(!directory.targets().contains("d"));
    CHECK(!directory.update({ target("a") }, at(2300), at(1000)));
    CHECK(!directory.expire(at(2300), at(2299)));
    CHECK(directory.expire(at(2300), at(2300)));
    CHECK(directory.targets().size() == 1);
}

TEST_CASE("a missing target is removed eventually, even during an outage of the store")
{
    whole_list directory;
    directory.update({ target("a") }, at(0), at(0));
    CHECK(!directory.update({}, steady_time::max(), at(1000)));
    CHECK(!directory.expire(steady_time::max(), at(10999)));
    CHECK(directory.expire(steady_time::max(), at(11000)));
}

// Guards against sending one server the requests of two: a server restarts during an outage of the store, the
// list then contains its new start, and the earlier one is kept as a lapsed entry.
TEST_CASE(
    "an earlier start of a target is removed once a later one is listed, and outdated entries are ignored")
{
    const auto startOf = [](const std::string& instance, std::int64_t started) {
        auto listed = target(instance + '@' + std::to_string(started));
        listed.instance = instance;
        listed.started = started;
        return listed;
    };
    whole_list directory;
    directory.update({ startOf("a", 1), startOf("b", 1) }, at(2300), at(0));
    CHECK(directory.update({ startOf("a", 2) }, at(2300), at(100)));
    CHECK(!directory.targets().contains("a@1"));
    CHECK(directory.targets().contains("a@2"));
    CHECK(directory.targets().contains("b@1"));
    directory.update({ startOf("a", 1), startOf("a", 2) }, at(2300), at(200));
    CHECK(!directory.targets().contains("a@1"));
    CHECK(directory.targets().contains("a@2"));
}
