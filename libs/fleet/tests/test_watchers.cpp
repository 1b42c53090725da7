#include "../src/watchers.h"

#include <catch2/catch.hpp>

#include <limits>
#include <set>

using namespace yuccachute;

namespace {

std::vector<node_record> fleetOf(std::size_t zones, std::size_t entriesPerZone)
{
    std::vector<node_record> entries;
    for (std::size_t zone = 0; zone < zones; ++zone) {
        for (std::size_t i = 0; i < entriesPerZone; ++i) {
            const auto name = "z" + std::to_string(zone);
            const auto vm = name + '-' + std::to_string(i);
            entries.push_back({ vm, node_role::entry, name, vm + ":1", 1, false, i == 0 ? 0.5 : 0.12 });
        }
    }
    return entries;
}

} // namespace

TEST_CASE("each zone has one entry that follows the store, a large one two, the larger VMs first")
{
    store_watchers watchers;
    watchers.choose(fleetOf(3, 3));
    CHECK(watchers.all().size() == 3);
    watchers.choose(fleetOf(5, 50));
    CHECK(watchers.all().size() == 10);
    for (int zone = 0; zone < 5; ++zone) {
        const auto name = "z" + std::to_string(zone);
        CHECK(watchers.ofZone(name).size() == 2);
        CHECK(watchers.contains(name + "-0"));
    }
    watchers.choose({});
    CHECK(watchers.all().empty());
    CHECK(!watchers.contains("z0-0"));
}

TEST_CASE("all processes name the same followers in the same order")
{
    auto entries = fleetOf(4, 9);
    store_watchers watchers;
    watchers.choose(entries);
    std::reverse(entries.begin(), entries.end());
    store_watchers others;
    others.choose(entries);
    for (const auto& node : watchers.all())
        CHECK(watchers.rank(node.vm) == others.rank(node.vm));
    CHECK(watchers.rank("unknown") == watchers.all().size());
}

// While the store is away all are in doubt. If each of 250 asked every zone four times a second, the 20 that
// are registered would answer 250 questions a second each. So only those that others rely on do.
TEST_CASE("in doubt one entry of each zone is asked, by most processes of few zones")
{
    const auto entries = fleetOf(5, 10);
    const auto& self = entries[13];
    std::minstd_rand random(1);
    std::set<std::string> asked;
    for (int i = 0; i < 100; ++i) {
        const auto all = drawOnePerZone(entries, self, std::numeric_limits<std::size_t>::max(), random);
        REQUIRE(all.size() == 5);
        CHECK(all.front().starts_with(self.zone + "-"));
        const auto few = drawOnePerZone(entries, self, 1, random);
        REQUIRE(few.size() == 2);
        CHECK(few.front().starts_with(self.zone + "-"));
        CHECK(!few.back().starts_with(self.zone + "-"));
        asked.insert(all.begin(), all.end());
        asked.insert(few.begin(), few.end());
    }
    CHECK(!asked.contains(self.address));
    CHECK(asked.size() > 40); // Nobody is asked by all.
    CHECK(drawOnePerZone({}, self, 1, random).empty());
}
