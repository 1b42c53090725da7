#pragma once

#include "bulk_process/bulk_process.h"

#include <map>

namespace yuccachute {

/// Answers operators' orders to empty a VM. Nothing lasts on a VM's disk, so a VM is empty as soon as its
/// jobs have been taken by others; the report of a VM that is dead, or slow to answer, is written by another
/// process.
class retirement {
public:
    /// `releaseOwnJobs` gives up this process's jobs and calls back when that is done.
    retirement(event_loop& loop, async_store& store, const bulk_protocol& protocol, std::string vm,
        std::function<void()> releaseOwnJobs);

    void ordersChanged(const store_section& orders);
    /// This process holds nothing any more.
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
