#include "routing/routing.h"

#include <algorithm>
#include <numeric>

namespace yuccachute {

std::string_view toString(request_kind kind)
{
    switch (kind) {
    case request_kind::safe:
        return "safe";
    case request_kind::unsafe:
        return "unsafe";
    case request_kind::streaming:
        return "streaming";
    case request_kind::batch:
        return "batch";
    }
    return "unknown";
}

const std::string& route::pickService(std::uint64_t number) const
{
    const auto total = std::accumulate(shares.begin(), shares.end(), std::uint64_t { 0 },
        [](std::uint64_t sum, const service_share& share) { return sum + share.weight; });
    auto offset = total == 0 ? 0 : number % total;
    for (const auto& share : shares) {
        if (offset < share.weight)
            return share.service;
        offset -= share.weight;
    }
    return shares.front().service;
}

bool route::leadsTo(std::string_view service) const
{
    return std::any_of(
        shares.begin(), shares.end(), [&](const auto& share) { return share.service == service; });
}

const route* routing_table::match(std::string_view host, std::string_view path) const
{
    const route* best = nullptr;
    for (const auto& candidate : routes) {
        const bool fits = candidate.host == host && path.starts_with(candidate.prefix);
        if (fits && (!best || candidate.prefix.size() > best->prefix.size()))
            best = &candidate;
    }
    return best;
}

const route* routing_table::findRoute(std::string_view name) const
{
    for (const auto& candidate : routes) {
        if (candidate.name == name)
            return &candidate;
    }
    return nullptr;
}

service_objectives longestObjectives(const routing_table& table)
{
    service_objectives longest;
    for (const auto& route : table.routes) {
        if (route.kind == request_kind::batch)
            continue;
        for (const auto& share : route.shares) {
            auto& objective = longest[share.service];
            objective = std::max(objective, route.objective);
        }
    }
    return longest;
}

} // namespace yuccachute
