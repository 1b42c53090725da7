#include "origins/origins.h"

namespace yuccachute {

void origin_table::dropFirst()
{
    const auto first = m_expiries.begin();
    m_records.erase(first->second);
    m_expiries.erase(first);
}

void origin_table::record(const stream_origin& origin, steady_time until, steady_time now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now)
        dropFirst();
    if (until <= now)
        return;
    const auto known = m_records.find(origin.streamId);
    if (known != m_records.end()) {
        if (known->second.expiry->first >= until)
            return;
        m_expiries.erase(known->second.expiry);
        known->second.expiry = m_expiries.emplace(until, origin.streamId);
        return;
    }
    m_records.emplace(origin.streamId, entry { origin, m_expiries.emplace(until, origin.streamId) });
    if (m_records.size() > m_maxRecords)
        dropFirst();
}

std::optional<stream_origin> origin_table::find(std::string_view streamId, steady_time now) const
{
    const auto known = m_records.find(streamId);
    if (known == m_records.end() || known->second.expiry->first <= now)
        return std::nullopt;
    return known->second.origin;
}

} // namespace yuccachute
