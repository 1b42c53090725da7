#include "fake_store.h"

#include <catch2/catch.hpp>

#include <random>

using namespace yuccachute;

namespace {

bulk_record record(std::string id)
{
    return { std::move(id), "h", 1, { { "i0", "/p", {}, "b", 1 }, { "i1", "/p", {}, "b", 1 } } };
}

/// Smaller than the platform's limit, so that small records are split.
constexpr std::size_t valueBytes = 2000;

bulk_record largeRecord(std::string id, std::size_t bodyBytes)
{
    std::minstd_rand random(1);
    auto made = record(std::move(id));
    for (auto& item : made.items) {
        std::string body;
        for (std::size_t i = 0; i < bodyBytes; ++i)
            body += static_cast<char>(random() >> 8);
        item.body = std::move(body);
    }
    return made;
}

struct fixture {
    template <typename T> std::function<void(result<T>)> into(std::optional<result<T>>& slot)
    {
        return [&slot](result<T> outcome) { slot.emplace(std::move(outcome)); };
    }
    result<bulk_job_store::creation> create(const std::string& id)
    {
        std::optional<result<bulk_job_store::creation>> outcome;
        jobStore.create(record(id), {}, into(outcome));
        return *outcome;
    }
    result<bulk_job_store::stored_job> load(const std::string& id)
    {
        std::optional<result<bulk_job_store::stored_job>> outcome;
        jobStore.load(id, into(outcome));
        return *outcome;
    }
    result<bulk_job_store::commit_result> commit(bulk_job_store& by, std::size_t number,
        const bulk_result_group& group, std::int64_t revision, bool completes)
    {
        std::optional<result<bulk_job_store::commit_result>> outcome;
        by.commit("a", { number, group, revision, completes, std::nullopt }, into(outcome));
        return *outcome;
    }
    result<std::optional<bulk_holder>> end(const std::string& id)
    {
        std::optional<result<std::optional<bulk_holder>>> outcome;
        jobStore.end(id, into(outcome));
        return *outcome;
    }
    bulk_job_store::open_jobs open()
    {
        std::optional<result<bulk_job_store::open_jobs>> outcome;
        jobStore.listOpen(into(outcome));
        return outcome->value();
    }
    std::int64_t takeOver(bulk_job_store& by, const bulk_job_store::open_job& job)
    {
        std::optional<result<std::int64_t>> outcome;
        by.takeOver(job, into(outcome));
        return outcome->value();
    }

    event_loop loop;
    fake_store store;
    const bulk_holder self { "vm1", 1 };
    bulk_job_store jobStore { loop, store, self, valueBytes };
    bulk_job_store other { loop, store, { "vm2", 2 }, valueBytes };
};

const bulk_result_group first { "t1", { { 0, true, "x" } } };
const bulk_result_group second { "t2", { { 1, true, "y" } } };

} // namespace

TEST_CASE("a job that is submitted repeatedly is created once")
{
    fixture f;
    CHECK(f.create("a").value().openRevision == 11);
    CHECK(f.create("a").value().openRevision == 0);
    const auto stored = f.load("a");
    REQUIRE(stored);
    CHECK(stored.value().holder == bulk_holder { "vm1", 1 });
    CHECK(stored.value().openRevision == 11);
    CHECK(!stored.value().cancelled);
    CHECK(f.load("b").error().kind == failure_kind::not_found);
}

// Guards against a submission reported as failed although the job runs: the store created the job, and its
// reply was lost.
TEST_CASE("a creation whose reply was lost is found, and never reported as not run")
{
    fixture f;
    f.store.faults = { fake_store::fault::reply_lost };
    CHECK(f.create("a").value().openRevision == 0);
    CHECK(f.load("a").value().holder == bulk_holder { "vm1", 1 });

    f.store.faults = { fake_store::fault::refused };
    CHECK(f.create("b").error().ran == verdict::not_run);
    f.store.faults
        = { fake_store::fault::executed_late, fake_store::fault::refused, fake_store::fault::refused };
    CHECK(f.create("c").error().ran == verdict::may_have_run);
    f.store.executeDelayed();
    CHECK(f.create("c").value().openRevision == 0);
}

TEST_CASE("results are committed in order, and the last group finishes the job")
{
    fixture f;
    const auto revision = f.create("a").value().openRevision;
    CHECK(
        f.commit(f.jobStore, 0, first, revision, false).value() == bulk_job_store::commit_result::committed);
    CHECK(f.open().jobs.size() == 1);
    CHECK(
        f.commit(f.jobStore, 1, second, revision, true).value() == bulk_job_store::commit_result::committed);
    CHECK(f.open().jobs.empty());
    const auto stored = f.load("a");
    CHECK(!stored.value().holder);
    CHECK(!stored.value().cancelled);
    REQUIRE(stored.value().groups.size() == 2);
    CHECK(stored.value().groups[1].results[0].text == "y");
}

