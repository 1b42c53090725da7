#include "target_health.h"

#include <algorithm>

namespace yuccachute {

namespace {

constexpr unsigned failuresToEject = 3;
constexpr unsigned probesToRecover = 3;
constexpr unsigned maxEjectionDoublings = 5;
constexpr milliseconds firstEjection { 1000 };

} // namespace

void target_health::succeeded(steady_time now)
{
    m_failures = 0;
    if (at(now) != state::probing)
        return;
    if (++m_probesPassed < probesToRecover)
        return;
    m_ejected = false;
    m_ejections = 0;
}

void target_health::failed(steady_time now)
{
    ++m_failures;
    const bool probeFailed = at(now) == state::probing;
    if (!probeFailed && m_failures < failuresToEject)
        return;
    if (at(now) == state::ejected)
        return; // Late failure of a request sent before the ejection.
    m_ejected = true;
    m_probesPassed = 0;
    m_until = now + firstEjection * (1u << std::min(m_ejections, maxEjectionDoublings));
    ++m_ejections;
}

target_health::state target_health::at(steady_time now) const
{
    if (!m_ejected)
        return state::healthy;
    return now < m_until ? state::ejected : state::probing;
}

} // namespace yuccachute
