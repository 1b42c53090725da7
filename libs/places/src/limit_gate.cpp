#include "limit_gate.h"

namespace yuccachute {

namespace {

constexpr milliseconds awaitingLoansRetryDelay { 250 };

bool isLimited(const slot_request& request)
{
    return request.workClass == work_class::live;
}

} // namespace

std::optional<failure> limit_gate::admit(const slot_request& request, steady_time now)
{
    if (!m_limits || !isLimited(request) || !m_limits->limits(request.customer))
        return std::nullopt;
    const auto wait = m_limits->tryAcquire(request.customer, request.begun, now);
    if (wait.count() == 0) {
        m_tokenHolders.insert_or_assign({ request.holder, request.id }, request.customer);
        return std::nullopt;
    }
    // Other dispatchers may hold tokens that this one has not borrowed yet.
    if (m_limits->isAwaitingLoans(now))
        return notRun(failure_kind::unavailable, "this entry does not hold its part of the limits yet",
            awaitingLoansRetryDelay);
    return notRun(failure_kind::limited, "the customer's limit is reached", wait);
}

void limit_gate::granted(std::uint64_t session, std::uint64_t slotRequestId)
{
    m_tokenHolders.erase({ session, slotRequestId });
}

void limit_gate::dropped(std::uint64_t session, std::uint64_t slotRequestId, steady_time now)
{
    const auto found = m_tokenHolders.find({ session, slotRequestId });
    if (found == m_tokenHolders.end())
        return;
    m_limits->refund(found->second, now);
    m_tokenHolders.erase(found);
}

void limit_gate::sessionClosed(std::uint64_t session, steady_time now)
{
    const auto first = m_tokenHolders.lower_bound({ session, 0 });
    const auto last = m_tokenHolders.lower_bound({ session + 1, 0 });
    for (auto request = first; request != last; ++request)
        m_limits->refund(request->second, now);
    m_tokenHolders.erase(first, last);
}

void limit_gate::released(const slot_request* request, grant_outcome outcome, steady_time now)
{
    const bool ran = outcome != grant_outcome::refused && outcome != grant_outcome::unused;
    if (m_limits && request && isLimited(*request) && !ran)
        m_limits->refund(request->customer, now);
}

} // namespace yuccachute
