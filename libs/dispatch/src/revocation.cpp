#include "revocation.h"

#include <algorithm>
#include <tuple>

namespace yuccachute {

namespace {

/// A live request waits at most this fraction of the time until its deadline for a slot that is expected to
/// become free: with an objective of 300 ms 25 ms, about the time to the first event of an idle target.
constexpr int waitDivisor = 10;
/// An item is nearly done if less than this fraction of its work is left.
constexpr int nearlyDoneDivisor = 5;

bool nearlyDone(const revocable_item& item)
{
    return item.remaining * nearlyDoneDivisor < item.remaining + item.worked;
}

bool lateAnyway(const revocable_item& item, steady_time now)
{
    return item.due <= now || (item.known && item.urgency == item_urgency::late);
}

} // namespace

steady_time latestGrantTime(const slot_request& live, steady_time since)
{
    if (live.deadline <= since)
        return since;
    return since + (live.deadline - since) / waitDivisor;
}

steady_time immediateWaitEnd(const slot_request& live, steady_time since)
{
    return since + 2 * (latestGrantTime(live, since) - since);
}

std::size_t revocationsNeeded(
    std::vector<steady_time> latest, std::vector<steady_time> releases, steady_time now)
{
    std::sort(latest.begin(), latest.end());
    std::sort(releases.begin(), releases.end());
    // A release that was expected earlier is overdue, and nothing tells when it comes.
    auto release = std::upper_bound(releases.begin(), releases.end(), now);
    std::size_t needed = 0;
    for (const auto time : latest) {
        if (release != releases.end() && *release <= time)
            ++release;
        else
            ++needed;
    }
    return needed;
}

void orderForRevocation(std::span<revocable_item> items, steady_time now)
{
    const auto rank = [now](const revocable_item& item) {
        if (lateAnyway(item, now))
            return 0;
        if (!item.known)
            return 1;
        return item.urgency == item_urgency::at_risk ? 3 : 2;
    };
    std::stable_sort(
        items.begin(), items.end(), [&](const revocable_item& left, const revocable_item& right) {
            const int leftRank = rank(left);
            if (leftRank != rank(right))
                return leftRank < rank(right);
            if (!left.known || !right.known)
                return left.known != right.known ? right.known : left.due > right.due;
            return std::tuple(nearlyDone(left), left.worked) < std::tuple(nearlyDone(right), right.worked);
        });
}

revocation_reason reasonOf(const revocable_item& item, steady_time now)
{
    if (lateAnyway(item, now))
        return revocation_reason::late_anyway;
    if (!item.known)
        return revocation_reason::no_figures;
    return item.urgency == item_urgency::at_risk ? revocation_reason::at_risk
                                                 : revocation_reason::can_end_in_time;
}

} // namespace yuccachute
