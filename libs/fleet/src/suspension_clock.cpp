#include "fleet/fleet.h"

#include <ctime>

namespace yuccachute {

steady_time suspension_clock::at(steady_time steady, std::optional<steady_time> boot)
{
    auto suspended = m_suspendedNs.load();
    if (boot) {
        const auto ahead = std::chrono::nanoseconds { *boot - steady }.count();
        while (ahead > suspended && !m_suspendedNs.compare_exchange_weak(suspended, ahead)) { }
        suspended = std::max(suspended, ahead);
    }
    return steady + std::chrono::nanoseconds { suspended };
}

std::optional<steady_time> readBootClock()
{
    timespec now {};
    if (::clock_gettime(CLOCK_BOOTTIME, &now) != 0)
        return std::nullopt;
    return steady_time { std::chrono::seconds { now.tv_sec } + std::chrono::nanoseconds { now.tv_nsec } };
}

steady_time bootClockNow()
{
    static suspension_clock clock;
    // Read first: a pause of the thread between the two readings must not pass for a suspension.
    const auto boot = readBootClock();
    return clock.at(std::chrono::steady_clock::now(), boot);
}

} // namespace yuccachute
