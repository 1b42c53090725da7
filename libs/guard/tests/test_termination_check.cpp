#include "guard/guard.h"
#include "support/whole_list.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

class scripted_loads final : public load_report_source {
public:
    void ask(const std::string& address, callback done) override
    {
        polledAddresses += address + ' ';
        answer = std::move(done);
    }
    void askStart(const std::string& address, const std::string& target, callback done) override
    {
        askedStarts += target + ' ';
        ask(address, std::move(done));
    }
    std::string polledAddresses;
    std::string askedStarts;
    callback answer;
};

listed_target listedAt(const std::string& id, const std::string& address, bool draining = false)
{
    listed_target target;
    target.id = id;
    target.address = address;
    target.draining = draining;
    return target;
}

struct fixture {
    fixture() { list({ listedAt("t1", "a1"), listedAt("t2", "a2"), listedAt("t3", "a3", true) }); }
    void list(const std::vector<listed_target>& targets, milliseconds later = milliseconds { 0 })
    {
        const auto now = std::chrono::steady_clock::now() + later;
        const auto changes = listed.changesTo(targets, now, now);
        check.setTargets(listed.directory(), changes, now);
    }
    void examine(const std::string& target)
    {
        check.examine({ target, "" }, [this](bool terminated) { found += terminated ? "ended " : "alive "; });
    }

    event_loop loop;
    scripted_loads loads;
    whole_list listed;
    termination_check check { loop, loads };
    std::string found;
};

} // namespace

TEST_CASE(
    "a target that refuses connections after an aborted response has terminated, one that responds has not")
{
    fixture f;
    f.examine("t1");
    f.examine("t1");
    CHECK(f.loads.polledAddresses == "a1 "); // One probe decides all pending checks of a target.
    f.loads.answer(notRun(failure_kind::unavailable, "connection refused"));
    CHECK(f.found == "ended ended ");
    f.examine("t2");
    f.loads.answer(load_report {});
    CHECK(f.found == "ended ended alive ");
}

TEST_CASE("nothing is concluded from a response that a draining target aborts")
{
    fixture f;
    f.examine("t3");
    f.examine("unlisted");
    f.loop.runFor(milliseconds { 5 });
    CHECK(f.found == "alive alive ");
    CHECK(f.loads.polledAddresses.empty());
}

// If a target's VM becomes unreachable together with the target, or a link fails at that moment, no
// connection is refused. The proof is another start of the target at its address, seconds later.
TEST_CASE("the target list decides about a target that does not respond")
{
    fixture f;
    f.examine("t1");
    f.loads.answer(notRun(failure_kind::timeout, "no connection in time"));
    CHECK(f.found.empty());
    f.list({ listedAt("t2", "a2"), listedAt("t4", "a1") });
    CHECK(f.found == "ended ");
    f.loads.polledAddresses.clear();
    f.check.awaitRestart(
        { "t2", "a2" }, [&](bool terminated) { f.found += terminated ? "ended " : "alive "; });
    CHECK(f.loads.polledAddresses.empty()); // An unresponsive target is not probed.
    f.examine("t2");
    f.loads.answer(mayHaveRun(failure_kind::timeout, "silent"));
    f.list({ listedAt("t2", "a2") }, milliseconds { 11000 });
    CHECK(f.found == "ended alive alive "); // A failed link: no other target was listed at its address.
}

// Guards against a crash that goes unnoticed because the target is back at its address before it is asked.
TEST_CASE("a target whose next start responds at its address has terminated")
{
    fixture f;
    f.examine("t1");
    CHECK(f.loads.askedStarts == "t1 ");
    f.loads.answer(notRun(failure_kind::gone, "another start of the target responds"));
    CHECK(f.found == "ended ");
}

TEST_CASE("a target is replaced if a later start is listed at its address")
{
    fixture f;
    const executing_target first { "t1", "a1" };
    CHECK(!f.check.replaced(first));
    CHECK(!f.check.replaced({ "unlisted", "a9" }));
    auto next = listedAt("t1b", "a1");
    auto previous = listedAt("t1", "a1");
    f.list({ previous, next });
    CHECK(!f.check.replaced(first)); // Which of them is the later start is unknown.
    previous.started = 5;
    next.started = 6;
    f.list({ previous, next });
    CHECK(f.check.replaced(first));
    CHECK(!f.check.replaced({ "t1b", "a1" }));
    f.list({ next });
    CHECK(f.check.replaced(first)); // It has left the list.
    CHECK(!f.check.replaced({ "t1", "a9" }));
}

