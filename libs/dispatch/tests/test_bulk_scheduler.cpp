#include "../src/live_demand.h"
#include "../src/revocation.h"
#include "dispatch/dispatch.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <random>

using namespace yuccachute;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time {} + 1h;

/// Demand that alternates between a trough of `low` slots for 3.4 s and a peak of `high` for 2.4 s.
unsigned wave(steady_time::duration elapsed, unsigned low, unsigned high)
{
    return elapsed % 5800ms < 3400ms ? low : high;
}

template <typename Demand>
void record(live_demand& demand, steady_time::duration from, steady_time::duration to, Demand slotsAt)
{
    for (auto elapsed = from; elapsed < to; elapsed += 20ms)
        demand.record(slotsAt(elapsed), start + elapsed);
}

} // namespace

TEST_CASE("peaks that repeat are expected after a period has been seen")
{
    live_demand demand;
    const auto square = [](auto elapsed) { return wave(elapsed, 36, 183); };
    record(demand, 0ms, 11s, square);
    CHECK(!demand.nextPeak(start + 11s));
    record(demand, 11s, 12s, square);
    CHECK(demand.nextPeak(start + 12s));
    record(demand, 12s, 18s, square);
    const auto peak = demand.nextPeak(start + 18s);
    REQUIRE(peak);
    CHECK(std::chrono::abs(peak->start - (start + 20800ms)) <= 300ms);
    CHECK(std::chrono::abs(peak->end - (start + 23200ms)) <= 500ms);
    CHECK(peak->slots == 183);
    CHECK(std::chrono::abs(peak->trough - 3400ms) <= 500ms);
}

// Guards against slots that stay idle for a peak that does not come.
TEST_CASE("a peak that fails to come or does not end ends the expectation")
{
    live_demand demand;
    const auto square = [](auto elapsed) { return wave(elapsed, 36, 183); };
    record(demand, 0ms, 18s, square);
    auto silent = demand;
    record(silent, 18s, 24s, [](auto) { return 36u; });
    CHECK(silent.nextPeak(start + 21s));
    CHECK(!silent.nextPeak(start + 24s));
    record(demand, 18s, 28s, [](auto elapsed) { return elapsed < 20800ms ? 36u : 183u; });
    CHECK(demand.nextPeak(start + 22s));
    CHECK(!demand.nextPeak(start + 28s));
}

// Guards against items held back because random fluctuation was taken for peaks.
TEST_CASE("steady or irregular demand has no expected peak")
{
    for (const double mean : { 4.0, 20.0, 100.0 }) {
        live_demand demand;
        std::mt19937_64 random(7);
        std::poisson_distribution<unsigned> steady(mean);
        unsigned expected = 0;
        for (int second = 0; second < 120; ++second) {
            record(demand, second * 1s, second * 1s + 1s, [&](auto) { return steady(random); });
            expected += demand.nextPeak(start + second * 1s + 1s) ? 1 : 0;
        }
        CHECK(expected == 0);
    }
    live_demand irregular;
    auto from = 0s;
    for (const auto at : { 3s, 6s, 14s, 18s, 31s, 33s }) {
        record(irregular, from, at, [](auto) { return 10u; });
        record(irregular, at, at + 1s, [](auto) { return 100u; });
        from = at + 1s;
        record(irregular, from, from + 500ms, [](auto) { return 10u; });
        // Two peaks of equal length are taken for a period until the third does not come in time.
        CHECK(irregular.nextPeak(start + from + 500ms).has_value() == (at == 6s));
    }
}

TEST_CASE("the expected time of an item counts the work done again, and is unknown without figures")
{
    slot_request item;
    item.due = start + 18s;
    item.remainingEvents = 100;
    item.producedEvents = 100;
    CHECK(expectedTime(item, 40ms) == 4000ms + 80ms);
    CHECK(!expectedTime(item, 0ms));
    for (const double invalid : { 0.0, -1.0, 1e30, std::nan("") }) {
        item.remainingEvents = invalid;
        CHECK(!expectedTime(item, 40ms));
    }
    item.remainingEvents = 100;
    // At an interval of a few seconds, the work of so many events exceeds the range of a duration.
    item.producedEvents = 4'000'000'000;
    CHECK(!expectedTime(item, 40ms));
    item.producedEvents = 100;
    item.due = {};
    CHECK(!expectedTime(item, 40ms));
}

