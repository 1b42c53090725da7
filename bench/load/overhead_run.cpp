#include "runs.h"

#include "messages/messages.h"

#include <atomic>
#include <map>
#include <thread>

namespace yuccachute::load {

namespace {

using clock = std::chrono::steady_clock;

constexpr unsigned pairs = 2000;
constexpr unsigned throughputThreads = 16;
constexpr std::chrono::seconds throughputTime { 5 };
constexpr unsigned grantRequests = 2000;
constexpr unsigned longTokens = 200;

/// Time to the last event of one streamed completion, in milliseconds; negative if it was not whole.
double timeCall(const std::string& address, const std::string& prompt, unsigned tokens = 1)
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
    const auto begin = clock::now();
    (void)httpCall(address, request, options);
    return reader.whole() ? std::chrono::duration<double, std::milli>(clock::now() - begin).count() : -1;
}

/// Runs requests of that many tokens from several threads; returns how many were answered.
unsigned loadEntry(const std::string& entry, unsigned tokens)
{
    std::atomic<unsigned> answered { 0 };
    std::vector<std::thread> threads;
    const auto end = clock::now() + throughputTime;
    for (unsigned t = 0; t < throughputThreads; ++t) {
        threads.emplace_back([&, t] {
            for (unsigned i = 0; clock::now() < end; ++i)
                answered += timeCall(entry, std::to_string(t) + " load " + std::to_string(i), tokens) >= 0;
        });
    }
    for (auto& thread : threads)
        thread.join();
    return answered;
}

/// Requests a second and per second of processor time, and what a token costs beyond its request.
void addThroughput(testing::test_system& system, json& figures)
{
    const auto entry = system.address("n0-0");
    const auto process = system.at("n0-0").process->id();
    figures["entry_memory_idle_mb"] = residentMegabytes(process);
    const double start = processorSeconds(process);
    const double shortAnswers = loadEntry(entry, 1);
    const double middle = processorSeconds(process);
    const double longAnswers = loadEntry(entry, longTokens);
    const double end = processorSeconds(process);
    const double perRequest = (middle - start) / shortAnswers;
    figures["requests_per_second"] = shortAnswers / std::chrono::duration<double>(throughputTime).count();
    figures["requests_per_core_second"] = 1 / perRequest;
    figures["processor_us_per_request"] = perRequest * 1e6;
    figures["processor_us_per_token"] = ((end - middle) / longAnswers - perRequest) / (longTokens - 1) * 1e6;
    figures["entry_memory_loaded_mb"] = residentMegabytes(process);
}

/// The same requests to the dispatcher's entry and to the other one: the difference is what a remote grant
/// costs.
void addRemoteGrants(testing::test_system& system, json& figures)
{
    const auto status = json::parse(system.get("n0-0", "/status").value().body);
    const std::string owner = status.contains("groups") ? "n0-0" : "n0-1";
    const std::string other = owner == "n0-0" ? "n0-1" : "n0-0";
    std::map<std::string, double> bytes;
    std::map<std::string, std::vector<double>> times;
    for (const auto& node : { owner, other }) {
        const double before = bytesSent();
        for (unsigned i = 0; i < grantRequests; ++i)
            times[node].push_back(timeCall(system.address(node), node + std::to_string(i)));
        bytes[node] = (bytesSent() - before) / grantRequests;
    }
    figures["remote_grant_added_ms_p50"] = quantile(times[other], 0.5) - quantile(times[owner], 0.5);
    figures["remote_grant_bytes"] = bytes[other] - bytes[owner];
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

    addThroughput(*system, figures);
    addRemoteGrants(*system, figures);
    return json::array({ figures });
}

} // namespace yuccachute::load
