#include "messages/messages.h"

#include <iterator>

namespace yuccachute {

namespace {

template <typename Container> void append(Container& to, Container&& from)
{
    to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
}

} // namespace

bool envelope::empty() const
{
    return asks.empty() && grants.empty() && refusals.empty() && moved.empty() && revokes.empty()
        && releases.empty() && withdrawals.empty() && limits.empty() && origins.empty()
        && originQueries.empty() && originAnswers.empty();
}

void envelope::add(envelope other)
{
    append(asks, std::move(other.asks));
    append(grants, std::move(other.grants));
    append(refusals, std::move(other.refusals));
    append(moved, std::move(other.moved));
    append(revokes, std::move(other.revokes));
    append(releases, std::move(other.releases));
    append(withdrawals, std::move(other.withdrawals));
    append(limits, std::move(other.limits));
    append(origins, std::move(other.origins));
    append(originQueries, std::move(other.originQueries));
    append(originAnswers, std::move(other.originAnswers));
}

} // namespace yuccachute
