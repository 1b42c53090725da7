#pragma once

#include "bulk_process/bulk_process.h"

#include <map>

namespace yuccachute {

/// Executes operators' orders to empty a VM. VMs have no persistent state, so a VM is empty as soon as other
/// processes have taken over its jobs. For a VM that is down or slow to respond, another process reports
/// this.
class retirement {
public:
    /// `releaseOwnJobs` releases the jobs of this process; ownJobsReleased() must be called once that is
    /// done.
    retirement(event_loop& loop, async_store& store, const bulk_protocol& protocol, std::string vm,
        std::function<void()> releaseOwnJobs);

    void ordersChanged(const store_section& orders);
    /// Must be called when this process no longer holds any job.
    void ownJobsReleased();

private:
    void report(const std::string& vm, bool done);

    async_store& m_store;
    const bulk_protocol& m_protocol;
    std::string m_vm;
    std::function<void()> m_releaseOwnJobs;
    loop_ticker m_ticker;
    struct pending_order {
        steady_time since;
        std::int64_t revision = 0;
        bool reported = false;
    };
    std::map<std::string, pending_order> m_orders; ///< By VM.
    bool m_ownVmOrdered = false;
    bool m_ownJobsReleased = false;
};

} // namespace yuccachute
