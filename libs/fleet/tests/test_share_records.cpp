#include "fleet_fixtures.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

/// A store that grants every lease and keeps committed values.
class recording_store final : public async_store {
public:
    explicit recording_store(event_loop& loop)
        : m_loop(loop)
    {
    }
    void get(std::string_view, callback<std::optional<stored_value>> done) override
    {
        m_loop.post([done] { done(std::optional<stored_value>()); });
    }
    void list(std::string_view prefix, callback<store_listing> done) override
    {
        m_loop.post([done, listing = listingWithPrefix(values, prefix)] { done(listing); });
    }
    void commit(const store_transaction& transaction, callback<commit_outcome> done) override
    {
        ++commits;
        for (const auto& write : transaction.writes) {
            values[write.key] = write.value;
            leases[write.key] = write.lease;
        }
        for (const auto& removal : transaction.removals)
            values.erase(removal.key);
        m_loop.post([done] { done(commit_outcome { true, 6, {} }); });
    }
    void waitForChange(std::string_view, std::int64_t, milliseconds, callback<store_changes>) override { }
    void grantLease(milliseconds, callback<std::int64_t> done) override
    {
        m_loop.post([done] { done(std::int64_t { 7 }); });
    }
    void renewLease(std::int64_t, callback<bool> done) override
    {
        m_loop.post([done] { done(true); });
    }
    void endLease(std::int64_t, callback<bool>) override { }

    std::map<std::string, std::string> values;
    std::map<std::string, std::int64_t> leases;
    unsigned commits = 0;

private:
    event_loop& m_loop;
};

const node_record entry { "edge-1", node_role::entry, "zone-a", "127.0.0.1:1", 1, false };

} // namespace

// Guards against entries that take over the share of a partitioned entry whose registration has lapsed.
TEST_CASE("an entry's share record outlives its registration, but is removed when the entry leaves")
{
    event_loop loop;
    recording_store store(loop);
    registration registered(loop, store, entry, {});
    registered.start();
    loop.runFor(milliseconds { 50 });
    REQUIRE(store.values.contains(shareKey("edge-1")));
    CHECK(store.leases[nodeKey(entry)] == 7);
    CHECK(store.leases[shareKey("edge-1")] == 0);
    CHECK(store.commits == 1);
    registered.leave();
    CHECK(!store.values.contains(shareKey("edge-1")));
    CHECK(store.values.contains(nodeKey(entry)));
    CHECK(store.commits == 2);
}

TEST_CASE("batch processes own no share of the limits")
{
    event_loop loop;
    recording_store store(loop);
    auto batch = entry;
    batch.role = node_role::batch;
    registration registered(loop, store, batch, {});
    registered.start();
    loop.runFor(milliseconds { 50 });
    CHECK(store.values.contains(nodeKey(batch)));
    CHECK(!store.values.contains(shareKey("edge-1")));
}

TEST_CASE("share records are listed separately from the registered processes")
{
    event_loop loop;
    recording_store store(loop);
    store.values[nodeKey(entry)] = encodeNode(entry);
    store.values[shareKey("edge-1")] = encodeShare({ "edge-1", "zone-a", "127.0.0.1:1" });
    store.values[shareKey("edge-9")] = encodeShare({ "edge-9", "zone-c", "127.0.0.1:9" });
    store.values[shareKey("edge-7")] = "nonsense";
    metrics figures;
    observed_store observed(store, figures);
    rpc_client client { {} };
    const minimal_codec codec;
    const auto ignore = [] {};
    fleet_watch watch(loop, observed, client, codec, entry, { {} }, { ignore, [](auto) {}, ignore, ignore });
    watch.start();
    runUntil(loop, [&] { return !watch.shareRecords().empty(); });
    REQUIRE(watch.shareRecords().size() == 2);
    CHECK(watch.shareRecords()[1].vm == "edge-9");
    CHECK(watch.shareRecords()[1].zone == "zone-c");
    CHECK(watch.shareRecords()[1].address == "127.0.0.1:9");
    CHECK(watch.registered(node_role::entry).size() == 1);
    CHECK(watch.nodes(node_role::batch).empty());
}
