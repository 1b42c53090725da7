#include "platform_system.h"
#include "version_change.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <functional>
#include <thread>

using namespace yuccachute;
using namespace yuccachute::testing;

namespace {

constexpr int streams = 24;
/// Longer than a stream may have lasted: only then is a list with one version evidence of it.
constexpr milliseconds historyTime { 10000 };
const std::string late = "entry-a-1"; ///< The entry that is out of step.

enum class disruption : std::uint8_t { stopped, cut_from_store, cut_until_later };

void inParallel(const std::function<void(int)>& act)
{
    std::vector<std::thread> threads;
    for (int i = 0; i < streams; ++i)
        threads.emplace_back([&act, i] { act(i); });
    for (auto& thread : threads)
        thread.join();
}

std::string idOf(int number)
{
    return "step-" + std::to_string(number);
}

/// Streams begin at the other entries while one is out of step and a new version joins, and their callers
/// come back at that entry.
resumed_streams resumeAtLateEntry(disruption how, bool killOthers)
{
    auto layout = twoZones();
    layout.proxied = true;
    layout.serversProxied = false;
    platform_system system(layout);
    std::this_thread::sleep_for(historyTime);
    auto& process = *system.entries.at(late).running;
    if (how == disruption::stopped)
        process.signal(SIGSTOP);
    else
        system.route("store-" + late, "mode=silent");
    upgradeHalf(system);
    std::vector<received_stream> begun(streams);
    const std::vector<std::string> first { "entry-a-2", "entry-b-1", "entry-b-2" };
    inParallel([&](int i) {
        begun[i] = readStream(portOf(system, first[i % first.size()]), resumablePath,
            platform_system::requestHeaders(idOf(i), streamEvents), 3 + i % 5);
    });
    if (killOthers) {
        for (const auto& name : first)
            system.entries.at(name).running->signal(SIGKILL);
    }
    if (how == disruption::stopped)
        process.signal(SIGCONT);
    std::vector<received_stream> rest(streams);
    inParallel([&](int i) {
        constexpr int attempts = 4;
        for (int attempt = 0; begun[i].lastEvent > 0 && attempt < attempts && rest[i].status != 200;
             ++attempt) {
            rest[i] = readStream(portOf(system, late), resumablePath,
                resumingHeaders(
                    idOf(i) + "-" + std::to_string(attempt), streamEvents, idOf(i), begun[i].lastEvent));
            if (how == disruption::cut_until_later && i == 0 && attempt == 0)
                system.route("store-" + late, "mode=pass");
            std::this_thread::sleep_for(milliseconds { 200 });
        }
    });
    return countResumed(begun, rest);
}

} // namespace

// Guards against streams that go on at another software version at an entry that stood still, or did not
// reach the store, while targets of a new version joined and streams began there.
TEST_CASE("an entry that was out of step continues no stream at another software version")
{
    for (const auto how : { disruption::stopped, disruption::cut_from_store, disruption::cut_until_later }) {
        for (const bool killOthers : { false, true }) {
            const auto found = resumeAtLateEntry(how, killOthers);
            INFO("disruption " << static_cast<int>(how) << ", others killed " << killOthers << ": begun "
                               << found.begun << ", went on " << found.wentOn << ", refused "
                               << found.refused);
            CHECK(found.begun >= 20);
            CHECK(found.mixed == 0);
            if (!killOthers)
                CHECK(found.wentOn > streams / 2);
        }
    }
}
