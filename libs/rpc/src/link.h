#pragma once

#include "rpc/rpc.h"

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace yuccachute {

/// Calls of one client that are under way and end in a callback. Thread-safe.
///
/// gRPC 1.51 runs callbacks on threads of a queue that lives as long as some channel or server uses it. If
/// the last use ends within a callback, the queue's thread takes its own queue down and aborts
/// ("ref_counted.h: assertion failed: prior > 0"), at the stop of a process. So a call lets go of its channel
/// before it is removed here, and the client lets go of its channels, on its own thread, only when no call is
/// left.
class running_calls {
public:
    /// Returns the number of the call. The function ends it early; it may be called after its end.
    std::uint64_t add(std::function<void()> cancel);
    /// The last thing that a call's last callback does.
    void remove(std::uint64_t call);
    /// Ends all calls and waits for their last callbacks. Not to be called from a callback.
    void cancelAndWait();

private:
    std::mutex m_mutex;
    std::condition_variable m_allEnded;
    std::map<std::uint64_t, std::function<void()>> m_cancels;
    std::uint64_t m_next = 1;
};

/// Opens a grant stream over a channel.
std::shared_ptr<dispatcher_link> openLink(std::shared_ptr<running_calls> calls,
    std::shared_ptr<grpc::Channel> channel, std::function<void(envelope)> received,
    std::function<void()> closed);

} // namespace yuccachute
