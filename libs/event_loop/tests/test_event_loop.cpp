#include "event_loop/event_loop.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace yuccachute;

TEST_CASE("a timer that is armed again fires once, with the later call")
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

// Story: an object is destroyed while its timer's call is already queued behind the running handler; the call
// then works on freed memory.
TEST_CASE("a cancelled or destroyed timer never fires, also when it was due already")
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

TEST_CASE("work is posted from other threads, and a ticker repeats until it goes")
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
