#include "platform_system.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

using namespace yuccachute;
using namespace yuccachute::testing;

namespace {

/// Within which a change of the targets is known everywhere.
constexpr milliseconds changeTime { 2000 };

std::string nested(std::string_view open, std::string_view close, int depth)
{
    std::string text;
    for (int i = 0; i < depth; ++i)
        text += open;
    text += "1";
    for (int i = 0; i < depth; ++i)
        text += close;
    return text;
}

/// A CBOR array in an array and so on.
std::string nestedCbor(int depth)
{
    return std::string(static_cast<std::size_t>(depth), '\x81') + '\x01';
}

/// A document with these fields, each of this value.
std::string fieldsOf(const std::vector<std::string>& names, const std::string& value)
{
    std::string text = "{\"x\":1";
    for (const auto& name : names)
        text += ",\"" + name + "\":" + value;
    return text + '}';
}

std::vector<std::string> oddValues()
{
    constexpr int deep = 60000;
    const std::vector<std::string> allFields { "vm", "role", "zone", "address", "incarnation", "leaving",
        "cores", "route", "tokens", "covered_to", "latest", "acquittals", "strikes", "changed_ms", "targets",
        "trials", "service", "version", "slots", "state", "cold_left_ms", "call_seq", "born" };
    const std::vector<std::string> someFields { "zone", "address" };
    std::vector<std::string> values { nested("[", "]", deep), nested("{\"a\":", "}", deep),
        std::string(deep, '['), nestedCbor(deep), std::string(deep, '\x81'), "", "null", "[]",
        std::string("\0\xff\xfe", 3), std::string(200000, 'v'), fieldsOf(someFields, nested("[", "]", deep)),
        fieldsOf(someFields, nested("{\"zone\":", "}", deep / 2)) };
    for (const auto& value :
        { std::string("1e400"), std::string(400, '9'), std::string("-1"), std::string("1e308"),
            std::string("null"), std::string("\"127.0.0.1:99999\""), std::string("\"127.0.0.1:0\""),
            std::string("\"::::\""), '"' + std::string(5000, 'x') + '"', std::string("\"a\\u0000\\n\\r\"") })
        values.push_back(fieldsOf(allFields, value));
    return values;
}

/// Prefixes of the store that the processes read.
const std::vector<std::string> prefixes { "servers/", "op/", "yuccachute/node/entry/",
    "yuccachute/node/batch/", "yuccachute/node/limit-share/", "yuccachute/node/service-version/",
    "yuccachute/node/service-version/model/", "yuccachute/node/", "yuccachute/open/", "yuccachute/suspect/",
    "yuccachute/suspect/0123456789abcdef" };

/// Checks that no process has ended.
void checkAlive(platform_system& system)
{
    for (auto* group : { &system.entries, &system.batches }) {
        for (auto& [name, one] : *group) {
            INFO(name);
            REQUIRE(one.running);
            CHECK(one.running->running());
        }
    }
}

} // namespace

// Guards against processes that end, or cease to follow a list, because one entry of the store is odd: nested
// very deeply, with numbers or ports out of range, or no document at all.
TEST_CASE("odd entries below any prefix neither end a process nor keep it from following the lists")
{
    platform_layout layout;
    layout.zones = { { "a", 1, 1, 2 }, { "b", 1, 1, 2 } };
    platform_system system(layout);
    const auto values = oddValues();
    int served = 0;
    for (const auto& prefix : prefixes) {
        INFO(prefix);
        for (std::size_t i = 0; i < values.size(); ++i)
            system.control("/put_raw?key=" + prefix + "odd" + std::to_string(i), values[i]);
        std::this_thread::sleep_for(milliseconds { 300 });
        checkAlive(system);
        const auto reply = system.plain("entry-a-1", "plain", "after-" + std::to_string(served++));
        REQUIRE(reply);
        CHECK(reply.value().status == 200);
    }
    // A target that joins gets requests within two seconds, and jobs are run.
    system.control("/server?number=0&do=restart");
    const auto joined = system.control("/server?number=0")["id"].get<std::string>();
    std::this_thread::sleep_for(changeTime);
    bool reached = false;
    for (int i = 0; i < 60 && !reached; ++i) {
        const auto id = "joined-" + std::to_string(i);
        (void)system.stream(i % 2 == 0 ? "entry-a-1" : "entry-b-1", "resumable", id, 2);
        const auto runs = system.runsOf(id);
        reached
            = std::any_of(runs.begin(), runs.end(), [&](const auto& run) { return run["server"] == joined; });
    }
    CHECK(reached);
    REQUIRE(system.submit("entry-b-1", "beside", 6, 5) == 202);
    CHECK(system.allResults("entry-a-1", "beside", 6).size() == 6);
    // Processes that start while the entries are there.
    system.entries.at("entry-b-1").running.reset();
    system.startEntry("entry-b-1");
    system.batches.at("batch-b-1").running.reset();
    system.startBatch("batch-b-1");
    system.waitReady("entry-b-1");
    const auto reply = system.plain("entry-b-1", "plain", "after-start");
    REQUIRE(reply);
    CHECK(reply.value().status == 200);
    std::this_thread::sleep_for(milliseconds { 1000 });
    checkAlive(system);
}
