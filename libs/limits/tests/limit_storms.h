#pragma once

#include "model_limits.h"

namespace yuccachute {

/// Which faults follow each other in a storm.
enum class storm_kind : std::uint8_t {
    restarts,
    restarts_of_all,
    single_cuts, ///< Processes cut off one by one, and restarts.
    zone_cuts, ///< A zone is cut off while an earlier cut stays.
    halves, ///< Half of the processes, drawn anew each time; only one side reaches the store.
    zones_alone, ///< Each zone by itself; only one reaches the store.
    deaf,
    mixed
};

/// When callers come.
enum class storm_load : std::uint8_t {
    overload, ///< 1.5 to 9 times the limit, at all zones or at one.
    pauses, ///< The same, with pauses in which buckets fill.
    below_limit ///< What customers usually send, evenly over the zones.
};

struct storm_result {
    double busiestWindow = 0;
    double allowed = 0;
    std::size_t granted = 0;
    std::size_t refused = 0;
    double mostParts = 0; ///< Of the limit, that processes could grant from at the same time.
};

/// Sixteen faults in a fleet of 3 to 5 zones and 6 to 35 processes, with a limit of 1 to 800 a second.
storm_result playStorm(storm_kind kind, storm_load load, std::uint64_t seed);

} // namespace yuccachute
