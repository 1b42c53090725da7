// Stand-in of a model engine: continuous batching behind the HTTP interface that callers already know.

#include "engine_core.h"
#include "flags.h"
#include "http/http.h"
#include "messages/messages.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <iostream>

namespace {

using namespace yuccachute;
using namespace yuccachute::standin;

constexpr std::size_t mostPromptBytes = 1u << 22;
constexpr milliseconds readWait { 100 };

/// Faults and orders, set over HTTP.
struct engine_state {
    std::atomic<bool> leaving { false };
    std::atomic<int> slowMs { 0 };
    std::mutex mutex;
    std::int64_t fencing = 0;
    bool checksFencing = true;
    std::string adapter;
    std::string version;
    std::uint64_t orders = 0;
    std::uint64_t refusedOrders = 0;
};

void sendJson(reply_sink& sink, unsigned status, const nlohmann::json& body)
{
    sink.send({ status, { { "Content-Type", "application/json" } }, body.dump() + "\n" });
}

/// Writes tokens from an offset on as events until the sequence ends or the reader goes.
void streamTokens(engine_core& engine, const std::shared_ptr<sequence>& source, std::size_t offset,
    const std::string& model, reply_sink& sink)
{
    if (!sink.startStream(200, { { "Content-Type", "text/event-stream" } }))
        return;
    for (;;) {
        const auto tokens = engine.read(source, offset, readWait);
        offset += tokens.size();
        const auto [ended, cancelled] = engine.ended(source, offset);
        std::string events;
        for (std::size_t i = 0; i < tokens.size(); ++i) {
            const bool last = ended && !cancelled && i + 1 == tokens.size();
            events += writeEvent(source->id, model, { tokens[i], last ? "length" : "" });
        }
        if (ended && (cancelled || tokens.empty()))
            events += writeEvent(source->id, model, { "", cancelled ? "cancelled" : "length" });
        if (!events.empty() && !sink.write(events))
            return;
        if (ended)
            break;
    }
    sink.write(doneEvent);
    sink.finish();
}

void complete(engine_core& engine, engine_state& state, const http_request& request, reply_sink& sink)
{
    if (state.leaving)
        return sendJson(sink, 503,
            { { "error",
                { { "code", "leaving" }, { "message", "the engine is leaving" },
                    { "verdict", "not_run" } } } });
    const auto parsed = parseCompletion(request.body, mostPromptBytes);
    if (!parsed)
        return sink.send({ 400, {}, writeFailure(parsed.error(), {}) });
    if (state.slowMs > 0)
        std::this_thread::sleep_for(milliseconds { state.slowMs });
    const auto& wanted = parsed.value();
    if (wanted.prompt.find("[[fail]]") != std::string::npos)
        return sendJson(sink, 500,
            { { "error",
                { { "code", "failed" }, { "message", "this prompt cannot be completed" },
                    { "verdict", "done" } } } });
    std::string id(findHeader(request.headers, "X-Request-Id"));
    static std::atomic<std::uint64_t> anonymous { 0 };
    if (id.empty())
        id = "anonymous-" + std::to_string(++anonymous);
    const auto running = engine.submit(id, wanted.prompt, wanted.maxTokens);
    if (wanted.stream)
        return streamTokens(engine, running, 0, wanted.model, sink);
    std::string text;
    std::size_t count = 0;
    while (!engine.ended(running, count).first) {
        for (const auto& token : engine.read(running, count, readWait)) {
            text += token;
            ++count;
        }
    }
    sink.send({ 200, { { "Content-Type", "application/json" } },
        writeWholeCompletion(id, wanted.model, text, "length", count) });
}

void resumeOrCancel(engine_core& engine, const http_request& request, reply_sink& sink)
{
    constexpr std::string_view prefix = "/v1/streams/";
    std::string_view id = std::string_view(request.path).substr(prefix.size());
    if (id.ends_with("/cancel")) {
        id.remove_suffix(std::string_view("/cancel").size());
        return sendJson(sink, 200, { { "cancelled", engine.cancel(id) } });
    }
    const auto found = engine.find(id);
    if (!found)
        return sendJson(
            sink, 404, { { "error", { { "code", "not_found" }, { "message", "no such stream" } } } });
    streamTokens(engine, found,
        static_cast<std::size_t>(std::atoll(queryParameter(request.query, "offset").c_str())), "resumed",
        sink);
}

/// Orders carry a fencing number; some deployments' engines refuse an old one, others ignore it.
void takeOrder(engine_state& state, const http_request& request, reply_sink& sink)
{
    const auto order = nlohmann::json::parse(request.body.str(), nullptr, false);
    if (!order.is_object())
        return sendJson(sink, 400, { { "error", { { "message", "not a JSON object" } } } });
    const std::scoped_lock lock(state.mutex);
    const auto fencing = order.value("fencing", std::int64_t { 0 });
    if (state.checksFencing && fencing < state.fencing) {
        ++state.refusedOrders;
        return sendJson(sink, 409,
            { { "error", { { "message", "old fencing number" }, { "verdict", "not_run" } } },
                { "fencing", state.fencing } });
    }
    state.fencing = fencing;
    state.adapter = order.value("adapter", state.adapter);
    state.version = order.value("version", state.version);
    ++state.orders;
    sendJson(sink, 200, { { "fencing", fencing } });
}

void describe(engine_core& engine, engine_state& state, reply_sink& sink)
{
    const auto counts = engine.counts();
    const std::scoped_lock lock(state.mutex);
    sendJson(sink, 200,
        { { "admitted", counts.admitted }, { "cancelled", counts.cancelled }, { "tokens", counts.tokens },
            { "prompt_tokens", counts.promptTokens }, { "cached_tokens", counts.cachedTokens },
            { "adapter", state.adapter }, { "version", state.version }, { "fencing", state.fencing },
            { "orders", state.orders }, { "refused_orders", state.refusedOrders } });
}

void handle(engine_core& engine, engine_state& state, const http_request& request, reply_sink& sink)
{
    if (request.path == "/v1/completions")
        return complete(engine, state, request, sink);
    if (request.path.starts_with("/v1/streams/"))
        return resumeOrCancel(engine, request, sink);
    if (request.path == "/orders")
        return takeOrder(state, request, sink);
    if (request.path == "/load") {
        const auto load = engine.laggingLoad();
        return sendJson(sink, 200,
            { { "running", load.running }, { "queued", load.queued }, { "slots", engine.options().slots },
                { "memory_used", load.memoryUsed }, { "leaving", state.leaving.load() } });
    }
    if (request.path == "/counts")
        return describe(engine, state, sink);
    if (request.path == "/control") {
        if (const auto value = queryParameter(request.query, "leaving"); !value.empty())
            state.leaving = value == "true";
        if (const auto value = queryParameter(request.query, "slow_ms"); !value.empty())
            state.slowMs = std::atoi(value.c_str());
        return sendJson(sink, 200, nlohmann::json::object());
    }
    sendJson(sink, 404, { { "error", { { "message", "no such path" } } } });
}

} // namespace

