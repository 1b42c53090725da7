#pragma once

#include "verdict/verdict.h"

#include <cstdint>

namespace yuccachute {

/// Ejects a failing target and probes it before it is used again. After several consecutive failures the
/// target gets no requests for a time that doubles with each failed probe, then one at a time until enough of
/// them succeed.
class target_health {
public:
    enum class state : std::uint8_t { healthy, ejected, probing };

    void succeeded(steady_time now);
    void failed(steady_time now);
    state at(steady_time now) const;
    unsigned consecutiveFailures() const { return m_failures; }

private:
    unsigned m_failures = 0;
    unsigned m_probesPassed = 0;
    unsigned m_ejections = 0;
    bool m_ejected = false;
    steady_time m_until;
};

} // namespace yuccachute
