#include "batch/batch.h"

#include <catch2/catch.hpp>

using namespace yuccachute;
using namespace std::chrono_literals;

namespace {

std::vector<job_item> makeItems(std::size_t count)
{
    std::vector<job_item> items;
    for (std::size_t i = 0; i < count; ++i)
        items.push_back({ "i" + std::to_string(i), "p", 4, true });
    return items;
}

job_record makeRecord(const std::string& token, std::uint32_t items, std::uint32_t chunks = 1)
{
    job_record record;
    record.id = "job1";
    record.customer = "armor";
    record.service = "screening";
    record.token = token;
    record.itemsHash = 42;
    record.items = items;
    record.chunks = chunks;
    record.retentionMs = 1000;
    return record;
}

struct fixture {
    memory_store store;
    job_store jobs { store };
    std::int64_t lease = store.grantLease(10s).value();

    job_store::create_result create(const std::string& token, std::size_t items = 3)
    {
        return jobs.create(makeRecord(token, static_cast<std::uint32_t>(items)), packItems(makeItems(items)))
            .value();
    }

    /// Loses the reply of the next call with this name, after the call took effect.
    void loseReply(const std::string& call)
    {
        store.fault = [this, call](std::string_view name) -> std::optional<failure> {
            if (name != call)
                return std::nullopt;
            store.fault = nullptr;
            return mayHaveRun(failure_kind::unavailable, "lost");
        };
    }
};

job_run runAll(const job_store::stored_job& job)
{
    job_run run(job.record, makeItems(job.record.items), job.progress);
    while (const auto item = run.next({}))
        run.finished(item->index, { item_outcome::kind::completed, "t", 1, {} }, {});
    return run;
}

} // namespace

// Guards against running a job twice when its caller loses the connection and submits it again to another VM.
TEST_CASE("a resent submission returns the existing job, also when the reply of the store was lost")
{
    fixture f;
    f.loseReply("commit");
    CHECK(!f.create("first").existed);
    const auto again = f.create("second");
    CHECK(again.existed);
    CHECK(again.job.record.token == "first");
    auto other = makeRecord("third", 3);
    other.itemsHash = 43;
    CHECK(f.jobs.create(other, packItems(makeItems(3))).error().kind == failure_kind::conflict);
    CHECK(f.jobs.readItems(again.job.record).value().size() == 3);
}

TEST_CASE("a failed submission reports not_run only if the job was certainly not stored")
{
    fixture f;
    f.store.fault
        = [](std::string_view) { return std::optional(mayHaveRun(failure_kind::unavailable, "down")); };
    CHECK(f.jobs.create(makeRecord("t", 1), packItems(makeItems(1))).error().ran == verdict::not_run);
    bool committing = false;
    f.store.fault = [&](std::string_view call) -> std::optional<failure> {
        committing = committing || call == "commit";
        return committing ? std::optional(mayHaveRun(failure_kind::unavailable, "down")) : std::nullopt;
    };
    CHECK(f.jobs.create(makeRecord("t", 1), packItems(makeItems(1))).error().ran == verdict::may_have_run);
}

// Guards against memory reserved for the number of items that a stored record states, which ended the
// process.
TEST_CASE("a record that states more items than are stored cannot be read")
{
    fixture f;
    const auto job = f.create("first");
    auto record = job.job.record;
    record.items = 4294967295;
    const auto read = f.jobs.readItems(record);
    REQUIRE(!read);
    CHECK(read.error().message.find("number of stored items") != std::string::npos);
}

// Guards against two results for an item: a holder is paused until its lease lapses, another process claims
// the job and commits, and then the first holder resumes and commits the same items.
TEST_CASE("a replaced holder cannot commit")
{
    fixture f;
    const auto job = f.create("t").job;
    const auto epoch = f.jobs.claim("job1", "a", f.lease, job.progressRevision).value();
    REQUIRE(epoch);
    const auto otherLease = f.store.grantLease(60s).value();
    CHECK(!f.jobs.claim("job1", "b", otherLease, job.progressRevision).value());
    auto paused = runAll(job);
    f.store.expireLeases(std::chrono::steady_clock::now() + 20s);
    const auto lease = f.store.grantLease(10s).value();
    const auto next = f.jobs.claim("job1", "b", lease, job.progressRevision).value();
    REQUIRE(next);
    CHECK(*next > *epoch);
    CHECK(!f.jobs.commit(job.record, paused.beginCommit("old", 1), *epoch, job.progressRevision).value());
    auto current = runAll(job);
    CHECK(f.jobs.commit(job.record, current.beginCommit("new", 1), *next, job.progressRevision).value());
    CHECK(f.jobs.read("job1").value().progress.resultChunks == 1);
    CHECK(f.jobs.read("job1").value().progress.state == job_state::completed);
}

TEST_CASE(
    "a commit whose reply was lost is verified by reading, and a commit that was not sent can be retried")
{
    fixture f;
    const auto job = f.create("t").job;
    const auto epoch = f.jobs.claim("job1", "a", f.lease, job.progressRevision).value();
    auto run = runAll(job);
    const auto commit = run.beginCommit("c1", 1);
    f.store.fault = [&](std::string_view call) -> std::optional<failure> {
        if (call != "commit")
            return std::nullopt;
        return notRun(failure_kind::limited, "too many requests");
    };
    CHECK(f.jobs.commit(job.record, commit, *epoch, job.progressRevision).error().ran == verdict::not_run);
    f.loseReply("commit");
    const auto revision = f.jobs.commit(job.record, commit, *epoch, job.progressRevision).value();
    REQUIRE(revision);
    CHECK(*revision == f.jobs.read("job1").value().progressRevision);
}

// Guards against a race between a cancel and the last commit of a job, after which a job reported as
// cancelled would still get results or keep running.
TEST_CASE("a cancelled job refuses commits and a completed job cannot be cancelled")
{
    fixture f;
    const auto job = f.create("t").job;
    const auto epoch = f.jobs.claim("job1", "a", f.lease, job.progressRevision).value();
    auto run = runAll(job);
    CHECK(f.jobs.cancel("job1", "x", 5).value().progress.state == job_state::cancelled);
    CHECK(!f.jobs.commit(job.record, run.beginCommit("c", 6), *epoch, job.progressRevision).value());
    CHECK(f.jobs.scan().value().open.empty());

    fixture g;
    const auto second = g.create("t").job;
    const auto held = g.jobs.claim("job1", "a", g.lease, second.progressRevision).value();
    auto finishing = runAll(second);
    CHECK(
        g.jobs.commit(second.record, finishing.beginCommit("c", 6), *held, second.progressRevision).value());
    CHECK(g.jobs.cancel("job1", "x", 7).value().progress.state == job_state::completed);
}

TEST_CASE("results stay readable for the retention time, then the job is reported as gone")
{
    fixture f;
    const auto job = f.create("t").job;
    const auto epoch = f.jobs.claim("job1", "a", f.lease, job.progressRevision).value();
    auto run = runAll(job);
    f.jobs.commit(job.record, run.beginCommit("c", 5000), *epoch, job.progressRevision).value();
    CHECK(f.jobs.removeExpired(5999, 10).value() == 0);
    CHECK(f.jobs.readResults("job1", 0).value()->find("\"i2\"") != std::string::npos);
    CHECK(f.jobs.removeExpired(6001, 10).value() == 1);
    CHECK(f.jobs.read("job1").error().kind == failure_kind::gone);
    CHECK(!f.jobs.readResults("job1", 0).value());
    CHECK(f.jobs.create(makeRecord("again", 3), packItems(makeItems(3))).error().kind == failure_kind::gone);
}
