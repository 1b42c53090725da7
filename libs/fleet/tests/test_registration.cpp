#include "fleet_fixtures.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

/// A store that executes writes under its conditions and can lose one, which it then executes later.
class late_store final : public async_store {
public:
    explicit late_store(event_loop& loop)
        : m_loop(loop)
    {
    }
    void get(std::string_view, callback<std::optional<stored_value>>) override { }
    void list(std::string_view, callback<store_listing>) override { }
    void commit(const store_transaction& transaction, callback<commit_outcome> done) override
    {
        if (std::exchange(loseNext, false)) {
            m_lost = transaction;
            return m_loop.post(
                [done] { done(mayHaveRun(failure_kind::timeout, "no answer from the store")); });
        }
        m_loop.post([done, outcome = execute(transaction)] { done(outcome); });
    }
    void waitForChange(std::string_view, std::int64_t, milliseconds, callback<store_changes>) override { }
    void grantLease(milliseconds, callback<std::int64_t> done) override
    {
        m_loop.post([done, lease = ++leases] { done(lease); });
    }
    void renewLease(std::int64_t, callback<bool> done) override
    {
        m_loop.post([done] { done(true); });
    }
    void endLease(std::int64_t lease, callback<bool>) override
    {
        std::erase_if(values, [lease](const auto& entry) { return entry.second.lease == lease; });
    }

    void executeLost() { execute(m_lost); }

    std::map<std::string, stored_value> values;
    std::int64_t leases = 0;
    bool loseNext = false;

private:
    commit_outcome execute(const store_transaction& transaction)
    {
        commit_outcome outcome;
        outcome.applied = true;
        for (const auto& condition : transaction.conditions) {
            const auto found = values.find(condition.key);
            outcome.applied = (found == values.end() ? 0 : found->second.modRevision) == condition.revision;
            if (!outcome.applied && found != values.end())
                outcome.found.push_back(found->second);
        }
        if (!outcome.applied)
            return outcome;
        outcome.revision = ++m_revision;
        for (const auto& write : transaction.writes)
            values[write.key] = { write.key, write.value, m_revision, m_revision, write.lease };
        return outcome;
    }

    event_loop& m_loop;
    store_transaction m_lost;
    std::int64_t m_revision = 0;
};

const node_record self { "store-1", node_role::batch, "zone-a", "127.0.0.1:1", 1, false };

bool listed(const late_store& store)
{
    return store.values.contains(nodeKey(self));
}

} // namespace

// Guards against a running process whose registration is gone for good: its first write was executed late and
// tied the record to a lease that ends.
TEST_CASE("a write that is executed late does not replace the record of a newer lease")
{
    event_loop loop;
    late_store store(loop);
    registration registered(loop, store, self, {});
    store.loseNext = true;
    registered.start();
    runUntil(loop, [&] { return listed(store); });
    REQUIRE(store.leases == 2);
    store.executeLost();
    store.endLease(1, nullptr);
    CHECK(listed(store));
}

TEST_CASE("a process replaces the record of its last start, and its own after a lapse")
{
    event_loop loop;
    late_store store(loop);
    store.values[nodeKey(self)] = { nodeKey(self), "former", 3, 3, 9 };
    registration registered(loop, store, self, { milliseconds { 4000 }, milliseconds { 10 } });
    registered.start();
    runUntil(loop, [&] { return store.values[nodeKey(self)].lease == 1; });
    CHECK(store.values[nodeKey(self)].value == encodeNode(self));
    registered.leave();
    runUntil(loop, [&] { return store.values[nodeKey(self)].value != encodeNode(self); });
    auto leaving = self;
    leaving.leaving = true;
    CHECK(store.values[nodeKey(self)].value == encodeNode(leaving));
}
