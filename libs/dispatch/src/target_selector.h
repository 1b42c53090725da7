#pragma once

#include "dispatch/dispatch.h"
#include "prefix_index.h"
#include "target_table.h"

#include <random>

namespace yuccachute {

struct selection_context {
    bool itemsPresent = false; ///< Bulk items are running or waiting.
    /// Targets that would probably miss an objective of a live request are not considered.
    bool onlyInTime = false;
};

/// Chooses the target of a request among the targets in use.
class target_selector {
public:
    /// The arguments must outlive this object.
    target_selector(target_table& table, const group_options& options)
        : m_table(table)
        , m_options(options)
    {
    }

    /// The usable target with the lowest cost; null if there is none. With `needFreeSlot` only targets with a
    /// slot that is free for the request's class of work are considered. Items get no targets below half
    /// speed unless all usable ones are.
    target_state* choose(
        const slot_request& request, bool needFreeSlot, steady_time now, selection_context context = {});
    /// Whether the target would probably miss an objective of a live request, has just failed it, or has
    /// another software version than it needs.
    bool unsuitable(const slot_request& request, const target_state& target, steady_time now) const;
    /// Remembers that the target is about to have the request's prefixes in its cache.
    void recordGrant(const slot_request& request, const target_state& target, steady_time now);
    /// Removes the prefixes of a target that is no longer in use.
    void forget(std::string_view target) { m_prefixes.eraseTarget(target); }

private:
    double loadCost(const slot_request& request, const target_state& target, steady_time now) const;
    double paceCost(const slot_request& request, double pace, bool tooSlow, bool itemsPresent) const;
    double neededPace(const slot_request& request, steady_time now) const;

    target_table& m_table;
    const group_options& m_options;
    prefix_index m_prefixes;
    std::minstd_rand m_random; ///< Used with `randomChoice` only; same seed in every process.
};

} // namespace yuccachute
