#include "support.h"

#include <set>

// Items of batch jobs after the operator has split the jobs' route: a longer prefix leads to a service of its
// own. Checks that each item runs only at services to which some configuration leads its path.

using namespace yuccachute;
using namespace yuccachute::review;

namespace {

const std::vector<std::string> services { "screen-llm", "quote-drafter" };
constexpr std::chrono::seconds settlingTime { 6 }; ///< Three times config_apply_ms.
constexpr std::chrono::seconds readLimit { 25 };

json batchRoute(const std::string& name, const std::string& prefix, const std::string& service)
{
    return routeOf(name, prefix, "batch", service,
        { { "max_attempts", 3 }, { "target_latency_ms", 500 }, { "timeout_ms", 15000 }, { "priority", 2 },
            { "result_due_ms", 18000 }, { "expiry_s", 60 } });
}

/// Ten items, every other one below the prefix that is split off.
std::vector<batch_item> itemsOf(const std::string& jobId, bool splitPathFirst)
{
    std::vector<batch_item> items;
    for (int i = 0; i < 10; ++i) {
        const bool splitPath = (i % 2 == 0) == splitPathFirst;
        items.push_back({ jobId + "e" + std::to_string(i),
            (splitPath ? "/pule252/3/" : "/pule252/7/") + jobId + std::to_string(i) });
    }
    return items;
}

int run(record_file& record)
{
    deployment system(record, 1);
    for (const auto& service : services)
        system.addServers(service, 2, 8, [](const http_request&) {
            return run_plan { 200, 40, milliseconds { 20 } };
        });
    auto routes = json::array({ batchRoute("r-lots", "/pule252/", services[0]) });
    system.configure(configurationOf(7, routes, services));
    system.startAll();

    std::vector<std::string> jobs { "7c41e0aa" };
    const auto handIn = [&](const std::string& jobId, bool splitPathFirst) {
        return submit(
            system, record, jobId, "/pule252/" + jobId, submissionOf(itemsOf(jobId, splitPathFirst)));
    };
    if (!handIn(jobs[0], true) || readResults(system, record, jobs[0], 10, readLimit).size() != 10)
        return 2;
    milliseconds acknowledged { 0 };
    if (withTrouble()) {
        routes.push_back(batchRoute("r-lots-3", "/pule252/3/", services[1]));
        acknowledged = system.configure(configurationOf(12, routes, services));
    }
    std::this_thread::sleep_for(settlingTime);
    for (const bool splitPathFirst : { true, false }) {
        jobs.push_back(splitPathFirst ? "7c41e0bb" : "7c41e0cc");
        if (!handIn(jobs.back(), splitPathFirst))
            return 2;
    }
    for (std::size_t i = 1; i < jobs.size(); ++i)
        readResults(system, record, jobs[i], 10, readLimit);

    std::size_t wrong = 0;
    for (const auto& one : system.runs()) {
        const bool split = one.path.starts_with("/pule252/3/");
        const bool allowed
            = one.service == services[0] || (split && withTrouble() && one.began >= acknowledged);
        if (allowed)
            continue;
        ++wrong;
        record.write("ROUTE broken: item " + one.id + ", path " + one.path + ", ran at " + one.service
            + " at " + std::to_string(one.began.count()) + " ms; each configuration leads this path to "
            + services[0]);
    }
    record.write("runs at a service that no configuration allows: " + std::to_string(wrong));
    return wrong == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    return runCase(argc, argv, run);
}
