#pragma once

#include "verdict/verdict.h"

#include <optional>

namespace yuccachute {

/// From the acknowledgement of a job's end, no item of it may reach a target later than this.
constexpr milliseconds cancelTime { 3000 };
/// From the decision to send an item to its arrival: the timeout of the connection, 300 ms, and the delivery.
constexpr milliseconds deliveryTime { 500 };
/// How long the items of a job may be sent after the store has shown that the job was open.
constexpr milliseconds maxOpenAge = cancelTime - deliveryTime;
/// The store counts as lost once it has answered no process of the fleet for this time. While it can be
/// reached, each process knows of an answer that is at most 1.4 s old, its own or that of another process.
constexpr milliseconds maxStoreSilence { 2000 };

/// Schedules the listings of the open jobs, by which a process learns of jobs that were ended through another
/// one or have lost their holder, and decides whether items may be sent. No I/O; all times are those of one
/// clock, which also runs while the process is suspended.
///
/// The end of a job is acknowledged once the store has executed it. Items are sent only of jobs that a read
/// of at most maxOpenAge ago has shown to be open, unless the store answers no process of the fleet: then
/// nobody can end a job either. A listing that fails, or a refusal of this process, is no evidence of that.
/// Listings are retried meanwhile, and the next one is due as soon as any process is answered again.
class open_job_scan {
public:
    bool due(steady_time now) const { return !m_running && now >= m_next; }
    /// When the current or last listing was requested.
    steady_time requestedAt() const { return m_requestedAt; }
    /// When the last listing that succeeded was requested.
    std::optional<steady_time> listedAt() const { return m_listedAt; }
    /// Makes the next listing due at this time, if it would be later.
    void request(steady_time when);

    void started(steady_time now);
    void succeeded();
    void failed(failure_kind kind, steady_time now);

    /// Whether items of a job may be sent that was known to be open at a time. `storeSilence` is how long the
    /// store has answered no process of the fleet, as far as this process knows.
    bool maySend(steady_time openAt, steady_time now, milliseconds storeSilence) const
    {
        return now - openAt <= maxOpenAge || storeLost(storeSilence);
    }
    /// Whether items are sent however long ago their job was known to be open.
    bool storeLost(milliseconds storeSilence) const
    {
        return m_listingFailed && storeSilence > maxStoreSilence;
    }

private:
    steady_time m_next;
    steady_time m_requestedAt;
    std::optional<steady_time> m_listedAt;
    bool m_running = false;
    bool m_listingFailed = false; ///< The last one, but not because the store limits the rate of calls.
};

} // namespace yuccachute
