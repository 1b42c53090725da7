#pragma once

#include "verdict/verdict.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Settings that a process reads from its INI file at startup. Layer: state.
namespace yuccachute {

/// How an entry assigns slots of targets to requests. Each mechanism can be disabled to measure its effect.
/// The simulation results quoted here are from libs/load_player.
struct dispatch_settings {
    /// Whether targets are polled for the requests that they are running. In a simulation in which running
    /// requests were orphaned twice, 884 of 3,003 callers were served late without polling, and 29 with it.
    bool loadReports = true;
    /// Factor on the expected wait: a request is refused on arrival if the product exceeds its remaining
    /// time. With six targets per dispatcher, a slot becomes free about every 20 ms; the sum of the eight
    /// intervals that make up 150 ms exceeds its mean by 70% in one case out of twenty.
    unsigned waitMarginPercent = 170;
    /// How long a slot stays reserved for the next live request after a live request has finished. Of 0, 20,
    /// 50, 100, 150 and 250 ms, 50 ms gave the most live responses and bulk items on time in a simulation
    /// with 30 live requests and 7 items per second on 48 slots: 3,621 of 4,140 responses and 699 of 925
    /// items, compared to 3,575 and 680 without reservation.
    milliseconds keptForLive { 50 };
    /// Weight of a fully cached prompt in the choice of a target: it offsets this percentage of occupied
    /// slots.
    unsigned affinityPercent = 60;
    /// Whether the speeds of targets are learned from the runs at them and used in the choice of targets and
    /// in expected waits. Without effect where targets are equally fast.
    bool targetPace = true;
    /// Whether items are started and revoked by their expected time and by repeating peaks of live demand.
    bool bulkLookahead = true;
    /// Whether requests wait for the first configuration or list of targets of an entry that has just
    /// started, and whether its groups poll their targets before the first request.
    bool startup = true;
    /// Whether the tokens of a customer above its limit are kept for requests that can meet their objective,
    /// and refusals distinguish a limit from a part of it that is out of reach.
    bool customerShares = true;
};

/// How customers' request limits are enforced. In any time span of `windowSeconds`, a customer is granted at
/// most (rate x windowSeconds + burst) x (1 + overshoot) + slack requests.
struct limit_settings {
    double windowSeconds = 5;
    double overshoot = 0.1; ///< As a fraction of the limit.
    double slack = 20; ///< In requests.
    /// "lent": availability zones lend each other unused shares. "even": each zone has a fixed, equal share.
    std::string policy = "lent";
};

/// Startup settings of a process. All addresses but `address` are host:port.
struct process_settings {
    std::string vm; ///< Unique name of the VM.
    std::string zone; ///< Availability zone.
    std::string address; ///< IP address of the VM.

    std::string callers; ///< Listen address for callers; empty for a process that serves none.
    std::string readiness; ///< Listen address for the platform's readiness probe.
    std::string control; ///< Listen address of an entry for the system's other processes.
    std::uint16_t innerPort = 0; ///< Port on which a batch process listens for entries.
    std::uint16_t metricsPort = 0; ///< Port on which metrics are served; 0 for none.
    std::vector<std::string> seeds; ///< Control addresses of some entries, possibly outdated.

    std::string store; ///< Address of the platform's key-value service.
    std::size_t storeValueBytes = 1u << 20; ///< Maximum size of a value that the store accepts.

    unsigned descriptors = 1024; ///< Limit of open file descriptors, including sockets.
    double cores = 1; ///< CPU capacity of the VM in cores; may be fractional.
    /// Memory that the process may use, in MB; exceeding it ends the process. 0 if unknown.
    std::uint64_t memoryMb = 0;
    /// Part of it for all requests together, in MB; 0 for the default, see requestMemoryBytes().
    std::uint64_t requestMemoryMb = 0;
    /// From the first byte of a request to its last, besides the limits of the configuration.
    milliseconds requestTimeout { 120000 };

    dispatch_settings dispatch;
    limit_settings customerLimits;
    /// Whether only some entries of a zone watch the store and the others get their updates from them.
    bool followPeers = true;

    milliseconds grace { 8000 }; ///< Maximum time from the stop signal to the exit of the process.
    milliseconds resultRetention { 120000 }; ///< Retention of a batch job's records, from its submission.
    std::string logLevel = "info";
};

/// Parses the text of the file. Fails on an unknown section or key, a value out of range and a missing
/// required key. The error names the file, section and key, and the line unless the key is missing.
result<process_settings> parseProcessSettings(std::string_view fileName, std::string_view text);

} // namespace yuccachute
