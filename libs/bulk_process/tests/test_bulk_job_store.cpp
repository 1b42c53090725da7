#include "fake_store.h"

#include <catch2/catch.hpp>

#include <random>

using namespace yuccachute;

namespace {

bulk_record record(std::string id)
{
    return { std::move(id), "h", 1, { { "i0", "/p", {}, "b", 1 }, { "i1", "/p", {}, "b", 1 } } };
}

/// Smaller than the platform's, to cut small records.
constexpr std::size_t valueBytes = 2000;

bulk_record largeRecord(std::string id, std::size_t bodyBytes)
{
    std::minstd_rand random(1);
    auto made = record(std::move(id));
    for (auto& item : made.items) {
        item.body.clear();
        for (std::size_t i = 0; i < bodyBytes; ++i)
            item.body += static_cast<char>(random() >> 8);
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
    result<bool> end(const std::string& id)
    {
        std::optional<result<bool>> outcome;
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
    bulk_job_store jobStore { loop, store, { "vm1", 1 }, valueBytes };
    bulk_job_store other { loop, store, { "vm2", 2 }, valueBytes };
};

const bulk_result_group first { "t1", { { 0, true, "x" } } };
const bulk_result_group second { "t2", { { 1, true, "y" } } };

} // namespace

TEST_CASE("a job is created once, however often it is submitted")
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

// Story: the store executes a submission, and its answer is lost. The caller is refused, though the job runs.
TEST_CASE("a creation whose answer was lost is found, and never said not to exist")
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

TEST_CASE("results are committed in order, and the last ones finish the job")
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

// Story: the answer to a commit is lost; the second try finds its place taken, by itself.
TEST_CASE("a commit whose answer was lost is recognised as one's own")
{
    fixture f;
    const auto revision = f.create("a").value().openRevision;
    f.store.faults = { fake_store::fault::reply_lost };
    CHECK(!f.commit(f.jobStore, 0, first, revision, false));
    CHECK(
        f.commit(f.jobStore, 0, first, revision, false).value() == bulk_job_store::commit_result::committed);
    CHECK(f.load("a").value().groups.size() == 1);
}

// Story: a process is paused; its lease lapses and another takes the job and lists results. The first wakes,
// still believes that it holds the job, and lists its own: positions change, items stand twice.
TEST_CASE("a holder that was replaced can commit nothing, also by a call that is executed late")
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

// Story: a caller ends its job and is told so; a commit that was on its way revives it.
TEST_CASE("an ended job takes no more results, and ending it again changes nothing")
{
    fixture f;
    const auto revision = f.create("a").value().openRevision;
    CHECK(f.commit(f.jobStore, 0, first, revision, false));
    CHECK(f.end("a").value());
    CHECK(f.end("a").value());
    CHECK(f.commit(f.jobStore, 1, second, revision, true).value() == bulk_job_store::commit_result::lost);
    const auto stored = f.load("a");
    CHECK(stored.value().cancelled);
    CHECK(stored.value().groups.size() == 1);
    CHECK(f.end("nobody").error().kind == failure_kind::not_found);
    f.create("b");
    f.store.faults = { fake_store::fault::reply_lost };
    CHECK(f.end("b").value());
}

TEST_CASE("a removed job leaves nothing")
{
    fixture f;
    const auto revision = f.create("a").value().openRevision;
    CHECK(f.commit(f.jobStore, 0, first, revision, false));
    f.jobStore.remove(record("a"), 1);
    CHECK(f.store.values.empty());
}

// Story: a caller sends a job of 3 MB, well within what it may send; it was refused with 413 because its
// record is larger than one value of the store.
TEST_CASE("a job larger than a value of the store is kept in parts")
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
    f.jobStore.remove(large, 0);
    CHECK(f.store.values.empty());
}

TEST_CASE("a job that does not fit into one call of the store is refused")
{
    fixture f;
    std::optional<result<bulk_job_store::creation>> created;
    f.jobStore.create(largeRecord("huge", 20 * valueBytes), {}, f.into(created));
    REQUIRE(!*created);
    CHECK(created->error().kind == failure_kind::too_large);
    CHECK(created->error().ran == verdict::not_run);
    CHECK(f.store.values.empty());
}

// Story: the process that holds a job is killed while ten of its items are nearly done. The next holder began
// all of them anew; they ended late, and their targets had worked twice.
TEST_CASE("a job that changes hands goes on where its items stood")
{
    fixture f;
    const auto revision = f.create("a").value().openRevision;
    bulk_job job(record("a"), {}, {});
    const auto started = job.next();
    for (std::uint64_t id = 0; id < 3; ++id)
        REQUIRE(job.addEvent(started->index, id, "e" + std::to_string(id)));
    std::optional<result<bool>> saved;
    const std::vector<bulk_job_store::progress_save> saves { { "a", revision,
        encodeItemProgress(job.progress()) } };
    f.jobStore.saveProgress(saves, f.into(saved));
    CHECK(saved->value());
    const auto taken = f.takeOver(f.other, f.open().jobs.at(0));
    auto stored = f.load("a").value();
    REQUIRE(stored.progress.size() == 1);
    bulk_job again(stored.record, {}, {});
    again.restore(stored.progress);
    const auto next = again.next();
    CHECK(next->index == started->index);
    CHECK(next->lastEvent == 2);
    CHECK(again.progress() == job.progress());
    // A former holder's late save does nothing.
    saved.reset();
    const std::vector<bulk_job_store::progress_save> late { { "a", revision, encodeItemProgress({}) } };
    f.jobStore.saveProgress(late, f.into(saved));
    CHECK(!saved->value());
    CHECK(f.load("a").value().progress.size() == 1);
    // It goes with the job's end.
    REQUIRE(f.commit(f.other, 0, first, taken, false).value() == bulk_job_store::commit_result::committed);
    REQUIRE(f.commit(f.other, 1, second, taken, true).value() == bulk_job_store::commit_result::committed);
    CHECK(!f.store.values.contains("yuccachute/progress/a"));
}

TEST_CASE("saved progress of an item that has got its result since is not taken over")
{
    bulk_job job(record("a"), {}, {});
    job.addCommitted(first);
    job.restore({ { 0, 5, { "x" } }, { 1, 7, { "y", "z" } }, { 9, 1, { "w" } } });
    const auto next = job.next();
    CHECK(next->index == 1);
    CHECK(next->lastEvent == 7);
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

TEST_CASE("results of several jobs are committed by one call")
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

// Story: one of several jobs has been taken by another process. The call that commits results of all of them
// does nothing; were it taken for done, the others' results would be lost, and were it repeated, they would
// wait for ever.
TEST_CASE("a job that was lost does not hold up those that are committed with it")
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

// Story: the answer to a common commit is lost, or the call is executed late. The second try must find its
// own results, and nothing may stand twice.
TEST_CASE("a common commit whose answer was lost is settled job by job")
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

TEST_CASE("no more jobs are committed by one call than it may have entries and bytes")
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
