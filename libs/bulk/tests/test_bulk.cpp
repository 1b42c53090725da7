#include "bulk/bulk.h"

#include <catch2/catch.hpp>

#include <set>

using namespace yuccachute;

namespace {

const steady_time start {};

steady_time at(int ms)
{
    return start + milliseconds { ms };
}

bulk_record record(unsigned items)
{
    bulk_record made { "job", "host", 5, {} };
    for (unsigned i = 0; i < items; ++i)
        made.items.push_back(
            { "i" + std::to_string(i), "/p", { { "H", "v" } }, std::string("\0\xff", 2), 9 });
    return made;
}

constexpr unsigned maxAttempts = 2;

bulk_job job(unsigned items)
{
    return { record(items), at(18000) };
}

void finish(bulk_job& held, std::uint32_t index, run_outcome outcome, int ms)
{
    held.finishRun(index, outcome, maxAttempts, at(ms));
}

} // namespace

TEST_CASE("records and groups can be encoded and decoded, corrupt ones are detected")
{
    const auto read = decodeBulkRecord(encodeRecord(record(2)));
    REQUIRE(read);
    CHECK(read.value().items[1].id == "i1");
    CHECK(read.value().items[1].body == std::string("\0\xff", 2));
    CHECK(read.value().items[0].headers[0].second == "v");
    const auto group = decodeGroup(encodeGroup({ "t", { { 1, true, "a\nb" }, { 0, false, "" } } }));
    REQUIRE(group);
    CHECK(group.value().results[0].text == "a\nb");
    CHECK(!group.value().results[1].done);
    const auto openJob = decodeOpenJob(encodeOpenJob({ { "v", 7 }, { "r", 940 } }));
    CHECK(openJob.value().holder == bulk_holder { "v", 7 });
    CHECK(openJob.value().claim == token_claim { "r", 940 });
    CHECK(decodeOpenJob(encodeOpenJob({ { "v", 7 }, {} })).value().claim == token_claim {});
    CHECK(!decodeBulkRecord("nonsense"));
    CHECK(!decodeGroup(encodeRecord(record(1))));
    CHECK(!decodeOpenJob("[]"));
}

TEST_CASE("an item resumes after its last event and is committed with its whole text")
{
    auto held = job(1);
    REQUIRE(held.next());
    CHECK(held.addEvent(0, 1, "a"));
    CHECK(held.addEvent(0, 2, "b"));
    CHECK(!held.addEvent(0, 4, "d"));
    finish(held, 0, run_outcome::interrupted, 1);
    const auto again = held.next();
    REQUIRE(again);
    CHECK(again->lastEvent == 2);
    CHECK(held.addEvent(0, 3, "c"));
    finish(held, 0, run_outcome::completed, 2);
    CHECK(held.uncommitted() == 1);
    CHECK(held.uncommittedSince() == at(2));
    const auto group = held.nextGroup("t");
    CHECK(held.completes(group));
    CHECK(held.committedResults().empty());
    held.addCommitted(group);
    CHECK(held.complete());
    CHECK(held.committedResults()[0].text == "a\nb\nc");
}

// Guards against an item whose text begins with an event of another answer, or lacks its beginning.
TEST_CASE("the first event of an item is 1, and progress that lacks events is not restored")
{
    auto held = job(1);
    REQUIRE(held.next());
    CHECK(!held.addEvent(0, 0, "a"));
    CHECK(!held.addEvent(0, 2, "b"));
    CHECK(!held.addEvent(0, std::nullopt, "c"));
    CHECK(held.eventsOf(0) == 0);
    CHECK(held.addEvent(0, 1, "a"));
    auto takenOver = job(2);
    takenOver.restore({ { 0, 3, { "b", "c" } }, { 1, 2, { "a", "b" } } });
    const auto progress = takenOver.progress();
    REQUIRE(progress.size() == 1);
    CHECK(progress[0].index == 1);
}

// Guards against an item whose text comes from two software versions or services after its holder has
// changed.
TEST_CASE("an item keeps the software version and service that made its events, and loses them with them")
{
    auto held = job(1);
    REQUIRE(held.next());
    held.setOrigin(0, "v1", "service");
    CHECK(held.addEvent(0, 1, "a"));
    held.setOrigin(0, "v2", "other");
    finish(held, 0, run_outcome::interrupted, 1);
    const auto saved = decodeItemProgress(encodeItemProgress(held.progress()));
    REQUIRE(saved);
    CHECK(saved.value() == held.progress());
    auto takenOver = job(1);
    takenOver.restore(saved.value());
    const auto again = takenOver.next();
    CHECK(again->lastEvent == 1);
    CHECK(again->version == "v1");
    CHECK(again->service == "service");
    takenOver.discardEvents(0);
    takenOver.setOrigin(0, "v2", "other");
    CHECK(takenOver.addEvent(0, 1, "b"));
    CHECK(takenOver.progress()[0].version == "v2");
    CHECK(takenOver.progress()[0].service == "other");
    CHECK(takenOver.progress()[0].events == std::vector<std::string> { "b" });
}

