#include "../src/target_pace.h"
#include "dispatch/dispatch.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace yuccachute;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time {} + 1h;
constexpr std::uint32_t answerEvents = 18;

group_options spareOptions(bool targetPace = true)
{
    group_options options;
    options.policy = spare_bulk {};
    options.targetPace = targetPace;
    return options;
}

/// A group of targets with two slots each, whose nominal interval is 40 ms.
struct paced_group {
    explicit paced_group(std::vector<std::chrono::microseconds> targetIntervals, bool targetPace = true)
        : intervals(std::move(targetIntervals))
        , group(spareOptions(targetPace))
    {
        for (std::size_t i = 0; i < intervals.size(); ++i)
            listed.push_back({ "t" + std::to_string(i), "a" + std::to_string(i), 2, false });
        group.setTargets(listed, now);
    }

    slot_request request(work_class workClass)
    {
        slot_request wanted;
        wanted.id = ++lastId;
        wanted.customer = "c";
        wanted.workClass = workClass;
        wanted.deadline = now + 250ms;
        wanted.hold = 60s;
        wanted.due = now + 1h;
        wanted.maxEventInterval = 400ms;
        return wanted;
    }
    /// The grants given at once, without those of earlier calls.
    std::vector<slot_grant> ask(slot_request wanted)
    {
        group.ask(std::move(wanted), now);
        std::vector<slot_grant> grants;
        for (const auto& one : group.takeDecisions()) {
            if (const auto* grant = std::get_if<slot_grant>(&one))
                grants.push_back(*grant);
            revocations += std::holds_alternative<grant_revocation>(one) ? 1 : 0;
        }
        return grants;
    }
    std::string targetOf(slot_request wanted)
    {
        const auto grants = ask(std::move(wanted));
        return grants.empty() ? "" : grants[0].target;
    }
    std::string live() { return targetOf(request(work_class::live)); }
    std::string item() { return targetOf(request(work_class::bulk)); }
    /// Fills all slots and releases them with the figures of their targets.
    void learn()
    {
        std::vector<slot_grant> grants;
        for (std::size_t i = 0; i < 2 * intervals.size(); ++i) {
            for (auto& one : ask(request(work_class::live)))
                grants.push_back(std::move(one));
        }
        const auto intervalOf = [&](const slot_grant& one) {
            return intervals[static_cast<std::size_t>(std::stoi(one.target.substr(1)))];
        };
        std::stable_sort(grants.begin(), grants.end(),
            [&](const auto& left, const auto& right) { return intervalOf(left) < intervalOf(right); });
        const auto begun = now;
        for (const auto& one : grants) {
            now = begun + intervalOf(one) * answerEvents;
            group.release({ one.grantId, grant_outcome::ok, 30ms, 0, answerEvents, intervalOf(one) }, now);
        }
        now += 250ms;
        group.tick(now);
        group.takeDecisions();
    }

    std::vector<std::chrono::microseconds> intervals;
    std::vector<target_description> listed;
    target_group group;
    steady_time now = start;
    std::uint64_t lastId = 0;
    unsigned revocations = 0;
};

void record(target_pace& pace, std::chrono::microseconds interval, int times, steady_time now)
{
    for (int i = 0; i < times; ++i)
        pace.record(interval, answerEvents, now);
    pace.update(40ms, now);
}

} // namespace

TEST_CASE("the pace of a target is learned from two runs and forgotten without further ones")
{
    target_pace pace;
    CHECK(pace.relative(start) == 1);
    record(pace, 80ms, 1, start);
    CHECK(pace.relative(start) == 1);
    record(pace, 80ms, 1, start + 1s);
    CHECK(pace.relative(start + 1s) == 0.5);
    CHECK(pace.relative(start + 9s) == 0.5);
    CHECK(pace.relative(start + 10s) == 1);
    CHECK(pace.interval(start + 10s) == 0ms);
}

TEST_CASE("stalls in two runs do not change the pace, and three slow runs do")
{
    target_pace pace;
    record(pace, 40ms, 5, start);
    record(pace, 100ms, 2, start + 1s);
    CHECK(pace.relative(start + 1s) == 1);
    record(pace, 320ms, 1, start + 2s);
    CHECK(pace.relative(start + 2s) == 0.4);
    record(pace, 320ms, 2, start + 3s);
    CHECK(pace.relative(start + 3s) == 0.125);
}

