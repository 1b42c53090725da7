#include "../src/live_load.h"
#include "../src/target_health.h"
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

slot_request makeRequest(
    std::uint64_t id, work_class workClass = work_class::live, std::string customer = "armor")
{
    slot_request request;
    request.holder = 1;
    request.id = id;
    request.customer = std::move(customer);
    request.workClass = workClass;
    request.deadline = start + 30s;
    request.due = start + 1h;
    return request;
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
        group.ask(makeRequest(id), start);
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

TEST_CASE("bulk work leaves the reserve free and is revoked at once for live arrivals")
{
    auto group = makeGroup(adaptive_bulk { 0.25 }, 1, 8);
    for (std::uint64_t id = 1; id <= 20; ++id)
        group.ask(makeRequest(id, work_class::bulk), start);
    auto now = start;
    for (int i = 0; i < 100; ++i)
        group.tick(now += 20ms);
    const auto bulk = only<slot_grant>(group.takeDecisions());
    CHECK(bulk.size() == 6);
    for (std::uint64_t id = 101; id <= 105; ++id)
        group.ask(makeRequest(id), now);
    const auto decisions = group.takeDecisions();
    // Two free slots and three of revoked items, which are granted without waiting for their release.
    CHECK(only<slot_grant>(decisions).size() == 5);
    const auto revoked = only<grant_revocation>(decisions);
    REQUIRE(revoked.size() == 3);
    CHECK(revoked[0].grantId == bulk.back().grantId);
    group.ask(makeRequest(106), now);
    CHECK(only<grant_revocation>(group.takeDecisions()).size() == 1);
    // The release of a revoked grant does not free its slot a second time.
    for (const auto& one : revoked)
        group.release({ one.grantId, grant_outcome::abandoned, 0ms, 0 }, now + 5ms);
    for (std::uint64_t id = 107; id <= 110; ++id)
        group.ask(makeRequest(id), now + 5ms);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 2);
    CHECK(group.summary(now + 5ms).live == 8);
    CHECK(group.summary(now + 5ms).liveWaiting == 2);
}

TEST_CASE("the reserve is derived from the busy intervals of arrivals, not from the number of requests")
{
    arrival_history arrivals;
    CHECK(arrivals.p95Arrivals(start) == 0);
    // One request in each interval of 20 ms, but five in every tenth.
    for (int span = 0; span < 250; ++span) {
        for (int i = 0; i < (span % 10 == 0 ? 5 : 1); ++i)
            arrivals.record(start + 20ms * span);
    }
    CHECK(arrivals.p95Arrivals(start + 5s) == 5);
    CHECK(arrivals.p95Arrivals(start + 60s) == 0);
}

TEST_CASE("each bulk policy computes its allowance")
{
    const bulk_policy_input half { 16, 8, 0, 2, 0, 1.0 };
    CHECK(bulkAllowance(no_bulk {}, half) == 0);
    CHECK(bulkAllowance(unlimited_bulk {}, half) > 1000000);
    CHECK(bulkAllowance(fixed_bulk { 3 }, half) == 6);
    CHECK(bulkAllowance(adaptive_bulk { 0.1 }, half) == 6);
    bulk_policy_input waiting = half;
    waiting.liveWaiting = 1;
    CHECK(bulkAllowance(adaptive_bulk { 0.1 }, waiting) == 0);
    bulk_policy_input busy = half;
    busy.arrivals = 6;
    CHECK(bulkAllowance(adaptive_bulk { 0.1 }, busy) == 2);
    CHECK(adaptWindow(0.5, true, true) == 0.25);
    CHECK(adaptWindow(0.5, false, false) == 0.5);
    CHECK(adaptWindow(0.99, false, true) == 1.0);
}

