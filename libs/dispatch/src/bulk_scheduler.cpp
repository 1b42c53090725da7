#include "bulk_scheduler.h"

#include "live_admission.h"

#include <algorithm>

namespace yuccachute {

namespace {

constexpr milliseconds adaptationInterval { 100 };

} // namespace

void bulk_scheduler::setOrder(fair_queue::order order)
{
    m_queue = reordered(std::move(m_queue), order);
}

bulk_policy_input bulk_scheduler::policyInput(std::size_t liveWaiting, steady_time now) const
{
    bulk_policy_input policyInput;
    for (const auto& [name, target] : m_table.targets()) {
        if (!m_table.usable(target, now))
            continue;
        policyInput.slots += m_table.slotsOf(target, now);
        policyInput.live += target.live + m_table.slotsUsedByOthers(target, now);
        ++policyInput.targets;
    }
    policyInput.liveWaiting = static_cast<unsigned>(liveWaiting);
    policyInput.arrivals = m_arrivals.p95Arrivals(now);
    policyInput.window = m_window;
    return policyInput;
}

bool bulk_scheduler::mayStart(std::size_t liveWaiting, steady_time now)
{
    if (m_queue.empty() || liveWaiting > 0)
        return false;
    unsigned running = 0;
    for (const auto& [name, target] : m_table.targets())
        running += target.bulk;
    const auto current = policyInput(liveWaiting, now);
    if (running < bulkAllowance(m_options.policy, current))
        return true;
    // The window may grow only if work was held back while slots were free.
    m_windowFull = m_windowFull || current.live + running < current.slots;
    return false;
}

/// Selects as many bulk grants as live requests are waiting. If a revoked item loses its progress, the grants
/// given last are revoked first; if it can be resumed, overdue items are first and then those due last.
std::vector<std::uint64_t> bulk_scheduler::grantsToRevoke(std::size_t liveWaiting, steady_time now) const
{
    if (!revokesBulkGrants(m_options.policy) || liveWaiting == 0)
        return {};
    auto candidates = m_table.revocableGrants();
    std::reverse(candidates.begin(), candidates.end());
    if (std::holds_alternative<spare_bulk>(m_options.policy)) {
        const auto revokedFirst = [&](std::uint64_t left, std::uint64_t right) {
            const auto& one = m_table.findGrant(left)->request.due;
            const auto& other = m_table.findGrant(right)->request.due;
            const bool overdue = one <= now;
            return overdue != (other <= now) ? overdue : one > other;
        };
        std::stable_sort(candidates.begin(), candidates.end(), revokedFirst);
    }
    candidates.resize(std::min(candidates.size(), liveWaiting));
    return candidates;
}

void bulk_scheduler::recordLiveWait(milliseconds waited)
{
    if (const auto* adaptive = std::get_if<adaptive_bulk>(&m_options.policy))
        m_liveDelayed = m_liveDelayed || waited > adaptive->maxLiveWait;
}

void bulk_scheduler::recordFirstToken(milliseconds firstToken)
{
    if (const auto* adaptive = std::get_if<adaptive_bulk>(&m_options.policy))
        m_liveDelayed = m_liveDelayed || firstToken > adaptive->firstTokenObjective;
}

void bulk_scheduler::tick(steady_time now)
{
    if (now < m_nextAdaptation)
        return;
    m_nextAdaptation = now + adaptationInterval;
    m_window = adaptWindow(m_window, m_liveDelayed, m_windowFull);
    m_liveDelayed = false;
    m_windowFull = false;
}

} // namespace yuccachute
