#include "watchers.h"

#include "membership/membership.h"

#include <algorithm>
#include <map>

namespace yuccachute {

namespace {

/// A second entry of a zone follows the store as soon as the zone has this many entries. With two, a
/// substitute is available at once if one dies. With 50 entries in a zone, each of the two answers 100
/// requests a second; at an estimated 0.3 ms per answer this takes 3% of a core.
constexpr std::size_t entriesPerWatcher = 6;
constexpr std::size_t maxWatchersPerZone = 2;

} // namespace

std::vector<node_record> watchersOfZone(std::span<const node_record> zone)
{
    const auto ranked = rankByHash(zone, 0, [&](const auto& node) { return isLargeAmong(node, zone); });
    const auto count = std::min({ maxWatchersPerZone, 1 + ranked.size() / entriesPerWatcher, ranked.size() });
    std::vector<node_record> watchers;
    for (std::size_t i = 0; i < count; ++i)
        watchers.push_back(*ranked[i]);
    return watchers;
}

void store_watchers::choose(std::span<const node_record> entries)
{
    std::map<std::string, std::vector<node_record>> byZone;
    for (const auto& node : entries)
        byZone[node.zone].push_back(node);
    m_all.clear();
    for (const auto& [name, zone] : byZone) {
        for (auto& node : watchersOfZone(zone))
            m_all.push_back(std::move(node));
    }
    std::sort(m_all.begin(), m_all.end(),
        [](const auto& left, const auto& right) { return hashText(left.vm) > hashText(right.vm); });
}

std::size_t store_watchers::rank(std::string_view vm) const
{
    const auto found
        = std::find_if(m_all.begin(), m_all.end(), [&](const auto& node) { return node.vm == vm; });
    return static_cast<std::size_t>(std::distance(m_all.begin(), found));
}

std::vector<node_record> store_watchers::ofZone(std::string_view zone) const
{
    std::vector<node_record> found;
    for (const auto& node : m_all) {
        if (node.zone == zone)
            found.push_back(node);
    }
    return found;
}

std::vector<std::string> drawOnePerZone(std::span<const node_record> entries, const node_record& self,
    std::size_t maxOtherZones, std::minstd_rand& random)
{
    std::map<std::string, std::vector<std::string>> byZone;
    for (const auto& node : entries) {
        if (node.address != self.address)
            byZone[node.zone].push_back(node.address);
    }
    const auto draw
        = [&](const std::vector<std::string>& addresses) { return addresses[random() % addresses.size()]; };
    std::vector<std::string> some;
    if (const auto own = byZone.find(self.zone); own != byZone.end()) {
        some.push_back(draw(own->second));
        byZone.erase(own);
    }
    std::vector<std::string> others;
    for (const auto& [zone, addresses] : byZone)
        others.push_back(draw(addresses));
    std::shuffle(others.begin(), others.end(), random);
    others.resize(std::min(others.size(), maxOtherZones));
    some.insert(some.end(), others.begin(), others.end());
    return some;
}

} // namespace yuccachute
