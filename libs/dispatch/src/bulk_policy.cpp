#include "dispatch/dispatch.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace yuccachute {

namespace {

constexpr double leastWindow = 0.02;
constexpr double windowStep = 0.05;
constexpr double windowCut = 0.5;

struct allowance_visitor {
    const bulk_situation& now;

    unsigned operator()(const no_bulk&) const { return 0; }
    unsigned operator()(const unlimited_bulk&) const { return std::numeric_limits<unsigned>::max(); }
    unsigned operator()(const fixed_bulk& policy) const { return policy.window * now.targets; }

    unsigned operator()(const adaptive_bulk& policy) const
    {
        if (now.liveWaiting > 0)
            return 0;
        const double reserve = std::max(policy.reserve * now.slots, static_cast<double>(now.arrivals));
        const double slack = now.slots - static_cast<double>(now.live) - reserve;
        const double allowed = std::min(slack, now.window * now.slots);
        return allowed <= 0 ? 0 : static_cast<unsigned>(std::floor(allowed));
    }

    unsigned operator()(const spare_bulk&) const
    {
        return now.liveWaiting > 0 || now.live > now.slots ? 0 : now.slots - now.live;
    }
};

} // namespace

unsigned bulkAllowance(const bulk_policy& policy, const bulk_situation& situation)
{
    return std::visit(allowance_visitor { situation }, policy);
}

bool revokes(const bulk_policy& policy)
{
    return std::holds_alternative<adaptive_bulk>(policy) || std::holds_alternative<spare_bulk>(policy);
}

double adaptWindow(double window, bool liveHarmed, bool windowWasFull)
{
    if (liveHarmed)
        return std::max(leastWindow, window * windowCut);
    return windowWasFull ? std::min(1.0, window + windowStep) : window;
}

} // namespace yuccachute
