#include "dispatch/dispatch.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace yuccachute {

namespace {

constexpr double minWindow = 0.02;
constexpr double windowIncrease = 0.05;
constexpr double windowDecreaseFactor = 0.5;

struct allowance_visitor {
    const bulk_policy_input& input;

    unsigned operator()(const no_bulk&) const { return 0; }
    unsigned operator()(const unlimited_bulk&) const { return std::numeric_limits<unsigned>::max(); }
    unsigned operator()(const fixed_bulk& policy) const { return policy.window * input.targets; }

    unsigned operator()(const adaptive_bulk& policy) const
    {
        if (input.liveWaiting > 0)
            return 0;
        const double reserve = std::max(policy.reserve * input.slots, static_cast<double>(input.arrivals));
        const double slack = input.slots - static_cast<double>(input.live) - reserve;
        const double allowed = std::min(slack, input.window * input.slots);
        return allowed <= 0 ? 0 : static_cast<unsigned>(std::floor(allowed));
    }

    unsigned operator()(const spare_bulk&) const
    {
        return input.liveWaiting > 0 || input.live > input.slots ? 0 : input.slots - input.live;
    }
};

} // namespace

unsigned bulkAllowance(const bulk_policy& policy, const bulk_policy_input& policyInput)
{
    return std::visit(allowance_visitor { policyInput }, policy);
}

bool revokesBulkGrants(const bulk_policy& policy)
{
    return std::holds_alternative<adaptive_bulk>(policy) || std::holds_alternative<spare_bulk>(policy);
}

double adaptWindow(double window, bool liveDelayed, bool windowWasFull)
{
    if (liveDelayed)
        return std::max(minWindow, window * windowDecreaseFactor);
    return windowWasFull ? std::min(1.0, window + windowIncrease) : window;
}

} // namespace yuccachute
