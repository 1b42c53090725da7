#include "platform_system.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace yuccachute;
using namespace yuccachute::testing;

namespace {

/// For this time after a disturbance of its connections nothing is promised of a process.
constexpr milliseconds contactTime { 3000 };
/// Longest time from the store's acknowledgement that a target leaves until it gets no more requests.
constexpr milliseconds drainTime { 2000 };
/// Longest time from the store's acknowledgement of a configuration until it is in force.
constexpr milliseconds configurationTime { 2000 };

platform_layout proxiedZones()
{
    platform_layout layout;
    layout.proxied = true;
    layout.serversProxied = false;
    layout.zones = { { "a", 2, 1, 2 }, { "b", 1, 1, 2 } };
    return layout;
}

/// All open connections of all processes to the store go silent for good, and new ones work. Returns once
/// the promises hold again.
void silenceConnections(platform_system& system)
{
    for (const auto& [name, process] : system.entries)
        REQUIRE(system.silenceOpen("store-" + name, "/kv") > 0);
    for (const auto& [name, process] : system.batches)
        REQUIRE(system.silenceOpen("store-" + name, "/kv") > 0);
    std::this_thread::sleep_for(contactTime);
}

/// Callers of all entries, until this object is destroyed.
class steady_callers {
public:
    explicit steady_callers(platform_system& system)
    {
        for (const auto& [name, process] : system.entries) {
            m_callers.emplace_back([this, &system, name = name] {
                for (int i = 0; !m_stopped; ++i) {
                    const auto id = "s-" + name + "-" + std::to_string(i);
                    const auto reply = system.stream(name, "resumable", id, 3);
                    m_served += reply && reply.value().status == 200 ? 1 : 0;
                    std::this_thread::sleep_for(milliseconds { 10 });
                }
            });
        }
    }
    ~steady_callers()
    {
        m_stopped = true;
        for (auto& caller : m_callers)
            caller.join();
    }
    steady_callers(const steady_callers&) = delete;
    steady_callers& operator=(const steady_callers&) = delete;

    int served() const { return m_served; }

private:
    std::atomic<bool> m_stopped { false };
    std::atomic<int> m_served { 0 };
    std::vector<std::thread> m_callers;
};

} // namespace

// Guards against requests to targets that have left, by processes whose connections to the store went silent:
// neither the waiting call nor the next calls over idle connections are answered.
TEST_CASE("a target that leaves gets no request late after all connections to the store went silent")
{
    platform_system system(proxiedZones());
    for (const unsigned number : { 0, 2 }) {
        silenceConnections(system);
        const std::string left
            = system.control("/server?number=" + std::to_string(number) + "&do=unlist")["id"];
        const auto leftMs = steadyMs();
        {
            const steady_callers callers(system);
            std::this_thread::sleep_for(drainTime * 2);
            CHECK(callers.served() > 100);
        }
        const auto all = system.control("/runs");
        for (const auto& run : all["runs"]) {
            INFO(run.dump() << " left at " << leftMs);
            CHECK_FALSE((run["server"] == left && run["reached_ms"] > leftMs + drainTime.count()));
        }
    }
}

// Guards against an old configuration that stays in force after the same.
TEST_CASE("a configuration is in force in time after all connections to the store went silent")
{
    platform_system system(proxiedZones());
    for (const unsigned status : { 200, 404 }) {
        silenceConnections(system);
        system.control("/config?timeout=5000&extra=" + std::to_string(status == 200 ? 1 : 0));
        std::this_thread::sleep_for(configurationTime);
        for (const auto& [name, process] : system.entries) {
            INFO(name);
            CHECK(system.plain(name, "extra", "c-" + name + std::to_string(status)).value().status == status);
        }
    }
}
