#include "dispatch/dispatch.h"

#include "membership/membership.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// Loads come in peaks some seconds apart; the targets that the last one took are kept for the next.
constexpr std::chrono::seconds demandMemory { 10 };
/// The load may double before the targets that are taken into use then have reported.
constexpr std::size_t headroom = 2;
/// Of targets that cannot be used no more are held than this multiple of what is wanted: where none answers
/// it is more likely this process that cannot hear them.
constexpr std::size_t mostHeld = 4;

} // namespace

std::uint64_t restOrder(std::string_view target)
{
    return hashText(target);
}

void resting_targets::put(target_description target)
{
    const auto order = restOrder(target.name);
    auto name = target.name;
    m_targets.insert_or_assign({ order, std::move(name) }, std::move(target));
}

bool resting_targets::remove(std::string_view name)
{
    return m_targets.erase({ restOrder(name), std::string(name) }) > 0;
}

std::optional<target_description> resting_targets::takeFirst()
{
    if (m_targets.empty())
        return std::nullopt;
    auto first = m_targets.extract(m_targets.begin());
    return std::move(first.mapped());
}

std::vector<std::string> resting_targets::names() const
{
    std::vector<std::string> names;
    for (const auto& [order, target] : m_targets)
        names.push_back(order.second);
    return names;
}

void demand_history::note(std::size_t slots, steady_time now)
{
    const auto second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch());
    if (m_peaks.empty() || m_peaks.back().first < second)
        m_peaks.emplace_back(second, slots);
    else
        m_peaks.back().second = std::max(m_peaks.back().second, slots);
    while (second - m_peaks.front().first > demandMemory)
        m_peaks.pop_front();
}

std::size_t demand_history::wantedSlots() const
{
    std::size_t peak = 0;
    for (const auto& [second, slots] : m_peaks)
        peak = std::max(peak, slots);
    return headroom * peak;
}

bool takesMoreTargets(const working_set_state& state, std::size_t leastTargets)
{
    if (state.targets < leastTargets)
        return true;
    return state.usableSlots < state.wantedSlots && state.allSlots < mostHeld * state.wantedSlots;
}

bool canRest(const working_set_state& state, std::size_t slots, std::size_t leastTargets)
{
    return state.targets > leastTargets && state.usableSlots >= state.wantedSlots + slots;
}

} // namespace yuccachute
