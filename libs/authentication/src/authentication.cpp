#include "authentication/authentication.h"

#include <algorithm>

namespace yuccachute {

namespace {

result<caller_identity> authenticateKey(
    const routing_table& table, bool allowsAnonymous, std::string_view key)
{
    if (table.customers.empty())
        return caller_identity {};
    const auto* customer = table.customers.byKey(key);
    if (customer || allowsAnonymous)
        return caller_identity { customer };
    return notRun(
        failure_kind::unauthorized, key.empty() ? "a key is wanted" : "the key belongs to no customer");
}

} // namespace

result<caller_identity> authenticate(const routing_table& table, const route& matched, std::string_view key)
{
    return authenticateKey(table, matched.allowsAnonymous, key);
}

result<caller_identity> authenticateJobCall(
    const routing_table& table, std::string_view host, std::string_view key)
{
    const bool allowsAnonymous
        = key.empty() && std::any_of(table.routes.begin(), table.routes.end(), [&](const route& candidate) {
              return candidate.kind == request_kind::batch && candidate.allowsAnonymous
                  && candidate.host == host;
          });
    return authenticateKey(table, allowsAnonymous, key);
}

} // namespace yuccachute
