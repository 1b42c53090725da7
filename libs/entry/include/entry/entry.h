#pragma once

#include "node/node.h"

#include <memory>

/// The entry process: callers' HTTP interface, routing, limits, retries, membership, and the dispatcher of
/// the target groups that it owns. Holds nothing that must last.
namespace yuccachute {

class entry_process {
public:
    /// Starts serving. Throws std::runtime_error if an address cannot be used.
    explicit entry_process(const process_options& options);
    /// Graceful shutdown: refuses new work, lets running requests finish up to the limit, then stops.
    ~entry_process();
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace yuccachute
