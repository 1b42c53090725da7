#include "live_admission.h"

#include <algorithm>
#include <cmath>

namespace yuccachute {

namespace {

constexpr milliseconds minRetryAfter { 1000 };
constexpr milliseconds unavailableRetryAfter { 2000 };
constexpr double previousAverageWeight = 0.9;

double movingAverage(double average, double value)
{
    return average == 0 ? value : previousAverageWeight * average + (1 - previousAverageWeight) * value;
}

} // namespace

milliseconds live_admission::expectedWait(const slot_request& request, serving_class servingClass,
    std::size_t revocableSlots, steady_time now) const
{
    double slots = 0; // In slots of nominal pace: a slot at half the pace serves half as many requests.
    for (const auto& [name, target] : m_table.targets()) {
        if (!acceptsVersion(request, target.description) || !m_table.usable(target, now))
            continue;
        // A target that has not reported yet is not counted as full here: it will report within milliseconds,
        // and the request can wait for that.
        const auto usedByOthers = target.load.hasReported() ? m_table.slotsUsedByOthers(target, now) : 0;
        const auto total = m_table.slotsOf(target, now);
        slots += (total - std::min(total, usedByOthers)) * m_table.paceOf(target, now);
    }
    if (slots == 0)
        return unavailableRetryAfter;
    const bool fair = m_options.order == fair_queue::order::fair;
    const auto& queue = m_queue.queueOf(request, servingClass);
    const auto waiting = fair ? queue.sizeOf(request.customer) : queue.size();
    const auto ahead = static_cast<double>(waiting - std::min(waiting, revocableSlots));
    const double share = fair ? queue.shareOf(request.customer, request.weight) : 1;
    const auto before = static_cast<double>(m_queue.sizeBefore(servingClass));
    return milliseconds { std::llround(
        ahead * m_serviceTimeMs / slots / share + before * m_serviceTimeMs / slots) };
}

failure live_admission::overloadRefusal(
    const slot_request& request, serving_class servingClass, std::string message, steady_time now)
{
    const auto wait = expectedWait(request, servingClass, 0, now);
    if (request.immediate) // The sender can request the slot again and wait in the queue.
        return notRun(failure_kind::overloaded, std::move(message), wait);
    m_overloadPeriods.recordRefusal(now);
    return notRun(
        failure_kind::overloaded, std::move(message), std::max(wait, m_overloadPeriods.retryDelay(now)));
}

std::optional<failure> live_admission::refusalOf(
    const slot_request& request, std::size_t revocableSlots, steady_time now)
{
    if (!m_table.anyUsable(now))
        return notRun(
            failure_kind::unavailable, "no target of this service can be used now", unavailableRetryAfter);
    if (!m_table.anyUsable(request, now))
        return notRun(failure_kind::unavailable,
            "no target of software version " + *request.version + ", which began the stream, can be used now",
            unavailableRetryAfter);
    if (request.workClass == work_class::bulk)
        return std::nullopt;
    const auto servingClass = servingClassOf(request, now);
    const auto wait = expectedWait(request, servingClass, revocableSlots, now);
    const auto waiting = m_queue.queueOf(request, servingClass).sizeOf(request.customer);
    if (waiting - std::min(waiting, revocableSlots) >= request.queueLimit)
        return notRun(failure_kind::overloaded, "too many requests of this customer are waiting",
            std::max(wait, minRetryAfter));
    if (!request.immediate && now + wait * m_options.waitMargin > request.deadline)
        return overloadRefusal(
            request, servingClass, "the expected wait in the queue exceeds the request's timeout", now);
    return std::nullopt;
}

void live_admission::recordServiceTime(steady_time::duration held, double pace)
{
    const auto heldMs = std::chrono::duration<double, std::milli>(held).count();
    m_serviceTimeMs = movingAverage(m_serviceTimeMs, heldMs * pace);
}

} // namespace yuccachute