// Guards against requests that are sent to a crashed target and retried, with the delay for the callers, for
// as long as the list of targets still contains it. After a few failures the target gets no requests, then
// single probes.
TEST_CASE("a failing target is ejected, probed with single requests, and used again")
{
    auto group = makeGroup(adaptive_bulk {}, 2, 4);
    auto now = start;
    std::uint64_t id = 0;
    int sentToFailing = 0;
    const auto sendOne = [&](bool healthy) {
        group.ask(makeRequest(++id), now);
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

// Guards against a request that waits in a long queue until its timeout of one second, is refused then, and
// is retried, which lengthens the queue. It has to be refused on arrival with a time to retry after.
TEST_CASE("a request that cannot be served in time is refused at once with a time to retry after")
{
    auto group = makeGroup(adaptive_bulk {}, 1, 1);
    group.ask(makeRequest(1), start);
    auto given = only<slot_grant>(group.takeDecisions());
    group.release({ given[0].grantId, grant_outcome::ok, 1ms, 1 }, start + 400ms);
    for (std::uint64_t id = 2; id <= 7; ++id)
        group.ask(makeRequest(id), start + 400ms);
    group.takeDecisions();
    auto urgent = makeRequest(8);
    urgent.deadline = start + 1400ms;
    group.ask(urgent, start + 400ms);
    const auto refused = only<slot_refusal>(group.takeDecisions());
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason.ran == verdict::not_run);
    CHECK(refused[0].reason.retryAfter == 2000ms);
}

TEST_CASE("the queue is limited per customer, and an expired request is refused")
{
    auto group = makeGroup(adaptive_bulk {}, 1, 1);
    auto request = makeRequest(1);
    request.queueLimit = 1;
    for (; request.id <= 3; ++request.id)
        group.ask(request, start);
    const auto decisions = group.takeDecisions();
    CHECK(only<slot_grant>(decisions).size() == 1);
    REQUIRE(only<slot_refusal>(decisions).size() == 1);
    group.tick(start + 31s);
    const auto expired = only<slot_refusal>(group.takeDecisions());
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].slotRequestId == 2);
}

TEST_CASE("targets that are draining or shutting down get no new requests")
{
    auto group = makeGroup(adaptive_bulk {}, 2, 4);
    group.report("t0", { 0, 0, 4, 0, true }, start);
    for (std::uint64_t id = 1; id <= 4; ++id)
        group.ask(makeRequest(id), start);
    for (const auto& given : only<slot_grant>(group.takeDecisions()))
        CHECK(given.target == "t1");
    const std::vector<target_description> drained { { "t0", "127.0.0.1:7000", 4, true },
        { "t1", "127.0.0.1:7001", 4, true } };
    group.setTargets(drained, start);
    group.ask(makeRequest(5), start);
    const auto refused = only<slot_refusal>(group.takeDecisions());
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason.kind == failure_kind::unavailable);
}

TEST_CASE("a target that refused a request gets no others until its next report")
{
    auto group = makeGroup(adaptive_bulk {}, 2, 4);
    group.ask(makeRequest(1), start);
    const auto first = only<slot_grant>(group.takeDecisions())[0];
    group.release({ first.grantId, grant_outcome::refused, 0ms, 0 }, start);
    for (std::uint64_t id = 2; id <= 5; ++id)
        group.ask(makeRequest(id), start);
    for (const auto& given : only<slot_grant>(group.takeDecisions()))
        CHECK(given.target != first.target);
    group.report(first.target, { 0, 0, 4, 0, false }, start + 1s);
    group.ask(makeRequest(6), start + 1s);
    CHECK(only<slot_grant>(group.takeDecisions())[0].target == first.target);
}

TEST_CASE("requests with a shared prefix go to the target that cached it, unless its load is much higher")
{
    auto group = makeGroup(adaptive_bulk {}, 4, 4);
    const auto prefixes = prefixHashes(std::string(1000, 'x'));
    CHECK(prefixes.size() == 15);
    std::vector<std::string> targets;
    for (std::uint64_t id = 1; id <= 4; ++id) {
        auto request = makeRequest(id);
        request.prefixes = prefixes;
        group.ask(request, start);
        targets.push_back(only<slot_grant>(group.takeDecisions())[0].target);
    }
    CHECK(targets[0] == targets[1]);
    CHECK(targets[1] == targets[2]);
    CHECK(targets[3] != targets[2]);
}

TEST_CASE("work that the dispatcher did not send takes slots according to the target's report")
{
    auto group = makeGroup(adaptive_bulk {}, 1, 4);
    group.report("t0", { 3, 0, 4, 0, false }, start);
    for (std::uint64_t id = 1; id <= 4; ++id)
        group.ask(makeRequest(id), start);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 1);
    group.report("t0", { 1, 0, 4, 0, false }, start + 100ms);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 3);
}