TEST_CASE("an item is at risk if it would be late after the time that it may have to wait")
{
    CHECK(urgencyOf(start + 10s, 4s, 0s, start) == item_urgency::on_time);
    CHECK(urgencyOf(start + 10s, 4s, 5500ms, start) == item_urgency::at_risk);
    CHECK(urgencyOf(start + 5s, 4s, 0s, start) == item_urgency::on_time);
    CHECK(urgencyOf(start + 4900ms, 4s, 0s, start) == item_urgency::at_risk);
    CHECK(urgencyOf(start + 3s, 4s, 0s, start) == item_urgency::late);
}

TEST_CASE("before a peak only items start that get half done, are at risk or may run through it")
{
    const expected_peak peak { start + 2s, start + 4s, 10, 5s };
    CHECK(mayStartBeforePeak(peak, 0, item_urgency::on_time, 4s, start));
    CHECK(!mayStartBeforePeak(peak, 0, item_urgency::on_time, 5s, start));
    CHECK(!mayStartBeforePeak(peak, 0, item_urgency::late, 5s, start));
    CHECK(mayStartBeforePeak(peak, 0, item_urgency::late, 9s, start - 500ms));
    CHECK(!mayStartBeforePeak(peak, 0, item_urgency::late, 9s, start - 400ms));
    CHECK(!mayStartBeforePeak(peak, 0, item_urgency::on_time, 9s, start - 500ms));
    CHECK(mayStartBeforePeak(peak, 0, item_urgency::at_risk, 5s, start));
    CHECK(mayStartBeforePeak(peak, 1, item_urgency::on_time, 5s, start));
    CHECK(!mayStartBeforePeak(peak, -3, item_urgency::on_time, 1s, start + 3s));
}

TEST_CASE("nothing is revoked for live requests that get a slot in time anyway")
{
    CHECK(revocationsNeeded({ start + 50ms, start + 50ms }, { start + 10ms, start + 40ms }, start) == 0);
    CHECK(revocationsNeeded({ start + 50ms, start + 50ms }, { start + 10ms, start + 60ms }, start) == 1);
    // A release that should have come by now is not counted on.
    CHECK(revocationsNeeded({ start + 50ms }, { start - 10ms }, start) == 1);
    CHECK(revocationsNeeded({ start - 1ms }, { start + 1ms }, start) == 1);
    slot_request live;
    live.deadline = start + 250ms;
    CHECK(latestGrantTime(live, start) == start + 25ms);
    CHECK(immediateWaitEnd(live, start) == start + 50ms);
    live.deadline = {}; // Immediate requests of older processes have none.
    CHECK(latestGrantTime(live, start) == start);
    CHECK(immediateWaitEnd(live, start) == start);
}

TEST_CASE("items are revoked by the harm: late anyway, least work lost, nearly done, at risk")
{
    const auto item
        = [](std::uint64_t id, item_urgency urgency, milliseconds remaining, milliseconds worked) {
              return revocable_item { id, start + 10s, true, urgency, remaining, worked, 0ms };
          };
    std::vector<revocable_item> items {
        item(1, item_urgency::at_risk, 4s, 0s),
        item(2, item_urgency::on_time, 500ms, 4s),
        item(3, item_urgency::on_time, 3s, 2s),
        item(4, item_urgency::on_time, 4s, 1s),
        item(5, item_urgency::late, 4s, 3s),
    };
    orderForRevocation(items, start);
    std::vector<std::uint64_t> order;
    for (const auto& one : items)
        order.push_back(one.grantId);
    CHECK(order == std::vector<std::uint64_t> { 5, 4, 3, 2, 1 });
    CHECK(reasonOf(items[0], start) == revocation_reason::late_anyway);
    CHECK(reasonOf(items[1], start) == revocation_reason::can_end_in_time);
    CHECK(reasonOf(items[4], start) == revocation_reason::at_risk);
}

