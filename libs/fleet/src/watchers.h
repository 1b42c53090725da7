#pragma once

#include "fleet/fleet.h"

#include <cstddef>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Selection of the entries that follow the platform's store for the others, and of peers to synchronize
/// with. No I/O.
namespace yuccachute {

/// The entries of an availability zone that follow the store, larger VMs first, in the order in which the
/// other entries prefer them: one in a zone of up to five entries, otherwise two.
std::vector<node_record> watchersOfZone(std::span<const node_record> zone);

/// The entries of all zones that follow the store. Processes with the same list of entries choose the same
/// ones in the same order.
class store_watchers {
public:
    void choose(std::span<const node_record> entries);

    /// Index of a VM among the watchers; their number if it is none of them.
    std::size_t rank(std::string_view vm) const;
    bool contains(std::string_view vm) const { return rank(vm) < m_all.size(); }
    std::span<const node_record> all() const { return m_all; }
    std::vector<node_record> ofZone(std::string_view zone) const;

private:
    std::vector<node_record> m_all;
};

/// Addresses of one random entry of each zone, never of the process itself. The entry of the process's own
/// zone comes first, followed by those of at most `maxOtherZones` other zones.
std::vector<std::string> drawOnePerZone(std::span<const node_record> entries, const node_record& self,
    std::size_t maxOtherZones, std::minstd_rand& random);

} // namespace yuccachute