// Guards against slots that stay empty while callers wait: a lagging report counts requests that have just
// finished as running, and they were taken for work of others until the next report.
TEST_CASE("own requests that finished before a lagging report do not count as work of others")
{
    auto group = makeGroup(adaptive_bulk {}, 1, 4);
    for (std::uint64_t id = 1; id <= 4; ++id)
        group.ask(makeRequest(id), start);
    for (const auto& given : only<slot_grant>(group.takeDecisions()))
        group.release({ given.grantId, grant_outcome::ok, 1ms, 1 }, start + 500ms);
    group.report("t0", { 4, 0, 4, 0, false }, start + 600ms);
    for (std::uint64_t id = 5; id <= 8; ++id)
        group.ask(makeRequest(id), start + 600ms);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 4);
    for (std::uint64_t id = 9; id <= 12; ++id)
        group.ask(makeRequest(id), start + 600ms);
    CHECK(only<slot_grant>(group.takeDecisions()).empty());
    // Without recent own grants the same report can only mean work of others.
    auto later = makeGroup(adaptive_bulk {}, 1, 4);
    later.report("t0", { 4, 0, 4, 0, false }, start + 10s);
    later.ask(makeRequest(1), start + 10s);
    CHECK(only<slot_grant>(later.takeDecisions()).empty());
}

// Guards against grants that expire with the deadline of their slot request while the bulk items run for a
// minute: their slots were granted again, and live requests queued at the engine behind both.
TEST_CASE("a grant expires after the maximum run time of its request, not at the deadline for the grant")
{
    auto group = makeGroup(fixed_bulk { 2 }, 1, 2);
    for (std::uint64_t id = 1; id <= 2; ++id) {
        auto request = makeRequest(id, work_class::bulk);
        request.deadline = start + 5s;
        request.hold = 600s;
        group.ask(request, start);
    }
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 2);
    group.tick(start + 60s);
    CHECK(group.summary(start + 60s).bulk == 2);
    group.tick(start + 603s);
    CHECK(group.summary(start + 603s).bulk == 0);
}

// Guards against slots that are lost for good because an entry has crashed without releasing its grants.
TEST_CASE("the grants of a lost holder expire")
{
    auto group = makeGroup(adaptive_bulk {}, 1, 2);
    group.ask(makeRequest(1), start);
    group.ask(makeRequest(2), start);
    group.dropHolder(1, start);
    auto other = makeRequest(3);
    other.holder = 2;
    group.takeDecisions();
    group.ask(other, start);
    CHECK(only<slot_grant>(group.takeDecisions()).empty());
    group.tick(start + 2s);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 1);
}

TEST_CASE("the rate budget refills over time and the retry budget with requests")
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

// Guards against immediate requests that are refused because their deadline has passed when they are
// processed. An entry sends one to its own zone before it tries other zones: requests were passed from zone
// to zone and ended in a queue although slots were free.
TEST_CASE("an immediate request gets a free slot, or a refusal in the same step")
{
    auto group = makeGroup(adaptive_bulk {}, 1, 1);
    auto first = makeRequest(1);
    first.immediate = true;
    first.deadline = start;
    group.ask(first, start + 5ms);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 1);
    auto second = makeRequest(2);
    second.immediate = true;
    group.ask(second, start + 6ms);
    const auto refused = only<slot_refusal>(group.takeDecisions());
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason.ran == verdict::not_run);
    CHECK(group.summary(start + 6ms).liveWaiting == 0);
}

// Guards against bulk work that leaves slots empty for live requests, which could have revoked it within
// milliseconds: a third of the slots was empty while batch items waited and were finished late.
TEST_CASE("spare bulk work fills every slot, and live requests still get one at once")
{
    group_options options;
    options.policy = spare_bulk {};
    options.bulkOrder = fair_queue::order::due;
    target_group group(options);
    const std::vector<target_description> targets { { "t", "a", 8, false } };
    group.setTargets(targets, start);
    for (std::uint64_t id = 1; id <= 10; ++id)
        group.ask(makeRequest(id, work_class::bulk), start);
    CHECK(group.summary(start).bulk == 8);
    group.takeDecisions();
    for (std::uint64_t id = 100; id < 104; ++id) {
        auto live = makeRequest(id);
        live.immediate = true;
        group.ask(live, start + 10ms);
        const auto decisions = group.takeDecisions();
        CHECK(only<slot_grant>(decisions).size() == 1);
        CHECK(only<grant_revocation>(decisions).size() == 1);
    }
    CHECK(group.summary(start).live == 4);
}

TEST_CASE("of spare bulk work, overdue items are revoked first, then those due last")
{
    group_options options;
    options.policy = spare_bulk {};
    options.bulkOrder = fair_queue::order::due;
    target_group group(options);
    const std::vector<target_description> targets { { "t", "a", 3, false } };
    group.setTargets(targets, start);
    std::map<std::uint64_t, std::uint64_t> requestIdByGrant;
    for (const auto& [id, due] : { std::pair(1, 20s), std::pair(2, -1s), std::pair(3, 9s) }) {
        auto request = makeRequest(static_cast<std::uint64_t>(id), work_class::bulk);
        request.due = start + due;
        group.ask(request, start);
    }
    for (const auto& given : only<slot_grant>(group.takeDecisions()))
        requestIdByGrant[given.grantId] = given.slotRequestId;
    std::vector<std::uint64_t> order;
    for (std::uint64_t id = 100; id < 103; ++id) {
        group.ask(makeRequest(id), start + 1ms);
        for (const auto& revoked : only<grant_revocation>(group.takeDecisions()))
            order.push_back(requestIdByGrant.at(revoked.grantId));
    }
    CHECK(order == std::vector<std::uint64_t> { 2, 1, 3 });
}

