#include "routing/routing.h"

#include <algorithm>
#include <set>

namespace yuccachute {

namespace {

/// A target that has been missing for this time is removed, however long the outage of the store lasts.
constexpr milliseconds maxMissingTime { 10000 };

bool sameForSelection(const listed_target& left, const listed_target& right)
{
    return left.service == right.service && left.address == right.address && left.zone == right.zone
        && left.slots == right.slots && left.draining == right.draining && left.version == right.version;
}

/// Identifies the target across restarts; its id if the platform does not list an instance.
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
        reconcileInstance(instance, changes);
    for (const auto& change : listed) {
        if (change.released)
            remove(change.before->id, changes, true);
        else if (change.before)
            markMissing(change.before, trustedFrom, now, changes);
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

/// Keeps only the latest start of an instance: entries of earlier starts are outdated. An earlier start that
/// is merely missing is removed as well; kept next to its successor, it would attract requests beyond the
/// capacity of the one target.
void target_directory::reconcileInstance(std::string_view instance, change_list& changes)
{
    const auto [begin, end] = m_listed.equal_range(instance);
    if (begin == end)
        return;
    std::vector<std::string> outdated;
    for (auto entry = begin; entry != end; ++entry) {
        if (superseded(*entry->second))
            outdated.push_back(entry->second->id);
        else
            activate(entry->second, changes);
    }
    for (const auto& [id, since] : m_missingSince) {
        if (const auto* target = find(id); target && instanceOf(*target) == instance)
            outdated.push_back(id);
    }
    for (const auto& id : outdated)
        remove(id, changes);
}

void target_directory::activate(const target_ptr& target, change_list& changes)
{
    m_missingSince.erase(target->id);
    auto& known = m_targets[target->id];
    const auto before = std::exchange(known, target);
    if (!before || !sameForSelection(*before, *target))
        changes.push_back({ before, target });
}

void target_directory::remove(std::string_view id, change_list& changes, bool released)
{
    if (const auto missing = m_missingSince.find(id); missing != m_missingSince.end())
        m_missingSince.erase(missing);
    const auto known = m_targets.find(id);
    if (known == m_targets.end())
        return;
    changes.push_back({ std::move(known->second), nullptr, released });
    m_targets.erase(known);
}

void target_directory::markMissing(
    const target_ptr& target, steady_time trustedFrom, steady_time now, change_list& changes)
{
    const auto known = m_targets.find(target->id);
    if (known == m_targets.end() || listed(*target))
        return;
    // A draining target will not return, so it is not kept. A target that has restarted has a new entry.
    const bool replaced = m_listed.contains(instanceOf(*target));
    if (now >= trustedFrom || known->second->draining || replaced)
        return remove(target->id, changes);
    m_missingSince.try_emplace(target->id, now);
}

std::vector<target_change> target_directory::expire(steady_time trustedFrom, steady_time now)
{
    std::vector<std::string> expired;
    for (const auto& [id, since] : m_missingSince) {
        if (now >= trustedFrom || now - since >= maxMissingTime)
            expired.push_back(id);
    }
    std::vector<target_change> changes;
    for (const auto& id : expired)
        remove(id, changes);
    return changes;
}

} // namespace yuccachute
