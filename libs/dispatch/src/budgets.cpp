#include "dispatch/dispatch.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace yuccachute {

milliseconds rate_budget::take(double amount, double perSecond, steady_time now)
{
    if (perSecond <= 0)
        return milliseconds { 0 };
    // An amount above a second's worth could never be taken: it may overdraw a full bucket instead.
    const double capacity = std::max(perSecond, 1.0);
    const double elapsed = m_started ? std::chrono::duration<double>(now - m_last).count() : 1.0;
    m_level = m_started ? std::min(capacity, m_level + elapsed * perSecond) : capacity;
    m_started = true;
    m_last = now;
    const double needed = std::min(amount, capacity);
    if (m_level >= needed) {
        m_level -= amount;
        return milliseconds { 0 };
    }
    return milliseconds { std::max<std::int64_t>(
        1, std::llround(std::ceil((needed - m_level) / perSecond * 1000))) };
}

void retry_budget::countRequest(double share)
{
    m_level = std::min(most, m_level + share);
}

bool retry_budget::takeRetry()
{
    if (m_level < 1)
        return false;
    m_level -= 1;
    return true;
}

namespace {

/// About the time from a revocation until the item has left its target.
constexpr milliseconds spanLength { 20 };
constexpr std::int64_t spansKept = 250;

std::int64_t spanOf(steady_time time)
{
    return time.time_since_epoch() / spanLength;
}

} // namespace

void arrival_history::record(steady_time now)
{
    const auto span = spanOf(now);
    if (m_spans.empty() || m_spans.back().first != span)
        m_spans.emplace_back(span, 0);
    ++m_spans.back().second;
    while (m_spans.front().first <= span - spansKept)
        m_spans.pop_front();
}

unsigned arrival_history::busySpan(steady_time now) const
{
    constexpr std::size_t exceeding = spansKept / 20;
    std::vector<unsigned> counts;
    for (const auto& [span, count] : m_spans) {
        if (span > spanOf(now) - spansKept)
            counts.push_back(count);
    }
    // Spans without arrivals are not kept: with fewer busy ones than may exceed it, the answer is none.
    if (counts.size() <= exceeding)
        return 0;
    std::nth_element(counts.begin(), counts.begin() + exceeding, counts.end(), std::greater<>());
    return counts[exceeding];
}

} // namespace yuccachute
