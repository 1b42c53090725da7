#include "jobs/jobs.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

using namespace yuccachute;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const steady_time start = steady_time {} + 1h;

std::vector<job_item> makeItems(std::size_t count)
{
    std::vector<job_item> items;
    for (std::size_t i = 0; i < count; ++i)
        items.push_back({ "i" + std::to_string(i), "prompt " + std::to_string(i), 8, true });
    return items;
}

job_record makeRecord(unsigned attempts = 3)
{
    job_record record;
    record.id = "job";
    record.attempts = attempts;
    return record;
}

item_outcome completed(std::string text)
{
    return { item_outcome::kind::completed, std::move(text), 1, {} };
}

/// Commits successfully and returns the progress as read back from the store.
job_progress commitNow(job_run& run, std::string& results)
{
    auto commit = run.beginCommit("t", 5);
    results += commit.lines;
    run.committed(start);
    return decodeProgress(encodeProgress(commit.progress)).value();
}

std::string packed(const json& document)
{
    const auto bytes = json::to_msgpack(document);
    return { bytes.begin(), bytes.end() };
}

std::size_t count(const std::string& text, const std::string& part)
{
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++found;
    return found;
}

} // namespace

TEST_CASE("an invalid line rejects the whole job and the error names the line")
{
    const auto parseError = [](const std::string& text) { return parseItems(text).error().message; };
    const std::string validLine = "{\"prompt\":\"x\"}\n";
    CHECK(parseItems(validLine + "\n" + validLine).value().size() == 2);
    CHECK(parseItems(validLine).value()[0].id == "item-0");
    CHECK(parseError(validLine + "nonsense\n") == "line 2: not a JSON object");
    CHECK(parseError(validLine + "\n{\"id\":\"a\"}\n") == "line 3: field \"prompt\" is missing");
    CHECK(parseError("{\"prompt\":\"x\",\"id\":\"a\"}\n{\"prompt\":\"y\",\"id\":\"a\"}")
        == "line 2: id \"a\" is already used by an earlier line");
    CHECK(parseError("{\"prompt\":\"x\",\"max_tokens\":0}").find("line 1: field \"max_tokens\"") == 0);
    CHECK(parseError("{\"prompt\":\"x\",\"idempotant\":true}").find("line 1: field \"idempotant\"") == 0);
    CHECK(parseError("") == "the job has no items");
    std::string tooManyLines;
    for (std::size_t i = 0; i <= maxItemsPerJob; ++i)
        tooManyLines += validLine;
    CHECK(parseError(tooManyLines).find("line 58001: the job exceeds the limit of 58000 items")
        != std::string::npos);
}

TEST_CASE("packed items can be unpacked and no chunk exceeds the size limit")
{
    auto items = makeItems(3000);
    // Pseudo-random text, which hardly compresses.
    std::uint64_t state = 1;
    for (auto& item : items) {
        for (int i = 0; i < 500; ++i) {
            state = state * 6364136223846793005ULL + 1442695040888963407ULL;
            item.prompt += static_cast<char>('!' + (state >> 33) % 90);
        }
    }
    items[7].idempotent = false;
    const auto chunks = packItems(items);
    CHECK(chunks.size() >= 3);
    std::vector<job_item> back;
    for (const auto& chunk : chunks) {
        CHECK(chunk.size() <= maxChunkBytes);
        auto unpacked = unpackItems(chunk);
        for (auto& item : unpacked.value())
            back.push_back(std::move(item));
    }
    REQUIRE(back.size() == items.size());
    CHECK(back[2999].prompt == items[2999].prompt);
    CHECK(!back[7].idempotent);
    CHECK(!decompress("damaged"));
    CHECK(!decodeProgress("damaged"));
}

TEST_CASE("every item gets exactly one result and the job completes with the last one")
{
    job_run run(makeRecord(), makeItems(1200), {});
    std::string results;
    while (const auto item = run.next(start))
        run.finished(item->index, completed("text"), start);
    CHECK(run.isCommitDue(start, 5s));
    while (!run.ended())
        commitNow(run, results);
    CHECK(count(results, "\"completed\"") == 1200);
    CHECK(run.progress().resultChunks == 3);
    CHECK(run.progress().completed == 1200);
}

// Guards against an item with two results, or none, after the store refused a commit or its reply was lost
// and the holder committed again.
TEST_CASE("the next commit contains the results of a failed commit")
{
    job_run run(makeRecord(), makeItems(2), {});
    run.finished(run.next(start)->index, completed("a"), start);
    auto failedCommit = run.beginCommit("t1", 1);
    run.finished(run.next(start)->index, completed("b"), start);
    run.commitFailed();
    const auto nextCommit = run.beginCommit("t2", 1);
    CHECK(nextCommit.results == 2);
    CHECK(nextCommit.resultChunk == failedCommit.resultChunk);
    CHECK(nextCommit.progress.state == job_state::completed);
}

