#include "event_loop/event_loop.h"

#include <catch2/catch.hpp>

#include <csignal>
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

// Guards against a process that no SIGTERM stops, because its parent had blocked the signal and a started
// program inherits that.
TEST_CASE("a handled signal arrives although the process has inherited it as blocked")
{
    sigset_t blocked {};
    sigemptyset(&blocked);
    sigaddset(&blocked, SIGUSR2);
    sigset_t before {};
    REQUIRE(pthread_sigmask(SIG_BLOCK, &blocked, &before) == 0);
    {
        event_loop loop;
        int received = 0;
        loop.onSignals({ SIGUSR2 }, [&](int signal) { received = signal; });
        std::raise(SIGUSR2);
        (void)loop.runFor(std::chrono::milliseconds { 200 });
        CHECK(received == SIGUSR2);
    }
    // A signal that stayed blocked is still pending, and would end this process.
    std::signal(SIGUSR2, SIG_IGN);
    REQUIRE(pthread_sigmask(SIG_SETMASK, &before, nullptr) == 0);
}
