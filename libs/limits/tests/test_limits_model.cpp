#include "model_limits.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

constexpr double limitPerSecond = 82;
/// What customers usually send, in shares of their limits.
constexpr double usual = 1 / 1.6;

/// Everything at one zone.
std::vector<double> at(std::size_t zone, double perSecond)
{
    std::vector<double> rates(3, 0.0);
    rates[zone] = perSecond;
    return rates;
}

/// Peaks of 2.4 s and troughs of 3.6 s around a mean.
void playPeaks(model_limits& fleet, double mean, int periods)
{
    for (int i = 0; i < periods; ++i) {
        fleet.run(milliseconds { 3600 }, evenly(0.391 * mean));
        fleet.run(milliseconds { 2400 }, evenly(1.91 * mean));
    }
}

} // namespace

TEST_CASE("a customer that sends what it usually does is never refused")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (const request_limit limit :
            { request_limit { 82, 82 }, request_limit { 8, 8 }, request_limit { 1, 1 } }) {
            model_limits::options options;
            options.seed = seed;
            options.limit = limit;
            model_limits fleet(options);
            playPeaks(fleet, usual * limit.perSecond, 6);
            INFO("seed " << seed << ", limit " << limit.perSecond);
            CHECK(fleet.refused() <= fleet.granted() / 500);
        }
    }
}

// Story: a customer sends many times its limit, through all zones. Each dispatcher counts what it grants
// itself, so three zones grant three limits.
TEST_CASE("a customer far above its limit gets its limit, and all of it")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (const double times : { 1.2, 2.0, 5.6, 9.0 }) {
            model_limits::options options;
            options.seed = seed;
            model_limits fleet(options);
            fleet.run(milliseconds { 3000 }, evenly(usual * limitPerSecond));
            const auto before = fleet.granted();
            fleet.run(milliseconds { 8000 }, evenly(times * limitPerSecond));
            INFO("seed " << seed << ", " << times << " times");
            CHECK(fleet.busiestWindow() <= fleet.allowed());
            CHECK(fleet.granted() - before >= 8 * limitPerSecond);
        }
    }
}

// Story: a customer's callers all come to one zone, or move to another within a moment. Fixed parts of the
// limit would refuse two thirds of what the customer may send.
TEST_CASE("the limit goes where the callers are")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        model_limits::options options;
        options.seed = seed;
        model_limits fleet(options);
        for (std::size_t zone : { 0, 1, 2, 0 })
            fleet.run(milliseconds { 2000 }, at(zone, 0.95 * limitPerSecond));
        INFO("seed " << seed);
        CHECK(fleet.refused() <= fleet.granted() / 50);
        for (std::size_t zone : { 0, 1, 2, 0, 1 })
            fleet.run(milliseconds { 700 }, at(zone, 5 * limitPerSecond));
        CHECK(fleet.busiestWindow() <= fleet.allowed());
    }
}

// Story: the dispatcher of a zone dies, its successor knows nothing of what it granted and begins with a full
// bucket: the customer gets two bursts.
TEST_CASE("dispatchers that die one after the other do not multiply a limit")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        model_limits::options options;
        options.seed = seed;
        model_limits fleet(options);
        fleet.run(milliseconds { 2000 }, evenly(5.6 * limitPerSecond));
        for (std::size_t i = 0; i < 12; ++i) {
            fleet.kill(i);
            fleet.run(milliseconds { 500 }, evenly(5.6 * limitPerSecond));
            fleet.start(i);
        }
        INFO("seed " << seed);
        CHECK(fleet.busiestWindow() <= fleet.allowed());
    }
}

// Story: all processes are killed and start again within the window in which the limit was used up.
TEST_CASE("a restart of all processes does not give a limit twice")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (const int down : { 100, 1000, 2500 }) {
            model_limits::options options;
            options.seed = seed;
            model_limits fleet(options);
            fleet.run(milliseconds { 4000 }, evenly(5.6 * limitPerSecond));
            for (int round = 0; round < 2; ++round) {
                for (std::size_t i = 0; i < 12; ++i)
                    fleet.kill(i);
                fleet.run(milliseconds { down }, evenly(0));
                for (std::size_t i = 0; i < 12; ++i)
                    fleet.start(i);
                fleet.run(milliseconds { 3000 }, evenly(5.6 * limitPerSecond));
            }
            INFO("seed " << seed << ", down " << down);
            CHECK(fleet.busiestWindow() <= fleet.allowed());
        }
    }
}

