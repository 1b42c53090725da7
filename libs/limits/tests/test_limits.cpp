#include "limits/limits.h"
#include "membership/membership.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

const steady_time start { std::chrono::hours { 1 } };

steady_time at(int ms)
{
    return start + milliseconds { ms };
}

distributed_rate_limiter makeLimiter(
    const std::string& vm, limit_policy policy = lent_shares {}, std::uint64_t incarnation = 1)
{
    distributed_rate_limiter limits(vm, incarnation, policy, {});
    customer_directory customers;
    customers.add({ "firm", 0, 10, 10, 0 }, {});
    customers.add({ "free", 0, 0, 0, 0 }, {});
    limits.setCustomers(customers, start);
    return limits;
}

const std::vector<limit_member> twoMembers { { "a", "zone-a" }, { "b", "zone-b" } };

int countGranted(distributed_rate_limiter& limits, steady_time now, int tries)
{
    int granted = 0;
    for (int i = 0; i < tries; ++i)
        granted += limits.tryAcquire("firm", false, now).count() == 0 ? 1 : 0;
    return granted;
}

/// The borrower requests a loan and the lender answers. Afterwards both may own a different share.
std::optional<limit_message> requestLoan(
    distributed_rate_limiter& lender, distributed_rate_limiter& borrower, steady_time now)
{
    const auto request = borrower.nextShareRequest(now);
    return request ? lender.handleMessage(*request, now) : std::nullopt;
}

void borrow(distributed_rate_limiter& lender, distributed_rate_limiter& borrower, steady_time now)
{
    const auto loan = requestLoan(lender, borrower, now);
    REQUIRE(loan);
    borrower.handleMessage(*loan, now);
}

/// Two processes that have confirmed each other as members.
struct two_limiters {
    distributed_rate_limiter a = makeLimiter("a");
    distributed_rate_limiter b = makeLimiter("b");

    two_limiters()
    {
        a.setMembers(twoMembers, start);
        b.setMembers(twoMembers, start);
        borrow(a, b, at(10));
        borrow(b, a, at(10));
    }
};

} // namespace

TEST_CASE("requests of customers without a limit are always granted, even by a process that is not listed")
{
    auto limits = makeLimiter("a");
    CHECK(limits.tryAcquire("free", false, start).count() == 0);
    CHECK(limits.tryAcquire("unknown", false, start).count() == 0);
    CHECK(limits.tryAcquire("firm", false, start).count() > 0);
}

TEST_CASE("refused requests get successive retry times, as tokens are refilled")
{
    auto limits = makeLimiter("a");
    limits.setMembers(std::vector<limit_member> { { "a", "zone-a" } }, start);
    auto last = milliseconds { 0 };
    while (last.count() == 0)
        last = limits.tryAcquire("firm", false, start);
    for (int i = 0; i < 5; ++i) {
        const auto wait = limits.tryAcquire("firm", false, start);
        CHECK(wait > last);
        last = wait;
    }
    CHECK(limits.tryAcquire("firm", false, start + last).count() == 0);
}

TEST_CASE("a refunded token can be acquired again")
{
    auto limits = makeLimiter("a");
    limits.setMembers(std::vector<limit_member> { { "a", "zone-a" } }, start);
    countGranted(limits, start, 100);
    CHECK(limits.tryAcquire("firm", false, start).count() > 0);
    limits.refund("firm", start);
    CHECK(limits.tryAcquire("firm", false, start).count() == 0);
}

// Guards against a stream that breaks off in the middle and cannot continue at another target, because its
// customer's bucket is empty by then, although the request was within the limit when it arrived.
TEST_CASE("the continuation of a request may overdraw the bucket at the expense of later requests")
{
    auto limits = makeLimiter("a");
    limits.setMembers(std::vector<limit_member> { { "a", "zone-a" } }, start);
    countGranted(limits, start, 100);
    CHECK(limits.tryAcquire("firm", true, start).count() == 0);
    CHECK(limits.tryAcquire("firm", false, at(50)).count() > 0);
    int onCredit = 1;
    while (limits.tryAcquire("firm", true, start).count() == 0)
        ++onCredit;
    CHECK(onCredit <= 5);
}

