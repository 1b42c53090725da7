#include "item_lengths.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// Number of items over which the mean is taken: enough to average out their differences, and few enough to
/// follow a change within a few jobs.
constexpr unsigned itemsAveraged = 30;
/// Events assumed to be left of an item that is longer than the mean.
constexpr double minRemainingEvents = 5;
/// Bounds the memory if routes are renamed again and again. Further routes have no figures.
constexpr std::size_t maxRoutes = 1000;

} // namespace

void item_lengths::record(std::string_view route, std::size_t events)
{
    if (events == 0)
        return;
    auto known = m_means.find(route);
    if (known == m_means.end()) {
        if (m_means.size() >= maxRoutes)
            return;
        known = m_means.emplace(route, mean {}).first;
    }
    auto& [average, items] = known->second;
    items = std::min(items + 1, itemsAveraged);
    average += (static_cast<double>(events) - average) / items;
}

double item_lengths::remaining(std::string_view route, std::size_t produced) const
{
    const auto known = m_means.find(route);
    if (known == m_means.end())
        return 0;
    return std::max(known->second.events - static_cast<double>(produced), minRemainingEvents);
}

} // namespace yuccachute
