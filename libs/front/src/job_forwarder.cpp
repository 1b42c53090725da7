#include "job_forwarder.h"

#include "logging/logging.h"
#include "membership/membership.h"

#include <algorithm>
#include <deque>
#include <set>

namespace yuccachute {

namespace {

/// A batch process needs at most a few store calls to respond, each of up to a few hundred milliseconds.
constexpr milliseconds answerTimeout { 1500 };
constexpr milliseconds connectTimeout { 300 };
/// A reachable process accepts within a few milliseconds. The timeout is short because other candidates may
/// hold the job.
constexpr milliseconds ifHeldConnectTimeout { 100 };
constexpr milliseconds retryAfter { 500 };
constexpr unsigned badGateway = 502;
constexpr unsigned unavailable = 503;
constexpr std::size_t maxRedirects = 2;
/// Limit of the hint cache: more than the number of jobs that run at once in the largest deployments.
constexpr std::size_t maxHolderHints = 4000;

} // namespace

/// A request that is sent to one batch process after the other until one gives a final response.
class job_forwarder::forwarded_call final : public drainable_request,
                                            public std::enable_shared_from_this<forwarded_call> {
public:
    forwarded_call(job_forwarder& owner, std::shared_ptr<http_exchange> caller, admitted_call call,
        std::vector<job_candidate> candidates)
        : m_owner(owner)
        , m_caller(std::move(caller))
        , m_admitted(std::move(call))
        , m_candidates(candidates.begin(), candidates.end())
        , m_replyMemory(m_owner.m_memory)
        , m_deadline(m_caller->received() + m_admitted.callerTimeout)
    {
    }

    void start()
    {
        m_self = shared_from_this();
        m_caller->onCallerGone([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->end("caller gone", 0);
        });
        if (m_owner.m_drain) {
            m_owner.m_drain->add(*this);
            if (m_owner.m_drain->refuses(std::min(m_deadline, m_caller->received() + longestAttempt())))
                return refuseStopping();
        }
        next();
    }

    /// Each call has been passed on, and its response is awaited.
    void drain() override { }

    void cutOff() override
    {
        m_lastReason = "this process is being stopped";
        m_outcomeUnknown = m_outcomeUnknown || m_call;
        failCall();
    }

private:
    milliseconds longestAttempt() const { return answerTimeout + m_admitted.maxHold; }

    void refuseStopping()
    {
        const auto reason = stoppingFailure();
        m_lastReason = reason.message;
        refuse(*m_caller, reason);
        end("refused", unavailable);
    }

    void next()
    {
        m_call.reset();
        const auto now = std::chrono::steady_clock::now();
        // Skips processes that failed or have already given all the information they have.
        while (!m_candidates.empty() && m_excluded.contains(m_candidates.front().address))
            m_candidates.pop_front();
        if (m_candidates.empty() || now >= m_deadline)
            return failCall();
        m_address = m_candidates.front().address;
        m_onlyIfHeld = m_candidates.front().onlyIfHeld;
        m_candidates.pop_front();
        auto request = m_caller->request();
        request.headers = m_owner.headersFor(request.headers, m_admitted);
        if (m_onlyIfHeld)
            request.headers.emplace_back(onlyIfHeldHeader, "1");
        client_call_options options;
        options.deadline = std::min(m_deadline, now + longestAttempt());
        options.connectTimeout = m_onlyIfHeld ? ifHeldConnectTimeout : connectTimeout;
        options.limits = peerLimits;
        m_reply = {};
        client_call_events events;
        events.head = [this](const http_reply& head) {
            m_reply = head;
            return true;
        };
        events.body = [this](std::string_view piece) { return appendToReply(piece); };
        events.whole = [this] { onReply(); };
        events.failed = [this](const failure& error) {
            if (m_noMemory)
                return failForMemory();
            m_outcomeUnknown = m_outcomeUnknown || error.ran != verdict::not_run;
            m_lastReason = error.message;
            m_excluded.insert(m_address);
            m_owner.dropHolderHint(m_admitted.jobId);
            next();
        };
        ++m_attempts;
        m_call = m_owner.m_client.start(m_address, request, options, std::move(events));
    }

    bool appendToReply(std::string_view piece)
    {
        const auto size = m_reply.body.size() + piece.size();
        if (size > m_reply.body.capacity()) {
            const auto capacity = std::max(size, 2 * m_reply.body.capacity());
            m_noMemory = !m_replyMemory.resize(capacity, std::chrono::steady_clock::now());
            if (m_noMemory)
                return false;
            m_reply.body.reserve(capacity);
        }
        m_reply.body.append(piece);
        return true;
    }

    /// Responses that take memory are those to reads, which can be repeated.
    void failForMemory()
    {
        m_reply = {};
        m_lastReason = "there is no memory for the response";
        if (m_admitted.kind == call_kind::submission) {
            m_caller->send({ badGateway, { { "Content-Type", "text/plain" } }, m_lastReason + "\n" });
            return end("unknown", badGateway);
        }
        refuse(*m_caller, notRun(failure_kind::unavailable, m_lastReason, retryAfter));
        end("refused", unavailable);
    }

    void onReply()
    {
        if (const auto holder = std::string(findHeader(m_reply.headers, jobHolderHeader)); !holder.empty()) {
            const bool known = std::find(m_redirects.begin(), m_redirects.end(), holder) != m_redirects.end();
            m_lastReason = "the job is held by " + holder;
            m_excluded.insert(m_address);
            if (!known && m_redirects.size() < maxRedirects) {
                m_redirects.push_back(holder);
                m_candidates.push_front({ holder, false });
                m_owner.addHolderHint(m_admitted.jobId, holder);
            }
            return next();
        }
        // Another process may hold the job or be able to reach the store.
        if (m_reply.status == unavailable || m_reply.status == badGateway) {
            m_outcomeUnknown = m_outcomeUnknown || m_reply.status == badGateway;
            m_lastReason = m_reply.body;
            if (!m_onlyIfHeld)
                m_excluded.insert(m_address);
            return next();
        }
        // The next request about this job goes to this process first.
        if (m_onlyIfHeld)
            m_owner.addHolderHint(m_admitted.jobId, m_address);
        const auto status = m_reply.status;
        m_replyMemory.release(); // From here on it is output.
        m_caller->send({ m_reply.status, endToEndHeaders(m_reply.headers), std::move(m_reply.body) });
        end("answered", status);
    }

    /// No candidate gave a final response. The request may be reported as not run only if no process can have
    /// processed it.
    void failCall()
    {
        if (m_outcomeUnknown) {
            m_caller->send({ badGateway, { { "Content-Type", "text/plain" } },
                "no batch process confirmed the request; it may or may not have taken effect\n" });
            return end("unknown", badGateway);
        }
        refuse(*m_caller, notRun(failure_kind::unavailable, "no batch process is available", retryAfter));
        end("refused", unavailable);
    }

    void end(std::string_view outcome, unsigned status)
    {
        if (m_owner.m_drain)
            m_owner.m_drain->remove(*this);
        const bool good = outcome == "answered" && status < 400;
        m_owner.m_figures.count("yuccachute_job_calls_total", "outcome", outcome);
        const auto took = std::chrono::duration_cast<milliseconds>(
            std::chrono::steady_clock::now() - m_caller->received());
        logEvent(good ? log_level::info : log_level::warning, "job call",
            { { "job", m_admitted.jobId }, { "method", m_caller->request().method }, { "outcome", outcome },
                { "status", std::int64_t { status } }, { "batch", m_address },
                { "sends", std::int64_t { m_attempts } }, { "took_ms", took.count() },
                { "reason", good ? std::string_view() : std::string_view(m_lastReason) } });
        if (m_call)
            m_call->cancel();
        m_call.reset();
        m_owner.m_loop.post(
            [self = std::move(m_self)] {}); // Destroyed later: a callback of m_call may be running.
    }

    job_forwarder& m_owner;
    std::shared_ptr<http_exchange> m_caller;
    admitted_call m_admitted;
    std::deque<job_candidate> m_candidates;
    std::vector<std::string> m_redirects;
    std::set<std::string> m_excluded;
    memory_share m_replyMemory;
    steady_time m_deadline;
    std::shared_ptr<forwarded_call> m_self;
    std::shared_ptr<client_call> m_call;
    std::string m_address;
    std::string m_lastReason;
    http_reply m_reply;
    unsigned m_attempts = 0;
    bool m_onlyIfHeld = false; ///< Whether the current candidate was queried this way.
    bool m_outcomeUnknown = false;
    bool m_noMemory = false; ///< For the response.
};

namespace {

std::vector<const node_record*> rankNodes(
    const std::string& jobId, std::string_view zone, std::span<const node_record> batchNodes)
{
    return rankByHash(batchNodes, hashText(jobId), [&](const auto& node) { return node.zone == zone; });
}

} // namespace

std::vector<std::string> rankHolders(
    const std::string& jobId, std::string_view zone, std::span<const node_record> batchNodes)
{
    std::vector<std::string> addresses;
    for (const auto* node : rankNodes(jobId, zone, batchNodes))
        addresses.push_back(node->address);
    return addresses;
}

std::vector<job_candidate> candidatesForJob(
    const std::string& jobId, std::string_view zone, std::span<const node_record> batchNodes)
{
    const auto ranked = rankNodes(jobId, zone, batchNodes);
    std::vector<job_candidate> candidates;
    std::set<std::string_view> zones;
    for (const auto* node : ranked) {
        if (zones.insert(node->zone).second)
            candidates.push_back({ node->address, true });
    }
    // With a single zone there is no holder in another zone to look for.
    if (candidates.size() == 1)
        candidates.clear();
    for (const auto* node : ranked)
        candidates.push_back({ node->address, false });
    return candidates;
}

job_forwarder::job_forwarder(event_loop& loop, http_client& client, const caller_protocol& protocol,
    std::string zone, node_list batchNodes, metrics& figures, std::shared_ptr<memory_budget> memory,
    request_drain* drain)
    : m_loop(loop)
    , m_client(client)
    , m_protocol(protocol)
    , m_zone(std::move(zone))
    , m_nodes(std::move(batchNodes))
    , m_figures(figures)
    , m_memory(std::move(memory))
    , m_drain(drain)
{
}

std::vector<job_candidate> job_forwarder::candidates(const std::string& jobId, call_kind kind) const
{
    const auto nodes = m_nodes();
    std::vector<job_candidate> found;
    if (const auto known = m_holderHints.find(jobId); known != m_holderHints.end())
        found.push_back({ known->second, false });
    if (kind == call_kind::submission) {
        for (auto& address : rankHolders(jobId, m_zone, nodes))
            found.push_back({ std::move(address), false });
        return found;
    }
    const auto others = candidatesForJob(jobId, m_zone, nodes);
    found.insert(found.end(), others.begin(), others.end());
    return found;
}

void job_forwarder::addHolderHint(const std::string& jobId, const std::string& holder)
{
    if (!m_holderHints.contains(jobId))
        m_hintOrder.push_back(jobId);
    m_holderHints[jobId] = holder;
    if (m_hintOrder.size() <= maxHolderHints)
        return;
    m_holderHints.erase(m_hintOrder.front());
    m_hintOrder.pop_front();
}

void job_forwarder::dropHolderHint(const std::string& jobId)
{
    m_holderHints.erase(jobId); // The entry in m_hintOrder stays until its eviction.
}

/// Removes the headers that batch processes trust if the caller sent them.
http_headers job_forwarder::headersFor(const http_headers& given, const admitted_call& call) const
{
    auto headers = endToEndHeaders(given);
    for (const auto trusted : { customerHeader, configurationHeader, jobEndedHeader })
        removeHeader(headers, trusted);
    if (call.configuration != 0)
        headers.emplace_back(configurationHeader, std::to_string(call.configuration));
    if (!call.customer)
        return headers;
    m_protocol.removeKey(headers);
    headers.emplace_back(customerHeader, *call.customer);
    return headers;
}

void job_forwarder::forward(std::shared_ptr<http_exchange> caller, admitted_call call)
{
    auto ranked = candidates(call.jobId, call.kind);
    std::make_shared<forwarded_call>(*this, std::move(caller), std::move(call), std::move(ranked))->start();
}

} // namespace yuccachute
