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
    using sender = std::function<void(const std::string& address, envelope message)>;

    /// `dispatches` tells whether this process is the first dispatcher of a group at a time.
    limit_exchange(event_loop& loop, fleet_limits& limits, std::string ownAddress, sender send,
        std::function<bool(steady_time)> dispatches);

    /// Starts asking if any customer has a limit, and stops if none has.
    void customersChanged();
    void setMembers(std::span<const dispatcher_info> members);

private:
    void tick();
    void sendTo(const dispatcher_info& member, const limit_message& content);

    fleet_limits& m_limits;
    std::string m_ownAddress;
    sender m_send;
    std::function<bool(steady_time)> m_dispatches;
    std::vector<dispatcher_info> m_members;
    loop_timer m_timer;
};

} // namespace yuccachute
