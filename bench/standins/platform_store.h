#pragma once

#include "event_loop/event_loop.h"
#include "http/http.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>

/// Stand-in of the users' platform's store, as its pages describe it, with faults.
namespace yuccachute::standin {

/// How the store misbehaves.
struct store_faults {
    bool down = false; ///< Calls get no answer.
    bool busy = false; ///< Calls get 503.
    bool lapse = false; ///< Leases run out while it is down.
    int delayMs = 0;
    std::string silentPrefix; ///< Calls that read keys with this prefix get no answer; empty for none.
    double loseAnswers = 0; ///< Share of the writes that take effect and are not answered.
    int executeLaterMs = 0; ///< Of those, each is executed so much later, if its conditions still hold.
};

class platform_store {
public:
    platform_store(event_loop& loop, const std::string& address);

    store_faults faults;

    /// Writes a key as the operator or a server does, whatever the faults.
    std::int64_t put(const std::string& key, const nlohmann::json& value);
    /// The same with any bytes.
    std::int64_t putBytes(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// Ends all leases at once.
    void revokeAll();
    /// Drops the history that watches need.
    void compact();
    nlohmann::json get(const std::string& key) const;
    std::size_t count(const std::string& prefix) const;
    std::uint64_t calls() const { return m_calls; }

private:
    struct item {
        std::string value; ///< Base64, as written.
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct change {
        std::int64_t revision = 0;
        std::string key;
        bool removed = false;
        item now;
    };
    struct watcher {
        std::shared_ptr<http_exchange> caller;
        std::string prefix;
        std::int64_t after = 0;
        steady_time until;
    };
    struct lease_state {
        int ttlMs = 0;
        steady_time lapses;
    };

    void serve(std::shared_ptr<http_exchange> caller);
    void answer(http_exchange& caller, unsigned status, const nlohmann::json& body);
    void getKey(http_exchange& caller);
    void range(http_exchange& caller);
    void watch(std::shared_ptr<http_exchange> caller);
    void commit(std::shared_ptr<http_exchange> caller);
    nlohmann::json execute(const nlohmann::json& transaction, unsigned& status);
    void lease(http_exchange& caller, const std::string& path);
    void endLease(std::int64_t lease);
    void record(const std::string& key, bool removed);
    bool tell(watcher& waiting, bool always);
    void tick();
    nlohmann::json describe(const std::string& key, const item& found) const;

    event_loop& m_loop;
    std::map<std::string, item> m_items;
    std::map<std::int64_t, lease_state> m_leases;
    std::list<change> m_history;
    std::list<watcher> m_watchers;
    std::list<std::shared_ptr<http_exchange>> m_unanswered;
    std::int64_t m_revision = 1;
    std::int64_t m_forgotten = 0;
    std::int64_t m_nextLease = 100;
    std::uint64_t m_calls = 0;
    std::mt19937 m_random { 1 };
    std::unique_ptr<http_listener> m_listener;
    loop_ticker m_ticker;
};

std::string encodeBase64(const std::string& bytes);
std::string decodeBase64(const std::string& text);

} // namespace yuccachute::standin
