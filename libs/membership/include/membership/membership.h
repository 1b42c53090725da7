#pragma once

#include "verdict/verdict.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Membership of the entries by heartbeat gossip, as pure logic driven by events and time.
/// Layer: coordination. No I/O.
namespace yuccachute {

enum class member_state : std::uint8_t {
    alive,
    suspect, ///< No new heartbeat for some time; used only if no member is alive.
    leaving, ///< Has announced its graceful shutdown; owns no keys any more.
    dead ///< No heartbeat for a long time, also after leaving.
};

std::string_view toString(member_state state);

/// Information that the entry of a VM publishes about itself.
struct member_info {
    std::string vm; ///< Unique name of the VM.
    std::string zone;
    std::string address; ///< host:port at which other processes reach its entry.
    std::string batchAddress; ///< host:port of its batch process; empty while there is none.
    std::string adminAddress; ///< host:port of its administration API; empty while there is none.
    std::uint64_t incarnation = 0; ///< Start time of the process in ms since 1970; greater after a restart.
    std::uint64_t heartbeat = 0; ///< Incremented once per period and with each change.
    bool leaving = false;
    std::int64_t settingsVersion = 0; ///< Settings version in force in its entry.
    /// Lowest settings version in force in the VM's other processes; 0 while there are none.
    std::int64_t otherProcessesVersion = 0;

    /// Settings version in force in all processes of the VM: the lower of the two.
    std::int64_t versionInForce() const
    {
        return otherProcessesVersion == 0 || otherProcessesVersion > settingsVersion ? settingsVersion
                                                                                     : otherProcessesVersion;
    }
};

/// Compact form of a member with the fields that change from one heartbeat to the next. A receiver that does
/// not know the member, or knows it with another fingerprint, requests the full information.
struct member_heartbeat {
    std::uint32_t id = 0; ///< Hash of the VM's name.
    std::uint32_t fingerprint = 0; ///< 16-bit hash of incarnation, zone and addresses.
    std::uint64_t heartbeat = 0;
    std::int64_t settingsVersion = 0;
    std::int64_t otherProcessesVersion = 0;
    bool leaving = false;
};

member_heartbeat heartbeatOf(const member_info& member);

/// A member and its state as seen by this process.
struct member_view {
    member_info info;
    member_state state = member_state::alive;
    steady_time lastHeartbeatTime; ///< When its heartbeat last increased, by this process's clock.
};

/// Timeouts of the failure detector.
struct membership_options {
    milliseconds suspectAfter { 3000 };
    milliseconds deadAfter { 8000 };
    milliseconds forgetAfter { 60000 };
};

/// The membership as seen by one process. Not thread-safe.
class membership {
public:
    membership(member_info self, membership_options options, steady_time now);

    /// Increments the own heartbeat and updates the states of members by the age of their heartbeats.
    void tick(steady_time now);

    /// Merges received information about members. If it contains a higher incarnation of this process's own
    /// VM, the own incarnation is raised above it. Returns whether a member was added, changed its state or
    /// its batch or administration address, or the own incarnation was raised.
    bool merge(std::span<const member_info> updates, steady_time now);

    /// Merges heartbeats. Returns the ids of the members whose full information has to be requested.
    std::vector<std::uint32_t> mergeHeartbeats(std::span<const member_heartbeat> heartbeats, steady_time now);

    /// A connection to that member broke. It becomes suspect at once, until its next heartbeat.
    void reportUnreachable(std::string_view vm, steady_time now);

    /// Announces the graceful shutdown of this process.
    void leave();

    // A change increments the heartbeat, because peers ignore information that is not newer than theirs.
    void setSettingsVersion(std::int64_t version) { change(m_self.settingsVersion, version); }
    void setOtherProcessesVersion(std::int64_t version) { change(m_self.otherProcessesVersion, version); }
    void setBatchAddress(std::string address) { change(m_self.batchAddress, std::move(address)); }
    void setAdminAddress(std::string address) { change(m_self.adminAddress, std::move(address)); }

    const member_info& self() const { return m_self; }

    /// All known members, including this process, and dead ones until `forgetAfter`.
    std::vector<member_view> view() const;

    /// Information to send to peers: all members that are not dead.
    std::vector<member_info> digest() const;

    /// Members of a zone that may own keys: those alive, or the suspect ones if none is alive.
    std::vector<member_info> eligibleMembers(std::string_view zone) const;

private:
    template <typename Value> void change(Value& field, Value value)
    {
        if (field == value)
            return;
        field = std::move(value);
        ++m_self.heartbeat;
    }

    member_info m_self;
    membership_options m_options;
    std::map<std::string, member_view, std::less<>> m_others;
};

/// Returns the members in order of responsibility for a key, by rendezvous hashing: when one of n members is
/// removed, only the keys that it owned move, about 1/n of all.
std::vector<member_info> rankMembers(std::string_view key, std::span<const member_info> members);

/// 64-bit hash for rendezvous hashing and prompt prefixes.
std::uint64_t hashText(std::string_view text, std::uint64_t seed = 0);

/// Ranks items, which have a name `vm`, by class in descending order and by rendezvous hashing within each
/// class. A class is any comparable value. The returned pointers refer to elements of the span.
template <typename Item, typename ClassOf>
std::vector<const Item*> rankByHash(std::span<const Item> items, std::uint64_t seed, ClassOf classOf)
{
    struct ranked {
        decltype(classOf(items.front())) itemClass;
        std::uint64_t score;
        const Item* item;
    };
    std::vector<ranked> order;
    order.reserve(items.size());
    for (const auto& item : items)
        order.push_back({ classOf(item), hashText(item.vm, seed), &item });
    std::sort(order.begin(), order.end(), [](const auto& left, const auto& right) {
        if (left.itemClass != right.itemClass)
            return left.itemClass > right.itemClass;
        return left.score != right.score ? left.score > right.score : left.item->vm < right.item->vm;
    });
    std::vector<const Item*> result;
    result.reserve(order.size());
    for (const auto& entry : order)
        result.push_back(entry.item);
    return result;
}

} // namespace yuccachute
