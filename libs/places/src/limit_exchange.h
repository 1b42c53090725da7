#pragma once

#include "places/places.h"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace yuccachute {

/// Carries what this process and the other dispatchers say to each other of customers' limits. On the loop's
/// thread.
class limit_exchange {
public:
    struct environment {
        std::function<void(const std::string& address, envelope message)> send;
        /// Whether this process is the first dispatcher of a group.
        std::function<bool(steady_time)> dispatches;
        /// Whether an address did not answer a moment ago.
        std::function<bool(const std::string& address, steady_time)> silent;
    };

    limit_exchange(
        event_loop& loop, distributed_rate_limiter& limits, std::string ownAddress, environment around);

    /// Starts asking if any customer has a limit, and stops if none has.
    void customersChanged();
    void setMembers(std::span<const limit_member> members);

private:
    void tick();
    void sendTo(const limit_member& member, const limit_message& content);

    distributed_rate_limiter& m_limits;
    std::string m_ownAddress;
    environment m_around;
    std::vector<limit_member> m_members;
    loop_timer m_timer;
};

} // namespace yuccachute
