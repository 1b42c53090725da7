#include "platform_system.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <set>
#include <thread>

using namespace yuccachute;
using namespace yuccachute::testing;
using nlohmann::json;

namespace {

const std::string firstService = "llm";
const std::string otherService = "other";
const std::string serviceWithoutTargets = "empty";
/// Longest time from the acknowledgement of a configuration until it is in force.
constexpr milliseconds configurationDelay { 2000 };

struct batch_route {
    std::string prefix;
    std::string service = firstService;
    unsigned maxAttempts = 3;
    int expirySeconds = 60;
};

std::string configuration(const std::vector<batch_route>& routes)
{
    auto list = json::array();
    for (const auto& route : routes)
        list.push_back(
            { { "name", "r" + route.prefix }, { "host", "test.example" }, { "prefix", route.prefix },
                { "kind", "batch" }, { "timeout_ms", 15000 }, { "target_latency_ms", 500 }, { "priority", 2 },
                { "service", route.service }, { "max_attempts", route.maxAttempts },
                { "result_due_ms", 18000 }, { "expiry_s", route.expirySeconds } });
    auto services = json::array();
    for (const auto& name : { firstService, otherService, serviceWithoutTargets })
        services.push_back({ { "name", name }, { "engine", { { "slots", 4 } } } });
    return json {
        { "routes", list }, { "services", services },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 100000 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } }
    }.dump();
}

/// Writes a configuration; returns when it was acknowledged, by the steady clock.
std::int64_t configure(platform_system& system, const std::vector<batch_route>& routes)
{
    system.control("/config", configuration(routes));
    return steadyMs();
}

void configureAndWait(platform_system& system, const std::vector<batch_route>& routes)
{
    configure(system, routes);
    std::this_thread::sleep_for(configurationDelay);
}

/// The second target of each zone serves the other service.
void startOtherService(platform_system& system)
{
    for (const unsigned number : { 1, 3 }) {
        const auto target = "/server?number=" + std::to_string(number);
        system.control(target + "&do=unlist");
        system.control(target + "&do=crash");
        system.control(target + "&do=start&service=" + otherService);
    }
}

std::map<std::string, json> byItem(const json& results)
{
    std::map<std::string, json> found;
    for (const auto& one : results)
        found[one["id"]] = one;
    return found;
}

std::map<std::string, json> listedItems(platform_system& system, const std::string& job)
{
    const auto page = system.results("entry-a-1", job);
    return page ? byItem((*page)["results"]) : std::map<std::string, json>();
}

void waitForItem(platform_system& system, const std::string& job, const std::string& item)
{
    waitUntil(item + " is listed", [&] { return listedItems(system, job).contains(item); });
}

/// Whether all events of a text come from one service.
bool fromOneService(const std::string& text)
{
    const auto marked = text.find('#') != std::string::npos;
    for (std::size_t at = 0; at <= text.size();) {
        const auto end = std::min(text.find('\n', at), text.size());
        if ((text.substr(at, end - at).find('#') != std::string::npos) != marked)
            return false;
        at = end + 1;
    }
    return true;
}

std::size_t eventsIn(const std::string& text)
{
    return text.empty() ? 0 : static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n')) + 1;
}

} // namespace

// Guards against items that run at the service of another item of their job.
TEST_CASE("each item of a job runs at the service of its own route")
{
    platform_system system;
    startOtherService(system);
    configureAndWait(system, { { "/jobs/" }, { "/jobs/split/", otherService }, { "/tasks/", otherService } });
    const std::vector<std::string> paths { "/jobs/split/1", "/jobs/2", "/tasks/3" };
    const std::vector<std::string> services { otherService, firstService, otherService };
    for (std::size_t first = 0; first < paths.size(); ++first) {
        const auto job = "own-" + std::to_string(first);
        std::vector<std::string> itemPaths;
        for (std::size_t i = 0; i < 9; ++i)
            itemPaths.push_back(paths[(first + i) % paths.size()]);
        REQUIRE(system.submit("entry-a-1", "/jobs/1", job, itemPaths, 10) == 202);
        for (const auto& [item, listed] : byItem(system.allResults("entry-b-1", job, itemPaths.size())))
            CHECK(listed["state"] == "done");
        for (std::size_t i = 0; i < itemPaths.size(); ++i) {
            for (const auto& run : system.runsOf(job + "-" + std::to_string(i))) {
                INFO(run.dump());
                CHECK(run["service"] == services[(first + i) % paths.size()]);
            }
        }
    }
}

