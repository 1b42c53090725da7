#pragma once

#include "verdict/verdict.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

/// Single-threaded event loop for sockets, timers and signals, built on Boost.Asio. Layer: transport.
namespace yuccachute {

/// Runs all handlers on one thread, one at a time, so that data shared between them needs no lock. A VM
/// provides less than one core, so more threads would cost memory and context switches without adding
/// throughput. Only post() and stop() may be called from other threads.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs handlers until stop().
    void run();
    /// Runs handlers until none is pending or the time has elapsed. Returns whether any handler ran.
    bool runFor(milliseconds time);
    void stop();
    /// Queues the function to run on the loop's thread. Never runs it inside this call.
    void post(std::function<void()> callback);
    /// Calls the function on the loop's thread each time the process receives one of these signals.
    void onSignals(std::initializer_list<int> signals, std::function<void(int)> handler);

    /// Gives transports access to the underlying I/O context.
    boost::asio::io_context& context();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

/// One-shot timer that calls a function on the loop's thread. Arming it again replaces the pending call;
/// destroying the timer cancels it.
class loop_timer {
public:
    explicit loop_timer(event_loop& loop);
    ~loop_timer();
    loop_timer(loop_timer&&) noexcept;
    loop_timer& operator=(loop_timer&&) noexcept;
    loop_timer(const loop_timer&) = delete;
    loop_timer& operator=(const loop_timer&) = delete;

    void arm(std::chrono::nanoseconds delay, std::function<void()> callback);
    void armAt(steady_time when, std::function<void()> callback);
    void cancel();
    bool armed() const;

private:
    struct impl;
    std::shared_ptr<impl> m_impl;
};

/// Periodic timer that calls a function on the loop's thread at a fixed interval until it is destroyed.
class loop_ticker {
public:
    loop_ticker(event_loop& loop, milliseconds interval, std::function<void()> callback);

private:
    void arm();

    loop_timer m_timer;
    milliseconds m_interval;
    std::function<void()> m_callback;
};

/// Milliseconds since the Unix epoch, for timestamps in stored data. The clocks of VMs differ and may jump,
/// so no decision may depend on this value alone.
std::int64_t wallClockMs();

} // namespace yuccachute