TEST_CASE("only failures and rejections lead to an item being abandoned")
{
    auto held = job(2);
    for (int i = 0; i < 20; ++i) {
        REQUIRE(held.next());
        finish(held, i % 2 == 0 ? 0u : 1u, run_outcome::interrupted, i);
    }
    CHECK(held.uncommitted() == 0);
    const auto first = held.next()->index;
    finish(held, first, run_outcome::failed, 30);
    CHECK(held.uncommitted() == 0);
    finish(held, held.next()->index, run_outcome::rejected, 31);
    CHECK(held.uncommitted() == 1);
    finish(held, held.next()->index, run_outcome::failed, 32);
    CHECK(held.uncommitted() == 2);
    CHECK(!held.next());
}

// Guards against a retried commit that carries more results than the first attempt. If the reply to the first
// attempt is lost and the store executes it late, fewer results are stored than the holder assumes, and the
// positions of later results shift.
TEST_CASE("a commit stays the same until its outcome is known")
{
    auto held = job(3);
    finish(held, held.next()->index, run_outcome::completed, 1);
    const auto first = held.nextGroup("a");
    finish(held, held.next()->index, run_outcome::completed, 2);
    CHECK(held.nextGroup("b").token == "a");
    CHECK(held.nextGroup("b").results.size() == 1);
    held.addCommitted(first);
    CHECK(held.nextGroup("b").token == "b");
    CHECK(held.nextGroup("b").results.size() == 1);
}

// Two processes can briefly run the same job. If the other one commits first, its results must not be
// committed a second time.
TEST_CASE("results committed by another holder replace own uncommitted ones")
{
    auto held = job(2);
    held.next();
    held.next();
    finish(held, 0, run_outcome::completed, 1);
    held.addCommitted({ "other", { { 0, true, "theirs" } } });
    CHECK(held.uncommitted() == 0);
    finish(held, 1, run_outcome::completed, 2);
    held.addCommitted(held.nextGroup("mine"));
    CHECK(held.complete());
    CHECK(held.committedResults()[0].text == "theirs");
    // A run that finishes after its item was committed has no effect.
    finish(held, 0, run_outcome::completed, 3);
    CHECK(held.uncommitted() == 0);
}

TEST_CASE("waiting items are abandoned once they have expired, and not before")
{
    auto held = job(3);
    const auto expiry = [](std::uint32_t index) { return index == 2 ? at(90000) : at(60000); };
    held.next();
    CHECK(held.expire(expiry, at(59999)) == at(60000));
    CHECK(held.uncommitted() == 0);
    CHECK(held.expire(expiry, at(60000)) <= at(61000));
    CHECK(held.uncommitted() == 1);
    finish(held, 0, run_outcome::interrupted, 60001);
    CHECK(held.expire(expiry, at(60002)) == at(90000));
    CHECK(held.uncommitted() == 2);
    CHECK(held.expire(expiry, at(90000)) == steady_time::max());
    CHECK(held.uncommitted() == 3);
}

TEST_CASE("abandoning an item leaves the others of its job")
{
    auto held = job(3);
    const auto taken = held.next()->index;
    held.abandon(taken, at(1));
    CHECK(held.running() == 0);
    held.abandon(2, at(2));
    CHECK(held.uncommitted() == 2);
    CHECK(held.waiting() == 1);
    // A run that ends after its item was abandoned has no effect.
    finish(held, taken, run_outcome::completed, 3);
    CHECK(held.uncommitted() == 2);
}

