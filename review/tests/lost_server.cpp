#include "support.h"

// Model servers answer without length and chunks. One of them is lost for good while it runs an item for
// which it has sent the head of its answer and no event yet. Checks that each item of the batch job is
// listed.

using namespace yuccachute;
using namespace yuccachute::review;

namespace {

const std::string jobId = "7c41e09b52d6a3f8";
constexpr int itemCount = 10;
constexpr std::chrono::seconds expiry { 60 };
constexpr milliseconds lossAfterStart { 100 }; ///< Of the item's run; its first event comes later.
constexpr std::chrono::seconds watched { 75 }; ///< After the job was accepted; longer than its items' expiry.
constexpr milliseconds calm { 5000 };
constexpr milliseconds failureExcuse { 20000 };

int run(record_file& record)
{
    deployment system(record, 1);
    const std::string victim = jobId + "e0";
    system.addServers(
        "screen-llm", 3, 8,
        [](const http_request&) {
            return run_plan { 200, 100, milliseconds { 20 }, milliseconds { 300 } };
        },
        false);
    system.configure(configurationOf(7,
        json::array({ routeOf("r-lots", "/pule252/", "batch", "screen-llm",
            { { "max_attempts", 3 }, { "target_latency_ms", 500 }, { "timeout_ms", 15000 }, { "priority", 2 },
                { "result_due_ms", 18000 }, { "expiry_s", expiry.count() } }) }),
        { "screen-llm" }));
    system.startAll();

    std::vector<batch_item> items;
    for (int i = 0; i < itemCount; ++i)
        items.push_back({ jobId + "e" + std::to_string(i), "/pule252/3/" + std::to_string(i) });
    loop_timer timer(system.loop());
    std::function<void()> watch;
    std::string lost;
    if (withTrouble()) {
        watch = [&] {
            for (const auto& server : system.servers()) {
                for (const auto& one : server->runs()) {
                    if (one.id != victim || record.elapsed() - one.began < lossAfterStart)
                        continue;
                    lost = server->id();
                    return server->loseForGood();
                }
            }
            timer.arm(milliseconds { 10 }, watch);
        };
        system.onLoop([&] { watch(); });
    }
    if (!submit(system, record, jobId, "/pule252/" + jobId, submissionOf(items)))
        return 2;
    const auto accepted = record.elapsed();
    const auto states = readResults(system, record, jobId, itemCount, watched);
    const auto read = record.elapsed();
    system.onLoop([&] { timer.cancel(); });
    if (withTrouble() && lost.empty())
        return 2;
    milliseconds lastWork { 0 };
    for (const auto& one : system.runs()) {
        record.write("run of " + one.id + " at " + one.server + " from " + std::to_string(one.began.count())
            + " to " + std::to_string(one.ended.count()) + " ms, last event " + std::to_string(one.lastEvent)
            + (one.whole ? ", whole" : ", not whole"));
        lastWork = std::max(lastWork, one.ended);
    }
    std::size_t missing = 0;
    for (const auto& item : items) {
        if (states.contains(item.id))
            continue;
        ++missing;
        record.write("item " + item.id + " is listed neither as done nor as dead_letter "
            + std::to_string((read - accepted).count())
            + " ms after its batch job was accepted; no server has had an " + "item for "
            + std::to_string((read - lastWork).count()) + " ms");
    }
    // No server is at work, so all servers are under half full, and no item is finished.
    const bool broken = missing > 0 && read - lastWork > std::max(calm, failureExcuse);
    record.write("items that are not listed: " + std::to_string(missing));
    return broken ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return runCase(argc, argv, run);
}
