#pragma once

#include "routing/routing.h"
#include "verdict/verdict.h"

#include <string_view>

/// Authentication of callers: maps an API key to a customer. Layer: state. No I/O.
namespace yuccachute {

/// The customer on whose behalf a request is served.
struct caller_identity {
    /// Null for an anonymous caller and in a deployment without customers. Owned by the routing table.
    const customer_description* customer = nullptr;

    std::string_view name() const { return customer ? std::string_view(customer->name) : std::string_view(); }
};

/// Identifies the caller of a request on a route. Fails with unauthorized if the route requires a key and the
/// given one belongs to no customer. The error message never contains the key.
result<caller_identity> authenticate(const routing_table& table, const route& matched, std::string_view key);

/// Identifies the caller of an operation on an existing job, which has a host but no route. The key may only
/// be missing if a batch route of the host allows anonymous callers.
result<caller_identity> authenticateJobCall(
    const routing_table& table, std::string_view host, std::string_view key);

} // namespace yuccachute
