#include "limit_gate.h"

namespace yuccachute {

namespace {

constexpr milliseconds noLoansRetry { 250 };

bool isLimited(const slot_request& ask)
{
    return ask.workClass == work_class::live;
}

} // namespace

std::optional<failure> limit_gate::admit(const slot_request& ask, steady_time now)
{
    if (!m_limits || !isLimited(ask) || !m_limits->limits(ask.customer))
        return std::nullopt;
    const auto wait = m_limits->tryAcquire(ask.customer, ask.begun, now);
    if (wait.count() == 0) {
        m_waiting.insert_or_assign({ ask.holder, ask.id }, ask.customer);
        return std::nullopt;
    }
    // Other dispatchers may have what this one has not borrowed yet.
    if (m_limits->isAwaitingLoans(now))
        return notRun(
            failure_kind::unavailable, "this entry does not hold its part of the limits yet", noLoansRetry);
    return notRun(failure_kind::limited, "the customer's limit is reached", wait);
}

void limit_gate::granted(std::uint64_t session, std::uint64_t slotRequestId)
{
    m_waiting.erase({ session, slotRequestId });
}

void limit_gate::dropped(std::uint64_t session, std::uint64_t slotRequestId, steady_time now)
{
    const auto found = m_waiting.find({ session, slotRequestId });
    if (found == m_waiting.end())
        return;
    m_limits->refund(found->second, now);
    m_waiting.erase(found);
}

void limit_gate::sessionClosed(std::uint64_t session, steady_time now)
{
    const auto first = m_waiting.lower_bound({ session, 0 });
    const auto last = m_waiting.lower_bound({ session + 1, 0 });
    for (auto ask = first; ask != last; ++ask)
        m_limits->refund(ask->second, now);
    m_waiting.erase(first, last);
}

void limit_gate::released(const slot_request* ask, grant_outcome outcome, steady_time now)
{
    const bool ran = outcome != grant_outcome::refused && outcome != grant_outcome::unused;
    if (m_limits && ask && isLimited(*ask) && !ran)
        m_limits->refund(ask->customer, now);
}

} // namespace yuccachute
