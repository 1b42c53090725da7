#pragma once

#include "verdict/verdict.h"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace yuccachute {

/// The time that first attempts of a route's callers have left, derived from the remaining times of recent
/// requests. Unset if there is too little evidence, or if callers choose different times.
///
/// First attempts repeat one value, the largest; the values of further attempts are spread below it. A
/// smaller value that is repeated as well is the choice of other callers.
///
/// `routeTimeout`: the configured timeout of the route. `windowFull`: older requests were left out, so that
/// the majority of `recent` is representative.
std::optional<milliseconds> initialCallerTime(
    std::span<const milliseconds> recent, milliseconds routeTimeout, bool windowFull);

/// Age of a request whose caller has `remaining` left. 0 for a first attempt, or if `initial` is unset.
milliseconds requestAge(std::optional<milliseconds> initial, milliseconds remaining);

/// Learns for each route how much time callers have at their first attempt, and tells the age of requests.
class request_ages {
public:
    /// Records an arriving request. Not to be called again for the same request.
    void record(std::string_view route, milliseconds routeTimeout, milliseconds remaining, steady_time now);
    /// Time that the request's caller had spent before the request arrived; 0 if unknown.
    milliseconds ageOf(std::string_view route, milliseconds remaining, steady_time now) const;

private:
    struct route_history {
        std::deque<milliseconds> recent;
        bool windowFull = false;
        std::optional<milliseconds> initial;
        steady_time confirmed; ///< When the recent requests last agreed on `initial`.
    };

    std::map<std::string, route_history, std::less<>> m_routes; ///< By name; as many as are configured.
};

} // namespace yuccachute
