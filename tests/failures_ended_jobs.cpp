#include "platform_system.h"

#include <catch2/catch.hpp>

#include <functional>
#include <thread>

using namespace yuccachute;
using namespace yuccachute::testing;
using nlohmann::json;

namespace {

/// Longest time from the acknowledgement of a job's end until none of its items reaches a target.
constexpr milliseconds cancelTime { 3000 };
constexpr int eventMs = 10;

/// Two zones of one entry, one batch process and one target of four slots each; the processes reach the store
/// through the fault proxy.
platform_layout twoSmallZones()
{
    platform_layout layout;
    layout.eventMs = eventMs;
    layout.proxied = true;
    layout.serversProxied = false;
    layout.zones = { { "a", 1, 1, 1 }, { "b", 1, 1, 1 } };
    return layout;
}

/// Takes all slots until it is destroyed, for the given time.
class live_load {
public:
    live_load(platform_system& system, milliseconds time)
    {
        constexpr int slots = 8;
        const auto events = static_cast<int>(time.count()) / eventMs;
        for (int i = 0; i < slots; ++i) {
            const auto entry = i % 2 == 0 ? "entry-a-1" : "entry-b-1";
            m_callers.emplace_back([&system, port = system.entries.at(entry).callers, events, i] {
                auto headers = platform_system::requestHeaders("live-" + std::to_string(i), events);
                for (auto& [name, value] : headers)
                    value = name == "Yuccachute-Deadline-Ms" ? "14000" : value;
                (void)system.call(port, "POST", "/resumable/x", headers, "prompt", milliseconds { 14000 });
            });
        }
    }
    ~live_load()
    {
        for (auto& caller : m_callers)
            caller.join();
    }
    live_load(const live_load&) = delete;
    live_load& operator=(const live_load&) = delete;

private:
    std::vector<std::thread> m_callers;
};

std::vector<std::string> namesOf(const std::string& prefix, int count)
{
    std::vector<std::string> names;
    for (int i = 0; i < count; ++i)
        names.push_back(prefix + "-" + std::to_string(i));
    return names;
}

void inParallel(const std::vector<std::string>& names, const std::function<void(const std::string&)>& act)
{
    std::vector<std::thread> threads;
    for (const auto& name : names)
        threads.emplace_back([&act, &name] { act(name); });
    for (auto& thread : threads)
        thread.join();
}

/// Ends a job through a batch process; the status.
unsigned endJob(platform_system& system, const std::string& batch, const std::string& job)
{
    const auto reply = system.call(system.batches.at(batch).inner, "DELETE", "/lots/" + job, {}, "");
    return reply ? reply.value().status : 0;
}

/// Ends half of the jobs through another process than their holder, and half as one does whose notice to the
/// holder is lost: only the store shows the end.
void endJobs(platform_system& system, const std::string& batch, const std::vector<std::string>& jobs)
{
    std::vector<std::string> noticed;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        if (i % 2 == 0)
            noticed.push_back(jobs[i]);
        else
            system.control("/remove?key=yuccachute/open/" + jobs[i]);
    }
    inParallel(noticed, [&](const auto& job) { CHECK(endJob(system, batch, job) == 200); });
}

/// Runs of items of jobs with this prefix that reached a target after a time.
std::vector<json> runsAfter(platform_system& system, const std::string& prefix, std::int64_t afterMs)
{
    std::vector<json> found;
    const auto all = system.control("/runs");
    for (const auto& run : all["runs"]) {
        if (run["id"].get<std::string>().starts_with(prefix + "-") && run["reached_ms"] > afterMs)
            found.push_back(run);
    }
    return found;
}

} // namespace

// Guards against items of ended jobs that reach targets later than promised: their holder learns of the end
// from the store, and its open connections to the store have gone silent.
TEST_CASE("no item of an ended job reaches a target late if its holder's connections to the store are silent")
{
    constexpr int itemsPerJob = 40;
    constexpr milliseconds untilSlotsAreFree { 6000 };
    const auto jobs = namesOf("ended", 12);
    platform_system system(twoSmallZones());
    std::int64_t endedMs = 0;
    {
        const live_load live(system, untilSlotsAreFree);
        std::this_thread::sleep_for(untilSlotsAreFree - cancelTime - milliseconds { 700 });
        // Slow and at the same time, so that the holder has an idle connection for each afterwards.
        system.control("/store?delay_ms=200");
        inParallel(
            jobs, [&](const auto& job) { CHECK(system.submit("entry-a-1", job, itemsPerJob, 5) == 202); });
        system.control("/store");
        REQUIRE(runsAfter(system, "ended", 0).empty());
        endJobs(system, "batch-b-1", jobs);
        endedMs = steadyMs();
        REQUIRE(system.silenceOpen("store-batch-a-1", "/kv") > 0);
    }
    std::this_thread::sleep_for(milliseconds { 2500 });
    for (const auto& run : runsAfter(system, "ended", endedMs + cancelTime.count())) {
        INFO(run.dump() << " ended at " << endedMs);
        CHECK(false);
    }
}