// Guards against items that go on running at the service that their route led to before it moved, also if
// their job is taken over meanwhile.
TEST_CASE("items that have not run yet follow their route to another service")
{
    platform_system system;
    startOtherService(system);
    configureAndWait(system, { { "/jobs/" } });
    std::vector<std::string> paths;
    for (int i = 0; i < 96; ++i)
        paths.push_back(i % 2 == 0 ? "/jobs/split/x" : "/jobs/x");
    for (const std::string job : { "move-1", "move-2" })
        REQUIRE(system.submit("entry-a-1", "/jobs/1", job, paths, 100) == 202);
    std::this_thread::sleep_for(milliseconds { 300 });
    const auto moved = configure(system, { { "/jobs/" }, { "/jobs/split/", otherService } });
    system.batches.at("batch-a-1").running->signal(SIGKILL);
    for (const std::string job : { "move-1", "move-2" }) {
        for (const auto& [item, listed] : byItem(system.allResults("entry-b-1", job, paths.size()))) {
            INFO(item);
            CHECK(listed["state"] == "done");
            CHECK(eventsIn(listed["text"]) == 100);
            CHECK(fromOneService(listed["text"]));
        }
    }
    const auto all = system.control("/runs");
    std::size_t late = 0;
    for (const auto& run : all["runs"]) {
        const bool split = run["path"] == "/jobs/split/x";
        const bool applied = run["reached_ms"].get<std::int64_t>() >= moved + configurationDelay.count();
        late += applied ? 1 : 0;
        INFO(run.dump());
        if (!split)
            CHECK(run["service"] == firstService);
        else if (applied)
            CHECK(run["service"] == otherService);
    }
    CHECK(late > 20);
}

// Guards against an item whose text comes from two services after its route has moved.
TEST_CASE("an item whose route has moved begins anew at the new service")
{
    platform_system system(10, 8);
    startOtherService(system);
    configureAndWait(system, { { "/jobs/" } });
    REQUIRE(
        system.submit("entry-a-1", "/jobs/1", "anew", std::vector<std::string>(8, "/jobs/x"), 400) == 202);
    std::this_thread::sleep_for(milliseconds { 500 });
    configureAndWait(system, { { "/jobs/", otherService } });
    for (const unsigned number : { 0, 2 })
        system.control("/server?number=" + std::to_string(number) + "&do=crash");
    for (const auto& [item, listed] : byItem(system.allResults("entry-b-1", "anew", 8))) {
        INFO(item);
        CHECK(listed["state"] == "done");
        CHECK(eventsIn(listed["text"]) == 400);
        CHECK(fromOneService(listed["text"]));
    }
}

// Guards against items that are given up after the attempts that another item's route allows.
TEST_CASE("an item is given up after the attempts of its own route")
{
    platform_system system;
    configureAndWait(system, { { "/jobs/", firstService, 5 }, { "/tasks/", firstService, 2 } });
    system.control("/fail?paths=bad&status=500");
    REQUIRE(system.submit("entry-a-1", "/jobs/1", "tried-1", { "/tasks/bad", "/jobs/bad" }, 10) == 202);
    REQUIRE(system.submit("entry-a-1", "/tasks/1", "tried-2", { "/tasks/bad", "/jobs/bad" }, 10) == 202);
    for (const std::string job : { "tried-1", "tried-2" }) {
        for (const auto& [item, listed] : byItem(system.allResults("entry-b-1", job, 2)))
            CHECK(listed["state"] == "dead_letter");
    }
    // The attempts of the job's route are at least made as well, within three times those of the item's own.
    CHECK(system.runsOf("tried-1-0").size() == 5);
    CHECK(system.runsOf("tried-1-1").size() == 5);
    CHECK(system.runsOf("tried-2-0").size() == 2);
    CHECK(system.runsOf("tried-2-1").size() == 5);
}