TEST_CASE("paces close to the nominal one are equal to it, and all are bounded")
{
    for (const auto interval : { 33ms, 40ms, 49ms }) {
        target_pace pace;
        record(pace, interval, 2, start);
        CHECK(pace.relative(start) == 1);
    }
    target_pace fast;
    record(fast, 1ms, 2, start);
    CHECK(fast.relative(start) == 4);
    target_pace slow;
    record(slow, 5s, 2, start);
    CHECK(slow.relative(start) == 1.0 / 16);
}

// Guards against figures that are missing because a release comes from an older process, or that are wrong
// because of a fault in another process: they would count as an extreme speed.
TEST_CASE("invalid figures are ignored")
{
    target_pace pace;
    for (const auto interval : { 0us, -5us, 1us, 61000000us })
        record(pace, interval, 5, start);
    for (int i = 0; i < 5; ++i)
        pace.record(100ms, 3, start);
    pace.update(40ms, start);
    CHECK(pace.relative(start) == 1);
    record(pace, 80ms, 2, start);
    CHECK(pace.relative(start) == 0.5);
    pace.update(0us, start);
    CHECK(pace.relative(start) == 0.5);
}

// Guards against a slow target that gets as many requests as it has slots each time its pace expires.
TEST_CASE("a slow target is tried again with one run at a time")
{
    target_pace pace;
    record(pace, 320ms, 5, start);
    const auto later = start + 20s;
    CHECK(pace.relative(0, later) == 1);
    CHECK(pace.relative(1, later) == 0.125);
    record(pace, 40ms, 1, later);
    CHECK(pace.relative(1, later) == 0.125);
    record(pace, 40ms, 1, later);
    CHECK(pace.relative(1, later) == 1);
}

TEST_CASE("the interval of a run is the mean of its last events, without the first event's delay")
{
    event_timing timing;
    CHECK(timing.interval(grant_outcome::abandoned, start) == 0ms);
    auto now = start + 500ms;
    timing.record(1, now);
    CHECK(timing.interval(grant_outcome::abandoned, now) == 0ms);
    for (int i = 0; i < 40; ++i)
        timing.record(1, now += 40ms);
    CHECK(timing.interval(grant_outcome::abandoned, now) == 40ms);
    CHECK(timing.events() == 41);
    // Events that arrive together took the time since the last arrival.
    timing.record(4, now += 160ms);
    CHECK(timing.interval(grant_outcome::abandoned, now) == 40ms);
    for (int i = 0; i < 16; ++i)
        timing.record(1, now += 320ms);
    CHECK(timing.interval(grant_outcome::abandoned, now) == 320ms);
}

// Guards against a target that becomes slow in the middle of an answer and whose silence ends the run: the
// intervals before would say that its speed is normal.
TEST_CASE("a long silence at the end of a run counts as its interval")
{
    event_timing timing;
    for (int i = 0; i < 10; ++i)
        timing.record(1, start + 40ms * i);
    const auto last = start + 360ms;
    CHECK(timing.interval(grant_outcome::abandoned, last + 150ms) == 40ms);
    CHECK(timing.interval(grant_outcome::abandoned, last + 170ms) == 170ms);
    CHECK(timing.interval(grant_outcome::ok, last + 170ms) == 40ms);
}

// Guards against events that a starved process reads all at once: the target would look extremely fast.
TEST_CASE("events that arrive together tell no interval")
{
    event_timing timing;
    for (int i = 0; i < 10; ++i)
        timing.record(1, start);
    CHECK(timing.interval(grant_outcome::abandoned, start) == 0ms);
    CHECK(timing.interval(grant_outcome::abandoned, start + 1ms) == 0ms);
    CHECK(timing.events() == 10);
}

// Guards against an interval between only two arrivals, or the time until a run is abandoned, that counts as
// the mean of many events: the target would look extremely fast.
TEST_CASE("a run of many events with few intervals between them tells no interval")
{
    event_timing together;
    together.record(10, start);
    CHECK(together.interval(grant_outcome::abandoned, start + 1ms) == 0ms);
    together.record(1, start + 1ms);
    CHECK(together.interval(grant_outcome::ok, start + 1ms) == 0ms);
    CHECK(together.interval(grant_outcome::failed, start + 10ms) == 0ms);
    event_timing paused;
    paused.record(1, start);
    paused.record(1, start + 1ms);
    paused.pause();
    paused.record(30, start + 5s);
    CHECK(paused.interval(grant_outcome::ok, start + 6s) == 0ms);
}

// Guards against a caller that reads slowly: reading from the target pauses, and its events arrive together
// afterwards.
TEST_CASE("the interval of a run is measured up to the first pause in reading")
{
    event_timing timing;
    for (int i = 0; i < 10; ++i)
        timing.record(1, start + 40ms * i);
    timing.pause();
    timing.record(30, start + 5s);
    CHECK(timing.interval(grant_outcome::abandoned, start + 6s) == 40ms);
    CHECK(timing.events() == 40);
}

