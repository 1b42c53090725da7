#include "version_change.h"

#include <csignal>
#include <thread>

namespace yuccachute::testing {

namespace {

/// Replaces the software of a target, which starts again under another id.
void upgrade(platform_system& system, unsigned number, const std::string& version)
{
    const auto target = "/server?number=" + std::to_string(number);
    system.control(target + "&do=unlist");
    system.control(target + "&do=crash");
    system.control(target + "&do=start&version=" + version);
}

} // namespace

platform_layout twoZones()
{
    platform_layout layout;
    layout.eventMs = 10;
    layout.slots = 8;
    layout.zones = { { "a", 2, 1, 4 }, { "b", 2, 1, 4 } };
    return layout;
}

void upgradeHalf(platform_system& system)
{
    for (const unsigned number : { 0, 1, 4, 5 })
        upgrade(system, number, "v2");
    std::this_thread::sleep_for(milliseconds { 1500 }); // Until all entries know of the new targets.
}

std::uint16_t portOf(const platform_system& system, const std::string& entry)
{
    return system.entries.at(entry).callers;
}

resumed_streams countResumed(std::span<const received_stream> begun, std::span<const received_stream> rest)
{
    resumed_streams streams;
    for (std::size_t i = 0; i < begun.size(); ++i) {
        streams.begun += begun[i].lastEvent > 0 ? 1 : 0;
        streams.wentOn += rest[i].whole && rest[i].lastEvent == streamEvents ? 1 : 0;
        streams.refused += rest[i].status == 503 ? 1 : 0;
        streams.mixed += versionsIn(begun[i].events + rest[i].events).size() > 1 ? 1 : 0;
    }
    return streams;
}

resumed_streams resumeAfterKillOfAll(const std::string& storeFaults, change_while_down change)
{
    constexpr int number = 32;
    constexpr int attempts = 3;
    platform_system system(twoZones());
    std::this_thread::sleep_for(milliseconds { 1500 }); // Until the first version is recorded.
    system.control("/store?" + storeFaults);
    upgradeHalf(system);
    std::vector<received_stream> begun(number);
    std::vector<std::thread> callers;
    for (int i = 0; i < number; ++i) {
        callers.emplace_back([&, i] {
            begun[i] = readStream(portOf(system, i % 2 == 0 ? "entry-a-1" : "entry-b-2"), resumablePath,
                platform_system::requestHeaders("all-" + std::to_string(i), streamEvents));
        });
    }
    std::this_thread::sleep_for(milliseconds { 300 });
    for (auto& [name, entry] : system.entries)
        entry.running->signal(SIGKILL);
    for (auto& caller : callers)
        caller.join();
    callers.clear();
    for (unsigned target = 0; target < system.servers(); ++target) {
        const bool isNew = target % 4 < 2; // As upgradeHalf() chooses them.
        if (change
            == (isNew ? change_while_down::new_version_leaves : change_while_down::first_version_leaves)) {
            const auto leaving = "/server?number=" + std::to_string(target);
            system.control(leaving + "&do=unlist");
            system.control(leaving + "&do=crash");
        }
    }
    for (const auto& [name, entry] : system.entries)
        system.startEntry(name);
    std::vector<received_stream> rest(number);
    for (int i = 0; i < number; ++i) {
        callers.emplace_back([&, i] {
            const auto id = "all-" + std::to_string(i);
            const auto last = begun[i].lastEvent;
            for (int attempt = 0; last > 0 && attempt < attempts && rest[i].status != 200; ++attempt) {
                std::this_thread::sleep_for(milliseconds { 600 });
                rest[i] = readStream(portOf(system, i % 2 == 0 ? "entry-b-1" : "entry-a-2"), resumablePath,
                    resumingHeaders(id + "-again-" + std::to_string(attempt), streamEvents, id, last));
            }
        });
    }
    for (auto& caller : callers)
        caller.join();
    return countResumed(begun, rest);
}

} // namespace yuccachute::testing
