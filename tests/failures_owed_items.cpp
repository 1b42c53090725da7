#include "platform_system.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace yuccachute;
using namespace yuccachute::testing;
using nlohmann::json;

namespace {

constexpr int jobs = 4;
constexpr int itemsOfJob = 20;
constexpr int events = 5;
/// From the end of a server to its next start.
constexpr std::int64_t backMs = 2000;
/// For which an item may wait at most while servers have room: "within seconds".
constexpr std::int64_t mostWaitMs = 5000;
/// By then another process has taken over the jobs of one that was killed.
constexpr std::int64_t takeoverMs = 8000;
/// Of live requests whose prompts share a part that ends servers.
constexpr std::size_t endsThatProve = 5;
constexpr std::int64_t contactMs = 3000;
constexpr std::size_t mostLateSends = 3;
/// The body of the first item of each job, and of no other request.
const std::string firstBody = "abc100";

platform_layout sixServers(unsigned batches)
{
    platform_layout layout;
    layout.zones = { { "a", 2, 1, 3 }, { "b", 2, batches - 1, 3 } };
    return layout;
}

std::string jobId(int job)
{
    return "job" + std::to_string(job);
}

/// `prompt` is that of each item, without its last part.
void submitJobs(platform_system& system, const std::string& prompt)
{
    for (int job = 0; job < jobs; ++job) {
        auto body = json::parse(platform_system::submission(jobId(job), itemsOfJob, events));
        for (int i = 0; i < itemsOfJob; ++i)
            body["items"][static_cast<std::size_t>(i)]["headers"]["Yuccachute-Prompt-Prefix"]
                = prompt + ":50," + std::to_string(job) + std::to_string(i) + ":20";
        const auto reply = system.call(system.entries.begin()->second.callers, "POST", "/jobs/1",
            platform_system::requestHeaders(jobId(job)), body.dump());
        REQUIRE(reply);
        REQUIRE(reply.value().status == 202);
    }
}

/// Runs of the items, as their servers saw them.
struct item_runs {
    std::map<std::string, std::vector<json>> byItem;
    std::vector<std::int64_t> ends; ///< Crashes of servers, whatever they ran; in ascending order.
};

item_runs itemRuns(platform_system& system)
{
    item_runs seen;
    for (int job = 0; job < jobs; ++job) {
        for (int i = 0; i < itemsOfJob; ++i)
            seen.byItem[jobId(job) + "-" + std::to_string(i)]; // Also those that have never run.
    }
    const auto all = system.control("/runs");
    for (const auto& run : all["runs"]) {
        if (run["ended_server"])
            seen.ends.push_back(run["began_ms"]);
        if (run["path"] == "/jobs/1")
            seen.byItem[run["id"]].push_back(run);
    }
    std::sort(seen.ends.begin(), seen.ends.end());
    return seen;
}

bool isDone(const std::vector<json>& runs)
{
    return std::any_of(runs.begin(), runs.end(), [](const auto& run) { return run["finished"] == true; });
}

std::size_t doneItems(const item_runs& seen)
{
    return static_cast<std::size_t>(std::count_if(
        seen.byItem.begin(), seen.byItem.end(), [](const auto& item) { return isDone(item.second); }));
}

/// When the servers were calm before `ms`: all that had crashed were back.
std::int64_t calmBefore(const item_runs& seen, std::int64_t ms)
{
    const auto next = std::lower_bound(seen.ends.begin(), seen.ends.end(), ms);
    return next == seen.ends.begin() ? 0 : *std::prev(next) + backMs;
}

/// Longest time for which an item has waited for a run although the servers were calm and had room. Waits
/// that had begun before `fromMs` count from then on.
std::int64_t longestWaitMs(const item_runs& seen, std::int64_t fromMs, std::int64_t nowMs)
{
    std::int64_t longest = 0;
    for (const auto& [id, runs] : seen.byItem) {
        std::int64_t ready = fromMs;
        for (const auto& run : runs) {
            const std::int64_t reached = run["reached_ms"];
            longest = std::max(longest, reached - std::max(ready, calmBefore(seen, reached)));
            ready = std::max(ready, run["began_ms"].get<std::int64_t>());
        }
        if (!isDone(runs))
            longest = std::max(longest, nowMs - std::max(ready, calmBefore(seen, nowMs)));
    }
    return longest;
}

/// Waits until all items are done, or one has waited for longer than any may.
void checkPlaced(platform_system& system, std::int64_t fromMs, std::size_t ends)
{
    constexpr std::int64_t pollMs = 500;
    constexpr auto items = static_cast<std::size_t>(jobs * itemsOfJob);
    item_runs seen;
    std::int64_t longest = 0;
    do {
        std::this_thread::sleep_for(milliseconds { pollMs });
        seen = itemRuns(system);
        longest = longestWaitMs(seen, fromMs, steadyMs());
    } while (doneItems(seen) < items && longest <= mostWaitMs);
    std::size_t ended = 0;
    for (const auto& [id, runs] : seen.byItem)
        ended += static_cast<std::size_t>(std::count_if(
            runs.begin(), runs.end(), [](const auto& run) { return run["ended_server"] == true; }));
    CAPTURE(longest, ended, system.folder());
    CHECK(longest <= mostWaitMs);
    CHECK(ended >= ends);
    REQUIRE(doneItems(seen) == items);
    // An item that was given up is listed too, without having run whole.
    for (int job = 0; job < jobs; ++job)
        CHECK(system.allResults("entry-b-1", jobId(job), itemsOfJob).size() == itemsOfJob);
}

void endUnderFirstItems(platform_system& system, int ends)
{
    system.control("/deadly?mark=" + firstBody + "&after=50&back=" + std::to_string(backMs)
        + "&ends=" + std::to_string(ends));
}

/// Sends live requests with a part that ends servers, each once, until it is destroyed.
class deadly_callers {
public:
    deadly_callers(platform_system& system, const std::string& prompt)
        : m_thread([this, &system, prompt] {
            std::vector<std::thread> running;
            for (int i = 0; !m_stopped; ++i) {
                auto entry = system.entries.begin();
                std::advance(entry, i % static_cast<int>(system.entries.size()));
                running.emplace_back([&system, prompt, i, port = entry->second.callers] {
                    const auto id = "deadly-" + std::to_string(i);
                    auto headers = platform_system::requestHeaders(id, events);
                    for (auto& [name, value] : headers) {
                        if (name == "Yuccachute-Prompt-Prefix")
                            value = prompt + ":50," + std::to_string(i) + ":20";
                    }
                    (void)system.call(port, "POST", "/resumable/x", std::move(headers), "body of " + id);
                });
                std::this_thread::sleep_for(milliseconds { 120 });
            }
            for (auto& thread : running)
                thread.join();
        })
    {
    }
    ~deadly_callers()
    {
        m_stopped = true;
        m_thread.join();
    }
    deadly_callers(const deadly_callers&) = delete;
    deadly_callers& operator=(const deadly_callers&) = delete;

private:
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
};

/// Live requests that reached a server although the fleet knew that requests like them end servers.
std::size_t lateSends(platform_system& system)
{
    std::vector<std::int64_t> ends;
    std::vector<std::int64_t> sends;
    const auto all = system.control("/runs");
    for (const auto& run : all["runs"]) {
        if (run["deadly"])
            sends.push_back(run["reached_ms"]);
        if (run["ended_server"])
            ends.push_back(run["began_ms"]);
    }
    if (ends.size() < endsThatProve)
        return 0;
    std::sort(ends.begin(), ends.end());
    return static_cast<std::size_t>(std::count_if(sends.begin(), sends.end(),
        [known = ends[endsThatProve - 1] + contactMs](auto ms) { return ms > known; }));
}

} // namespace

