#include "limits/limits.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// Of what may be granted beyond the limit, the part that customers get: a small customer's requests come in
/// clusters that a bucket of one second's worth would refuse. The rest covers what processes have not heard
/// of each other yet, which grows with what a customer sends.
constexpr double toleratedShareOfSlack = 0.5;
constexpr double toleratedShareOfOvershoot = 0.25;
/// Of that, what a process may grant at its start, when it does not know what was granted before.
constexpr double shareAtStart = 0.5;

} // namespace

request_bucket::request_bucket(const request_limit& limit, const limit_bounds& bounds, steady_time now)
    : m_limit(limit)
    , m_bounds(bounds)
    , m_updated(now)
{
    m_level = shareAtStart * tolerance();
}

double request_bucket::tolerance() const
{
    return toleratedShareOfSlack * m_bounds.slack + toleratedShareOfOvershoot * m_bounds.overshootOf(m_limit);
}

void request_bucket::setLimit(const request_limit& limit)
{
    m_limit = limit;
    m_level = std::min(m_level, capacity() * m_part - m_heldBack);
}

void request_bucket::advance(double part, double freshShare, steady_time now)
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - m_updated).count());
    m_updated = std::max(now, m_updated);
    const double most = capacity() * m_part;
    const double flow = std::max(0.0, std::min(most - level(), m_limit.perSecond * m_part * seconds));
    const double heldShare = m_part > 0 ? m_heldPart / m_part : 0;
    m_level += flow * (1 - heldShare);
    m_heldBack += flow * heldShare;
    changePart(part);
    holdBack(part * (1 - freshShare));
}

void request_bucket::deduct(double tokens)
{
    m_level -= tokens;
    const double fromHeld = std::clamp(-m_level, 0.0, m_heldBack);
    m_heldBack -= fromHeld;
    m_level += fromHeld;
}

/// Who is cut off takes along its part of what is left; a debt stays where it is known. It was not heard for
/// a while before: what it takes has been held back.
void request_bucket::changePart(double part)
{
    const double change = part - m_part;
    if (change > 0 && m_part > 0)
        m_heldBack += std::max(0.0, level()) * change / m_part;
    const double fromHeld = std::min(std::max(0.0, -change), m_heldPart);
    if (fromHeld > 0)
        m_heldBack *= 1 - fromHeld / m_heldPart;
    const double fromUsable = std::max(0.0, -change) - fromHeld;
    if (fromUsable > 0 && m_level > 0)
        m_level *= 1 - fromUsable / (m_part - m_heldPart);
    m_heldPart += change > 0 ? change : -fromHeld;
    m_part = part;
}

void request_bucket::holdBack(double heldPart)
{
    const double more = heldPart - m_heldPart;
    if (more > 0 && m_level > 0) {
        const double moved = m_level * more / (m_part - m_heldPart);
        m_level -= moved;
        m_heldBack += moved;
    }
    if (more < 0) {
        const double back = m_heldBack * -more / m_heldPart;
        m_level += back;
        m_heldBack -= back;
    }
    m_heldPart = heldPart;
}

} // namespace yuccachute