// Guards against a job that never completes because one item crashes the batch process each time it runs:
// every new holder would start it together with the other items and lose them all.
TEST_CASE("an item in flight when its batch process crashed uses an attempt, and suspects run one at a time")
{
    job_progress progress;
    std::string results;
    unsigned takeovers = 0;
    for (; progress.state == job_state::running && takeovers < 10; ++takeovers) {
        job_run run(makeRecord(), makeItems(6), progress);
        std::vector<std::uint32_t> started;
        while (const auto item = run.next(start))
            started.push_back(item->index);
        for (auto index : started) {
            if (index != 3)
                run.finished(index, completed("x"), start);
        }
        progress = commitNow(run, results);
        // The batch process crashes here, with item 3 in flight.
    }
    CHECK(takeovers == 4);
    CHECK(count(results, "\"completed\"") == 5);
    CHECK(count(results, "\"failed\"") == 1);
    CHECK(progress.failed == 1);

    job_progress crashed;
    crashed.ended.resize(6);
    crashed.inFlight = { 1, 2, 3 };
    job_run run(makeRecord(), makeItems(6), crashed);
    std::size_t suspects = 0;
    while (const auto item = run.next(start))
        suspects += crashed.inFlight.contains(item->index);
    CHECK(suspects == 1);
}

// Guards against a second run of a non-idempotent item that was running when its batch process crashed.
TEST_CASE("a non-idempotent item starts only after its start mark is committed, and never twice")
{
    auto items = makeItems(2);
    items[0].idempotent = false;
    job_run run(makeRecord(), items, {});
    CHECK(run.next(start)->index == 1);
    CHECK(!run.next(start));
    CHECK(run.isCommitDue(start, 5s));
    std::string results;
    const auto marked = commitNow(run, results);
    CHECK(marked.startedOnce.contains(0));
    CHECK(run.next(start)->index == 0);

    job_run nextRun(makeRecord(), items, marked);
    for (auto item = nextRun.next(start); item; item = nextRun.next(start))
        CHECK(item->index != 0);
    commitNow(nextRun, results);
    CHECK(count(results, "must not run twice") == 1);
}

TEST_CASE("failed attempts are limited, a yielded item resumes after its text, and an item that did not run "
          "uses no attempt")
{
    job_run run(makeRecord(2), makeItems(1), {});
    auto now = start;
    for (int i = 0; i < 10; ++i) {
        run.finished(run.next(now)->index, { item_outcome::kind::not_run, {}, 0, "full" }, now);
        CHECK(!run.next(now));
        now += 100ms;
    }
    run.finished(run.next(now)->index, { item_outcome::kind::yielded, "ab ", 3, {} }, now);
    auto resumed = run.next(now);
    REQUIRE(resumed);
    CHECK(resumed->text == "ab ");
    CHECK(resumed->tokensLeft == 5);
    run.finished(0, { item_outcome::kind::failed, {}, 0, "cut" }, now);
    CHECK(!run.next(now));
    now += 500ms;
    run.finished(run.next(now)->index, { item_outcome::kind::failed, {}, 0, "cut again" }, now);
    std::string results;
    commitNow(run, results);
    CHECK(run.ended());
    CHECK(results.find("\"reason\":\"cut again\",\"attempts\":2") != std::string::npos);
}

// Guards against a stored number that is taken as the size of a list: an exception that is not one of JSON
// ended the process.
TEST_CASE("job progress whose number of items its bits do not hold cannot be decoded")
{
    auto stored = json::from_msgpack(encodeProgress({}));
    for (const std::uint64_t count :
        { std::uint64_t { 9 }, std::uint64_t { 1 } << 62, ~std::uint64_t { 0 } }) {
        stored["ended"] = json::binary({ 0xff });
        stored["count"] = count;
        CHECK(!decodeProgress(packed(stored)));
    }
    stored["count"] = 8;
    CHECK(decodeProgress(packed(stored)).value().ended.size() == 8);
}

// Guards against a field of another type, whose exception ended the process.
TEST_CASE("a job record with a field of the wrong type cannot be decoded")
{
    CHECK(!decodeRecord(packed({ { "id", 7 } })));
    CHECK(!decodeRecord(packed({ { "items", "many" } })));
    CHECK(decodeRecord(packed({ { "id", "job" } })).value().id == "job");
}
