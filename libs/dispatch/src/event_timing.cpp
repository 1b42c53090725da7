#include "dispatch/dispatch.h"

namespace yuccachute {

namespace {

/// About the length of a live answer. A longer run, such as a batch item's, tells the present speed of its
/// target instead of an average over many seconds.
constexpr std::uint64_t measuredIntervals = 16;
/// Fewer intervals measure how events were batched in the network, or where a pause began.
constexpr std::uint64_t minIntervals = 3;
/// A silence of more than this many mean intervals replaces the mean. Intervals do not vary by this much
/// unless the target has stalled or become slower.
constexpr int silentIntervals = 4;

} // namespace

void event_timing::record(std::uint64_t count, steady_time now)
{
    m_events += count;
    if (m_paused || count == 0)
        return;
    m_arrivals.push_back({ now, m_events });
    while (m_arrivals.size() > 2 && m_events - m_arrivals[1].events >= measuredIntervals)
        m_arrivals.pop_front();
}

std::chrono::microseconds event_timing::interval(grant_outcome outcome, steady_time now) const
{
    using std::chrono::microseconds;
    if (m_arrivals.empty())
        return microseconds { 0 };
    const auto& first = m_arrivals.front();
    const auto& last = m_arrivals.back();
    const bool completed = outcome == grant_outcome::ok;
    const auto silence = completed || m_paused ? microseconds { 0 }
                                               : std::chrono::duration_cast<microseconds>(now - last.time);
    const auto intervals = last.events - first.events;
    // With few intervals measured, the silence could be returned below. It is only a lower bound for one
    // event, and with a count of many events it would be taken for their mean interval.
    if (intervals < minIntervals && m_events > minIntervals)
        return microseconds { 0 };
    if (intervals == 0)
        return silence;
    const auto mean = std::chrono::duration_cast<microseconds>(
        (last.time - first.time) / static_cast<std::int64_t>(intervals));
    if (mean.count() == 0)
        return mean; // The events arrived together and tell nothing.
    return silence > silentIntervals * mean ? silence : mean;
}

} // namespace yuccachute
