#include "request_age.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace yuccachute {

namespace {

/// Requests per route on which the decision is based: enough for a majority to be no accident.
constexpr std::size_t windowSize = 64;
/// Callers compute the time left when they send, some milliseconds after they have set their deadline.
constexpr milliseconds sendDelayTolerance { 5 };
/// Equal values that are no accident: two attempts that were repeated after different times are rarely left
/// with the same time to the millisecond.
constexpr std::size_t minEqualValues = 3;
/// A value that equals the configured timeout of the route is evidence independent of the other requests.
constexpr std::size_t weightOfRouteTimeout = 2;
/// After a restart the first requests are repeated attempts. Their number is limited, so a smaller part of
/// first attempts is sufficient until the window is full.
constexpr std::size_t minPartAtStart = 4;
constexpr std::size_t minPartOfWindow = 2;
/// One request of so many may have more time than first attempts usually have.
constexpr std::size_t outlierPart = 16;
/// A smaller value that occurs more than a fifth as often as the initial time is chosen by other callers.
constexpr std::size_t otherChoicePart = 5;
/// Under overload most requests are repeated attempts, and the initial time is not confirmed. Periods of
/// overload last seconds.
constexpr milliseconds confirmationRetention { 10000 };

bool isFirstAttempt(milliseconds initial, milliseconds remaining)
{
    return remaining >= initial - sendDelayTolerance;
}

/// `descending` holds the remaining times that are smaller than those of first attempts.
bool othersChoose(std::span<const milliseconds> descending, std::size_t firstAttempts)
{
    std::size_t equal = 0;
    for (std::size_t i = 0; i < descending.size(); ++i) {
        equal = i > 0 && descending[i] == descending[i - 1] ? equal + 1 : 1;
        if (equal > 1 && equal * otherChoicePart > firstAttempts)
            return true;
    }
    return false;
}

/// Whether recent requests show that callers begin with other times than `initial`. A smaller value counts
/// only while first attempts are the majority, because repeated attempts are the majority under overload, and
/// some of them are left with equal times.
bool contradicted(std::span<const milliseconds> recent, milliseconds initial)
{
    std::vector<milliseconds> descending(recent.begin(), recent.end());
    std::sort(descending.begin(), descending.end(), std::greater<>());
    const auto notLonger = std::find_if(
        descending.begin(), descending.end(), [&](milliseconds value) { return value <= initial; });
    const auto smaller = std::find_if(
        notLonger, descending.end(), [&](milliseconds value) { return !isFirstAttempt(initial, value); });
    if (static_cast<std::size_t>(notLonger - descending.begin()) > descending.size() / outlierPart)
        return true;
    const auto firstAttempts = static_cast<std::size_t>(smaller - notLonger);
    return firstAttempts * minPartOfWindow >= descending.size()
        && othersChoose(std::span(smaller, descending.end()), firstAttempts);
}

} // namespace

std::optional<milliseconds> initialCallerTime(
    std::span<const milliseconds> recent, milliseconds routeTimeout, bool windowFull)
{
    std::vector<milliseconds> descending(recent.begin(), recent.end());
    std::sort(descending.begin(), descending.end(), std::greater<>());
    const auto minPart = windowFull ? minPartOfWindow : minPartAtStart;
    const auto maxOutliers = descending.size() / outlierPart;
    for (std::size_t first = 0; first < descending.size() && first <= maxOutliers; ++first) {
        const auto initial = descending[first];
        const auto end = std::find_if(descending.begin() + static_cast<std::ptrdiff_t>(first),
            descending.end(), [&](milliseconds value) { return !isFirstAttempt(initial, value); });
        const auto past = static_cast<std::size_t>(end - descending.begin());
        const auto equal = past - first;
        const auto evidence = equal + (initial == routeTimeout ? weightOfRouteTimeout : 0);
        if (evidence < minEqualValues || evidence * minPart < descending.size())
            continue;
        if (othersChoose(std::span(descending).subspan(past), equal))
            return std::nullopt;
        return initial;
    }
    return std::nullopt;
}

milliseconds requestAge(std::optional<milliseconds> initial, milliseconds remaining)
{
    if (!initial || isFirstAttempt(*initial, remaining))
        return milliseconds { 0 };
    return *initial - remaining;
}

void request_ages::record(
    std::string_view route, milliseconds routeTimeout, milliseconds remaining, steady_time now)
{
    auto& history = m_routes[std::string(route)];
    history.recent.push_back(remaining);
    if (history.recent.size() > windowSize) {
        history.windowFull = true;
        history.recent.pop_front();
    }
    const std::vector<milliseconds> recent(history.recent.begin(), history.recent.end());
    if (const auto initial = initialCallerTime(recent, routeTimeout, history.windowFull)) {
        history.initial = initial;
        history.confirmed = now;
        return;
    }
    if (history.initial && contradicted(recent, *history.initial))
        history.initial.reset();
}

milliseconds request_ages::ageOf(std::string_view route, milliseconds remaining, steady_time now) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end() || now - found->second.confirmed > confirmationRetention)
        return milliseconds { 0 };
    return requestAge(found->second.initial, remaining);
}

} // namespace yuccachute