// Guards against items that are given up when another item of their job expires.
TEST_CASE("an item expires by its own route")
{
    platform_system system;
    const batch_route shortLived { "/tasks/", serviceWithoutTargets, 3, 2 };
    configureAndWait(system, { { "/jobs/", serviceWithoutTargets }, shortLived });
    REQUIRE(system.submit("entry-a-1", "/tasks/1", "old", { "/tasks/1", "/jobs/2" }, 10) == 202);
    waitForItem(system, "old", "old-0");
    std::this_thread::sleep_for(milliseconds { 1500 });
    CHECK(listedItems(system, "old")["old-0"]["state"] == "dead_letter");
    CHECK(!listedItems(system, "old").contains("old-1"));
    configureAndWait(system, { { "/jobs/" }, shortLived });
    CHECK(byItem(system.allResults("entry-b-1", "old", 2))["old-1"]["state"] == "done");
}

// Guards against items that are given up because another item's route has ended, and against items that go
// on running after the end of their own.
TEST_CASE("only items whose own route has ended are given up")
{
    platform_system system;
    const batch_route jobs { "/jobs/", serviceWithoutTargets };
    const batch_route tasks { "/tasks/", serviceWithoutTargets };
    configureAndWait(system, { jobs, tasks });
    const std::vector<std::string> paths { "/jobs/1", "/tasks/2" };
    REQUIRE(system.submit("entry-a-1", "/jobs/1", "first", paths, 10) == 202);
    REQUIRE(system.submit("entry-a-1", "/tasks/1", "second", { paths[1], paths[0] }, 10) == 202);
    configureAndWait(system, { tasks });
    waitForItem(system, "first", "first-0");
    waitForItem(system, "second", "second-1");
    CHECK(listedItems(system, "first").size() == 1);
    CHECK(listedItems(system, "second").size() == 1);
    configureAndWait(system, { { "/tasks/" } });
    for (const std::string job : { "first", "second" }) {
        for (const auto& [item, listed] : byItem(system.allResults("entry-b-1", job, 2))) {
            INFO(item);
            const bool ended = item == "first-0" || item == "second-1";
            CHECK(listed["state"] == (ended ? "dead_letter" : "done"));
            CHECK(system.runsOf(item).size() == (ended ? 0 : 1));
        }
    }
    REQUIRE(system.submit("entry-a-1", "/tasks/1", "third", std::vector<std::string>(2, "/tasks/1"), 2000)
        == 202);
    configureAndWait(system, { { "/other/" } });
    system.control("/server?number=0&do=crash");
    system.control("/server?number=1&do=crash");
    system.control("/server?number=2&do=crash");
    system.control("/server?number=3&do=crash");
    for (const auto& [item, listed] : byItem(system.allResults("entry-b-1", "third", 2)))
        CHECK(listed["state"] == "dead_letter");
}

// Guards against items that are given up by default limits because their job was taken over by a process that
// did not know a configuration yet.
TEST_CASE("a job that is taken over before a configuration is known keeps the limits of its route")
{
    platform_layout layout;
    layout.zones = { { "a", 1, 1, 2 } };
    platform_system system(layout);
    configureAndWait(system, { { "/jobs/", firstService, 3 } });
    system.control("/fail?paths=bad&status=500");
    system.control("/server?number=0&do=dark&on=1");
    system.control("/server?number=1&do=dark&on=1");
    REQUIRE(system.submit("entry-a-1", "/jobs/1", "early", { "/jobs/bad", "/jobs/bad" }, 10) == 202);
    auto& batch = system.batches.at("batch-a-1");
    batch.running->signal(SIGKILL);
    batch.running.reset();
    // The new process gets a configuration from neither the store nor an entry.
    system.control("/store?silent=op/");
    auto& entry = *system.entries.at("entry-a-1").running;
    entry.signal(SIGSTOP);
    system.startBatch("batch-a-1");
    waitUntil("the job is taken over", [&] {
        return system.logOf("batch-a-1").find("\"event\":\"job taken\",\"job\":\"early\"")
            != std::string::npos;
    });
    const auto log = system.logOf("batch-a-1");
    CHECK(log.find("configuration in force", log.rfind("\"event\":\"started\"")) == std::string::npos);
    entry.signal(SIGCONT);
    system.control("/store");
    system.control("/server?number=0&do=dark");
    system.control("/server?number=1&do=dark");
    for (const auto& [item, listed] : byItem(system.allResults("entry-a-1", "early", 2))) {
        CHECK(listed["state"] == "dead_letter");
        std::size_t failures = 0;
        for (const auto& run : system.runsOf(item))
            failures += run["status"] == 500 ? 1 : 0;
        CHECK(failures == 3);
    }
}

