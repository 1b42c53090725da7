#include "dispatch/dispatch.h"

#include <catch2/catch.hpp>

using namespace yuccachute;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time {} + 1h;

target_group makeGroup(bulk_policy policy, unsigned targets, unsigned slots)
{
    target_group group({ policy, fair_queue::order::fair });
    std::vector<target_description> all;
    for (unsigned i = 0; i < targets; ++i)
        all.push_back({ "t" + std::to_string(i), "127.0.0.1:" + std::to_string(7000 + i), slots, false });
    group.setTargets(all, start);
    return group;
}

slot_request makeAsk(
    std::uint64_t id, work_class workClass = work_class::live, std::string customer = "armor")
{
    slot_request ask;
    ask.holder = 1;
    ask.id = id;
    ask.customer = std::move(customer);
    ask.workClass = workClass;
    ask.deadline = start + 30s;
    ask.due = start + 1h;
    return ask;
}

template <typename Kind> std::vector<Kind> only(const std::vector<decision>& decisions)
{
    std::vector<Kind> chosen;
    for (const auto& one : decisions) {
        if (const auto* match = std::get_if<Kind>(&one))
            chosen.push_back(*match);
    }
    return chosen;
}

} // namespace

TEST_CASE("live requests spread over targets and never exceed the slots")
{
    auto group = makeGroup(adaptive_bulk {}, 2, 2);
    for (std::uint64_t id = 1; id <= 6; ++id)
        group.ask(makeAsk(id), start);
    const auto given = only<slot_grant>(group.takeDecisions());
    REQUIRE(given.size() == 4);
    CHECK(given[0].target != given[1].target);
    CHECK(group.summary(start).liveWaiting == 2);
    group.release({ given[0].grantId, grant_outcome::ok, 5ms, 3 }, start + 10ms);
    const auto next = only<slot_grant>(group.takeDecisions());
    REQUIRE(next.size() == 1);
    CHECK(next[0].slotRequestId == 5);
    CHECK(next[0].target == given[0].target);
}

TEST_CASE("bulk leaves the reserve free and yields at once to live arrivals")
{
    auto group = makeGroup(adaptive_bulk { 0.25 }, 1, 8);
    for (std::uint64_t id = 1; id <= 20; ++id)
        group.ask(makeAsk(id, work_class::bulk), start);
    auto now = start;
    for (int i = 0; i < 100; ++i)
        group.tick(now += 20ms);
    const auto bulk = only<slot_grant>(group.takeDecisions());
    CHECK(bulk.size() == 6);
    for (std::uint64_t id = 101; id <= 105; ++id)
        group.ask(makeAsk(id), now);
    const auto decisions = group.takeDecisions();
    // Two free places, and three of items that are told to leave: nobody waits for their answer.
    CHECK(only<slot_grant>(decisions).size() == 5);
    const auto revoked = only<grant_revocation>(decisions);
    REQUIRE(revoked.size() == 3);
    CHECK(revoked[0].grantId == bulk.back().grantId);
    group.ask(makeAsk(106), now);
    CHECK(only<grant_revocation>(group.takeDecisions()).size() == 1);
    // What was revoked frees no second place when it is released.
    for (const auto& one : revoked)
        group.release({ one.grantId, grant_outcome::abandoned, 0ms, 0 }, now + 5ms);
    for (std::uint64_t id = 107; id <= 110; ++id)
        group.ask(makeAsk(id), now + 5ms);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 2);
    CHECK(group.summary(now + 5ms).live == 8);
    CHECK(group.summary(now + 5ms).liveWaiting == 2);
}

TEST_CASE("the reserve follows the busy spans of arrivals, not the number of requests")
{
    arrival_history arrivals;
    CHECK(arrivals.busySpan(start) == 0);
    // One request in each span of 20 ms, and five at once in every tenth.
    for (int span = 0; span < 250; ++span) {
        for (int i = 0; i < (span % 10 == 0 ? 5 : 1); ++i)
            arrivals.record(start + 20ms * span);
    }
    CHECK(arrivals.busySpan(start + 5s) == 5);
    CHECK(arrivals.busySpan(start + 60s) == 0);
}

