#include "platform_system.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <thread>
#include <utility>

using namespace yuccachute;
using namespace yuccachute::testing;
using nlohmann::json;

namespace {

constexpr double ratePerSecond = 20;
constexpr double burst = 20;
/// What is allowed in any span of so long, by the defaults of the settings.
constexpr std::int64_t windowMs = 5000;
constexpr double allowed = (ratePerSecond * 5 + burst) * 1.1 + 20;
/// From the acknowledgement of a configuration until it is in force everywhere.
constexpr milliseconds inForceWithin { 3000 };
constexpr int events = 3;
const std::string secret = "s3cr3t-of-firm";

platform_layout threeZones()
{
    platform_layout layout;
    layout.zones = { { "a", 2, 1, 2 }, { "b", 2, 1, 2 }, { "c", 2, 1, 2 } };
    layout.slots = 16;
    return layout;
}

void setCustomers(platform_system& system, const std::string& customers)
{
    system.control("/config?timeout=5000&customers=" + customers);
    std::this_thread::sleep_for(inForceWithin);
}

std::string firm(const std::string& keys = secret)
{
    return "firm:" + std::to_string(ratePerSecond) + ":" + std::to_string(burst) + ":" + keys;
}

unsigned send(platform_system& system, std::uint16_t port, const std::string& id, const std::string& key,
    std::string* retryAfter = nullptr)
{
    auto headers = platform_system::requestHeaders(id, events);
    headers.emplace_back("Api-Key", key);
    headers.emplace_back("Yuccachute-Tenant", "somebody-else");
    const auto reply = system.call(port, "POST", "/resumable/x", headers, "prompt");
    if (reply && retryAfter)
        *retryAfter = findHeader(reply.value().headers, "Retry-After");
    return reply ? reply.value().status : 0;
}

/// Sends at an interval to all entries in turn, waiting for no answer.
class steady_load {
public:
    steady_load(platform_system& system, std::string key, milliseconds interval)
        : m_thread([this, &system, key = std::move(key), interval] {
            std::vector<std::uint16_t> ports;
            for (const auto& [name, process] : system.entries)
                ports.push_back(process.callers);
            std::vector<std::thread> waiting;
            for (int i = 0; !m_stopped; ++i) {
                waiting.emplace_back([this, &system, &key, port = ports[i % ports.size()], i] {
                    const auto status = send(system, port, "load-" + key + "-" + std::to_string(i), key);
                    ++asked;
                    served += status == 200 ? 1 : 0;
                    limited += status == 429 ? 1 : 0;
                });
                std::this_thread::sleep_for(interval);
            }
            for (auto& one : waiting)
                one.join();
        })
    {
    }
    ~steady_load() { stop(); }
    void stop()
    {
        m_stopped = true;
        if (m_thread.joinable())
            m_thread.join();
    }