// Guards against two processes that each use the whole limit: a borrower whose loans have expired, and its
// lender.
TEST_CASE(
    "a process grants from its own share, and from the shares of others for the duration of their loans")
{
    two_limiters fleet;
    auto& [a, b] = fleet;
    CHECK(a.share(at(100)) == Approx(0.5));
    countGranted(a, at(1000), 1);
    borrow(b, a, at(1000));
    CHECK(a.share(at(1000)) == Approx(1.0));
    CHECK(b.share(at(1000)) == Approx(0.0));
    CHECK(a.share(at(1500)) == Approx(1.0));
    CHECK(b.share(at(1590)) == Approx(0.0));
    CHECK(a.share(at(1590)) == Approx(0.5));
    CHECK(b.share(at(1610)) == Approx(0.5));
}

namespace {

const std::vector<limit_member> threeMembers { { "a", "zone-a" }, { "b", "zone-b" }, { "c", "zone-c" } };

/// Three processes that all grant.
struct three_limiters {
    distributed_rate_limiter a = makeLimiter("a");
    distributed_rate_limiter b = makeLimiter("b");
    distributed_rate_limiter c = makeLimiter("c");

    three_limiters()
    {
        for (auto* limiter : { &a, &b, &c }) {
            limiter->setMembers(threeMembers, start);
            limiter->setIsDispatcher(true, start);
        }
    }

    /// The connected processes request loans from each other every 100 ms.
    void run(int fromMs, int toMs, std::span<distributed_rate_limiter* const> connected)
    {
        for (int ms = fromMs; ms < toMs; ms += 100) {
            for (auto* borrower : connected) {
                const auto request = borrower->nextShareRequest(at(ms));
                for (auto* lender : connected) {
                    const auto loan = request && lender != borrower ? lender->handleMessage(*request, at(ms))
                                                                    : std::nullopt;
                    if (loan)
                        borrower->handleMessage(*loan, at(ms));
                }
            }
        }
    }
};

} // namespace

// Guards against processes that claim the share of a partitioned member that continues to grant.
TEST_CASE("an unreachable member keeps its full share for a minute, and half of it for longer")
{
    three_limiters fleet;
    auto& [a, b, c] = fleet;
    const std::vector<distributed_rate_limiter*> all { &a, &b, &c };
    const std::vector<distributed_rate_limiter*> others { &a, &b };
    fleet.run(0, 4000, all);
    CHECK(a.share(at(4000)) + b.share(at(4000)) + c.share(at(4000)) == Approx(1.0));
    c.setStoreReachable(false, at(4000));
    auto lapsedC = threeMembers;
    lapsedC[2].registered = false;
    for (auto* limiter : others)
        limiter->setMembers(lapsedC, at(8000));
    fleet.run(4000, 65000, others);
    CHECK(a.share(at(65000)) + b.share(at(65000)) == Approx(2.0 / 3));
    CHECK(c.share(at(45000)) == Approx(1.0 / 3));
    CHECK(c.share(at(60000)) == Approx(0.5 / 3));
    fleet.run(65000, 75000, others);
    CHECK(a.share(at(75000)) + b.share(at(75000)) == Approx(1 - 0.5 / 3));
}

// Guards against limits that are halved in all processes during a long outage of the store.
TEST_CASE("processes that reach each other keep their shares while none reaches the store")
{
    three_limiters fleet;
    auto& [a, b, c] = fleet;
    const std::vector<distributed_rate_limiter*> all { &a, &b, &c };
    for (auto* limiter : all)
        limiter->setStoreReachable(false, at(4000));
    fleet.run(0, 120000, all);
    CHECK(a.share(at(120000)) + b.share(at(120000)) + c.share(at(120000)) == Approx(1.0));
    // All registrations have lapsed when the store is available again.
    auto lapsed = threeMembers;
    for (auto& member : lapsed)
        member.registered = false;
    for (auto* limiter : all) {
        limiter->setStoreReachable(true, at(120000));
        limiter->setMembers(lapsed, at(120000));
    }
    fleet.run(120000, 122000, all);
    CHECK(a.share(at(122000)) + b.share(at(122000)) + c.share(at(122000)) == Approx(1.0));
}

