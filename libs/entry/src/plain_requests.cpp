#include "request_context.h"

#include "logging/logging.h"

#include <algorithm>
#include <array>

namespace yuccachute {

namespace {

constexpr std::string_view pathPrefix = "/services/";
/// Headers that are not forwarded: hop-by-hop headers and those that this system sets itself.
constexpr std::array<std::string_view, 9> systemHeaders { "Host", "Connection", "Content-Length",
    "Transfer-Encoding", "Authorization", "X-Request-Id", "Keep-Alive", "Expect", "X-Timeout-Ms" };

bool isSystemHeader(std::string_view name)
{
    return std::any_of(systemHeaders.begin(), systemHeaders.end(), [&](std::string_view own) {
        return !findHeader({ { std::string(name), "x" } }, own).empty();
    });
}

/// Whether a request may run more than once: by the caller's X-Idempotent header or, without it, by the
/// definition of its method.
bool isIdempotent(const http_request& request)
{
    if (const auto said = findHeader(request.headers, "X-Idempotent"); !said.empty())
        return said == "true";
    return request.method == "GET" || request.method == "HEAD" || request.method == "PUT"
        || request.method == "DELETE" || request.method == "OPTIONS";
}

/// Serves one request to a plain service, with retries.
class plain_run {
public:
    plain_run(entry_services& services, request_context& context, std::string service, std::string path)
        : m_services(services)
        , m_context(context)
        , m_service(std::move(service))
        , m_path(std::move(path))
        , m_idempotent(isIdempotent(context.request))
    {
    }

    void run()
    {
        auto reply = runClaimed();
        const auto* error = reply ? nullptr : &reply.error();
        m_services.figures.observe("yuccachute_total_seconds", { m_context.customer, "live" },
            std::chrono::steady_clock::now() - m_context.started);
        recordRequestEnd(m_services, m_context, m_service, m_lastTarget, error);
        if (error)
            return sendFailure(m_context, *error);
        auto& answer = reply.value();
        std::erase_if(answer.headers, [](const auto& header) { return isSystemHeader(header.first); });
        answer.headers.emplace_back("X-Request-Id", m_context.requestId);
        m_context.sink.send(std::move(answer));
    }

private:
    /// Ensures that a non-idempotent request with an idempotency key runs only once, also if the caller sends
    /// it again to another entry.
    result<http_reply> runClaimed()
    {
        const std::string key(findHeader(m_context.request.headers, "Idempotency-Key"));
        if (m_idempotent || key.empty())
            return runAttempts();
        const auto claim = m_services.claims.take(m_context.customer, key, m_context.token);
        if (!claim)
            return claim.error();
        if (!claim.value().mine && claim.value().earlierReply)
            return *claim.value().earlierReply;
        if (!claim.value().mine)
            return failure { verdict::may_have_run, failure_kind::conflict,
                "a request with this idempotency key is running or has run, and its response was not stored",
                milliseconds { 1000 } };
        auto reply = runAttempts();
        if (reply)
            m_services.claims.storeReply(m_context.customer, key, m_context.token, reply.value());
        else if (reply.error().ran == verdict::not_run)
            m_services.claims.releaseClaim(m_context.customer, key);
        return reply;
    }

    result<http_reply> runAttempts()
    {
        m_services.limits.countRequest(m_context.customer, m_context.effective.retryShare);
        bool mayHaveRunBefore = false;
        for (unsigned attempt = 0;; ++attempt) {
            auto reply = runOnce();
            if (reply)
                return reply;
            auto error = reply.error();
            mayHaveRunBefore = mayHaveRunBefore || error.ran == verdict::may_have_run;
            if (mayHaveRunBefore)
                error.ran = verdict::may_have_run;
            const bool allowed = error.ran == verdict::not_run ? m_reachedTarget : m_idempotent;
            if (!allowed || attempt >= m_context.effective.retries
                || std::chrono::steady_clock::now() >= m_context.deadline)
                return error;
            if (!m_services.limits.takeRetry(m_context.customer))
                return error;
            m_services.figures.count("yuccachute_retries_total", "verdict", toString(error.ran));
        }
    }

    result<http_reply> runOnce()
    {
        m_reachedTarget = false;
        slot_request slotRequest;
        slotRequest.customer = m_context.customer;
        slotRequest.weight = m_context.effective.weight;
        slotRequest.queueLimit = m_context.effective.queueLimit;
        slotRequest.avoid = m_lastTarget;
        slotRequest.deadline = m_context.deadline;
        BOOST_OUTCOME_TRY(auto slot, acquireSlot(m_services, m_context, m_service, slotRequest));
        m_reachedTarget = true;
        m_lastTarget = slot.target;
        m_services.figures.observe(
            "yuccachute_queue_wait_seconds", { m_context.customer, "live" }, slot.waited);
        http_call_options options;
        options.deadline = m_context.deadline;
        auto reply = httpCall(slot.address, forwardedRequest(), options);
        if (reply && reply.value().status == 503 && readVerdict(reply.value().body) == verdict::not_run)
            reply = notRun(failure_kind::unavailable, "the target refused the request before running it");
        const bool timedOut = !reply && reply.error().kind == failure_kind::timeout;
        const auto outcome = reply ? grant_outcome::ok
            : timedOut             ? grant_outcome::abandoned
                                   : grant_outcome::failed;
        releaseSlot(m_services, slot, { 0, outcome, milliseconds { 0 }, 1 });
        return reply;
    }

    http_request forwardedRequest() const
    {
        http_request request;
        request.method = m_context.request.method;
        request.path = m_path;
        request.query = m_context.request.query;
        request.body = m_context.request.body;
        for (const auto& header : m_context.request.headers) {
            if (!isSystemHeader(header.first))
                request.headers.push_back(header);
        }
        request.headers.emplace_back("X-Request-Id", m_context.requestId);
        return request;
    }

    entry_services& m_services;
    request_context& m_context;
    std::string m_service;
    std::string m_path;
    bool m_idempotent;
    bool m_reachedTarget = false;
    std::string m_lastTarget;
};

} // namespace

void handlePlain(entry_services& services, request_context& context)
{
    auto rest = std::string_view(context.request.path).substr(pathPrefix.size());
    const auto slash = rest.find('/');
    const std::string name(rest.substr(0, slash));
    const std::string path = slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
    const auto service = findService(context.settings->tree, name);
    if (!service || service->model)
        return sendFailure(
            context, notRun(failure_kind::not_found, "no plain service is named \"" + name + '"'));
    context.effective = resolveRequest(context.settings->tree, context.customer, name);
    if (const auto deadline = setDeadline(context); !deadline)
        return sendFailure(context, deadline.error());
    if (const auto admitted = services.limits.admit(context.customer, context.effective, 1, context.started);
        !admitted)
        return sendFailure(context, admitted.error());
    plain_run(services, context, name, path).run();
}

} // namespace yuccachute