// After a lost reply the retried commit finds its key taken by its own first attempt.
TEST_CASE("a commit whose reply was lost is recognised as one's own")
{
    fixture f;
    const auto revision = f.create("a").value().openRevision;
    f.store.faults = { fake_store::fault::reply_lost };
    CHECK(!f.commit(f.jobStore, 0, first, revision, false));
    CHECK(
        f.commit(f.jobStore, 0, first, revision, false).value() == bulk_job_store::commit_result::committed);
    CHECK(f.load("a").value().groups.size() == 1);
}

// Guards against duplicate or reordered results: a process is paused, its lease expires, another one takes
// the job over and commits, and the first one resumes and commits as if it still held the job.
TEST_CASE("a former holder cannot commit, not even by a call that is executed late")
{
    fixture f;
    const auto revision = f.create("a").value().openRevision;
    f.store.faults = { fake_store::fault::executed_late };
    CHECK(!f.commit(f.jobStore, 0, first, revision, false));
    const auto taken = f.takeOver(f.other, f.open().jobs.at(0));
    REQUIRE(taken != 0);
    CHECK(f.takeOver(f.jobStore, { "a", { "vm1", 1 }, {}, 0, revision }) == 0);
    f.store.executeDelayed();
    CHECK(f.load("a").value().groups.empty());
    CHECK(f.commit(f.other, 0, second, taken, false).value() == bulk_job_store::commit_result::committed);
    CHECK(f.commit(f.jobStore, 0, first, revision, false).value() == bulk_job_store::commit_result::lost);
    CHECK(f.commit(f.jobStore, 1, first, revision, false).value() == bulk_job_store::commit_result::lost);
    CHECK(f.load("a").value().groups.size() == 1);
}

// Guards against a commit in flight that revives a job after its caller was told that it is cancelled.
TEST_CASE("a cancelled job accepts no more results, and cancelling it again has no effect")
{
    fixture f;
    const auto revision = f.create("a").value().openRevision;
    CHECK(f.commit(f.jobStore, 0, first, revision, false));
    CHECK(f.end("a").value() == f.self);
    const auto again = f.end("a");
    REQUIRE(again);
    CHECK_FALSE(again.value());
    CHECK(f.commit(f.jobStore, 1, second, revision, true).value() == bulk_job_store::commit_result::lost);
    const auto stored = f.load("a");
    CHECK(stored.value().cancelled);
    CHECK(stored.value().groups.size() == 1);
    CHECK(f.end("nobody").error().kind == failure_kind::not_found);
    f.create("b");
    f.store.faults = { fake_store::fault::reply_lost };
    CHECK(f.end("b").value() == f.self);
}

TEST_CASE("removing a job removes all its keys")
{
    fixture f;
    const auto revision = f.create("a").value().openRevision;
    CHECK(f.commit(f.jobStore, 0, first, revision, false));
    f.jobStore.remove(record("a"), 1, f.jobStore.partsOf(record("a")));
    CHECK(f.store.values.empty());
}

// Guards against jobs refused with 413 although their size is allowed: a job of 3 MB has a record that
// exceeds the size limit of a value in the store.
TEST_CASE("a job larger than a value of the store is stored in parts")
{
    fixture f;
    const auto large = largeRecord("large", 3 * valueBytes);
    std::optional<result<bulk_job_store::creation>> created;
    f.store.faults = { fake_store::fault::reply_lost };
    f.jobStore.create(large, {}, f.into(created));
    REQUIRE(*created);
    for (const auto& [key, value] : f.store.values)
        CHECK(value.value.size() <= valueBytes);
    CHECK(f.store.values.size() > 6);
    const auto stored = f.load("large");
    REQUIRE(stored);
    REQUIRE(stored.value().record.items.size() == 2);
    CHECK((stored.value().record.items[1].body == large.items[1].body));
    f.jobStore.remove(large, 0, f.jobStore.partsOf(large));
    CHECK(f.store.values.empty());
}

TEST_CASE("a job that does not fit into one transaction is refused")
{
    fixture f;
    std::optional<result<bulk_job_store::creation>> created;
    f.jobStore.create(largeRecord("huge", 20 * valueBytes), {}, f.into(created));
    REQUIRE(!*created);
    CHECK(created->error().kind == failure_kind::too_large);
    CHECK(created->error().ran == verdict::not_run);
    CHECK(f.store.values.empty());
}

// Guards against items that start from the beginning after a takeover: the holder was killed while ten items
// were nearly finished; they finished late, and their targets did the work twice.
TEST_CASE("the items of a job resume from saved progress after a takeover")
{
    fixture f;
    const auto revision = f.create("a").value().openRevision;
    bulk_job job(record("a"), {});
    const auto started = job.next();
    for (std::uint64_t id = 1; id <= 3; ++id)
        REQUIRE(job.addEvent(started->index, id, "e" + std::to_string(id)));
    std::optional<result<bool>> saved;
    const std::vector<bulk_job_store::progress_save> saves { { "a", revision,
        encodeItemProgress(job.progress()) } };
    f.jobStore.saveProgress(saves, f.into(saved));
    CHECK(saved->value());
    const auto taken = f.takeOver(f.other, f.open().jobs.at(0));
    auto stored = f.load("a").value();
    REQUIRE(stored.progress.size() == 1);
    bulk_job again(stored.record, {});
    again.restore(stored.progress);
    const auto next = again.next();
    CHECK(next->index == started->index);
    CHECK(next->lastEvent == 3);
    CHECK(again.progress() == job.progress());
    // A late save by the former holder has no effect.
    saved.reset();
    const std::vector<bulk_job_store::progress_save> late { { "a", revision, encodeItemProgress({}) } };
    f.jobStore.saveProgress(late, f.into(saved));
    CHECK(!saved->value());
    CHECK(f.load("a").value().progress.size() == 1);
    // Progress is removed when the job is finished.
    REQUIRE(f.commit(f.other, 0, first, taken, false).value() == bulk_job_store::commit_result::committed);
    REQUIRE(f.commit(f.other, 1, second, taken, true).value() == bulk_job_store::commit_result::committed);
    CHECK(!f.store.values.contains("yuccachute/progress/a"));
}

