#include "../src/request_age.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace yuccachute;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time {} + 1h;
constexpr milliseconds routeTimeout { 20000 };
using times = std::vector<milliseconds>;

} // namespace

TEST_CASE("a request with less time than first attempts have spent the difference")
{
    const times equal(10, 5000ms);
    CHECK(initialCallerTime(equal, routeTimeout, false) == 5000ms);
    CHECK(requestAge(5000ms, 5000ms) == 0ms);
    CHECK(requestAge(5000ms, 4997ms) == 0ms); // Sent some milliseconds after the caller set its deadline.
    CHECK(requestAge(5000ms, 4100ms) == 900ms);
    CHECK(requestAge(std::nullopt, 4100ms) == 0ms);
}

// Guards against requests of callers with a shorter timeout that are taken for old ones, and are served last.
TEST_CASE("the age is unknown where callers choose different times")
{
    times two(40, 5000ms);
    two.insert(two.end(), 24, 2000ms);
    CHECK(!initialCallerTime(two, routeTimeout, true));
    times minority(50, 5000ms);
    minority.insert(minority.end(), 14, 2000ms);
    CHECK(!initialCallerTime(minority, routeTimeout, true));
    times different;
    for (int i = 0; i < 64; ++i)
        different.push_back(milliseconds { 1000 + 61 * i });
    CHECK(!initialCallerTime(different, routeTimeout, true));
    CHECK(!initialCallerTime(times { 5000ms, 5000ms }, routeTimeout, false));
    CHECK(!initialCallerTime({}, routeTimeout, false));
    CHECK(!initialCallerTime(times { 5000ms, 5000ms, 5000ms, 2000ms, 2000ms }, routeTimeout, false));
}

// All processes restart and the first requests that an entry receives are repeated attempts.
TEST_CASE("after a restart, the initial time is known from a few first attempts among many repeated ones")
{
    times arrivals { 4090ms, 4311ms, 3987ms, 4702ms, 4544ms, 4123ms, 4801ms, 4455ms };
    CHECK(!initialCallerTime(arrivals, routeTimeout, false));
    auto matchingRoute = arrivals;
    matchingRoute.push_back(5000ms);
    CHECK(!initialCallerTime(matchingRoute, routeTimeout, false));
    CHECK(initialCallerTime(matchingRoute, 5000ms, false) == 5000ms);
    arrivals.insert(arrivals.end(), { 5000ms, 4999ms, 5000ms });
    CHECK(initialCallerTime(arrivals, routeTimeout, false) == 5000ms);
    // In a full window of an established process most requests have to agree.
    CHECK(!initialCallerTime(arrivals, routeTimeout, true));
}

TEST_CASE("a few callers with more time do not change the initial time")
{
    times recent(60, 5000ms);
    recent.insert(recent.end(), { 60000ms, 30000ms, 4000ms });
    CHECK(initialCallerTime(recent, routeTimeout, true) == 5000ms);
    recent.insert(recent.end(), 5, 30000ms);
    CHECK(!initialCallerTime(recent, routeTimeout, true));
}

// Guards against an age that becomes unknown during overload, when most requests are repeated attempts.
TEST_CASE("the initial time is kept during a period of overload, and forgotten without confirmation")
{
    request_ages ages;
    for (int i = 0; i < 64; ++i)
        ages.record("r", routeTimeout, 5000ms, start);
    auto now = start;
    for (int i = 0; i < 64; ++i)
        ages.record("r", routeTimeout, milliseconds { 3000 + 7 * i }, now += 100ms);
    CHECK(ages.ageOf("r", 3000ms, now) == 2000ms);
    CHECK(ages.ageOf("r", 5000ms, now) == 0ms);
    CHECK(ages.ageOf("r", 3000ms, now + 12s) == 0ms);
    CHECK(ages.ageOf("another", 3000ms, now) == 0ms);
}

// The callers of a route are given more time. The former first attempts must not count as old.
TEST_CASE("callers with more time replace the initial time")
{
    request_ages ages;
    for (int i = 0; i < 64; ++i)
        ages.record("r", routeTimeout, 5000ms, start);
    for (int i = 0; i < 8; ++i)
        ages.record("r", routeTimeout, 8000ms, start + 1s);
    CHECK(ages.ageOf("r", 4000ms, start + 1s) == 0ms);
    for (int i = 0; i < 64; ++i)
        ages.record("r", routeTimeout, 8000ms, start + 2s);
    CHECK(ages.ageOf("r", 7000ms, start + 2s) == 1000ms);
}

// Guards against callers that choose a shorter time than the others and are served last for as long as the
// former initial time is kept.
TEST_CASE("callers that choose a shorter time make the initial time unknown at once")
{
    request_ages ages;
    for (int i = 0; i < 64; ++i)
        ages.record("r", routeTimeout, 5000ms, start);
    for (int i = 0; i < 64; ++i)
        ages.record("r", routeTimeout, i % 4 == 0 ? 2000ms : 5000ms, start + 1s);
    CHECK(ages.ageOf("r", 2000ms, start + 1s) == 0ms);
}
