#include "spending_exchange.h"

namespace yuccachute {

namespace {

/// Of the interval at which members tell of themselves, a quarter: reports are not late by more.
constexpr milliseconds tickInterval { 25 };

} // namespace

spending_exchange::spending_exchange(
    event_loop& loop, fleet_limits& limits, std::string ownAddress, sender send)
    : m_limits(limits)
    , m_ownAddress(std::move(ownAddress))
    , m_send(std::move(send))
    , m_timer(loop)
{
}

void spending_exchange::customersChanged()
{
    if (!m_limits.limitsAny())
        return m_timer.cancel();
    if (!m_timer.armed())
        m_timer.arm(tickInterval, [this] { tick(); });
}

void spending_exchange::setMembers(std::span<const dispatcher_info> members)
{
    m_members.assign(members.begin(), members.end());
}

void spending_exchange::tick()
{
    const auto now = std::chrono::steady_clock::now();
    if (const auto regular = m_limits.takeRegularReport(now))
        tell(*regular, true, now);
    else if (const auto urgent = m_limits.takeUrgentReport(now))
        tell(*urgent, false, now);
    m_timer.arm(tickInterval, [this] { tick(); });
}

void spending_exchange::tell(const spending_report& report, bool toAll, steady_time now)
{
    for (const auto& member : m_members) {
        if (member.address == m_ownAddress || (!toAll && !m_limits.grants(member.vm, now)))
            continue;
        envelope message;
        message.spendings.push_back(report);
        m_send(member.address, std::move(message));
    }
}

} // namespace yuccachute
