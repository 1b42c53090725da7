#pragma once

#include "dispatch/dispatch.h"
#include "item_outlook.h"

#include <span>
#include <vector>

namespace yuccachute {

/// A bulk grant that may be revoked.
struct revocable_item {
    std::uint64_t grantId = 0;
    steady_time due;
    bool known = false; ///< Whether the following figures are known.
    item_urgency urgency = item_urgency::on_time; ///< If it were revoked now.
    steady_time::duration remaining { 0 };
    steady_time::duration worked { 0 }; ///< Time of the work done so far, in this and earlier runs.
    steady_time::duration expectedLateness { 0 }; ///< If it were revoked now; negative if it ends in time.
};

/// Time until which a live request can wait for a slot and still leave its target most of its objective.
steady_time latestGrantTime(const slot_request& live, steady_time since);

/// End of the wait of an immediate request for a slot that is expected to become free. It leaves time for a
/// revocation after latestGrantTime().
steady_time immediateWaitEnd(const slot_request& live, steady_time since);

/// How many of the live requests that can wait until `latest` would not get one of the slots that become
/// free at `releases` in time.
std::size_t revocationsNeeded(
    std::vector<steady_time> latest, std::vector<steady_time> releases, steady_time now);

/// Orders items by the harm of revoking them, least first: those that are late anyway, then those that can
/// still end in time, then those at risk. Items without figures come with the late ones if they are overdue,
/// and otherwise before those that can end in time, due last first.
void orderForRevocation(std::span<revocable_item> items, steady_time now);

revocation_reason reasonOf(const revocable_item& item, steady_time now);

} // namespace yuccachute