TEST_CASE("waiting items are ordered by due time, overdue ones last")
{
    fair_queue queue(fair_queue::order::due);
    for (const auto& [id, due] : { std::pair(1, 20s), std::pair(2, -1s), std::pair(3, 9s) }) {
        auto request
            = makeRequest(static_cast<std::uint64_t>(id), work_class::bulk, id == 3 ? "one" : "other");
        request.due = start + due;
        queue.push(request, start);
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

slot_request namedRequest(std::uint64_t id, bool immediate = false)
{
    auto request = makeRequest(id);
    request.requestId = "r" + std::to_string(id);
    request.immediate = immediate;
    return request;
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

// Guards against a new dispatcher that takes its targets for idle while they are full of items granted by its
// crashed predecessor: live requests got grants at once but waited half a second in the targets' own queues.
TEST_CASE("a new dispatcher counts its targets as full until they have reported what they run")
{
    auto group = makeReportingGroup(2, 2);
    group.ask(namedRequest(1), start);
    CHECK(group.takeDecisions().empty());
    REQUIRE(group.reportsDue(start).size() == 2);
    CHECK(group.reportsDue(start + 10ms).empty()); // Each is polled once until it answers.
    group.report("t0", runningReport({ "x", "y" }), start + 5ms);
    CHECK(group.takeDecisions().empty());
    group.report("t1", runningReport({ "z" }), start + 6ms);
    const auto given = only<slot_grant>(group.takeDecisions());
    REQUIRE(given.size() == 1);
    CHECK(given[0].target == "t1");
    // Targets with work of others are polled again soon, and slots are used as they become free.
    group.ask(namedRequest(2), start + 10ms);
    CHECK(group.takeDecisions().empty());
    CHECK(group.reportsDue(start + 110ms).size() == 2);
    group.report("t0", runningReport({ "x" }), start + 115ms);
    REQUIRE(only<slot_grant>(group.takeDecisions()).size() == 1);
}

// Guards against refusals by a new dispatcher of an idle fleet: its targets count as full until their first
// reports, and without a free slot there was no estimate of the wait.
TEST_CASE("the first requests to a new dispatcher wait for the first reports instead of being refused")
{
    auto group = makeReportingGroup(2, 2);
    auto request = namedRequest(1);
    request.deadline = start + 250ms;
    group.ask(request, start);
    CHECK(group.takeDecisions().empty());
    group.reportsDue(start);
    group.report("t0", runningReport({}), start + 5ms);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 1);
}

TEST_CASE("a target that does not report its load is used after a short time")
{
    auto group = makeReportingGroup(1, 2);
    group.ask(namedRequest(1), start);
    group.reportsDue(start);
    group.recordMissedReport("t0", start + 100ms);
    CHECK(group.takeDecisions().empty());
    group.tick(start + 150ms);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 1);
}

// Guards against slots that are counted as free while their requests still run: during a network partition of
// five seconds the holders closed their connections, but the targets did not notice and ran the items to the
// end. The dispatcher had counted the slots as free after two seconds.
TEST_CASE("requests whose holder is lost occupy their slots for as long as the target runs them")
{
    auto group = makeReportingGroup(1, 2);
    group.reportsDue(start);
    group.report("t0", runningReport({}), start);
    group.ask(namedRequest(1), start);
    group.ask(namedRequest(2), start);
    REQUIRE(only<slot_grant>(group.takeDecisions()).size() == 2);
    group.dropHolder(1, start + 100ms);
    group.tick(start + 2200ms); // The grants have expired.
    auto late = namedRequest(3);
    late.holder = 2;
    late.deadline = start + 30s;
    group.report("t0", runningReport({ "r1", "r2" }), start + 3000ms);
    group.ask(late, start + 3010ms);
    CHECK(group.takeDecisions().empty());
    group.report("t0", runningReport({ "r2" }), start + 3100ms);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 1);
}

