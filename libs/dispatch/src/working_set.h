#pragma once

#include "dispatch/dispatch.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace yuccachute {

/// Key by which targets are activated in ascending order. It is the same in every process, so that the next
/// dispatcher of a group uses the same targets as the previous one and polls them for the work it left there.
std::uint64_t activationOrder(std::string_view target);

/// Targets of a group that are not in use. Only their descriptions are kept; they are not polled.
class standby_targets {
public:
    void add(target_description target);
    bool remove(std::string_view name);
    std::optional<target_description> popFirst();
    /// The first one of a software version that is not draining.
    std::optional<target_description> popFirst(std::string_view version);
    /// Activation order of the target that popFirst() would return. There must be one.
    std::uint64_t firstActivationOrder() const { return m_targets.begin()->first.first; }
    std::vector<std::string> names() const;
    bool empty() const { return m_targets.empty(); }
    std::size_t size() const { return m_targets.size(); }

private:
    std::map<std::pair<std::uint64_t, std::string>, target_description> m_targets; ///< By activationOrder().
};

/// Peak number of slots that a group needed recently.
class demand_history {
public:
    /// Records the number of slots that are granted or waited for.
    void record(std::size_t slots, steady_time now);
    /// Number of slots that the targets in use should have in total.
    std::size_t desiredSlots() const;

private:
    std::deque<std::pair<std::chrono::seconds, std::size_t>> m_peaks; ///< Peak of each second.
};

/// Size of the working set: the targets in use and their slots.
struct working_set_state {
    std::size_t targets = 0;
    std::size_t totalSlots = 0; ///< Of all targets in use.
    std::size_t usableSlots = 0; ///< Of the targets in use that accept requests.
    std::size_t desiredSlots = 0;
};

/// Whether another target has to be activated.
bool needsMoreTargets(const working_set_state& state, std::size_t minTargets);
/// Whether a target with this number of slots is no longer needed.
bool canDeactivate(const working_set_state& state, std::size_t slots, std::size_t minTargets);

} // namespace yuccachute
