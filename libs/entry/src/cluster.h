#pragma once

#include "node/node.h"
#include "store/store.h"

#include <random>

namespace yuccachute {

/// Membership and settings of one entry. Gossips with its peers, watches the settings in the store if it is
/// one of its zone's watchers, and pulls newer settings from any peer that has them. Thread-safe.
class cluster {
public:
    cluster(const process_options& options, rpc_client& client, config_store& store, settings_cell& settings,
        std::function<void()> settingsChanged);
    ~cluster();

    /// Addresses of the entries that can own a group; the first one is its owner, the others are its
    /// successors.
    std::vector<std::string> owners(const std::string& group, const std::string& zone) const;
    /// Address of the entry that owns a group of this zone, or an empty string if it is this one.
    std::string ownerElsewhere(const std::string& group) const;
    /// Addresses of batch processes, ranked for `key`: those of this zone before those of other zones.
    std::vector<std::string> batchAddresses(const std::string& key) const;

    void reportUnreachable(const std::string& address);
    gossip_message gossip(const gossip_message& request);
    follow_reply follow(const follow_request& request);
    std::vector<member_view> view() const;

    /// Announces the graceful shutdown to the peers.
    void leave();

private:
    std::vector<member_info> digestFor(std::string_view zone) const;
    gossip_message describe(std::string_view zone) const;
    std::vector<member_info> wantedMembers(std::span<const std::uint32_t> ids) const;
    void round();
    void exchange(const std::string& address, std::string_view zone);
    std::vector<std::pair<std::string, std::string>> pickPeers();
    void pullFromNewest();
    /// Applies a settings tree or update if it is newer than the current settings.
    template <typename Settings> void applyIfNewer(Settings settings);
    void dropUnresponsiveProcesses(steady_time now);
    void updateOtherProcessesVersion();
    bool isWatcher() const;
    void maintainWatch();
    void readStore();

    process_options m_options;
    rpc_client& m_client;
    config_store& m_store;
    settings_cell& m_settings;
    std::function<void()> m_settingsChanged;
    mutable std::mutex m_mutex;
    membership m_members;
    steady_time m_batchLastSeen;
    steady_time m_adminLastSeen;
    std::int64_t m_batchVersion = 0;
    std::int64_t m_adminVersion = 0;
    std::mt19937_64 m_random;
    std::uint64_t m_rounds = 0;
    std::atomic<bool> m_storeChanged { true };
    std::atomic<bool> m_watchBroken { true };
    std::unique_ptr<store_watch> m_watch;
    std::unique_ptr<periodic_thread> m_storeThread;
    std::unique_ptr<periodic_thread> m_gossipThread;
};

} // namespace yuccachute
