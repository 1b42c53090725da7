#include "request_context.h"

#include "logging/logging.h"

#include <algorithm>
#include <cmath>

namespace yuccachute {

namespace {

constexpr std::size_t maxPromptBytes = 8u << 20;
constexpr double bytesPerToken = 4;

/// Serves one completion request. Holds the text that the caller has received so far, from which each further
/// attempt continues.
class completion_run {
public:
    completion_run(entry_services& services, request_context& context, completion_request request)
        : m_services(services)
        , m_context(context)
        , m_request(std::move(request))
        , m_idempotent(findHeader(context.request.headers, "X-Idempotent") != "false")
    {
    }

    void run()
    {
        auto error = runAttempts();
        m_services.figures.observe(
            "yuccachute_total_seconds", labels(), std::chrono::steady_clock::now() - m_context.started);
        recordRequestEnd(m_services, m_context, m_request.model, m_lastTarget, error ? &*error : nullptr);
        if (error)
            return finishWithFailure(*error);
        finish();
    }

private:
    metric_labels labels() const { return { m_context.customer, "live" }; }

    /// Runs attempts until one completes. Returns the failure to report to the caller, or nullopt on success.
    std::optional<failure> runAttempts()
    {
        m_services.limits.countRequest(m_context.customer, m_context.effective.retryShare);
        for (unsigned attempt = 0;; ++attempt) {
            const auto slot = acquireSlot(m_services, m_context, m_request.model, makeSlotRequest());
            if (!slot)
                return withRunVerdict(slot.error());
            m_services.figures.observe("yuccachute_queue_wait_seconds", labels(), slot.value().waited);
            const auto outcome = runAttempt(slot.value(), attempt);
            if (outcome.whole)
                return std::nullopt;
            if (m_callerGone)
                return outcome.error;
            if (!canRetry(outcome.error) || attempt >= m_context.effective.retries
                || std::chrono::steady_clock::now() >= m_context.deadline)
                return withRunVerdict(outcome.error);
            if (!m_services.limits.takeRetry(m_context.customer))
                return withRunVerdict(outcome.error);
            m_services.figures.count("yuccachute_retries_total", "verdict", toString(outcome.error.ran));
        }
    }

    /// Whether another attempt is allowed. A request that has not run may always run elsewhere; one that may
    /// have run only if it is idempotent. After output it must continue the text that the caller already has,
    /// which the settings must allow.
    bool canRetry(const failure& error) const
    {
        if (error.ran == verdict::done || error.kind == failure_kind::bad_request)
            return false;
        if (m_tokens > 0 && !m_context.effective.continueBrokenStreams)
            return false;
        return error.ran == verdict::not_run || m_idempotent;
    }

    /// Corrects the verdict of a failure: after output, or an earlier attempt that may have run, the request
    /// cannot be reported as not run.
    failure withRunVerdict(failure error) const
    {
        if (m_tokens > 0 || m_mayHaveRun)
            error.ran = error.ran == verdict::done ? verdict::done : verdict::may_have_run;
        return error;
    }

    slot_request makeSlotRequest() const
    {
        slot_request slotRequest;
        slotRequest.customer = m_context.customer;
        slotRequest.workClass = work_class::live;
        slotRequest.weight = m_context.effective.weight;
        slotRequest.queueLimit = m_context.effective.queueLimit;
        slotRequest.cost
            = static_cast<double>(m_request.prompt.size()) / bytesPerToken + m_request.maxTokens - m_tokens;
        slotRequest.prefixes = prefixHashes(m_request.prompt);
        slotRequest.avoid = m_lastTarget;
        slotRequest.deadline = m_context.deadline;
        return slotRequest;
    }

    attempt_outcome runAttempt(const held_grant& slot, unsigned number)
    {
        m_lastTarget = slot.target;
        completion_attempt attempt;
        attempt.address = slot.address;
        attempt.requestId = m_context.token + '-' + std::to_string(number);
        attempt.request = m_request;
        attempt.request.prompt += m_text;
        attempt.request.maxTokens -= m_tokens;
        attempt.deadline = m_context.deadline;
        attempt.idleTimeout = m_context.effective.stallTimeout;
        attempt.onEvent = [this](const completion_event& event) { return relayText(event); };
        const auto sent = std::chrono::steady_clock::now();
        auto outcome = runCompletion(attempt);
        if (!outcome.whole && outcome.error.ran != verdict::not_run) {
            m_mayHaveRun = true;
            cancelCompletion(slot.address, attempt.requestId);
        }
        m_finishReason = outcome.finishReason;
        grant_release figures;
        figures.outcome = judgeTarget(outcome);
        figures.firstToken = outcome.firstToken;
        figures.tokens = static_cast<double>(outcome.events);
        releaseSlot(m_services, slot, figures);
        observe(outcome, sent);
        return outcome;
    }

