#pragma once

#include "routing/routing.h"
#include "verdict/verdict.h"

#include <string_view>

/// Tells which customer a caller belongs to. Layer: state. No I/O.
namespace yuccachute {

/// The customer on whose behalf a request is served.
struct caller_identity {
    /// Null on a route that is open to all, and in a deployment without customers. Lives as long as the
    /// table.
    const customer_description* customer = nullptr;

    std::string_view name() const { return customer ? std::string_view(customer->name) : std::string_view(); }
};

/// Identifies the caller of a request on a route. Fails with unauthorized if the route wants a key and nobody
/// holds this one. The failure does not repeat the key.
result<caller_identity> authenticate(const routing_table& table, const route& matched, std::string_view key);

/// The same for a call on an existing job, which names a host but no route: a key may be missing only where a
/// batch route of the host is open to all.
result<caller_identity> authenticateJobCall(
    const routing_table& table, std::string_view host, std::string_view key);

} // namespace yuccachute
