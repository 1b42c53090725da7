#include "guard/guard.h"
#include "support/whole_list.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

class scripted_loads final : public load_report_source {
public:
    void ask(const std::string& address, callback done) override
    {
        asked += address + ' ';
        answer = std::move(done);
    }
    std::string asked;
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
        check.examine({ target, "" }, [this](bool ended) { found += ended ? "ended " : "alive "; });
    }

    event_loop loop;
    scripted_loads loads;
    whole_list listed;
    end_check check { loop, loads };
    std::string found;
};

} // namespace

TEST_CASE("a target that refuses connections after a cut has ended, one that answers has not")
{
    fixture f;
    f.examine("t1");
    f.examine("t1");
    CHECK(f.loads.asked == "a1 "); // All cuts of a moment are settled by one question.
    f.loads.answer(notRun(failure_kind::unavailable, "connection refused"));
    CHECK(f.found == "ended ended ");
    f.examine("t2");
    f.loads.answer(load_report {});
    CHECK(f.found == "ended ended alive ");
}

TEST_CASE("a target that leaves may stop in the middle, and nothing is concluded from it")
{
    fixture f;
    f.examine("t3");
    f.examine("unlisted");
    f.loop.runFor(milliseconds { 5 });
    CHECK(f.found == "alive alive ");
    CHECK(f.loads.asked.empty());
}

// Story: a target's VM goes dark with it, or the way there is cut at that moment; no connection is refused.
// Another start of it at its address is the proof, seconds later.
TEST_CASE("of a target that does not answer the list of targets tells")
{
    fixture f;
    f.examine("t1");
    f.loads.answer(notRun(failure_kind::timeout, "no connection in time"));
    CHECK(f.found.empty());
    f.list({ listedAt("t2", "a2"), listedAt("t4", "a1") });
    CHECK(f.found == "ended ");
    f.loads.asked.clear();
    f.check.awaitRestart({ "t2", "a2" }, [&](bool ended) { f.found += ended ? "ended " : "alive "; });
    CHECK(f.loads.asked.empty()); // Silence is no reason to ask.
    f.examine("t2");
    f.loads.answer(mayHaveRun(failure_kind::timeout, "silent"));
    f.list({ listedAt("t2", "a2") }, milliseconds { 11000 });
    CHECK(f.found == "ended alive alive "); // A cut link: nobody else ever came to its address.
}

// Guards against a request that ends one target after the other because the entry's slice of the list does
// not name them.
TEST_CASE("the end of a target that this process does not list is found out by its address")
{
    event_loop loop;
    scripted_loads loads;
    whole_list listed;
    end_check check { loop, loads };
    auto slice = listed.directory();
    slice.setPartial(true);
    check.setTargets(slice, {}, std::chrono::steady_clock::now());
    std::string found;
    check.examine({ "elsewhere", "a9" }, [&](bool ended) { found += ended ? "ended " : "alive "; });
    CHECK(loads.asked == "a9 ");
    loads.answer(notRun(failure_kind::unavailable, "connection refused"));
    CHECK(found == "ended ");
}
