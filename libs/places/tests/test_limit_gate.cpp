#include "../src/limit_gate.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

const steady_time start { std::chrono::hours { 1 } };
constexpr milliseconds objective { 300 };

steady_time at(int ms)
{
    return start + milliseconds { ms };
}

/// A process with a limit of 10 requests per second and a burst of 10.
struct limited_process {
    limited_process()
    {
        customer_directory customers;
        customers.add({ "firm", 0, 10, 10, 0 }, {});
        limits.setCustomers(customers, start);
        limits.setMembers(std::vector<limit_member> { { "a", "zone-a" } }, start);
        limits.setIsDispatcher(true, start);
    }

    distributed_rate_limiter limits { "a", 1, lent_shares {}, {} };
};

slot_request makeRequest(std::uint64_t id, int ageMs)
{
    slot_request request;
    request.holder = 1;
    request.id = id;
    request.customer = "firm";
    request.immediate = true;
    request.age = milliseconds { ageMs };
    return request;
}

/// Sends many requests that arrive for the first time; some of them are refused. A second later the bucket
/// has some tokens again. Returns the last refusal.
failure exhaust(limit_gate& gate)
{
    std::optional<failure> refused;
    for (std::uint64_t id = 0; id < 200; ++id) {
        auto next = gate.admit(makeRequest(id, 0), objective, at(10000 + static_cast<int>(id)));
        if (next)
            refused = std::move(next);
    }
    REQUIRE(refused);
    return *refused;
}

} // namespace

// Guards against callers that come again after their objective and take the tokens of requests that arrive
// for the first time.
TEST_CASE("late requests of a customer over its limit are refused at once while the others are admitted")
{
    limited_process process;
    limit_gate gate(&process.limits);
    CHECK(exhaust(gate).kind == failure_kind::limited);
    const auto late = gate.admit(makeRequest(1000, 250), objective, at(10600));
    REQUIRE(late);
    CHECK(late->kind == failure_kind::limited);
    CHECK(late->ran == verdict::not_run);
    CHECK(late->retryAfter > milliseconds { 1000 });
    CHECK(late->retryAfter <= milliseconds { 5000 });
    CHECK(process.limits.refusedLate() == 1);
    CHECK(!gate.admit(makeRequest(1001, 249), objective, at(10600)));
    // A request that has already run in part goes on.
    auto begun = makeRequest(1002, 2000);
    begun.begun = true;
    CHECK(!gate.admit(begun, objective, at(10600)));
}

TEST_CASE("without an objective, or switched off, the age of a request makes no difference")
{
    for (const bool customerShares : { true, false }) {
        limited_process process;
        limit_gate gate(&process.limits, customerShares);
        exhaust(gate);
        const auto known = customerShares ? milliseconds { 0 } : objective;
        CHECK(!gate.admit(makeRequest(1000, 2000), known, at(10600)));
        CHECK(process.limits.refusedLate() == 0);
    }
}

// Guards against first attempts that are taken for late because the objective of their service is shorter
// than the time from a grant to the first event.
TEST_CASE("a request of age 0 is not late, however short its objective is")
{
    constexpr milliseconds shortObjective { 40 };
    limited_process process;
    limit_gate gate(&process.limits);
    exhaust(gate);
    CHECK(!gate.admit(makeRequest(1000, 0), shortObjective, at(10600)));
    CHECK(process.limits.refusedLate() == 0);
    CHECK(gate.admit(makeRequest(1001, 1), shortObjective, at(10600)));
    CHECK(process.limits.refusedLate() == 1);
}

TEST_CASE("the tokens of requests that get no slot or do not use it are refunded")
{
    limited_process process;
    limit_gate gate(&process.limits);
    const auto level = [&] { return process.limits.usageOf("firm", at(10000))->level; };
    const auto before = level();
    for (const std::uint64_t id : { 1, 2, 3 })
        CHECK(!gate.admit(makeRequest(id, 1000), objective, at(10000)));
    CHECK(level() == Approx(before - 3));
    gate.dropped(1, 1, at(10000));
    gate.granted(1, 2);
    const auto unused = makeRequest(2, 1000);
    gate.released(&unused, grant_outcome::unused, objective, at(10000));
    gate.sessionClosed(1, at(10000));
    CHECK(level() == Approx(before));
}

// Guards against callers that are told that their customer's limit is reached, although the limit is hardly
// used and most of it is owned by entries that this one cannot reach.
TEST_CASE("an entry that reaches only a part of the limits refuses customers within them as unavailable")
{
    for (const bool customerShares : { true, false }) {
        limited_process process;
        std::vector<limit_member> members;
        for (int i = 0; i < 72; ++i)
            members.push_back({ i == 0 ? "a" : "vm-" + std::to_string(i), "zone-a" });
        process.limits.setMembers(members, start);
        process.limits.setMembers(members, at(20000));
        limit_gate gate(&process.limits, customerShares);
        std::optional<failure> refused;
        for (int i = 0; i < 10 && !refused; ++i) {
            const auto request = makeRequest(static_cast<std::uint64_t>(i), 0);
            refused = gate.admit(request, objective, at(30000 + 200 * i));
        }
        REQUIRE(refused);
        CHECK(refused->kind == (customerShares ? failure_kind::unavailable : failure_kind::limited));
        CHECK(refused->ran == verdict::not_run);
        if (customerShares)
            CHECK(refused->retryAfter <= milliseconds { 250 });
        // At 100 requests per second the customer is over its limit of 10, whatever others hold.
        for (int i = 0; i < 300; ++i) {
            const auto request = makeRequest(static_cast<std::uint64_t>(100 + i), 0);
            if (auto next = gate.admit(request, objective, at(33000 + 10 * i)))
                refused = std::move(next);
        }
        CHECK(refused->kind == failure_kind::limited);
    }
}
