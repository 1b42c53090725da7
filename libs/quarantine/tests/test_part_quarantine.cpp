#include "quarantine/quarantine.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace yuccachute;

namespace {

using status = quarantine::status;
using std::chrono::minutes;
using parts = std::vector<prompt_part>;

constexpr prompt_part common { 1 }; ///< Part of all prompts.
constexpr prompt_part harmful { 2 };
constexpr prompt_part sound { 3 };
constexpr prompt_part rare { 4 };

struct fixture {
    void end(const parts& prompt, const std::string& target)
    {
        now += milliseconds { 10 };
        known.targetTerminated(prompt, target, now);
    }
    void answer(const parts& prompt)
    {
        now += milliseconds { 10 };
        known.answered(prompt, now);
    }
    status statusOf(const parts& prompt) const { return known.assess(prompt, now).status; }
    /// Takes over all records of another process.
    void learnFrom(const fixture& other)
    {
        now = std::max(now, other.now);
        for (const auto& report : other.known.reports(now))
            known.merge(report, now);
    }
    std::uint64_t digest() const { return digestOf(known.reports(now)); }

    part_quarantine known;
    steady_time now { std::chrono::hours { 1 } };
};

} // namespace

TEST_CASE("ids of prompt parts are hexadecimal, and other texts get a hash")
{
    CHECK(parsePromptPart("5c1e07a2") == prompt_part { 0x5c1e07a2 });
    CHECK(parsePromptPart("5C1E07A2") == prompt_part { 0x5c1e07a2 });
    CHECK(parsePromptPart("not a number") != parsePromptPart("not a number either"));
    CHECK(toString(prompt_part { 0x5c1e07a2 }) == "5c1e07a2");
    CHECK(toString(parts { prompt_part { 0xa }, prompt_part { 0xb } }) == "a,b");
    CHECK(promptPartOf(identityOf(harmful)) == harmful);
    CHECK_FALSE(promptPartOf(request_identity { 1, 2 }));
}

TEST_CASE("a part is refused after three targets, and those beside it that were answered are not")
{
    fixture f;
    f.answer({ common, sound });
    f.end({ common, harmful, sound }, "t1");
    CHECK(f.statusOf({ common, harmful }) == status::clear);
    f.end({ common, harmful, sound }, "t2");
    CHECK(f.statusOf({ common, harmful }) == status::suspect);
    f.end({ harmful, common }, "t3");
    CHECK(f.statusOf({ common, harmful, rare }) == status::refused);
    CHECK(f.known.assess(parts { harmful }, f.now).part == harmful);
    CHECK(f.known.assess(parts { harmful }, f.now).remainingRefusal == minutes { 1 });
    CHECK(f.statusOf({ common, sound }) == status::clear);
}

// Guards against blame for the part of all prompts when nothing is answered any more because all targets end.
TEST_CASE(
    "a part that was answered only before the first end is not blamed for the ends that another explains")
{
    fixture f;
    f.answer({ common });
    for (const auto* target : { "t1", "t2", "t3", "t4", "t5" })
        f.end({ common, harmful }, target);
    CHECK(f.statusOf({ common, harmful }) == status::refused);
    CHECK(f.statusOf({ common }) == status::clear);
}

// Guards against blame for what other requests held that ran on the same targets.
TEST_CASE("parts of other requests on the same targets are cleared by the part that explains more ends")
{
    fixture f;
    for (const auto* target : { "t1", "t2", "t3" }) {
        f.end({ common, rare }, target);
        f.end({ common, harmful }, target);
    }
    CHECK(f.statusOf({ common, harmful, rare }) == status::refused);
    f.end({ harmful }, "t4");
    CHECK(f.statusOf({ harmful }) == status::refused);
    CHECK(f.statusOf({ common, rare }) == status::clear);
}

// Guards against a popular part that is refused because a rack of targets ends, again and again.
TEST_CASE("a part that is answered between the ends of racks is not blamed")
{
    fixture f;
    f.answer({ common, sound });
    for (int rack = 0; rack < 5; ++rack) {
        for (int i = 0; i < 4; ++i)
            f.end({ common, sound }, "r" + std::to_string(rack) + "-" + std::to_string(i));
        f.answer({ common, sound });
    }
    CHECK(f.statusOf({ common, sound }) == status::clear);
}

// Guards against a harmful part that goes unnoticed because the same request is sent again and again.
TEST_CASE("a repeated request does not hide a part that was never answered")
{
    fixture f;
    f.answer({ common });
    for (const auto* target : { "t1", "t2", "t3" })
        f.known.targetTerminated(parts { common, harmful }, target, f.now, true);
    CHECK(f.statusOf({ harmful }) == status::refused);
    CHECK(f.statusOf({ common }) == status::clear);
}

// Guards against old answers that hide a part which a new version of the service cannot handle.
TEST_CASE("a part that was answered before and ends targets now is refused")
{
    fixture f;
    f.answer({ common, harmful });
    for (const auto* target : { "t1", "t2", "t3", "t4" }) {
        f.end({ common, harmful }, target);
        f.answer({ common });
    }
    CHECK(f.statusOf({ common, harmful }) == status::refused);
    CHECK(f.statusOf({ common }) == status::clear);
}

