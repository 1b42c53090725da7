// Case 4: the operator adds batch routes while the connection on which a batch process waits for changes of
// the configuration has gone silent. Jobs on a new route are accepted, and each of their items is given up at
// once.

#include "../../harness/tests/harness.h"

using namespace review;

namespace {

constexpr int itemsOfJob = 2;
constexpr int eventsOfItem = 10;
constexpr milliseconds startLimit { 25000 };
constexpr milliseconds lead { 6000 }; ///< From the start of the machines to that of traffic.
/// Configurations in quick succession, each with one more route. The last one comes while the silent
/// connection is younger than the five seconds after which a keep-alive of the system may show it. Batch
/// processes ask a peer about every 0.6 s; the interval is no part of that, so that not all changes come
/// right before it.
constexpr int changes = 4;
constexpr milliseconds changeInterval { 870 };
constexpr milliseconds submitInterval { 25 };
constexpr milliseconds submitTime { 600 }; ///< After each change.
constexpr milliseconds readLimit { 25000 };

struct job {
    std::string id;
    std::string front;
    std::vector<int> statuses;
    bool accepted = false;
    json results = json::array();
};

std::string addedPrefix(int number)
{
    return "/reports" + std::to_string(number) + "/";
}

json configurationWith(int added)
{
    auto routes = json::array({ routeOf("chat", "/chat/", "streaming", { { "resumable", true } }),
        batchRoute("letters", "/letters/") });
    for (int number = 1; number <= added; ++number)
        routes.push_back(batchRoute("reports" + std::to_string(number), addedPrefix(number)));
    return configurationOf(3 + 2 * added, routes);
}

/// Submits as a client does: after a refusal, an unclear outcome or no answer the same job goes to another
/// node; after 404 it does not come again.
void submit(job& one, const std::vector<std::string>& fronts, const std::string& path, record_file& record)
{
    const auto body = jobBody(one.id, path, itemsOfJob, eventsOfItem);
    const auto first = std::find(fronts.begin(), fronts.end(), one.front) - fronts.begin();
    for (std::size_t attempt = 0; attempt < 5; ++attempt) {
        const auto& front = fronts[(static_cast<std::size_t>(first) + attempt) % fronts.size()];
        const auto status = submitJob(front, one.id, path, body);
        record.add("job " + one.id + " sent to " + front + path + ": " + std::to_string(status));
        one.statuses.push_back(status);
        one.accepted = status == 202;
        if (one.accepted || status == 404)
            return;
        pauseFor(ms(500));
    }
}

void readAllOf(job& one, const std::vector<std::string>& fronts)
{
    const auto end = clock_type::now() + readLimit;
    for (std::size_t attempt = 0; clock_type::now() < end; ++attempt) {
        const auto page = readJob(fronts[attempt % fronts.size()], one.id);
        if (page.is_object() && page["results"].size() > one.results.size())
            one.results = page["results"];
        if (one.results.size() == itemsOfJob)
            return;
        pauseFor(ms(300));
    }
}

deployment* started = nullptr;

int run(const std::string& recordPath, bool trouble)
{
    auto& record = *new record_file(recordPath);
    record.add(trouble ? "with the disruption" : "without the disruption");
    started = new deployment(record, { { "a", 2, 1, 2 }, { "b", 2, 1, 2 }, { "c", 2, 1, 2 } }, {});
    auto& all = *started;
    all.store.put("op/config", configurationWith(0));
    if (!all.startAll(startLimit)) {
        record.add("the system did not start");
        return 2;
    }
    pauseFor(lead);
    std::vector<std::string> fronts;
    for (const auto& name : all.named("entry")) {
        if (all.machines.at(name).zone == "a")
            fronts.push_back(all.machines.at(name).front);
    }
    job before { "b0000001", fronts.front(), {}, false, json::array() };
    submit(before, fronts, "/letters/1", record);
    readAllOf(before, fronts);
    if (before.results.size() != itemsOfJob) {
        record.add("the job before the change was not done");
        return 2;
    }

    if (trouble) {
        const auto waiting = all.store.waitingWatches("store-a-1");
        const auto silent = all.store.silenceWatches("store-a-1", "op/");
        record.add("store-a-1: " + std::to_string(silent) + " of " + std::to_string(waiting)
            + " connections that wait at the store go silent; new ones work");
        if (silent == 0)
            return 2;
    }
    std::vector<job> jobs;
    std::vector<std::thread> clients;
    jobs.reserve(200);
    auto nextChange = clock_type::now();
    for (int change = 1; change <= changes; ++change) {
        std::this_thread::sleep_until(nextChange);
        nextChange += changeInterval;
        all.store.put("op/config", configurationWith(change));
        record.add("configuration " + std::to_string(3 + 2 * change)
            + " acknowledged: it adds the batch route " + addedPrefix(change));
        const auto end = clock_type::now() + submitTime;
        while (clock_type::now() < end) {
            pauseFor(submitInterval);
            char id[16];
            std::snprintf(id, sizeof id, "a%07zx", jobs.size() + 1);
            jobs.push_back({ id, fronts[jobs.size() % fronts.size()], {}, false, json::array() });
            clients.emplace_back([&, one = &jobs.back(), path = addedPrefix(change) + "1"] {
                submit(*one, fronts, path, record);
            });
        }
    }
    for (auto& client : clients)
        client.join();

    int accepted = 0;
    int givenUp = 0;
    int unlisted = 0;
    for (auto& one : jobs) {
        if (!one.accepted)
            continue;
        ++accepted;
        readAllOf(one, fronts);
        unlisted += itemsOfJob - static_cast<int>(one.results.size());
        for (const auto& result : one.results) {
            const std::string id = result["id"];
            if (result["state"] == "dead_letter") {
                ++givenUp;
                const std::scoped_lock lock(all.log.mutex);
                const auto runs = std::count_if(all.log.runs.begin(), all.log.runs.end(),
                    [&](const auto& entry) { return entry.id == id; });
                record.add("item " + id + " is listed as dead_letter; it was sent to servers "
                    + std::to_string(runs) + " times");
            } else if (result["text"] != wholeText(id, eventsOfItem))
                record.add("item " + id + " has another text than its servers wrote");
        }
    }
    const bool crashed = all.anyEnded();
    record.add("jobs sent " + std::to_string(jobs.size()) + ", accepted " + std::to_string(accepted)
        + "; items given up without a 422, a 500, expiry, or an end of their job or route: "
        + std::to_string(givenUp) + "; items not listed: " + std::to_string(unlisted)
        + (crashed ? "; a process has ended by itself" : ""));
    if (accepted == 0 || unlisted > 0)
        return 2;
    record.add(givenUp > 0 ? "MIXED broken" : "MIXED held");
    return givenUp > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    playCase(argc, argv, started, run);
}