namespace {

constexpr auto eventTime = 40ms;

target_group makeLookaheadGroup(unsigned slots)
{
    group_options options;
    options.policy = spare_bulk {};
    options.bulkOrder = fair_queue::order::due;
    options.assumedEventInterval = eventTime;
    target_group group(options);
    const std::vector<target_description> targets { { "t", "a", slots, false } };
    group.setTargets(targets, start);
    return group;
}

slot_request makeItem(std::uint64_t id, steady_time due, double remainingEvents)
{
    slot_request request;
    request.holder = 1;
    request.id = id;
    request.customer = "batch";
    request.workClass = work_class::bulk;
    request.deadline = start + 10min;
    request.due = due;
    request.remainingEvents = remainingEvents;
    return request;
}

slot_request makeLive(std::uint64_t id, steady_time now)
{
    slot_request request;
    request.holder = 1;
    request.id = id;
    request.customer = "armor";
    request.deadline = now + 250ms;
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

/// Live load of 60 slots in each peak of wave(), until 0.8 s before the fourth. Returns the time reached.
steady_time playPeaks(target_group& group, std::uint64_t& id)
{
    std::vector<std::uint64_t> live;
    auto now = start;
    for (auto elapsed = 0ms; elapsed < 20s; elapsed += 20ms) {
        now = start + elapsed;
        while (live.size() < wave(elapsed, 0, 60)) {
            group.ask(makeLive(++id, now), now);
            live.push_back(only<slot_grant>(group.takeDecisions()).at(0).grantId);
        }
        if (wave(elapsed, 0, 60) == 0) {
            for (const auto grant : std::exchange(live, {}))
                group.release({ grant, grant_outcome::ok }, now);
        }
        group.tick(now);
    }
    return now;
}

} // namespace

// Guards against an item that is due later, but so long that it is late if it waits, behind short ones.
TEST_CASE("items at risk start before items that are due earlier")
{
    auto group = makeLookaheadGroup(1);
    group.ask(makeLive(1, start), start);
    const auto live = only<slot_grant>(group.takeDecisions()).at(0).grantId;
    group.ask(makeItem(2, start + 10s, 50), start); // 2 s
    group.ask(makeItem(3, start + 12s, 250), start); // 10 s
    group.ask(makeItem(4, start + 5s, 250), start); // 10 s: late anyway
    group.release({ live, grant_outcome::ok }, start + 100ms);
    const auto given = only<slot_grant>(group.takeDecisions());
    REQUIRE(given.size() == 1);
    CHECK(given[0].slotRequestId == 3);
    group.release({ given[0].grantId, grant_outcome::ok }, start + 200ms);
    CHECK(only<slot_grant>(group.takeDecisions()).at(0).slotRequestId == 2);
}

// Guards against runs that are ended although a slot becomes free within milliseconds, and against live
// requests that wait for a release that does not come.
TEST_CASE("a live request waits for a slot that is about to become free, but not longer than a tenth")
{
    for (const bool immediate : { false, true })
        for (const bool released : { true, false }) {
            auto group = makeLookaheadGroup(2);
            group.ask(makeItem(1, start + 18s, 50), start); // Ends at 2 s.
            group.ask(makeItem(2, start + 18s, 100), start);
            const auto items = only<slot_grant>(group.takeDecisions());
            const auto now = start + 1985ms;
            auto live = makeLive(10, now);
            live.immediate = immediate;
            group.ask(live, now);
            CHECK(group.takeDecisions().empty());
            if (released)
                group.release({ items[0].grantId, grant_outcome::ok }, now + 15ms);
            else
                group.tick(now + 16ms);
            const auto decisions = group.takeDecisions();
            CHECK(only<slot_grant>(decisions).size() == 1);
            CHECK(only<grant_revocation>(decisions).size() == (released ? 0 : 1));
        }
}

TEST_CASE("an immediate live request gets a slot at once, and the revocation names its reason")
{
    auto group = makeLookaheadGroup(2);
    group.ask(makeItem(1, start + 18s, 50), start);
    group.ask(makeItem(2, start + 1s, 100), start);
    const auto items = only<slot_grant>(group.takeDecisions());
    auto live = makeLive(10, start + 500ms);
    live.immediate = true;
    group.ask(live, start + 500ms);
    const auto decisions = group.takeDecisions();
    CHECK(only<slot_grant>(decisions).size() == 1);
    const auto revoked = only<grant_revocation>(decisions);
    REQUIRE(revoked.size() == 1);
    CHECK(revoked[0].grantId == items[1].grantId);
    CHECK(revoked[0].reason == revocation_reason::late_anyway);
    CHECK(revoked[0].expectedLateness >= 3s);
    CHECK(group.summary(start + 500ms).revocations.at(revocation_reason::late_anyway) == 1);
}

// Guards against an immediate request that is refused, or for which an item is revoked, although a slot is
// about to become free.
TEST_CASE("an immediate live request waits in turn for an expected release")
{
    auto group = makeLookaheadGroup(2);
    group.ask(makeItem(1, start + 18s, 50), start); // Ends at 2 s.
    group.ask(makeItem(2, start + 18s, 100), start);
    const auto items = only<slot_grant>(group.takeDecisions());
    const auto now = start + 1985ms;
    group.ask(makeLive(10, now), now);
    CHECK(group.takeDecisions().empty());
    auto immediate = makeLive(11, now);
    immediate.immediate = true;
    group.ask(immediate, now);
    const auto decisions = group.takeDecisions();
    // One slot is about to become free, and another is revoked.
    CHECK(only<slot_grant>(decisions).size() == 1);
    CHECK(only<grant_revocation>(decisions).size() == 1);
    CHECK(only<slot_refusal>(decisions).empty());
    group.release({ items[0].grantId, grant_outcome::ok }, now + 15ms);
    const auto given = only<slot_grant>(group.takeDecisions());
    REQUIRE(given.size() == 1);
    CHECK(given[0].slotRequestId == 11);
}

// Guards against items that start just before a peak and are revoked in it, and against a slot that stays
// idle although an item at risk waits.
TEST_CASE("before an expected peak, long items are held back and counted, and items at risk start")
{
    auto group = makeLookaheadGroup(60);
    std::uint64_t id = 0;
    auto now = playPeaks(group, id);
    // The next peak begins after 0.8 s.
    group.ask(makeItem(++id, now + 18s, 100), now);
    CHECK(group.takeDecisions().empty());
    CHECK(group.summary(now).startsHeldBack == 1);
    now += 20ms;
    group.ask(makeItem(++id, now + 6s, 100), now);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 1);
    group.ask(makeItem(++id, now + 18s, 25), now);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 1);
    CHECK(group.summary(now).bulkWaiting == 1);
    CHECK(group.summary(now).startsHeldBack == 1);
}

