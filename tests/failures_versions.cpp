#include "platform_system.h"
#include "version_change.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <thread>

using namespace yuccachute;
using namespace yuccachute::testing;

namespace {

/// Begins streams at one entry, leaves each in the middle, and resumes it at another entry.
resumed_streams resumeStreams(
    platform_system& system, const std::string& first, const std::string& second, const std::string& name)
{
    constexpr int number = 24;
    std::vector<received_stream> begun(number);
    std::vector<std::thread> callers;
    for (int i = 0; i < number; ++i) {
        callers.emplace_back([&, i] {
            begun[i] = readStream(portOf(system, first), resumablePath,
                platform_system::requestHeaders(name + "-" + std::to_string(i), streamEvents), 5 + i);
        });
    }
    for (auto& caller : callers)
        caller.join();
    callers.clear();
    std::vector<received_stream> rest(number);
    for (int i = 0; i < number; ++i) {
        callers.emplace_back([&, i] {
            const auto id = name + "-" + std::to_string(i);
            if (begun[i].lastEvent > 0)
                rest[i] = readStream(portOf(system, second), resumablePath,
                    resumingHeaders(id + "-again", streamEvents, id, begun[i].lastEvent));
        });
    }
    for (auto& caller : callers)
        caller.join();
    return countResumed(begun, rest);
}

} // namespace

// Guards against a stream that its caller resumes at a target of another software version.
TEST_CASE("a stream that is resumed at another entry goes on at the software version that began it")
{
    platform_system system(twoZones());
    upgradeHalf(system);
    for (const auto& [first, second] : std::vector<std::pair<std::string, std::string>> {
             { "entry-a-1", "entry-a-2" }, { "entry-a-2", "entry-b-1" }, { "entry-b-2", "entry-a-1" } }) {
        const auto streams = resumeStreams(system, first, second, "r-" + first);
        INFO(first << " to " << second);
        CHECK(streams.begun == 24);
        CHECK(streams.mixed == 0);
        CHECK(streams.wentOn == 24);
    }
}

// Guards against a failover within one response to a target of another software version.
TEST_CASE("a stream that its target breaks off goes on at the software version that began it")
{
    platform_system system(twoZones());
    upgradeHalf(system);
    for (unsigned number = 0; number < system.servers(); ++number)
        system.control("/server?number=" + std::to_string(number) + "&do=cut_each&answers=2");
    std::atomic<int> whole { 0 };
    std::atomic<int> mixed { 0 };
    std::vector<std::thread> callers;
    for (int i = 0; i < 32; ++i) {
        callers.emplace_back([&, i] {
            const auto entry = i % 2 == 0 ? "entry-a-1" : "entry-b-1";
            const auto read = readStream(portOf(system, entry), resumablePath,
                platform_system::requestHeaders("f-" + std::to_string(i), streamEvents));
            whole += read.whole && read.lastEvent == streamEvents ? 1 : 0;
            mixed += versionsIn(read.events).size() > 1 ? 1 : 0;
        });
    }
    for (auto& caller : callers)
        caller.join();
    CHECK(mixed == 0);
    CHECK(whole >= 16); // Two attempts each: a stream whose second run is broken off as well ends there.
}

// Guards against a resumed stream that mixes versions, or is refused, because the entry that began it is
// dead.
TEST_CASE("a stream goes on at its software version after its entry was killed")
{
    platform_system system(twoZones());
    upgradeHalf(system);
    std::vector<received_stream> begun(16);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < begun.size(); ++i) {
        callers.emplace_back([&, i] {
            begun[i] = readStream(portOf(system, "entry-a-1"), resumablePath,
                platform_system::requestHeaders("k-" + std::to_string(i), streamEvents));
        });
    }
    std::this_thread::sleep_for(milliseconds { 300 });
    system.entries.at("entry-a-1").running->signal(SIGKILL);
    for (auto& caller : callers)
        caller.join();
    int wentOn = 0;
    int mixed = 0;
    for (std::size_t i = 0; i < begun.size(); ++i) {
        REQUIRE(begun[i].lastEvent > 0);
        const auto id = "k-" + std::to_string(i);
        const auto rest = readStream(portOf(system, i % 2 == 0 ? "entry-a-2" : "entry-b-1"), resumablePath,
            resumingHeaders(id + "-again", streamEvents, id, begun[i].lastEvent));
        wentOn += rest.whole && rest.lastEvent == streamEvents ? 1 : 0;
        mixed += versionsIn(begun[i].events + rest.events).size() > 1 ? 1 : 0;
    }
    CHECK(mixed == 0);
    CHECK(wentOn == 16);
}

