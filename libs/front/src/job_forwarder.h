#pragma once

#include "front/front.h"

#include "request_drain.h"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string_view>

namespace yuccachute {

/// Ranks the batch processes for a job: those of `zone` come before all others. Callers submit a job and read
/// its results through entries of their own zone, so the job is kept in that zone; with jobs spread over all
/// five zones, four fifths of all request bodies and results crossed zones.
std::vector<std::string> rankHolders(
    const std::string& jobId, std::string_view zone, std::span<const node_record> batchNodes);

/// A batch process that a request about a job can be sent to.
struct job_candidate {
    std::string address;
    bool onlyIfHeld = false; ///< It must respond from memory and not read the store.
};

/// Returns the batch processes to query about an existing job, in this order. A job submitted in another zone
/// is usually held by the process that ranks first for it in that zone. The first-ranked process of each zone
/// is therefore queried before any of them reads the store, since a store call costs a hundred times as much.
std::vector<job_candidate> candidatesForJob(
    const std::string& jobId, std::string_view zone, std::span<const node_record> batchNodes);

/// Forwards callers' requests about batch jobs to the batch process that holds the job. Any batch process can
/// serve them. The first one by rendezvous hashing holds the job, unless processes were added or removed
/// since the submission, or the job was submitted in another zone.
class job_forwarder {
public:
    using node_list = std::function<std::vector<node_record>()>;

    job_forwarder(event_loop& loop, http_client& client, const caller_protocol& protocol, std::string zone,
        node_list batchNodes, metrics& figures, std::shared_ptr<memory_budget> memory = nullptr,
        request_drain* drain = nullptr);

    enum class call_kind : std::uint8_t { submission, existing_job };

    /// An authenticated request about a job.
    struct admitted_call {
        std::string jobId; ///< The id that the customer uses.
        /// Sent instead of the caller's key. Empty for an anonymous caller; unset in a deployment without
        /// customers.
        std::optional<std::string> customer;
        call_kind kind = call_kind::existing_job;
        milliseconds callerTimeout { 0 }; ///< How long the caller waits for the response.
        milliseconds maxHold { 0 }; ///< Long polling: longest delay of the response by the batch process.
        std::int64_t configuration = 0; ///< Version by which a submission was admitted, otherwise 0.
    };

    void forward(std::shared_ptr<http_exchange> caller, admitted_call call);

private:
    class forwarded_call;

    http_headers headersFor(const http_headers& given, const admitted_call& call) const;
    std::vector<job_candidate> candidates(const std::string& jobId, call_kind kind) const;
    void addHolderHint(const std::string& jobId, const std::string& holder);
    void dropHolderHint(const std::string& jobId);

    event_loop& m_loop;
    http_client& m_client;
    const caller_protocol& m_protocol;
    std::string m_zone;
    node_list m_nodes;
    metrics& m_figures;
    std::shared_ptr<memory_budget> m_memory; ///< For responses until they are passed on.
    request_drain* m_drain; ///< If null, the process is never stopped.
    /// Last known holder of a job, which is queried first. Hints only: an entry may be out of date.
    std::map<std::string, std::string> m_holderHints;
    std::deque<std::string> m_hintOrder; ///< Job ids in the order of insertion, for eviction.
};

} // namespace yuccachute
