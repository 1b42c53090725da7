#pragma once

#include "verdict/verdict.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The INI file of a process that runs on a platform's VM. Layer: state.
namespace yuccachute {

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

    milliseconds grace { 8000 }; ///< From the stop signal to the end of the process.
    milliseconds resultRetention { 120000 }; ///< Of a batch job's records, from its submission.
    std::string logLevel = "info";
};

/// Parses the file's text. The failure names file, line, section and key: an unknown section or key, a value
/// that is out of its range, or a required one that is missing.
result<process_settings> parseProcessSettings(std::string_view fileName, std::string_view text);

} // namespace yuccachute
