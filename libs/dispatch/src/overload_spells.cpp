#include "dispatch/dispatch.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// Refusals further apart belong to different spells: under overload tens come in a second.
constexpr milliseconds longestGap { 500 };
constexpr double spellKeep = 0.7;
/// Spells differ in length, and the queue that a spell leaves behind takes about this long to be served.
constexpr milliseconds afterEnd { 300 };
/// A spell that lasts longer than the others is expected to last this much longer.
constexpr milliseconds leastLeft { 500 };
/// Beyond this it is no spell but a lack of targets, and says nothing about the next one.
constexpr double longestSpellMs = 10000;

double toMs(steady_time::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

void overload_spells::refused(steady_time now)
{
    if (m_last == steady_time {} || now - m_last > longestGap) {
        if (m_last != steady_time {})
            m_meanMs
                = spellKeep * m_meanMs + (1 - spellKeep) * std::min(toMs(m_last - m_begin), longestSpellMs);
        m_begin = now;
    }
    m_last = now;
}

milliseconds overload_spells::returnAfter(steady_time now) const
{
    const auto left = milliseconds { static_cast<std::int64_t>(m_meanMs - toMs(now - m_begin)) };
    return std::max(left, leastLeft) + afterEnd;
}

} // namespace yuccachute