int main(int argc, char** argv)
{
    const auto signals = blockStopSignals();
    TCLAP::CmdLine line("Stand-in of a model engine", ' ', "1");
    TCLAP::ValueArg<int> port("", "port", "HTTP port", false, 7001, "port", line);
    TCLAP::ValueArg<unsigned> slots("", "slots", "sequences in one batch", false, 8, "count", line);
    TCLAP::ValueArg<int> step(
        "", "step-us", "time of an empty decode step", false, 2000, "microseconds", line);
    TCLAP::ValueArg<int> perSequence(
        "", "step-per-sequence-us", "time that each sequence adds", false, 100, "microseconds", line);
    TCLAP::ValueArg<int> prefill(
        "", "prefill-us", "time of one uncached prompt token", false, 20, "microseconds", line);
    TCLAP::ValueArg<int> cache(
        "", "cache-blocks", "blocks of 64 bytes in the prefix cache", false, 512, "count", line);
    TCLAP::ValueArg<int> lag("", "report-lag-ms", "age of the load report", false, 100, "milliseconds", line);
    TCLAP::SwitchArg noFencing("", "no-fencing", "ignore fencing numbers", line);
    line.parse(argc, argv);

    engine_options options;
    options.slots = slots.getValue();
    options.stepMicros = step.getValue();
    options.stepPerSequenceMicros = perSequence.getValue();
    options.prefillMicrosPerToken = prefill.getValue();
    options.cacheBlocks = static_cast<std::size_t>(cache.getValue());
    options.reportLagMs = lag.getValue();
    engine_core engine(options);
    engine_state state;
    state.checksFencing = !noFencing.getValue();
    http_server_options serverOptions;
    serverOptions.port = static_cast<std::uint16_t>(port.getValue());
    try {
        http_server server(serverOptions,
            [&](const http_request& request, reply_sink& sink) { handle(engine, state, request, sink); });
        waitForStop(signals);
        std::_Exit(0); // Streams may still be running; a stand-in cuts them off.
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
