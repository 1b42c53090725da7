#include "quarantine/quarantine.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace yuccachute;

namespace {

request_identity of(std::vector<std::string_view> parts)
{
    return identify(parts);
}

using status = quarantine::status;
using std::chrono::minutes;

constexpr request_identity guilty { 1, 1 };
constexpr request_identity popular { 2, 2 };

struct fixture {
    /// A run that is sent now ends its target.
    void end(const request_identity& identity)
    {
        known.targetTerminated(identity, known.record(identity), now);
    }
    status statusOf(const request_identity& identity) const { return known.statusOf(identity, now); }

    quarantine known;
    steady_time now { std::chrono::hours { 1 } };
};

} // namespace

TEST_CASE("requests have the same identity only if all their parts are the same")
{
    CHECK(of({ "POST", "host", "/path", "body" }) == of({ "POST", "host", "/path", "body" }));
    CHECK(of({ "POST", "host", "/path", "body" }) != of({ "POST", "other", "/path", "body" }));
    CHECK(of({ "POST", "host", "/path", "body" }) != of({ "POST", "host", "/path", "" }));
    CHECK(of({ "POST", "host", "/pathb", "ody" }) != of({ "POST", "host", "/path", "body" }));
}

TEST_CASE("an identity is written and read")
{
    const auto identity = of({ "a", "b" });
    CHECK(toString(identity).size() == 32);
    CHECK(parseIdentity(toString(identity)) == identity);
    CHECK(toString({ 1, 2 }) == "00000000000000010000000000000002");
    CHECK_FALSE(parseIdentity(""));
    CHECK_FALSE(parseIdentity("0000000000000001000000000000000x"));
    CHECK_FALSE(parseIdentity("00000000000000010000000000000002a"));
}

TEST_CASE("a request is refused when its third target in a row has ended")
{
    fixture f;
    f.end(guilty);
    CHECK(f.statusOf(guilty) == status::clear); // It may be a victim.
    f.end(guilty);
    CHECK(f.statusOf(guilty) == status::suspect);
    f.end(guilty);
    CHECK(f.statusOf(guilty) == status::refused);
    CHECK(f.statusOf(popular) == status::clear);
    CHECK(f.known.remainingRefusalTime(guilty, f.now) == minutes { 5 });
}

// Story: a rack of targets ends under a request that all callers send. It ran on each of them, and was
// refused everywhere though nothing is wrong with it.
TEST_CASE("targets that end together are one strike against what ran on all of them")
{
    fixture f;
    const auto whenSent = f.known.record(popular);
    for (int i = 0; i < 30; ++i)
        f.known.targetTerminated(popular, whenSent, f.now);
    CHECK(f.known.record(popular).strikes == 1);
    CHECK(f.statusOf(popular) == status::clear);
}

TEST_CASE("a whole answer acquits a request, also of ends of runs that were sent before")
{
    fixture f;
    f.end(popular);
    f.end(popular);
    const auto whenSent = f.known.record(popular);
    CHECK(f.known.answered(popular, f.now));
    CHECK_FALSE(f.known.answered(popular, f.now));
    CHECK(f.statusOf(popular) == status::clear);
    CHECK_FALSE(f.known.targetTerminated(popular, whenSent, f.now));
    CHECK(f.statusOf(popular) == status::clear);
    f.end(popular);
    CHECK(f.known.record(popular) == strike_record { 1, 1 });
}

// Story: the service's next version bears the request, and its caller is refused for good.
TEST_CASE("a refused request may be tried once after a time, and is forgotten in the end")
{
    fixture f;
    for (int i = 0; i < 3; ++i)
        f.end(guilty);
    f.now += minutes { 4 };
    CHECK(f.statusOf(guilty) == status::refused);
    f.now += minutes { 1 };
    CHECK(f.statusOf(guilty) == status::suspect);
    f.end(guilty);
    CHECK(f.statusOf(guilty) == status::refused);
    f.now += minutes { 15 };
    f.known.expire(f.now);
    CHECK(f.known.empty());
}

TEST_CASE("what processes know merges to the same in any order")
{
    fixture left;
    fixture right;
    left.end(guilty);
    left.end(guilty);
    right.end(guilty);
    right.end(popular);
    right.known.answered(popular, right.now);
    const auto fromLeft = left.known.reports(left.now);
    const auto fromRight = right.known.reports(right.now);
    CHECK(digestOf(fromLeft) != digestOf(fromRight));
    for (const auto& report : fromLeft)
        CHECK(right.known.merge(report, right.now));
    for (const auto& report : fromRight)
        left.known.merge(report, left.now);
    CHECK(digestOf(left.known.reports(left.now)) == digestOf(right.known.reports(right.now)));
    CHECK(right.statusOf(guilty) == status::suspect);
    for (const auto& report : fromRight)
        CHECK_FALSE(left.known.merge(report, left.now));
}

// Story: a refusal that travels from process to process must not begin anew with each hop.
TEST_CASE("a record keeps its age when it is told on")
{
    fixture f;
    f.known.merge({ guilty, { 0, 3 }, minutes { 4 } }, f.now);
    CHECK(f.statusOf(guilty) == status::refused);
    f.now += minutes { 1 };
    CHECK(f.statusOf(guilty) == status::suspect);
    CHECK_FALSE(f.known.merge({ popular, { 0, 3 }, minutes { 16 } }, f.now));
}

// Story: thousands of different requests end targets, as when a service is broken altogether. What is known
// must not fill the memory of each process, nor push out the few that are proved.
TEST_CASE("thousands of requests of one strike do not push out a refused one")
{
    fixture f;
    for (int i = 0; i < 3; ++i)
        f.end(guilty);
    for (std::uint64_t i = 10; i < 5000; ++i)
        f.end({ i, i });
    CHECK(f.known.size() == 1024);
    CHECK(f.statusOf(guilty) == status::refused);
    const auto reports = f.known.reports(f.now);
    CHECK(reports.size() == 64);
    CHECK(std::any_of(
        reports.begin(), reports.end(), [](const auto& report) { return report.identity == guilty; }));
}
