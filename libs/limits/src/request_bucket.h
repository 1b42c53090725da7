#pragma once

#include "limits/limits.h"

namespace yuccachute {

/// The tokens that a process may grant to one customer: they flow in by the part of the limit that the
/// process holds, up to that part of the capacity.
class request_bucket {
public:
    request_bucket(const request_limit& limit, const limit_bounds& bounds, double share, steady_time now);

    void setLimit(const request_limit& limit);
    const request_limit& limit() const { return m_limit; }
    /// What is in it beyond the new part's capacity is gone.
    void setPart(double share, steady_time now);
    void advance(steady_time now);

    double level() const { return m_level; }
    double capacity() const { return fullCapacity() * m_part + m_roomSum; }
    /// Of the whole limit.
    double fullCapacity() const { return m_limit.burst + tolerance(); }
    /// By how much requests that have begun elsewhere may overdraw it.
    double credit() const;
    /// What a process that knows nothing of earlier grants may grant of the whole limit.
    double startLevel() const;
    void add(double tokens);
    void remove(double tokens) { m_level -= tokens; }
    /// Capacity that was taken over from another process, or given to it if it is negative.
    void addRoom(double tokens, steady_time until);

    steady_time promisedUntil; ///< When the last one that was refused was told to come back.
    bool asked = false; ///< For tokens, since the others were last told.
    steady_time lastTake;
    steady_time othersLowAt; ///< When another process last said that it runs low.

private:
    struct room {
        double tokens;
        steady_time until;
    };

    /// Requests above the limit that are granted all the same.
    double tolerance() const;
    double slack() const;
    void sumRooms();
    void dropExcess();

    request_limit m_limit;
    limit_bounds m_bounds;
    double m_part;
    std::vector<room> m_rooms;
    double m_roomSum = 0;
    double m_level = 0;
    steady_time m_updated;
};

} // namespace yuccachute