TEST_CASE("each policy keeps its own promise")
{
    const bulk_situation half { 16, 8, 0, 2, 0, 1.0 };
    CHECK(bulkAllowance(no_bulk {}, half) == 0);
    CHECK(bulkAllowance(unlimited_bulk {}, half) > 1000000);
    CHECK(bulkAllowance(fixed_bulk { 3 }, half) == 6);
    CHECK(bulkAllowance(adaptive_bulk { 0.1 }, half) == 6);
    bulk_situation waiting = half;
    waiting.liveWaiting = 1;
    CHECK(bulkAllowance(adaptive_bulk { 0.1 }, waiting) == 0);
    bulk_situation surging = half;
    surging.arrivals = 6;
    CHECK(bulkAllowance(adaptive_bulk { 0.1 }, surging) == 2);
    CHECK(adaptWindow(0.5, true, true) == 0.25);
    CHECK(adaptWindow(0.5, false, false) == 0.5);
    CHECK(adaptWindow(0.99, false, true) == 1.0);
}

// Story: a target dies; every request that is sent there fails and is sent again, and callers wait through it
// for as long as the list of targets lags behind. It must get nothing after a few failures, then single
// probes.
TEST_CASE("a failing target is ejected, probed one by one, and healed")
{
    auto group = makeGroup(adaptive_bulk {}, 2, 4);
    auto now = start;
    std::uint64_t id = 0;
    int sentToFailing = 0;
    const auto sendOne = [&](bool healthy) {
        group.ask(makeAsk(++id), now);
        const auto given = only<slot_grant>(group.takeDecisions());
        REQUIRE(given.size() == 1);
        const bool bad = given[0].target == "t0";
        sentToFailing += bad;
        group.release(
            { given[0].grantId, bad && !healthy ? grant_outcome::failed : grant_outcome::ok, 0ms, 1 }, now);
    };
    for (int i = 0; i < 50; ++i)
        sendOne(false);
    CHECK(sentToFailing == 3);
    CHECK(group.summary(now).usableTargets == 1);
    now += 1100ms;
    CHECK(group.summary(now).slots == 5);
    for (int i = 0; i < 10; ++i)
        sendOne(true);
    CHECK(group.summary(now).slots == 8);
}

TEST_CASE("a failed probe doubles the ejection")
{
    target_health health;
    for (int i = 0; i < 3; ++i)
        health.failed(start);
    CHECK(health.at(start + 999ms) == target_health::state::ejected);
    CHECK(health.at(start + 1s) == target_health::state::probing);
    health.failed(start + 1s);
    CHECK(health.at(start + 2999ms) == target_health::state::ejected);
    CHECK(health.at(start + 3s) == target_health::state::probing);
}

// Story: a caller with a timeout of one second is held in a long queue and told after a second that there was
// no room; it asks again and lengthens the queue. It must be refused on arrival and told when to come back.
TEST_CASE("a request that cannot be served in time is refused at once with a time to come back")
{
    auto group = makeGroup(adaptive_bulk {}, 1, 1);
    group.ask(makeAsk(1), start);
    auto given = only<slot_grant>(group.takeDecisions());
    group.release({ given[0].grantId, grant_outcome::ok, 1ms, 1 }, start + 400ms);
    for (std::uint64_t id = 2; id <= 7; ++id)
        group.ask(makeAsk(id), start + 400ms);
    group.takeDecisions();
    auto hurried = makeAsk(8);
    hurried.deadline = start + 1400ms;
    group.ask(hurried, start + 400ms);
    const auto refused = only<slot_refusal>(group.takeDecisions());
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason.ran == verdict::not_run);
    CHECK(refused[0].reason.retryAfter == 2000ms);
}

