#include "messages/messages.h"

#include "json_input/json_input.h"

#include <nlohmann/json.hpp>

namespace yuccachute {

namespace {

using json = nlohmann::json;

constexpr unsigned maxCompletionTokens = 1u << 20;

/// Writes JSON. Replaces invalid UTF-8 in strings, which would otherwise throw.
std::string dump(const nlohmann::ordered_json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

failure invalidField(const std::string& field, const std::string& problem)
{
    return notRun(failure_kind::bad_request, "field \"" + field + "\": " + problem);
}

} // namespace

result<completion_request> parseCompletion(std::string_view body, std::size_t maxPromptBytes)
{
    const auto document = parseJson(body);
    if (document.is_discarded())
        return notRun(failure_kind::bad_request, "the body is not valid JSON");
    if (!document.is_object())
        return notRun(failure_kind::bad_request, "the body is not a JSON object");
    completion_request request;
    const auto model = document.find("model");
    if (model == document.end() || !model->is_string() || model->get_ref<const std::string&>().empty())
        return invalidField("model", "must be a non-empty string, the name of a service");
    request.model = model->get<std::string>();
    const auto prompt = document.find("prompt");
    if (prompt == document.end() || !prompt->is_string())
        return invalidField("prompt", "must be a string");
    request.prompt = prompt->get<std::string>();
    if (request.prompt.size() > maxPromptBytes)
        return notRun(failure_kind::too_large,
            "field \"prompt\": must not be longer than " + std::to_string(maxPromptBytes) + " bytes");
    if (const auto count = document.find("max_tokens"); count != document.end()) {
        if (!count->is_number_unsigned() || count->get<std::uint64_t>() == 0
            || count->get<std::uint64_t>() > maxCompletionTokens)
            return invalidField(
                "max_tokens", "must be an integer from 1 to " + std::to_string(maxCompletionTokens));
        request.maxTokens = count->get<unsigned>();
    }
    if (const auto stream = document.find("stream"); stream != document.end()) {
        if (!stream->is_boolean())
            return invalidField("stream", "must be true or false");
        request.stream = stream->get<bool>();
    }
    return request;
}

std::string writeCompletion(const completion_request& request)
{
    return dump({ { "model", request.model }, { "prompt", request.prompt },
        { "max_tokens", request.maxTokens }, { "stream", request.stream } });
}

std::string writeFailure(const failure& error, std::string_view requestId)
{
    nlohmann::ordered_json body;
    body["code"] = toString(error.kind);
    body["message"] = error.message;
    body["verdict"] = toString(error.ran);
    if (!requestId.empty())
        body["request_id"] = requestId;
    return dump({ { "error", body } }) + '\n';
}

std::optional<verdict> readVerdict(std::string_view body)
{
    const auto document = parseJson(body);
    if (!document.is_object())
        return std::nullopt;
    const auto error = document.find("error");
    if (error == document.end() || !error->is_object())
        return std::nullopt;
    const auto name = error->value("verdict", "");
    for (auto candidate : { verdict::not_run, verdict::may_have_run, verdict::done }) {
        if (name == toString(candidate))
            return candidate;
    }
    return std::nullopt;
}

std::string writeJob(const job_view& job)
{
    nlohmann::ordered_json body;
    body["id"] = job.id;
    body["object"] = "batch";
    body["service"] = job.service;
    body["state"] = job.state;
    body["counts"] = { { "total", job.total }, { "completed", job.completed }, { "failed", job.failed } };
    body["progress"] = job.total == 0
        ? 1.0
        : static_cast<double>(job.completed + job.failed) / static_cast<double>(job.total);
    body["created_ms"] = job.createdMs;
    body["due_ms"] = job.dueMs;
    if (job.endedMs != 0)
        body["ended_ms"] = job.endedMs;
    body["existed"] = job.existed;
    return dump(body) + '\n';
}

std::string writeEvent(std::string_view id, std::string_view model, const completion_event& event)
{
    nlohmann::ordered_json choice { { "index", 0 }, { "text", event.text }, { "finish_reason", nullptr } };
    if (!event.finishReason.empty())
        choice["finish_reason"] = event.finishReason;
    return "data: "
        + dump({ { "id", id }, { "object", "text_completion" }, { "model", model },
            { "choices", nlohmann::ordered_json::array({ choice }) } })
        + "\n\n";
}

std::string writeWholeCompletion(std::string_view id, std::string_view model, std::string_view text,
    std::string_view finishReason, std::size_t tokens)
{
    nlohmann::ordered_json choice { { "index", 0 }, { "text", text }, { "finish_reason", finishReason } };
    return dump({ { "id", id }, { "object", "text_completion" }, { "model", model },
               { "choices", nlohmann::ordered_json::array({ choice }) },
               { "usage", { { "completion_tokens", tokens } } } })
        + '\n';
}

} // namespace yuccachute
