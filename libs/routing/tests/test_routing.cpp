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

TEST_CASE("the longest prefix of the host wins")
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

TEST_CASE("requests are shared by weight")
{
    route split;
    split.shares = { { "one", 90 }, { "two", 10 } };
    int second = 0;
    for (std::uint64_t number = 0; number < 1000; ++number)
        second += split.pickService(number) == "two" ? 1 : 0;
    CHECK(second == 100);
}

TEST_CASE("a target that is missing from a list that can be trusted is gone at once")
{
    whole_list directory;
    CHECK(directory.update({ target("a"), target("b"), target("c") }, at(0), at(0)));
    CHECK(!directory.update({ target("a"), target("b"), target("c") }, at(0), at(1)));
    CHECK(directory.update({ target("a", true), target("b"), target("c") }, at(0), at(2)));
    CHECK(directory.targets().at("a")->draining);
    CHECK(directory.update({ target("b"), target("c") }, at(0), at(3)));
    CHECK(directory.targets().size() == 2);
}

// Story: two servers are taken away while a third one is replaced; their entries go in the same moment. They
// were taken for lapsed entries, because many went together, and got requests for 2.2 s after they had left.
TEST_CASE("many targets that go together while the store answers are gone at once")
{
    whole_list directory;
    directory.update({ target("a"), target("b"), target("c"), target("d") }, at(0), at(0));
    CHECK(directory.update({ target("d") }, at(0), at(100)));
    CHECK(directory.targets().size() == 1);
}

// Story: the store is away for five seconds and the servers' leases run out. At its return the list is empty
// for a second; every caller is refused although all servers work.
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

TEST_CASE("a target does not stay for ever while the store is away")
{
    whole_list directory;
    directory.update({ target("a") }, at(0), at(0));
    CHECK(!directory.update({}, steady_time::max(), at(1000)));
    CHECK(!directory.expire(steady_time::max(), at(10999)));
    CHECK(directory.expire(steady_time::max(), at(11000)));
}

// Story: a server starts again under its id while the store is away. At its return the list names the new
// start; the former one was kept as a lapsed entry, and one server got the requests of two.
TEST_CASE("a former start of a target does not stay beside the latest, and late news of it is not believed")
{
    const auto startOf = [](const std::string& instance, std::int64_t started) {
        auto one = target(instance + '@' + std::to_string(started));
        one.instance = instance;
        one.started = started;
        return one;
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
