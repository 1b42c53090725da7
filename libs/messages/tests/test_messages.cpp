#include "messages/messages.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

std::string errorMessage(std::string_view body)
{
    const auto parsed = parseCompletion(body, 100);
    return parsed ? "" : parsed.error().message;
}

} // namespace

TEST_CASE("malformed completion requests are rejected with the name of the field")
{
    CHECK(errorMessage("{") == "the body is not valid JSON");
    CHECK(errorMessage("[]") == "the body is not a JSON object");
    CHECK(errorMessage(R"({"prompt":"x"})").find("\"model\"") != std::string::npos);
    CHECK(errorMessage(R"({"model":"m","prompt":5})").find("\"prompt\"") != std::string::npos);
    CHECK(errorMessage(R"({"model":"m","prompt":"x","max_tokens":0})").find("\"max_tokens\"")
        != std::string::npos);
    CHECK(errorMessage(R"({"model":"m","prompt":"x","max_tokens":-1})").find("\"max_tokens\"")
        != std::string::npos);
    CHECK(
        errorMessage(R"({"model":"m","prompt":"x","stream":"yes"})").find("\"stream\"") != std::string::npos);
    CHECK(errorMessage(R"({"model":"m","prompt":")" + std::string(101, 'x') + "\"}").find("longer")
        != std::string::npos);
    CHECK(errorMessage(R"({"model":"m","prompt":"x","max_tokens":3,"stream":true})").empty());
}

TEST_CASE("a stream is complete only with a finish reason and the final event, however its bytes are split")
{
    const std::string stream = writeEvent("1", "m", { "a ", "" }) + ": comment\n\n"
        + writeEvent("1", "m", { "b", "length" }) + std::string(doneEvent);
    for (std::size_t size : { 1u, 3u, 1000u }) {
        event_reader reader;
        std::string text;
        for (std::size_t at = 0; at < stream.size(); at += size) {
            CHECK(reader.whole() == (at >= stream.size() - 1));
            for (const auto& event : reader.feed(std::string_view(stream).substr(at, size)))
                text += event.text;
        }
        CHECK(reader.whole());
        CHECK(text == "a b");
        CHECK(reader.finishReason() == "length");
    }
    event_reader truncated;
    truncated.feed(writeEvent("1", "m", { "a", "" }));
    truncated.feed(doneEvent);
    CHECK(!truncated.whole());
    event_reader broken;
    broken.feed("data: {\"choices\":[]}\n");
    CHECK(broken.broken());
}

TEST_CASE("the JSON body of a failure contains its verdict")
{
    const auto body = writeFailure(mayHaveRun(failure_kind::incomplete, "cut \xff"), "r1");
    CHECK(readVerdict(body) == verdict::may_have_run);
    CHECK(!readVerdict("{}"));
    CHECK(!readVerdict("nonsense"));
}
