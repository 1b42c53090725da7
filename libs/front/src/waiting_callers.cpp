#include "waiting_callers.h"

#include <algorithm>
#include <utility>

namespace yuccachute {

namespace {

/// The first process that returns after a restart receives what the callers of the whole fleet repeat:
/// several hundred requests a second.
constexpr std::size_t maxWaitingCallers = 512;
/// A fifteenth of the memory of a VM with 120 MB.
constexpr std::size_t maxWaitingBytes = 8u << 20;
/// The store or a peer answers within a few milliseconds, and a request that got no answer is repeated after
/// 250 ms. Callers expect a first event after 300 ms or more.
constexpr milliseconds maxConfigurationWait { 250 };
/// Time that a request still needs once the list is there: a slot and its first event.
constexpr milliseconds servingTime { 50 };

std::size_t sizeOf(const http_request& request)
{
    auto bytes = request.path.size() + request.query.size() + request.target.size() + request.body.size();
    for (const auto& [name, value] : request.headers)
        bytes += name.size() + value.size();
    return bytes;
}

} // namespace

bool satisfied(startup_need need, const startup_state& state)
{
    return state.hasConfiguration && (need == startup_need::configuration || state.hasTargetList);
}

steady_time configurationWaitEnd(steady_time received)
{
    return received + maxConfigurationWait;
}

steady_time targetListWaitEnd(
    steady_time received, milliseconds objective, std::optional<milliseconds> callerTimeout)
{
    const auto usable = std::min(objective, callerTimeout.value_or(objective));
    return received + std::max(usable - servingTime, milliseconds { 0 });
}

bool waiting_callers::add(std::shared_ptr<http_exchange> caller, startup_need need, steady_time end)
{
    const auto bytes = sizeOf(caller->request());
    if (m_waiting.size() >= maxWaitingCallers || m_bytes + bytes > maxWaitingBytes)
        return false;
    const auto id = m_nextId++;
    caller->onCallerGone([this, id, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            remove(id);
    });
    m_waiting.emplace(id, waiting_caller { std::move(caller), need, end, bytes });
    m_bytes += bytes;
    return true;
}

std::vector<waiting_callers::released_caller> waiting_callers::take(
    const startup_state& state, steady_time now)
{
    std::vector<released_caller> released;
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
        auto& waiting = entry->second;
        const bool ready = satisfied(waiting.need, state);
        if (!ready && now < waiting.end) {
            ++entry;
            continue;
        }
        m_bytes -= waiting.bytes;
        waiting.caller->onCallerGone(nullptr);
        released.push_back({ std::move(waiting.caller), !ready });
        entry = m_waiting.erase(entry);
    }
    return released;
}

void waiting_callers::remove(std::uint64_t id)
{
    const auto found = m_waiting.find(id);
    if (found == m_waiting.end())
        return;
    m_bytes -= found->second.bytes;
    m_waiting.erase(found);
}

} // namespace yuccachute
