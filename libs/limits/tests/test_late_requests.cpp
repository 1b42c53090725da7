#include "../src/late_requests.h"

#include "three_dispatchers.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <queue>
#include <random>

using namespace yuccachute;

namespace {

const steady_time start { std::chrono::hours { 1 } };
constexpr milliseconds objective { 250 };
constexpr milliseconds patience { 5000 };

steady_time at(int ms)
{
    return start + milliseconds { ms };
}

distributed_rate_limiter makeLimiter(double perSecond, double burst)
{
    distributed_rate_limiter limits("a", 1, lent_shares {}, {});
    customer_directory customers;
    customers.add({ "firm", 0, perSecond, burst, 0 }, {});
    limits.setCustomers(customers, start);
    limits.setMembers(std::vector<limit_member> { { "a", "zone-a" } }, start);
    return limits;
}

/// A period of the load: how long it lasts, and how many callers send their first request in a second of it.
struct load_phase {
    int ms;
    double perSecond;
};

using acquire_function = std::function<token_decision(const token_need&, steady_time)>;

struct load_result {
    int onTime = 0; ///< Granted within the objective.
    int late = 0; ///< Granted after it.
    int refusals = 0;
    int refusalsInLastPhase = 0;
    int onTimeInWorstSpan = 0; ///< The lowest number in 2 s of the second phase.
};

/// Callers that are refused return after the retry time, but after no more than a third of the time that they
/// have left, and give up after `patience`. Without known ages, the limiter decides as it did before ages
/// were sent.
load_result runCallers(
    const acquire_function& acquire, std::span<const load_phase> phases, bool agesKnown, std::uint64_t seed)
{
    struct attempt {
        steady_time when;
        steady_time first;
        bool operator<(const attempt& other) const { return when > other.when; }
    };
    std::mt19937_64 random(seed);
    std::priority_queue<attempt> pending;
    double ms = 0;
    double phaseEnd = 0;
    for (const auto& phase : phases) {
        phaseEnd += phase.ms;
        std::exponential_distribution<double> gap(phase.perSecond / 1000);
        for (ms += gap(random); ms < phaseEnd; ms += gap(random))
            pending.push({ at(static_cast<int>(ms)), at(static_cast<int>(ms)) });
        ms = phaseEnd;
    }
    const auto lastPhase = at(static_cast<int>(phaseEnd) - phases.back().ms);
    load_result result;
    std::vector<steady_time> onTime;
    for (; !pending.empty();) {
        const auto next = pending.top();
        pending.pop();
        const auto age = std::chrono::duration_cast<milliseconds>(next.when - next.first);
        const auto decision
            = acquire({ false, agesKnown ? std::optional(objective - age) : std::nullopt }, next.when);
        if (decision.refusal == token_refusal::none) {
            if (age < objective)
                onTime.push_back(next.when);
            result.late += age < objective ? 0 : 1;
            continue;
        }
        ++result.refusals;
        result.refusalsInLastPhase += next.when >= lastPhase ? 1 : 0;
        const auto left = patience - age;
        const auto wait = std::min(decision.retryAfter, left / 3);
        if (left > milliseconds { 150 })
            pending.push({ next.when + wait, next.first });
    }
    result.onTime = static_cast<int>(onTime.size());
    const int excessBegin = phases[0].ms;
    result.onTimeInWorstSpan = result.onTime;
    for (int from = excessBegin; from + 2000 <= excessBegin + phases[1].ms; from += 100) {
        const auto inSpan = std::count_if(onTime.begin(), onTime.end(),
            [&](steady_time when) { return when >= at(from) && when < at(from + 2000); });
        result.onTimeInWorstSpan = std::min(result.onTimeInWorstSpan, static_cast<int>(inSpan));
    }
    return result;
}

load_result runCallers(std::span<const load_phase> phases, bool agesKnown, std::uint64_t seed)
{
    auto limits = makeLimiter(135, 135);
    const auto acquire
        = [&](const token_need& need, steady_time now) { return limits.acquire("firm", need, now); };
    return runCallers(acquire, phases, agesKnown, seed);
}

} // namespace

