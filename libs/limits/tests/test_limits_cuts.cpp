#include "limit_storms.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

constexpr double rounding = 1e-6;

void separateZones(model_limits& fleet, std::size_t processes)
{
    for (std::size_t i = 0; i < processes; ++i)
        fleet.moveTo(i, static_cast<int>(fleet.zoneOf(i)));
}

} // namespace

// Guards against parts of a limit that add up to more than one, in the kinds of faults that come in series.
TEST_CASE("no storm of faults multiplies a limit")
{
    for (const auto kind :
        { storm_kind::restarts, storm_kind::restarts_of_all, storm_kind::single_cuts, storm_kind::zone_cuts,
            storm_kind::halves, storm_kind::zones_alone, storm_kind::deaf, storm_kind::mixed }) {
        for (const auto load : { storm_load::overload, storm_load::pauses }) {
            for (std::uint64_t seed = 1; seed <= 6; ++seed) {
                const auto played = playStorm(kind, load, seed);
                INFO("kind " << static_cast<int>(kind) << ", load " << static_cast<int>(load) << ", seed "
                             << seed);
                CHECK(played.busiestWindow <= played.allowed);
                CHECK(played.mostParts <= 1 + rounding);
            }
        }
    }
}

// Guards against buckets that fill behind a long cut, so that a peak is granted a burst by each zone.
TEST_CASE("zones that are apart do not each grant a burst to a peak")
{
    for (const std::size_t zones : { 3, 5 }) {
        for (const double limit : { 10.0, 82.0, 400.0 }) {
            for (const int apartMs : { 3000, 8000, 12000, 30000 }) {
                model_limits::options options;
                options.zones = zones;
                options.processes = 4 * zones;
                options.limit = { limit, limit };
                model_limits fleet(options);
                fleet.run(milliseconds { 2000 }, evenly(5.6 * limit, zones));
                separateZones(fleet, options.processes);
                fleet.run(milliseconds { apartMs }, evenly(5.6 * limit, zones));
                fleet.run(milliseconds { 3000 }, evenly(0, zones));
                fleet.run(milliseconds { 6000 }, evenly(5.6 * limit, zones));
                INFO(zones << " zones, limit " << limit << ", apart for " << apartMs);
                CHECK(fleet.busiestWindow() <= fleet.allowed());
                CHECK(fleet.mostParts() <= 1 + rounding);
            }
        }
    }
}

// Guards against a cut-off zone that refuses callers inside their limits, however long the cut is.
TEST_CASE("callers inside their limits are served in zones that are apart")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (const double limit : { 30.0, 82.0, 400.0 }) {
            model_limits::options options;
            options.seed = seed;
            options.limit = { limit, limit };
            model_limits fleet(options);
            const auto usual = evenly(limit / 1.6, options.zones);
            fleet.run(milliseconds { 2000 }, usual);
            for (const int apartMs : { 1000, 8000, 25000 }) {
                separateZones(fleet, options.processes);
                fleet.run(milliseconds { apartMs }, usual);
                fleet.returnAll();
                fleet.run(milliseconds { 2000 }, usual);
            }
            INFO("seed " << seed << ", limit " << limit);
            CHECK(fleet.refused() <= fleet.granted() / 100);
        }
    }
}

// Guards against a member that is cut off for longer than its registration lives, while the others restart.
TEST_CASE("a restart of those that know of a cut-off member does not give its part away")
{
    model_limits::options options;
    options.processes = 9;
    model_limits fleet(options);
    const auto overload = evenly(5.6 * options.limit.perSecond, options.zones);
    fleet.run(milliseconds { 2000 }, overload);
    for (std::size_t i = 2; i < options.processes; i += 3)
        fleet.moveTo(i, 1);
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
    CHECK(fleet.mostParts() <= 1 + rounding);
    CHECK(fleet.busiestWindow() <= fleet.allowed());
}

namespace {

constexpr std::size_t smallFleet = 4;

/// What may happen to a fleet of four processes in two zones.
struct small_fault {
    enum class change : std::uint8_t { none, cut_off, cut_off_zone, return_all, restart, kill } kind;
    std::size_t process = 0;
};

std::vector<small_fault> smallFaults()
{
    using change = small_fault::change;
    std::vector<small_fault> all { { change::none }, { change::return_all }, { change::cut_off_zone, 0 },
        { change::cut_off_zone, 1 } };
    for (std::size_t i = 0; i < 2; ++i) {
        all.push_back({ change::cut_off, i });
        all.push_back({ change::restart, i });
        all.push_back({ change::kill, i });
    }
    return all;
}

class small_play {
public:
    explicit small_play(milliseconds pause)
        : m_pause(pause)
        , m_fleet(options())
    {
    }

    void apply(const small_fault& fault)
    {
        switch (fault.kind) {
        case small_fault::change::none:
            break;
        case small_fault::change::cut_off:
            m_fleet.moveTo(fault.process, 10 + static_cast<int>(fault.process));
            break;
        case small_fault::change::cut_off_zone:
            for (std::size_t i = fault.process; i < smallFleet; i += 2)
                m_fleet.moveTo(i, 1);
            break;
        case small_fault::change::return_all:
            m_fleet.returnAll();
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

    double mostParts() const { return m_fleet.mostParts(); }

private:
    static model_limits::options options()
    {
        model_limits::options chosen;
        chosen.processes = smallFleet;
        chosen.zones = 2;
        return chosen;
    }

    milliseconds m_pause;
    std::vector<double> m_load = std::vector<double>(2, 41);
    model_limits m_fleet;
};

} // namespace

// Guards against short sequences of faults that seeds meet by chance only.
TEST_CASE("no short sequence of faults makes the parts add up to more than the limit")
{
    const auto faults = smallFaults();
    for (const int pauseMs : { 150, 1200 }) {
        for (std::size_t sequence = 0; sequence < faults.size() * faults.size() * faults.size(); ++sequence) {
            small_play play(milliseconds { pauseMs });
            std::size_t rest = sequence;
            for (int i = 0; i < 3; ++i, rest /= faults.size())
                play.apply(faults[rest % faults.size()]);
            INFO("sequence " << sequence << ", pause " << pauseMs);
            CHECK(play.mostParts() <= 1 + rounding);
        }
    }
}