TEST_CASE("a queue has a limit per customer, and an expired ask is answered")
{
    auto group = makeGroup(adaptive_bulk {}, 1, 1);
    auto ask = makeAsk(1);
    ask.queueLimit = 1;
    for (; ask.id <= 3; ++ask.id)
        group.ask(ask, start);
    const auto decisions = group.takeDecisions();
    CHECK(only<slot_grant>(decisions).size() == 1);
    REQUIRE(only<slot_refusal>(decisions).size() == 1);
    group.tick(start + 31s);
    const auto expired = only<slot_refusal>(group.takeDecisions());
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].slotRequestId == 2);
}

TEST_CASE("draining and leaving targets get nothing new")
{
    auto group = makeGroup(adaptive_bulk {}, 2, 4);
    group.report("t0", { 0, 0, 4, 0, true }, start);
    for (std::uint64_t id = 1; id <= 4; ++id)
        group.ask(makeAsk(id), start);
    for (const auto& given : only<slot_grant>(group.takeDecisions()))
        CHECK(given.target == "t1");
    const std::vector<target_description> drained { { "t0", "127.0.0.1:7000", 4, true },
        { "t1", "127.0.0.1:7001", 4, true } };
    group.setTargets(drained, start);
    group.ask(makeAsk(5), start);
    const auto refused = only<slot_refusal>(group.takeDecisions());
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason.kind == failure_kind::unavailable);
}

TEST_CASE("a target that refuses is left alone until its next report")
{
    auto group = makeGroup(adaptive_bulk {}, 2, 4);
    group.ask(makeAsk(1), start);
    const auto first = only<slot_grant>(group.takeDecisions())[0];
    group.release({ first.grantId, grant_outcome::refused, 0ms, 0 }, start);
    for (std::uint64_t id = 2; id <= 5; ++id)
        group.ask(makeAsk(id), start);
    for (const auto& given : only<slot_grant>(group.takeDecisions()))
        CHECK(given.target != first.target);
    group.report(first.target, { 0, 0, 4, 0, false }, start + 1s);
    group.ask(makeAsk(6), start + 1s);
    CHECK(only<slot_grant>(group.takeDecisions())[0].target == first.target);
}

TEST_CASE("a shared prefix goes where it was cached, until that target is much fuller")
{
    auto group = makeGroup(adaptive_bulk {}, 4, 4);
    const auto prefixes = prefixHashes(std::string(1000, 'x'));
    CHECK(prefixes.size() == 15);
    std::vector<std::string> targets;
    for (std::uint64_t id = 1; id <= 4; ++id) {
        auto ask = makeAsk(id);
        ask.prefixes = prefixes;
        group.ask(ask, start);
        targets.push_back(only<slot_grant>(group.takeDecisions())[0].target);
    }
    CHECK(targets[0] == targets[1]);
    CHECK(targets[1] == targets[2]);
    CHECK(targets[3] != targets[2]);
}

TEST_CASE("work that came past the dispatcher takes slots, by the target's own report")
{
    auto group = makeGroup(adaptive_bulk {}, 1, 4);
    group.report("t0", { 3, 0, 4, 0, false }, start);
    for (std::uint64_t id = 1; id <= 4; ++id)
        group.ask(makeAsk(id), start);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 1);
    group.report("t0", { 1, 0, 4, 0, false }, start + 100ms);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 3);
}

