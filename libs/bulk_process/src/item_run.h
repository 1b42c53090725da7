#pragma once

#include "bulk_process/bulk_process.h"

namespace yuccachute {

/// What the runs of items share.
struct item_run_services {
    event_loop& loop;
    slot_broker& slots;
    http_client& targets;
    const caller_protocol& callers;
    request_guard& guard;
};

/// What a run reports. `ended` comes exactly once, last, unless the run is dropped.
struct item_run_events {
    /// The run has its place. It comes at most once, not from within runItem().
    std::function<void()> slotGranted;
    /// An event of the item's stream; returning false breaks the run off.
    std::function<bool(std::optional<std::uint64_t> id, std::string data)> event;
    std::function<void(run_outcome outcome, std::string_view reason)> finished;
};

/// One run of an item: finds a place, sends the item, collects its events. Dropping it stops the target's
/// work and gives the place back.
class item_run {
public:
    virtual ~item_run() = default;
    virtual const std::string& target() const = 0;
};

struct item_run_request {
    std::string itemId;
    http_request request;
    std::string service;
    std::string customer;
    double cost = 1;
    steady_time due;
    steady_time expiry;
    std::optional<std::uint64_t> lastEvent;
    bool chargeTarget = true; ///< Whether a cut counts against the target's health.
};

std::unique_ptr<item_run> runItem(
    item_run_services& services, item_run_request request, item_run_events events);

} // namespace yuccachute
