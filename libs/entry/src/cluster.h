#pragma once

#include "node/node.h"
#include "store/store.h"

#include <random>

namespace yuccachute {

/// Membership and settings of one entry: gossips with peers, watches the store if it is one of the zone's
/// watchers, and takes newer settings from whoever has them. Thread-safe.
class cluster {
public:
    cluster(const process_options& options, rpc_client& client, config_store& store, settings_cell& settings,
        std::function<void()> settingsChanged);
    ~cluster();

    /// Addresses of the entries responsible for a group, the first one first.
    std::vector<std::string> owners(const std::string& group, const std::string& zone) const;
    /// Address of the entry responsible for a group of this zone; empty if that is this one.
    std::string ownerElsewhere(const std::string& group) const;
    /// Address of a batch process of this zone, or of another zone if it has none.
    std::vector<std::string> batchAddresses(const std::string& key) const;

    void reportUnreachable(const std::string& address);
    gossip_message gossip(const gossip_message& news);
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
    /// Takes a tree or an update into force if it is newer.
    template <typename Settings> void offerSettings(Settings settings);
    void forgetSilentProcesses(steady_time now);
    void updateOthersVersion();
    bool isWatcher() const;
    void keepWatch();
    void readStore();

    process_options m_options;
    rpc_client& m_client;
    config_store& m_store;
    settings_cell& m_settings;
    std::function<void()> m_settingsChanged;
    mutable std::mutex m_mutex;
    membership m_members;
    steady_time m_batchSeen;
    steady_time m_adminSeen;
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
