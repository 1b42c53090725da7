#include "limit_storms.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

constexpr double roundingError = 1e-6;

void isolateZones(fleet_simulation& fleet, std::size_t processes)
{
    for (std::size_t i = 0; i < processes; ++i)
        fleet.moveToPartition(i, static_cast<int>(fleet.zoneOf(i)));
}

} // namespace

// Guards against shares of a limit that add up to more than one when faults follow each other.
TEST_CASE("no sequence of faults multiplies a limit")
{
    for (const auto kind : { fault_pattern::restarts, fault_pattern::restarts_of_all,
             fault_pattern::process_partitions, fault_pattern::zone_partitions, fault_pattern::halves,
             fault_pattern::isolated_zones, fault_pattern::incoming_loss, fault_pattern::mixed }) {
        for (const auto load : { load_pattern::overload, load_pattern::pauses }) {
            for (std::uint64_t seed = 1; seed <= 6; ++seed) {
                const auto result = runFaultSequence(kind, load, seed);
                INFO("kind " << static_cast<int>(kind) << ", load " << static_cast<int>(load) << ", seed "
                             << seed);
                CHECK(result.maxGrantsInWindow <= result.allowed);
                CHECK(result.maxShareSum <= 1 + roundingError);
            }
        }
    }
}

// Guards against buckets that refill during a long partition, so that each zone grants a burst at a load
// peak.
TEST_CASE("isolated zones do not each grant a burst at a load peak")
{
    for (const std::size_t zones : { 3, 5 }) {
        for (const double limit : { 10.0, 82.0, 400.0 }) {
            for (const int isolatedMs : { 3000, 8000, 12000, 30000 }) {
                fleet_simulation::options options;
                options.zones = zones;
                options.processes = 4 * zones;
                options.limit = { limit, limit };
                fleet_simulation fleet(options);
                fleet.run(milliseconds { 2000 }, evenRates(5.6 * limit, zones));
                isolateZones(fleet, options.processes);
                fleet.run(milliseconds { isolatedMs }, evenRates(5.6 * limit, zones));
                fleet.run(milliseconds { 3000 }, evenRates(0, zones));
                fleet.run(milliseconds { 6000 }, evenRates(5.6 * limit, zones));
                INFO(zones << " zones, limit " << limit << ", isolated for " << isolatedMs);
                CHECK(fleet.maxGrantsInWindow() <= fleet.allowed());
                CHECK(fleet.maxShareSum() <= 1 + roundingError);
            }
        }
    }
}

// Guards against isolated zones that refuse callers within their limits, however long the partition lasts.
TEST_CASE("callers within their limits are served in isolated zones")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (const double limit : { 30.0, 82.0, 400.0 }) {
            fleet_simulation::options options;
            options.seed = seed;
            options.limit = { limit, limit };
            fleet_simulation fleet(options);
            const auto typicalLoad = evenRates(limit / 1.6, options.zones);
            fleet.run(milliseconds { 2000 }, typicalLoad);
            for (const int isolatedMs : { 1000, 8000, 25000 }) {
                isolateZones(fleet, options.processes);
                fleet.run(milliseconds { isolatedMs }, typicalLoad);
                fleet.healPartitions();
                fleet.run(milliseconds { 2000 }, typicalLoad);
            }
            INFO("seed " << seed << ", limit " << limit);
            CHECK(fleet.refused() <= fleet.granted() / 100);
        }
    }
}

// Guards against reassigning the share of a member that is partitioned for longer than its registration
// lasts, while the other members restart and forget what they have received from it.
TEST_CASE("restarts of the other members do not reassign a partitioned member's share")
{
    fleet_simulation::options options;
    options.processes = 9;
    fleet_simulation fleet(options);
    const auto overload = evenRates(5.6 * options.limit.perSecond, options.zones);
    fleet.run(milliseconds { 2000 }, overload);
    for (std::size_t i = 2; i < options.processes; i += 3)
        fleet.moveToPartition(i, 1);
    fleet.run(milliseconds { 12000 }, overload);
    for (std::size_t i = 0; i < options.processes; ++i) {
        if (fleet.zoneOf(i) == 2)
            continue;
        fleet.kill(i);
        fleet.run(milliseconds { 200 }, overload);
        fleet.start(i);
        fleet.run(milliseconds { 1000 }, overload);
    }
    fleet.run(milliseconds { 6000 }, overload);
    CHECK(fleet.maxShareSum() <= 1 + roundingError);
    CHECK(fleet.maxGrantsInWindow() <= fleet.allowed());
}

namespace {

constexpr std::size_t smallFleetSize = 4;

/// A fault in a fleet of four processes in two zones.
struct small_fault {
    enum class change : std::uint8_t {
        none,
        isolate_process,
        isolate_zone,
        heal_partitions,
        restart,
        kill
    } kind;
    std::size_t process = 0;
};

std::vector<small_fault> smallFaults()
{
    using change = small_fault::change;
    std::vector<small_fault> all { { change::none }, { change::heal_partitions }, { change::isolate_zone, 0 },
        { change::isolate_zone, 1 } };
    for (std::size_t i = 0; i < 2; ++i) {
        all.push_back({ change::isolate_process, i });
        all.push_back({ change::restart, i });
        all.push_back({ change::kill, i });
    }
    return all;
}

class small_fleet {
public:
    explicit small_fleet(milliseconds pause)
        : m_pause(pause)
        , m_fleet(options())
    {
    }

    void apply(const small_fault& fault)
    {
        switch (fault.kind) {
        case small_fault::change::none:
            break;
        case small_fault::change::isolate_process:
            m_fleet.moveToPartition(fault.process, 10 + static_cast<int>(fault.process));
            break;
        case small_fault::change::isolate_zone:
            for (std::size_t i = fault.process; i < smallFleetSize; i += 2)
                m_fleet.moveToPartition(i, 1);
            break;
        case small_fault::change::heal_partitions:
            m_fleet.healPartitions();
            break;
        case small_fault::change::restart:
            m_fleet.kill(fault.process);
            m_fleet.run(milliseconds { 50 }, m_load);
            m_fleet.start(fault.process);
            break;
        case small_fault::change::kill:
            m_fleet.kill(fault.process);
            break;
        }
        m_fleet.run(m_pause, m_load);
    }

    double maxShareSum() const { return m_fleet.maxShareSum(); }

private:
    static fleet_simulation::options options()
    {
        fleet_simulation::options chosen;
        chosen.processes = smallFleetSize;
        chosen.zones = 2;
        return chosen;
    }

    milliseconds m_pause;
    std::vector<double> m_load = std::vector<double>(2, 41);
    fleet_simulation m_fleet;
};

} // namespace

// Covers all sequences of three faults, which random sequences contain only by chance.
TEST_CASE("no short sequence of faults makes the shares add up to more than the limit")
{
    const auto faults = smallFaults();
    for (const int pauseMs : { 150, 1200 }) {
        for (std::size_t sequence = 0; sequence < faults.size() * faults.size() * faults.size(); ++sequence) {
            small_fleet fleet(milliseconds { pauseMs });
            std::size_t rest = sequence;
            for (int i = 0; i < 3; ++i, rest /= faults.size())
                fleet.apply(faults[rest % faults.size()]);
            INFO("sequence " << sequence << ", pause " << pauseMs);
            CHECK(fleet.maxShareSum() <= 1 + roundingError);
        }
    }
}
