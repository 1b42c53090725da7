#pragma once

#include "claims.h"
#include "cluster.h"
#include "dispatcher_host.h"
#include "limits.h"

namespace yuccachute {

/// Grants slots locally while no dispatcher responds, for live requests only. Uses a fraction of each
/// target's slots, because other entries may do the same at the same time. Thread-safe.
class local_slot_chooser {
public:
    /// Grants a slot at a target of the group, or fails at once. `entries` is the number of entries that
    /// share the slots.
    result<held_grant> acquire(const group_description& group, slot_request request, std::size_t entries);
    void release(const held_grant& grant, grant_release figures);

private:
    std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<target_group>, std::less<>> m_groups;
};

/// Services shared by the request handlers of an entry.
struct entry_services {
    const process_options& options;
    const settings_cell& settings;
    cluster& peers;
    grant_client& grants;
    local_slot_chooser& chooser;
    customer_limits& limits;
    request_claims& claims;
    rpc_client& rpc;
    metrics& figures;
    std::atomic<bool>& stopping;
};

/// State of one request while an entry serves it.
struct request_context {
    const http_request& request;
    reply_sink& sink;
    std::string requestId; ///< From the caller; returned to it and logged. Not unique.
    std::string token; ///< Unique id of this request for targets and in the store.
    std::string customer;
    std::shared_ptr<const settings_view> settings;
    steady_time started;
    steady_time deadline;
    request_settings effective;
};

/// Sends a failure response: JSON with code, message, verdict and request id, and the Retry-After header.
void sendFailure(request_context& context, const failure& error);

/// Acquires a slot for a request from the dispatchers of the entry's own zone, then from those of other
/// zones. Falls back to local_slot_chooser for a group whose dispatchers do not respond.
result<held_grant> acquireSlot(entry_services& services, request_context& context, const std::string& service,
    const slot_request& request);

/// Releases a slot at the dispatcher or the local chooser that granted it.
void releaseSlot(entry_services& services, const held_grant& grant, const grant_release& figures);

/// Sets the deadline by the X-Timeout-Ms header, or by the settings without it.
result<void> setDeadline(request_context& context);

void handleCompletion(entry_services& services, request_context& context);
void handlePlain(entry_services& services, request_context& context);
void handleJobs(entry_services& services, request_context& context);

/// Logs and counts a completed request. `error` is null if it succeeded.
void recordRequestEnd(entry_services& services, const request_context& context, std::string_view service,
    std::string_view target, const failure* error);

} // namespace yuccachute
