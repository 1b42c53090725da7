#include "dispatch/dispatch.h"

#include <algorithm>

namespace yuccachute {

std::string_view toString(work_class workClass)
{
    return workClass == work_class::live ? "live" : "bulk";
}

std::string_view toString(revocation_reason reason)
{
    switch (reason) {
    case revocation_reason::no_figures:
        return "no figures";
    case revocation_reason::late_anyway:
        return "late anyway";
    case revocation_reason::can_end_in_time:
        return "can end in time";
    case revocation_reason::at_risk:
        return "at risk";
    }
    return "";
}

std::string groupName(std::string_view service, std::string_view zone, std::size_t number)
{
    return std::string(service) + '/' + std::string(zone) + '/' + std::to_string(number);
}

void fair_queue::push(slot_request request, steady_time now)
{
    auto& customer = m_customers[request.customer];
    customer.weight = std::max(request.weight, 1e-6);
    const double start = std::max(m_virtualTime, customer.lastFinish);
    customer.lastFinish = start + std::max(request.cost, 1.0) / customer.weight;
    const bool overdue = request.due <= now;
    waiting_request arriving { std::move(request), start, m_arrivals++, now, overdue, std::nullopt };
    auto position = customer.requests.end();
    if (m_order == order::due)
        position = std::upper_bound(customer.requests.begin(), customer.requests.end(), arriving,
            [](const waiting_request& left, const waiting_request& right) { return left.dueBefore(right); });
    customer.requests.insert(position, std::move(arriving));
    ++m_size;
}

std::size_t fair_queue::sizeOf(std::string_view customer) const
{
    const auto found = m_customers.find(customer);
    return found == m_customers.end() ? 0 : found->second.requests.size();
}

double fair_queue::shareOf(std::string_view customer, double weight) const
{
    double others = 0;
    for (const auto& [name, backlog] : m_customers) {
        if (name != customer && !backlog.requests.empty())
            others += backlog.weight;
    }
    return weight / (weight + others);
}

bool fair_queue::precedes(const waiting_request& left, const waiting_request& right) const
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
        if (candidate.requests.empty())
            continue;
        const auto& head = candidate.requests.front();
        if (!best || precedes(head, best->requests.front()))
            best = &candidate;
    }
    return best;
}

const slot_request* fair_queue::front() const
{
    const auto* best = next();
    return best ? &best->requests.front().request : nullptr;
}

std::pair<slot_request, steady_time> fair_queue::pop()
{
    auto& best = const_cast<backlog&>(*next());
    return takeFrom(best, best.requests.begin());
}

std::pair<slot_request, steady_time> fair_queue::takeFrom(
    backlog& customer, std::deque<waiting_request>::iterator position)
{
    auto head = std::move(*position);
    customer.requests.erase(position);
    --m_size;
    m_virtualTime = std::max(m_virtualTime, head.start);
    // A customer that has no backlog and has not used more than its share up to the virtual time needs no
    // record.
    std::erase_if(m_customers, [&](const auto& entry) {
        return entry.second.requests.empty() && entry.second.lastFinish <= m_virtualTime;
    });
    return { std::move(head.request), head.since };
}

void fair_queue::forEach(const std::function<void(const slot_request&, steady_time)>& visit) const
{
    for (const auto& [name, customer] : m_customers) {
        for (const auto& waiting : customer.requests)
            visit(waiting.request, waiting.since);
    }
}

std::optional<std::pair<slot_request, steady_time>> fair_queue::take(std::uint64_t holder, std::uint64_t id)
{
    for (auto& [name, customer] : m_customers) {
        const auto found = std::find_if(
            customer.requests.begin(), customer.requests.end(), [=](const waiting_request& waiting) {
                return waiting.request.holder == holder && waiting.request.id == id;
            });
        if (found != customer.requests.end())
            return takeFrom(customer, found);
    }
    return std::nullopt;
}

template <typename Predicate> std::vector<slot_request> fair_queue::takeIf(Predicate predicate)
{
    std::vector<slot_request> taken;
    for (auto& [name, backlog] : m_customers) {
        auto kept = backlog.requests.begin();
        for (auto& entry : backlog.requests) {
            if (predicate(entry))
                taken.push_back(std::move(entry.request));
            else if (&*kept++ != &entry)
                *std::prev(kept) = std::move(entry);
        }
        backlog.requests.erase(kept, backlog.requests.end());
    }
    m_size -= taken.size();
    return taken;
}

bool fair_queue::letWait(std::uint64_t holder, std::uint64_t id, steady_time until)
{
    for (auto& [name, backlog] : m_customers) {
        for (auto& entry : backlog.requests) {
            if (entry.request.holder != holder || entry.request.id != id)
                continue;
            entry.waitUntil = until;
            return true;
        }
    }
    return false;
}

std::vector<slot_request> fair_queue::takeExpired(steady_time now)
{
    return takeIf([now](const waiting_request& entry) {
        const bool mayWait = !entry.request.immediate || entry.waitUntil.value_or(now) > now;
        return !mayWait || entry.request.deadline <= now;
    });
}

bool fair_queue::remove(std::uint64_t holder, std::uint64_t id)
{
    return !takeIf([=](const waiting_request& entry) {
        return entry.request.holder == holder && entry.request.id == id;
    }).empty();
}

void fair_queue::removeHolder(std::uint64_t holder)
{
    takeIf([=](const waiting_request& entry) { return entry.request.holder == holder; });
}

} // namespace yuccachute
