#pragma once

#include "verdict/verdict.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

/// One thread that waits for sockets and timers, over Boost.Asio. Layer: transport.
namespace yuccachute {

/// Runs handlers one after the other, so that what they share needs no lock. A VM offers less than one core:
/// more threads would add memory and switches and no speed. Only post() and stop() may be called from other
/// threads.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs handlers until stop().
    void run();
    /// Runs handlers until there is nothing to do or the time is over. Returns whether any ran.
    bool runFor(milliseconds time);
    void stop();
    /// Runs the function on the loop's thread, later.
    void post(std::function<void()> work);
    /// Calls the function on the loop's thread at the first of these signals and each one after it.
    void onSignals(std::initializer_list<int> signals, std::function<void(int)> handler);

    /// For the transports that wait on this loop.
    boost::asio::io_context& context();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

/// Calls a function once, later, on the loop's thread. Arming it again replaces the earlier call; it is
/// dropped with the timer.
class loop_timer {
public:
    explicit loop_timer(event_loop& loop);
    ~loop_timer();
    loop_timer(loop_timer&&) noexcept;
    loop_timer& operator=(loop_timer&&) noexcept;
    loop_timer(const loop_timer&) = delete;
    loop_timer& operator=(const loop_timer&) = delete;

    void arm(std::chrono::nanoseconds delay, std::function<void()> work);
    void armAt(steady_time when, std::function<void()> work);
    void cancel();
    bool armed() const;

private:
    struct impl;
    std::shared_ptr<impl> m_impl;
};

/// Calls a function again and again at an interval, on the loop's thread, until it is destroyed.
class loop_ticker {
public:
    loop_ticker(event_loop& loop, milliseconds interval, std::function<void()> work);

private:
    void arm();

    loop_timer m_timer;
    milliseconds m_interval;
    std::function<void()> m_work;
};

/// Milliseconds since 1970, for what is stored. Clocks of VMs differ and may jump: nothing is decided by it
/// alone.
std::int64_t wallClockMs();

} // namespace yuccachute
