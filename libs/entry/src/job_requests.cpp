#include "request_context.h"

#include <nlohmann/json.hpp>

namespace yuccachute {

namespace {

constexpr std::string_view jobsPath = "/v1/batches";
constexpr milliseconds submitTimeout { 60000 };
constexpr milliseconds readTimeout { 5000 };

void sendJob(request_context& context, const result<job_view>& job, unsigned status)
{
    if (!job)
        return sendFailure(context, job.error());
    context.sink.send(
        { status, { { "Content-Type", "application/json" }, { "X-Request-Id", context.requestId } },
            writeJob(job.value()) });
}

/// Calls batch processes in turn until one gives a final response. All calls may be repeated at any process:
/// reads and cancellations are idempotent, and a repeated submission finds the job of an earlier one.
template <typename Call>
auto callAnyBatch(entry_services& services, const std::string& key, const Call& call)
    -> decltype(call(std::string()))
{
    failure last = notRun(
        failure_kind::unavailable, "this entry knows no running batch process", milliseconds { 2000 });
    bool mayHaveRun = false;
    for (const auto& address : services.peers.batchAddresses(key)) {
        auto outcome = call(address);
        if (outcome)
            return outcome;
        const auto kind = outcome.error().kind;
        const bool another = kind == failure_kind::unavailable || kind == failure_kind::timeout;
        mayHaveRun = mayHaveRun || outcome.error().ran == verdict::may_have_run;
        last = outcome.error();
        if (!another)
            break;
    }
    // A refusal by the last process does not rule out that an earlier one ran the call.
    if (mayHaveRun && last.ran == verdict::not_run)
        last.ran = verdict::may_have_run;
    if (last.kind == failure_kind::unavailable && last.retryAfter.count() == 0)
        last.retryAfter = milliseconds { 2000 };
    return last;
}

void submit(entry_services& services, request_context& context)
{
    submit_request request;
    request.customer = context.customer;
    request.service = queryParameter(context.request.query, "service");
    request.idempotencyKey = std::string(findHeader(context.request.headers, "Idempotency-Key"));
    request.items = context.request.body;
    if (request.service.empty())
        return sendFailure(
            context, notRun(failure_kind::bad_request, "query parameter \"service\": is missing"));
    if (const auto due = queryParameter(context.request.query, "due_ms"); !due.empty()) {
        if (!checkValue("fleet", "job_due_ms", due))
            return sendFailure(context,
                notRun(failure_kind::bad_request,
                    "query parameter \"due_ms\": must be a whole number of milliseconds of at least 1000"));
        request.due = milliseconds { std::atoll(due.c_str()) };
    }
    // Without a key from the caller, a generated key lets all attempts below refer to the same job.
    if (request.idempotencyKey.empty())
        request.idempotencyKey = "request " + context.token;
    const auto job = callAnyBatch(services, request.idempotencyKey,
        [&](const std::string& address) { return services.rpc.submit(address, request, submitTimeout); });
    sendJob(context, job, 202);
}

void sendResults(entry_services& services, request_context& context, const std::string& id)
{
    const auto cursor
        = static_cast<std::uint64_t>(std::atoll(queryParameter(context.request.query, "cursor").c_str()));
    const auto page = callAnyBatch(services, id, [&](const std::string& address) {
        return services.rpc.results(address, context.customer, id, cursor, readTimeout);
    });
    if (!page)
        return sendFailure(context, page.error());
    http_reply reply;
    reply.headers = { { "Content-Type", "application/x-ndjson" }, { "X-Request-Id", context.requestId },
        { "X-Next-Cursor", std::to_string(page.value().nextCursor) },
        { "X-End", page.value().end ? "true" : "false" } };
    reply.body = page.value().lines;
    context.sink.send(std::move(reply));
}

} // namespace

void handleJobs(entry_services& services, request_context& context)
{
    const auto& path = context.request.path;
    if (path == jobsPath && context.request.method == "POST")
        return submit(services, context);
    if (!path.starts_with(std::string(jobsPath) + '/'))
        return sendFailure(context, notRun(failure_kind::not_found, "the path does not exist"));
    const auto rest = path.substr(jobsPath.size() + 1);
    const auto slash = rest.find('/');
    const auto id = rest.substr(0, slash);
    const auto action = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (action.empty() && context.request.method == "GET")
        return sendJob(context,
            callAnyBatch(services, id,
                [&](const std::string& address) {
                    return services.rpc.describe(address, context.customer, id, readTimeout);
                }),
            200);
    if (action == "results" && context.request.method == "GET")
        return sendResults(services, context, id);
    if (action == "cancel" && context.request.method == "POST")
        return sendJob(context,
            callAnyBatch(services, id,
                [&](const std::string& address) {
                    return services.rpc.cancel(address, context.customer, id, readTimeout);
                }),
            200);
    sendFailure(
        context, notRun(failure_kind::not_found, "the path does not exist or does not support the method"));
}

} // namespace yuccachute
