#pragma once

#include "node/node.h"

#include <set>
#include <thread>

namespace yuccachute {

/// Runs the target groups that this entry is dispatcher of: takes asks from sessions, ticks the groups, polls
/// their targets' load. Thread-safe.
class dispatcher_host {
public:
    /// Address of the entry that is responsible for a group; empty if that is this one.
    using ownership = std::function<std::string(const group_description& group)>;

    dispatcher_host(const settings_cell& settings, std::string zone, ownership owner);
    ~dispatcher_host();

    void sessionOpened(std::uint64_t session, std::function<void(envelope)> send);
    void sessionReceived(std::uint64_t session, envelope message);
    void sessionClosed(std::uint64_t session);

    /// Takes over changed settings.
    void settingsChanged();

    /// Figures of every group here, by name.
    std::map<std::string, group_summary> summaries() const;

private:
    struct hosted_group;

    std::shared_ptr<hosted_group> findGroup(const std::string& name);
    std::vector<std::shared_ptr<hosted_group>> allGroups() const;
    /// Sends what the group has decided. Returns whether an ask of a session was among it.
    bool deliver(hosted_group& group, std::uint64_t session = 0, std::uint64_t slotRequestId = 0);
    void tick();
    void pollTargets(hosted_group& group);
    void ask(std::uint64_t session, ask_message message, envelope& answer);

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
