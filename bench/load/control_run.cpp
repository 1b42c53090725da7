#include "runs.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace yuccachute::load {

namespace {

using clock = std::chrono::steady_clock;

constexpr std::chrono::seconds settle { 6 };
constexpr unsigned edits = 20;

struct usage {
    double processor = 0;
    double memory = 0;
};

/// Average over all entries.
usage entryUsage(testing::test_system& system, unsigned entries)
{
    usage all;
    for (unsigned i = 0; i < entries; ++i) {
        const auto process = system.at("n0-" + std::to_string(i)).process->id();
        all.processor += processorSeconds(process) / entries;
        all.memory += residentMegabytes(process) / entries;
    }
    return all;
}

std::int64_t versionOf(testing::test_system& system, const std::string& entry)
{
    const auto reply = system.get(entry, "/status");
    return reply ? json::parse(reply.value().body)["settings_version"].get<std::int64_t>() : 0;
}

/// Time from an accepted edit until every entry has it in force.
std::vector<double> editTimes(testing::test_system& system, unsigned entries)
{
    std::vector<double> times;
    for (unsigned i = 0; i < edits; ++i) {
        const auto reply
            = system.edit("setup-admin", "customer/small", { { "queue_limit", std::to_string(100 + i) } });
        const auto begin = clock::now();
        const auto version = json::parse(reply.body)["version"].get<std::int64_t>();
        std::vector<std::thread> watchers;
        for (unsigned e = 0; e < entries; ++e) {
            watchers.emplace_back([&, e] {
                testing::waitUntil(
                    "an edit", [&] { return versionOf(system, "n0-" + std::to_string(e)) >= version; });
            });
        }
        for (auto& watcher : watchers)
            watcher.join();
        times.push_back(std::chrono::duration<double, std::milli>(clock::now() - begin).count());
    }
    return times;
}

json runSize(const scenario& described, unsigned entries, unsigned engines)
{
    auto sized = described;
    sized.entriesPerZone = entries;
    sized.enginesPerZone = engines;
    sized.batches = 0;
    const auto system = buildSystem(sized, described.variants.front());
    system->start();
    // Dispatchers begin to watch their targets with the first request for the group.
    for (unsigned i = 0; i < engines; ++i)
        system->complete("n0-0", "first " + std::to_string(i), 1);
    std::this_thread::sleep_for(settle);
    const auto storeBefore = system->store();
    const auto before = entryUsage(*system, entries);
    const double bytesBefore = bytesSent();
    const auto begin = clock::now();
    std::this_thread::sleep_for(std::chrono::duration<double>(described.seconds));
    const double took = std::chrono::duration<double>(clock::now() - begin).count();
    const double bytes = bytesSent() - bytesBefore;
    const auto after = entryUsage(*system, entries);
    const auto storeAfter = system->store();
    json figures;
    figures["entries"] = entries;
    figures["targets"] = sized.enginesPerZone;
    figures["processor_percent_per_node"] = (after.processor - before.processor) / took * 100;
    figures["memory_mb_per_node"] = after.memory;
    // Each byte is sent by one node and received by another: it counts at both ends.
    figures["kb_per_second_per_node"] = bytes * 2 / entries / took / 1000;
    figures["store_reads_per_second"]
        = (storeAfter["reads"].get<double>() - storeBefore["reads"].get<double>()) / took;
    figures["store_writes_per_second"]
        = (storeAfter["writes"].get<double>() - storeBefore["writes"].get<double>()) / took;
    figures["watches"] = storeAfter["watches"];
    auto times = editTimes(*system, entries);
    figures["edit_in_force_ms_p50"] = quantile(times, 0.5);
    figures["edit_in_force_ms_worst"] = times.back();
    return figures;
}

} // namespace

json runControl(const scenario& described)
{
    json all = json::array();
    constexpr std::pair<unsigned, unsigned> sizes[] { { 3, 8 }, { 9, 8 }, { 27, 8 }, { 9, 2 }, { 9, 32 } };
    for (const auto& [entries, engines] : sizes)
        all.push_back(runSize(described, entries, engines));
    return all;
}

} // namespace yuccachute::load
