#include "live_queue.h"

#include "revocation.h"

#include <numeric>
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

bool acceptsVersion(const slot_request& request, const target_description& target)
{
    return !request.version || *request.version == target.version;
}

serving_class servingClassOf(const slot_request& request, steady_time now)
{
    if (request.version)
        return serving_class::bound;
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

template <typename Visit> void live_queue::forEachQueue(Visit visit)
{
    for (auto& [version, queue] : m_bound)
        visit(queue, serving_class::bound);
    visit(m_timely, serving_class::timely);
    visit(m_missed, serving_class::missed);
    std::erase_if(m_bound, [](const auto& entry) { return entry.second.empty(); });
}

void live_queue::setOrder(fair_queue::order order)
{
    m_order = order;
    forEachQueue([order](fair_queue& queue, serving_class) { queue = reordered(std::move(queue), order); });
}

void live_queue::push(slot_request request, steady_time now)
{
    if (request.version) {
        auto& queue = m_bound.try_emplace(*request.version, m_order).first->second;
        return queue.push(std::move(request), now);
    }
    auto& queue = servingClassOf(request, now) == serving_class::missed ? m_missed : m_timely;
    queue.push(std::move(request), now);
}

std::size_t live_queue::boundSize() const
{
    return std::accumulate(m_bound.begin(), m_bound.end(), std::size_t { 0 },
        [](std::size_t sum, const auto& entry) { return sum + entry.second.size(); });
}

std::size_t live_queue::size() const
{
    return boundSize() + m_timely.size() + m_missed.size();
}

const fair_queue& live_queue::queueOf(const slot_request& request, serving_class servingClass) const
{
    static const fair_queue none;
    if (request.version) {
        const auto found = m_bound.find(*request.version);
        return found == m_bound.end() ? none : found->second;
    }
    return servingClass == serving_class::missed ? m_missed : m_timely;
}

std::size_t live_queue::sizeBefore(serving_class servingClass) const
{
    switch (servingClass) {
    case serving_class::bound:
        return 0;
    case serving_class::timely:
        return boundSize();
    case serving_class::missed:
        return boundSize() + m_timely.size();
    }
    return 0;
}

std::vector<const slot_request*> live_queue::heads() const
{
    std::vector<const slot_request*> heads;
    for (const auto& [version, queue] : m_bound)
        heads.push_back(queue.front());
    if (const auto* next = unbound().front())
        heads.push_back(next);
    return heads;
}

std::pair<slot_request, steady_time> live_queue::pop(const slot_request& head)
{
    if (!head.version)
        return m_timely.empty() ? m_missed.pop() : m_timely.pop();
    const auto found = m_bound.find(*head.version);
    auto popped = found->second.pop();
    if (found->second.empty())
        m_bound.erase(found);
    return popped;
}

std::vector<steady_time> live_queue::latestGrantTimes(const slot_request& request) const
{
    std::vector<steady_time> latest;
    forEach([&](const slot_request& waiting, steady_time since) {
        if (!request.version || waiting.version == request.version)
            latest.push_back(latestGrantTime(waiting, since));
    });
    return latest;
}

void live_queue::forEach(const std::function<void(const slot_request&, steady_time since)>& visit) const
{
    for (const auto& [version, queue] : m_bound)
        queue.forEach(visit);
    m_timely.forEach(visit);
    m_missed.forEach(visit);
}

std::vector<live_queue::expired_request> live_queue::takeExpired(steady_time now)
{
    std::vector<expired_request> expired;
    forEachQueue([&](fair_queue& queue, serving_class servingClass) {
        for (auto& request : queue.takeExpired(now))
            expired.push_back({ std::move(request), servingClass });
    });
    return expired;
}

void live_queue::letWait(std::uint64_t holder, std::uint64_t id, steady_time until)
{
    forEachQueue([&](fair_queue& queue, serving_class) { queue.letWait(holder, id, until); });
}

bool live_queue::remove(std::uint64_t holder, std::uint64_t id)
{
    bool removed = false;
    forEachQueue([&](fair_queue& queue, serving_class) { removed = queue.remove(holder, id) || removed; });
    return removed;
}

void live_queue::removeHolder(std::uint64_t holder)
{
    forEachQueue([&](fair_queue& queue, serving_class) { queue.removeHolder(holder); });
}

} // namespace yuccachute
