#include "runs.h"

#include <algorithm>
#include <thread>

namespace yuccachute::load {

namespace {

using clock = std::chrono::steady_clock;

} // namespace

json runJob(const scenario& described)
{
    const auto system = buildSystem(described, described.variants.front());
    system->start();
    const auto& stream = described.bulk.front();
    std::string lines;
    for (unsigned i = 0; i < stream.items; ++i) {
        std::string prompt = "file " + std::to_string(i * 2654435761u) + ' ';
        while (prompt.size() < stream.promptBytes)
            prompt += std::to_string((i + prompt.size()) * 40503u) + ' ';
        lines += nlohmann::json { { "prompt", prompt }, { "max_tokens", stream.tokens } }.dump() + '\n';
    }
    const auto process = system->at("b0").process->id();
    json figures;
    figures["items"] = stream.items;
    figures["input_mb"] = static_cast<double>(lines.size()) / 1e6;
    figures["memory_idle_mb"] = residentMegabytes(process);
    const auto before = system->store();
    const auto begin = clock::now();
    const auto reply = system->call(
        "n0-0", system->submission(lines, "big"), std::chrono::seconds { 120 }, stream.customer);
    figures["accept_seconds"] = std::chrono::duration<double>(clock::now() - begin).count();
    const auto accepted = system->store();
    figures["accept_calls"] = accepted["writes"].get<double>() + accepted["reads"].get<double>()
        - before["writes"].get<double>() - before["reads"].get<double>();
    const auto id = json::parse(reply.value().body)["id"].get<std::string>();
    double peak = 0;
    // Progress is asked for rarely: the question itself costs two reads of the store.
    unsigned asked = 0;
    for (bool running = true; running;) {
        for (int i = 0; i < 20; ++i) {
            peak = std::max(peak, residentMegabytes(process));
            std::this_thread::sleep_for(std::chrono::milliseconds { 100 });
        }
        running = system->job("n0-0", id, stream.customer)["state"] == "running";
        ++asked;
    }
    const double took = std::chrono::duration<double>(clock::now() - begin).count();
    const auto after = system->store();
    figures["seconds"] = took;
    figures["items_per_second"] = stream.items / took;
    figures["memory_peak_mb"] = peak;
    const double calls = after["writes"].get<double>() + after["reads"].get<double>()
        - before["writes"].get<double>() - before["reads"].get<double>() - 2.0 * asked;
    figures["store_calls_per_1000_items"] = calls / stream.items * 1000;
    figures["store_bytes_written_per_item"]
        = (after["bytes"].get<double>() - before["bytes"].get<double>()) / stream.items;
    figures["results"] = system->results("n0-0", id, stream.customer).size();
    return json::array({ figures });
}

} // namespace yuccachute::load
