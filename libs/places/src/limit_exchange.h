#pragma once

#include "places/places.h"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace yuccachute {

/// Exchanges the messages of the rate limiter with the other dispatchers. All calls are made on the event
/// loop's thread.
class limit_exchange {
public:
    struct environment {
        std::function<void(const std::string& address, envelope message)> send;
        /// Whether this process is the primary dispatcher of any group.
        std::function<bool(steady_time)> isDispatcher;
        /// Whether the process at an address has recently failed to respond.
        std::function<bool(const std::string& address, steady_time)> isUnresponsive;
    };

    limit_exchange(
        event_loop& loop, distributed_rate_limiter& limits, std::string ownAddress, environment env);

    /// Starts the exchange if any customer has a limit, and stops it if none has.
    void customersChanged();
    void setMembers(std::span<const limit_member> members);

private:
    void tick();
    void sendTo(const limit_member& member, const limit_message& content);

    distributed_rate_limiter& m_limits;
    std::string m_ownAddress;
    environment m_env;
    std::vector<limit_member> m_members;
    loop_timer m_timer;
};

} // namespace yuccachute
