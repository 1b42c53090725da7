#include "../src/live_queue.h"
#include "dispatch/dispatch.h"

#include <catch2/catch.hpp>

using namespace yuccachute;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time {} + 1h;
constexpr milliseconds objective { 300 };
constexpr milliseconds callerTime { 5000 };
constexpr milliseconds firstEventDelay { 50 };

/// A request as an entry sends it at `now`. `age` is 0 for a first attempt.
slot_request makeRequest(std::uint64_t id, milliseconds age, steady_time now, std::string customer = "armor")
{
    slot_request request;
    request.holder = 1;
    request.id = id;
    request.customer = std::move(customer);
    request.age = age;
    request.hold = callerTime - age;
    const auto onTimeGrant = objective - firstEventDelay - age;
    request.deadline = now + (onTimeGrant.count() > 0 ? onTimeGrant : request.hold);
    return request;
}

template <typename Kind> std::vector<std::uint64_t> idsOf(const std::vector<decision>& decisions)
{
    std::vector<std::uint64_t> ids;
    for (const auto& one : decisions) {
        if (const auto* match = std::get_if<Kind>(&one))
            ids.push_back(match->slotRequestId);
    }
    return ids;
}

std::vector<std::uint64_t> drain(live_queue& queue)
{
    std::vector<std::uint64_t> order;
    while (!queue.empty())
        order.push_back(queue.pop(*queue.heads().front()).first.id);
    return order;
}

/// One target whose requests take a second; all slots are taken when this returns.
struct busy_group {
    explicit busy_group(unsigned slots)
    {
        const std::vector<target_description> targets { { "t", "a", slots, false } };
        group.setTargets(targets, start);
        for (std::uint64_t id = 1; id <= slots; ++id)
            group.ask(makeRequest(1000 + id, 0ms, start), start);
        for (const auto& one : group.takeDecisions())
            grants.push_back(std::get<slot_grant>(one).grantId);
    }
    void release(steady_time now)
    {
        group.release({ grants.back(), grant_outcome::ok, 30ms, 0 }, now);
        grants.pop_back();
    }

    target_group group { group_options { spare_bulk {}, fair_queue::order::fair } };
    std::vector<std::uint64_t> grants;
};

} // namespace

TEST_CASE("a request has missed its objective if its age is known and it waits until its caller's deadline")
{
    CHECK(missedObjective(makeRequest(1, 900ms, start), start));
    CHECK(!missedObjective(makeRequest(1, 100ms, start), start));
    CHECK(!missedObjective(makeRequest(1, 0ms, start), start));
    // The message is encoded some milliseconds after the times in it were computed.
    CHECK(missedObjective(makeRequest(1, 900ms, start), start + 30ms));
    auto unknownAge = makeRequest(1, 900ms, start);
    unknownAge.age = 0ms;
    CHECK(!missedObjective(unknownAge, start));
    auto begun = makeRequest(1, 900ms, start);
    begun.begun = true;
    CHECK(!missedObjective(begun, start));
    auto item = makeRequest(1, 900ms, start);
    item.workClass = work_class::bulk;
    CHECK(!missedObjective(item, start));
}

// Guards against a backlog of requests that are late already, after a restart of all processes, which takes
// the slots first and makes the requests that arrive afterwards late as well.
TEST_CASE("requests that can be on time are served before a backlog of those that cannot")
{
    for (const auto order : { fair_queue::order::fair, fair_queue::order::arrival }) {
        live_queue queue(order);
        for (std::uint64_t id = 1; id <= 3; ++id)
            queue.push(makeRequest(id, 900ms, start), start);
        queue.push(makeRequest(4, 0ms, start + 10ms), start + 10ms);
        queue.push(makeRequest(5, 100ms, start + 20ms), start + 20ms);
        CHECK(queue.size() == 5);
        CHECK(queue.missedObjectives() == 3);
        CHECK(drain(queue) == std::vector<std::uint64_t> { 4, 5, 1, 2, 3 });
    }
}

// Guards against a serving order that changes where ages are unknown.
TEST_CASE("without ages, requests are served in the order of a single fair queue")
{
    live_queue queue(fair_queue::order::fair);
    fair_queue reference(fair_queue::order::fair);
    for (std::uint64_t id = 1; id <= 60; ++id) {
        auto request = makeRequest(id, 0ms, start, id % 3 == 0 ? "small" : "large");
        request.cost = static_cast<double>(id * 7 % 5);
        request.weight = id % 3 == 0 ? 1 : 2;
        // Also requests that wait until their callers' deadlines, such as those of old entries.
        if (id % 4 == 0)
            request.deadline = start + request.hold;
        queue.push(request, start);
        reference.push(request, start);
        CHECK(queue.queueOf(request, servingClassOf(request, start)).sizeOf("small")
            == reference.sizeOf("small"));
        CHECK(queue.sizeBefore(servingClassOf(request, start)) == 0);
    }
    std::vector<std::uint64_t> expected;
    while (!reference.empty())
        expected.push_back(reference.pop().first.id);
    CHECK(drain(queue) == expected);
}

