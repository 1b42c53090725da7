#include "target_selector.h"

#include <cmath>

namespace yuccachute {

namespace {

constexpr double avoidPenalty = 10;
constexpr double memoryFullShare = 0.98;
/// More than everything else but `avoidPenalty`: the target that has just failed the request is worse.
constexpr double tooSlowPenalty = 5;
/// A target of half the speed is preferred for a live request, or avoided, as if a quarter of its slots were
/// in use. A slot at such a target is held twice as long, so a strong preference for slower targets would
/// leave fewer slots for a peak.
constexpr double liveSpeedWeight = 0.25;
/// The remaining time of an item matters more than the load of a target: at a target that takes half as long
/// again, it is as if all slots were in use.
constexpr double itemSpeedWeight = 2;
/// Single intervals take up to twice their mean, because prompts of other requests are processed in between.
constexpr int intervalMargin = 2;

} // namespace

/// Cost of sending a request to a target: the fraction of its slots in use, less the benefit of cached
/// prefixes, and the cost of its speed.
double target_selector::costOf(
    const slot_request& request, const target_state& target, bool itemsPresent, steady_time now) const
{
    const auto& name = target.description.name;
    const double used = target.live + target.bulk + m_table.slotsUsedByOthers(target, now);
    const double blocks = std::max<double>(1, static_cast<double>(request.prefixes.size()));
    const double hit = static_cast<double>(m_prefixes.matchedBlocks(request.prefixes, name, now)) / blocks;
    const double full = target.load.memoryUsed() > memoryFullShare ? 1 : 0;
    const double avoided = name == request.avoid ? avoidPenalty : 0;
    return used / m_table.slotsOf(target, now) - m_options.affinity * hit + full + avoided
        + paceCost(request, target, itemsPresent, now);
}

/// Zero for a target of nominal speed. An item goes where it ends soonest. A live request goes to slower
/// targets while there are items, so that items end at the faster ones before the next peak.
double target_selector::paceCost(
    const slot_request& request, const target_state& target, bool itemsPresent, steady_time now) const
{
    const double pace = m_table.paceOf(target, now);
    if (pace == 1)
        return 0;
    if (request.workClass == work_class::bulk)
        return itemSpeedWeight * (1 / pace - 1);
    if (tooSlow(request, target, now))
        return tooSlowPenalty + liveSpeedWeight * -std::log2(pace);
    // A target below half speed is probably faulty and could become slower, and the caller of a request that
    // has begun is already waiting for the rest of its answer.
    const bool preferSlower = itemsPresent && !request.begun && pace >= slowPace;
    return liveSpeedWeight * (preferSlower ? std::log2(pace) : -std::log2(pace));
}

/// Whether a target of less than nominal speed would probably miss one of the request's objectives.
bool target_selector::tooSlow(const slot_request& request, const target_state& target, steady_time now) const
{
    const double pace = m_table.paceOf(target, now);
    if (pace >= 1)
        return false;
    if (request.maxEventInterval.count() > 0
        && intervalMargin * m_table.eventInterval(target, now) > request.maxEventInterval)
        return true;
    // The deadline of a request leaves time for a first event at nominal speed. One that is not in the future
    // says nothing: immediate requests of older processes have none.
    const auto extraDelay = m_table.firstEventDelay(target, now) * (1 - pace);
    return request.deadline > now && now + extraDelay > request.deadline;
}

target_state* target_selector::choose(
    const slot_request& request, bool needFreeSlot, steady_time now, selection_context context)
{
    const bool live = request.workClass == work_class::live;
    target_state* best = nullptr;
    target_state* bestSlow = nullptr; ///< For items, of the targets below half speed.
    double bestCost = 0;
    double bestSlowCost = 0;
    bool othersUsable = false;
    bool slowOneFree = false;
    for (auto& [name, target] : m_table.targets()) {
        if (!m_table.usable(target, now))
            continue;
        const bool slowForItem = !live && m_table.paceOf(target, now) < slowPace;
        othersUsable = othersUsable || !slowForItem;
        if (needFreeSlot && (live ? m_table.freeSlots(target, now) : m_table.spareSlots(target, now)) == 0)
            continue;
        if (live && context.onlyInTime && tooSlow(request, target, now)) {
            slowOneFree = true;
            continue;
        }
        const double cost = m_options.randomChoice ? static_cast<double>(m_random() % 1000)
                                                   : costOf(request, target, context.itemsPresent, now);
        auto& candidate = slowForItem ? bestSlow : best;
        auto& candidateCost = slowForItem ? bestSlowCost : bestCost;
        if (!candidate || cost < candidateCost) {
            candidate = &target;
            candidateCost = cost;
        }
    }
    // A slow target is better than one that has just failed the request.
    if (best && slowOneFree && best->description.name == request.avoid)
        return nullptr;
    // An item ends sooner if it waits for another target. What a resumed item has produced is also processed
    // again at the target's speed, and live requests there wait in the meantime.
    return othersUsable ? best : bestSlow;
}

void target_selector::recordGrant(const slot_request& request, const target_state& target, steady_time now)
{
    m_prefixes.record(request.prefixes, target.description.name, now);
}

} // namespace yuccachute
