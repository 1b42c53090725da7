#include "request_bucket.h"

#include <algorithm>

namespace yuccachute {

namespace {

// Shares of what may be granted beyond the limit. With the credit of a full bucket they add up to less than
// one: a full bucket, a restart of all processes and an overdraft may come in one window.
constexpr double toleratedShare = 0.6; ///< Small customers' requests come in clusters.
constexpr double shareAtStart = 0.25;
constexpr double creditShare = 0.1; ///< For requests that have begun.

} // namespace

request_bucket::request_bucket(
    const request_limit& limit, const limit_bounds& bounds, double share, steady_time now)
    : m_limit(limit)
    , m_bounds(bounds)
    , m_part(share)
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
    return toleratedShare * slack();
}

double request_bucket::startLevel() const
{
    return shareAtStart * slack();
}

double request_bucket::credit() const
{
    return creditShare * slack() * m_part;
}

void request_bucket::setLimit(const request_limit& limit)
{
    m_limit = limit;
    dropExcess();
}

void request_bucket::setPart(double share, steady_time now)
{
    advance(now);
    m_part = share;
    dropExcess();
}

void request_bucket::advance(steady_time now)
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - m_updated).count());
    m_updated = std::max(now, m_updated);
    add(m_limit.perSecond * m_part * seconds);
    if (std::erase_if(m_rooms, [&](const room& one) { return one.until <= now; }) > 0)
        sumRooms();
}

void request_bucket::addRoom(double tokens, steady_time until)
{
    m_rooms.push_back({ tokens, until });
    sumRooms();
}

void request_bucket::sumRooms()
{
    m_roomSum = 0;
    for (const auto& one : m_rooms)
        m_roomSum += one.tokens;
    dropExcess();
}

void request_bucket::dropExcess()
{
    m_level = std::min(m_level, capacity());
}

void request_bucket::add(double tokens)
{
    m_level = std::max(m_level, std::min(capacity(), m_level + tokens));
}

} // namespace yuccachute
