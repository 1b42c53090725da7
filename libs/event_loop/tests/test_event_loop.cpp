#include "event_loop/event_loop.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace yuccachute;

TEST_CASE("a timer that is armed again fires once and calls only the later function")
{
    event_loop loop;
    loop_timer timer(loop);
    std::string fired;
    timer.arm(milliseconds { 1 }, [&] { fired += "a"; });
    timer.arm(milliseconds { 2 }, [&] { fired += "b"; });
    CHECK(timer.armed());
    loop.runFor(milliseconds { 100 });
    CHECK(fired == "b");
    CHECK(!timer.armed());
}

// Guards against a use after free: the owner of a timer is destroyed while the timer's callback is already
// queued behind the running handler.
TEST_CASE("a cancelled or destroyed timer never fires, even if it has already expired")
{
    event_loop loop;
    auto timer = std::make_unique<loop_timer>(loop);
    loop_timer second(loop);
    int fired = 0;
    loop.post([&] {
        std::this_thread::sleep_for(milliseconds { 5 });
        timer.reset();
        second.cancel();
    });
    timer->arm(milliseconds { 1 }, [&] { ++fired; });
    second.arm(milliseconds { 1 }, [&] { ++fired; });
    loop.runFor(milliseconds { 50 });
    CHECK(fired == 0);
}

TEST_CASE("post() works from other threads, and a ticker repeats until it is destroyed")
{
    event_loop loop;
    int ticks = 0;
    auto ticker = std::make_unique<loop_ticker>(loop, milliseconds { 2 }, [&] { ++ticks; });
    std::thread other([&] { loop.post([&] { loop.stop(); }); });
    loop.run();
    other.join();
    loop.runFor(milliseconds { 50 });
    CHECK(ticks >= 2);
    ticker.reset();
    const int before = ticks;
    loop.runFor(milliseconds { 20 });
    CHECK(ticks == before);
}
