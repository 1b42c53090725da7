#include "routing/routing.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// Entries of targets that live are back within about two seconds of the store's return.
constexpr milliseconds missingGrace { 2200 };
/// Targets of one service that leave on purpose do so one or two at a time.
constexpr std::size_t leastMassLapse = 3;

bool sameForChoice(const listed_target& left, const listed_target& right)
{
    return left.service == right.service && left.address == right.address && left.zone == right.zone
        && left.slots == right.slots && left.draining == right.draining;
}

} // namespace

bool target_directory::update(std::vector<listed_target> listed, bool afterOutage, steady_time now)
{
    std::map<std::string, listed_target, std::less<>> next;
    for (auto& target : listed) {
        auto id = target.id;
        next.emplace(std::move(id), std::move(target));
    }
    const auto vanished = static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(),
        [&](const auto& known) { return !next.contains(known.first) && !m_missingUntil.contains(known.first); }));
    const bool doubtful = afterOutage || vanished >= leastMassLapse;
    bool changed = false;
    for (auto& [id, known] : m_targets) {
        if (next.contains(id)) {
            m_missingUntil.erase(id);
            continue;
        }
        // A draining target goes for good: nothing is gained by keeping it.
        if (doubtful && !known.draining)
            m_missingUntil.try_emplace(id, now + missingGrace);
        const auto missing = m_missingUntil.find(id);
        if (missing != m_missingUntil.end() && now < missing->second) {
            next.emplace(id, known);
            continue;
        }
        m_missingUntil.erase(id);
        changed = true;
    }
    for (const auto& [id, target] : next) {
        const auto known = m_targets.find(id);
        changed = changed || known == m_targets.end() || !sameForChoice(known->second, target);
    }
    m_targets = std::move(next);
    return changed;
}

bool target_directory::expire(steady_time now)
{
    return std::erase_if(m_missingUntil,
               [&](const auto& missing) {
                   if (now < missing.second)
                       return false;
                   m_targets.erase(missing.first);
                   return true;
               })
        > 0;
}

} // namespace yuccachute
