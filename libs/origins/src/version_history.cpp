#include "origins/origins.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// Longer than any stream lasts.
constexpr std::chrono::seconds historyRetention { 120 };

} // namespace

version_evidence combine(const version_evidence& left, const version_evidence& right)
{
    using kind = version_evidence::kind;
    if (left.known == kind::none || left == right)
        return right;
    if (right.known == kind::none)
        return left;
    return { kind::several, "" };
}

void version_history::apply(std::span<const target_change> changes, bool complete, steady_time now)
{
    for (const auto& [before, after, released] : changes) {
        if (after) {
            auto& joined = m_entries[{ after->service, after->version }];
            ++joined.targets;
            joined.draining += after->draining ? 1 : 0;
        }
        if (!before)
            continue;
        auto& left = m_entries[{ before->service, before->version }];
        left.targets -= left.targets > 0 ? 1 : 0;
        left.draining -= before->draining && left.draining > 0 ? 1 : 0;
        left.lastListed = now;
    }
    if (!complete || m_entries.empty())
        m_completeSince.reset();
    else if (!m_completeSince)
        m_completeSince = now;
    std::erase_if(m_entries, [now](const auto& known) {
        return known.second.targets == 0 && now - known.second.lastListed > historyRetention;
    });
}

bool version_history::listed(const service_version& named) const
{
    const auto found = m_entries.find(named);
    return found != m_entries.end() && found->second.targets > 0;
}

bool version_history::acceptsRequests(const service_version& named) const
{
    const auto found = m_entries.find(named);
    return found != m_entries.end() && found->second.targets > found->second.draining;
}

std::vector<service_version> version_history::allListed() const
{
    std::vector<service_version> all;
    for (const auto& [named, entry] : m_entries) {
        if (entry.targets > 0)
            all.push_back(named);
    }
    return all;
}

version_evidence version_history::evidence(
    std::string_view service, milliseconds lookback, steady_time now) const
{
    version_evidence found;
    for (const auto& [named, entry] : m_entries) {
        const bool recent = entry.targets > 0 || now - entry.lastListed <= lookback;
        if (named.service == service && recent)
            found = combine(found, { version_evidence::kind::single, named.version });
    }
    // Several versions are several, however short the history is.
    const bool wholePeriod = m_completeSince && now - *m_completeSince >= lookback;
    return wholePeriod || found.known == version_evidence::kind::several ? found : version_evidence {};
}

} // namespace yuccachute