// Guards against a whole response that is broken off: its target has just started at a used address, and this
// process still lists the start before it.
TEST_CASE("a target that is not listed yet is not replaced by the start before it")
{
    fixture f;
    const executing_target unlisted { "t1b", "a1" };
    CHECK(!f.check.replaced(unlisted));
    f.list({ listedAt("t1b", "a1") });
    CHECK(!f.check.replaced(unlisted));
    CHECK(f.check.replaced({ "t1", "a1" }));
    f.list({ listedAt("t1", "a1") }); // The same start is listed again.
    CHECK(f.check.replaced(unlisted));
    CHECK(!f.check.replaced({ "t1", "a1" }));
}

// Guards against sound requests that count as the cause of a crash: their target aborted a response and runs,
// and the entry of the start before it is still listed at its address.
TEST_CASE("a target has not terminated because an earlier start is still listed at its address")
{
    fixture f;
    auto earlier = listedAt("t1", "a1");
    auto later = listedAt("t1b", "a1");
    earlier.started = 5;
    later.started = 6;
    f.list({ earlier, later });
    f.examine("t1b");
    f.loads.answer(mayHaveRun(failure_kind::timeout, "silent"));
    f.list({ earlier, later, listedAt("t9", "a9") });
    CHECK(f.found.empty());
    auto next = listedAt("t1c", "a1");
    next.started = 7;
    f.list({ later, next });
    CHECK(f.found == "ended ");
}

// Guards against a request that crashes one target after the other because the entry's slice of the target
// list does not contain them.
TEST_CASE("the termination of a target that this process does not list is detected at its address")
{
    event_loop loop;
    scripted_loads loads;
    whole_list listed;
    termination_check check { loop, loads };
    auto slice = listed.directory();
    slice.setPartial(true);
    check.setTargets(slice, {}, std::chrono::steady_clock::now());
    std::string found;
    check.examine({ "elsewhere", "a9" }, [&](bool terminated) { found += terminated ? "ended " : "alive "; });
    CHECK(loads.polledAddresses == "a9 ");
    loads.answer(notRun(failure_kind::unavailable, "connection refused"));
    CHECK(found == "ended ");
}

// Guards against an end that is noticed seconds later, by the list, because the probe went over an idle
// connection which the end had closed.
// Guards against a caller that waits forever: after the last change of the target list nothing ended the
// check.
TEST_CASE("the check of a target that stays silent ends although the target list does not change")
{
    event_loop loop;
    scripted_loads loads;
    whole_list listed;
    termination_check check { loop, loads, milliseconds { 150 } };
    const auto now = std::chrono::steady_clock::now();
    const auto changes = listed.changesTo({ listedAt("t1", "a1") }, now, now);
    check.setTargets(listed.directory(), changes, now);
    std::string found;
    const auto record = [&](bool terminated) { found += terminated ? "ended " : "unknown "; };
    check.examine({ "t1", "" }, record);
    check.awaitRestart({ "t1", "" }, record);
    loads.answer(mayHaveRun(failure_kind::timeout, "no response"));
    loop.runFor(milliseconds { 50 });
    CHECK(found.empty());
    loop.runFor(milliseconds { 400 });
    CHECK(found == "unknown unknown ");
    check.examine({ "t1", "" }, record);
    loads.answer(mayHaveRun(failure_kind::timeout, "no response"));
    loop.runFor(milliseconds { 400 });
    CHECK(found == "unknown unknown unknown ");
}

TEST_CASE("a probe that is interrupted is repeated over a new connection")
{
    fixture f;
    f.examine("t1");
    f.loads.answer(mayHaveRun(failure_kind::incomplete, "no answer: End of file"));
    CHECK(f.found.empty());
    f.loop.runFor(milliseconds { 20 });
    REQUIRE(f.loads.polledAddresses == "a1 a1 ");
    f.loads.answer(notRun(failure_kind::unavailable, "connection refused"));
    CHECK(f.found == "ended ");
    f.examine("t2");
    for (int i = 0; i < 8; ++i) {
        f.loads.answer(mayHaveRun(failure_kind::incomplete, "connection reset"));
        f.loop.runFor(milliseconds { 20 });
    }
    CHECK(f.loads.polledAddresses == "a1 a1 a2 a2 a2 a2 ");
    f.list({ listedAt("t2b", "a2") });
    CHECK(f.found == "ended ended ");
}
