#include "link.h"

namespace yuccachute {

std::uint64_t running_calls::add(std::function<void()> cancel)
{
    const std::scoped_lock lock(m_mutex);
    const auto call = m_next++;
    m_cancels.emplace(call, std::move(cancel));
    return call;
}

void running_calls::remove(std::uint64_t call)
{
    std::function<void()> dropped; // What it holds goes after the lock.
    const std::scoped_lock lock(m_mutex);
    const auto found = m_cancels.find(call);
    if (found == m_cancels.end())
        return;
    dropped = std::move(found->second);
    m_cancels.erase(found);
    if (m_cancels.empty())
        m_allEnded.notify_all();
}

void running_calls::cancelAndWait()
{
    std::unique_lock lock(m_mutex);
    const auto cancels = m_cancels;
    lock.unlock();
    for (const auto& [call, cancel] : cancels)
        cancel();
    lock.lock();
    m_allEnded.wait(lock, [this] { return m_cancels.empty(); });
}

} // namespace yuccachute
