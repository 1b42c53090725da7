#include "../src/target_pace.h"
#include "dispatch/dispatch.h"

#include <catch2/catch.hpp>

using namespace yuccachute;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time {} + 1h;
constexpr std::uint32_t answerEvents = 18;

void record(target_pace& pace, std::chrono::microseconds interval, int times, steady_time now)
{
    for (int i = 0; i < times; ++i)
        pace.record(interval, answerEvents, now);
    pace.update(40ms, now);
}

} // namespace

TEST_CASE("the pace of a target is learned from two runs and forgotten without further ones")
{
    target_pace pace;
    CHECK(pace.relative(start) == 1);
    record(pace, 80ms, 1, start);
    CHECK(pace.relative(start) == 1);
    record(pace, 80ms, 1, start + 1s);
    CHECK(pace.relative(start + 1s) == 0.5);
    CHECK(pace.relative(start + 9s) == 0.5);
    CHECK(pace.relative(start + 10s) == 1);
    CHECK(pace.interval(start + 10s) == 0ms);
}

TEST_CASE("stalls in two runs do not change the pace, and three slow runs do")
{
    target_pace pace;
    record(pace, 40ms, 5, start);
    record(pace, 100ms, 2, start + 1s);
    CHECK(pace.relative(start + 1s) == 1);
    record(pace, 320ms, 1, start + 2s);
    CHECK(pace.relative(start + 2s) == 0.4);
    record(pace, 320ms, 2, start + 3s);
    CHECK(pace.relative(start + 3s) == 0.125);
}

TEST_CASE("paces close to the nominal one are equal to it, and all are bounded")
{
    for (const auto interval : { 33ms, 40ms, 49ms }) {
        target_pace pace;
        record(pace, interval, 2, start);
        CHECK(pace.relative(start) == 1);
    }
    target_pace fast;
    record(fast, 1ms, 2, start);
    CHECK(fast.relative(start) == 4);
    target_pace slow;
    record(slow, 5s, 2, start);
    CHECK(slow.relative(start) == 1.0 / 16);
}

// Guards against figures that are missing because a release comes from an older process, or that are wrong
// because of a fault in another process: they would count as an extreme speed.
TEST_CASE("invalid figures are ignored")
{
    target_pace pace;
    for (const auto interval : { 0us, -5us, 1us, 61000000us })
        record(pace, interval, 5, start);
    for (int i = 0; i < 5; ++i)
        pace.record(100ms, 3, start);
    pace.update(40ms, start);
    CHECK(pace.relative(start) == 1);
    record(pace, 80ms, 2, start);
    CHECK(pace.relative(start) == 0.5);
    pace.update(0us, start);
    CHECK(pace.relative(start) == 0.5);
}

// Guards against a slow target that gets as many requests as it has slots each time its pace expires.
TEST_CASE("a slow target is tried again with one run at a time")
{
    target_pace pace;
    record(pace, 320ms, 5, start);
    const auto later = start + 20s;
    CHECK(pace.relative(0, later) == 1);
    CHECK(pace.relative(1, later) == 0.125);
    record(pace, 40ms, 1, later);
    CHECK(pace.relative(1, later) == 0.125);
    record(pace, 40ms, 1, later);
    CHECK(pace.relative(1, later) == 1);
}

TEST_CASE("the interval of a run is the mean of its last events, without the first event's delay")
{
    event_timing timing;
    CHECK(timing.interval(start) == 0ms);
    auto now = start + 500ms;
    timing.record(1, now);
    CHECK(timing.interval(now) == 0ms);
    for (int i = 0; i < 40; ++i)
        timing.record(1, now += 40ms);
    CHECK(timing.interval(now) == 40ms);
    CHECK(timing.events() == 41);
    // Events that arrive together took the time since the last arrival.
    timing.record(4, now += 160ms);
    CHECK(timing.interval(now) == 40ms);
    for (int i = 0; i < 16; ++i)
        timing.record(1, now += 320ms);
    CHECK(timing.interval(now) == 320ms);
}

// Guards against a target that becomes slow in the middle of an answer and whose silence ends the run: the
// intervals before would say that its speed is normal.
TEST_CASE("a long silence at the end of a run counts as its interval")
{
    event_timing timing;
    for (int i = 0; i < 10; ++i)
        timing.record(1, start + 40ms * i);
    const auto last = start + 360ms;
    CHECK(timing.interval(last + 150ms) == 40ms);
    CHECK(timing.interval(last + 170ms) == 170ms);
}

// Guards against a caller that reads slowly: reading from the target pauses, and its events arrive together
// afterwards.
TEST_CASE("the interval of a run is measured up to the first pause in reading")
{
    event_timing timing;
    for (int i = 0; i < 10; ++i)
        timing.record(1, start + 40ms * i);
    timing.pause();
    timing.record(30, start + 5s);
    CHECK(timing.interval(start + 6s) == 40ms);
    CHECK(timing.events() == 40);
}