TEST_CASE("own requests in a report, running, queued or just finished, do not count as work of others")
{
    auto group = makeReportingGroup(1, 4);
    group.reportsDue(start);
    group.report("t0", runningReport({}), start);
    group.ask(namedRequest(1), start);
    group.ask(namedRequest(2), start);
    group.ask(namedRequest(3), start);
    const auto given = only<slot_grant>(group.takeDecisions());
    REQUIRE(given.size() == 3);
    group.release({ given[0].grantId, grant_outcome::ok, 5ms, 3 }, start + 500ms);
    // The report lags: r1 is still running in it, and r3 is queued.
    group.report("t0", runningReport({ "r1", "r2" }, 1), start + 520ms);
    group.ask(namedRequest(4), start + 530ms);
    group.ask(namedRequest(5), start + 530ms);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 2);
}

// Guards against requests to an unresponsive target: one that must not run twice failed only at its own
// deadline, 5 s later.
TEST_CASE("a target that misses two reports gets no requests until it answers, unless no target answers")
{
    auto group = makeReportingGroup(2, 4);
    for (const auto* name : { "t0", "t1" })
        group.report(name, runningReport({}), start);
    group.ask(namedRequest(1), start);
    group.takeDecisions();
    group.recordMissedReport("t0", start + 250ms);
    group.recordMissedReport("t0", start + 600ms);
    for (std::uint64_t id = 2; id <= 5; ++id)
        group.ask(namedRequest(id, true), start + 610ms);
    for (const auto& given : only<slot_grant>(group.takeDecisions()))
        CHECK(given.target == "t1");
    group.recordMissedReport("t1", start + 700ms);
    group.recordMissedReport("t1", start + 1000ms);
    group.ask(namedRequest(6), start + 1010ms);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 1);
    group.report("t0", runningReport({}), start + 1100ms);
    group.ask(namedRequest(7), start + 1110ms);
    const auto given = only<slot_grant>(group.takeDecisions());
    REQUIRE(given.size() == 1);
    CHECK(given[0].target == "t0");
}

// Guards against a queue that grows until the expected wait equals the time that a request may wait. With
// live requests at 1.5 times the rate that the targets can serve, half of the waiting requests were refused
// at the end of their wait, too late for a retry in time.
TEST_CASE("under overload a request that would probably wait too long is refused on arrival")
{
    group_options options;
    options.policy = spare_bulk {};
    options.waitMargin = 1.7;
    target_group group(options);
    const std::vector<target_description> targets { { "t", "a", 10, false } };
    group.setTargets(targets, start);
    // Requests take a second: a slot becomes free every 100 ms.
    for (std::uint64_t id = 1; id <= 10; ++id)
        group.ask(makeRequest(id), start);
    for (const auto& given : only<slot_grant>(group.takeDecisions()))
        group.release({ given.grantId, grant_outcome::ok, 30ms, 0 }, start + 1s);
    for (std::uint64_t id = 11; id <= 20; ++id)
        group.ask(makeRequest(id), start + 1s);
    group.takeDecisions();
    for (std::uint64_t id = 21; id <= 24; ++id) {
        auto request = makeRequest(id);
        request.deadline = start + 1250ms;
        group.ask(request, start + 1s);
    }
    // The third request has two ahead of it: 1.7 times 200 ms exceeds its 250 ms.
    const auto refused = only<slot_refusal>(group.takeDecisions());
    REQUIRE(refused.size() == 2);
    CHECK(refused[0].slotRequestId == 23);
    CHECK(refused[0].reason.ran == verdict::not_run);
    CHECK(refused[0].reason.retryAfter >= 200ms);
}

// Guards against a fixed retry delay of one second while overload lasts about three seconds at a time: the
// retries of refused callers were refused in the same period of overload, and no retry was left.
TEST_CASE("the retry delay of refused callers follows the length of recent periods of overload")
{
    overload_periods periods;
    auto now = start;
    const auto overloadFor = [&](milliseconds length) {
        for (auto end = now + length; now < end; now += 20ms)
            periods.recordRefusal(now);
        now += 4s;
    };
    for (int i = 0; i < 12; ++i)
        overloadFor(3000ms);
    periods.recordRefusal(now);
    const auto atBegin = periods.retryDelay(now);
    CHECK(atBegin > 2800ms);
    CHECK(atBegin < 3600ms);
    // Single refusals have little weight.
    for (int i = 0; i < 5; ++i)
        periods.recordRefusal(now += 1s);
    CHECK(periods.retryDelay(now += 1s) > 2000ms);
    // If the current period is longer than the mean, its own length so far is the retry delay.
    for (int i = 0; i < 300; ++i)
        periods.recordRefusal(now += 20ms);
    CHECK(periods.retryDelay(now) >= 6000ms);
}
