#include "request_drain.h"

namespace yuccachute {

namespace {

/// Other processes can serve the request at once.
constexpr milliseconds stoppingRetryAfter { 1 };

} // namespace

void request_drain::begin(steady_time end)
{
    m_end = end;
    forEach([](drainable_request& request) { request.drain(); });
}

void request_drain::cutOffAll()
{
    forEach([](drainable_request& request) { request.cutOff(); });
}

template <typename Function> void request_drain::forEach(Function function)
{
    for (auto* request : std::set(m_requests)) {
        if (m_requests.contains(request))
            function(*request);
    }
}

failure stoppingFailure()
{
    return notRun(failure_kind::unavailable,
        "this process is being stopped and cannot complete the request; send it to another one",
        stoppingRetryAfter);
}

} // namespace yuccachute
