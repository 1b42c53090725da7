#include "../src/job_admission.h"
#include "fake_store.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace yuccachute;

namespace {

/// A job of two items with 100 tokens each.
bulk_record record(std::string id)
{
    return { std::move(id), "h", 1, { { "i0", "/p", {}, "b", 100 }, { "i1", "/p", {}, "b", 100 } } };
}

/// The parts of a batch process that accept jobs.
struct node {
    node(event_loop& loop, fake_store& store, std::string vm)
        : jobStore(loop, store, { std::move(vm), 1 }, 100000)
        , admission(store, jobStore)
    {
    }

    std::optional<result<bulk_job_store::creation>> submit(
        const std::string& id, std::uint64_t maxTokens = 500)
    {
        std::optional<result<bulk_job_store::creation>> outcome;
        admission.create(record(id), { "r", maxTokens },
            [&](result<bulk_job_store::creation> created) { outcome.emplace(std::move(created)); });
        return outcome;
    }
    bool accepted(const std::string& id, std::uint64_t maxTokens = 500)
    {
        const auto outcome = submit(id, maxTokens);
        return outcome && *outcome;
    }
    bool refused(const std::string& id, std::uint64_t maxTokens = 500)
    {
        const auto outcome = submit(id, maxTokens);
        return outcome && !*outcome && outcome->error().kind == failure_kind::limited
            && outcome->error().ran == verdict::not_run && outcome->error().retryAfter.count() > 0;
    }

    bulk_job_store jobStore;
    job_admission admission;
};

struct fixture {
    void commit(node& by, const std::string& id, std::uint32_t index, std::int64_t revision,
        std::size_t number, std::optional<std::uint64_t> left)
    {
        const bulk_result_group group { "t" + std::to_string(index), { { index, true, "x" } } };
        std::optional<result<bulk_job_store::commit_result>> outcome;
        by.jobStore.commit(id, { number, group, revision, left == 0, left },
            [&](result<bulk_job_store::commit_result> committed) { outcome.emplace(std::move(committed)); });
        REQUIRE(outcome->value() == bulk_job_store::commit_result::committed);
    }
    /// Pending tokens of all open jobs in the store.
    std::uint64_t pendingTokens()
    {
        std::uint64_t tokens = 0;
        one.jobStore.listOpen([&](result<bulk_job_store::open_jobs> open) {
            for (const auto& job : open.value().jobs)
                tokens += job.tokensRemaining;
        });
        return tokens;
    }
    // Longer than a listing counts as fresh (400 ms).
    void pause() { std::this_thread::sleep_for(milliseconds { 450 }); }

    event_loop loop;
    fake_store store;
    node one { loop, store, "vm1" };
    node two { loop, store, "vm2" };
};

} // namespace

// Guards against processes that count only their own jobs: three of them accepted three times the limit.
TEST_CASE("a route's limit holds across all processes")
{
    fixture f;
    CHECK(f.one.accepted("a"));
    CHECK(f.two.accepted("b"));
    CHECK(f.one.refused("c"));
    CHECK(f.two.refused("c"));
    CHECK(f.pendingTokens() == 400);
    CHECK(f.two.accepted("a")); // The job already exists, so the limit does not matter.
    CHECK(f.one.accepted("c", 0)); // No limit.
    f.pause();
    CHECK(f.two.refused("d", 700));
    CHECK(f.two.accepted("d", 800));
}

TEST_CASE("the limit holds if a failed transaction does not return the changed keys")
{
    fixture f;
    f.store.returnsConditionKeys = false;
    CHECK(f.one.accepted("a"));
    CHECK(f.two.accepted("b"));
    CHECK(f.two.accepted("b"));
    CHECK(f.one.refused("c"));
}

TEST_CASE("committed results and cancelled jobs free capacity")
{
    fixture f;
    const auto a = f.one.submit("a");
    CHECK(f.one.accepted("b"));
    CHECK(f.two.refused("c"));
    f.commit(f.one, "a", 0, a->value().openRevision, 0, 100);
    f.pause();
    CHECK(f.pendingTokens() == 300);
    CHECK(f.two.accepted("c"));
    CHECK(f.one.refused("d"));
    f.commit(f.one, "a", 1, a->value().openRevision, 1, 0);
    f.pause();
    CHECK(f.pendingTokens() == 400);
    f.one.jobStore.end("b", [](const auto& ended) { CHECK(ended); });
    f.pause();
    CHECK(f.pendingTokens() == 200);
    CHECK(f.one.accepted("d"));
    CHECK(f.two.refused("e"));
}

TEST_CASE("a limit lowered below the pending tokens rejects new jobs and keeps existing ones")
{
    fixture f;
    CHECK(f.one.accepted("a"));
    CHECK(f.one.accepted("b"));
    CHECK(f.two.refused("c", 100));
    CHECK(f.two.accepted("a", 100));
    CHECK(f.pendingTokens() == 400);
}

TEST_CASE("a taken-over job keeps its claim")
{
    fixture f;
    CHECK(f.one.accepted("a"));
    f.two.jobStore.listOpen([&](result<bulk_job_store::open_jobs> open) {
        f.two.jobStore.takeOver(
            open.value().jobs.at(0), [](result<std::int64_t> taken) { CHECK(taken.value() != 0); });
    });
    CHECK(f.pendingTokens() == 200);
    CHECK(f.two.refused("b", 300));
}

// Guards against a creation that the store executes seconds after its reply was lost: the job was reported as
// rejected and ran nevertheless, or was created on top of jobs that had used up the limit.
TEST_CASE("a job whose creation may still be executed is not rejected, and cannot exceed the limit later")
{
    fixture f;
    CHECK(f.one.accepted("a"));
    f.store.faults.assign(3, fake_store::fault::executed_late);
    const auto unknown = f.one.submit("b");
    REQUIRE(unknown);
    REQUIRE(!*unknown);
    CHECK(unknown->error().ran == verdict::may_have_run);
    CHECK(f.two.accepted("c"));
    f.store.executeDelayed();
    CHECK(f.pendingTokens() == 400);
    CHECK(f.one.refused("b"));
}

TEST_CASE("a creation that took effect is detected after its reply was lost")
{
    fixture f;
    f.store.faults = { fake_store::fault::reply_lost };
    CHECK(f.one.accepted("a"));
    CHECK(f.pendingTokens() == 200);
    f.store.faults = { fake_store::fault::refused };
    const auto refused = f.one.submit("b");
    REQUIRE(!*refused);
    CHECK(refused->error().ran == verdict::not_run);
    CHECK(f.pendingTokens() == 200);
}

// Cost of the limit: one call per job, and one more if another process created the previous job.
TEST_CASE("accepting a job costs one call while there is capacity, two if another process was last")
{
    fixture f;
    f.one.accepted("a", 100000);
    f.two.accepted("b", 100000);
    f.one.accepted("e", 100000); // The limit is new to both processes, so their listings are fresh.
    f.two.accepted("f", 100000);
    const auto before = f.store.commits;
    const auto listings = f.store.listings;
    f.two.accepted("c", 100000);
    CHECK(f.store.commits == before + 1);
    f.one.accepted("d", 100000);
    CHECK(f.store.commits == before + 3);
    CHECK(f.store.listings == listings);
}

TEST_CASE("jobs created before the route had a limit are counted")
{
    fixture f;
    CHECK(f.one.accepted("a", 0));
    CHECK(f.one.accepted("b", 0));
    CHECK(f.two.refused("c"));
}