TEST_CASE("requests that are late leave half of the bucket to the others above the limit, a tenth after that")
{
    const bucket_situation above { 40, 100, 50, 300, true };
    CHECK(levelKeptForTimely(above) == Approx(50));
    CHECK(timeUntilLateMayRun(above, milliseconds { 5000 }) == milliseconds { 5000 });
    const bucket_situation after { 6, 100, 50, 30, false, true };
    CHECK(levelKeptForTimely(after) == Approx(10));
    CHECK(timeUntilLateMayRun(after, milliseconds { 5000 }) == milliseconds { 200 });
    const bucket_situation filled { 11, 100, 50, 30, false, true };
    CHECK(timeUntilLateMayRun(filled, milliseconds { 5000 }) == milliseconds { 0 });
    const bucket_situation below { 2, 100, 50, 30, false, false };
    CHECK(levelKeptForTimely(below) == 0);
    CHECK(timeUntilLateMayRun(below, milliseconds { 5000 }) == milliseconds { 0 });
}

// Guards against a small customer that is taken for one above its limit because two requests arrive together.
TEST_CASE("random clusters of requests within the limit are no excess")
{
    recent_demand small { std::chrono::seconds { 1 } };
    for (int i = 0; i < 2; ++i)
        small.record(at(i));
    CHECK(!small.exceeds(1, at(1)));
    small.record(at(2));
    CHECK(small.exceeds(1, at(2)));
    CHECK(!small.exceeds(1, at(1000)));
    small.undo(at(1000));
    CHECK(small.perSecond(at(1000)) < 1);
}

// Guards against a customer far above its limit whose tokens go to callers that have come again and are late
// by then, while requests that arrive for the first time are refused.
TEST_CASE("under a sustained excess, tokens go to requests that can still be on time")
{
    constexpr std::array<load_phase, 3> phases { { { 3000, 84 }, { 5700, 570 }, { 4000, 84 } } };
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const auto before = runCallers(phases, false, seed);
        const auto now = runCallers(phases, true, seed);
        INFO("seed " << seed << ": on time " << before.onTime << " before, " << now.onTime << " now; late "
                     << before.late << ", " << now.late << "; in the worst 2 s " << before.onTimeInWorstSpan
                     << ", " << now.onTimeInWorstSpan);
        CHECK(now.onTime >= 1.5 * before.onTime);
        CHECK(now.onTimeInWorstSpan >= 0.95 * 2 * 135);
    }
}

namespace {

/// The same callers, each of whose attempts reaches one of three dispatchers that exchange tokens.
load_result runCallersOfThree(std::span<const load_phase> phases, bool agesKnown, std::uint64_t seed)
{
    three_dispatchers fleet(3, { 135, 135 });
    std::mt19937_64 random(seed);
    int exchangedMs = three_dispatchers::settledMs - 2000;
    const auto acquire = [&](const token_need& need, steady_time when) {
        const auto now = when + milliseconds { three_dispatchers::settledMs };
        for (; three_dispatchers::at(exchangedMs) < now; exchangedMs += 20)
            fleet.exchange(exchangedMs);
        return fleet.processes[random() % 3]->acquire("firm", need, now);
    };
    return runCallers(acquire, phases, agesKnown, seed);
}

} // namespace

// Guards against dispatchers that keep tokens for requests which arrive at another one.
TEST_CASE(
    "under a sustained excess, three dispatchers that share a limit prefer requests that can be on time")
{
    constexpr std::array<load_phase, 3> phases { { { 3000, 84 }, { 5700, 570 }, { 4000, 84 } } };
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const auto before = runCallersOfThree(phases, false, seed);
        const auto now = runCallersOfThree(phases, true, seed);
        INFO("seed " << seed << ": on time " << before.onTime << " before, " << now.onTime << " now; late "
                     << before.late << ", " << now.late << "; in the worst 2 s " << before.onTimeInWorstSpan
                     << ", " << now.onTimeInWorstSpan);
        CHECK(now.onTime >= 1.5 * before.onTime);
        CHECK(now.onTimeInWorstSpan >= 0.9 * 2 * 135);
    }
}