// Story: a target that has just finished eight requests is reported with eight running, because its report
// lags. They are taken for somebody else's, its slots stay empty until the next report, and callers queue
// meanwhile.
TEST_CASE("own requests that ended before a lagging report are not taken for others'")
{
    auto group = makeGroup(adaptive_bulk {}, 1, 4);
    for (std::uint64_t id = 1; id <= 4; ++id)
        group.ask(makeAsk(id), start);
    for (const auto& given : only<slot_grant>(group.takeDecisions()))
        group.release({ given.grantId, grant_outcome::ok, 1ms, 1 }, start + 500ms);
    group.report("t0", { 4, 0, 4, 0, false }, start + 600ms);
    for (std::uint64_t id = 5; id <= 8; ++id)
        group.ask(makeAsk(id), start + 600ms);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 4);
    for (std::uint64_t id = 9; id <= 12; ++id)
        group.ask(makeAsk(id), start + 600ms);
    CHECK(only<slot_grant>(group.takeDecisions()).empty());
    // Long after, the same report can only mean others' work.
    auto later = makeGroup(adaptive_bulk {}, 1, 4);
    later.report("t0", { 4, 0, 4, 0, false }, start + 10s);
    later.ask(makeAsk(1), start + 10s);
    CHECK(only<slot_grant>(later.takeDecisions()).empty());
}

// Story: bulk items that run for a minute are forgotten after the few seconds for which they were willing to
// wait; their slots are given away again, and live requests queue at the engine behind both.
TEST_CASE("a grant is held for as long as its request may run, not as long as it would have waited")
{
    auto group = makeGroup(fixed_bulk { 2 }, 1, 2);
    for (std::uint64_t id = 1; id <= 2; ++id) {
        auto ask = makeAsk(id, work_class::bulk);
        ask.deadline = start + 5s;
        ask.hold = 600s;
        group.ask(ask, start);
    }
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 2);
    group.tick(start + 60s);
    CHECK(group.summary(start + 60s).bulk == 2);
    group.tick(start + 603s);
    CHECK(group.summary(start + 603s).bulk == 0);
}

// Story: an entry dies with grants out and never releases them; the places it held are lost for ever and the
// group shrinks with each death until nothing is served.
TEST_CASE("the grants of a lost holder lapse")
{
    auto group = makeGroup(adaptive_bulk {}, 1, 2);
    group.ask(makeAsk(1), start);
    group.ask(makeAsk(2), start);
    group.dropHolder(1, start);
    auto other = makeAsk(3);
    other.holder = 2;
    group.takeDecisions();
    group.ask(other, start);
    CHECK(only<slot_grant>(group.takeDecisions()).empty());
    group.tick(start + 2s);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 1);
}

TEST_CASE("budgets refill by rate and share")
{
    rate_budget rate;
    CHECK(rate.take(10, 10, start) == 0ms);
    CHECK(rate.take(1, 10, start) == 100ms);
    CHECK(rate.take(1, 10, start + 100ms) == 0ms);
    CHECK(rate.take(1, 0, start) == 0ms);
    retry_budget retries;
    int granted = 0;
    for (int i = 0; i < 100; ++i) {
        retries.countRequest(0.1);
        granted += retries.takeRetry();
    }
    CHECK(granted >= 14);
    CHECK(granted <= 15);
}

// Story: an entry asks its own zone for a place at once, to look in another zone if there is none. Each such
// ask was refused, because its deadline had passed by the time that it was looked at: requests went from zone
// to zone and ended in a queue although slots were free.
TEST_CASE("an ask that wants a place at once gets a free one, or a refusal in the same step")
{
    auto group = makeGroup(adaptive_bulk {}, 1, 1);
    auto first = makeAsk(1);
    first.immediate = true;
    first.deadline = start;
    group.ask(first, start + 5ms);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 1);
    auto second = makeAsk(2);
    second.immediate = true;
    group.ask(second, start + 6ms);
    const auto refused = only<slot_refusal>(group.takeDecisions());
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason.ran == verdict::not_run);
    CHECK(group.summary(start + 6ms).liveWaiting == 0);
}