// Guards against the refusal of sound requests with a part that all harmful ones hold as well.
TEST_CASE("of parts that only ends with both of them tell, a request with one of them decides")
{
    fixture f;
    f.answer({ common });
    for (const auto* target : { "t1", "t2", "t3" })
        f.end({ common, rare, harmful }, target);
    CHECK(f.statusOf({ common, rare, harmful }) == status::refused);
    CHECK(f.statusOf({ common, rare }) == status::suspect); // May run, one at a time.
    f.answer({ common, rare });
    CHECK(f.statusOf({ common, rare }) == status::clear);
    CHECK(f.statusOf({ harmful }) == status::refused);
}

TEST_CASE("two harmful parts are both refused")
{
    fixture f;
    for (const auto* target : { "t1", "t2", "t3" })
        f.end({ common, harmful }, target);
    for (const auto* target : { "t4", "t5", "t6" })
        f.end({ common, rare }, target);
    f.answer({ common });
    CHECK(f.statusOf({ harmful }) == status::refused);
    CHECK(f.statusOf({ rare }) == status::refused);
    CHECK(f.statusOf({ common }) == status::clear);
}

// Guards against a part that is refused for good, and against trials that end a target each minute.
TEST_CASE("a refused part gets a trial, later each time, and its answer acquits it")
{
    fixture f;
    for (const auto* target : { "t1", "t2", "t3" })
        f.end({ harmful }, target);
    f.now += minutes { 1 };
    CHECK(f.known.assess(parts { harmful }, f.now).trialDue);
    f.known.trialAllowed(harmful, f.now);
    CHECK_FALSE(f.known.assess(parts { harmful }, f.now).trialDue);
    CHECK(f.known.assess(parts { harmful }, f.now).remainingRefusal == minutes { 4 });
    f.answer({ harmful });
    CHECK(f.statusOf({ harmful }) == status::clear);
}

// Guards against a sound part of all prompts that stays refused for a minute after targets ended under one
// harmful request, or together with others: while it is refused, no answer can acquit it.
TEST_CASE(
    "a part that was answered before it is refused gets its first trial after a second, the others later")
{
    fixture f;
    f.answer({ common });
    for (const auto* target : { "t1", "t2", "t3", "t4" })
        f.end({ common }, target);
    for (const auto* target : { "u1", "u2", "u3", "u4" })
        f.end({ harmful }, target);
    REQUIRE(f.statusOf({ common }) == status::refused);
    CHECK_FALSE(f.known.assess(parts { common }, f.now).trialDue);
    f.now += milliseconds { 1000 };
    CHECK(f.known.assess(parts { common }, f.now).trialDue);
    CHECK_FALSE(f.known.assess(parts { harmful }, f.now).trialDue);
    // One early trial only: a part that has become harmful ends one more target.
    f.known.trialAllowed(common, f.now);
    CHECK(f.known.assess(parts { common }, f.now).remainingRefusal == minutes { 1 });
    f.known.trialAllowed(common, f.now);
    CHECK(f.known.assess(parts { common }, f.now).remainingRefusal == minutes { 4 });
    f.answer({ common });
    CHECK(f.statusOf({ common }) == status::clear);
    CHECK(f.statusOf({ harmful }) == status::refused);
}

TEST_CASE("records of parts merge to the same result in any order")
{
    fixture left;
    fixture right;
    left.end({ harmful, rare }, "t1");
    left.end({ harmful }, "t2");
    right.end({ harmful }, "t3");
    right.end({ rare }, "t4");
    right.answer({ rare });
    fixture both;
    both.learnFrom(left);
    both.learnFrom(right);
    fixture reversed;
    reversed.learnFrom(right);
    reversed.learnFrom(left);
    CHECK(both.digest() == reversed.digest());
    CHECK(both.statusOf({ harmful }) == status::refused);
    const auto before = both.digest();
    both.learnFrom(left);
    CHECK(both.digest() == before);
}

// Guards against processes that send each other full records for ever.
TEST_CASE("records of more targets than are kept merge to the same result")
{
    fixture left;
    fixture right;
    for (int i = 0; i < 30; ++i)
        (i % 2 == 0 ? left : right).end({ harmful }, "t" + std::to_string(i));
    left.learnFrom(right);
    right.learnFrom(left);
    CHECK(left.digest() == right.digest());
    for (const auto& report : left.known.reports(left.now)) {
        CHECK(report.targets.size() == maxRecordedTargets);
        CHECK_FALSE(right.known.merge(report, right.now).changed);
    }
}

TEST_CASE("a process that has seen a part answered contradicts the record of another")
{
    fixture left;
    fixture right;
    right.answer({ rare });
    left.end({ rare }, "t1");
    right.now = left.now;
    const auto merged = right.known.merge(*left.known.report(rare, left.now), right.now);
    CHECK(merged.acquitted);
    left.learnFrom(right);
    CHECK_FALSE(left.known.hasStrikes(parts { rare }));
    // The same answer contradicts nothing again.
    left.end({ rare }, "t2");
    CHECK_FALSE(right.known.merge(*left.known.report(rare, left.now), left.now).acquitted);
}

// Guards against unbounded memory when thousands of different parts stand in prompts that end targets.
TEST_CASE("thousands of parts with one end do not evict a refused one")
{
    fixture f;
    for (const auto* target : { "t1", "t2", "t3" })
        f.end({ harmful }, target);
    for (std::uint64_t i = 10; i < 3000; ++i)
        f.end({ prompt_part { i } }, "u" + std::to_string(i));
    CHECK(f.known.size() == 512);
    CHECK(f.statusOf({ harmful }) == status::refused);
    CHECK(f.known.reports(f.now).size() == 64);
    f.now += minutes { 15 };
    f.known.expire(f.now);
    CHECK(f.known.empty());
}
