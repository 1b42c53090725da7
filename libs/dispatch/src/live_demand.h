#pragma once

#include "verdict/verdict.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace yuccachute {

/// A peak of live demand that is expected or has begun.
struct expected_peak {
    steady_time start; ///< In the past if the peak has begun.
    steady_time end; ///< The demand begins to fall.
    unsigned slots = 0; ///< Slots that live requests need in it.
    steady_time::duration trough { 0 }; ///< Time between two peaks.
};

/// Tracks the slots that live requests hold and wait for, and whether peaks of them repeat.
class live_demand {
public:
    /// Records the slots that live requests hold and wait for.
    void record(unsigned slots, steady_time now);
    /// The peak that goes on or comes next; unset unless peaks repeat. A peak that fails to come or does not
    /// end ends the expectation.
    std::optional<expected_peak> nextPeak(steady_time now) const;

    /// Mean demand over the history.
    double meanSlots() const;

private:
    struct peak {
        steady_time start;
        std::optional<steady_time> end; ///< The last high demand; known when the demand is low again.
        double slots = 0;
    };

    void closeInterval();
    void detectEdge(double smoothed);
    std::optional<steady_time::duration> period() const;

    std::deque<double> m_means; ///< Mean demand of each past interval.
    std::deque<peak> m_peaks;
    steady_time m_intervalStart;
    steady_time m_lastLow; ///< End of the last interval with low demand.
    steady_time m_lastHigh; ///< End of the last interval with high demand.
    double m_sum = 0;
    std::size_t m_samples = 0;
};

} // namespace yuccachute