// Guards against items that are given up because their batch process has not received the configuration by
// which their job was accepted: its connection for changes has gone silent.
TEST_CASE("items on a route that the batch process does not know yet are not given up")
{
    constexpr int changes = 4;
    constexpr int jobsPerChange = 12;
    platform_layout layout;
    layout.proxied = true;
    layout.serversProxied = false;
    platform_system system(layout);
    std::vector<batch_route> routes { { "/jobs/" } };
    configureAndWait(system, routes);
    REQUIRE(system.silenceOpen("store-batch-a-1", "/kv-watch?prefix=op") == 1);
    std::vector<std::string> accepted;
    for (int change = 1; change <= changes; ++change) {
        const auto prefix = "/new-" + std::to_string(change) + "/";
        routes.push_back({ prefix });
        configure(system, routes);
        for (int i = 0; i < jobsPerChange; ++i) {
            std::this_thread::sleep_for(milliseconds { 25 });
            const auto job = "unheard-" + std::to_string(change) + "-" + std::to_string(i);
            const auto status = system.submit("entry-a-1", prefix + "1", job, { prefix + "1" }, 10);
            INFO(job << " " << status);
            // The entry itself may not have received the configuration yet.
            CHECK((status == 202 || status == 404 || status == 503));
            if (status == 202)
                accepted.push_back(job);
        }
        std::this_thread::sleep_for(milliseconds { 400 });
    }
    CHECK(accepted.size() > changes * jobsPerChange / 2);
    for (const auto& job : accepted) {
        INFO(job);
        CHECK(system.allResults("entry-b-1", job, 1)[0]["state"] == "done");
    }
}

// Guards against items that are given up, or expire, by a configuration older than the one by which their job
// was accepted, because the process that takes the job over has not received that one.
TEST_CASE("a job that is taken over by a process with an older configuration waits for the newer one")
{
    platform_layout layout;
    layout.proxied = true;
    layout.serversProxied = false;
    layout.zones = { { "a", 1, 2, 2 } };
    platform_system system(layout);
    const batch_route shortLived { "/jobs/", serviceWithoutTargets, 3, 2 };
    configureAndWait(system, { shortLived });
    auto& frozen = *system.batches.at("batch-a-2").running;
    frozen.signal(SIGSTOP);
    // The configuration is not delivered on connections that were open.
    system.route("store-batch-a-2", "mode=reset");
    system.route("store-batch-a-2", "mode=pass");
    configureAndWait(system, { { "/jobs/", serviceWithoutTargets }, { "/new/", serviceWithoutTargets } });
    waitUntil("the job is accepted", [&] {
        return system.submit("entry-a-1", "/new/1", "older", { "/new/1", "/jobs/2" }, 10) == 202;
    });
    system.control("/store?silent=op/");
    auto& entry = *system.entries.at("entry-a-1").running;
    entry.signal(SIGSTOP);
    system.batches.at("batch-a-1").running->signal(SIGKILL);
    frozen.signal(SIGCONT);
    waitUntil("the job is taken over", [&] {
        return system.logOf("batch-a-2").find("\"event\":\"job taken\",\"job\":\"older\"")
            != std::string::npos;
    });
    std::this_thread::sleep_for(milliseconds { 2500 });
    CHECK(system.logOf("batch-a-2").find("\"event\":\"configuration in force\",\"version\":5")
        == std::string::npos);
    entry.signal(SIGCONT);
    system.control("/store");
    configure(system, { { "/jobs/" }, { "/new/" } });
    for (const auto& [item, listed] : byItem(system.allResults("entry-a-1", "older", 2))) {
        INFO(item);
        CHECK(listed["state"] == "done");
    }
}
