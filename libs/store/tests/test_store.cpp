#include "store/store.h"

#include <catch2/catch.hpp>

using namespace yuccachute;
using namespace std::chrono_literals;

namespace {

store_transaction createIfAbsent(std::string key, std::string value, std::int64_t lease = 0)
{
    store_transaction transaction;
    transaction.conditions.push_back({ store_condition::kind::absent, key, 0 });
    transaction.readOtherwise.push_back(key);
    transaction.writes.push_back({ std::move(key), std::move(value), lease });
    return transaction;
}

} // namespace

TEST_CASE("a transaction compares and writes atomically")
{
    memory_store store;
    const auto first = store.commit(createIfAbsent("/a", "1"));
    REQUIRE(first);
    CHECK(first.value().applied);
    const auto second = store.commit(createIfAbsent("/a", "2"));
    REQUIRE(second);
    CHECK(!second.value().applied);
    CHECK(second.value().found.at(0).value == "1");
    CHECK(store.get("/a").value()->createRevision == first.value().revision);
    CHECK(!store.get("/b").value());
}

TEST_CASE("a listing continues after a given key")
{
    memory_store store;
    for (const char* key : { "/x/1", "/x/2", "/x/3", "/y/1" })
        store.commit(createIfAbsent(key, "v")).value();
    const auto page = store.list("/x/", {}, 2).value();
    CHECK(page.more);
    CHECK(page.values.size() == 2);
    const auto rest = store.list("/x/", page.values.back().key, 2).value();
    CHECK(!rest.more);
    CHECK(rest.values.at(0).key == "/x/3");
    CHECK(prefixEnd("/x/") == "/x0");
}

TEST_CASE("keys are deleted when their lease expires, and watches see every change in order")
{
    memory_store store;
    std::vector<std::string> seen;
    store.commit(createIfAbsent("/w/0", "old")).value();
    const auto from = store.get("/w/0").value()->modRevision;
    auto watch = store.watch(
        "/w/", from,
        [&](std::span<const store_event> events, std::int64_t) {
            for (const auto& event : events)
                seen.push_back((event.removed ? "-" : "+") + event.value.key);
        },
        [] {});
    const auto lease = store.grantLease(1s).value();
    store.commit(createIfAbsent("/w/1", "v", lease)).value();
    CHECK(store.renewLease(lease));
    store.expireLeases(std::chrono::steady_clock::now() + 2s);
    CHECK(seen == std::vector<std::string> { "+/w/0", "+/w/1", "-/w/1" });
    CHECK(store.renewLease(lease).error().kind == failure_kind::not_found);
    CHECK(store.commit(createIfAbsent("/w/2", "v", lease)).error().ran == verdict::not_run);
}

namespace {

/// A store that completes lease renewals and waitForChange() only when the test invokes their callbacks.
class deferred_store final : public async_store {
public:
    void get(std::string_view, callback<std::optional<stored_value>>) override { }
    void list(std::string_view, callback<store_listing>) override { }
    void commit(const store_transaction&, callback<commit_outcome>) override { }
    void waitForChange(std::string_view, std::int64_t, milliseconds, callback<store_changes> done) override
    {
        pendingWait = std::move(done);
    }
    void grantLease(milliseconds, callback<std::int64_t>) override { }
    void renewLease(std::int64_t, callback<bool> done) override { pendingRenewal = std::move(done); }
    void endLease(std::int64_t, callback<bool>) override { }

    callback<store_changes> pendingWait;
    callback<bool> pendingRenewal;
};

} // namespace

// Guards against a false outage. The connection of a waitForChange() call breaks unnoticed, and the call
// fails five seconds later while the store has been answering other calls. This used to count as an outage,
// so targets removed during the next two seconds were kept, as if only their leases had expired.
TEST_CASE("a call that fails after later calls were answered does not indicate an outage")
{
    deferred_store deferred;
    metrics registry;
    observed_store store(deferred, registry);
    store.waitForChange("targets/", 1, milliseconds { 30000 }, [](const auto&) {});
    store.renewLease(1, [](const auto&) {});
    deferred.pendingRenewal(true);
    const auto before = store.reachableSince();
    deferred.pendingWait(mayHaveRun(failure_kind::timeout, "connection timed out"));
    CHECK(store.reachable());
    store.renewLease(1, [](const auto&) {});
    deferred.pendingRenewal(true);
    CHECK(store.reachableSince() == before);
    // A failed call that was sent after the last answered one does indicate an outage.
    store.renewLease(1, [](const auto&) {});
    deferred.pendingRenewal(mayHaveRun(failure_kind::timeout, "no answer in time"));
    CHECK(!store.reachable());
    store.renewLease(1, [](const auto&) {});
    deferred.pendingRenewal(true);
    CHECK(store.reachable());
    CHECK(store.reachableSince() > before);
}