// Story: a zone is cut off and goes on serving. Both sides grant the whole limit, since neither hears of the
// other; afterwards each takes what the other granted meanwhile for a debt and refuses everybody.
TEST_CASE("a cut-off zone and the others share the limit, and are back at once")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (const int cutMs : { 1000, 5500, 9000, 14000 }) {
            model_limits::options options;
            options.seed = seed;
            model_limits fleet(options);
            fleet.run(milliseconds { 2000 }, evenly(5.6 * limitPerSecond));
            for (std::size_t i = 2; i < 12; i += 3)
                fleet.moveTo(i, 1);
            fleet.run(milliseconds { cutMs }, evenly(5.6 * limitPerSecond));
            for (std::size_t i = 2; i < 12; i += 3)
                fleet.moveTo(i, 0);
            fleet.run(milliseconds { 2000 }, evenly(5.6 * limitPerSecond));
            const auto before = fleet.granted();
            fleet.run(milliseconds { 5000 }, evenly(5.6 * limitPerSecond));
            INFO("seed " << seed << ", cut for " << cutMs);
            CHECK(fleet.busiestWindow() <= fleet.allowed());
            CHECK(fleet.granted() - before >= 0.9 * 5 * limitPerSecond);
        }
    }
}

TEST_CASE("customers within their limits are served on both sides of a cut")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        model_limits::options options;
        options.seed = seed;
        model_limits fleet(options);
        playPeaks(fleet, usual * limitPerSecond, 2);
        for (std::size_t i = 2; i < 12; i += 3)
            fleet.moveTo(i, 1);
        playPeaks(fleet, usual * limitPerSecond, 1);
        for (std::size_t i = 2; i < 12; i += 3)
            fleet.moveTo(i, 0);
        playPeaks(fleet, usual * limitPerSecond, 2);
        INFO("seed " << seed);
        CHECK(fleet.refused() <= fleet.granted() / 100);
    }
}

// Story: a third of the processes is cut off, each alone, and each grants the whole limit to the callers that
// come to it.
TEST_CASE("processes that are cut off one by one do not multiply a limit")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (const bool together : { false, true }) {
            model_limits::options options;
            options.seed = seed;
            model_limits fleet(options);
            fleet.run(milliseconds { 2000 }, evenly(5.6 * limitPerSecond));
            for (std::size_t i = 0; i < 5; ++i) {
                fleet.moveTo(i, together ? 1 : static_cast<int>(1 + i));
                fleet.run(milliseconds { 300 }, evenly(5.6 * limitPerSecond));
            }
            fleet.run(milliseconds { 12000 }, evenly(5.6 * limitPerSecond));
            for (std::size_t i = 0; i < 5; ++i) {
                fleet.moveTo(i, 0);
                fleet.run(milliseconds { 300 }, evenly(5.6 * limitPerSecond));
            }
            fleet.run(milliseconds { 5000 }, evenly(5.6 * limitPerSecond));
            INFO("seed " << seed << ", together " << together);
            CHECK(fleet.busiestWindow() <= fleet.allowed());
        }
    }
}

// Story: a process hears nobody, but is heard: it takes itself for cut off, or believes that nobody else
// grants anything.
TEST_CASE("a process that hears nobody does not multiply a limit")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        model_limits::options options;
        options.seed = seed;
        model_limits fleet(options);
        fleet.run(milliseconds { 2000 }, evenly(5.6 * limitPerSecond));
        fleet.deafen(0, true);
        fleet.run(milliseconds { 6000 }, evenly(5.6 * limitPerSecond));
        fleet.deafen(0, false);
        fleet.run(milliseconds { 5000 }, evenly(5.6 * limitPerSecond));
        INFO("seed " << seed);
        CHECK(fleet.busiestWindow() <= fleet.allowed());
    }
}

TEST_CASE("a lowered limit binds within a window, a raised one at once")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        model_limits::options options;
        options.seed = seed;
        model_limits fleet(options);
        fleet.run(milliseconds { 6000 }, evenly(5.6 * limitPerSecond));
        fleet.setLimit({ 10, 10 });
        const auto lowered = fleet.granted();
        fleet.run(milliseconds { 5000 }, evenly(5.6 * limitPerSecond));
        INFO("seed " << seed);
        CHECK(fleet.granted() - lowered <= fleet.allowed());
        fleet.setLimit({ 200, 200 });
        const auto raised = fleet.granted();
        fleet.run(milliseconds { 5000 }, evenly(5.6 * limitPerSecond));
        CHECK(fleet.granted() - raised >= 0.95 * 5 * 200);
        CHECK(fleet.granted() - raised <= fleet.allowed());
    }
}

// Story: what a test of single faults does not meet is met by their coming together: every sequence of
// restarts, cuts and moves of callers keeps the bound.
TEST_CASE("random faults do not multiply a limit")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        const auto played = playRandomFaults(seed);
        INFO("seed " << seed);
        CHECK(played.busiestWindow <= played.allowed);
    }
}

// Story: with hundreds of processes, what they tell each other costs more than the limits are worth.
TEST_CASE("what processes tell each other grows with those that grant, not with all")
{
    const auto messagesOf = [](std::size_t processes) {
        model_limits::options options;
        options.processes = processes;
        model_limits fleet(options);
        const auto before = fleet.messages();
        fleet.run(milliseconds { 5000 }, evenly(limitPerSecond));
        return static_cast<double>(fleet.messages() - before);
    };
    CHECK(messagesOf(160) <= 11 * messagesOf(16));
}
