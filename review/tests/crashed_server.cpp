#include "support.h"

#include <algorithm>

// Model servers answer without length and chunks. The process of one of them is killed while it runs items
// and streams. Checks that the text of each item that is listed as done is the item's whole output.

using namespace yuccachute;
using namespace yuccachute::review;

namespace {

const std::string jobId = "7c41e09b52d6a3f8";
constexpr int itemCount = 10;
constexpr int streamCount = 18;
constexpr int events = 150; ///< Of each answer, 20 ms apart.
constexpr milliseconds runBeforeKill { 1500 };
constexpr std::chrono::seconds readLimit { 40 };

std::string outputOf(const std::string& id)
{
    std::string text;
    for (int i = 1; i <= events; ++i)
        text += (i == 1 ? "screen-llm:" : "\nscreen-llm:") + id + ":" + std::to_string(i);
    return text;
}

/// A client's stream. A complete answer without its last event is recorded; the check is that of the items.
void readStream(deployment& system, record_file& record, const machine& entry, const std::string& id)
{
    const auto reply = system.call(entry, "POST", "/lohu930/" + id,
        { { "Yuccachute-Request-Id", id }, { "Yuccachute-Model", "m" },
            { "Yuccachute-Token-Count", "350,400" },
            { "Yuccachute-Prompt-Prefix", "5c1e07a2:100," + id + ":250" },
            { "Yuccachute-Deadline-Ms", "5000" } },
        "prompt", milliseconds { 5200 });
    if (!reply)
        return record.write("client: stream " + id + " was broken off: " + reply.error().message);
    const auto& body = reply.value().body;
    const bool whole = body.find("\nid: " + std::to_string(events) + "\n") != std::string::npos;
    record.write("client: stream " + id + ", status " + std::to_string(reply.value().status)
        + ", ends as complete" + (whole ? "" : " before its last event"));
}

int run(record_file& record)
{
    deployment system(record, 1);
    system.startServerProcesses("screen-llm", 3, 8, events);
    system.configure(configurationOf(7,
        json::array({ routeOf("r-lots", "/pule252/", "batch", "screen-llm",
                          { { "max_attempts", 3 }, { "target_latency_ms", 500 }, { "timeout_ms", 15000 },
                              { "priority", 2 }, { "result_due_ms", 18000 }, { "expiry_s", 60 } }),
            routeOf("r-stream", "/lohu930/", "streaming", "screen-llm",
                { { "resumable", true }, { "max_attempts", 2 }, { "gap_target_ms", 250 } }) }),
        { "screen-llm" }));
    system.startAll();

    std::vector<batch_item> items;
    for (int i = 0; i < itemCount; ++i)
        items.push_back({ jobId + "e" + std::to_string(i), "/pule252/3/" + std::to_string(i) });
    if (!submit(system, record, jobId, "/pule252/" + jobId, submissionOf(items)))
        return 2;
    std::vector<std::thread> clients;
    const auto entries = system.machines("entry");
    for (int i = 0; i < streamCount; ++i)
        clients.emplace_back([&, i] {
            readStream(system, record, *entries[static_cast<std::size_t>(i) % entries.size()],
                "s" + std::to_string(i));
        });
    std::this_thread::sleep_for(runBeforeKill);
    if (withTrouble())
        system.killServer(system.serverProcesses().front());
    for (auto& one : clients)
        one.join();
    std::map<std::string, std::string> texts;
    const auto states = readResults(system, record, jobId, itemCount, readLimit, &texts);
    system.recordServerLogs();
    std::size_t wrong = 0;
    for (const auto& [item, state] : states) {
        const auto& text = texts[item];
        if (state != "done" || text == outputOf(item))
            continue;
        ++wrong;
        record.write("MIXED broken: item " + item + " is listed as done with "
            + std::to_string(1 + std::count(text.begin(), text.end(), '\n')) + " of " + std::to_string(events)
            + " events");
    }
    record.write("items listed: " + std::to_string(states.size()) + " of " + std::to_string(itemCount)
        + "; done without their whole output: " + std::to_string(wrong));
    if (wrong > 0)
        return 1;
    return states.size() == itemCount ? 0 : 2;
}

} // namespace

int main(int argc, char** argv)
{
    return runCase(argc, argv, run);
}
