#pragma once

#include "dispatch/dispatch.h"
#include "live_demand.h"

#include <chrono>
#include <optional>

namespace yuccachute {

/// In the order in which items start.
enum class item_urgency : std::uint8_t {
    at_risk, ///< Can end in time if it is not made to wait.
    on_time,
    late ///< Can no longer end in time.
};

/// Time that a target needs for an item from the start of its run, including the time to process again what
/// earlier runs produced. Unset if the item has no due time or length, or the interval is unknown.
std::optional<steady_time::duration> expectedTime(
    const slot_request& item, std::chrono::microseconds eventInterval);

/// Time to process again so many events that an item has produced.
steady_time::duration reprocessingTime(double events, std::chrono::microseconds eventInterval);

/// Urgency of an item that needs `remaining` and, if it does not run now, would wait for `wait`.
item_urgency urgencyOf(
    steady_time due, steady_time::duration remaining, steady_time::duration wait, steady_time now);

/// Whether an item that needs `remaining` may start before or in a peak that leaves `slotsLeft` to items. A
/// late item may always start in the first half of the time between two peaks.
bool mayStartBeforePeak(const expected_peak& peak, int slotsLeft, item_urgency urgency,
    steady_time::duration remaining, steady_time now);

} // namespace yuccachute
