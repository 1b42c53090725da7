#include "runs.h"

#include "messages/messages.h"

#include <thread>

namespace yuccachute::load {

namespace {

using clock = std::chrono::steady_clock;

constexpr unsigned pairs = 2000;
constexpr unsigned throughputThreads = 16;
constexpr std::chrono::seconds throughputTime { 5 };
constexpr unsigned tokens = 1;

/// Time to the last event of one streamed completion, in milliseconds; negative if it was not whole.
double timeCall(const std::string& address, const std::string& prompt)
{
    http_request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = { { "Authorization", "Bearer key-small" } };
    request.body = writeCompletion({ "screening", prompt, tokens, true });
    event_reader reader;
    http_call_options options;
    options.deadline = clock::now() + std::chrono::seconds { 10 };
    options.onBody = [&](std::string_view piece) {
        reader.feed(piece);
        return true;
    };
    options.isWhole = [&] { return reader.whole(); };
    const auto begin = clock::now();
    (void)httpCall(address, request, options);
    return reader.whole() ? std::chrono::duration<double, std::milli>(clock::now() - begin).count() : -1;
}

} // namespace

json runOverhead(const scenario& described)
{
    const auto system = buildSystem(described, described.variants.front());
    system->start();
    const auto entry = system->address("n0-0");
    const auto engine = system->targetAddress("e0-0");
    std::vector<double> direct;
    std::vector<double> through;
    std::vector<double> added;
    for (unsigned i = 0; i < pairs; ++i) {
        const auto prompt = "pair " + std::to_string(i);
        const double one = timeCall(engine, prompt);
        const double other = timeCall(entry, prompt);
        if (one < 0 || other < 0)
            continue;
        direct.push_back(one);
        through.push_back(other);
        added.push_back(other - one);
    }
    json figures;
    figures["pairs"] = added.size();
    figures["direct_ms_p50"] = quantile(direct, 0.5);
    figures["direct_ms_p99"] = quantile(direct, 0.99);
    figures["through_ms_p50"] = quantile(through, 0.5);
    figures["through_ms_p99"] = quantile(through, 0.99);
    figures["added_ms_p50"] = quantile(added, 0.5);
    figures["added_ms_p99"] = quantile(through, 0.99) - quantile(direct, 0.99);

    const auto process = system->at("n0-0").process->id();
    const double idleMemory = residentMegabytes(process);
    const double before = processorSeconds(process);
    std::atomic<unsigned> answered { 0 };
    std::vector<std::thread> threads;
    const auto end = clock::now() + throughputTime;
    for (unsigned t = 0; t < throughputThreads; ++t) {
        threads.emplace_back([&, t] {
            for (unsigned i = 0; clock::now() < end; ++i)
                answered += timeCall(entry, std::to_string(t) + " load " + std::to_string(i)) >= 0;
        });
    }
    for (auto& thread : threads)
        thread.join();
    const double used = processorSeconds(process) - before;
    figures["requests_per_second"] = answered / std::chrono::duration<double>(throughputTime).count();
    figures["requests_per_core_second"] = answered / used;
    figures["entry_memory_idle_mb"] = idleMemory;
    figures["entry_memory_loaded_mb"] = residentMegabytes(process);
    return json::array({ figures });
}

} // namespace yuccachute::load
