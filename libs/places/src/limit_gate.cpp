#include "limit_gate.h"

#include <algorithm>

namespace yuccachute {

namespace {

constexpr milliseconds awaitingLoansRetryDelay { 250 };
/// Other processes transfer tokens within a tenth of this time, if they are in reach. If not, the caller may
/// reach another entry that holds tokens.
constexpr milliseconds maxPartExhaustedRetryDelay { 250 };
/// Time from a slot grant to the first event at the caller with a healthy target on a busy VM. A request that
/// has less than this left for its objective cannot meet it.
constexpr milliseconds expectedFirstEventDelay { 50 };

bool isLimited(const slot_request& request)
{
    return request.workClass == work_class::live;
}

} // namespace

token_need limit_gate::needOf(const slot_request& request, milliseconds objective) const
{
    // A live request is queued only after it was refused at once.
    token_need need { request.begun, std::nullopt, !request.immediate };
    // A request of age 0 is never late, even if the objective is shorter than the delay.
    if (m_customerShares && objective.count() > 0)
        need.timeUntilLate = std::max(objective - expectedFirstEventDelay, milliseconds { 1 }) - request.age;
    return need;
}

std::optional<failure> limit_gate::admit(const slot_request& request, milliseconds objective, steady_time now)
{
    if (!m_limits || !isLimited(request) || !m_limits->limits(request.customer))
        return std::nullopt;
    const auto need = needOf(request, objective);
    const auto decision = m_limits->acquire(request.customer, need, now);
    if (decision.refusal == token_refusal::none) {
        m_tokenHolders.insert_or_assign(
            { request.holder, request.id }, token_holder { request.customer, need.isLate() });
        return std::nullopt;
    }
    // Other dispatchers may hold tokens that this one has not borrowed yet.
    if (m_limits->isAwaitingLoans(now))
        return notRun(failure_kind::unavailable, "this entry does not hold its part of the limits yet",
            awaitingLoansRetryDelay);
    if (m_customerShares && decision.refusal == token_refusal::part_exhausted)
        return notRun(failure_kind::unavailable,
            "the part of the customer's limit that this entry can reach is used up",
            std::min(decision.retryAfter, maxPartExhaustedRetryDelay));
    if (decision.refusal == token_refusal::kept_for_timely)
        return notRun(failure_kind::limited,
            "the customer's limit is reached; what is left of it is kept for requests that can be on time",
            decision.retryAfter);
    return notRun(failure_kind::limited, "the customer's limit is reached", decision.retryAfter);
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
    refund(found->second, now);
    m_tokenHolders.erase(found);
}

void limit_gate::sessionClosed(std::uint64_t session, steady_time now)
{
    const auto first = m_tokenHolders.lower_bound({ session, 0 });
    const auto last = m_tokenHolders.lower_bound({ session + 1, 0 });
    for (auto request = first; request != last; ++request)
        refund(request->second, now);
    m_tokenHolders.erase(first, last);
}

void limit_gate::refund(const token_holder& holder, steady_time now)
{
    m_limits->refund(holder.customer, now, holder.isLate);
}

void limit_gate::released(
    const slot_request* request, grant_outcome outcome, milliseconds objective, steady_time now)
{
    const bool ran = outcome != grant_outcome::refused && outcome != grant_outcome::unused;
    if (m_limits && request && isLimited(*request) && !ran)
        refund({ request->customer, needOf(*request, objective).isLate() }, now);
}

} // namespace yuccachute
