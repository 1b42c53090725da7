#include "open_job_scan.h"

#include "process.h"
#include "store/store.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// From the request of one listing to that of the next.
constexpr milliseconds scanInterval { 2000 };
/// After a listing that failed, from its request. Refused calls are charged.
constexpr milliseconds retryInterval { 1000 };
/// After a listing that failed late.
constexpr milliseconds minRetryDelay { 300 };
/// For the answer to a listing of several pages over a sound connection.
constexpr milliseconds answerTime { 100 };

static_assert(scanInterval + tickInterval + silentConnectionTimeout + answerTime <= maxOpenAge,
    "items would have to wait each time that a listing meets a silent connection");

} // namespace

void open_job_scan::request(steady_time when)
{
    m_next = std::min(m_next, when);
}

void open_job_scan::started(steady_time now)
{
    m_running = true;
    m_requestedAt = now;
    m_next = now + scanInterval;
}

void open_job_scan::succeeded()
{
    m_running = false;
    m_listedAt = m_requestedAt;
    m_listingFailed = false;
}

void open_job_scan::failed(failure_kind kind, steady_time now)
{
    m_running = false;
    m_next = std::max(m_requestedAt + retryInterval, now + minRetryDelay);
    // A store that limits the rate of calls answers other processes.
    m_listingFailed = kind != failure_kind::limited;
}

} // namespace yuccachute