// Guards against a guess: no process knows where the stream began, while targets of two versions serve.
TEST_CASE("a stream of unknown origin is refused at once while several software versions serve")
{
    platform_system system(twoZones());
    upgradeHalf(system);
    const auto began = std::chrono::steady_clock::now();
    const auto refused = readStream(
        portOf(system, "entry-a-1"), resumablePath, resumingHeaders("u-1", streamEvents, "nobody-knows", 7));
    CHECK(refused.status == 503);
    CHECK(std::chrono::steady_clock::now() - began < milliseconds { 300 });
    CHECK(system.runsOf("u-1").empty());
}

// Guards against streams that are lost with their entries although all targets run one version.
TEST_CASE("a stream of unknown origin goes on while a single software version serves")
{
    platform_system system(twoZones());
    std::this_thread::sleep_for(milliseconds { 500 });
    const auto rest = readStream(
        portOf(system, "entry-b-1"), resumablePath, resumingHeaders("o-1", streamEvents, "nobody-knows", 7));
    CHECK(rest.status == 200);
    CHECK(rest.lastEvent == streamEvents);
}

// Guards against items whose text comes from two software versions, also across the death of their holder.
TEST_CASE("the text of an item comes from one software version")
{
    platform_system system(twoZones());
    upgradeHalf(system);
    for (unsigned number = 0; number < system.servers(); ++number)
        system.control("/server?number=" + std::to_string(number) + "&do=cut_each&answers=3");
    REQUIRE(system.submit("entry-a-1", "job", 40, 300) == 202);
    std::this_thread::sleep_for(milliseconds { 3000 });
    system.batches.at("batch-a-1").running->signal(SIGKILL);
    std::this_thread::sleep_for(milliseconds { 500 });
    system.startBatch("batch-a-1");
    const auto listed = system.allResults("entry-b-1", "job", 40);
    int mixed = 0;
    for (const auto& entry : listed) {
        CHECK(entry["state"] == "done");
        mixed += versionsIn(entry["text"].get<std::string>()).size() > 1 ? 1 : 0;
    }
    CHECK(mixed == 0);
}

// Guards against progress that is thrown away by a process that has just started and knows no targets yet.
TEST_CASE("items go on where they stopped after all holders are restarted, while one version serves")
{
    platform_system system(twoZones());
    for (int i = 0; i < 4; ++i)
        REQUIRE(system.submit("entry-a-1", "job" + std::to_string(i), 12, 900) == 202);
    std::this_thread::sleep_for(milliseconds { 5000 });
    for (auto& [name, process] : system.batches)
        process.running->signal(SIGKILL);
    for (const auto& [name, process] : system.batches)
        system.startBatch(name);
    std::this_thread::sleep_for(milliseconds { 8000 });
    for (const auto& [name, process] : system.batches)
        CHECK(system.logOf(name).find("item begins anew") == std::string::npos);
    int wentOn = 0;
    const auto all = system.control("/runs");
    for (const auto& run : all["runs"])
        wentOn += run["last"] != "" ? 1 : 0;
    CHECK(wentOn > 0);
}

// Guards against streams that go on at another software version because all entries, and with them the
// origins of the streams, are gone, and targets of a version left meanwhile.
TEST_CASE("no stream goes on at another software version after all entries were killed")
{
    for (const std::string faults : { "", "delay=150" }) {
        for (const auto change : { change_while_down::none, change_while_down::first_version_leaves,
                 change_while_down::new_version_leaves }) {
            const auto streams = resumeAfterKillOfAll(faults, change);
            INFO("faults " << faults << ", change " << static_cast<int>(change) << ": begun " << streams.begun
                           << ", went on " << streams.wentOn << ", refused " << streams.refused);
            CHECK(streams.begun >= 24);
            CHECK(streams.mixed == 0);
        }
    }
}
