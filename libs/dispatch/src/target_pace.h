#pragma once

#include "verdict/verdict.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace yuccachute {

/// Below this pace a target counts as slow in the summary and in log lines: its answers take more than twice
/// as long as those of most targets.
constexpr double slowPace = 0.5;

/// Speed of a target relative to the other targets of its group, learned from the runs at it.
class target_pace {
public:
    /// A run is reported at its end, so samples have to live longer than a run at a target that is several
    /// times slower than the others. Otherwise its slowness would be forgotten while the next runs at it are
    /// still in progress.
    static constexpr milliseconds sampleLifetime { 10000 };

    /// Records the mean interval between the last events of a run. An interval that cannot be valid, or that
    /// was measured over too few events, is ignored.
    void record(std::chrono::microseconds interval, std::uint32_t events, steady_time now);
    /// Records a run that was cancelled because no event had arrived for `silence`, after any number of
    /// events.
    void recordSilence(std::chrono::microseconds silence, steady_time now);
    /// The median interval of the recent runs; zero if there are too few of them.
    std::chrono::microseconds interval(steady_time now) const { return interval(now, sampleLifetime); }
    /// As above, of the runs within the last `lifetime`.
    std::chrono::microseconds interval(steady_time now, milliseconds lifetime) const;
    /// Updates the result of relative() from the recent runs and the group's nominal interval; zero if that
    /// is unknown. Called a few times a second, so that relative() costs nothing.
    void update(std::chrono::microseconds nominal, steady_time now);

    /// 1 is the nominal speed, and 2 twice as fast. A target without recent runs has the nominal speed.
    double relative(steady_time now) const { return known(now) ? m_relative : 1; }
    /// As relative(), for a target that has `runs` runs. A target that was slow when its last samples expired
    /// is tried again with one run at a time: with more, each expiry would cost as many slow answers as the
    /// target has slots.
    double relative(unsigned runs, steady_time now) const;

private:
    struct sample {
        std::chrono::microseconds interval { 0 };
        steady_time time;
    };
    /// An estimate of five runs is not moved by two runs that stalled, and follows a target that has become
    /// slower after three.
    static constexpr std::size_t maxSamples = 5;

    bool known(steady_time now) const { return now < m_knownUntil; }

    std::array<sample, maxSamples> m_samples; ///< The newest is at `m_next` - 1.
    std::size_t m_next = 0;
    double m_relative = 1;
    steady_time m_knownUntil;
};

} // namespace yuccachute
