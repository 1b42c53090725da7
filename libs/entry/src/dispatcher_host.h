#pragma once

#include "node/node.h"

#include <set>
#include <thread>

namespace yuccachute {

/// Hosts the target groups for which this entry is the dispatcher: processes the slot requests of sessions,
/// calls tick() of the groups and polls the load of their targets. Thread-safe.
class dispatcher_host {
public:
    /// Returns the address of the entry that owns a group, or an empty string if it is this one.
    using ownership = std::function<std::string(const group_description& group)>;

    dispatcher_host(const settings_cell& settings, std::string zone, ownership owner);
    ~dispatcher_host();

    void sessionOpened(std::uint64_t session, std::function<void(envelope)> send);
    void sessionReceived(std::uint64_t session, envelope message);
    void sessionClosed(std::uint64_t session);

    /// Applies the current settings to the hosted groups.
    void settingsChanged();

    /// Summaries of all hosted groups, by name.
    std::map<std::string, group_summary> summaries() const;

private:
    struct hosted_group;

    std::shared_ptr<hosted_group> findGroup(const std::string& name);
    std::vector<std::shared_ptr<hosted_group>> allGroups() const;
    /// Sends the pending decisions of a group to their sessions. Returns whether the slot request
    /// `slotRequestId` of `session` was among those decided.
    bool deliver(hosted_group& group, std::uint64_t session = 0, std::uint64_t slotRequestId = 0);
    void tick();
    void pollTargets(hosted_group& group);
    void requestSlot(std::uint64_t session, ask_message message, envelope& answer);

    const settings_cell& m_settings;
    std::string m_zone;
    ownership m_owner;
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<hosted_group>, std::less<>> m_groups;
    std::mutex m_sessionMutex;
    std::map<std::uint64_t, std::function<void(envelope)>> m_sessions;
    std::unique_ptr<periodic_thread> m_ticker;
};

} // namespace yuccachute
