#include "live_queue.h"

#include <iterator>

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
    (missedObjective(request, now) ? m_missed : m_timely).push(std::move(request), now);
}

const fair_queue& live_queue::queueOf(const slot_request& request, steady_time now) const
{
    return missedObjective(request, now) ? m_missed : m_timely;
}

std::size_t live_queue::sizeBefore(const slot_request& request, steady_time now) const
{
    return missedObjective(request, now) ? m_timely.size() : 0;
}

std::vector<slot_request> live_queue::takeExpired(steady_time now)
{
    auto expired = m_timely.takeExpired(now);
    auto missed = m_missed.takeExpired(now);
    expired.insert(
        expired.end(), std::make_move_iterator(missed.begin()), std::make_move_iterator(missed.end()));
    return expired;
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
