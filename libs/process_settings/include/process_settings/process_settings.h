#pragma once

#include "verdict/verdict.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The INI file of a process that runs on a platform's VM. Layer: state.
namespace yuccachute {

/// How an entry gives places to requests. Each mechanism can be switched off, to measure what it is worth.
/// Figures with "model" are from libs/load_player.
struct dispatch_settings {
    /// Targets are asked what they run. Without: 884 instead of 29 of 3,003 callers late in the model when
    /// work is orphaned twice.
    bool loadReports = true;
    /// A request joins a queue only if this part of the expected wait is short enough. A dispatcher of six
    /// targets sees a slot come free every 20 ms or so; the sum of the eight waits that fill 150 ms exceeds
    /// the mean by 70% in one case of twenty.
    unsigned waitMarginPercent = 170;
    /// A slot that a live request has left is kept for the next one for so long. Of 0, 20, 50, 100, 150 and
    /// 250 ms the one with the most answers and items on time in the model: with 30 live requests and 7 items
    /// a second on 48 slots 3,621 of 4,140 answers and 699 of 925 items, instead of 3,575 and 680 at 0.
    milliseconds keptForLive { 50 };
    /// What a cached prompt is worth at the choice of a target, in shares of its slots.
    unsigned affinityPercent = 60;
};

/// How customers' limits are held. What is allowed of a customer in any span of `window` is
/// (rate x window + burst) x (1 + overshoot) + slack requests.
struct limit_settings {
    double windowSeconds = 5;
    double overshoot = 0.1; ///< As a share.
    double slack = 20; ///< Requests.
    std::string policy = "lent"; ///< "lent", or "even": each availability zone has the same part.
};

/// What a process learns at its start. All addresses are host:port.
struct process_settings {
    std::string vm; ///< Unique name of the VM.
    std::string zone; ///< Availability zone.
    std::string address; ///< IP address of the VM.

    std::string callers; ///< Where callers connect; empty for a process without any.
    std::string readiness; ///< Where the platform asks whether the process is ready.
    std::string control; ///< Where entries listen for the system's other processes.
    std::uint16_t innerPort = 0; ///< Where a batch process listens for entries.
    std::uint16_t metricsPort = 0; ///< 0 for none.
    std::vector<std::string> seeds; ///< Control addresses of some entries; they may be stale.

    std::string store; ///< The platform's store.
    std::size_t storeValueBytes = 1u << 20; ///< Largest value that it takes.

    unsigned descriptors = 1024; ///< Files and sockets that it may have open.
    double cores = 1; ///< Processor time that the VM offers, in cores; may be a fraction.

    dispatch_settings dispatch;
    limit_settings customerLimits;
    /// Entries beyond the first of a zone ask these instead of following the store.
    bool followPeers = true;

    milliseconds grace { 8000 }; ///< From the stop signal to the end of the process.
    milliseconds resultRetention { 120000 }; ///< Of a batch job's records, from its submission.
    std::string logLevel = "info";
};

/// Parses the file's text. The failure names file, line, section and key: an unknown section or key, a value
/// that is out of its range, or a required one that is missing.
result<process_settings> parseProcessSettings(std::string_view fileName, std::string_view text);

} // namespace yuccachute
