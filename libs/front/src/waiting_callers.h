#pragma once

#include "http/http.h"
#include "verdict/verdict.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace yuccachute {

/// What an entry that has just started has received so far.
struct startup_state {
    bool hasConfiguration = false;
    bool hasTargetList = false;
};

/// What a request waits for.
enum class startup_need : std::uint8_t {
    configuration,
    target_list ///< And the configuration, which gives the request's latency objective.
};

bool satisfied(startup_need need, const startup_state& state);

/// When a request stops waiting for the first configuration. Its latency objective is not known yet.
steady_time configurationWaitEnd(steady_time received);
/// When a request stops waiting for the first list of targets: when it can no longer meet its objective, or
/// be served before its caller's timeout.
steady_time targetListWaitEnd(
    steady_time received, milliseconds objective, std::optional<milliseconds> callerTimeout);

/// Requests that have arrived before the entry's first configuration or list of targets, in order of arrival.
/// Limited in number and memory. To be used on the loop's thread only.
class waiting_callers {
public:
    struct released_caller {
        std::shared_ptr<http_exchange> caller;
        bool expired = false; ///< Released because its time to wait has passed.
    };

    /// Returns false if the limits are reached; then the request does not wait. A caller that disconnects is
    /// removed.
    bool add(std::shared_ptr<http_exchange> caller, startup_need need, steady_time end);
    /// Removes and returns the requests that can be served, and those whose time to wait has passed.
    std::vector<released_caller> take(const startup_state& state, steady_time now);
    bool empty() const { return m_waiting.empty(); }
    std::size_t size() const { return m_waiting.size(); }

private:
    struct waiting_caller {
        std::shared_ptr<http_exchange> caller;
        startup_need need;
        steady_time end;
        std::size_t bytes = 0;
    };

    void remove(std::uint64_t id);

    std::map<std::uint64_t, waiting_caller> m_waiting; ///< In order of arrival.
    std::size_t m_bytes = 0;
    std::uint64_t m_nextId = 0;
    /// Callers may disconnect after the destructor.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace yuccachute
