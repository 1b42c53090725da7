#pragma once

#include "places/places.h"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace yuccachute {

/// Tells the other dispatchers what this process has granted of customers' limits. On the loop's thread.
class spending_exchange {
public:
    using sender = std::function<void(const std::string& address, envelope message)>;

    spending_exchange(event_loop& loop, fleet_limits& limits, std::string ownAddress, sender send);

    /// Starts telling if any customer has a limit, and stops if none has.
    void customersChanged();
    void setMembers(std::span<const dispatcher_info> members);

private:
    void tick();
    void tell(const spending_report& report, bool toAll, steady_time now);

    fleet_limits& m_limits;
    std::string m_ownAddress;
    sender m_send;
    std::vector<dispatcher_info> m_members;
    loop_timer m_timer;
};

} // namespace yuccachute
