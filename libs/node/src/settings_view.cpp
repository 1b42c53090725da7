#include "node/node.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// Earlier versions to keep, so that other processes can be sent only the changes since: at 2,700 edits a day
/// these cover about four minutes.
constexpr std::size_t maxEarlierVersions = 8;

bulk_policy toPolicy(const request_settings& settings)
{
    if (settings.bulk.policy == "none")
        return no_bulk {};
    if (settings.bulk.policy == "unlimited")
        return unlimited_bulk {};
    if (settings.bulk.policy == "fixed")
        return fixed_bulk { settings.bulk.window };
    return adaptive_bulk { settings.bulk.reserve, settings.firstTokenObjective };
}

} // namespace

settings_view::settings_view(settings_tree accepted)
    : tree(std::move(accepted))
{
    std::map<std::pair<std::string, std::string>, std::size_t> counts;
    // Targets are sorted by name, so adding one changes the members of a group little.
    for (const auto& target : listTargets(tree)) {
        const auto number = counts[{ target.service, target.zone }]++ / targetsPerGroup;
        const auto name = groupName(target.service, target.zone, number);
        auto& group = groups[name];
        group.name = name;
        group.service = target.service;
        group.zone = target.zone;
        group.targets.push_back({ target.name, target.address, target.slots, target.drain });
    }
    for (const auto& [hash, customer] : listKeyHashes(tree))
        customersByHash.emplace(hash, customer);
    for (auto& [name, group] : groups) {
        const auto service = findService(tree, group.service);
        group.model = !service || service->model;
        group.options.policy = toPolicy(resolveRequest(tree, {}, group.service));
        const auto order = resolveKey(tree, "service/" + group.service, "queue_order").value;
        group.options.randomChoice
            = resolveKey(tree, "service/" + group.service, "target_choice").value == "random";
        group.options.order = order == "arrival" ? fair_queue::order::arrival : fair_queue::order::fair;
    }
}

std::optional<std::string> settings_view::customerOf(std::string_view key) const
{
    const auto hash = sha256Hex(key);
    const auto found = customersByHash.find(hash);
    if (found == customersByHash.end() || !sameHash(found->first, hash))
        return std::nullopt;
    return found->second;
}

std::vector<const group_description*> settings_view::groupsOf(
    std::string_view service, std::string_view zone) const
{
    std::vector<const group_description*> found;
    for (const auto& [name, group] : groups) {
        if (group.service == service && group.zone == zone)
            found.push_back(&group);
    }
    return found;
}

std::vector<std::string> settings_view::zonesOf(std::string_view service) const
{
    std::vector<std::string> zones;
    for (const auto& [name, group] : groups) {
        if (group.service == service && std::find(zones.begin(), zones.end(), group.zone) == zones.end())
            zones.push_back(group.zone);
    }
    return zones;
}

settings_cell::settings_cell()
{
    m_cell.store(std::make_shared<const settings_view>());
}

std::shared_ptr<const settings_view> settings_cell::current() const
{
    return std::static_pointer_cast<const settings_view>(m_cell.load());
}

bool settings_cell::offer(settings_tree tree)
{
    const std::scoped_lock lock(m_mutex);
    if (tree.version <= m_version.load(std::memory_order_relaxed))
        return false;
    const auto version = tree.version;
    m_earlier.push_back(current());
    if (m_earlier.size() > maxEarlierVersions)
        m_earlier.pop_front();
    m_cell.store(std::make_shared<const settings_view>(std::move(tree)));
    m_version.store(version, std::memory_order_release);
    return true;
}

bool settings_cell::offer(settings_update update)
{
    auto tree = applyUpdate(current()->tree, std::move(update));
    return tree && offer(std::move(tree.value()));
}

std::optional<settings_update> settings_cell::updateSince(std::int64_t version) const
{
    const std::scoped_lock lock(m_mutex);
    const auto now = current();
    if (now->tree.version <= version)
        return std::nullopt;
    const auto known = std::find_if(
        m_earlier.begin(), m_earlier.end(), [&](const auto& view) { return view->tree.version == version; });
    if (version == 0 || known == m_earlier.end())
        return settings_update { 0, now->tree, {} };
    return diffTrees((*known)->tree, now->tree);
}

} // namespace yuccachute