// Guards against an item that every target aborts: without a delay it ran at each of them in a tight loop and
// made all targets look unhealthy to live requests.
TEST_CASE("an item that is aborted repeatedly is delayed and no longer counts against its targets")
{
    CHECK(retryDelayAfterAborts(0) == milliseconds { 0 });
    CHECK(retryDelayAfterAborts(maxAbortsChargedToTarget - 1) == milliseconds { 0 });
    CHECK(retryDelayAfterAborts(maxAbortsChargedToTarget) >= milliseconds { 50 });
    CHECK(retryDelayAfterAborts(maxAbortsChargedToTarget + 3)
        > retryDelayAfterAborts(maxAbortsChargedToTarget));
    CHECK(retryDelayAfterAborts(1000) == milliseconds { 2000 });
    auto held = job(1);
    held.next();
    finish(held, 0, run_outcome::aborted, 1);
    CHECK(held.waiting() == 1);
}

TEST_CASE("an account counts jobs that are missing from the listing, and none twice")
{
    open_claims listed { 100, { { "a", 50 }, { "b", 70 } } };
    auto account = token_account::decode("", 0).value();
    CHECK(account.covers(listed));
    CHECK(account.pendingTokens(listed) == 120);
    // The job was created at revision 90 and is missing from the listing at 100, so it is finished.
    account = token_account::decode(account.withJob("gone", 1000).encode(), 90).value();
    CHECK(account.pendingTokens(listed) == 120);
    account = token_account::decode(account.withJob("b", 80).encode(), 101).value();
    account = token_account::decode(account.withJob("c", 200).encode(), 102).value();
    CHECK(account.revision() == 102);
    CHECK(account.pendingTokens(listed) == 320);
    listed = { 102, { { "c", 150 } } };
    CHECK(account.pendingTokens(listed) == 150);
    CHECK(!token_account::decode("[]", 5));
    CHECK(!token_account::decode("\xff", 5));
}

TEST_CASE("an account keeps a bounded number of jobs and detects listings that are too old")
{
    auto account = token_account::decode("", 0).value();
    for (int i = 1; i <= 200; ++i)
        account = token_account::decode(account.withJob("job" + std::to_string(i), 1).encode(), i).value();
    CHECK(account.encode().size() < 4000);
    CHECK(!account.covers({ 100, {} }));
    CHECK(account.covers({ 150, {} }));
    CHECK(account.pendingTokens({ 150, {} }) == 50);
}

// Guards against two customers' jobs under the same id being confused: the second submission was confirmed,
// but only the first job existed, and its results went to both.
TEST_CASE("equal ids of two customers refer to different jobs")
{
    const std::string odd = "firm: of / many words";
    const std::vector<std::string> customers { "", "firm", "firm-2", odd, odd + "2", std::string(300, 'x') };
    std::set<std::string> ids;
    for (const auto& customer : customers)
        ids.insert(customerScopedId(customer, "7c41"));
    CHECK(ids.size() == customers.size());
    CHECK(customerScopedId("", "7c41") == "7c41");
    for (const auto& id : ids) {
        CHECK(id.find('/') == std::string::npos);
        CHECK(id.size() < 60);
    }
}

// Guards against records of earlier releases that cannot be read, or whose jobs have no route.
TEST_CASE("a record without the path of its submission follows its first item")
{
    bulk_record record { "7c41", "h", 1, { { "e1", "/p/1", {}, "", 1 } }, "" };
    auto read = decodeBulkRecord(encodeRecord(record)).value();
    CHECK(submissionPath(read) == "/p/1");
    CHECK(!read.completionWindow);
    record.path = "/q/7c41";
    record.completionWindow = milliseconds { 18000 };
    read = decodeBulkRecord(encodeRecord(record)).value();
    CHECK(submissionPath(read) == "/q/7c41");
    CHECK(read.completionWindow == milliseconds { 18000 });
}

// Guards against a process that takes a job over and does not know that its own configuration is older than
// the one by which the job was accepted. Records of earlier releases must remain readable.
TEST_CASE("the version of the configuration by which a job was accepted is stored with it")
{
    bulk_record record { "7c41", "h", 1, { { "e1", "/p/1", {}, "", 1 } }, "" };
    CHECK(decodeBulkRecord(encodeRecord(record)).value().configuration == 0);
    record.configuration = 12;
    CHECK(decodeBulkRecord(encodeRecord(record)).value().configuration == 12);
}

// Guards against a takeover that loses the customer, so that items reach targets without its name. Records
// written before jobs had customers must remain readable.
TEST_CASE("the customer is stored with a job")
{
    bulk_record record { "firm:7c41", "h", 1, { { "e1", "/p", {}, "", 1 } }, "firm" };
    CHECK(decodeBulkRecord(encodeRecord(record)).value().customer == "firm");
    record.customer.clear();
    CHECK(decodeBulkRecord(encodeRecord(record)).value().customer.empty());
}
