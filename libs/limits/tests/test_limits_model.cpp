#include "fleet_simulation.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

constexpr double limitPerSecond = 82;
/// Typical request rate of customers, as a fraction of their limits.
constexpr double typicalLoadFraction = 1 / 1.6;

/// All requests arrive in one zone.
std::vector<double> ratesInZone(std::size_t zone, double perSecond)
{
    std::vector<double> rates(3, 0.0);
    rates[zone] = perSecond;
    return rates;
}

/// Alternates load dips of 3.6 s and load peaks of 2.4 s around a mean rate.
void runBurstyLoad(fleet_simulation& fleet, double mean, int periods)
{
    for (int i = 0; i < periods; ++i) {
        fleet.run(milliseconds { 3600 }, evenRates(0.391 * mean));
        fleet.run(milliseconds { 2400 }, evenRates(1.91 * mean));
    }
}

} // namespace

TEST_CASE("a customer with its typical load is hardly ever refused")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (const request_limit limit :
            { request_limit { 82, 82 }, request_limit { 8, 8 }, request_limit { 1, 1 } }) {
            fleet_simulation::options options;
            options.seed = seed;
            options.limit = limit;
            fleet_simulation fleet(options);
            runBurstyLoad(fleet, typicalLoadFraction * limit.perSecond, 6);
            INFO("seed " << seed << ", limit " << limit.perSecond);
            CHECK(fleet.refused() <= fleet.granted() / 500);
        }
    }
}

// Guards against dispatchers that each count only their own grants while a customer sends many times its
// limit through all zones: three zones would grant three times the limit.
TEST_CASE("a customer far above its limit is granted its whole limit and no more")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (const double factor : { 1.2, 2.0, 5.6, 9.0 }) {
            fleet_simulation::options options;
            options.seed = seed;
            fleet_simulation fleet(options);
            fleet.run(milliseconds { 3000 }, evenRates(typicalLoadFraction * limitPerSecond));
            const auto before = fleet.granted();
            fleet.run(milliseconds { 8000 }, evenRates(factor * limitPerSecond));
            INFO("seed " << seed << ", " << factor << " times");
            CHECK(fleet.maxGrantsInWindow() <= fleet.allowed());
            CHECK(fleet.granted() - before >= 8 * limitPerSecond);
        }
    }
}

// Guards against refusing two thirds of what a customer may send when all its callers are in one zone, or
// move to another zone at once, as fixed shares per zone would.
TEST_CASE("the limit is available in the zones that receive the requests")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fleet_simulation::options options;
        options.seed = seed;
        fleet_simulation fleet(options);
        for (std::size_t zone : { 0, 1, 2, 0 })
            fleet.run(milliseconds { 2000 }, ratesInZone(zone, 0.95 * limitPerSecond));
        INFO("seed " << seed);
        CHECK(fleet.refused() <= fleet.granted() / 50);
        for (std::size_t zone : { 0, 1, 2, 0, 1 })
            fleet.run(milliseconds { 700 }, ratesInZone(zone, 5 * limitPerSecond));
        CHECK(fleet.maxGrantsInWindow() <= fleet.allowed());
    }
}

// Guards against a dispatcher's successor that starts with a full bucket, because it does not know what its
// predecessor granted: the customer would be granted two bursts.
TEST_CASE("consecutive failures of dispatchers do not multiply a limit")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fleet_simulation::options options;
        options.seed = seed;
        fleet_simulation fleet(options);
        fleet.run(milliseconds { 2000 }, evenRates(5.6 * limitPerSecond));
        for (std::size_t i = 0; i < 12; ++i) {
            fleet.kill(i);
            fleet.run(milliseconds { 500 }, evenRates(5.6 * limitPerSecond));
            fleet.start(i);
        }
        INFO("seed " << seed);
        CHECK(fleet.maxGrantsInWindow() <= fleet.allowed());
    }
}

// Guards against granting a limit twice when all processes are killed and restarted within the window in
// which the limit was used up.
TEST_CASE("a restart of all processes does not grant a limit twice")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (const int down : { 100, 1000, 2500 }) {
            fleet_simulation::options options;
            options.seed = seed;
            fleet_simulation fleet(options);
            fleet.run(milliseconds { 4000 }, evenRates(5.6 * limitPerSecond));
            for (int round = 0; round < 2; ++round) {
                for (std::size_t i = 0; i < 12; ++i)
                    fleet.kill(i);
                fleet.run(milliseconds { down }, evenRates(0));
                for (std::size_t i = 0; i < 12; ++i)
                    fleet.start(i);
                fleet.run(milliseconds { 3000 }, evenRates(5.6 * limitPerSecond));
            }
            INFO("seed " << seed << ", down " << down);
            CHECK(fleet.maxGrantsInWindow() <= fleet.allowed());
        }
    }
}

