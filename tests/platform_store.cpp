#include "platform_store.h"
#include "platform/platform.h"

#include <catch2/catch.hpp>

#include <unistd.h>

using namespace yuccachute;

namespace {

/// The adapter against the stand-in of the store, on one loop.
struct fixture {
    template <typename T> result<T> wait(std::optional<result<T>>& outcome, int mostMs = 3000)
    {
        for (int waited = 0; !outcome && waited < mostMs; waited += 10)
            loop.runFor(milliseconds { 10 });
        REQUIRE(outcome);
        return *outcome;
    }
    template <typename T> static std::function<void(result<T>)> into(std::optional<result<T>>& slot)
    {
        return [&slot](result<T> outcome) { slot.emplace(std::move(outcome)); };
    }
    result<std::optional<stored_value>> get(const std::string& key)
    {
        std::optional<result<std::optional<stored_value>>> outcome;
        store->get(key, into(outcome));
        return wait(outcome);
    }
    result<commit_outcome> commit(const store_transaction& transaction)
    {
        std::optional<result<commit_outcome>> outcome;
        store->commit(transaction, into(outcome));
        return wait(outcome);
    }
    result<commit_outcome> put(const std::string& key, const std::string& value, std::int64_t expected)
    {
        store_transaction transaction;
        transaction.conditions.push_back(expected == 0
                ? store_condition { store_condition::kind::absent, key, 0 }
                : store_condition { store_condition::kind::mod_revision, key, expected });
        transaction.writes.push_back({ key, value, 0 });
        return commit(transaction);
    }

    event_loop loop;
    std::string address = "127.0.0.1:" + std::to_string(9000 + ::getpid() % 900);
    standin::platform_store stand { loop, address };
    http_client client { loop, {} };
    std::unique_ptr<async_store> store = platform::connectStore(client, address);
};

} // namespace

TEST_CASE("values of any bytes are written under conditions and read")
{
    fixture f;
    const std::string bytes("\0\xff\n", 3);
    const auto first = f.put("a/key", bytes, 0);
    REQUIRE(first);
    CHECK(first.value().applied);
    CHECK(f.get("a/key").value()->value == bytes);
    CHECK(f.get("a/key").value()->modRevision == first.value().revision);
    CHECK(!f.get("a/other").value());
    CHECK(!f.put("a/key", "x", 0).value().applied);
    CHECK(f.put("a/key", "x", first.value().revision).value().applied);
}

TEST_CASE("a list of several pages is whole")
{
    fixture f;
    for (int i = 0; i < 8; ++i)
        f.put("list/" + std::to_string(i), "v", 0);
    f.put("other", "v", 0);
    std::optional<result<store_listing>> outcome;
    f.store->list("list/", f.into(outcome));
    CHECK(f.wait(outcome).value().values.size() == 8);
}

TEST_CASE("changes are waited for, and a forgotten history is told")
{
    fixture f;
    const auto begin = f.put("w/a", "1", 0).value().revision;
    std::optional<result<store_changes>> outcome;
    f.store->waitForChange("w/", begin, milliseconds { 2000 }, f.into(outcome));
    f.loop.runFor(milliseconds { 50 });
    CHECK(!outcome);
    store_transaction removing;
    removing.removals.push_back({ "w/a", false });
    removing.writes.push_back({ "w/b", "2", 0 });
    f.commit(removing);
    const auto changes = f.wait(outcome).value();
    REQUIRE(changes.events.size() == 2);
    CHECK(changes.revision > begin);
    f.stand.compact();
    outcome.reset();
    f.store->waitForChange("w/", begin, milliseconds { 2000 }, f.into(outcome));
    CHECK(f.wait(outcome).error().kind == failure_kind::gone);
}

TEST_CASE("keys vanish with their lease, and a lapsed lease is told")
{
    fixture f;
    std::optional<result<std::int64_t>> granted;
    f.store->grantLease(milliseconds { 1000 }, f.into(granted));
    const auto lease = f.wait(granted).value();
    store_transaction writing;
    writing.writes.push_back({ "l/a", "1", lease });
    CHECK(f.commit(writing).value().applied);
    std::optional<result<bool>> renewed;
    f.store->renewLease(lease, f.into(renewed));
    CHECK(f.wait(renewed));
    f.stand.revokeAll();
    CHECK(!f.get("l/a").value());
    renewed.reset();
    f.store->renewLease(lease, f.into(renewed));
    CHECK(f.wait(renewed).error().kind == failure_kind::not_found);
    CHECK(f.commit(writing).error().kind == failure_kind::not_found);
}

// Story: a call gets no answer, and its sender takes it for not done; it is executed seconds later.
TEST_CASE("a refused call was not done, one without answer may have been")
{
    fixture f;
    f.stand.faults.busy = true;
    CHECK(f.put("v/a", "1", 0).error().ran == verdict::not_run);
    f.stand.faults.busy = false;
    f.stand.faults.loseAnswers = 1;
    f.stand.faults.executeLaterMs = 100;
    CHECK(f.put("v/a", "1", 0).error().ran == verdict::may_have_run);
    f.stand.faults = {};
    CHECK(f.get("v/a").value()->value == "1");
}

// Guards against reads that are answered after seconds, or not in time for a promise that rests on them:
// their connection has gone silent.
TEST_CASE("calls that may run twice are repeated over a new connection if a silent one does not answer")
{
    fixture f;
    CHECK(f.put("r/a", "1", 0));
    const auto answeredAfterSilence = [&](auto call) {
        f.stand.faults.down = true;
        bool answered = false;
        call(answered);
        f.loop.runFor(milliseconds { 100 });
        f.stand.faults.down = false;
        f.loop.runFor(silentConnectionTimeout);
        return answered;
    };
    CHECK(answeredAfterSilence([&](bool& answered) {
        f.store->get("r/a", [&answered](const auto& found) { answered = found && found.value(); });
    }));
    CHECK(answeredAfterSilence([&](bool& answered) {
        f.store->list("r/", [&answered](const auto& found) { answered = bool(found); });
    }));
    CHECK(answeredAfterSilence([&](bool& answered) {
        f.store->waitForChange(
            "r/", 0, milliseconds { 1 }, [&answered](const auto& found) { answered = bool(found); });
    }));
    std::optional<result<std::int64_t>> granted;
    f.store->grantLease(milliseconds { 2000 }, f.into(granted));
    const auto lease = f.wait(granted).value();
    CHECK(answeredAfterSilence([&](bool& answered) {
        f.store->renewLease(lease, [&answered](const auto& renewed) { answered = bool(renewed); });
    }));
    // A transaction runs once, whatever its conditions say.
    CHECK_FALSE(answeredAfterSilence([&](bool& answered) {
        f.store->commit({}, [&answered](const auto& outcome) { answered = bool(outcome); });
    }));
}
