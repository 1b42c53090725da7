#include "dispatch/dispatch.h"

#include <algorithm>

namespace yuccachute {

std::string_view toString(work_class workClass)
{
    return workClass == work_class::live ? "live" : "bulk";
}

std::string groupName(std::string_view service, std::string_view zone, std::size_t number)
{
    return std::string(service) + '/' + std::string(zone) + '/' + std::to_string(number);
}

void fair_queue::push(slot_request ask, steady_time now)
{
    auto& customer = m_customers[ask.customer];
    customer.weight = std::max(ask.weight, 1e-6);
    const double start = std::max(m_virtualTime, customer.lastFinish);
    customer.lastFinish = start + std::max(ask.cost, 1.0) / customer.weight;
    const bool overdue = ask.due <= now;
    waiting joining { std::move(ask), start, m_arrivals++, now, overdue };
    auto place = customer.asks.end();
    if (m_order == order::due)
        place = std::upper_bound(customer.asks.begin(), customer.asks.end(), joining,
            [](const waiting& left, const waiting& right) { return left.dueBefore(right); });
    customer.asks.insert(place, std::move(joining));
    ++m_size;
}

std::size_t fair_queue::sizeOf(std::string_view customer) const
{
    const auto found = m_customers.find(customer);
    return found == m_customers.end() ? 0 : found->second.asks.size();
}

double fair_queue::shareOf(std::string_view customer, double weight) const
{
    double others = 0;
    for (const auto& [name, backlog] : m_customers) {
        if (name != customer && !backlog.asks.empty())
            others += backlog.weight;
    }
    return weight / (weight + others);
}

bool fair_queue::goesBefore(const waiting& left, const waiting& right) const
{
    switch (m_order) {
    case order::fair:
        return left.start < right.start;
    case order::arrival:
        return left.arrival < right.arrival;
    case order::due:
        return left.dueBefore(right);
    }
    return false;
}

const fair_queue::backlog* fair_queue::next() const
{
    const backlog* best = nullptr;
    for (const auto& [name, candidate] : m_customers) {
        if (candidate.asks.empty())
            continue;
        const auto& head = candidate.asks.front();
        if (!best || goesBefore(head, best->asks.front()))
            best = &candidate;
    }
    return best;
}

const slot_request* fair_queue::front() const
{
    const auto* best = next();
    return best ? &best->asks.front().ask : nullptr;
}

std::pair<slot_request, steady_time> fair_queue::pop()
{
    auto& best = const_cast<backlog&>(*next());
    auto head = std::move(best.asks.front());
    best.asks.pop_front();
    --m_size;
    m_virtualTime = std::max(m_virtualTime, head.start);
    // A customer without backlog whose share is used up no further than the virtual time needs no record.
    std::erase_if(m_customers, [&](const auto& entry) {
        return entry.second.asks.empty() && entry.second.lastFinish <= m_virtualTime;
    });
    return { std::move(head.ask), head.since };
}

template <typename Predicate> std::vector<slot_request> fair_queue::takeIf(Predicate predicate)
{
    std::vector<slot_request> taken;
    for (auto& [name, backlog] : m_customers) {
        auto kept = backlog.asks.begin();
        for (auto& entry : backlog.asks) {
            if (predicate(entry.ask))
                taken.push_back(std::move(entry.ask));
            else if (&*kept++ != &entry)
                *std::prev(kept) = std::move(entry);
        }
        backlog.asks.erase(kept, backlog.asks.end());
    }
    m_size -= taken.size();
    return taken;
}

std::vector<slot_request> fair_queue::takeExpired(steady_time now)
{
    return takeIf([now](const slot_request& ask) { return ask.deadline <= now; });
}

bool fair_queue::remove(std::uint64_t holder, std::uint64_t id)
{
    return !takeIf([=](const slot_request& ask) { return ask.holder == holder && ask.id == id; }).empty();
}

void fair_queue::removeHolder(std::uint64_t holder)
{
    takeIf([=](const slot_request& ask) { return ask.holder == holder; });
}

} // namespace yuccachute