// Story: a third of the slots stood empty while batch items waited and were listed late, because bulk work
// was held back for live requests that could have taken its places in milliseconds. Played: one target with
// eight slots, forty live requests a second of 0.1 s each in bursts, items without end.
TEST_CASE("spare bulk fills every slot, and live requests still find a place at once")
{
    group_options options;
    options.policy = spare_bulk {};
    options.bulkOrder = fair_queue::order::due;
    target_group group(options);
    const std::vector<target_description> targets { { "t", "a", 8, false } };
    group.setTargets(targets, start);
    for (std::uint64_t id = 1; id <= 10; ++id)
        group.ask(makeAsk(id, work_class::bulk), start);
    CHECK(group.summary(start).bulk == 8);
    group.takeDecisions();
    for (std::uint64_t id = 100; id < 104; ++id) {
        auto live = makeAsk(id);
        live.immediate = true;
        group.ask(live, start + 10ms);
        const auto decisions = group.takeDecisions();
        CHECK(only<slot_grant>(decisions).size() == 1);
        CHECK(only<grant_revocation>(decisions).size() == 1);
    }
    CHECK(group.summary(start).live == 4);
}

TEST_CASE("of spare bulk the items that can wait longest are asked back first, overdue ones before them")
{
    group_options options;
    options.policy = spare_bulk {};
    options.bulkOrder = fair_queue::order::due;
    target_group group(options);
    const std::vector<target_description> targets { { "t", "a", 3, false } };
    group.setTargets(targets, start);
    std::map<std::uint64_t, std::uint64_t> askOfGrant;
    for (const auto& [id, due] : { std::pair(1, 20s), std::pair(2, -1s), std::pair(3, 9s) }) {
        auto ask = makeAsk(static_cast<std::uint64_t>(id), work_class::bulk);
        ask.due = start + due;
        group.ask(ask, start);
    }
    for (const auto& given : only<slot_grant>(group.takeDecisions()))
        askOfGrant[given.grantId] = given.slotRequestId;
    std::vector<std::uint64_t> order;
    for (std::uint64_t id = 100; id < 103; ++id) {
        group.ask(makeAsk(id), start + 1ms);
        for (const auto& revoked : only<grant_revocation>(group.takeDecisions()))
            order.push_back(askOfGrant.at(revoked.grantId));
    }
    CHECK(order == std::vector<std::uint64_t> { 2, 1, 3 });
}

TEST_CASE("waiting items go by their due time, overdue ones last")
{
    fair_queue queue(fair_queue::order::due);
    for (const auto& [id, due] : { std::pair(1, 20s), std::pair(2, -1s), std::pair(3, 9s) }) {
        auto ask = makeAsk(static_cast<std::uint64_t>(id), work_class::bulk, id == 3 ? "one" : "other");
        ask.due = start + due;
        queue.push(ask, start);
    }
    CHECK(queue.pop().first.id == 3);
    CHECK(queue.pop().first.id == 1);
    CHECK(queue.pop().first.id == 2);
}

namespace {

target_group makeReportingGroup(unsigned targets, unsigned slots)
{
    group_options options;
    options.policy = spare_bulk {};
    options.bulkOrder = fair_queue::order::due;
    options.refusalBackoff = 150ms;
    options.pollsLoadReports = true;
    target_group group(options);
    std::vector<target_description> all;
    for (unsigned i = 0; i < targets; ++i)
        all.push_back({ "t" + std::to_string(i), "127.0.0.1:" + std::to_string(7000 + i), slots, false });
    group.setTargets(all, start);
    return group;
}

slot_request namedAsk(std::uint64_t id, bool immediate = false)
{
    auto ask = makeAsk(id);
    ask.requestId = "r" + std::to_string(id);
    ask.immediate = immediate;
    return ask;
}

load_report runningReport(std::vector<std::string> runs, unsigned queued = 0)
{
    load_report report;
    report.running = static_cast<unsigned>(runs.size());
    report.queued = queued;
    report.runs = std::move(runs);
    return report;
}

} // namespace