TEST_CASE("live requests prefer faster targets, and slower ones while there are items")
{
    paced_group alone({ 66ms, 40ms, 25ms });
    alone.learn();
    CHECK(alone.live() == "t2");
    paced_group withItems({ 66ms, 40ms, 25ms });
    withItems.learn();
    CHECK(withItems.item() == "t2");
    CHECK(withItems.live() == "t0");
    CHECK(withItems.item() == "t2");
    CHECK(withItems.item() == "t1");
    // The caller of a request that has begun waits for the rest of its answer.
    auto begun = withItems.request(work_class::live);
    begun.begun = true;
    CHECK(withItems.targetOf(begun) == "t1");
}

TEST_CASE("a target that is too slow gets live requests only if no other has a free slot, and no items")
{
    paced_group f({ 40ms, 320ms, 40ms });
    f.learn();
    CHECK(f.item() == "t0");
    CHECK(f.item() == "t2");
    CHECK(f.live() == "t0");
    CHECK(f.live() == "t2");
    CHECK(f.item().empty());
    // Items elsewhere are revoked first.
    CHECK(f.live() != "t1");
    CHECK(f.revocations == 1);
    CHECK(f.live() != "t1");
    CHECK(f.revocations == 2);
    CHECK(f.live() == "t1");
    CHECK(f.live() == "t1");
}

// Guards against items that are revoked at a target that has become slow, for a live request that then gets
// one of the slots that were free there anyway.
TEST_CASE("items at a slow target are not revoked while it has free slots")
{
    paced_group f({ 40ms, 320ms, 40ms });
    const auto release = [&](const slot_grant& one) {
        const auto interval = one.target == "t1" ? 320ms : 40ms;
        f.group.release({ one.grantId, grant_outcome::ok, 0ms, 0, answerEvents, interval }, f.now);
    };
    std::vector<slot_grant> items;
    for (int i = 0; i < 6; ++i) {
        const auto grants = f.ask(f.request(work_class::bulk));
        REQUIRE(grants.size() == 1);
        items.push_back(grants[0]);
    }
    // One of the two items at t1 stays there. The other one and its successor tell the speed of t1.
    const auto atSlow
        = std::find_if(items.begin(), items.end(), [](const auto& one) { return one.target == "t1"; });
    REQUIRE(atSlow != items.end());
    release(*atSlow);
    const auto successor = f.ask(f.request(work_class::bulk));
    REQUIRE(successor.size() == 1);
    REQUIRE(successor[0].target == "t1");
    release(successor[0]);
    for (const auto& one : items) {
        if (one.target != "t1")
            release(one);
    }
    f.now += 250ms;
    f.group.tick(f.now);
    REQUIRE(f.group.summary(f.now).slowTargets == 1);
    for (int i = 0; i < 4; ++i)
        CHECK(f.live() != "t1");
    CHECK(f.live() == "t1");
    CHECK(f.revocations == 0);
}

TEST_CASE("a target that has just failed a request is worse for it than one that is too slow")
{
    paced_group f({ 40ms, 320ms });
    f.learn();
    auto retried = f.request(work_class::live);
    retried.avoid = "t0";
    CHECK(f.targetOf(retried) == "t1");
}

// Guards against a request that is granted a slot in time and gets its first event late from a slow target.
TEST_CASE("a target whose first event would be late is too slow, also for an immediate request")
{
    for (const bool immediate : { false, true }) {
        paced_group f({ 57ms, 40ms, 40ms });
        f.learn();
        f.item();
        auto wanted = f.request(work_class::live);
        wanted.immediate = immediate;
        CHECK(f.targetOf(wanted) == "t0");
        wanted.id = ++f.lastId;
        wanted.deadline = f.now + 5ms; // The first event takes 13 ms longer than at nominal speed.
        CHECK(f.targetOf(wanted) != "t0");
    }
}

// Guards against a wrong figure of one release that makes all targets below nominal speed too slow for as
// long as it dominates the moving average.
TEST_CASE("a time to the first event that is longer than the grant was held is ignored")
{
    paced_group f({ 57ms, 40ms, 40ms });
    f.learn();
    const auto grants = f.ask(f.request(work_class::live));
    REQUIRE(grants.size() == 1);
    f.now += 1s;
    f.group.release(
        { grants[0].grantId, grant_outcome::ok, milliseconds { 4294967295 }, 0, answerEvents, 40ms }, f.now);
    f.item();
    CHECK(f.live() == "t0");
}

