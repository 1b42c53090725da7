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

/// Asynchronous calls of one client that are in progress. Thread-safe.
///
/// gRPC 1.51 runs callbacks on the threads of a completion queue that exists as long as a channel or server
/// uses it. If a callback releases the last user, a thread of the queue destroys its own queue and the
/// process aborts ("ref_counted.h: assertion failed: prior > 0"), typically while it is stopping. Therefore
/// each call releases its channel before it is removed here, and the client releases its channels on its own
/// thread, only after the last call was removed.
class running_calls {
public:
    /// Returns the id of the call. `cancel` cancels the call and must be safe to run after the call has
    /// finished.
    std::uint64_t add(std::function<void()> cancel);
    /// Must be the last action of the last callback of a call.
    void remove(std::uint64_t call);
    /// Cancels all calls and waits for their last callbacks. Must not be called from a callback.
    void cancelAndWait();

private:
    std::mutex m_mutex;
    std::condition_variable m_allEnded;
    std::map<std::uint64_t, std::function<void()>> m_cancelFunctions;
    std::uint64_t m_next = 1;
};

/// Opens a grant stream on the given channel.
std::shared_ptr<dispatcher_link> openLink(std::shared_ptr<running_calls> calls,
    std::shared_ptr<grpc::Channel> channel, std::function<void(envelope)> received,
    std::function<void()> closed);

} // namespace yuccachute
