#include "item_outlook.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// Targets process prompts one to two hundred times as fast as they produce events. A lower figure allows for
/// the other requests that a target processes at the same time.
constexpr double reprocessingSpeed = 50;
/// Lengths come from other processes. More than this, or not a number, counts as unknown.
constexpr double maxEvents = 1e6;
/// Items differ in length from the mean of their route.
constexpr int timesRemainingForMargin = 4;
/// A waiting item requests a slot again in this interval, and cannot start in between.
constexpr milliseconds minMargin { 400 };

} // namespace

steady_time::duration reprocessingTime(double events, std::chrono::microseconds eventInterval)
{
    return std::chrono::duration_cast<steady_time::duration>(eventInterval * (events / reprocessingSpeed));
}

std::optional<steady_time::duration> expectedTime(
    const slot_request& item, std::chrono::microseconds eventInterval)
{
    const bool plausible
        = item.remainingEvents > 0 && item.remainingEvents <= maxEvents && item.producedEvents <= maxEvents;
    if (!plausible || item.due == steady_time {} || eventInterval.count() <= 0)
        return std::nullopt;
    return std::chrono::duration_cast<steady_time::duration>(eventInterval * item.remainingEvents)
        + reprocessingTime(item.producedEvents, eventInterval);
}

item_urgency urgencyOf(
    steady_time due, steady_time::duration remaining, steady_time::duration wait, steady_time now)
{
    if (now + remaining > due)
        return item_urgency::late;
    const auto margin = std::max<steady_time::duration>(minMargin, remaining / timesRemainingForMargin);
    return now + wait + remaining + margin > due ? item_urgency::at_risk : item_urgency::on_time;
}

bool mayStartBeforePeak(const expected_peak& peak, int slotsLeft, item_urgency urgency,
    steady_time::duration remaining, steady_time now)
{
    // An item that is on time becomes at risk if it is held back for long enough. A late one does not, and
    // would never start if half of it does not fit between two peaks.
    const auto startedFor = urgency == item_urgency::late ? std::min(remaining, peak.trough) : remaining;
    return slotsLeft > 0 || urgency == item_urgency::at_risk || now + startedFor / 2 <= peak.start;
}

} // namespace yuccachute
