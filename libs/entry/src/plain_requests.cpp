#include "request_context.h"

#include "logging/logging.h"

#include <algorithm>
#include <array>

namespace yuccachute {

namespace {

constexpr std::string_view pathPrefix = "/services/";
/// Headers that belong to one connection, or that this system sets itself.
constexpr std::array<std::string_view, 9> ownHeaders { "Host", "Connection", "Content-Length",
    "Transfer-Encoding", "Authorization", "X-Request-Id", "Keep-Alive", "Expect", "X-Timeout-Ms" };

bool isOwnHeader(std::string_view name)
{
    return std::any_of(ownHeaders.begin(), ownHeaders.end(), [&](std::string_view own) {
        return !findHeader({ { std::string(name), "x" } }, own).empty();
    });
}

/// Methods that may be repeated by their definition. A caller can say otherwise.
bool isIdempotent(const http_request& request)
{
    if (const auto said = findHeader(request.headers, "X-Idempotent"); !said.empty())
        return said == "true";
    return request.method == "GET" || request.method == "HEAD" || request.method == "PUT"
        || request.method == "DELETE" || request.method == "OPTIONS";
}

/// A call to a plain service on its way.
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
        recordEnd(m_services, m_context, m_service, m_lastTarget, error);
        if (error)
            return sendFailure(m_context, *error);
        auto& answer = reply.value();
        std::erase_if(answer.headers, [](const auto& header) { return isOwnHeader(header.first); });
        answer.headers.emplace_back("X-Request-Id", m_context.requestId);
        m_context.sink.send(std::move(answer));
    }

private:
    /// A non-idempotent request with an idempotency key runs once across resends and entries.
    result<http_reply> runClaimed()
    {
        const std::string key(findHeader(m_context.request.headers, "Idempotency-Key"));
        if (m_idempotent || key.empty())
            return attempts();
        const auto claim = m_services.claims.take(m_context.customer, key, m_context.token);
        if (!claim)
            return claim.error();
        if (!claim.value().mine && claim.value().earlier)
            return *claim.value().earlier;
        if (!claim.value().mine)
            return failure { verdict::may_have_run, failure_kind::conflict,
                "a request with this idempotency key is running or has run, and its answer was not kept",
                milliseconds { 1000 } };
        auto reply = attempts();
        if (reply)
            m_services.claims.keepAnswer(m_context.customer, key, m_context.token, reply.value());
        else if (reply.error().ran == verdict::not_run)
            m_services.claims.giveBack(m_context.customer, key);
        return reply;
    }

    result<http_reply> attempts()
    {
        m_services.limits.countRequest(m_context.customer, m_context.effective.retryShare);
        bool mayHaveRunBefore = false;
        for (unsigned attempt = 0;; ++attempt) {
            auto reply = once();
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

    result<http_reply> once()
    {
        m_reachedTarget = false;
        slot_request ask;
        ask.customer = m_context.customer;
        ask.weight = m_context.effective.weight;
        ask.queueLimit = m_context.effective.queueLimit;
        ask.avoid = m_lastTarget;
        ask.deadline = m_context.deadline;
        BOOST_OUTCOME_TRY(auto place, findPlace(m_services, m_context, m_service, ask));
        m_reachedTarget = true;
        m_lastTarget = place.target;
        m_services.figures.observe(
            "yuccachute_queue_wait_seconds", { m_context.customer, "live" }, place.waited);
        http_call_options options;
        options.deadline = m_context.deadline;
        auto reply = httpCall(place.address, forwarded(), options);
        if (reply && reply.value().status == 503 && readVerdict(reply.value().body) == verdict::not_run)
            reply = notRun(failure_kind::unavailable, "the target refused before running");
        const bool timedOut = !reply && reply.error().kind == failure_kind::timeout;
        const auto outcome = reply ? grant_outcome::ok
            : timedOut             ? grant_outcome::abandoned
                                   : grant_outcome::failed;
        returnPlace(m_services, place, { 0, outcome, milliseconds { 0 }, 1 });
        return reply;
    }

    http_request forwarded() const
    {
        http_request request;
        request.method = m_context.request.method;
        request.path = m_path;
        request.query = m_context.request.query;
        request.body = m_context.request.body;
        for (const auto& header : m_context.request.headers) {
            if (!isOwnHeader(header.first))
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
            context, notRun(failure_kind::not_found, "there is no plain service \"" + name + '"'));
    context.effective = resolveRequest(context.settings->tree, context.customer, name);
    if (const auto deadline = setDeadline(context); !deadline)
        return sendFailure(context, deadline.error());
    if (const auto admitted = services.limits.admit(context.customer, context.effective, 1, context.started);
        !admitted)
        return sendFailure(context, admitted.error());
    plain_run(services, context, name, path).run();
}

} // namespace yuccachute