// Story: a dispatcher dies while its targets are full of items. Its successor took them for empty and gave
// live requests places at once: they stood in the targets' own queues, with first events after half a second.
TEST_CASE("a new dispatcher counts its targets as full until they have told what they run")
{
    auto group = makeReportingGroup(2, 2);
    group.ask(namedAsk(1), start);
    CHECK(group.takeDecisions().empty());
    REQUIRE(group.reportsDue(start).size() == 2);
    CHECK(group.reportsDue(start + 10ms).empty()); // Each is asked once until it answers.
    group.report("t0", runningReport({ "x", "y" }), start + 5ms);
    CHECK(group.takeDecisions().empty());
    group.report("t1", runningReport({ "z" }), start + 6ms);
    const auto given = only<slot_grant>(group.takeDecisions());
    REQUIRE(given.size() == 1);
    CHECK(given[0].target == "t1");
    // The work of others is looked at again soon, and its places are used as they come free.
    group.ask(namedAsk(2), start + 10ms);
    CHECK(group.takeDecisions().empty());
    CHECK(group.reportsDue(start + 110ms).size() == 2);
    group.report("t0", runningReport({ "x" }), start + 115ms);
    REQUIRE(only<slot_grant>(group.takeDecisions()).size() == 1);
}

// Story: the first callers of a new dispatcher were refused at once, on an idle fleet: until the first
// reports its targets count as full, and a fleet without a free slot had no expected end of the wait.
TEST_CASE("the first callers of a new dispatcher wait for the first reports instead of being refused")
{
    auto group = makeReportingGroup(2, 2);
    auto ask = namedAsk(1);
    ask.deadline = start + 250ms;
    group.ask(ask, start);
    CHECK(group.takeDecisions().empty());
    group.reportsDue(start);
    group.report("t0", runningReport({}), start + 5ms);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 1);
}

TEST_CASE("a target that cannot tell its load is used after a moment")
{
    auto group = makeReportingGroup(1, 2);
    group.ask(namedAsk(1), start);
    group.reportsDue(start);
    group.recordMissedReport("t0", start + 100ms);
    CHECK(group.takeDecisions().empty());
    group.tick(start + 150ms);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 1);
}

// Story: a zone is cut off for five seconds. The holders of its items close their connections, but the
// targets do not hear of it and work on to the end; the dispatcher had counted those places as free two
// seconds later.
TEST_CASE("runs whose holder has gone hold their places for as long as the target works on them")
{
    auto group = makeReportingGroup(1, 2);
    group.reportsDue(start);
    group.report("t0", runningReport({}), start);
    group.ask(namedAsk(1), start);
    group.ask(namedAsk(2), start);
    REQUIRE(only<slot_grant>(group.takeDecisions()).size() == 2);
    group.dropHolder(1, start + 100ms);
    group.tick(start + 2200ms); // The grants have lapsed.
    auto late = namedAsk(3);
    late.holder = 2;
    late.deadline = start + 30s;
    group.report("t0", runningReport({ "r1", "r2" }), start + 3000ms);
    group.ask(late, start + 3010ms);
    CHECK(group.takeDecisions().empty());
    group.report("t0", runningReport({ "r2" }), start + 3100ms);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 1);
}

TEST_CASE("own requests in a report, running, waiting or just ended, are not the work of others")
{
    auto group = makeReportingGroup(1, 4);
    group.reportsDue(start);
    group.report("t0", runningReport({}), start);
    group.ask(namedAsk(1), start);
    group.ask(namedAsk(2), start);
    group.ask(namedAsk(3), start);
    const auto given = only<slot_grant>(group.takeDecisions());
    REQUIRE(given.size() == 3);
    group.release({ given[0].grantId, grant_outcome::ok, 5ms, 3 }, start + 500ms);
    // The report is a little old: r1 still runs in it, r3 waits.
    group.report("t0", runningReport({ "r1", "r2" }, 1), start + 520ms);
    group.ask(namedAsk(4), start + 530ms);
    group.ask(namedAsk(5), start + 530ms);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 2);
}

