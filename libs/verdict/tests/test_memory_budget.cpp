#include "memory_budget/memory_budget.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace yuccachute;

namespace {

constexpr std::size_t kb = 1u << 10;
constexpr std::size_t mb = 1u << 20;
constexpr std::size_t total = 8 * mb;
const steady_time now;

std::shared_ptr<memory_budget> makeBudget()
{
    return std::make_shared<memory_budget>(total);
}

/// Holders of this size, as many as are admitted.
std::vector<memory_share> fill(const std::shared_ptr<memory_budget>& budget, std::size_t bytes)
{
    std::vector<memory_share> held;
    for (;;) {
        memory_share one(budget);
        if (!one.resize(bytes, now))
            return held;
        held.push_back(std::move(one));
    }
}

} // namespace

// Guards against small requests that are refused because large ones hold all memory.
TEST_CASE("large holders leave a part to medium ones, and these a part to small ones")
{
    const auto budget = makeBudget();
    const auto large = fill(budget, mb);
    CHECK(large.size() == 6);
    const auto medium = fill(budget, 128 * kb);
    CHECK(medium.size() == 8);
    const auto small = fill(budget, 64 * kb);
    CHECK(small.size() == 16);
    CHECK(budget->used() == total);
    CHECK(budget->refusals() == 3);
}

// Guards against memory that stays counted after its holder has ended.
TEST_CASE("a share returns its memory when it shrinks, is replaced or ends")
{
    const auto budget = makeBudget();
    memory_share first(budget);
    CHECK(first.resize(4 * mb, now));
    CHECK(first.resize(2 * mb, now));
    CHECK(budget->used() == 2 * mb);
    {
        memory_share second(budget);
        CHECK(second.resize(mb, now));
        CHECK_FALSE(second.resize(5 * mb, now));
        CHECK(second.bytes() == mb);
        first = std::move(second);
    }
    CHECK(budget->used() == mb);
    const memory_share moved(std::move(first));
    CHECK(moved.bytes() == mb);
    CHECK(budget->used() == mb);
    CHECK(budget->peak() == 4 * mb);
}

// Guards against requests that are refused although holders without progress could make room.
TEST_CASE("holders are reclaimed one by one until the new one fits, larger ones for a large one")
{
    const auto budget = makeBudget();
    auto held = fill(budget, mb);
    std::vector<std::size_t> asked;
    const auto handle = budget->addReclaimer([&](std::size_t leastBytes, steady_time) {
        asked.push_back(leastBytes);
        if (held.empty())
            return false;
        held.pop_back();
        return true;
    });
    memory_share large(budget);
    CHECK(large.resize(3 * mb, now));
    CHECK(held.size() == 3);
    CHECK(asked == std::vector<std::size_t>(3, memory_budget::smallBytes));
    memory_share tooLarge(budget);
    CHECK_FALSE(tooLarge.resize(total + 1, now));
    CHECK(held.size() == 3);
    CHECK_FALSE(tooLarge.resize(6 * mb, now));
    CHECK(held.empty());
}

TEST_CASE("memory that is in use is counted beyond the budget, and reclaims that of others")
{
    const auto budget = makeBudget();
    auto held = fill(budget, 2 * mb);
    auto handle = budget->addReclaimer([&](std::size_t leastBytes, steady_time) {
        CHECK(leastBytes == 0);
        held.pop_back();
        return true;
    });
    memory_share inUse(budget);
    inUse.force(5 * mb, now);
    CHECK(held.size() == 1);
    handle.reset();
    inUse.force(9 * mb, now);
    CHECK(held.size() == 1);
    CHECK(budget->used() == 11 * mb);
    CHECK_FALSE(memory_share(budget).resize(1, now));
}

TEST_CASE("a share without a budget admits everything")
{
    memory_share one;
    CHECK(one.resize(total * total, now));
    one.force(1, now);
    CHECK(one.bytes() == 1);
}

TEST_CASE("the budget follows from the memory of the VM unless it is set")
{
    CHECK(requestMemoryBytes(100, 0) == 40 * mb);
    CHECK(requestMemoryBytes(100, 60) == 60 * mb);
    CHECK(requestMemoryBytes(0, 0) == requestMemoryBytes(defaultMemoryMb, 0));
}