// Guards against late requests that are refused although their customer's timely requests do not exceed the
// refill, where they get a token if their ages are unknown.
TEST_CASE("a customer that has not been over its limit gets its last tokens for late requests too")
{
    auto limits = makeLimiter(135, 135);
    const token_need late { false, milliseconds { -750 } };
    while (limits.usageOf("firm", at(3000))->level >= 1)
        REQUIRE(limits.acquire("firm", late, at(3000)).refusal == token_refusal::none);
    CHECK(limits.refusedLate() == 0);
}

namespace {

struct late_refusals {
    int late = 0; ///< Late requests.
    int refusedBefore = 0; ///< Refused by a limiter that does not know their age.
    int refusedNow = 0;
    /// Kept for others although the bucket had not run nearly empty since the demand exceeded the limit.
    int unfounded = 0;
};

/// Live load that alternates between 1.87 times its mean for 2.4 s and 0.38 times for 3.4 s. A tenth of the
/// requests is late, as after a restart, or because no slot was free at the first attempt.
late_refusals countLateRefusals(double limitPerSecond, double meanLoad, std::uint64_t seed)
{
    auto before = makeLimiter(limitPerSecond, limitPerSecond);
    auto now = makeLimiter(limitPerSecond, limitPerSecond);
    std::mt19937_64 random(seed);
    late_refusals result;
    recent_demand timely { std::chrono::seconds { 1 } };
    bool ranEmpty = false;
    for (int ms = 3000; ms < 61000; ++ms) {
        const bool peak = ms % 5800 < 2400;
        std::poisson_distribution<int> arrivals(meanLoad * limitPerSecond * (peak ? 1.87 : 0.38) / 1000);
        for (int count = arrivals(random); count > 0; --count) {
            const bool late = random() % 10 == 0;
            if (!late)
                timely.record(at(ms));
            const auto usage = *now.usageOf("firm", at(ms));
            const auto decision
                = now.acquire("firm", { false, late ? milliseconds { -750 } : objective }, at(ms));
            const bool grantedBefore = before.tryAcquire("firm", false, at(ms)).count() == 0;
            const bool nearlyEmpty = usage.level <= std::max(1.0, 0.1 * usage.capacity);
            ranEmpty = nearlyEmpty || (ranEmpty && timely.exceeds(limitPerSecond, at(ms)));
            if (!late)
                continue;
            ++result.late;
            result.refusedBefore += grantedBefore ? 0 : 1;
            result.refusedNow += decision.refusal != token_refusal::none ? 1 : 0;
            result.unfounded += decision.refusal == token_refusal::kept_for_timely && !ranEmpty ? 1 : 0;
        }
    }
    return result;
}

} // namespace

TEST_CASE("late requests of customers below their limits are refused only when the bucket is nearly empty")
{
    for (const double limitPerSecond : { 1.0, 8.0, 135.0 }) {
        for (const double load : { 1 / 1.6, 0.8, 0.95 }) {
            late_refusals sum;
            for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                const auto one = countLateRefusals(limitPerSecond, load, seed);
                sum.late += one.late;
                sum.refusedBefore += one.refusedBefore;
                sum.refusedNow += one.refusedNow;
                sum.unfounded += one.unfounded;
            }
            INFO("limit " << limitPerSecond << ", load " << load << ": of " << sum.late << " late requests "
                          << sum.refusedBefore << " refused before, " << sum.refusedNow << " now");
            CHECK(sum.refusedBefore < sum.late);
            CHECK(sum.unfounded == 0);
            if (load < 0.95) // Above, the peaks empty the bucket, with or without late requests.
                CHECK(sum.refusedNow - sum.refusedBefore <= 0.02 * sum.late);
        }
    }
}
