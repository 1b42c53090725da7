#include "working_set.h"

#include "membership/membership.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// Time for which peaks of demand are remembered. Load peaks follow each other within seconds, and the
/// targets activated for one are kept for the next.
constexpr std::chrono::seconds demandWindow { 10 };
/// Slots in use relative to the peak demand. The load may double before the targets that are activated for it
/// have reported.
constexpr std::size_t headroomFactor = 2;
/// Maximum slots of all targets in use, usable or not, relative to the desired slots. If no target answers,
/// the fault is probably in this process's network, and activating more targets would not help.
constexpr std::size_t maxOverprovisioning = 4;

} // namespace

std::uint64_t activationOrder(std::string_view target)
{
    return hashText(target);
}

void standby_targets::add(target_description target)
{
    const auto order = activationOrder(target.name);
    auto name = target.name;
    m_targets.insert_or_assign({ order, std::move(name) }, std::move(target));
}

bool standby_targets::remove(std::string_view name)
{
    return m_targets.erase({ activationOrder(name), std::string(name) }) > 0;
}

std::optional<target_description> standby_targets::popFirst()
{
    if (m_targets.empty())
        return std::nullopt;
    auto first = m_targets.extract(m_targets.begin());
    return std::move(first.mapped());
}

std::optional<target_description> standby_targets::popFirst(std::string_view version)
{
    const auto found = std::find_if(m_targets.begin(), m_targets.end(),
        [&](const auto& entry) { return entry.second.version == version && !entry.second.drain; });
    if (found == m_targets.end())
        return std::nullopt;
    auto first = m_targets.extract(found);
    return std::move(first.mapped());
}

std::vector<std::string> standby_targets::names() const
{
    std::vector<std::string> names;
    for (const auto& [order, target] : m_targets)
        names.push_back(order.second);
    return names;
}

void demand_history::record(std::size_t slots, steady_time now)
{
    const auto second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch());
    if (m_peaks.empty() || m_peaks.back().first < second)
        m_peaks.emplace_back(second, slots);
    else
        m_peaks.back().second = std::max(m_peaks.back().second, slots);
    while (second - m_peaks.front().first > demandWindow)
        m_peaks.pop_front();
}

std::size_t demand_history::desiredSlots() const
{
    std::size_t peak = 0;
    for (const auto& [second, slots] : m_peaks)
        peak = std::max(peak, slots);
    return headroomFactor * peak;
}

bool needsMoreTargets(const working_set_state& state, std::size_t minTargets)
{
    if (state.targets < minTargets)
        return true;
    return state.usableSlots < state.desiredSlots
        && state.totalSlots < maxOverprovisioning * state.desiredSlots;
}

bool canDeactivate(const working_set_state& state, std::size_t slots, std::size_t minTargets)
{
    return state.targets > minTargets && state.usableSlots >= state.desiredSlots + slots;
}

} // namespace yuccachute
