#pragma once

#include "fleet/fleet.h"

#include <cstddef>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Who follows the platform's store for the others, and whom to ask in doubt. No I/O.
namespace yuccachute {

/// The entries of an availability zone that follow the store, the larger VMs first: one entry in six, at
/// least one, and two at most, in the order in which the others rely on them.
std::vector<node_record> watchersOfZone(std::span<const node_record> zone);

/// The entries that follow the store, of all zones. Processes with the same list of entries name the same
/// ones in the same order.
class store_watchers {
public:
    void choose(std::span<const node_record> entries);

    /// Place of a VM among them, from 0; how many they are if it is none of them.
    std::size_t rank(std::string_view vm) const;
    bool contains(std::string_view vm) const { return rank(vm) < m_all.size(); }
    std::span<const node_record> all() const { return m_all; }
    std::vector<node_record> ofZone(std::string_view zone) const;

private:
    std::vector<node_record> m_all;
};

/// Addresses of one entry of each zone other than the asker itself, drawn at random; its own zone's is the
/// first, and of the other zones no more than so many are drawn.
std::vector<std::string> drawOnePerZone(std::span<const node_record> entries, const node_record& self,
    std::size_t maxOtherZones, std::minstd_rand& random);

} // namespace yuccachute
