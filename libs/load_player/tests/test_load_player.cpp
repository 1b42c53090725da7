#include "load_player/load_player.h"

#include <catch2/catch.hpp>

#include <numeric>

using namespace yuccachute;
using namespace std::chrono_literals;

namespace {

/// A third of the load of a deployment of 18 targets: peaks of 1.84 times the mean for 2.8 s, troughs of 0.38 times for
/// 3.8 s. 48 slots and runs of a second serve 48 requests a second.
load_plan plan(double meanRate)
{
    load_plan plan;
    plan.live.rates = squareWave(0.377 * meanRate, 3800ms, 1.84 * meanRate, 2800ms, plan.length);
    return plan;
}

template <typename Change> load_outcome sum(load_plan base, Change change)
{
    load_outcome all;
    change(base.policy);
    for (base.seed = 1; base.seed <= 5; ++base.seed) {
        const auto one = play(base);
        all.asked += one.asked;
        all.onTime += one.onTime;
        all.onTimeOnReturn += one.onTimeOnReturn;
        all.late += one.late;
        all.unserved += one.unserved;
        all.toldEarly += one.toldEarly;
        all.toldLate += one.toldLate;
        all.stoodAtTarget += one.stoodAtTarget;
        all.items += one.items;
        all.itemsOnTime += one.itemsOnTime;
        all.itemsLate += one.itemsLate;
    }
    return all;
}

load_outcome played(const load_plan& base)
{
    return sum(base, [](played_policy&) { });
}

void tell(const char* what, const load_outcome& one)
{
    WARN(what << ": asked " << one.asked << ", on time " << one.onTime << ", on return " << one.onTimeOnReturn
              << ", late " << one.late << ", unserved " << one.unserved << ", told early " << one.toldEarly
              << ", told late " << one.toldLate << ", stood at the target " << one.stoodAtTarget << "; items "
              << one.items << ", on time " << one.itemsOnTime << ", late " << one.itemsLate);
}

} // namespace

TEST_CASE("with room for all everybody is on time")
{
    auto calm = plan(22);
    calm.items = { 1.5, 20000ms };
    const auto outcome = played(calm);
    CHECK(outcome.onTime == outcome.asked);
    CHECK(outcome.itemsOnTime == outcome.items);
}

TEST_CASE("overload")
{
    const auto heavy = plan(40);
    tell("margin 1, retry 1 s", sum(heavy, [](played_policy& policy) {
        policy.waitMargin = 1;
        policy.retryAfter = 1000ms;
    }));
    tell("margin 1, spells", sum(heavy, [](played_policy& policy) { policy.waitMargin = 1; }));
    tell("margin 1.7, retry 1 s", sum(heavy, [](played_policy& policy) { policy.retryAfter = 1000ms; }));
    tell("both", played(heavy));
    tell("1.7 and 1.64 s", sum(heavy, [](played_policy& policy) { policy.retryAfter = 1640ms; }));
    for (double margin : { 1.3, 2.5, 4.0 })
        tell("margin ...", sum(heavy, [&](played_policy& policy) { policy.waitMargin = margin; }));
}

TEST_CASE("orphans")
{
    auto cut = plan(22);
    cut.items = { 5, 25000ms };
    cut.events = { runs_orphaned { 9s }, runs_orphaned { 16s } };
    tell("no reports", sum(cut, [](played_policy& policy) { policy.reports = false; }));
    tell("reports", played(cut));
}

TEST_CASE("dark")
{
    auto cut = plan(22);
    cut.events = { targets_dark { 9s, 2 } };
    tell("no reports", sum(cut, [](played_policy& policy) { policy.reports = false; }));
    tell("reports", played(cut));
}

TEST_CASE("items")
{
    auto heavy = plan(24);
    heavy.items = { 7, 25000ms };
    heavy.events = { targets_leave { 10s, 1 } };
    tell("by due", sum(heavy, [](played_policy& policy) { policy.ranks = false; }));
    tell("ranks", played(heavy));
    heavy.items.perSecond = 5;
    tell("by due", sum(heavy, [](played_policy& policy) { policy.ranks = false; }));
    tell("ranks", played(heavy));
}
TEST_CASE("sweep")
{
    for (double live : { 30., 40., 50. }) {
        for (double margin : { 1., 1.7, 2.5, 4. })
            for (int retry : { 0, 1000, 1640 }) {
                const auto o = sum(plan(live), [&](played_policy& policy) {
                    policy.waitMargin = margin;
                    if (retry) policy.retryAfter = milliseconds { retry };
                });
                const double worth = (3.5 * o.onTime + 2.0 * o.onTimeOnReturn + 0.53 * o.late - 1.05 * o.unserved) / (3.5 * o.asked);
                printf("live %.0f margin %.1f retry %d: %.4f  on %u ret %u late %u uns %u early %u latetold %u\n", live, margin, retry, worth, o.onTime, o.onTimeOnReturn, o.late, o.unserved, o.toldEarly, o.toldLate);
            }
    }
}
