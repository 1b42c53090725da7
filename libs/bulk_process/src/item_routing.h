#pragma once

#include "bulk/bulk.h"
#include "routing/routing.h"

namespace yuccachute {

/// What the configuration in force says about the items of batch jobs. Each item runs as a request to its own
/// path, so these functions are called with the configuration of the moment at which an item is sent, has
/// failed or may have expired, and nothing that they return is kept. No I/O.

/// Limits on the runs of an item.
struct item_limits {
    unsigned maxAttempts = 1; ///< Number of failures after which the item is abandoned.
    milliseconds expiry { 0 }; ///< Age of the job from which on the item may be abandoned.
};

/// Whether a configuration may decide about a job: it is not older than the one by which the job was
/// accepted, whose routes an older one may lack.
bool canDecide(const routing_table& table, const bulk_record& record);

/// The route of an item's own path; null if there is none.
const route* routeOfItem(const routing_table& table, const bulk_record& record, std::uint32_t index);

/// The batch route under which the job was submitted; null if there is none.
const route* routeOfSubmission(const routing_table& table, const bulk_record& record);

/// Limits by the item's own route and that of the submission. Where they differ, the item is given up by the
/// more patient one, but tried at most three times as often as its own route allows.
item_limits limitsOfItem(const routing_table& table, const bulk_record& record, std::uint32_t index);

/// The shortest expiry that any item can have under this configuration.
milliseconds shortestExpiry(const routing_table& table);

/// Time from the acceptance of a job to its last result; 0 if there is no due time, or it is unknown.
milliseconds completionWindowOf(const routing_table* table, const bulk_record& record);

/// The service at which an item is to run: the one that made its events as long as its route leads there, so
/// that they are not lost when the route is split among services in another ratio.
const std::string& serviceOfItem(
    const route& itemRoute, const bulk_item& item, const std::optional<std::string>& origin);

} // namespace yuccachute
