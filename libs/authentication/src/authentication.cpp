#include "authentication/authentication.h"

#include <algorithm>

namespace yuccachute {

namespace {

result<caller_identity> identify(const routing_table& table, bool openToAll, std::string_view key)
{
    if (table.customers.empty())
        return caller_identity {};
    const auto* customer = table.customers.byKey(key);
    if (customer || openToAll)
        return caller_identity { customer };
    return notRun(
        failure_kind::unauthorized, key.empty() ? "a key is wanted" : "the key belongs to no customer");
}

} // namespace

result<caller_identity> authenticate(const routing_table& table, const route& matched, std::string_view key)
{
    return identify(table, matched.openToAll, key);
}

result<caller_identity> authenticateJobCall(
    const routing_table& table, std::string_view host, std::string_view key)
{
    const bool openToAll
        = key.empty() && std::any_of(table.routes.begin(), table.routes.end(), [&](const route& candidate) {
              return candidate.kind == request_kind::batch && candidate.openToAll && candidate.host == host;
          });
    return identify(table, openToAll, key);
}

} // namespace yuccachute
