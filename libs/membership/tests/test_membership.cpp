#include "membership/membership.h"

#include <catch2/catch.hpp>

using namespace yuccachute;
using namespace std::chrono_literals;

namespace {

member_info make(std::string vm, std::uint64_t incarnation = 1)
{
    member_info info;
    info.vm = std::move(vm);
    info.zone = "rennes-a";
    info.incarnation = incarnation;
    return info;
}

member_state stateOf(const membership& members, std::string_view vm)
{
    for (const auto& member : members.view()) {
        if (member.info.vm == vm)
            return member.state;
    }
    return member_state::dead;
}

const steady_time start = steady_time {} + 1h;

} // namespace

TEST_CASE("silence makes a member suspect, then dead, and a heartbeat brings it back")
{
    membership self(make("a"), {}, start);
    auto other = make("b");
    self.merge(std::span(&other, 1), start);
    self.tick(start + 2s);
    CHECK(stateOf(self, "b") == member_state::alive);
    self.tick(start + 4s);
    CHECK(stateOf(self, "b") == member_state::suspect);
    CHECK(self.eligibleMembers("rennes-a").size() == 1);
    self.tick(start + 9s);
    CHECK(stateOf(self, "b") == member_state::dead);
    other.heartbeat = 5;
    CHECK(self.merge(std::span(&other, 1), start + 10s));
    CHECK(stateOf(self, "b") == member_state::alive);
}

// Story: a VM is paused for a minute and wakes; its peers have given it up, and old news of it is still being
// passed around. If old news counted as life, a dead VM would be kept alive for ever.
TEST_CASE("repeated old news does not keep a dead member alive")
{
    membership self(make("a"), {}, start);
    auto other = make("b");
    for (int second = 0; second <= 9; ++second) {
        self.merge(std::span(&other, 1), start + std::chrono::seconds(second));
        self.tick(start + std::chrono::seconds(second));
    }
    CHECK(stateOf(self, "b") == member_state::dead);
}

TEST_CASE("a restarted VM is believed over its earlier life, also with a clock that ran backwards")
{
    membership self(make("a", 100), {}, start);
    auto earlier = make("a", 200);
    earlier.leaving = true;
    self.merge(std::span(&earlier, 1), start);
    CHECK(self.self().incarnation == 201);
    CHECK(!self.self().leaving);
}

TEST_CASE("a leaving member owns nothing, and a broken connection counts before silence does")
{
    membership self(make("a"), {}, start);
    const std::vector<member_info> others { make("b"), make("c") };
    self.merge(others, start);
    auto leaving = make("b");
    leaving.heartbeat = 1;
    leaving.leaving = true;
    self.merge(std::span(&leaving, 1), start);
    self.reportUnreachable("c", start);
    self.tick(start + 1s);
    REQUIRE(self.eligibleMembers("rennes-a").size() == 1);
    CHECK(self.eligibleMembers("rennes-a")[0].vm == "a");
    self.leave();
    CHECK(self.eligibleMembers("rennes-a")[0].vm == "c");
}

TEST_CASE("when one of n members goes, only its own keys move")
{
    std::vector<member_info> members;
    for (int i = 0; i < 33; ++i)
        members.push_back(make("vm" + std::to_string(i)));
    const std::vector<member_info> fewer(members.begin() + 1, members.end());
    int moved = 0;
    constexpr int keys = 3300;
    for (int i = 0; i < keys; ++i) {
        const auto key = "group" + std::to_string(i);
        const auto before = rankMembers(key, members)[0].vm;
        const auto after = rankMembers(key, fewer)[0].vm;
        if (before != after) {
            ++moved;
            REQUIRE(before == "vm0");
        }
    }
    CHECK(moved > keys / 33 / 2);
    CHECK(moved < keys / 33 * 2);
}

TEST_CASE("a heartbeat note stands for a known member, and an unknown or changed one is asked for")
{
    membership self(make("a"), {}, start);
    auto other = make("b");
    const auto first = heartbeatOf(other);
    CHECK(self.mergeHeartbeats(std::span(&first, 1), start) == std::vector<std::uint32_t> { first.id });
    self.merge(std::span(&other, 1), start);
    other.heartbeat = 7;
    other.settingsVersion = 9;
    const auto beat = heartbeatOf(other);
    CHECK(self.mergeHeartbeats(std::span(&beat, 1), start + 2s).empty());
    CHECK(self.view()[1].info.settingsVersion == 9);
    CHECK(self.view()[1].lastNews == start + 2s);
    other.batchAddress = "127.0.0.1:5";
    const auto moved = heartbeatOf(other);
    CHECK(self.mergeHeartbeats(std::span(&moved, 1), start + 3s).size() == 1);
    const auto own = heartbeatOf(self.self());
    CHECK(self.mergeHeartbeats(std::span(&own, 1), start).empty());
}

// Story: an edit is accepted and pushed to every entry at once, but most put it in force only a second later:
// the push carried the heartbeat that they already knew, and was taken for old news.
TEST_CASE("a change between two heartbeats is news")
{
    membership pusher(make("a"), {}, start);
    membership receiver(make("b"), {}, start);
    receiver.merge(pusher.digest(), start);
    pusher.setSettingsVersion(7);
    const auto note = heartbeatOf(pusher.self());
    receiver.mergeHeartbeats(std::span(&note, 1), start);
    CHECK(receiver.view()[1].info.settingsVersion == 7);
    pusher.setSettingsVersion(7);
    CHECK(heartbeatOf(pusher.self()).heartbeat == note.heartbeat);
}
