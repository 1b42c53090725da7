#include "three_dispatchers.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

struct refusal_counts {
    int granted = 0;
    int byLimit = 0;
    int partExhausted = 0;
};

/// Sends requests to all processes in turn for 10 s.
refusal_counts run(three_dispatchers& fleet, double perSecond, bool connected)
{
    refusal_counts counts;
    double due = 0;
    std::size_t next = 0;
    for (int ms = three_dispatchers::settledMs; ms < three_dispatchers::settledMs + 10000; ms += 10) {
        if (connected)
            fleet.exchange(ms);
        CHECK(fleet.shareSum(ms) <= 1 + 1e-9);
        for (due += perSecond / 100; due >= 1; due -= 1) {
            const auto refusal = fleet.processes[next++ % 3]
                                     ->acquire("firm", token_need {}, three_dispatchers::at(ms))
                                     .refusal;
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
    three_dispatchers isolated(72, { 1, 1 });
    const auto counts = run(isolated, 0.6, false);
    CHECK(counts.byLimit == 0);
    CHECK(counts.partExhausted > 0);
}

// Guards against callers of a customer far over its limit that come again at once, and are sent to all zones,
// because part of the limit is out of reach.
TEST_CASE("an isolated process refuses a customer that exceeds the whole limit here because of the limit")
{
    three_dispatchers isolated(72, { 10, 10 });
    const auto counts = run(isolated, 9 * 10, false);
    // Each process gets 30 requests per second. In the last second it has counted 10 + 10 requests, of which
    // older ones count less, and the margin for random clusters after less than 2 s.
    CHECK(counts.partExhausted <= 3 * 2 * 30);
    CHECK(counts.byLimit >= 700);
}

TEST_CASE("processes that hold the whole limit together, or fixed parts, refuse because of the limit")
{
    three_dispatchers connected(3, { 10, 10 });
    const auto lent = run(connected, 20, true);
    CHECK(lent.byLimit > 0);
    CHECK(lent.partExhausted == 0);
    three_dispatchers fixedParts(3, { 10, 10 }, even_shares {});
    const auto even = run(fixedParts, 20, false);
    CHECK(even.byLimit > 0);
    CHECK(even.partExhausted == 0);
}
