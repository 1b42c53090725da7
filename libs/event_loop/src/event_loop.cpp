#include "event_loop/event_loop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <optional>

namespace yuccachute {

namespace asio = boost::asio;

struct event_loop::impl {
    // The concurrency hint 1 states that one thread runs the context. Asio still locks its queues, which
    // post() from other threads relies on.
    asio::io_context context { 1 };
    std::optional<asio::signal_set> signals;
    std::function<void(int)> signalHandler;

    void waitForSignal()
    {
        signals->async_wait([this](const boost::system::error_code& error, int signal) {
            if (error)
                return;
            signalHandler(signal);
            waitForSignal();
        });
    }
};

event_loop::event_loop()
    : m_impl(std::make_unique<impl>())
{
}

event_loop::~event_loop() = default;

void event_loop::run()
{
    const auto guard = asio::make_work_guard(m_impl->context);
    m_impl->context.run();
}

bool event_loop::runFor(milliseconds time)
{
    m_impl->context.restart();
    return m_impl->context.run_for(time) > 0;
}

void event_loop::stop()
{
    m_impl->context.stop();
}

void event_loop::post(std::function<void()> callback)
{
    asio::post(m_impl->context, std::move(callback));
}

void event_loop::onSignals(std::initializer_list<int> signals, std::function<void(int)> handler)
{
    m_impl->signalHandler = std::move(handler);
    m_impl->signals.emplace(m_impl->context);
    sigset_t handled {};
    sigemptyset(&handled);
    for (const int signal : signals) {
        m_impl->signals->add(signal);
        sigaddset(&handled, signal);
    }
    // A program inherits the signals that its parent had blocked.
    ::pthread_sigmask(SIG_UNBLOCK, &handled, nullptr);
    m_impl->waitForSignal();
}

asio::io_context& event_loop::context()
{
    return m_impl->context;
}

struct loop_timer::impl {
    explicit impl(asio::io_context& context)
        : timer(context)
    {
    }

    asio::steady_timer timer;
    std::uint64_t generation
        = 0; ///< Incremented by arm and cancel; a queued call of an older generation is ignored.
    bool armed = false;
};

loop_timer::loop_timer(event_loop& loop)
    : m_impl(std::make_shared<impl>(loop.context()))
{
}

loop_timer::~loop_timer()
{
    if (m_impl)
        cancel();
}

loop_timer::loop_timer(loop_timer&&) noexcept = default;

loop_timer& loop_timer::operator=(loop_timer&& other) noexcept
{
    if (m_impl)
        cancel();
    m_impl = std::move(other.m_impl);
    return *this;
}

void loop_timer::arm(std::chrono::nanoseconds delay, std::function<void()> callback)
{
    armAt(std::chrono::steady_clock::now()
            + std::chrono::duration_cast<std::chrono::steady_clock::duration>(delay),
        std::move(callback));
}

void loop_timer::armAt(steady_time when, std::function<void()> callback)
{
    const auto generation = ++m_impl->generation;
    m_impl->armed = true;
    m_impl->timer.expires_at(when);
    m_impl->timer.async_wait([weak = std::weak_ptr<impl>(m_impl), generation, callback = std::move(callback)](
                                 const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (error || !self || self->generation != generation)
            return;
        self->armed = false;
        callback();
    });
}

void loop_timer::cancel()
{
    ++m_impl->generation;
    m_impl->armed = false;
    m_impl->timer.cancel();
}

bool loop_timer::armed() const
{
    return m_impl->armed;
}

loop_ticker::loop_ticker(event_loop& loop, milliseconds interval, std::function<void()> callback)
    : m_timer(loop)
    , m_interval(interval)
    , m_callback(std::move(callback))
{
    arm();
}

void loop_ticker::arm()
{
    m_timer.arm(m_interval, [this] {
        arm();
        m_callback();
    });
}

std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace yuccachute
