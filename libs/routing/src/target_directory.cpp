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

/// Of several starts of one instance only the latest lives: the entry of a former one is late news.
void dropFormerStarts(std::map<std::string, listed_target, std::less<>>& targets)
{
    std::map<std::string, std::int64_t, std::less<>> latest;
    for (const auto& [id, target] : targets)
        latest[target.instance] = std::max(latest[target.instance], target.started);
    std::erase_if(targets, [&](const auto& entry) {
        return !entry.second.instance.empty() && entry.second.started < latest[entry.second.instance];
    });
}

} // namespace

bool target_directory::update(std::vector<listed_target> listed, steady_time trustedFrom, steady_time now)
{
    std::map<std::string, listed_target, std::less<>> next;
    for (auto& target : listed) {
        auto id = target.id;
        next.emplace(std::move(id), std::move(target));
    }
    dropFormerStarts(next);
    std::set<std::string, std::less<>> instances;
    for (const auto& [id, target] : next)
        instances.insert(target.instance);
    bool changed = false;
    for (auto& [id, known] : m_targets) {
        if (next.contains(id)) {
            m_missingSince.erase(id);
            continue;
        }
        // A draining target goes for good: nothing is gained by keeping it. One that has started again is
        // gone: kept beside its successor it would get a second share of the requests that one target can
        // take.
        const bool replaced = !known.instance.empty() && instances.contains(known.instance);
        if (now < trustedFrom && !known.draining && !replaced) {
            m_missingSince.try_emplace(id, now);
            next.emplace(id, known);
            continue;
        }
        m_missingSince.erase(id);
        changed = true;
    }
    for (const auto& [id, target] : next) {
        const auto known = m_targets.find(id);
        changed = changed || known == m_targets.end() || !sameForChoice(known->second, target);
    }
    m_targets = std::move(next);
    return changed;
}

bool target_directory::expire(steady_time trustedFrom, steady_time now)
{
    return std::erase_if(m_missingSince, [&](const auto& missing) {
        if (now < trustedFrom && now - missing.second < longestMissing)
            return false;
        m_targets.erase(missing.first);
        return true;
    }) > 0;
}

} // namespace yuccachute
