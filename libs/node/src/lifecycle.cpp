#include "node/node.h"

#include <thread>

namespace yuccachute {

void work_counter::begin()
{
    const std::scoped_lock lock(m_mutex);
    ++m_running;
}

void work_counter::end()
{
    const std::scoped_lock lock(m_mutex);
    --m_running;
    m_changed.notify_all();
}

bool work_counter::waitIdle(milliseconds limit)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, limit, [this] { return m_running == 0; });
}

unsigned work_counter::running() const
{
    const std::scoped_lock lock(m_mutex);
    return m_running;
}

struct periodic_thread::impl {
    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    bool woken = false;
    std::thread thread;
};

periodic_thread::periodic_thread(milliseconds interval, std::function<void()> work)
    : m_impl(std::make_unique<impl>())
{
    m_impl->thread = std::thread([state = m_impl.get(), interval, work = std::move(work)] {
        std::unique_lock lock(state->mutex);
        while (!state->stopping) {
            state->woken = false;
            lock.unlock();
            work();
            lock.lock();
            state->changed.wait_for(lock, interval, [&] { return state->stopping || state->woken; });
        }
    });
}

periodic_thread::~periodic_thread()
{
    {
        const std::scoped_lock lock(m_impl->mutex);
        m_impl->stopping = true;
        m_impl->changed.notify_all();
    }
    m_impl->thread.join();
}

void periodic_thread::wake()
{
    const std::scoped_lock lock(m_impl->mutex);
    m_impl->woken = true;
    m_impl->changed.notify_all();
}

} // namespace yuccachute
