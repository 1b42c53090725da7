#include "routing/routing.h"

#include <algorithm>
#include <set>

namespace yuccachute {

namespace {

/// A target that has been missing for so long is gone, however long the store is away.
constexpr milliseconds longestMissing { 10000 };

bool sameForChoice(const listed_target& left, const listed_target& right)
{
    return left.service == right.service && left.address == right.address && left.zone == right.zone
        && left.slots == right.slots && left.draining == right.draining;
}

/// What the starts of one target have in common; its id where the platform does not tell.
std::string_view instanceOf(const listed_target& target)
{
    return target.instance.empty() ? target.id : target.instance;
}

} // namespace

const listed_target* target_directory::find(std::string_view id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : found->second.get();
}

std::vector<target_change> target_directory::apply(
    std::span<const target_change> listed, steady_time trustedFrom, steady_time now)
{
    std::vector<target_change> changes;
    std::set<std::string_view> instances;
    for (const auto& change : listed) {
        if (change.before)
            unlist(change.before);
        if (change.after)
            m_listed.emplace(instanceOf(*change.after), change.after);
    }
    for (const auto& change : listed) {
        for (const auto& target : { change.before, change.after }) {
            if (target)
                instances.insert(instanceOf(*target));
        }
    }
    for (auto instance : instances)
        settleInstance(instance, changes);
    for (const auto& change : listed) {
        if (change.released)
            drop(change.before->id, changes, true);
        else if (change.before)
            miss(change.before, trustedFrom, now, changes);
    }
    if (now >= trustedFrom) {
        for (auto& dropped : expire(trustedFrom, now))
            changes.push_back(std::move(dropped));
    }
    return changes;
}

void target_directory::unlist(const target_ptr& target)
{
    const auto [begin, end] = m_listed.equal_range(instanceOf(*target));
    const auto found
        = std::find_if(begin, end, [&](const auto& entry) { return entry.second->id == target->id; });
    if (found != end)
        m_listed.erase(found);
}

bool target_directory::superseded(const listed_target& target) const
{
    const auto [begin, end] = m_listed.equal_range(instanceOf(target));
    return std::any_of(begin, end, [&](const auto& entry) { return entry.second->started > target.started; });
}

bool target_directory::listed(const listed_target& target) const
{
    const auto [begin, end] = m_listed.equal_range(instanceOf(target));
    return std::any_of(begin, end, [&](const auto& entry) { return entry.second->id == target.id; });
}

/// Of several starts of one instance only the latest lives: the entry of a former one is late news. A former
/// one that is only missing goes too: kept beside its successor it would get a second share of the requests
/// that one target can take.
void target_directory::settleInstance(std::string_view instance, change_list& changes)
{
    const auto [begin, end] = m_listed.equal_range(instance);
    if (begin == end)
        return;
    std::vector<std::string> former;
    for (auto entry = begin; entry != end; ++entry) {
        if (superseded(*entry->second))
            former.push_back(entry->second->id);
        else
            use(entry->second, changes);
    }
    for (const auto& [id, since] : m_missingSince) {
        if (const auto* target = find(id); target && instanceOf(*target) == instance)
            former.push_back(id);
    }
    for (const auto& id : former)
        drop(id, changes);
}

void target_directory::use(const target_ptr& target, change_list& changes)
{
    m_missingSince.erase(target->id);
    auto& known = m_targets[target->id];
    const auto before = std::exchange(known, target);
    if (!before || !sameForChoice(*before, *target))
        changes.push_back({ before, target });
}

void target_directory::drop(std::string_view id, change_list& changes, bool released)
{
    if (const auto missing = m_missingSince.find(id); missing != m_missingSince.end())
        m_missingSince.erase(missing);
    const auto known = m_targets.find(id);
    if (known == m_targets.end())
        return;
    changes.push_back({ std::move(known->second), nullptr, released });
    m_targets.erase(known);
}

void target_directory::miss(
    const target_ptr& target, steady_time trustedFrom, steady_time now, change_list& changes)
{
    const auto known = m_targets.find(target->id);
    if (known == m_targets.end() || listed(*target))
        return;
    // A draining target goes for good: nothing is gained by keeping it. One that has started again is gone.
    const bool replaced = m_listed.contains(instanceOf(*target));
    if (now >= trustedFrom || known->second->draining || replaced)
        return drop(target->id, changes);
    m_missingSince.try_emplace(target->id, now);
}

std::vector<target_change> target_directory::expire(steady_time trustedFrom, steady_time now)
{
    std::vector<std::string> gone;
    for (const auto& [id, since] : m_missingSince) {
        if (now >= trustedFrom || now - since >= longestMissing)
            gone.push_back(id);
    }
    std::vector<target_change> changes;
    for (const auto& id : gone)
        drop(id, changes);
    return changes;
}

} // namespace yuccachute
