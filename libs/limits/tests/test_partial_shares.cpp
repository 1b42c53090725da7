#include "limits/limits.h"
#include "membership/membership.h"

#include <catch2/catch.hpp>

#include <array>

using namespace yuccachute;

namespace {

const steady_time start { std::chrono::hours { 1 } };
constexpr int settledMs = 20000; ///< All members' lists contain all members by then.

steady_time at(int ms)
{
    return start + milliseconds { ms };
}

/// Three dispatchers. Of more members, the others do not respond.
struct fleet {
    fleet(std::size_t members, const request_limit& limit, limit_policy policy = lent_shares {})
    {
        customer_directory customers;
        customers.add({ "firm", 0, limit.perSecond, limit.burst, 0 }, {});
        std::vector<limit_member> list;
        for (std::size_t i = 0; i < members; ++i)
            list.push_back({ "vm-" + std::to_string(i), "zone-" + std::to_string(i % 3) });
        for (std::size_t i = 0; i < processes.size(); ++i) {
            processes[i] = std::make_unique<distributed_rate_limiter>(list[i].vm, 1, policy, limit_bounds {});
            processes[i]->setCustomers(customers, start);
            processes[i]->setIsDispatcher(true, start);
            processes[i]->setMembers(list, start);
            processes[i]->setMembers(list, at(settledMs - 1000));
        }
    }

    /// Exchanges messages among the processes, if they are connected.
    void exchange(int ms)
    {
        for (auto& from : processes) {
            const auto share = from->nextShareRequest(at(ms));
            const auto tokens = from->nextTokenRequest(at(ms));
            for (auto& to : processes) {
                for (const auto* message : { share ? &*share : nullptr, tokens ? &*tokens : nullptr }) {
                    const auto answer
                        = message && to != from ? to->handleMessage(*message, at(ms)) : std::nullopt;
                    if (answer)
                        from->handleMessage(*answer, at(ms));
                }
            }
        }
    }

    double shareSum(int ms)
    {
        double sum = 0;
        for (auto& process : processes)
            sum += process->share(at(ms));
        return sum;
    }

    std::array<std::unique_ptr<distributed_rate_limiter>, 3> processes;
};

struct refusal_counts {
    int granted = 0;
    int byLimit = 0;
    int partExhausted = 0;
};

/// Sends requests to all processes in turn for 10 s.
refusal_counts run(fleet& fleet, double perSecond, bool connected)
{
    refusal_counts counts;
    double due = 0;
    std::size_t next = 0;
    for (int ms = settledMs; ms < settledMs + 10000; ms += 10) {
        if (connected)
            fleet.exchange(ms);
        CHECK(fleet.shareSum(ms) <= 1 + 1e-9);
        for (due += perSecond / 100; due >= 1; due -= 1) {
            const auto refusal = fleet.processes[next++ % 3]->acquire("firm", token_need {}, at(ms)).refusal;
            counts.granted += refusal == token_refusal::none ? 1 : 0;
            counts.byLimit += refusal == token_refusal::limit_reached ? 1 : 0;
            counts.partExhausted += refusal == token_refusal::part_exhausted ? 1 : 0;
        }
    }
    return counts;
}

} // namespace

// Guards against a small customer whose bucket holds less than one token at an isolated process, so that each
// of its requests is refused because of a limit that it does not reach.
TEST_CASE("an isolated process does not refuse a customer within its limit because of the limit")
{
    fleet isolated(72, { 1, 1 });
    const auto counts = run(isolated, 0.6, false);
    CHECK(counts.byLimit == 0);
    CHECK(counts.partExhausted > 0);
}

// Guards against callers of a customer far over its limit that come again at once, and are sent to all zones,
// because part of the limit is out of reach.
TEST_CASE("an isolated process refuses a customer that exceeds the whole limit here because of the limit")
{
    fleet isolated(72, { 10, 10 });
    const auto counts = run(isolated, 9 * 10, false);
    // Each process gets 30 requests per second. It has counted 5 x 10 + 10 requests, of which older ones
    // count less, and the margin for random clusters after 3 s.
    CHECK(counts.partExhausted <= 3 * 3 * 30);
    CHECK(counts.byLimit >= 600);
}

TEST_CASE("processes that hold the whole limit together, or fixed parts, refuse because of the limit")
{
    fleet connected(3, { 10, 10 });
    const auto lent = run(connected, 20, true);
    CHECK(lent.byLimit > 0);
    CHECK(lent.partExhausted == 0);
    fleet fixedParts(3, { 10, 10 }, even_shares {});
    const auto even = run(fixedParts, 20, false);
    CHECK(even.byLimit > 0);
    CHECK(even.partExhausted == 0);
}
