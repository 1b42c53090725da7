#pragma once

#include "bulk_process/bulk_process.h"

namespace yuccachute {

/// Services shared by all item runs.
struct item_run_services {
    event_loop& loop;
    slot_broker& slots;
    http_client& targets;
    const caller_protocol& callers;
    request_guard& guard;
};

/// Callbacks of a run. `finished` is called exactly once, and last, unless the run is destroyed before.
struct item_run_events {
    /// Why the item may no longer be sent to its service, asked when the slot is granted; empty if it may.
    std::function<std::string_view()> reasonNotToSend;
    /// The run was granted its slot, and the item has been sent to its target. Called at most once, and never
    /// from within runItem().
    std::function<void()> sent;
    /// An event of the item's stream was received. Returning false aborts the run.
    std::function<bool(std::optional<std::uint64_t> id, std::string data)> event;
    std::function<void(run_outcome outcome, std::string_view reason)> finished;
};

/// One run of an item: acquires a slot, sends the item to the target and receives its events. Destroying the
/// run cancels the request to the target and releases the slot.
///
/// Items do not crash targets by themselves. A target that terminates during a run is therefore no evidence
/// against the item or the parts of its prompt, a complete response does not acquit these parts for live
/// requests that do crash targets, and neither holds an item back.
class item_run {
public:
    virtual ~item_run() = default;
    virtual const std::string& target() const = 0;
    /// Software version of the target; unset if it is unknown or there is no target yet.
    virtual std::optional<std::string> version() const = 0;
    /// Whether the run ended without a slot because no target that could run the item was usable.
    virtual bool targetsUnavailable() const = 0;
    /// What is known of the response.
    virtual const run_evidence& evidence() const = 0;
};

struct item_run_request {
    std::string itemId;
    http_request request;
    std::string service;
    std::string customer;
    double cost = 1;
    double remainingEvents = 0; ///< Events that the run is expected to produce; 0 if unknown.
    std::uint32_t producedEvents = 0; ///< Events produced by earlier runs.
    steady_time due;
    steady_time expiry;
    std::optional<std::uint64_t> lastEvent;
    std::optional<std::string> version; ///< Software version that made the earlier events.
    bool chargeTarget = true; ///< Whether an aborted run counts against the target's health.
};

std::unique_ptr<item_run> runItem(
    item_run_services& services, item_run_request request, item_run_events events);

} // namespace yuccachute