// Guards against items held back because runs at a target that live requests cannot use count against the
// slots that the peak leaves.
TEST_CASE("items at a target that accepts nothing hold none of the slots that a peak leaves")
{
    auto group = makeLookaheadGroup(4);
    std::uint64_t id = 1000;
    for (int i = 0; i < 4; ++i)
        group.ask(makeItem(++id, start + 10min, 5000), start);
    REQUIRE(only<slot_grant>(group.takeDecisions()).size() == 4);
    const std::vector<target_description> changed { { "t", "a", 4, true }, { "u", "b", 62, false } };
    group.setTargets(changed, start);
    const auto now = playPeaks(group, id);
    for (int i = 0; i < 3; ++i)
        group.ask(makeItem(++id, now + 18s, 100), now);
    CHECK(only<slot_grant>(group.takeDecisions()).size() == 2);
}

// Guards against an item that never runs because it is late and longer than the time between two peaks.
TEST_CASE("a late item that does not fit between two peaks starts when a peak has ended")
{
    auto group = makeLookaheadGroup(60);
    std::uint64_t id = 100;
    std::vector<std::uint64_t> live;
    bool started = false;
    for (auto elapsed = 0ms; elapsed < 21s; elapsed += 20ms) {
        const auto now = start + elapsed;
        const auto demand = wave(elapsed, 0, 60);
        if (demand == 0) {
            for (const auto grant : std::exchange(live, {}))
                group.release({ grant, grant_outcome::ok }, now);
        }
        for (auto missing = demand - live.size(); missing > 0; --missing)
            group.ask(makeLive(++id, now), now);
        if (elapsed == 17s)
            group.ask(makeItem(1, start + 18s, 250), now); // 10 s
        group.tick(now);
        for (const auto& given : only<slot_grant>(group.takeDecisions())) {
            if (given.slotRequestId == 1)
                started = true;
            else
                live.push_back(given.grantId);
        }
        // The trough begins at 17.4 s.
        if (elapsed == 17s || elapsed == 18s)
            CHECK(started == (elapsed == 18s));
    }
}

