#pragma once

#include "dispatch/dispatch.h"
#include "live_demand.h"
#include "live_load.h"
#include "live_queue.h"
#include "revocation.h"
#include "target_table.h"

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace yuccachute {

using target_filter = std::function<bool(const target_state&)>;

/// The queue of bulk requests, and the decision when bulk work starts and which of it is revoked.
class bulk_scheduler {
public:
    /// The arguments must outlive this object.
    bulk_scheduler(const target_table& table, const group_options& options)
        : m_table(table)
        , m_options(options)
        , m_queue(options.bulkOrder.value_or(options.order))
    {
    }

    fair_queue& queue() { return m_queue; }
    const fair_queue& queue() const { return m_queue; }
    /// Moves the waiting requests to a queue of another order.
    void setOrder(fair_queue::order order);

    /// Whether another item may start while `liveWaiting` live requests wait.
    bool mayStart(std::size_t liveWaiting, steady_time now);
    /// The next item in order, and then the next of those of each other software version, or of none.
    std::vector<const slot_request*> heads() const;
    /// The waiting item that starts next, if its target is `target`, which suits `head`; null if all are held
    /// back for a peak of live demand.
    const slot_request* nextItem(const slot_request& head, const target_state& target, steady_time now);
    /// Whether all items were held back so recently that nextItem() need not be called again yet.
    bool heldBack(steady_time now) const { return now < m_heldBackUntil; }
    /// An item has arrived, which may start although the others are held back.
    void recordBulkArrival() { m_heldBackUntil = {}; }
    /// The grants to revoke for the live requests that compete for the targets of `next`, at the targets that
    /// are suitable for it. `serviceTime` is the mean time for which live grants are held at nominal pace;
    /// zero if unknown.
    std::vector<grant_revocation> grantsToRevoke(const live_queue& live, const slot_request& next,
        std::chrono::duration<double, std::milli> serviceTime, const target_filter& suitable,
        steady_time now) const;
    /// Whether all live requests that compete for the targets of `next` are expected to get slots in time
    /// without further revocations.
    bool slotsExpected(const live_queue& live, const slot_request& next,
        std::chrono::duration<double, std::milli> serviceTime, steady_time now) const;
    /// Slots that waiting live requests get by revocation if expected releases do not come in time. Items
    /// without figures are not counted: decisions on them are the same as without the lookahead.
    std::size_t revocableSlots(steady_time now) const;
    void countRevocation(revocation_reason reason) { ++m_revocations[reason]; }
    const std::map<revocation_reason, std::uint64_t>& revocations() const { return m_revocations; }
    std::uint64_t startsHeldBack() const { return m_startsHeldBack; }

    void recordLiveArrival(steady_time now) { m_arrivals.record(now); }
    void recordLiveWait(milliseconds waited);
    void recordFirstToken(milliseconds firstToken);
    /// Adapts the window of the policy to what was recorded since the last call, and records the live demand.
    void tick(std::size_t liveWaiting, steady_time now);
    double window() const { return m_window; }

private:
    bulk_policy_input policyInput(std::size_t liveWaiting, steady_time now) const;
    bool looksAhead() const;
    /// The learned interval of the target, or the assumed one until it has been learned.
    std::chrono::microseconds expectedEventInterval(const target_state& target, steady_time now) const;
    /// Time that the item of a grant still needs; unset if unknown.
    std::optional<steady_time::duration> remainingTime(const grant_record& grant, steady_time now) const;
    /// Time that an item may have to wait for a slot if it does not run now: until the end of the next peak,
    /// and for the items that wait already.
    steady_time::duration expectedItemWait(std::chrono::microseconds eventInterval, steady_time now) const;
    /// Slots that a peak leaves to items, less those that running items still hold when it begins.
    int slotsLeftBy(const expected_peak& peak, steady_time now) const;
    revocable_item revocableItemOf(std::uint64_t grantId, steady_time::duration wait, steady_time now) const;
    /// Usable slots without those used by others.
    int ownSlots(steady_time now) const;
    /// At the targets that the request can use.
    std::vector<steady_time> expectedReleases(const slot_request& next,
        std::chrono::duration<double, std::milli> serviceTime, steady_time now) const;
    /// Whether the time that any of the revocable items still needs is known.
    bool knowsRemainingTimes(steady_time now) const;
    /// Number of live requests that get no slot in time without a revocation.
    std::size_t neededRevocations(const slot_request& next, std::vector<steady_time> latest,
        std::chrono::duration<double, std::milli> serviceTime, steady_time now) const;
    std::vector<std::uint64_t> revokedWithoutFigures(
        std::size_t liveWaiting, const target_filter& suitable, steady_time now) const;

    const target_table& m_table;
    const group_options& m_options;
    fair_queue m_queue;
    arrival_history m_arrivals;
    double m_window = 0.25;
    bool m_liveDelayed = false;
    bool m_windowFull = false;
    steady_time m_nextAdaptation;
    live_demand m_demand;
    steady_time m_heldBackUntil;
    std::pair<std::uint64_t, std::uint64_t> m_lastHeldBack; ///< Holder and id of the request counted last.
    std::uint64_t m_startsHeldBack = 0;
    std::map<revocation_reason, std::uint64_t> m_revocations;
};

} // namespace yuccachute