// Guards against items of ended jobs that reach targets because one listing of the open jobs has failed: this
// does not show that nobody can end jobs, since the store answers all other calls.
TEST_CASE("no item of an ended job reaches a target late while the open jobs cannot be listed")
{
    constexpr milliseconds untilSlotsAreFree { 7000 };
    const auto jobs = namesOf("unlisted", 6);
    platform_system system(twoSmallZones());
    std::int64_t endedMs = 0;
    {
        const live_load live(system, untilSlotsAreFree);
        std::this_thread::sleep_for(milliseconds { 1000 });
        for (const auto& job : jobs)
            REQUIRE(system.submit("entry-a-1", job, 10, 5) == 202);
        REQUIRE(runsAfter(system, "unlisted", 0).empty());
        endJobs(system, "batch-b-1", jobs);
        endedMs = steadyMs();
        system.control("/store?silent=yuccachute/open/");
    }
    std::this_thread::sleep_for(milliseconds { 2000 });
    for (const auto& run : runsAfter(system, "unlisted", endedMs + cancelTime.count())) {
        INFO(run.dump() << " ended at " << endedMs);
        CHECK(false);
    }
    system.control("/store");
}

// Guards against items of ended jobs that go on to run until their holder reads the end from the store.
TEST_CASE("a job that ends at another process than its holder stops at once")
{
    constexpr milliseconds noticeTime { 500 };
    constexpr milliseconds untilSlotsAreFree { 3000 };
    platform_system system(twoSmallZones());
    std::int64_t endedMs = 0;
    {
        const live_load live(system, untilSlotsAreFree);
        std::this_thread::sleep_for(milliseconds { 1000 });
        REQUIRE(system.submit("entry-a-1", "stopped", 40, 10) == 202);
        std::this_thread::sleep_for(milliseconds { 600 });
        CHECK(endJob(system, "batch-b-1", "stopped") == 200);
        endedMs = steadyMs();
        system.control("/store?silent=yuccachute/open/");
    }
    std::this_thread::sleep_for(milliseconds { 500 });
    CHECK(runsAfter(system, "stopped", endedMs + noticeTime.count()).empty());
    system.control("/store");
}

// Guards against a job that is lost because its holder was told of an end that did not happen.
TEST_CASE("a holder that is told of an end that the store does not show goes on with the job")
{
    platform_system system(twoSmallZones());
    REQUIRE(system.submit("entry-a-1", "kept", 100, 50) == 202);
    std::this_thread::sleep_for(milliseconds { 300 });
    const auto reply = system.call(
        system.batches.at("batch-a-1").inner, "DELETE", "/lots/kept", { { "X-Job-Ended", "1" } }, "");
    REQUIRE(reply);
    CHECK(reply.value().status == 200);
    for (const auto& listed : system.allResults("entry-b-1", "kept", 100))
        CHECK(listed["state"] == "done");
}

// Guards against a failure that cannot be traced: the logs do not show what was known of a job when its items
// were sent.
TEST_CASE("the log shows what was known of a job when an item of it was sent")
{
    platform_system system(twoSmallZones());
    REQUIRE(system.submit("entry-a-1", "logged", 4, 5) == 202);
    (void)system.allResults("entry-a-1", "logged", 4);
    REQUIRE(system.submit("entry-a-1", "longer", 8, 100) == 202);
    std::this_thread::sleep_for(milliseconds { 2500 });
    const auto log = system.logOf("batch-a-1");
    for (const auto* field : { "revision", "item sent", "open_age_ms", "store_silent_ms", "unconfirmed",
             "open jobs listed", "reused_connection", "repeated_calls" }) {
        INFO(field);
        CHECK(log.find('"' + std::string(field) + '"') != std::string::npos);
    }
    CHECK(log.find(R"("revision":"")") == std::string::npos);
    system.route("store-batch-a-1", "mode=cut");
    std::this_thread::sleep_for(milliseconds { 4000 });
    const auto cutLog = system.logOf("batch-a-1");
    for (const auto* field : { "open jobs could not be listed", "listing_age_ms", "kind" }) {
        INFO(field);
        CHECK(cutLog.find('"' + std::string(field) + '"') != std::string::npos);
    }
}

// Guards against a bulk process that stands still while the store answers nobody.
TEST_CASE("items go on to run while the store answers nobody")
{
    constexpr milliseconds outage { 6000 };
    platform_system system(twoSmallZones());
    REQUIRE(system.submit("entry-a-1", "outage", 100, 100) == 202);
    std::this_thread::sleep_for(milliseconds { 500 });
    for (const auto* fault : { "/store?down=1", "/store?busy=1" }) {
        system.control(fault);
        const auto downMs = steadyMs();
        std::this_thread::sleep_for(outage);
        const auto runs = runsAfter(system, "outage", downMs + outage.count() - 1500).size();
        INFO(fault << ' ' << runs);
        CHECK(runs > 2);
        system.control("/store");
        std::this_thread::sleep_for(milliseconds { 1500 });
    }
    for (const auto& listed : system.allResults("entry-b-1", "outage", 100))
        CHECK(listed["state"] == "done");
}

// Guards against a bulk process that stands still while it cannot reach the store.
TEST_CASE("items go on to run while their holder cannot reach the store")
{
    constexpr milliseconds cutTime { 7000 };
    platform_system system(twoSmallZones());
    REQUIRE(system.submit("entry-a-1", "cut", 60, 100) == 202);
    std::this_thread::sleep_for(milliseconds { 500 });
    for (const auto* mode : { "mode=silent", "mode=cut" }) {
        system.route("store-batch-a-1", mode);
        const auto cutMs = steadyMs();
        std::this_thread::sleep_for(cutTime / 2);
        const auto before = runsAfter(system, "cut", cutMs + cutTime.count() / 2 - 1000).size();
        INFO(mode << " " << before);
        CHECK(before > 2);
        system.route("store-batch-a-1", "mode=pass");
    }
    for (const auto& listed : system.allResults("entry-b-1", "cut", 60))
        CHECK(listed["state"] == "done");
}