// Guards against items that get no target at all because the targets that set the nominal speed have gone.
TEST_CASE("items run at slow targets if no others are usable")
{
    paced_group f({ 40ms, 320ms });
    f.learn();
    f.listed[0].drain = true;
    f.group.setTargets(f.listed, f.now);
    CHECK(f.item() == "t1");
}

// Guards against a backlog that is taken for shorter than it is while targets are slow.
TEST_CASE("the expected wait counts slots by the pace of their targets")
{
    const auto expectedWait = [](std::vector<std::chrono::microseconds> intervals) {
        paced_group f(std::move(intervals));
        for (int i = 0; i < 20; ++i)
            f.learn();
        for (int i = 0; i < 12; ++i) {
            auto patient = f.request(work_class::live);
            patient.deadline = f.now + 30s;
            f.ask(patient);
        }
        auto last = f.request(work_class::live);
        last.immediate = true;
        f.group.ask(last, f.now);
        for (const auto& one : f.group.takeDecisions()) {
            if (const auto* refusal = std::get_if<slot_refusal>(&one))
                return refusal->reason.retryAfter;
        }
        return milliseconds { 0 };
    };
    // Six runs of 720 ms wait for six slots, or for the equivalent of four and a half.
    CHECK(expectedWait({ 40ms, 40ms, 40ms }) == 720ms);
    CHECK(expectedWait({ 40ms, 40ms, 160ms }) == 960ms);
}

TEST_CASE("slow targets are counted, and reported when they become slow and when they recover")
{
    paced_group f({ 66ms, 40ms, 40ms, 320ms, 25ms });
    f.learn();
    const auto summary = f.group.summary(f.now);
    CHECK(summary.slowestPace == 0.125);
    CHECK(summary.medianPace == 1);
    CHECK(summary.fastestPace == 1.6);
    CHECK(summary.slowTargets == 1);
    const auto slow = f.group.takePaceChanges();
    REQUIRE(slow.size() == 1);
    CHECK(slow[0].target == "t3");
    CHECK(slow[0].slow);
    CHECK(slow[0].eventInterval == 320ms);
    f.learn();
    CHECK(f.group.takePaceChanges().empty());
    f.intervals[3] = 40ms;
    f.learn();
    f.learn();
    const auto recovered = f.group.takePaceChanges();
    REQUIRE(recovered.size() == 1);
    CHECK(recovered[0].target == "t3");
    CHECK(!recovered[0].slow);
    CHECK(f.group.summary(f.now).slowTargets == 0);
}

// Guards against the pace of a former instance of a target, or of a former dispatcher's grants.
TEST_CASE("a new instance of a target starts at nominal pace, and releases of unknown grants teach nothing")
{
    paced_group f({ 40ms, 320ms, 40ms });
    for (std::uint64_t id = 100; id < 110; ++id)
        f.group.release({ id, grant_outcome::ok, 30ms, 0, answerEvents, 320ms }, f.now);
    f.now += 1s;
    f.group.tick(f.now);
    CHECK(f.group.summary(f.now).slowestPace == 1);
    f.learn();
    CHECK(f.group.summary(f.now).slowTargets == 1);
    f.listed[1].address = "another";
    f.group.setTargets(f.listed, f.now);
    CHECK(f.group.summary(f.now).slowestPace == 1);
}

// Guards against a target that becomes so slow that each run is cancelled after its first event: such runs
// have no intervals.
TEST_CASE("failed runs with a long silence after their first event show that a target is slow")
{
    paced_group f({ 40ms, 40ms, 40ms });
    f.learn();
    f.learn();
    f.learn();
    for (int i = 0; i < 3; ++i) {
        auto wanted = f.request(work_class::live);
        std::vector<slot_grant> others;
        auto grants = f.ask(wanted);
        while (!grants.empty() && grants[0].target != "t1") {
            others.push_back(grants[0]);
            grants = f.ask(f.request(work_class::live));
        }
        REQUIRE(!grants.empty());
        f.group.release({ grants[0].grantId, grant_outcome::failed, 30ms, 0, 1, 170ms }, f.now);
        for (const auto& one : others)
            f.group.release({ one.grantId, grant_outcome::unused }, f.now);
        f.group.takeDecisions();
    }
    f.now += 250ms;
    f.group.tick(f.now);
    CHECK(f.group.summary(f.now).slowTargets == 1);
}

TEST_CASE("with the switch off no paces are learned")
{
    paced_group f({ 66ms, 40ms, 320ms }, false);
    f.learn();
    CHECK(f.group.summary(f.now).slowestPace == 1);
    CHECK(f.group.takePaceChanges().empty());
    CHECK(f.live() == "t0");
}