// Guards against the smaller side of a partition claiming the share that the larger side continues to use.
TEST_CASE("a process that reaches only a minority claims no other share, even if only it reaches the store")
{
    three_limiters fleet;
    auto& [a, b, c] = fleet;
    const std::vector<distributed_rate_limiter*> all { &a, &b, &c };
    const std::vector<distributed_rate_limiter*> withoutStore { &b, &c };
    fleet.run(0, 4000, all);
    auto alone = threeMembers;
    alone[1].registered = false;
    alone[2].registered = false;
    a.setMembers(alone, at(8000));
    for (auto* limiter : withoutStore)
        limiter->setStoreReachable(false, at(4000));
    fleet.run(4000, 100000, withoutStore);
    CHECK(a.share(at(100000)) == Approx(1.0 / 3));
    CHECK(b.share(at(100000)) + c.share(at(100000)) == Approx(2.0 / 3));
}

// Guards against a new dispatcher that refuses nearly all requests. It was idle before, so the others had no
// reason to send it messages, and it considered them unreachable.
TEST_CASE("a process that becomes active grants from its own share, and more once others have answered")
{
    auto limits = makeLimiter("a");
    limits.setMembers(twoMembers, start);
    limits.setStoreReachable(true, at(8000));
    CHECK(countGranted(limits, at(10000), 100) >= 10);
    auto other = makeLimiter("b");
    other.setMembers(twoMembers, start);
    other.setStoreReachable(true, at(8000));
    const auto loan = requestLoan(other, limits, at(10010));
    REQUIRE(loan);
    limits.handleMessage(*loan, at(10030));
    CHECK(countGranted(limits, at(10060), 100) >= 8);
}

// Guards against a dispatcher's successor that refuses requests while its own share is lent to others.
TEST_CASE("a process that holds no share receives tokens from those that hold them")
{
    two_limiters fleet;
    auto& [a, b] = fleet;
    countGranted(a, at(9000), 1);
    borrow(b, a, at(9000));
    CHECK(countGranted(b, at(9100), 1) == 0);
    CHECK(b.isAwaitingLoans(at(9100)));
    const auto request = b.nextTokenRequest(at(9100));
    REQUIRE(request);
    const auto before = a.usageOf("firm", at(9100))->level;
    const auto tokens = a.handleMessage(*request, at(9110));
    REQUIRE(tokens);
    b.handleMessage(*tokens, at(9120));
    const auto passed = b.usageOf("firm", at(9120))->level;
    CHECK(passed >= 5);
    CHECK(a.usageOf("firm", at(9120))->level <= before + 0.5 - passed);
    CHECK(countGranted(b, at(9120), 100) >= 5);
}

TEST_CASE("the share of a process that leaves is free once its loans have expired")
{
    two_limiters fleet;
    auto& a = fleet.a;
    const std::vector<limit_member> leavingB { { "a", "zone-a" }, { "b", "zone-b", true } };
    a.setMembers(leavingB, at(100));
    CHECK(a.share(at(500)) == Approx(0.5));
    CHECK(a.share(at(800)) == Approx(1.0));
    fleet.b.leave(at(90));
    CHECK(fleet.b.share(at(90)) == Approx(0.0));
}

TEST_CASE("tokens of a loan are removed from the lender and added to the borrower once")
{
    two_limiters fleet;
    auto& [a, b] = fleet;
    const auto lenderLevel = b.usageOf("firm", at(5000))->level;
    CHECK(lenderLevel > 5);
    countGranted(a, at(5000), 1);
    const auto borrowerLevel = a.usageOf("firm", at(5000))->level;
    const auto loan = requestLoan(b, a, at(5000));
    REQUIRE(loan);
    a.handleMessage(*loan, at(5000));
    a.handleMessage(*loan, at(5000));
    CHECK(b.usageOf("firm", at(5000))->level == Approx(0.0));
    CHECK(a.usageOf("firm", at(5000))->level <= borrowerLevel + lenderLevel + 0.01);
    CHECK(a.usageOf("firm", at(5000))->level >= borrowerLevel + 0.9 * lenderLevel);
}