// Guards against both sides of a network partition granting the whole limit, because neither knows of the
// other's grants, and against each side refusing all requests afterwards, because it subtracts the other's
// grants.
TEST_CASE(
    "an isolated zone and the others share the limit, and grant all of it once the partition has healed")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (const int partitionedMs : { 1000, 5500, 9000, 14000 }) {
            fleet_simulation::options options;
            options.seed = seed;
            fleet_simulation fleet(options);
            fleet.run(milliseconds { 2000 }, evenRates(5.6 * limitPerSecond));
            for (std::size_t i = 2; i < 12; i += 3)
                fleet.moveToPartition(i, 1);
            fleet.run(milliseconds { partitionedMs }, evenRates(5.6 * limitPerSecond));
            for (std::size_t i = 2; i < 12; i += 3)
                fleet.moveToPartition(i, 0);
            fleet.run(milliseconds { 2000 }, evenRates(5.6 * limitPerSecond));
            const auto before = fleet.granted();
            fleet.run(milliseconds { 5000 }, evenRates(5.6 * limitPerSecond));
            INFO("seed " << seed << ", partitioned for " << partitionedMs);
            CHECK(fleet.maxGrantsInWindow() <= fleet.allowed());
            CHECK(fleet.granted() - before >= 0.9 * 5 * limitPerSecond);
        }
    }
}

TEST_CASE("customers within their limits are served on both sides of a partition")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fleet_simulation::options options;
        options.seed = seed;
        fleet_simulation fleet(options);
        runBurstyLoad(fleet, typicalLoadFraction * limitPerSecond, 2);
        for (std::size_t i = 2; i < 12; i += 3)
            fleet.moveToPartition(i, 1);
        runBurstyLoad(fleet, typicalLoadFraction * limitPerSecond, 1);
        for (std::size_t i = 2; i < 12; i += 3)
            fleet.moveToPartition(i, 0);
        runBurstyLoad(fleet, typicalLoadFraction * limitPerSecond, 2);
        INFO("seed " << seed);
        CHECK(fleet.refused() <= fleet.granted() / 100);
    }
}

// Guards against isolated processes that each grant the whole limit to their callers. Five of twelve
// processes are isolated one after the other, each alone or all in one partition.
TEST_CASE("processes that are isolated one by one do not multiply a limit")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (const bool together : { false, true }) {
            fleet_simulation::options options;
            options.seed = seed;
            fleet_simulation fleet(options);
            fleet.run(milliseconds { 2000 }, evenRates(5.6 * limitPerSecond));
            for (std::size_t i = 0; i < 5; ++i) {
                fleet.moveToPartition(i, together ? 1 : static_cast<int>(1 + i));
                fleet.run(milliseconds { 300 }, evenRates(5.6 * limitPerSecond));
            }
            fleet.run(milliseconds { 12000 }, evenRates(5.6 * limitPerSecond));
            for (std::size_t i = 0; i < 5; ++i) {
                fleet.moveToPartition(i, 0);
                fleet.run(milliseconds { 300 }, evenRates(5.6 * limitPerSecond));
            }
            fleet.run(milliseconds { 5000 }, evenRates(5.6 * limitPerSecond));
            INFO("seed " << seed << ", together " << together);
            CHECK(fleet.maxGrantsInWindow() <= fleet.allowed());
        }
    }
}

// Guards against a process that receives no messages while its own arrive: it could consider itself isolated,
// or assume that no other process grants anything.
TEST_CASE("a process that receives no messages does not multiply a limit")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fleet_simulation::options options;
        options.seed = seed;
        fleet_simulation fleet(options);
        fleet.run(milliseconds { 2000 }, evenRates(5.6 * limitPerSecond));
        fleet.blockIncoming(0, true);
        fleet.run(milliseconds { 6000 }, evenRates(5.6 * limitPerSecond));
        fleet.blockIncoming(0, false);
        fleet.run(milliseconds { 5000 }, evenRates(5.6 * limitPerSecond));
        INFO("seed " << seed);
        CHECK(fleet.maxGrantsInWindow() <= fleet.allowed());
    }
}

TEST_CASE("a lowered limit is enforced within a window, a raised one takes effect at once")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fleet_simulation::options options;
        options.seed = seed;
        fleet_simulation fleet(options);
        fleet.run(milliseconds { 6000 }, evenRates(5.6 * limitPerSecond));
        fleet.setLimit({ 10, 10 });
        const auto lowered = fleet.granted();
        fleet.run(milliseconds { 5000 }, evenRates(5.6 * limitPerSecond));
        INFO("seed " << seed);
        CHECK(fleet.granted() - lowered <= fleet.allowed());
        fleet.setLimit({ 200, 200 });
        const auto raised = fleet.granted();
        fleet.run(milliseconds { 5000 }, evenRates(5.6 * limitPerSecond));
        CHECK(fleet.granted() - raised >= 0.95 * 5 * 200);
        CHECK(fleet.granted() - raised <= fleet.allowed());
    }
}

// Guards against combinations of faults that tests of single faults do not cover: random sequences of
// restarts, partitions and callers that move between zones must stay within the bound.
TEST_CASE("random faults do not multiply a limit")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        const auto result = runRandomFaults(seed);
        INFO("seed " << seed);
        CHECK(result.maxGrantsInWindow <= result.allowed);
    }
}

// Guards against a message load between hundreds of processes that outweighs the use of the limits.
TEST_CASE("the number of messages grows in proportion to the number of processes, not to its square")
{
    const auto messagesOf = [](std::size_t processes) {
        fleet_simulation::options options;
        options.processes = processes;
        fleet_simulation fleet(options);
        const auto before = fleet.messages();
        fleet.run(milliseconds { 5000 }, evenRates(limitPerSecond));
        return static_cast<double>(fleet.messages() - before);
    };
    CHECK(messagesOf(160) <= 11 * messagesOf(16));
}