    void observe(const attempt_outcome& outcome, steady_time sent)
    {
        const auto now = std::chrono::steady_clock::now();
        if (outcome.events > 0)
            m_services.figures.observe(
                "yuccachute_first_token_seconds", labels(), m_firstToken - m_context.started);
        if (outcome.events > 1)
            m_services.figures.observe("yuccachute_inter_token_seconds", labels(),
                (now - sent - outcome.firstToken) / static_cast<std::int64_t>(outcome.events - 1));
    }

    /// Sends text to the caller. Returns false once the caller has disconnected.
    bool relayText(const completion_event& event)
    {
        if (m_tokens++ == 0)
            m_firstToken = std::chrono::steady_clock::now();
        m_text += event.text;
        if (!m_request.stream)
            return true;
        if (!m_streaming) {
            m_streaming = true;
            m_callerGone = !m_context.sink.startStream(
                200, { { "Content-Type", "text/event-stream" }, { "X-Request-Id", m_context.requestId } });
        }
        m_callerGone = m_callerGone
            || !m_context.sink.write(writeEvent(m_context.requestId, m_request.model, { event.text, {} }));
        return !m_callerGone;
    }

    void finish()
    {
        const std::string reason = m_finishReason.empty() ? "stop" : m_finishReason;
        if (!m_request.stream) {
            return m_context.sink.send(
                { 200, { { "Content-Type", "application/json" }, { "X-Request-Id", m_context.requestId } },
                    writeWholeCompletion(m_context.requestId, m_request.model, m_text, reason, m_tokens) });
        }
        if (!m_streaming)
            m_context.sink.startStream(
                200, { { "Content-Type", "text/event-stream" }, { "X-Request-Id", m_context.requestId } });
        m_context.sink.write(
            writeEvent(m_context.requestId, m_request.model, { {}, reason }) + std::string(doneEvent));
        m_context.sink.finish();
    }

    /// A stream that has started ends with an error event and without the final event, so that no caller
    /// takes it as complete.
    void finishWithFailure(const failure& error)
    {
        if (!m_streaming)
            return sendFailure(m_context, error);
        auto body = writeFailure(error, m_context.requestId);
        body.pop_back();
        m_context.sink.write("data: " + body + "\n\n");
        m_context.sink.finish();
    }

    entry_services& m_services;
    request_context& m_context;
    completion_request m_request;
    bool m_idempotent;
    std::string m_text;
    unsigned m_tokens = 0;
    std::string m_lastTarget;
    std::string m_finishReason;
    steady_time m_firstToken;
    bool m_streaming = false;
    bool m_callerGone = false;
    bool m_mayHaveRun = false;
};

} // namespace

void sendFailure(request_context& context, const failure& error)
{
    http_reply reply;
    reply.status = httpStatus(error.kind);
    reply.headers = { { "Content-Type", "application/json" }, { "X-Request-Id", context.requestId } };
    if (error.retryAfter.count() > 0) {
        const auto seconds = (error.retryAfter.count() + 999) / 1000;
        reply.headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    reply.body = writeFailure(error, context.requestId);
    context.sink.send(std::move(reply));
}

result<void> setDeadline(request_context& context)
{
    auto timeout = context.effective.timeout;
    if (const auto header = findHeader(context.request.headers, "X-Timeout-Ms"); !header.empty()) {
        if (!checkValue("fleet", "timeout_ms", header))
            return notRun(failure_kind::bad_request,
                "header X-Timeout-Ms: must be a whole number of milliseconds from 1 to 3600000");
        timeout = milliseconds { std::atoll(std::string(header).c_str()) };
    }
    context.deadline = context.started + timeout;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void handleCompletion(entry_services& services, request_context& context)
{
    auto parsed = parseCompletion(context.request.body, maxPromptBytes);
    if (!parsed)
        return sendFailure(context, parsed.error());
    auto& request = parsed.value();
    const auto service = findService(context.settings->tree, request.model);
    if (!service || !service->model)
        return sendFailure(context,
            notRun(failure_kind::not_found,
                "field \"model\": no model service is named \"" + request.model + '"'));
    context.effective = resolveRequest(context.settings->tree, context.customer, request.model);
    if (const auto deadline = setDeadline(context); !deadline)
        return sendFailure(context, deadline.error());
    const double tokens = static_cast<double>(request.prompt.size()) / bytesPerToken + request.maxTokens;
    if (const auto admitted
        = services.limits.admit(context.customer, context.effective, tokens, context.started);
        !admitted)
        return sendFailure(context, admitted.error());
    completion_run(services, context, std::move(request)).run();
}

} // namespace yuccachute
