#pragma once

#include "fleet_simulation.h"

namespace yuccachute {

/// Kinds of faults that occur in a sequence.
enum class fault_pattern : std::uint8_t {
    restarts,
    restarts_of_all,
    process_partitions, ///< Single processes are isolated, partitions heal, and processes restart.
    zone_partitions, ///< Zones are isolated, also while an earlier partition lasts.
    halves, ///< Random halves of the processes are separated; only one half reaches the store.
    isolated_zones, ///< All zones are separated from each other; only one reaches the store.
    incoming_loss, ///< Single processes receive no messages, while those that they send arrive.
    mixed ///< A random choice of the above for each fault.
};

/// Load over time.
enum class load_pattern : std::uint8_t {
    overload, ///< 1.5 to 9 times the limit, in all zones or in one.
    pauses, ///< The same, with pauses in which buckets fill.
    below_limit ///< Typical load within the limit, spread evenly over the zones.
};

struct fault_sequence_result {
    double maxGrantsInWindow = 0;
    double allowed = 0;
    std::size_t granted = 0;
    std::size_t refused = 0;
    double maxShareSum = 0; ///< Largest sum of the shares that processes held at the same time.
};

/// Simulates sixteen faults in a fleet of 3 to 5 zones and 6 to 35 processes, with a limit of 1 to 800
/// requests per second.
fault_sequence_result runFaultSequence(fault_pattern kind, load_pattern load, std::uint64_t seed);

} // namespace yuccachute
