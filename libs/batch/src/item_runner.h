#pragma once

#include "job_holder.h"

#include <condition_variable>
#include <deque>
#include <thread>

namespace yuccachute {

/// Sends cancellations to targets from its own threads, because the callback that reports a revoked grant
/// must not block.
class cancel_queue {
public:
    cancel_queue();
    ~cancel_queue();
    cancel_queue(const cancel_queue&) = delete;
    cancel_queue& operator=(const cancel_queue&) = delete;
    void add(std::string address, std::string requestId);

private:
    static constexpr unsigned threadCount = 4;
    void run();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::pair<std::string, std::string>> m_waiting;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

/// Runs items in spare capacity: requests a bulk slot grant, streams the completion from the target, and
/// yields the slot when the grant is revoked. Thread-safe.
class item_runner {
public:
    item_runner(job_holder& holder, grant_client& grants, const settings_cell& settings, std::string zone,
        metrics& processMetrics);

    /// Runs the next item to its outcome. Returns false if there was none to run.
    bool runOne();

private:
    result<held_grant> acquireSlot(const work_item& item);
    item_outcome runOnTarget(const work_item& item, const held_grant& grant);
    static item_outcome toItemOutcome(const attempt_outcome& attempt, std::string text, bool revoked);

    job_holder& m_holder;
    grant_client& m_grants;
    const settings_cell& m_settings;
    std::string m_zone;
    metrics& m_metrics;
    cancel_queue m_cancels;
};

} // namespace yuccachute
