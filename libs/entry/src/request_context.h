#pragma once

#include "claims.h"
#include "cluster.h"
#include "dispatcher_host.h"
#include "limits.h"

namespace yuccachute {

/// Chooses targets when no dispatcher answers: from its own view, live requests only, with a share of the
/// targets' slots, because other entries may do the same. Thread-safe.
class self_choice {
public:
    /// Takes a place at a target of the group, or fails at once.
    result<held_grant> acquire(const group_description& group, slot_request ask, std::size_t entries);
    void release(const held_grant& grant, grant_release figures);

private:
    std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<target_group>, std::less<>> m_groups;
};

/// What the handlers of one entry share.
struct entry_services {
    const process_options& options;
    const settings_cell& settings;
    cluster& peers;
    grant_client& grants;
    self_choice& chooser;
    customer_limits& limits;
    request_claims& claims;
    rpc_client& rpc;
    metrics& figures;
    std::atomic<bool>& stopping;
};

/// One request as it goes through an entry.
struct request_context {
    const http_request& request;
    reply_sink& sink;
    std::string requestId; ///< The caller's, echoed and logged. Several requests may have the same.
    std::string token; ///< Unique to this request: names it towards targets and in the store.
    std::string customer;
    std::shared_ptr<const settings_view> settings;
    steady_time started;
    steady_time deadline;
    request_settings effective;
};

/// Answers with a failure: JSON with code, message, verdict and request id, and Retry-After.
void sendFailure(request_context& context, const failure& error);

/// Finds a place for a request: at the own zone's groups first, then at other zones'. Falls back to choosing
/// itself when no dispatcher answers.
result<held_grant> findPlace(
    entry_services& services, request_context& context, const std::string& service, const slot_request& ask);

/// Returns a place to whoever gave it.
void returnPlace(entry_services& services, const held_grant& grant, const grant_release& figures);

/// Reads the timeout from the header X-Timeout-Ms or the settings and sets the deadline.
result<void> setDeadline(request_context& context);

void handleCompletion(entry_services& services, request_context& context);
void handlePlain(entry_services& services, request_context& context);
void handleJobs(entry_services& services, request_context& context);

/// Logs and counts the end of a request.
void recordEnd(entry_services& services, const request_context& context, std::string_view service,
    std::string_view target, const failure* error);

} // namespace yuccachute
