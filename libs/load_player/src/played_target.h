#pragma once

#include "dispatch/dispatch.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace yuccachute {

/// What a target tells of a request.
struct target_progress {
    std::uint64_t request = 0;
    bool firstEvent = false;
    bool finished = false;
    unsigned events = 0; ///< Events since the last call of advance(), including the first one.
};

/// Time that work takes at nominal speed.
using work_time = std::chrono::duration<double, std::milli>;

/// The model of one target.
class played_target {
public:
    played_target(std::string name, unsigned slots)
        : m_name(std::move(name))
        , m_slots(slots)
    {
    }

    const std::string& name() const { return m_name; }
    unsigned slots() const { return m_slots; }
    /// `reading` is how long the others wait when it is admitted.
    void take(std::uint64_t request, milliseconds work, milliseconds reading);
    /// The request's connection is closed. Returns the work that is left.
    milliseconds drop(std::uint64_t request);
    void goDark() { m_dark = true; }
    bool dark() const { return m_dark; }
    /// `speed` is a multiple of the nominal one.
    void setSpeed(double speed) { m_speed = speed; }
    void reportIdle() { m_reportsIdle = true; }
    /// Works for a while.
    std::vector<target_progress> advance(milliseconds time);
    load_report report() const;

private:
    struct run {
        std::uint64_t request = 0;
        work_time left { 0 };
        work_time worked { 0 };
        milliseconds reading { 0 };
    };

    std::string m_name;
    unsigned m_slots;
    bool m_dark = false;
    bool m_reportsIdle = false;
    double m_speed = 1;
    work_time m_reading { 0 }; ///< Of prompts, before the next events are made.
    std::vector<run> m_running;
    std::deque<run> m_queue;
};

} // namespace yuccachute
