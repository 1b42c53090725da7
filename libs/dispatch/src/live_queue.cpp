#include "live_queue.h"

#include <utility>

namespace yuccachute {

namespace {

/// The deadline is converted to a remaining time when the message is encoded, some milliseconds after its
/// hold time was computed. A sender on a busy VM takes less than the 50 ms after which it asks another
/// dispatcher. Requests that can be on time differ by at least these 50 ms, because senders leave that time
/// for the first event (see ageToSend() in libs/front).
constexpr milliseconds encodingDelay { 40 };

} // namespace

bool missedObjective(const slot_request& request, steady_time now)
{
    if (request.workClass != work_class::live || request.age.count() == 0 || request.begun)
        return false;
    return request.deadline + encodingDelay >= now + request.hold;
}

serving_class servingClassOf(const slot_request& request, steady_time now)
{
    return missedObjective(request, now) ? serving_class::missed : serving_class::timely;
}

fair_queue reordered(fair_queue queue, fair_queue::order order)
{
    fair_queue moved(order);
    while (!queue.empty()) {
        auto [request, since] = queue.pop();
        moved.push(std::move(request), since);
    }
    return moved;
}

void live_queue::setOrder(fair_queue::order order)
{
    m_timely = reordered(std::move(m_timely), order);
    m_missed = reordered(std::move(m_missed), order);
}

void live_queue::push(slot_request request, steady_time now)
{
    auto& queue = servingClassOf(request, now) == serving_class::missed ? m_missed : m_timely;
    queue.push(std::move(request), now);
}

const fair_queue& live_queue::queueOf(serving_class servingClass) const
{
    return servingClass == serving_class::missed ? m_missed : m_timely;
}

std::size_t live_queue::sizeBefore(serving_class servingClass) const
{
    return servingClass == serving_class::missed ? m_timely.size() : 0;
}

void live_queue::forEach(const std::function<void(const slot_request&, steady_time since)>& visit) const
{
    m_timely.forEach(visit);
    m_missed.forEach(visit);
}

std::vector<live_queue::expired_request> live_queue::takeExpired(steady_time now)
{
    std::vector<expired_request> expired;
    for (auto& request : m_timely.takeExpired(now))
        expired.push_back({ std::move(request), serving_class::timely });
    for (auto& request : m_missed.takeExpired(now))
        expired.push_back({ std::move(request), serving_class::missed });
    return expired;
}

void live_queue::letWait(std::uint64_t holder, std::uint64_t id, steady_time until)
{
    if (!m_timely.letWait(holder, id, until))
        m_missed.letWait(holder, id, until);
}

bool live_queue::remove(std::uint64_t holder, std::uint64_t id)
{
    return m_timely.remove(holder, id) || m_missed.remove(holder, id);
}

void live_queue::removeHolder(std::uint64_t holder)
{
    m_timely.removeHolder(holder);
    m_missed.removeHolder(holder);
}

} // namespace yuccachute
