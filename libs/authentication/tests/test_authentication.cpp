#include "authentication/authentication.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

routing_table tableWithCustomers()
{
    routing_table table;
    route closed;
    closed.host = "h";
    closed.prefix = "/p/";
    closed.kind = request_kind::streaming;
    route open = closed;
    open.prefix = "/open/";
    open.allowsAnonymous = true;
    table.routes = { closed, open };
    const std::vector<std::string> keys { "key-1", "key-2" };
    table.customers.add({ "firm", 1, 82, 82, 0 }, keys);
    table.customers.add({ "other", 0, 0, 0, 0 }, std::vector<std::string> { "key-3" });
    return table;
}

} // namespace

TEST_CASE("each key of a customer identifies it")
{
    const auto table = tableWithCustomers();
    for (const auto* key : { "key-1", "key-2" })
        CHECK(authenticate(table, table.routes[0], key).value().name() == "firm");
    CHECK(authenticate(table, table.routes[0], "key-3").value().name() == "other");
}

// Guards against requests with revoked or unknown keys, and against keys that reach a log through an error
// message.
TEST_CASE("an unknown key is refused, and the error does not contain it")
{
    const auto table = tableWithCustomers();
    for (const auto* key : { "", "key-", "key-11", "KEY-1", "firm" }) {
        const auto refused = authenticate(table, table.routes[0], key);
        REQUIRE(!refused);
        CHECK(refused.error().kind == failure_kind::unauthorized);
        CHECK(refused.error().ran == verdict::not_run);
        if (std::string_view(key).size() > 0)
            CHECK(refused.error().message.find(key) == std::string::npos);
    }
}

TEST_CASE("a route that allows anonymous callers requires no key, and identifies the customer of a known one")
{
    const auto table = tableWithCustomers();
    CHECK(authenticate(table, table.routes[1], "").value().customer == nullptr);
    CHECK(authenticate(table, table.routes[1], "nobody's").value().customer == nullptr);
    CHECK(authenticate(table, table.routes[1], "key-1").value().name() == "firm");
}

TEST_CASE("a deployment without customers requires no keys")
{
    const routing_table table;
    CHECK(authenticate(table, route {}, "anything").value().customer == nullptr);
    CHECK(authenticateJobCall(table, "h", "").value().customer == nullptr);
}

TEST_CASE("calls on jobs require a key unless a batch route of the host allows anonymous callers")
{
    auto table = tableWithCustomers();
    CHECK(!authenticateJobCall(table, "h", ""));
    CHECK(authenticateJobCall(table, "h", "key-1").value().name() == "firm");
    table.routes[1].kind = request_kind::batch;
    CHECK(authenticateJobCall(table, "h", "").value().customer == nullptr);
    CHECK(!authenticateJobCall(table, "elsewhere", ""));
    CHECK(!authenticateJobCall(table, "h", "nobody's"));
}
