#include "dispatch/dispatch.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// Refusals further apart belong to different spells: under overload tens come in a second.
constexpr milliseconds longestGap { 500 };
constexpr double newestWeight = 0.3;
/// A spell counts in full from so many refusals on: callers hardly ever meet the many of one or two.
constexpr double refusalsOfSpell = 10;
/// The queue that a spell leaves behind takes about this long to be served.
constexpr milliseconds afterEnd { 300 };
/// Beyond this it is no spell but a lack of targets, and says nothing about the next one.
constexpr double longestSpellMs = 10000;

double toMs(steady_time::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

void overload_spells::refused(steady_time now)
{
    if (now - m_last > longestGap) {
        const double length = std::min(toMs(m_last - m_begin), longestSpellMs);
        m_meanMs += newestWeight * std::min(1.0, m_refusals / refusalsOfSpell) * (length - m_meanMs);
        m_begin = now;
        m_refusals = 0;
    }
    m_last = now;
    ++m_refusals;
}

milliseconds overload_spells::returnAfter(steady_time now) const
{
    const bool inSpell = now - m_last <= longestGap;
    const double elapsed = inSpell ? std::min(toMs(now - m_begin), longestSpellMs) : 0;
    return milliseconds { static_cast<std::int64_t>(std::max(m_meanMs, elapsed)) } + afterEnd;
}

} // namespace yuccachute
