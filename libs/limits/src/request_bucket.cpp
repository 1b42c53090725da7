#include "request_bucket.h"

#include <algorithm>

namespace yuccachute {

namespace {

// Fractions of the requests that may be granted beyond the limit. Their sum must stay below one, because a
// full bucket, a restart of all processes and an overdraft may fall into the same window.
constexpr double toleranceFraction = 0.6; ///< Requests of small customers arrive in clusters.
constexpr double startFraction = 0.25;
constexpr double creditFraction = 0.1; ///< For continuations of requests.

} // namespace

request_bucket::request_bucket(
    const request_limit& limit, const limit_bounds& bounds, double share, steady_time now)
    : windowDemand(bounds.window)
    , m_limit(limit)
    , m_bounds(bounds)
    , m_share(share)
    , m_updated(now)
{
    add(startLevel() * share);
}

double request_bucket::slack() const
{
    return m_bounds.slack + m_bounds.overshootOf(m_limit);
}

double request_bucket::tolerance() const
{
    return toleranceFraction * slack();
}

double request_bucket::startLevel() const
{
    return startFraction * slack();
}

double request_bucket::credit() const
{
    return creditFraction * slack() * m_share;
}

void request_bucket::setLimit(const request_limit& limit)
{
    m_limit = limit;
    discardExcess();
}

void request_bucket::setShare(double share, steady_time now)
{
    advance(now);
    m_share = share;
    discardExcess();
}

void request_bucket::advance(steady_time now)
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - m_updated).count());
    m_updated = std::max(now, m_updated);
    add(m_limit.perSecond * m_share * seconds);
    if (std::erase_if(m_capacityLoans, [&](const capacity_loan& loan) { return loan.until <= now; }) > 0)
        sumCapacityLoans();
}

void request_bucket::addCapacityLoan(double tokens, steady_time until)
{
    m_capacityLoans.push_back({ tokens, until });
    sumCapacityLoans();
}

void request_bucket::sumCapacityLoans()
{
    m_loanedCapacity = 0;
    for (const auto& loan : m_capacityLoans)
        m_loanedCapacity += loan.tokens;
    discardExcess();
}

void request_bucket::discardExcess()
{
    m_level = std::min(m_level, capacity());
}

void request_bucket::add(double tokens)
{
    m_level = std::max(m_level, std::min(capacity(), m_level + tokens));
}

} // namespace yuccachute
