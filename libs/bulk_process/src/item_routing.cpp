#include "item_routing.h"

#include <algorithm>
#include <functional>

namespace yuccachute {

namespace {

/// Expiry of items whose routes do not configure one.
constexpr std::chrono::hours defaultExpiry { 24 };
/// Users allow three times the attempts of an item's route.
constexpr unsigned maxAttemptsFactor = 3;

milliseconds expiryOf(const route& batchRoute)
{
    return batchRoute.expiry.count() > 0 ? batchRoute.expiry : milliseconds { defaultExpiry };
}

item_limits limitsOf(const route& batchRoute)
{
    return { std::max(1u, batchRoute.maxAttempts), expiryOf(batchRoute) };
}

/// Only batch routes define limits of items.
const route* batchRouteOrNull(const route* found)
{
    return found && found->kind == request_kind::batch ? found : nullptr;
}

} // namespace

bool canDecide(const routing_table& table, const bulk_record& record)
{
    return table.version >= record.configuration;
}

const route* routeOfItem(const routing_table& table, const bulk_record& record, std::uint32_t index)
{
    return table.match(record.host, record.items[index].path);
}

const route* routeOfSubmission(const routing_table& table, const bulk_record& record)
{
    return batchRouteOrNull(table.match(record.host, submissionPath(record)));
}

item_limits limitsOfItem(const routing_table& table, const bulk_record& record, std::uint32_t index)
{
    const auto* own = batchRouteOrNull(routeOfItem(table, record, index));
    const auto* submission = routeOfSubmission(table, record);
    if (!own && !submission)
        return { 1, defaultExpiry };
    if (!own || !submission || own == submission)
        return limitsOf(own ? *own : *submission);
    const auto mine = limitsOf(*own);
    const auto jobs = limitsOf(*submission);
    return { std::min(std::max(mine.maxAttempts, jobs.maxAttempts), maxAttemptsFactor * mine.maxAttempts),
        std::max(mine.expiry, jobs.expiry) };
}

milliseconds shortestExpiry(const routing_table& table)
{
    milliseconds shortest = defaultExpiry;
    for (const auto& one : table.routes) {
        if (one.kind == request_kind::batch)
            shortest = std::min(shortest, expiryOf(one));
    }
    return shortest;
}

milliseconds completionWindowOf(const routing_table* table, const bulk_record& record)
{
    if (record.completionWindow)
        return *record.completionWindow;
    const auto* submission = table ? routeOfSubmission(*table, record) : nullptr;
    return submission ? submission->completionWindow : milliseconds { 0 };
}

const std::string& serviceOfItem(
    const route& itemRoute, const bulk_item& item, const std::optional<std::string>& origin)
{
    if (origin && itemRoute.leadsTo(*origin))
        return *origin;
    return itemRoute.pickService(std::hash<std::string> {}(item.id));
}

} // namespace yuccachute