// Story: a target goes dark. Each request that may not run twice was sent to it until its own deadline, 5 s
// later, told that it had failed.
TEST_CASE("a target that misses two reports gets nothing until it answers, unless none answers")
{
    auto group = makeReportingGroup(2, 4);
    for (const auto* name : { "t0", "t1" })
        group.report(name, runningReport({}), start);
    group.ask(namedAsk(1), start);
    group.takeDecisions();
    group.recordMissedReport("t0", start + 250ms);
    group.recordMissedReport("t0", start + 600ms);
    for (std::uint64_t id = 2; id <= 5; ++id)
        group.ask(namedAsk(id, true), start + 610ms);
    for (const auto& given : only<slot_grant>(group.takeDecisions()))
        CHECK(given.target == "t1");
    group.recordMissedReport("t1", start + 700ms);
    group.recordMissedReport("t1", start + 1000ms);
    group.ask(namedAsk(6), start + 1010ms);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 1);
    group.report("t0", runningReport({}), start + 1100ms);
    group.ask(namedAsk(7), start + 1110ms);
    const auto given = only<slot_grant>(group.takeDecisions());
    REQUIRE(given.size() == 1);
    CHECK(given[0].target == "t0");
}

// Story: live requests come at half again the rate that the targets can serve. The queue grew until its
// expected wait was what a request may wait; half of those that joined were refused at the end of their wait,
// when they could not come back in time any more.
TEST_CASE("under overload a request that would probably wait too long is refused on arrival")
{
    group_options options;
    options.policy = spare_bulk {};
    options.waitMargin = 1.7;
    target_group group(options);
    const std::vector<target_description> targets { { "t", "a", 10, false } };
    group.setTargets(targets, start);
    // Requests take a second: a place comes free every 100 ms.
    for (std::uint64_t id = 1; id <= 10; ++id)
        group.ask(makeAsk(id), start);
    for (const auto& given : only<slot_grant>(group.takeDecisions()))
        group.release({ given.grantId, grant_outcome::ok, 30ms, 0 }, start + 1s);
    for (std::uint64_t id = 11; id <= 20; ++id)
        group.ask(makeAsk(id), start + 1s);
    group.takeDecisions();
    for (std::uint64_t id = 21; id <= 24; ++id) {
        auto ask = makeAsk(id);
        ask.deadline = start + 1250ms;
        group.ask(ask, start + 1s);
    }
    // Those with 0, 1 and 2 ahead: 1.7 times 200 ms would be too long for the third.
    const auto refused = only<slot_refusal>(group.takeDecisions());
    REQUIRE(refused.size() == 2);
    CHECK(refused[0].slotRequestId == 23);
    CHECK(refused[0].reason.ran == verdict::not_run);
    CHECK(refused[0].reason.retryAfter >= 200ms);
}

// Story: overload comes in spells of three seconds. Refused callers were told to return after a second, met
// the next refusal in the same spell, and had no retry left.
TEST_CASE("refused callers are told to return after the spell of overload, as long as the last ones were")
{
    overload_spells spells;
    auto now = start;
    const auto spell = [&](milliseconds length) {
        for (auto end = now + length; now < end; now += 20ms)
            spells.refused(now);
        now += 4s;
    };
    for (int i = 0; i < 12; ++i)
        spell(3000ms);
    spells.refused(now);
    const auto atBegin = spells.returnAfter(now);
    CHECK(atBegin > 2800ms);
    CHECK(atBegin < 3600ms);
    // Few refusals now and then are no spells that callers would meet.
    for (int i = 0; i < 5; ++i)
        spells.refused(now += 1s);
    CHECK(spells.returnAfter(now += 1s) > 2000ms);
    // A spell that lasts longer than the others is expected to last as long again.
    for (int i = 0; i < 300; ++i)
        spells.refused(now += 20ms);
    CHECK(spells.returnAfter(now) >= 6000ms);
}
