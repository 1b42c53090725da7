#include "link.h"

namespace yuccachute {

std::uint64_t running_calls::add(std::function<void()> cancel)
{
    const std::scoped_lock lock(m_mutex);
    const auto call = m_next++;
    m_cancelFunctions.emplace(call, std::move(cancel));
    return call;
}

void running_calls::remove(std::uint64_t call)
{
    std::function<void()> dropped; // Destroyed after the mutex is unlocked.
    const std::scoped_lock lock(m_mutex);
    const auto found = m_cancelFunctions.find(call);
    if (found == m_cancelFunctions.end())
        return;
    dropped = std::move(found->second);
    m_cancelFunctions.erase(found);
    if (m_cancelFunctions.empty())
        m_allEnded.notify_all();
}

void running_calls::cancelAndWait()
{
    std::unique_lock lock(m_mutex);
    const auto cancels = m_cancelFunctions;
    lock.unlock();
    for (const auto& [call, cancel] : cancels)
        cancel();
    lock.lock();
    m_allEnded.wait(lock, [this] { return m_cancelFunctions.empty(); });
}

} // namespace yuccachute