// Guards against a process that refuses all requests after a network partition has healed: it was idle during
// the partition, becomes dispatcher shortly afterwards, and subtracts from its bucket all that an isolated
// zone granted.
TEST_CASE("requests granted during a partition are not charged to processes that were idle")
{
    two_limiters fleet;
    auto& [a, b] = fleet;
    for (int ms = 1000; ms < 6000; ms += 100)
        countGranted(b, at(ms), 10);
    borrow(a, b, at(6000));
    countGranted(a, at(6010), 1);
    borrow(b, a, at(6010));
    CHECK(a.usageOf("firm", at(6010))->level + b.usageOf("firm", at(6010))->level > 10);
}

// Guards against a restarted process that uses the share that it lent before the restart.
TEST_CASE("a restarted process owns nothing before all members count it")
{
    two_limiters fleet;
    auto& a = fleet.a;
    countGranted(a, at(1000), 1);
    borrow(fleet.b, a, at(1000));
    CHECK(a.share(at(1000)) == Approx(1.0));
    auto restarted = makeLimiter("b", lent_shares {}, 2);
    restarted.setMembers(twoMembers, at(1100));
    CHECK(restarted.share(at(1100)) == Approx(0.0));
    const auto request = restarted.nextShareRequest(at(1100));
    REQUIRE(request);
    const auto answer = a.handleMessage(*request, at(1110));
    CHECK(a.share(at(1110)) == Approx(0.5));
    REQUIRE(answer);
    restarted.handleMessage(*answer, at(1120));
    CHECK(restarted.share(at(1120)) == Approx(0.5));
}

TEST_CASE("a process without any answer owns a share once the member list must have reached the others")
{
    auto limits = makeLimiter("a");
    limits.setMembers(threeMembers, start);
    CHECK(limits.share(at(100)) == Approx(0.0));
    // The members that do not count it may own half of the limit each.
    CHECK(limits.share(at(1000)) == Approx(0.0));
    CHECK(limits.share(at(9000)) == Approx(1.0 / 3));
}

TEST_CASE("messages from before a restart are ignored")
{
    two_limiters fleet;
    auto& [a, b] = fleet;
    countGranted(a, at(1000), 1);
    const auto loan = requestLoan(b, a, at(1000));
    REQUIRE(loan);
    auto restarted = makeLimiter("b", lent_shares {}, 2);
    restarted.setMembers(twoMembers, at(1000));
    const auto request = restarted.nextShareRequest(at(1000));
    REQUIRE(request);
    a.handleMessage(*request, at(1010));
    a.handleMessage(*loan, at(1020));
    CHECK(a.share(at(1040)) == Approx(0.5));

    auto other = makeLimiter("a", lent_shares {}, 2);
    other.setMembers(twoMembers, at(1000));
    other.handleMessage(*loan, at(1020));
    CHECK(other.share(at(1040)) == Approx(0.0));
}

// Guards against a starting process that divides the limit among a few members while most are partitioned.
TEST_CASE("a starting process reserves the shares of members whose registration has lapsed")
{
    std::vector<limit_member> six;
    for (const char* vm : { "a", "b", "c", "d", "e", "f" })
        six.push_back({ vm, "z", false, std::string_view(vm) < "c" });
    auto b = makeLimiter("b", lent_shares {}, 2);
    b.setMembers(six, start);
    // The members from which it receives nothing may not count it.
    CHECK(b.share(at(9000)) == Approx(0.2 / 6));
}

TEST_CASE("a member whose record was removed owns nothing")
{
    two_limiters fleet;
    auto& a = fleet.a;
    a.setMembers(std::vector<limit_member> { { "a", "zone-a" } }, at(4000));
    CHECK(a.share(at(4500)) == Approx(0.5));
    CHECK(a.share(at(4700)) == Approx(1.0));
}

TEST_CASE("even shares split the limit over the zones and send no messages")
{
    auto limits = makeLimiter("a", even_shares {});
    limits.setMembers(twoMembers, start);
    CHECK(limits.share(start) == Approx(0.5));
    countGranted(limits, start, 100);
    CHECK(!limits.nextShareRequest(at(1000)));
    CHECK(!limits.nextTokenRequest(at(1000)));
}