TEST_CASE("waiting requests of both classes expire, are withdrawn, and are removed with their holder")
{
    live_queue queue(fair_queue::order::fair);
    for (std::uint64_t id = 1; id <= 4; ++id)
        queue.push(makeRequest(id, id % 2 == 0 ? 900ms : 0ms, start), start);
    CHECK(queue.remove(1, 2));
    CHECK(queue.remove(1, 3));
    CHECK(!queue.remove(1, 3));
    CHECK(queue.takeExpired(start + 250ms).size() == 1);
    CHECK(queue.takeExpired(start + 4100ms).size() == 1);
    CHECK(queue.empty());
    queue.push(makeRequest(5, 900ms, start), start);
    queue.setOrder(fair_queue::order::arrival);
    CHECK(queue.missedObjectives() == 1);
    queue.removeHolder(1);
    CHECK(queue.empty());
}

TEST_CASE("a group grants slots in that order, and a late request waits past the end of an objective")
{
    busy_group f(4);
    for (std::uint64_t id = 1; id <= 2; ++id)
        f.group.ask(makeRequest(id, 900ms, start), start);
    f.group.ask(makeRequest(3, 0ms, start + 10ms), start + 10ms);
    CHECK(f.group.takeDecisions().empty());
    CHECK(f.group.summary(start + 10ms).liveWaiting == 3);
    CHECK(f.group.summary(start + 10ms).liveWaitingPastObjective == 2);
    f.release(start + 100ms);
    CHECK(idsOf<slot_grant>(f.group.takeDecisions()) == std::vector<std::uint64_t> { 3 });
    f.group.tick(start + 1s);
    CHECK(f.group.takeDecisions().empty());
    f.release(start + 1s);
    f.release(start + 1s);
    CHECK(idsOf<slot_grant>(f.group.takeDecisions()) == std::vector<std::uint64_t> { 1, 2 });
}

// Guards against requests that are refused because of a backlog that is not served before them, and against
// late ones that wait for a slot which they cannot get before their deadline.
TEST_CASE("the expected wait counts the requests that are served before")
{
    busy_group f(10);
    // A slot is held for a second: one becomes free every 100 ms.
    for (int i = 0; i < 10; ++i)
        f.release(start + 1s);
    for (std::uint64_t id = 1; id <= 10; ++id)
        f.group.ask(makeRequest(2000 + id, 0ms, start + 1s), start + 1s);
    CHECK(idsOf<slot_grant>(f.group.takeDecisions()).size() == 10);
    const auto now = start + 1s;
    // 40 late requests fill the 4.1 s that they have left; further ones are refused with the expected wait.
    for (std::uint64_t id = 1; id <= 45; ++id)
        f.group.ask(makeRequest(id, 900ms, now), now);
    const auto decisions = f.group.takeDecisions();
    CHECK(idsOf<slot_refusal>(decisions) == std::vector<std::uint64_t> { 43, 44, 45 });
    CHECK(std::get<slot_refusal>(decisions.front()).reason.ran == verdict::not_run);
    CHECK(std::get<slot_refusal>(decisions.front()).reason.retryAfter >= 4200ms);
    // A new request has no wait ahead of it and is queued.
    f.group.ask(makeRequest(100, 0ms, now), now);
    CHECK(f.group.takeDecisions().empty());
    // The new request counts in the wait of a late one.
    f.group.ask(makeRequest(101, 900ms, now), now);
    const auto refused = f.group.takeDecisions();
    CHECK(idsOf<slot_refusal>(refused) == std::vector<std::uint64_t> { 101 });
    CHECK(std::get<slot_refusal>(refused.front()).reason.retryAfter >= 4300ms);
}

// Guards against a late request that is queued in the zone with the longest wait: the sender compares the
// waits in the refusals of its immediate requests.
TEST_CASE("the refusal of a late request that does not wait counts the late requests ahead of it")
{
    busy_group f(10);
    for (int i = 0; i < 10; ++i)
        f.release(start + 1s);
    for (std::uint64_t id = 1; id <= 10; ++id)
        f.group.ask(makeRequest(2000 + id, 0ms, start + 1s), start + 1s);
    const auto now = start + 1s;
    for (std::uint64_t id = 1; id <= 20; ++id)
        f.group.ask(makeRequest(id, 900ms, now), now);
    CHECK(idsOf<slot_grant>(f.group.takeDecisions()).size() == 10);
    auto late = makeRequest(100, 900ms, now);
    late.immediate = true;
    f.group.ask(late, now);
    auto timely = makeRequest(101, 0ms, now);
    timely.immediate = true;
    f.group.ask(timely, now);
    const auto decisions = f.group.takeDecisions();
    REQUIRE(idsOf<slot_refusal>(decisions) == std::vector<std::uint64_t> { 100, 101 });
    CHECK(std::get<slot_refusal>(decisions[0]).reason.retryAfter == 2000ms);
    CHECK(std::get<slot_refusal>(decisions[1]).reason.retryAfter == 0ms);
    CHECK(f.group.summary(now).liveWaiting == 20);
}
