#include "limit_exchange.h"

namespace yuccachute {

namespace {

/// Of the shortest interval at which members are asked, a quarter: questions are not late by more.
constexpr milliseconds tickInterval { 25 };

} // namespace

limit_exchange::limit_exchange(event_loop& loop, fleet_limits& limits, std::string ownAddress, sender send,
    std::function<bool(steady_time)> dispatches)
    : m_limits(limits)
    , m_ownAddress(std::move(ownAddress))
    , m_send(std::move(send))
    , m_dispatches(std::move(dispatches))
    , m_timer(loop)
{
}

void limit_exchange::customersChanged()
{
    if (!m_limits.limitsAny())
        return m_timer.cancel();
    if (!m_timer.armed())
        m_timer.arm(tickInterval, [this] { tick(); });
}

void limit_exchange::setMembers(std::span<const dispatcher_info> members)
{
    m_members.assign(members.begin(), members.end());
}

void limit_exchange::tick()
{
    const auto now = std::chrono::steady_clock::now();
    m_limits.setDispatches(m_dispatches(now), now);
    const auto ask = m_limits.takeShareAsk(now);
    const auto request = m_limits.takeTokenRequest(now);
    for (const auto& member : m_members) {
        if (member.address == m_ownAddress)
            continue;
        if (ask)
            sendTo(member, *ask);
        if (request && m_limits.grants(member.vm, now))
            sendTo(member, *request);
    }
    m_timer.arm(tickInterval, [this] { tick(); });
}

void limit_exchange::sendTo(const dispatcher_info& member, const limit_message& content)
{
    envelope message;
    message.limits.push_back(content);
    m_send(member.address, std::move(message));
}

} // namespace yuccachute