// Guards against an item that is taken for the cause of crashes under it, and waits in an idle fleet.
TEST_CASE("items under which targets ended are placed within seconds")
{
    const int ends = GENERATE(3, 4, 5, 8);
    CAPTURE(ends);
    platform_system system(sixServers(1));
    endUnderFirstItems(system, ends);
    const auto fromMs = steadyMs();
    submitJobs(system, "c1");
    checkPlaced(system, fromMs, static_cast<std::size_t>(jobs * ends));
}

// Guards against the same by records that other processes keep, or the store.
TEST_CASE("items under which targets ended are placed within seconds after restarts and a takeover")
{
    platform_system system(sixServers(2));
    endUnderFirstItems(system, 5);
    submitJobs(system, "c1");
    std::this_thread::sleep_for(milliseconds { 2500 });
    for (auto& [name, process] : system.batches)
        process.running.reset();
    for (const auto& [name, process] : system.batches)
        system.startBatch(name);
    std::this_thread::sleep_for(milliseconds { 4000 });
    system.batches.at("batch-a-1").running.reset();
    checkPlaced(system, steadyMs() + takeoverMs, 0);
}

// Guards against the same by what live requests with a common part do to targets, and against items that
// clear such a part because they run whole.
TEST_CASE("items beside live requests that end targets are placed, and the live ones are kept from targets")
{
    platform_system system(sixServers(1));
    system.control("/deadly?parts=bad1&after=50&back=" + std::to_string(backMs) + "&live_only=1");
    {
        const deadly_callers callers(system, "c1:50,bad1");
        std::this_thread::sleep_for(milliseconds { 4000 });
        const auto fromMs = steadyMs();
        submitJobs(system, "c1:50,bad1");
        checkPlaced(system, fromMs, 0);
        std::this_thread::sleep_for(milliseconds { 2 * contactMs });
    }
    CAPTURE(system.folder());
    CHECK(lateSends(system) <= mostLateSends);
}
