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

/// Who takes part: heartbeat gossip between the entries, decided as a pure function of events and time.
/// Layer: coordination. No I/O.
namespace yuccachute {

enum class member_state : std::uint8_t {
    alive,
    suspect, ///< No new heartbeat for a while; still counted, but not preferred.
    leaving, ///< Announced its graceful shutdown; owns nothing any more.
    dead ///< Silent for long, or gone after leaving.
};

std::string_view toString(member_state state);

/// What one VM's entry says of itself.
struct member_info {
    std::string vm; ///< Unique name of the VM.
    std::string zone;
    std::string address; ///< host:port of its entry, for other processes.
    std::string batchAddress; ///< host:port of its batch process; empty while there is none.
    std::string adminAddress; ///< host:port of its administration API; empty while there is none.
    std::uint64_t incarnation = 0; ///< Start time of the process in ms since 1970: a restart is a newer life.
    std::uint64_t heartbeat = 0; ///< Grows by one each period.
    bool leaving = false;
    std::int64_t settingsVersion = 0; ///< Version of the settings that its entry has in force.
    /// Lowest version in force in the VM's other processes; 0 while there are none.
    std::int64_t otherProcessesVersion = 0;

    /// Version in force in every process of the VM.
    std::int64_t versionInForce() const
    {
        return otherProcessesVersion == 0 || otherProcessesVersion > settingsVersion ? settingsVersion
                                                                                     : otherProcessesVersion;
    }
};

/// What changes of a member from one heartbeat to the next, in a few bytes. Whoever does not know the rest,
/// or knows another one by the fingerprint, asks for the whole.
struct member_heartbeat {
    std::uint32_t id = 0; ///< Hash of the VM's name.
    std::uint32_t fingerprint = 0; ///< 16 bits over incarnation and addresses.
    std::uint64_t heartbeat = 0;
    std::int64_t settingsVersion = 0;
    std::int64_t otherProcessesVersion = 0;
    bool leaving = false;
};

member_heartbeat heartbeatOf(const member_info& member);

/// A member with what this process thinks of it.
struct member_view {
    member_info info;
    member_state state = member_state::alive;
    steady_time lastNews; ///< When its heartbeat last grew, by this process's clock.
};

/// Times of the failure detector.
struct membership_options {
    milliseconds suspectAfter { 3000 };
    milliseconds deadAfter { 8000 };
    milliseconds forgetAfter { 60000 };
};

/// The view of one process. Not thread-safe.
class membership {
public:
    membership(member_info self, membership_options options, steady_time now);

    /// Advances the own heartbeat and the states of silent members.
    void tick(steady_time now);

    /// Takes over news about members. News about this process's earlier life or a rumour of its death raises
    /// its own heartbeat above it. Returns whether any state changed.
    bool merge(std::span<const member_info> news, steady_time now);

    /// Takes over heartbeats. Returns the ids of members whose whole information is wanted.
    std::vector<std::uint32_t> mergeHeartbeats(std::span<const member_heartbeat> notes, steady_time now);

    /// A connection to that member broke: it is suspected at once, until its next heartbeat.
    void reportUnreachable(std::string_view vm, steady_time now);

    /// Announces the own graceful shutdown.
    void leave();

    // What changes counts as a heartbeat: peers take over nothing that is not newer than what they know.
    void setSettingsVersion(std::int64_t version) { change(m_self.settingsVersion, version); }
    void setOtherProcessesVersion(std::int64_t version) { change(m_self.otherProcessesVersion, version); }
    void setBatchAddress(std::string address) { change(m_self.batchAddress, std::move(address)); }
    void setAdminAddress(std::string address) { change(m_self.adminAddress, std::move(address)); }

    const member_info& self() const { return m_self; }

    /// Every member known, this process included, dead ones until they are forgotten.
    std::vector<member_view> view() const;

    /// What to send to peers: every member that is not dead.
    std::vector<member_info> digest() const;

    /// Members of a zone that take work: alive, or suspect if that leaves none alive.
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

/// Returns the members in the order in which they are responsible for a key, by rendezvous hashing: when one
/// of n members goes, only its own share of about 1/n of the keys moves.
std::vector<member_info> rankMembers(std::string_view key, std::span<const member_info> members);

/// 64-bit hash used for rendezvous and prefixes.
std::uint64_t hashText(std::string_view text, std::uint64_t seed = 0);

/// Items that have a name `vm`, by rendezvous hashing within classes: those of a greater class first. The
/// class is any value that can be compared. The pointers are into the span.
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
