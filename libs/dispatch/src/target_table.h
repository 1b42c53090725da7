#pragma once

#include "dispatch/dispatch.h"
#include "target_health.h"
#include "target_load.h"
#include "target_pace.h"
#include "working_set.h"

#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccachute {

/// A target in use, with what this dispatcher knows of it.
struct target_state {
    target_description description;
    target_health health;
    target_load load;
    target_pace pace;
    bool reportedSlow = false; ///< The last pace_change said that the target is slow.
    unsigned live = 0;
    unsigned bulk = 0;
    unsigned revoked = 0; ///< Revoked bulk grants that have not been released yet.
    steady_time refusedUntil; ///< End of the pause after the target refused a request.
    std::deque<steady_time> liveReleaseTimes; ///< Release times of slots that are kept for live requests.
};

struct grant_record {
    slot_request request;
    std::string target;
    steady_time since;
    steady_time expiresAt;
    bool revoked = false;

    bool live() const { return request.workClass == work_class::live; }
};

/// The targets of a group, in use and on standby, and the grants held at them.
class target_table {
public:
    using target_map = std::map<std::string, target_state, std::less<>>;
    using grant_map = std::map<std::uint64_t, grant_record>;

    /// `options` must outlive this object.
    explicit target_table(const group_options& options)
        : m_options(options)
    {
    }

    // --- Targets

    target_map& targets() { return m_targets; }
    const target_map& targets() const { return m_targets; }
    /// Returns null if the target is not in use.
    target_state* find(std::string_view name);
    /// Number of targets in use and on standby.
    std::size_t size() const { return m_targets.size() + m_standby.size(); }
    std::vector<std::string> names() const;

    void update(const target_description& description, steady_time now);
    /// Returns whether the target was in use.
    bool remove(std::string_view name);
    /// Activates as many standby targets as the grants and `waiting` requests need.
    void activateNeeded(std::size_t waiting, steady_time now);
    /// Activates a standby target for a request that is bound to a software version, unless a target in use
    /// has a free slot for it.
    void activateForVersion(const slot_request& request, steady_time now);
    /// Activates the standby targets that come before any target in use. So a process that learns of the
    /// targets one by one uses the same ones as a process that learns of all at once.
    void activatePreceding(steady_time now);
    /// Deactivates targets that are no longer needed, in reverse order of activation, and returns their
    /// names.
    std::vector<std::string> deactivateIdle(steady_time now);

    bool usable(const target_state& target, steady_time now) const;
    bool anyUsable(steady_time now) const;
    /// Whether any target is usable for the request.
    bool anyUsable(const slot_request& request, steady_time now) const;
    unsigned slotsOf(const target_state& target, steady_time now) const;
    unsigned slotsUsedByOthers(const target_state& target, steady_time now) const;
    unsigned freeSlots(const target_state& target, steady_time now) const;
    /// Free slots that bulk work may use.
    unsigned spareSlots(const target_state& target, steady_time now) const;

    /// Time between two events at a target of nominal speed; zero if unknown.
    std::chrono::microseconds nominalEventInterval(steady_time now) const;
    /// Expected time between two events at the target; zero if unknown.
    std::chrono::microseconds eventInterval(const target_state& target, steady_time now) const;
    /// Expected time from the start of a run to its first event at nominal speed, in ms; zero if unknown.
    double nominalFirstEventMs() const { return m_firstEventMs; }
    /// Speed of the target relative to the nominal speed of the group, which is 1.
    double paceOf(const target_state& target, steady_time now) const;
    /// Learns the speed of the target from a run that has ended.
    void recordRun(
        target_state& target, const grant_record& grant, const grant_release& release, steady_time now);
    /// Updates the paces a few times a second.
    void updatePaces(steady_time now);
    /// The targets that have become slow, or are no longer slow, since the last call.
    std::vector<pace_change> takePaceChanges() { return std::exchange(m_paceChanges, {}); }

    std::vector<report_due> reportsDue(steady_time now);
    void report(target_state& target, const load_report& report, steady_time now);

    // --- Grants

    const grant_map& grants() const { return m_grants; }
    /// Number of grants of bulk work.
    std::size_t bulkGrants() const { return m_bulkGrants; }
    /// Returns null if the grant is not held any more.
    const grant_record* findGrant(std::uint64_t grantId) const;
    std::uint64_t addGrant(slot_request request, target_state& target, steady_time now);
    void removeGrant(std::uint64_t grantId, steady_time now);
    void removeExpiredGrants(steady_time now);
    /// Bulk grants that have not been revoked, in the order in which they were given.
    std::vector<std::uint64_t> revocableGrants() const;
    void markRevoked(std::uint64_t grantId);
    /// Requests of a lost holder may still run until the target notices, so its grants expire after a grace
    /// period.
    void dropHolder(std::uint64_t holder, steady_time now);

private:
    bool allUnresponsive() const;
    working_set_state workingSet(steady_time now) const;
    void activate(target_description description, steady_time now);
    void keepSlotForLive(target_state& target, steady_time now) const;
    std::chrono::microseconds medianInterval(steady_time now) const;
    void recordPaceChange(target_state& target, steady_time now);

    const group_options& m_options;
    target_map m_targets; ///< In use.
    standby_targets m_standby;
    demand_history m_demand;
    steady_time m_nextDeactivation;
    std::chrono::microseconds m_nominalInterval { 0 };
    double m_firstEventMs = 0; ///< Moving average of the time to the first event at nominal speed.
    steady_time m_pacesUpdated;
    std::vector<pace_change> m_paceChanges;
    grant_map m_grants;
    std::size_t m_bulkGrants = 0;
    std::uint64_t m_nextGrant = 1;
};

} // namespace yuccachute
