#pragma once

#include "front/front.h"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string_view>

namespace yuccachute {

/// Batch processes in the order in which they are asked about a job: those of a zone before the others. A job
/// is sent in, and its results are read, through entries of its caller's zone, so it stays there; spread over
/// all zones, four fifths of all bodies and results crossed between them.
std::vector<std::string> rankHolders(
    const std::string& jobId, std::string_view zone, std::span<const node_record> batchNodes);

/// A batch process to be asked about a job.
struct job_candidate {
    std::string address;
    bool onlyIfHeld = false; ///< It shall not ask the store.
};

/// Whom to ask about a job that exists, in this order. A job of another zone's callers is with one of the
/// processes that are first for it in their zones: they are asked before anybody asks the store, whose calls
/// cost a hundred times as much as theirs.
std::vector<job_candidate> candidatesForJob(
    const std::string& jobId, std::string_view zone, std::span<const node_record> batchNodes);

/// Passes the callers' calls on batch jobs to the batch process that holds the job, as they are. Any batch
/// process can answer them; the one that rendezvous hashing names holds the job unless processes came or went
/// since, or the job came through another zone.
class job_forwarder {
public:
    using node_list = std::function<std::vector<node_record>()>;

    job_forwarder(event_loop& loop, http_client& client, const caller_protocol& protocol, std::string zone,
        node_list batchNodes, metrics& figures);

    enum class call_kind : std::uint8_t { submission, existing_job };

    /// A call that has been let in.
    struct admitted_call {
        std::string jobId; ///< As the customer knows it.
        /// Takes the place of the caller's key; empty for nobody. Unset in a deployment without customers.
        std::optional<std::string> customer;
        call_kind kind = call_kind::existing_job;
        milliseconds patience { 0 }; ///< How long the caller waits.
        milliseconds held { 0 }; ///< How long the answer may be held back.
    };

    void forward(std::shared_ptr<http_exchange> caller, admitted_call call);

private:
    class forwarded_call;

    http_headers headersFor(const http_headers& given, const std::optional<std::string>& customer) const;
    std::vector<job_candidate> candidates(const std::string& jobId, call_kind kind) const;
    void remember(const std::string& jobId, const std::string& holder);
    void forget(const std::string& jobId);

    event_loop& m_loop;
    http_client& m_client;
    const caller_protocol& m_protocol;
    std::string m_zone;
    node_list m_nodes;
    metrics& m_figures;
    /// Holders that callers were sent to: they are asked first. Hints only.
    std::map<std::string, std::string> m_holders;
    std::deque<std::string> m_remembered; ///< Job ids, the oldest first.
};

} // namespace yuccachute
