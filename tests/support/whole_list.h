#pragma once

#include "routing/routing.h"

#include <map>
#include <string>
#include <vector>

namespace yuccachute {

/// A directory of targets that is told whole lists, as tests write them down.
class whole_list {
public:
    using value_map = std::map<std::string, listed_target, std::less<>>;

    /// Returns whether anything changed that matters to the choice of targets.
    bool update(const std::vector<listed_target>& listed, steady_time trustedFrom, steady_time now)
    {
        return !changesTo(listed, trustedFrom, now).empty();
    }
    bool expire(steady_time trustedFrom, steady_time now)
    {
        return !m_directory.expire(trustedFrom, now).empty();
    }
    std::vector<target_change> changesTo(
        const std::vector<listed_target>& listed, steady_time trustedFrom, steady_time now)
    {
        target_map next;
        for (const auto& target : listed)
            next.emplace(target.id, std::make_shared<const listed_target>(target));
        std::vector<target_change> changes;
        for (const auto& [id, before] : m_listed) {
            if (!next.contains(id))
                changes.push_back({ before, nullptr });
        }
        for (const auto& [id, after] : next) {
            const auto before = m_listed.find(id);
            changes.push_back({ before == m_listed.end() ? nullptr : before->second, after });
        }
        m_listed = std::move(next);
        return m_directory.apply(changes, trustedFrom, now);
    }
    /// Of a list that can be trusted.
    std::vector<target_change> changesTo(const value_map& listed, steady_time now)
    {
        std::vector<listed_target> all;
        for (const auto& [id, target] : listed)
            all.push_back(target);
        return changesTo(all, now, now);
    }

    const target_directory& directory() const { return m_directory; }
    const target_map& targets() const { return m_directory.targets(); }

private:
    target_map m_listed;
    target_directory m_directory;
};

} // namespace yuccachute
