#include "../src/item_routing.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

route batchRoute(std::string prefix, std::string service, unsigned maxAttempts = 3, int expirySeconds = 60)
{
    route made;
    made.name = prefix;
    made.host = "h";
    made.prefix = std::move(prefix);
    made.kind = request_kind::batch;
    made.shares = { { std::move(service), 1 } };
    made.maxAttempts = maxAttempts;
    made.expiry = std::chrono::seconds { expirySeconds };
    made.completionWindow = milliseconds { 18000 };
    return made;
}

routing_table tableOf(std::vector<route> routes)
{
    routing_table table;
    table.routes = std::move(routes);
    return table;
}

bulk_record recordOf(std::string path, const std::vector<std::string>& itemPaths)
{
    bulk_record record { "job", "h", 1, {}, "" };
    for (const auto& itemPath : itemPaths)
        record.items.push_back({ "item", itemPath, {}, "", 1 });
    record.path = std::move(path);
    return record;
}

} // namespace

// Guards against items that are sent where the route of another item, or of the submission, leads.
TEST_CASE("an item follows the longest prefix of its own path")
{
    const auto record = recordOf("/a/job", { "/a/b/1", "/a/2", "/c/3" });
    const auto table = tableOf({ batchRoute("/a/", "one"), batchRoute("/a/b/", "two") });
    CHECK(routeOfItem(table, record, 0)->prefix == "/a/b/");
    CHECK(routeOfItem(table, record, 1)->prefix == "/a/");
    CHECK(routeOfItem(table, record, 2) == nullptr);
    CHECK(routeOfSubmission(table, record)->prefix == "/a/");
}

// Guards against items that are given up before their own route, or that of the submission, allows it.
TEST_CASE("the more patient route decides when an item is given up")
{
    const auto table = tableOf({ batchRoute("/a/", "one", 5, 60), batchRoute("/b/", "two", 2, 90),
        batchRoute("/c/", "three", 1, 30) });
    const auto limitsOf = [&](const std::string& submission, const std::string& item) {
        return limitsOfItem(table, recordOf(submission, { item }), 0);
    };
    CHECK(limitsOf("/a/", "/a/").maxAttempts == 5);
    CHECK(limitsOf("/a/", "/b/").maxAttempts == 5);
    CHECK(limitsOf("/b/", "/a/").maxAttempts == 5);
    CHECK(limitsOf("/a/", "/b/").expiry == std::chrono::seconds { 90 });
    CHECK(limitsOf("/a/", "/c/").expiry == std::chrono::seconds { 60 });
    // After three times the attempts of its own route an item may not run again.
    CHECK(limitsOf("/a/", "/c/").maxAttempts == 3);
    // One of the routes is gone.
    CHECK(limitsOf("/gone/", "/b/").maxAttempts == 2);
    CHECK(limitsOf("/a/", "/gone/").expiry == std::chrono::seconds { 60 });
    CHECK(shortestExpiry(table) == std::chrono::seconds { 30 });
}

// Guards against limits of a live route, which has none for items, in place of those of the job.
TEST_CASE("a route that is not for batch jobs sets no limits")
{
    auto live = batchRoute("/a/live/", "one", 9, 0);
    live.kind = request_kind::streaming;
    const auto table = tableOf({ batchRoute("/a/", "one", 3, 60), live });
    const auto limits = limitsOfItem(table, recordOf("/a/job", { "/a/live/1" }), 0);
    CHECK(limits.maxAttempts == 3);
    CHECK(limits.expiry == std::chrono::seconds { 60 });
    CHECK(routeOfSubmission(table, recordOf("/a/live/job", { "/a/live/1" })) == nullptr);
}

TEST_CASE("the due time is fixed when a job is accepted, and taken from the configuration for older records")
{
    const auto table = tableOf({ batchRoute("/a/", "one") });
    auto record = recordOf("/a/job", { "/a/1" });
    CHECK(completionWindowOf(nullptr, record) == milliseconds { 0 });
    CHECK(completionWindowOf(&table, record) == milliseconds { 18000 });
    record.completionWindow = milliseconds { 7000 };
    CHECK(completionWindowOf(&table, record) == milliseconds { 7000 });
    CHECK(completionWindowOf(nullptr, record) == milliseconds { 7000 });
}

// Guards against items that begin anew each time the weights of their route's services change.
TEST_CASE("an item stays at the service that made its events while its route leads there")
{
    auto split = batchRoute("/a/", "one");
    const bulk_item item { "item", "/a/1", {}, "", 1 };
    CHECK(serviceOfItem(split, item, "two") == "one");
    split.shares.push_back({ "two", 1 });
    CHECK(serviceOfItem(split, item, "one") == "one");
    CHECK(serviceOfItem(split, item, "two") == "two");
}

// Guards against items that are given up by a configuration that lacks the routes of a newer one.
TEST_CASE("a configuration decides about jobs that it, or an older one, accepted")
{
    auto table = tableOf({ batchRoute("/a/", "one") });
    table.version = 7;
    auto record = recordOf("/a/job", { "/a/1" });
    CHECK(canDecide(table, record)); // Of a release that did not store the version.
    record.configuration = 7;
    CHECK(canDecide(table, record));
    record.configuration = 8;
    CHECK(!canDecide(table, record));
}
