#include "quarantine/quarantine.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace yuccachute;

namespace {

request_identity identityOf(std::vector<std::string_view> parts)
{
    return identify(parts);
}

using status = quarantine::status;
using std::chrono::minutes;

constexpr request_identity failing { 1, 1 };
constexpr request_identity popular { 2, 2 };

struct fixture {
    /// Sends a run now that terminates its target.
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
    CHECK(identityOf({ "POST", "host", "/path", "body" }) == identityOf({ "POST", "host", "/path", "body" }));
    CHECK(
        identityOf({ "POST", "host", "/path", "body" }) != identityOf({ "POST", "other", "/path", "body" }));
    CHECK(identityOf({ "POST", "host", "/path", "body" }) != identityOf({ "POST", "host", "/path", "" }));
    CHECK(identityOf({ "POST", "host", "/pathb", "ody" }) != identityOf({ "POST", "host", "/path", "body" }));
}

TEST_CASE("an identity survives conversion to text and back")
{
    const auto identity = identityOf({ "a", "b" });
    CHECK(toString(identity).size() == 32);
    CHECK(parseIdentity(toString(identity)) == identity);
    CHECK(toString({ 1, 2 }) == "00000000000000010000000000000002");
    CHECK_FALSE(parseIdentity(""));
    CHECK_FALSE(parseIdentity("0000000000000001000000000000000x"));
    CHECK_FALSE(parseIdentity("00000000000000010000000000000002a"));
}

TEST_CASE("a request is refused after three targets in a row have terminated under it")
{
    fixture f;
    f.end(failing);
    CHECK(f.statusOf(failing) == status::clear); // The cause may be another request.
    f.end(failing);
    CHECK(f.statusOf(failing) == status::suspect);
    f.end(failing);
    CHECK(f.statusOf(failing) == status::refused);
    CHECK(f.statusOf(popular) == status::clear);
    CHECK(f.known.remainingRefusalTime(failing, f.now) == minutes { 5 });
}

// Guards against the refusal of a popular, harmless request that ran on all targets of a rack when the rack
// failed.
TEST_CASE("targets that terminate together count as one strike against a request that ran on all of them")
{
    fixture f;
    const auto recordWhenSent = f.known.record(popular);
    for (int i = 0; i < 30; ++i)
        f.known.targetTerminated(popular, recordWhenSent, f.now);
    CHECK(f.known.record(popular).strikes == 1);
    CHECK(f.statusOf(popular) == status::clear);
}

TEST_CASE("a complete answer clears the strikes of a request, including later ones of runs sent before")
{
    fixture f;
    f.end(popular);
    f.end(popular);
    const auto recordWhenSent = f.known.record(popular);
    CHECK(f.known.answered(popular, f.now));
    CHECK_FALSE(f.known.answered(popular, f.now));
    CHECK(f.statusOf(popular) == status::clear);
    CHECK_FALSE(f.known.targetTerminated(popular, recordWhenSent, f.now));
    CHECK(f.statusOf(popular) == status::clear);
    f.end(popular);
    CHECK(f.known.record(popular) == strike_record { 1, 1 });
}

// Guards against a request that is refused for good although a new version of the service can handle it.
TEST_CASE("a refused request may run once after the refusal time, and its record expires")
{
    fixture f;
    for (int i = 0; i < 3; ++i)
        f.end(failing);
    f.now += minutes { 4 };
    CHECK(f.statusOf(failing) == status::refused);
    f.now += minutes { 1 };
    CHECK(f.statusOf(failing) == status::suspect);
    f.end(failing);
    CHECK(f.statusOf(failing) == status::refused);
    f.now += minutes { 15 };
    f.known.expire(f.now);
    CHECK(f.known.empty());
}

TEST_CASE("records of several processes merge to the same result in any order")
{
    fixture left;
    fixture right;
    left.end(failing);
    left.end(failing);
    right.end(failing);
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
    CHECK(right.statusOf(failing) == status::suspect);
    for (const auto& report : fromRight)
        CHECK_FALSE(left.known.merge(report, left.now));
}

// Guards against a refusal time that restarts whenever the record is passed on to another process.
TEST_CASE("a record keeps its age when it is passed on")
{
    fixture f;
    f.known.merge({ failing, { 0, 3 }, minutes { 4 } }, f.now);
    CHECK(f.statusOf(failing) == status::refused);
    f.now += minutes { 1 };
    CHECK(f.statusOf(failing) == status::suspect);
    CHECK_FALSE(f.known.merge({ popular, { 0, 3 }, minutes { 16 } }, f.now));
}

// Guards against unbounded memory, and against the loss of refused requests, when thousands of different
// requests terminate targets because a service is broken.
TEST_CASE("thousands of requests with one strike do not evict a refused one")
{
    fixture f;
    for (int i = 0; i < 3; ++i)
        f.end(failing);
    for (std::uint64_t i = 10; i < 5000; ++i)
        f.end({ i, i });
    CHECK(f.known.size() == 1024);
    CHECK(f.statusOf(failing) == status::refused);
    const auto reports = f.known.reports(f.now);
    CHECK(reports.size() == 64);
    CHECK(std::any_of(
        reports.begin(), reports.end(), [](const auto& report) { return report.identity == failing; }));
}
