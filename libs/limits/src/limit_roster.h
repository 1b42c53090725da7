#pragma once

#include "limits/limits.h"

#include <set>

namespace yuccachute {

/// Tracks which member owns which share of the limits, as far as this process knows. All owned shares add up
/// to at most one: a member whose registration has lapsed keeps its share while its record exists, and a new
/// member owns nothing until the others count it.
class limit_roster {
public:
    explicit limit_roster(std::string vm);

    void setMembers(std::span<const limit_member> members, steady_time now);
    void setStoreReachable(bool reachable, steady_time now);
    void leave() { m_leaving = true; }
    /// Records that a message of a process has arrived. The process may own a share even if the member list
    /// does not contain it: its registration may have lapsed during a network partition.
    void recordContact(const std::string& vm, steady_time now);
    /// From whom this process has received messages lately, for the other members. Only meaningful for a
    /// granting process, because only that receives messages from all others.
    reachability_report reachability(steady_time now);
    /// Takes over another process's report.
    void recordReport(const reachability_report& report, steady_time now);
    /// Records a member's confirmation that it counts this process.
    void recordConfirmation(std::string_view vm);
    bool lacksConfirmation(std::string_view vm) const;

    bool includesSelf() const { return m_members.contains(m_vm); }
    std::size_t size() const { return m_members.size(); }
    /// Number of availability zones of the members.
    std::size_t zones() const;
    /// The share of each limit that this process owns, from 0 to 1. Loans that it granted before a restart
    /// have expired `loanDuration` after its start.
    double ownShare(milliseconds loanDuration, steady_time now);
    /// Returns the members that have been treated as terminated since the last call while their record still
    /// exists.
    std::vector<std::string> takeExpired();
    /// Whether this process has started less than `startupTime` ago.
    bool isStarting(steady_time now) const;
    /// Whether this process is starting and lacks the confirmation of some member.
    bool needsConfirmations(steady_time now) const;

private:
    struct member_state {
        std::string zone;
        steady_time lastReceived; ///< When this process last received a message from it.
        /// When it was last registered, or reachable from this process or from a peer that reported it.
        steady_time lastKnownAlive;
        bool registered = false;
        bool hasRecord = false; ///< Whether the member list contains it.
        std::optional<steady_time> removedSince; ///< When it left or its record was removed.
        double share = 0; ///< The share that it owned when it last owned a full one.
        bool countsSelf = false; ///< Whether it is known to count this process as a member.
    };

    void setMember(const limit_member& listed, steady_time now);
    void removeExpired(milliseconds loanDuration, steady_time now);
    void updateLastListed(steady_time now);
    bool isRegistered() const;
    bool ownsFullShare(std::string_view vm, const member_state& member, steady_time now) const;
    /// Whether other members may consider this process absent.
    bool mayBeConsideredAbsent(steady_time now) const;

    std::string m_vm;
    std::map<std::string, member_state, std::less<>> m_members; ///< By VM.
    std::set<std::string, std::less<>> m_departed; ///< Members that are stopping or have stopped.
    std::vector<std::string> m_expired;
    bool m_leaving = false;
    bool m_storeReachable = true;
    std::optional<steady_time> m_startedAt; ///< When this process received its first member list.
    std::optional<steady_time> m_registeredSince;
    /// When this process was last known to be part of a majority of members that reach each other.
    steady_time m_majorityAt;
    steady_time m_lastListed; ///< When the other members last saw this process in the list, as far as known.
};

} // namespace yuccachute