TEST_CASE("saved progress of an item that already has a result is ignored")
{
    bulk_job job(record("a"), {});
    job.addCommitted(first);
    job.restore({ { 0, 5, { "x" } }, { 1, 2, { "y", "z" } }, { 9, 1, { "w" } } });
    const auto next = job.next();
    CHECK(next->index == 1);
    CHECK(next->lastEvent == 2);
    CHECK(job.progress().size() == 1);
    CHECK(!decodeItemProgress("nonsense"));
}

namespace {

using commits = std::vector<bulk_job_store::job_commit>;

result<bool> commitTogether(fixture& f, const commits& jobs)
{
    std::optional<result<bool>> outcome;
    f.jobStore.commitTogether(jobs, f.into(outcome));
    return *outcome;
}

} // namespace

TEST_CASE("results of several jobs are committed in one transaction")
{
    fixture f;
    const auto a = f.create("a").value().openRevision;
    const auto b = f.create("b").value().openRevision;
    const auto before = f.store.commits;
    const bulk_result_group both { "t3", { { 0, true, "x" }, { 1, true, "y" } } };
    CHECK(commitTogether(
        f, { { "a", { 0, first, a, false, std::nullopt } }, { "b", { 0, both, b, true, std::nullopt } } })
              .value());
    CHECK(f.store.commits == before + 1);
    CHECK(f.load("a").value().groups.size() == 1);
    CHECK(f.load("a").value().holder);
    CHECK(f.load("b").value().groups.size() == 1);
    CHECK(!f.load("b").value().holder);
}

// A joint commit fails if another process has taken over one of its jobs. If the failure counted as success,
// the results of the other jobs would be lost; if the same call were repeated, they would never be committed.
TEST_CASE("a lost job does not block the jobs that are committed with it")
{
    fixture f;
    const auto a = f.create("a").value().openRevision;
    const auto b = f.create("b").value().openRevision;
    for (const auto& job : f.open().jobs) {
        if (job.id == "a")
            f.takeOver(f.other, job);
    }
    CHECK(!commitTogether(
        f, { { "a", { 0, first, a, false, std::nullopt } }, { "b", { 0, second, b, false, std::nullopt } } })
               .value());
    CHECK(f.load("b").value().groups.empty());
    CHECK(f.commit(f.jobStore, 0, first, a, false).value() == bulk_job_store::commit_result::lost);
    std::optional<result<bulk_job_store::commit_result>> alone;
    f.jobStore.commit("b", { 0, second, b, false, std::nullopt }, f.into(alone));
    CHECK(alone->value() == bulk_job_store::commit_result::committed);
}

// The reply to a joint commit is lost, or the call is executed late. Each job's retry must recognise its own
// results, and none may be stored twice.
TEST_CASE("a joint commit whose reply was lost is resolved job by job")
{
    fixture f;
    const auto a = f.create("a").value().openRevision;
    const auto b = f.create("b").value().openRevision;
    const commits jobs { { "a", { 0, first, a, false, std::nullopt } },
        { "b", { 0, second, b, false, std::nullopt } } };
    f.store.faults = { fake_store::fault::executed_late };
    CHECK(!commitTogether(f, jobs));
    f.store.faults = { fake_store::fault::reply_lost };
    CHECK(!commitTogether(f, jobs));
    f.store.executeDelayed();
    CHECK(!commitTogether(f, jobs).value());
    CHECK(f.commit(f.jobStore, 0, first, a, false).value() == bulk_job_store::commit_result::committed);
    CHECK(f.load("a").value().groups.size() == 1);
    CHECK(f.load("b").value().groups.size() == 1);
}

TEST_CASE("a joint commit is limited in operations and bytes")
{
    fixture f;
    const bulk_result_group large { "t", { { 0, true, std::string(valueBytes, 'x') } } };
    commits jobs;
    for (int i = 0; i < 9; ++i)
        jobs.push_back({ "j" + std::to_string(i), { 0, first, 1, true, 5 } });
    CHECK(f.jobStore.fittingOneCall(jobs) == 4);
    const commits heavy { { "a", { 0, large, 1, false, std::nullopt } },
        { "b", { 0, large, 1, false, std::nullopt } } };
    CHECK(f.jobStore.fittingOneCall(heavy) == 1);
}
