#pragma once

#include "platform_system.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

/// What a soak's callers saw, when what was disturbed, and which promises were broken. Thread-safe.
namespace yuccachute::soak {

using testing::steadyMs;

/// When parts of the system were disturbed. A part is a process by its VM's name, "store", or
/// "server-NUMBER".
class disturbance_log {
public:
    void begin(const std::string& part, std::int64_t now);
    void end(const std::string& part, std::int64_t now);
    /// Whether the part was left alone from one time to another.
    bool calm(const std::string& part, std::int64_t from, std::int64_t to) const;

private:
    struct interval {
        std::int64_t from = 0;
        std::int64_t to = 0;
    };
    mutable std::mutex m_mutex;
    std::map<std::string, std::vector<interval>> m_intervals;
};

/// What may be repeated follows from the route.
enum class route_kind : std::uint8_t { resumable, once, plain, unsafe };

const char* prefixOf(route_kind kind);

/// One request of a live caller, as it saw it.
struct seen_request {
    std::string id;
    std::string entry;
    route_kind kind = route_kind::resumable;
    std::int64_t beganMs = 0;
    std::int64_t endedMs = 0;
    unsigned status = 0; ///< 0 if no whole answer came.
    bool left = false; ///< The caller left before the end.
};

/// One job, as its caller saw it.
struct seen_job {
    std::string id;
    int items = 0;
    int events = 0;
    bool accepted = false;
    bool refusedAlways = true; ///< Each attempt was answered 429 or 503.
    bool endAsked = false; ///< Its caller has asked for its end; whether it took effect may be unknown.
    std::int64_t endedMs = 0; ///< When its end was acknowledged; 0 if it was not ended.
    std::vector<std::string> positions; ///< Each result as it was first read.
};

class ledger {
public:
    void violation(const std::string& what);
    std::vector<std::string> violations() const;
    void add(seen_request request);
    void add(seen_job job);
    std::vector<seen_request> requests() const;
    std::vector<seen_job> jobs() const;

    /// Reads a page of results into what is known of a job, and compares where they overlap.
    void takePage(seen_job& job, std::size_t after, const nlohmann::json& page);
    /// Checks what the servers ran against what the callers were told. `strict` if nothing unplanned was
    /// done: then no request may have been broken off.
    void checkRuns(const nlohmann::json& runs, const disturbance_log& disturbed,
        const std::vector<std::string>& batches, bool strict);

    /// A target has said that it leaves, or its entry was removed; the store has acknowledged that.
    void addLeaving(const std::string& target, std::int64_t acknowledgedMs);
    /// Checks that no entry in touch with the store has sent a request to a target that had left.
    void checkLeaving(const nlohmann::json& runs, const disturbance_log& disturbed);

    disturbance_log disturbed;

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_violations;
    std::vector<seen_request> m_requests;
    std::vector<seen_job> m_jobs;
    std::map<std::string, std::int64_t> m_leaving; ///< Targets, and when that was acknowledged.
};

} // namespace yuccachute::soak
