#pragma once

#include "verdict/verdict.h"

#include <optional>
#include <set>

namespace yuccachute {

/// A caller's request that is being served when its process is stopped.
class drainable_request {
public:
    virtual ~drainable_request() = default;
    /// Refuses the request if it has not run and request_drain::refuses() its deadline.
    virtual void drain() = 0;
    /// Ends the request with a response that says what is known of it. The process ends.
    virtual void cutOff() = 0;
};

/// The requests of a process that is stopped: from begin() on nothing is passed on that may not be complete
/// before the process ends, and cutOffAll() leaves no request without a response. To be used on the loop's
/// thread only.
class request_drain {
public:
    void add(drainable_request& request) { m_requests.insert(&request); }
    void remove(drainable_request& request) { m_requests.erase(&request); }

    /// `end`: when cutOffAll() will be called.
    void begin(steady_time end);
    /// Whether a request with this deadline must not be passed on any more.
    bool refuses(steady_time deadline) const { return m_end && deadline > *m_end; }
    void cutOffAll();

private:
    /// Requests may end, and so be removed, while it is called for others.
    template <typename Function> void forEach(Function function);

    std::optional<steady_time> m_end;
    std::set<drainable_request*> m_requests;
};

/// The failure of a request that a process refuses because it is being stopped.
failure stoppingFailure();

} // namespace yuccachute
