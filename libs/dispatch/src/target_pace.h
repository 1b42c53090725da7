#pragma once

#include "verdict/verdict.h"

#include <chrono>

namespace yuccachute {

/// Speed of a target relative to the other targets of its group, learned from the runs at it.
class target_pace {
public:
    /// 1 is the nominal speed, and 2 twice as fast. A target without recent runs has the nominal speed.
    double relative(steady_time now) const { return 1; }
};

} // namespace yuccachute