// Guards against live requests that are refused only because those before them wait for an expected release
// instead of having a grant revoked for them.
TEST_CASE("a live request is not refused because of others that wait for an expected release")
{
    for (const std::uint32_t queueLimit : { 1000u, 1u }) {
        auto group = makeLookaheadGroup(8);
        group.ask(makeLive(1, start), start);
        group.release(
            { only<slot_grant>(group.takeDecisions()).at(0).grantId, grant_outcome::ok }, start + 700ms);
        for (std::uint64_t id = 10; id < 18; ++id)
            group.ask(makeItem(id, start + 18s, 50), start + 1s); // Ends at 3 s.
        REQUIRE(only<slot_grant>(group.takeDecisions()).size() == 8);
        const auto now = start + 2985ms;
        for (std::uint64_t id = 20; id < 26; ++id) {
            auto live = makeLive(id, now);
            live.queueLimit = queueLimit;
            group.ask(live, now);
        }
        CHECK(group.takeDecisions().empty());
        group.tick(now + 26ms);
        CHECK(only<slot_grant>(group.takeDecisions()).size() == 6);
    }
}

// Guards against runs that are ended at a target that cannot take the live request anyway.
TEST_CASE("items at a target that accepts nothing are not revoked")
{
    group_options options;
    options.policy = spare_bulk {};
    options.bulkOrder = fair_queue::order::due;
    options.assumedEventInterval = eventTime;
    target_group group(options);
    const std::vector<target_description> both { { "t", "a", 1, false }, { "u", "b", 1, false } };
    group.setTargets(both, start);
    group.ask(makeItem(1, start + 18s, 100), start);
    group.ask(makeItem(2, start + 18s, 100), start);
    std::map<std::string, std::uint64_t> grantAt;
    for (const auto& given : only<slot_grant>(group.takeDecisions()))
        grantAt[given.target] = given.grantId;
    REQUIRE(grantAt.size() == 2);
    const std::vector<target_description> draining { { "t", "a", 1, false }, { "u", "b", 1, true } };
    group.setTargets(draining, start);
    for (std::uint64_t id = 10; id < 12; ++id) {
        auto live = makeLive(id, start);
        live.immediate = true;
        group.ask(live, start);
    }
    const auto revoked = only<grant_revocation>(group.takeDecisions());
    REQUIRE(revoked.size() == 1);
    CHECK(revoked[0].grantId == grantAt.at("t"));
}

// Guards against a lookahead that changes decisions for items of older batch processes, which send no
// lengths.
TEST_CASE("without lengths every decision is the same as with the lookahead switched off")
{
    const auto play = [](bool lookahead) {
        group_options options;
        options.policy = spare_bulk {};
        options.bulkOrder = fair_queue::order::due;
        options.bulkLookahead = lookahead;
        options.assumedEventInterval = eventTime;
        target_group group(options);
        const std::vector<target_description> targets { { "t", "a", 8, false }, { "u", "b", 8, false } };
        group.setTargets(targets, start);
        std::mt19937_64 random(3);
        std::vector<std::string> log;
        std::multimap<steady_time, std::uint64_t> ends;
        std::uint64_t id = 0;
        for (auto elapsed = 0ms; elapsed < 40s; elapsed += 10ms) {
            const auto now = start + elapsed;
            while (!ends.empty() && ends.begin()->first <= now) {
                group.release({ ends.begin()->second, grant_outcome::ok }, now);
                ends.erase(ends.begin());
            }
            if (random() % 100 < wave(elapsed, 5, 20))
                group.ask(makeLive(++id, now), now);
            if (random() % 100 < 5) {
                // More items than slots, so that their order matters: due times repeat across customers, and
                // some items are overdue on arrival.
                auto item = makeItem(++id, start + 1s * (elapsed / 1s + random() % 20) - 2s, 0);
                item.customer = random() % 2 == 0 ? "batch" : "other";
                group.ask(item, now);
            }
            group.tick(now);
            for (const auto& one : group.takeDecisions()) {
                if (const auto* given = std::get_if<slot_grant>(&one)) {
                    log.push_back(std::to_string(given->slotRequestId) + given->target);
                    const bool live = group.requestOfGrant(given->grantId)->workClass == work_class::live;
                    ends.emplace(now + (live ? 700ms : 4700ms), given->grantId);
                } else if (const auto* revoked = std::get_if<grant_revocation>(&one)) {
                    log.push_back("revoked " + std::to_string(revoked->grantId));
                    group.release({ revoked->grantId, grant_outcome::abandoned }, now);
                }
            }
        }
        return log;
    };
    const auto with = play(true);
    CHECK(with.size() > 200);
    CHECK(with == play(false));
}
