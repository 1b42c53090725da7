#include "dispatch/dispatch.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace yuccachute;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time {} + 1h;

group_options spareOptions()
{
    group_options options;
    options.policy = spare_bulk {};
    options.bulkOrder = fair_queue::order::due;
    return options;
}

/// Two targets of two slots with v1, and one with v2.
struct mixed_group {
    explicit mixed_group(group_options options = spareOptions())
        : group(std::move(options))
    {
        group.setTargets(std::vector<target_description> { { "a", "a:1", 2, false, "v1" },
                             { "b", "b:1", 2, false, "v1" }, { "c", "c:1", 2, false, "v2" } },
            now);
    }
    std::uint64_t ask(std::optional<std::string> version, work_class workClass = work_class::live,
        bool immediate = false, milliseconds due = 1h)
    {
        slot_request wanted;
        wanted.holder = 1;
        wanted.id = ++lastId;
        wanted.customer = "c" + std::to_string(lastId);
        wanted.workClass = workClass;
        wanted.deadline = now + 2s;
        wanted.hold = 5s;
        wanted.due = now + due;
        wanted.immediate = immediate;
        wanted.version = std::move(version);
        group.ask(std::move(wanted), now);
        collect();
        return lastId;
    }
    void collect()
    {
        for (const auto& one : group.takeDecisions()) {
            if (const auto* grant = std::get_if<slot_grant>(&one))
                grants[grant->slotRequestId] = *grant;
            if (const auto* refusal = std::get_if<slot_refusal>(&one))
                refusals[refusal->slotRequestId] = refusal->reason;
            if (const auto* revocation = std::get_if<grant_revocation>(&one))
                revoked.push_back(revocation->grantId);
        }
    }
    void release(std::uint64_t request)
    {
        group.release({ grants.at(request).grantId, grant_outcome::ok, 30ms, 0 }, now);
        collect();
    }
    std::string targetOf(std::uint64_t request) const
    {
        const auto found = grants.find(request);
        return found == grants.end() ? "" : found->second.target;
    }

    target_group group;
    steady_time now = start;
    std::uint64_t lastId = 0;
    std::map<std::uint64_t, slot_grant> grants;
    std::map<std::uint64_t, failure> refusals;
    std::vector<std::uint64_t> revoked;
};

} // namespace

// Guards against a stream that goes on at another software version than the one that began it.
TEST_CASE("a request that is bound to a software version gets targets of that version only")
{
    mixed_group f;
    for (int i = 0; i < 2; ++i) {
        const auto bound = f.ask("v2");
        CHECK(f.targetOf(bound) == "c");
        CHECK(f.grants.at(bound).version == "v2");
    }
    const auto immediate = f.ask("v2", work_class::live, true);
    CHECK(f.targetOf(immediate).empty());
    CHECK(f.refusals.contains(immediate));
    for (int i = 0; i < 4; ++i)
        CHECK(f.targetOf(f.ask("v1")) != "c");
}

// Guards against a queue that stands still behind a request whose version has no free slot.
TEST_CASE("a bound request that waits for its version holds up no other request")
{
    mixed_group f;
    const auto first = f.ask("v2");
    f.ask("v2");
    const auto waiting = f.ask("v2");
    CHECK(f.targetOf(waiting).empty());
    CHECK(!f.targetOf(f.ask(std::nullopt)).empty());
    CHECK(!f.targetOf(f.ask("v1")).empty());
    CHECK(f.targetOf(f.ask("v2", work_class::bulk)).empty());
    f.release(first);
    CHECK(f.targetOf(waiting) == "c");
}

// Guards against streams that end while new ones begin at the last targets of their version.
TEST_CASE("bound requests are served before new ones")
{
    mixed_group f;
    std::vector<std::uint64_t> running;
    for (int i = 0; i < 6; ++i)
        running.push_back(f.ask(std::nullopt));
    const auto fresh = f.ask(std::nullopt);
    const auto bound = f.ask("v2");
    const auto atVersion2 = std::find_if(
        running.begin(), running.end(), [&](auto request) { return f.targetOf(request) == "c"; });
    f.release(*atVersion2);
    CHECK(f.targetOf(bound) == "c");
    CHECK(f.targetOf(fresh).empty());
    const auto atVersion1 = std::find_if(
        running.begin(), running.end(), [&](auto request) { return f.targetOf(request) == "a"; });
    f.release(*atVersion1);
    CHECK(f.targetOf(fresh) == "a");
}

// Guards against items of other versions that are stopped in vain for a bound request.
TEST_CASE("a bound request takes the slots of items at targets of its version")
{
    mixed_group f;
    std::vector<std::uint64_t> items;
    for (int i = 0; i < 6; ++i)
        items.push_back(f.ask(std::nullopt, work_class::bulk));
    const auto bound = f.ask("v2");
    REQUIRE(f.revoked.size() == 1);
    CHECK(f.targetOf(bound) == "c");
    for (const auto item : items) {
        if (f.grants.at(item).grantId == f.revoked[0])
            CHECK(f.targetOf(item) == "c");
    }
}

// Guards against a version whose only targets are on standby because the load does not need them.
TEST_CASE("a standby target is activated for a request that is bound to its version")
{
    auto options = spareOptions();
    options.minTargets = 1;
    mixed_group f(options);
    CHECK(f.targetOf(f.ask("v2")) == "c");
    CHECK(f.targetOf(f.ask("v1")) != "c");
}

// Guards against a caller that waits for a version of which no target is left.
TEST_CASE("a request is refused at once if no target of its version can be used")
{
    mixed_group f;
    const auto unknown = f.ask("v3");
    REQUIRE(f.refusals.contains(unknown));
    CHECK(f.refusals.at(unknown).kind == failure_kind::unavailable);
    CHECK(f.refusals.at(unknown).message.find("v3") != std::string::npos);
    f.group.changeTargets(std::vector<target_description> { { "c", "c:1", 2, true, "v2" } },
        std::vector<std::string> {}, f.now);
    CHECK(f.refusals.contains(f.ask("v2")));
    CHECK(f.refusals.contains(f.ask("v2", work_class::bulk)));
}

TEST_CASE("an item that is bound to a full version holds up no other item")
{
    mixed_group f;
    f.ask("v2");
    f.ask("v2");
    const auto bound = f.ask("v2", work_class::bulk, false, 1s);
    const auto other = f.ask(std::nullopt, work_class::bulk, false, 1h);
    CHECK(f.targetOf(bound).empty());
    CHECK(!f.targetOf(other).empty());
}
