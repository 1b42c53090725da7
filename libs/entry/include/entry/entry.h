#pragma once

#include "node/node.h"

#include <memory>

/// The entry process: the HTTP interface for callers, routing, rate limits, retries, membership, and the
/// dispatcher of the target groups that it owns. Has no persistent state.
namespace yuccachute {

class entry_process {
public:
    /// Starts serving. Throws std::runtime_error if an address cannot be used.
    explicit entry_process(const process_options& options);
    /// Shuts down gracefully: refuses new requests, and waits for running ones up to
    /// process_options::stopLimit.
    ~entry_process();
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace yuccachute
