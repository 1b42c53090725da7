#include "../src/open_lookup.h"
#include "fake_store.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

/// Replies asynchronously, like a real store.
class slow_store final : public async_store {
public:
    slow_store(event_loop& loop, fake_store& store)
        : m_loop(loop)
        , m_store(store)
    {
    }
    void get(std::string_view key, callback<std::optional<stored_value>> done) override
    {
        ++gets;
        if (away)
            return later(std::move(done))(notRun(failure_kind::unavailable, "503"));
        m_store.get(key, later(std::move(done)));
    }
    void list(std::string_view prefix, callback<store_listing> done) override
    {
        ++lists;
        if (away)
            return later(std::move(done))(notRun(failure_kind::unavailable, "503"));
        m_store.list(prefix, later(std::move(done)));
    }
    void commit(const store_transaction& transaction, callback<commit_outcome> done) override
    {
        m_store.commit(transaction, std::move(done));
    }
    void waitForChange(std::string_view, std::int64_t, milliseconds, callback<store_changes>) override { }
    void grantLease(milliseconds, callback<std::int64_t>) override { }
    void renewLease(std::int64_t, callback<bool>) override { }
    void endLease(std::int64_t, callback<bool>) override { }

    unsigned gets = 0;
    unsigned lists = 0;
    bool away = false;

private:
    template <typename T> callback<T> later(callback<T> done)
    {
        return [this, done = std::move(done)](result<T> outcome) {
            m_loop.post([done, outcome = std::move(outcome)] { done(outcome); });
        };
    }
    event_loop& m_loop;
    fake_store& m_store;
};

struct fixture {
    fixture()
    {
        for (const std::string id : { "a", "b", "c" })
            jobStore.create(
                { id, "h", 1, { { "i0", "/p", {}, "b", 1 } } }, {}, [](result<bulk_job_store::creation>) {});
    }
    /// Takes longer than two consecutive calls.
    void run()
    {
        for (int i = 0; i < 30; ++i)
            loop.runFor(milliseconds { 10 });
    }
    void lookUp(const std::string& id)
    {
        lookup.lookUp(id, [this, id](result<std::optional<bulk_job_store::open_job>> open) {
            ++answers;
            failures += open ? 0 : 1;
            if (open && open.value())
                holders += id + "=" + open.value()->holder.vm + ";";
        });
    }

    event_loop loop;
    fake_store values;
    slow_store store { loop, values };
    bulk_job_store jobStore { loop, store, { "vm1", 1 }, 1u << 20 };
    open_lookup lookup { loop, jobStore };
    unsigned answers = 0;
    unsigned failures = 0;
    std::string holders;
};

} // namespace

// Guards against one store call per lookup after all processes restart: callers that poll 250 jobs twice per
// second caused 3,700 calls in 4 s. The 40 lookups below took 40 calls, and now take 2.
TEST_CASE("lookups of many jobs share one call")
{
    fixture f;
    f.lookUp("a");
    for (int i = 0; i < 13; ++i) {
        for (const auto* id : { "a", "b", "gone" })
            f.lookUp(id);
    }
    f.run();
    CHECK(f.answers == 40);
    CHECK(f.failures == 0);
    CHECK(f.store.gets + f.store.lists == 2);
    CHECK(f.holders.find("b=vm1;") != std::string::npos);
    CHECK(f.holders.find("gone") == std::string::npos);
}

TEST_CASE("a lookup is answered by the next call, not by an earlier one")
{
    fixture f;
    f.lookUp("a");
    f.lookUp("b");
    f.run();
    REQUIRE(f.answers == 2);
    f.lookUp("new");
    f.jobStore.create(
        { "new", "h", 1, { { "i0", "/p", {}, "b", 1 } } }, {}, [](result<bulk_job_store::creation>) {});
    f.run();
    CHECK(f.holders.ends_with("new=vm1;"));
}

TEST_CASE("a failed call fails all its lookups, and the next call is sent")
{
    fixture f;
    f.store.away = true;
    f.lookUp("a");
    f.lookUp("b");
    f.run();
    CHECK(f.failures == 2);
    f.store.away = false;
    f.lookUp("a");
    f.lookUp("b");
    f.run();
    CHECK(f.answers == 4);
    CHECK(f.failures == 2);
}
