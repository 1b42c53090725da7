#include "target_selector.h"

namespace yuccachute {

namespace {

constexpr double avoidPenalty = 10;
constexpr double memoryFullShare = 0.98;

} // namespace

/// Cost of sending a request to a target: the fraction of its slots in use, less the benefit of cached
/// prefixes.
double target_selector::costOf(const slot_request& request, const target_state& target, steady_time now) const
{
    const auto& name = target.description.name;
    const double used = target.live + target.bulk + m_table.slotsUsedByOthers(target, now);
    const double blocks = std::max<double>(1, static_cast<double>(request.prefixes.size()));
    const double hit = static_cast<double>(m_prefixes.matchedBlocks(request.prefixes, name, now)) / blocks;
    const double full = target.load.memoryUsed() > memoryFullShare ? 1 : 0;
    const double avoided = name == request.avoid ? avoidPenalty : 0;
    return used / m_table.slotsOf(target, now) - m_options.affinity * hit + full + avoided;
}

target_state* target_selector::choose(const slot_request& request, bool needFreeSlot, steady_time now)
{
    const bool live = request.workClass == work_class::live;
    target_state* best = nullptr;
    double bestCost = 0;
    for (auto& [name, target] : m_table.targets()) {
        if (!m_table.usable(target, now))
            continue;
        if (needFreeSlot && (live ? m_table.freeSlots(target, now) : m_table.spareSlots(target, now)) == 0)
            continue;
        const double cost
            = m_options.randomChoice ? static_cast<double>(m_random() % 1000) : costOf(request, target, now);
        if (!best || cost < bestCost) {
            best = &target;
            bestCost = cost;
        }
    }
    return best;
}

void target_selector::recordGrant(const slot_request& request, const target_state& target, steady_time now)
{
    m_prefixes.record(request.prefixes, target.description.name, now);
}

} // namespace yuccachute
