#include "target_selector.h"

#include <algorithm>
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

/// Cost of sending a request to a target of nominal speed: the fraction of its slots in use, less the benefit
/// of cached prefixes.
double target_selector::loadCost(
    const slot_request& request, const target_state& target, steady_time now) const
{
    const auto& name = target.description.name;
    const double used = target.live + target.bulk + m_table.slotsUsedByOthers(target, now);
    const double blocks = std::max<double>(1, static_cast<double>(request.prefixes.size()));
    const double hit = static_cast<double>(m_prefixes.matchedBlocks(request.prefixes, name, now)) / blocks;
    const double full = target.load.memoryUsed() > memoryFullShare ? 1 : 0;
    const double avoided = name == request.avoid ? avoidPenalty : 0;
    return used / m_table.slotsOf(target, now) - m_options.affinity * hit + full + avoided;
}

/// Additional cost of a target of this pace; zero at nominal speed. An item goes where it ends soonest. A
/// live request goes to slower targets while there are items, so that items end at the faster ones before the
/// next peak.
double target_selector::paceCost(
    const slot_request& request, double pace, bool tooSlow, bool itemsPresent) const
{
    if (pace == 1)
        return 0;
    if (request.workClass == work_class::bulk)
        return itemSpeedWeight * (1 / pace - 1);
    // A target below half speed is probably faulty and could become slower, and the caller of a request that
    // has begun is already waiting for the rest of its answer.
    const bool preferSlower = itemsPresent && !tooSlow && !request.begun && pace >= slowPace;
    const double speed = liveSpeedWeight * std::log2(pace);
    return (preferSlower ? speed : -speed) + (tooSlow ? tooSlowPenalty : 0);
}

/// The pace that a target must have at least, at most 1, for a live request to meet its objectives, or for an
/// item to run there while others are usable.
double target_selector::neededPace(const slot_request& request, steady_time now) const
{
    if (m_options.randomChoice)
        return 0;
    // An item ends sooner if it waits for another target. What a resumed item has produced is also processed
    // again at the target's speed, and live requests there wait in the meantime.
    if (request.workClass == work_class::bulk)
        return slowPace;
    double pace = 0;
    if (request.maxEventInterval.count() > 0) {
        const std::chrono::duration<double> interval = intervalMargin * m_table.nominalEventInterval(now);
        pace = interval / request.maxEventInterval;
    }
    // The deadline of a request leaves time for a first event at nominal speed. One that is not in the future
    // says nothing: immediate requests of older processes have none.
    if (const std::chrono::duration<double, std::milli> left = request.deadline - now; left.count() > 0) {
        const double firstEvent = m_table.nominalFirstEventMs();
        pace = std::max(pace, firstEvent / (firstEvent + left.count()));
    }
    return std::min(1.0, pace);
}

target_state* target_selector::choose(
    const slot_request& request, bool needFreeSlot, steady_time now, selection_context context)
{
    const bool live = request.workClass == work_class::live;
    const double needed = neededPace(request, now);
    target_state* best = nullptr;
    target_state* bestSlow = nullptr; ///< For items, of the targets that are too slow.
    double bestCost = 0;
    double bestSlowCost = 0;
    bool othersUsable = false;
    bool slowOneFree = false;
    for (auto& [name, target] : m_table.targets()) {
        if (!acceptsVersion(request, target.description) || !m_table.usable(target, now))
            continue;
        const double pace = m_table.paceOf(target, now);
        const bool tooSlow = pace < needed;
        othersUsable = othersUsable || !tooSlow;
        if (needFreeSlot && (live ? m_table.freeSlots(target, now) : m_table.spareSlots(target, now)) == 0)
            continue;
        slowOneFree = slowOneFree || tooSlow;
        if (live && tooSlow && context.onlyInTime)
            continue;
        const double cost = m_options.randomChoice
            ? static_cast<double>(m_random() % 1000)
            : loadCost(request, target, now) + paceCost(request, pace, tooSlow, context.itemsPresent);
        auto& candidate = tooSlow && !live ? bestSlow : best;
        auto& candidateCost = tooSlow && !live ? bestSlowCost : bestCost;
        if (!candidate || cost < candidateCost) {
            candidate = &target;
            candidateCost = cost;
        }
    }
    if (!live)
        return othersUsable ? best : bestSlow;
    // A slow target is better than one that has just failed the request.
    const bool avoided = best && best->description.name == request.avoid;
    return context.onlyInTime && slowOneFree && avoided ? nullptr : best;
}

bool target_selector::unsuitable(
    const slot_request& request, const target_state& target, steady_time now) const
{
    return !acceptsVersion(request, target.description) || target.description.name == request.avoid
        || m_table.paceOf(target, now) < neededPace(request, now);
}

void target_selector::recordGrant(const slot_request& request, const target_state& target, steady_time now)
{
    m_prefixes.record(request.prefixes, target.description.name, now);
}

} // namespace yuccachute
