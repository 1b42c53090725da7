#include "runs.h"

#include "engine_core.h"
#include "messages/messages.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <random>
#include <thread>

namespace yuccachute::load {

namespace {

using clock = std::chrono::steady_clock;
using testing::test_system;

constexpr milliseconds answerLimit { 30000 };
constexpr unsigned seed = 20261202;

double seconds(clock::duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// What the callers of one stream saw.
struct observations {
    std::mutex mutex;
    std::vector<double> firstToken;
    std::vector<double> interToken;
    std::vector<double> total;
    unsigned sent = 0;
    unsigned refused = 0;
    unsigned wrong = 0;
};

std::string makePrompt(const live_stream& stream, unsigned number, std::mt19937& random)
{
    std::string prompt;
    if (stream.sharedPrefixes > 0) {
        const auto chosen = "shared prefix " + std::to_string(random() % stream.sharedPrefixes) + ' ';
        while (prompt.size() < stream.prefixBytes)
            prompt += chosen;
    }
    const auto own = stream.name + " request " + std::to_string(number) + ' ';
    const auto length = prompt.size() + stream.promptBytes;
    while (prompt.size() < length)
        prompt += own;
    return prompt;
}

/// One streamed request; records what its caller saw, timed from when it was due to be sent.
void callOnce(test_system& system, const std::string& entry, const live_stream& stream,
    const std::string& prompt, bool measured, clock::time_point due, observations& seen)
{
    http_request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = { { "Authorization", "Bearer key-" + stream.customer } };
    request.body = writeCompletion({ "screening", prompt, stream.tokens, true });
    event_reader reader;
    std::string text;
    unsigned status = 0;
    clock::time_point first;
    clock::time_point last;
    http_call_options options;
    options.deadline = due + answerLimit;
    options.onHead = [&](const http_reply& head) {
        status = head.status;
        return true;
    };
    options.onBody = [&](std::string_view piece) {
        for (const auto& event : reader.feed(piece)) {
            last = clock::now();
            if (text.empty())
                first = last;
            text += event.text;
        }
        return true;
    };
    (void)httpCall(system.address(entry), request, options);
    const auto now = clock::now();
    if (!measured)
        return;
    const std::scoped_lock lock(seen.mutex);
    ++seen.sent;
    if (status >= 400) {
        ++seen.refused;
        return;
    }
    if (!reader.whole() || text != standin::expectedCompletion(prompt, stream.tokens)) {
        ++seen.wrong;
        return;
    }
    seen.firstToken.push_back(seconds(first - due));
    seen.total.push_back(seconds(now - due));
    if (stream.tokens > 1)
        seen.interToken.push_back(seconds(last - first) / (stream.tokens - 1));
}

/// Sends one stream's requests at random times with its rate, each on a thread of its own.
void sendStream(test_system& system, const scenario& described, const live_stream& stream,
    const std::vector<std::string>& entries, observations& seen)
{
    std::mt19937 random(seed + static_cast<unsigned>(std::hash<std::string> {}(stream.name) % 1000));
    std::vector<std::thread> threads;
    const auto begin = clock::now();
    double at = 0;
    for (unsigned number = 0;; ++number) {
        const double measuredAt = at - described.warmup;
        const bool surge = stream.surgeRate > 0 && measuredAt >= described.surgeAt
            && measuredAt < described.surgeAt + described.surgeSeconds;
        at += std::exponential_distribution<double>(surge ? stream.surgeRate : stream.rate)(random);
        if (at > described.warmup + described.seconds)
            break;
        const auto due
            = begin + std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(at));
        std::this_thread::sleep_until(due);
        auto prompt = makePrompt(stream, number, random);
        // In a surge only what arrives in it is of interest.
        const bool inSurge = at - described.warmup >= described.surgeAt
            && at - described.warmup < described.surgeAt + described.surgeSeconds;
        const bool measured = at >= described.warmup && (described.surgeSeconds == 0 || inSurge);
        threads.emplace_back([&, prompt = std::move(prompt), number, measured, due] {
            callOnce(system, entries[number % entries.size()], stream, prompt, measured, due, seen);
        });
    }
    for (auto& thread : threads)
        thread.join();
}

std::string bulkLines(const bulk_stream& stream)
{
    std::string lines;
    for (unsigned i = 0; i < stream.items; ++i) {
        std::string prompt = stream.name + " item " + std::to_string(i) + ' ';
        if (stream.poisonEvery > 0 && i % stream.poisonEvery == stream.poisonEvery - 1)
            prompt += "[[fail]]";
        while (prompt.size() < stream.promptBytes)
            prompt += "text ";
        lines += nlohmann::json { { "prompt", prompt }, { "max_tokens", stream.tokens } }.dump() + '\n';
    }
    return lines;
}

unsigned itemsEnded(
    test_system& system, const std::vector<std::string>& jobs, const std::vector<bulk_stream>& streams)
{
    unsigned ended = 0;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        const auto counts = system.job("n0-0", jobs[i], streams[i].customer)["counts"];
        ended += counts["completed"].get<unsigned>() + counts["failed"].get<unsigned>();
    }
    return ended;
}

std::uint64_t engineTokens(test_system& system, const scenario& described, const char* field)
{
    std::uint64_t all = 0;
    for (unsigned zone = 0; zone < described.zones; ++zone) {
        for (unsigned engine = 0; engine < described.enginesPerZone; ++engine)
            all += system
                       .targetJson(
                           "e" + std::to_string(zone) + "-" + std::to_string(engine), "/counts")[field]
                       .get<std::uint64_t>();
    }
    return all;
}

template <typename Stream>
std::vector<Stream> chosenStreams(const std::vector<Stream>& all, const variant& chosen)
{
    std::vector<Stream> kept;
    for (const auto& stream : all) {
        if (std::find(chosen.without.begin(), chosen.without.end(), stream.name) == chosen.without.end())
            kept.push_back(stream);
    }
    return kept;
}

json summarize(observations& seen)
{
    json out;
    out["sent"] = seen.sent;
    out["refused"] = seen.refused;
    out["wrong"] = seen.wrong;
    for (const auto& [name, values] : { std::pair("first_token_ms", &seen.firstToken),
             std::pair("inter_token_ms", &seen.interToken), std::pair("total_ms", &seen.total) }) {
        out[std::string(name) + "_p50"] = quantile(*values, 0.5) * 1000;
        out[std::string(name) + "_p95"] = quantile(*values, 0.95) * 1000;
        out[std::string(name) + "_p99"] = quantile(*values, 0.99) * 1000;
    }
    return out;
}

json runVariant(const scenario& described, const variant& chosen)
{
    const auto system = buildSystem(described, chosen);
    system->start();
    std::vector<std::string> entries;
    for (unsigned zone = 0; zone < described.zones; ++zone) {
        for (unsigned entry = 0; entry < described.entriesPerZone; ++entry)
            entries.push_back("n" + std::to_string(zone) + "-" + std::to_string(entry));
    }
    const auto live = chosenStreams(described.live, chosen);
    const auto bulk = chosenStreams(described.bulk, chosen);
    std::vector<std::string> jobs;
    for (const auto& stream : bulk) {
        auto request = system->submission(bulkLines(stream), stream.name);
        request.query += "&due_ms=" + std::to_string(stream.dueMs);
        const auto reply = system->call("n0-0", request, std::chrono::seconds { 60 }, stream.customer);
        jobs.push_back(json::parse(reply.value().body)["id"].get<std::string>());
    }
    std::vector<observations> seen(live.size());
    std::vector<std::thread> senders;
    for (std::size_t i = 0; i < live.size(); ++i)
        senders.emplace_back([&, i] { sendStream(*system, described, live[i], entries, seen[i]); });
    std::this_thread::sleep_for(std::chrono::duration<double>(described.warmup));
    const auto itemsBefore = itemsEnded(*system, jobs, bulk);
    const auto begin = clock::now();
    std::this_thread::sleep_for(std::chrono::duration<double>(described.seconds));
    const auto itemsAfter = itemsEnded(*system, jobs, bulk);
    const auto took = seconds(clock::now() - begin);
    for (auto& sender : senders)
        sender.join();
    json figures;
    figures["variant"] = chosen.name;
    figures["bulk_items_per_second"] = (itemsAfter - itemsBefore) / took;
    const auto prompt = engineTokens(*system, described, "prompt_tokens");
    figures["cache_hit_share"] = prompt == 0
        ? 0.0
        : static_cast<double>(engineTokens(*system, described, "cached_tokens"))
            / static_cast<double>(prompt);
    for (std::size_t i = 0; i < live.size(); ++i)
        figures["live"][live[i].name] = summarize(seen[i]);
    return figures;
}

} // namespace

json runLoad(const scenario& described)
{
    json all = json::array();
    // Variants alternate within each round, so that slow changes of the machine meet them alike.
    for (unsigned round = 0; round < described.rounds; ++round) {
        for (const auto& chosen : described.variants) {
            all.push_back(runVariant(described, chosen));
            all.back()["round"] = round;
        }
    }
    return all;
}

} // namespace yuccachute::load
