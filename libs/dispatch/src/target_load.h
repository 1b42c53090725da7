#pragma once

#include "dispatch/dispatch.h"

#include <deque>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace yuccachute {

/// Load at one target beyond the grants of this dispatcher, estimated from the target's load reports, which
/// lag, and from missing reports. Slots may be occupied by requests granted by a previous dispatcher or by
/// another one during a network partition, and by requests of a crashed holder. Without the reports this
/// dispatcher would count those slots as free.
class target_load {
public:
    target_load() = default;
    /// `polled`: whether the target is polled for load reports whenever startPollIfDue() returns true.
    target_load(bool polled, steady_time now);

    /// Slots occupied by requests that this dispatcher did not grant. A new target counts as full, with all
    /// its `slots`, for a short time until its first report.
    unsigned slotsUsedByOthers(unsigned slots, steady_time now) const;
    /// Whether the target has announced that it accepts no new requests.
    bool leaving(steady_time now) const;
    /// Slot count from the last report; unset if the report is outdated or has none.
    std::optional<unsigned> slots(steady_time now) const;
    double memoryUsed() const { return m_last.memoryUsed; }
    /// Whether a report, or a refusal in place of one, has been received.
    bool hasReported() const { return m_reportTime != steady_time {}; }
    /// Whether the target has not answered several polls in a row.
    bool unresponsive() const;

    /// Records the number of own grants before it changes, and with each report.
    void recordOwnGrants(unsigned own, steady_time now);
    /// Records the end of an own request, because a lagging report may still list it.
    void recordFinished(std::string requestId, steady_time now);
    /// `granted`: ids of the requests that hold a grant at the target now; `own`: number of these grants.
    void report(
        const load_report& report, const std::set<std::string_view>& granted, unsigned own, steady_time now);
    /// The target did not answer a poll.
    void recordMiss(steady_time now);
    /// The target refused a request because it accepts none. This counts as a report that it is shutting down
    /// and holds until the next report.
    void markUnavailable(steady_time now);
    /// Whether a poll is due. If so it is marked as pending until its answer, or the lack of one, is
    /// recorded.
    bool startPollIfDue(steady_time now);
    /// Makes a poll due at once after an event that puts the known load in doubt.
    void pollNow(steady_time now) { m_nextReport = now; }
    /// Makes a poll due after the short report interval at the latest.
    void pollSoon(steady_time now);

private:
    bool fresh(steady_time now) const;
    void removeOldFinished(steady_time now);
    unsigned countRunsOfOthers(const std::set<std::string_view>& granted, steady_time now);

    bool m_polled = false;
    steady_time m_addedAt;
    load_report m_last;
    steady_time m_reportTime;
    steady_time m_nextReport;
    bool m_pollPending = false;
    unsigned m_missed = 0; ///< Consecutive polls without an answer.
    unsigned m_runsOfOthers = 0; ///< From the last report, if it lists its runs.
    unsigned m_grantsAtReport = 0; ///< Peak of own grants in the time that the report may describe.
    std::deque<std::pair<steady_time, unsigned>> m_ownPeaks; ///< Recent peaks of own grants.
    std::deque<std::pair<steady_time, std::string>> m_finished;
};

} // namespace yuccachute
