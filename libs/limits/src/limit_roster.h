#pragma once

#include "limits/limits.h"

#include <set>

namespace yuccachute {

/// Who owns which part of the limits, as far as this process knows. All processes' parts add up to one at
/// most: who is not registered any more keeps its part for as long as it is on record, and who is new owns
/// none before the others count it.
class limit_roster {
public:
    explicit limit_roster(std::string vm);

    void setMembers(std::span<const limit_member> members, steady_time now);
    void setStoreReachable(bool reached, steady_time now);
    void leave() { m_leaving = true; }
    /// A process that is heard may own a part, also if the list does not name it: its registration may have
    /// lapsed while it was cut off.
    void heard(const std::string& vm, steady_time now);
    /// Whom this process has heard lately, to be told to the others; only members that grant hear all others.
    reachability_report reachability(steady_time now);
    /// What another process says of whom it hears.
    void noteSurvey(const reachability_report& reachability, steady_time now);
    /// A member has said that it counts this process.
    void confirmed(std::string_view vm);
    bool lacksConfirmation(std::string_view vm) const;

    bool knowsSelf() const { return m_members.contains(m_vm); }
    std::size_t size() const { return m_members.size(); }
    /// Availability zones of the members.
    std::size_t zones() const;
    /// What this process owns of each limit, from 0 to 1. No loan of its former life is valid any more
    /// `loanTime` after its start.
    double ownPart(milliseconds loanTime, steady_time now);
    /// Members that are taken for ended since the last call, though their record is still there.
    std::vector<std::string> takeLost();
    /// Whether this process has started a moment ago.
    bool isNew(steady_time now) const;
    /// Whether members are still to be asked if they count this process.
    bool starting(steady_time now) const;

private:
    struct member_state {
        std::string zone;
        steady_time lastHeard; ///< By this process.
        /// When it was last registered, or heard by this process or one that it hears.
        steady_time lastKnown;
        bool registered = false;
        bool recorded = false; ///< It is in the list.
        std::optional<steady_time> goneSince; ///< It has left, or its record was removed.
        double share = 0; ///< That it owns while it counts in full.
        bool countsThis = false; ///< It has said so.
    };

    void setMember(const limit_member& listed, steady_time now);
    void forget(milliseconds loanTime, steady_time now);
    void noteSeen(steady_time now);
    bool isRegistered() const;
    bool countsInFull(std::string_view vm, const member_state& member, steady_time now) const;
    /// Whether others may count this process as absent.
    bool mayCountAsAbsent(steady_time now) const;

    std::string m_vm;
    std::map<std::string, member_state, std::less<>> m_members; ///< By VM.
    std::set<std::string, std::less<>> m_left; ///< Members that are going to stop, or have.
    std::vector<std::string> m_lost;
    bool m_leaving = false;
    bool m_storeReached = true;
    std::optional<steady_time> m_started; ///< When this process first heard of members.
    std::optional<steady_time> m_registeredSince;
    /// When it was last known that most members hear each other, this one among them.
    steady_time m_hearsMostAt;
    steady_time m_lastSeen; ///< When the others last saw this process in the list, as far as it knows.
};

} // namespace yuccachute
