#include "fleet/fleet.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

const steady_time begin { std::chrono::hours { 2 } };
constexpr milliseconds step { 700 };

} // namespace

// Guards against a batch process that takes all its knowledge for fresh, and never lists the open jobs again,
// because the system refuses the boot clock or lets it stand still.
TEST_CASE("the suspension clock runs on where the boot clock does not")
{
    suspension_clock refused;
    suspension_clock stopped;
    suspension_clock stoppedLater;
    const auto ahead = stoppedLater.at(begin, begin + milliseconds { 50 });
    for (int i = 0; i < 20; ++i) {
        const auto now = begin + i * step;
        CHECK(refused.at(now, std::nullopt) == now);
        CHECK(stopped.at(now, steady_time {}) == now);
        CHECK(stoppedLater.at(now, begin + milliseconds { 50 }) == ahead + i * step);
    }
}

TEST_CASE("the suspension clock counts suspensions and never runs back")
{
    suspension_clock clock;
    constexpr std::chrono::hours before { 5 };
    CHECK(clock.at(begin, begin + before) == begin + before);
    const auto woken = clock.at(begin + step, begin + before + step + std::chrono::seconds { 4 });
    CHECK(woken == begin + before + step + std::chrono::seconds { 4 });
    CHECK(clock.at(begin + 2 * step, std::nullopt) == woken + step);
    // A coarse reading lags behind.
    CHECK(clock.at(begin + 3 * step, begin + before + 3 * step + milliseconds { 3990 }) == woken + 2 * step);
}

TEST_CASE("the boot clock of this system runs")
{
    const auto first = bootClockNow();
    const auto second = bootClockNow();
    CHECK(second >= first);
    CHECK(readBootClock());
}
