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

TEST_CASE("each zone has one watcher, or two if it is large, with larger VMs first")
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

TEST_CASE("all processes choose the same watchers in the same order")
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

// Guards against overloaded entries in an outage of the store, when all copies are outdated: if each of 250
// entries contacted every zone four times a second, each of the 20 registered entries would answer 250
// requests a second. Therefore only processes on which others rely contact every zone.
TEST_CASE("one entry of each zone is contacted, or of a limited number of other zones")
{
    const auto entries = fleetOf(5, 10);
    const auto& self = entries[13];
    std::minstd_rand random(1);
    std::set<std::string> contacted;
    for (int i = 0; i < 100; ++i) {
        const auto all = drawOnePerZone(entries, self, std::numeric_limits<std::size_t>::max(), random);
        REQUIRE(all.size() == 5);
        CHECK(all.front().starts_with(self.zone + "-"));
        const auto few = drawOnePerZone(entries, self, 1, random);
        REQUIRE(few.size() == 2);
        CHECK(few.front().starts_with(self.zone + "-"));
        CHECK(!few.back().starts_with(self.zone + "-"));
        contacted.insert(all.begin(), all.end());
        contacted.insert(few.begin(), few.end());
    }
    CHECK(!contacted.contains(self.address));
    CHECK(contacted.size() > 40); // The requests are spread over all entries.
    CHECK(drawOnePerZone({}, self, 1, random).empty());
}
