#include "limit_exchange.h"

namespace yuccachute {

namespace {

/// A quarter of the shortest interval at which requests to the members become due, so that none is delayed by
/// more.
constexpr milliseconds tickInterval { 25 };

} // namespace

limit_exchange::limit_exchange(
    event_loop& loop, distributed_rate_limiter& limits, std::string ownAddress, environment env)
    : m_limits(limits)
    , m_ownAddress(std::move(ownAddress))
    , m_env(std::move(env))
    , m_timer(loop)
{
}

void limit_exchange::customersChanged()
{
    if (!m_limits.hasLimits())
        return m_timer.cancel();
    if (!m_timer.armed())
        m_timer.arm(tickInterval, [this] { tick(); });
}

void limit_exchange::setMembers(std::span<const limit_member> members)
{
    m_members.assign(members.begin(), members.end());
}

void limit_exchange::tick()
{
    const auto now = std::chrono::steady_clock::now();
    m_limits.setIsDispatcher(m_env.isDispatcher(now), now);
    const auto shareRequest = m_limits.nextShareRequest(now);
    const auto tokenRequest = m_limits.nextTokenRequest(now);
    for (const auto& member : m_members) {
        if (member.address == m_ownAddress
            || (!member.registered && m_env.isUnresponsive(member.address, now)))
            continue;
        if (shareRequest)
            sendTo(member, *shareRequest);
        if (tokenRequest && m_limits.isGranting(member.vm, now))
            sendTo(member, *tokenRequest);
    }
    m_timer.arm(tickInterval, [this] { tick(); });
}

void limit_exchange::sendTo(const limit_member& member, const limit_message& content)
{
    envelope message;
    message.limits.push_back(content);
    m_env.send(member.address, std::move(message));
}

} // namespace yuccachute