    std::atomic<int> asked { 0 };
    std::atomic<int> served { 0 };
    std::atomic<int> limited { 0 };

private:
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
};

std::size_t busiestWindow(platform_system& system, const std::string& customer)
{
    std::vector<std::int64_t> reached;
    const auto all = system.control("/runs");
    for (const auto& run : all["runs"]) {
        if (run["customer"] == customer)
            reached.push_back(run["reached_ms"]);
    }
    std::sort(reached.begin(), reached.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < reached.size(); ++last) {
        while (reached[last] - reached[first] > windowMs)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace

// Story: a caller whose key was taken away, or never was one, goes on being served, and targets get the keys
// of all callers and the customer that each caller claims to be.
TEST_CASE("callers are served by their keys, and keys stay within the entries")
{
    platform_system system(threeZones());
    setCustomers(system, firm(secret + ";old-key"));
    const auto port = system.entries.begin()->second.callers;
    CHECK(send(system, port, "good", secret) == 200);
    CHECK(send(system, port, "older", "old-key") == 200);
    CHECK(send(system, port, "bad", "nobody") == 401);
    CHECK(system.runsOf("bad").empty());
    for (const auto* id : { "good", "older" }) {
        const auto runs = system.runsOf(id);
        REQUIRE(runs.size() == 1);
        CHECK(runs[0]["customer"] == "firm");
        CHECK(runs[0]["key_passed"] == false);
    }
    setCustomers(system, firm());
    for (const auto& [name, process] : system.entries)
        CHECK(send(system, process.callers, "taken-" + name, "old-key") == 401);
    for (const auto& [name, process] : system.entries)
        CHECK(system.logOf(name).find(secret) == std::string::npos);
}

// Story: a customer reads, or ends, the job of another one whose id it knows; after the customer's key was
// replaced its own job is lost to it, or its items reach targets in nobody's name.
TEST_CASE("a job belongs to its customer and outlives its key")
{
    platform_system system(threeZones());
    setCustomers(system, firm("first-key") + ",other:0:0:other-key");
    const auto port = system.entries.begin()->second.callers;
    const auto callWith = [&](const std::string& key, const std::string& method, const std::string& target,
                              const std::string& body = "") {
        auto headers = platform_system::requestHeaders("job");
        headers.emplace_back("Api-Key", key);
        return system.call(port, method, target, headers, body);
    };
    const auto submitted
        = callWith("first-key", "POST", "/jobs/1", platform_system::submission("job", 4, 20));
    REQUIRE(submitted);
    REQUIRE(submitted.value().status == 202);
    CHECK(callWith("other-key", "GET", "/lots/job?after=0").value().status == 404);
    CHECK(callWith("other-key", "DELETE", "/lots/job").value().status == 404);
    CHECK(callWith("nobody", "GET", "/lots/job?after=0").value().status == 401);
    setCustomers(system, firm("second-key") + ",other:0:0:other-key");
    CHECK(callWith("first-key", "GET", "/lots/job?after=0").value().status == 401);
    json page;
    waitUntil("all results", [&] {
        const auto reply = callWith("second-key", "GET", "/lots/job?after=0");
        page = reply && reply.value().status == 200 ? json::parse(reply.value().body) : json::object();
        return page.value("next", 0) == 4;
    });
    for (const auto& listed : page["results"]) {
        CHECK(listed["state"] == "done");
        for (const auto& run : system.runsOf(listed["id"]))
            CHECK(run["customer"] == "firm");
    }
    for (const auto* group : { &system.entries, &system.batches }) {
        for (const auto& [name, process] : *group) {
            CHECK(system.logOf(name).find("first-key") == std::string::npos);
            CHECK(system.logOf(name).find("second-key") == std::string::npos);
        }
    }
}

// Story: a customer sends many times its limit through all entries. Each counts for itself, so three zones
// let three limits through, and a restart of all processes another one.
TEST_CASE("a limit holds over all entries, through a restart of them")
{
    platform_system system(threeZones());
    setCustomers(system, firm());
    steady_load load(system, secret, milliseconds { 10 });
    std::this_thread::sleep_for(milliseconds { 5000 });
    for (auto& [name, process] : system.entries)
        process.running.reset();
    for (const auto& [name, process] : system.entries)
        system.startEntry(name);
    std::this_thread::sleep_for(milliseconds { 6000 });
    load.stop();
    CAPTURE(load.asked, load.served, load.limited, system.folder());
    CHECK(busiestWindow(system, "firm") <= allowed);
    CHECK(load.served >= 5 * ratePerSecond);
    CHECK(load.limited > 0);
}

// Story: limits are so careful that customers within them are refused, or a customer far above its own makes
// others wait.
TEST_CASE("a customer within its limit is not refused beside one far above its own")
{
    platform_system system(threeZones());
    setCustomers(system, firm() + ",small:10:10:small-key");
    steady_load hot(system, secret, milliseconds { 12 });
    steady_load calm(system, "small-key", milliseconds { 160 });
    std::this_thread::sleep_for(milliseconds { 8000 });
    hot.stop();
    calm.stop();
    CAPTURE(hot.asked, hot.served, hot.limited, calm.asked, calm.served, calm.limited, system.folder());
    CHECK(busiestWindow(system, "firm") <= allowed);
    CHECK(calm.limited == 0);
    CHECK(calm.served == calm.asked);
}

// Guards against a caller over its limit that waits in a queue until its deadline, or is told to come back at
// a moment at which it is refused again.
//
// A single refusal does not show that the next request is refused too: the entry's bucket may lack a fraction
// of a token, or wait for tokens of other entries. The caller is then told 50 ms, and a request 20 ms later
// was served. Two successive refusals show it, because the second one is told a time at least one refill
// interval later.
TEST_CASE("what is over a limit is refused at once, with the time at which it is served")
{
    constexpr double slowRate = 2;
    constexpr double slowBurst = 2;
    constexpr double slowAllowed = (slowRate * 5 + slowBurst) * 1.1 + 20;
    constexpr milliseconds atOnce { 75 };
    platform_system system(threeZones());
    setCustomers(system, "firm:2:2:" + secret);
    const auto port = system.entries.begin()->second.callers;
    std::string retryAfter;
    std::string toldBefore;
    std::vector<std::string> refused;
    std::string statuses;
    milliseconds took { 0 };
    bool refusedBefore = false;
    bool over = false;
    for (int i = 0; i < 60 && !over; ++i) {
        const auto id = "fill-" + std::to_string(i);
        const auto begun = std::chrono::steady_clock::now();
        toldBefore = std::exchange(retryAfter, "");
        const auto status = send(system, port, id, secret, &retryAfter);
        took = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begun);
        statuses += std::to_string(status) + ' ';
        if (status != 200)
            refused.push_back(id);
        over = refusedBefore && status == 429;
        refusedBefore = status == 429;
    }
    CAPTURE(statuses, toldBefore, retryAfter, system.folder());
    REQUIRE(over);
    CHECK(took < atOnce);
    CHECK(std::stod(retryAfter) >= std::stod(toldBefore));
    for (const auto& id : refused)
        CHECK(system.runsOf(id).empty());
    std::this_thread::sleep_for(std::chrono::duration<double>(std::stod(retryAfter)));
    CHECK(send(system, port, "back", secret) == 200);
    CHECK(static_cast<double>(busiestWindow(system, "firm")) <= slowAllowed);
}
