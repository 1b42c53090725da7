// Bulk jobs under failure, with real processes.

#include "engine_core.h"
#include "harness.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <random>
#include <set>
#include <thread>

using namespace yuccachute;
using namespace yuccachute::testing;
using standin::expectedCompletion;

namespace {

const std::string shortLease = "lease_ttl_s = 3\nworkers = 16\n";

std::string itemLines(int count, unsigned tokens, const std::string& marker = {})
{
    std::string lines;
    for (int i = 0; i < count; ++i)
        lines += nlohmann::json { { "id", "i" + std::to_string(i) },
            { "prompt", "item " + std::to_string(i) + marker }, { "max_tokens", tokens } }
                     .dump()
            + '\n';
    return lines;
}

std::string submit(
    test_system& system, const std::string& entry, const std::string& items, const std::string& key)
{
    const auto reply = system.call(entry, system.submission(items, key));
    REQUIRE(reply);
    INFO(reply.value().body);
    REQUIRE(reply.value().status == 202);
    return nlohmann::json::parse(reply.value().body)["id"].get<std::string>();
}

void waitEnded(test_system& system, const std::string& entry, const std::string& job,
    std::chrono::seconds limit = std::chrono::seconds { 120 })
{
    waitUntil(
        "the job to end", [&] { return system.job(entry, job)["state"] == "completed"; }, limit);
}

/// Every item has exactly one result (a second one fails in results()), completed and with its own text.
void checkAllCompleted(
    test_system& system, const std::string& entry, const std::string& job, int count, unsigned tokens)
{
    const auto results = system.results(entry, job);
    CHECK(results.size() == static_cast<std::size_t>(count));
    int wrong = 0;
    for (const auto& [id, line] : results)
        wrong += line["status"] != "completed"
            || line["text"] != expectedCompletion("item " + id.substr(1), tokens);
    CHECK(wrong == 0);
}

void addUsual(test_system& system)
{
    system.addEngine("e1", "a", { "--slots", "16" });
    system.addEngine("e2", "a", { "--slots", "16" });
    system.addEntry("n1", "a");
    system.addEntry("n2", "a");
    system.addBatch("b1", "n1", shortLease);
    system.addBatch("b2", "n2", shortLease);
}

} // namespace

// Story: batch processes are killed again and again in the middle of a job. Items that were in flight get no
// result, or results that were acknowledged come twice.
TEST_CASE("killed twenty times, a job has exactly one result of each item")
{
    test_system system;
    addUsual(system);
    system.start();
    constexpr int items = 1500;
    const auto job = submit(system, "n1", itemLines(items, 6), "killed");
    std::mt19937 random(7);
    for (int kill = 0; kill < 20; ++kill) {
        const std::string victim = random() % 2 ? "b1" : "b2";
        std::this_thread::sleep_for(milliseconds { 100 + static_cast<int>(random() % 400) });
        system.at(victim).process->signal(SIGKILL);
        system.at(victim).process->wait();
        system.startNode(victim);
    }
    waitEnded(system, "n1", job);
    checkAllCompleted(system, "n2", job, items, 6);
}

// Story: the VM that acknowledged a job is lost the moment after, with its disk. Nobody runs the job.
TEST_CASE("a job acknowledged by a VM that is lost at once is run by another")
{
    test_system system;
    addUsual(system);
    system.start();
    const auto job = submit(system, "n1", itemLines(40, 4), "lost VM");
    for (const char* name : { "b1", "n1" })
        system.at(name).process->signal(SIGKILL);
    waitEnded(system, "n2", job);
    checkAllCompleted(system, "n2", job, 40, 4);
}

// Story: a worker is paused past its lease; another takes its job over and finishes it; the first wakes,
// still believes that it holds the job, and commits a second result of its items.
TEST_CASE("a holder paused past its lease adds no second result")
{
    test_system system;
    addUsual(system);
    system.start();
    const auto job = submit(system, "n1", itemLines(3000, 6), "paused");
    const auto heldBy = [&](const std::string& name) {
        const auto metrics = system.get(name, "/metrics");
        return metrics && metrics.value().body.find("yuccachute_jobs_held 1") != std::string::npos;
    };
    waitUntil("a holder", [&] { return heldBy("b1") || heldBy("b2"); });
    waitUntil(
        "the first results", [&] { return system.job("n1", job)["counts"]["completed"].get<int>() > 0; });
    const std::string holder = heldBy("b1") ? "b1" : "b2";
    const std::string other = holder == "b1" ? "b2" : "b1";
    system.at(holder).process->signal(SIGSTOP);
    waitUntil("the other to take the job", [&] { return heldBy(other); });
    system.at(holder).process->signal(SIGCONT);
    waitEnded(system, "n2", job);
    checkAllCompleted(system, "n1", job, 3000, 6);
}

// Story: the store goes down in the middle of a job, for longer than the lease. The results of that time are
// lost, or written twice when it comes back.
TEST_CASE("a store that is down for longer than the lease costs no result")
{
    test_system system;
    addUsual(system);
    system.start();
    const auto job = submit(system, "n1", itemLines(2000, 6), "outage");
    waitUntil(
        "the first results", [&] { return system.job("n1", job)["counts"]["completed"].get<int>() > 0; });
    system.store("down=true");
    std::this_thread::sleep_for(std::chrono::seconds { 6 });
    const auto refused = system.call("n1", system.submission(itemLines(3, 2), "while down"));
    REQUIRE(refused);
    CHECK(refused.value().status >= 500);
    CHECK(refused.value().body.find("\"verdict\":\"not_run\"") != std::string::npos);
    CHECK(system.complete("n2", "live goes on", 3).whole);
    system.store("down=false");
    waitEnded(system, "n2", job);
    checkAllCompleted(system, "n1", job, 2000, 6);
}

// Story: the store loses the replies of many changes after they took effect: of the submission, of claims and
// of commits. Items get two results or none.
TEST_CASE("lost replies of the store cost no result and double none")
{
    test_system system;
    addUsual(system);
    system.start();
    system.store("lose_replies=1");
    const auto job = submit(system, "n1", itemLines(600, 4), "lost replies");
    for (int i = 0; i < 10; ++i) {
        system.store("lose_replies=2");
        std::this_thread::sleep_for(milliseconds { 200 });
    }
    system.store("lose_replies=0");
    waitEnded(system, "n1", job);
    checkAllCompleted(system, "n1", job, 600, 4);
}

// Story: a contractor's upload breaks off after it was accepted; the contractor uploads again, to another VM.
// Each house gets two quotes.
TEST_CASE("a submission resent to another VM finds its job")
{
    test_system system;
    addUsual(system);
    system.start();
    const auto items = itemLines(30, 4);
    std::vector<std::thread> senders;
    std::mutex mutex;
    std::set<std::string> ids;
    for (int i = 0; i < 6; ++i) {
        senders.emplace_back([&, i] {
            const auto reply = system.call(i % 2 ? "n1" : "n2", system.submission(items, "street 7"));
            const std::scoped_lock lock(mutex);
            ids.insert(reply && reply.value().status == 202
                    ? nlohmann::json::parse(reply.value().body)["id"].get<std::string>()
                    : "failed");
        });
    }
    for (auto& sender : senders)
        sender.join();
    REQUIRE(ids.size() == 1);
    waitEnded(system, "n1", *ids.begin());
    checkAllCompleted(system, "n2", *ids.begin(), 30, 4);
    const auto other = system.call("n1", system.submission(itemLines(31, 4), "street 7"));
    CHECK(other.value().status == 409);
    const auto stranger = system.get("n1", "/v1/batches/" + *ids.begin(), "large");
    CHECK(stranger.value().status == 404);
}

// Story: an item crashes the engine that runs it, every time. The job never ends, or takes every other item's
// attempts with it.
TEST_CASE("items that kill their engine or can never be completed end as failed, and the others complete")
{
    test_system system;
    addUsual(system);
    system.addEngine("e3", "a", { "--slots", "16" });
    system.setExtraSettings("[customer/small/service/screening]\njob_attempts = 8\n");
    system.start();
    std::atomic<bool> stop { false };
    // The platform restarts engines that die.
    std::thread platform([&] {
        while (!stop) {
            for (const char* engine : { "e1", "e2", "e3" }) {
                if (!system.target(engine).running())
                    system.startTarget(engine);
            }
            std::this_thread::sleep_for(milliseconds { 50 });
        }
    });
    auto items = itemLines(60, 4);
    items += R"({"id":"bad","prompt":"[[fail]]","max_tokens":4})"
             "\n";
    items += R"({"id":"killer","prompt":"[[crash]]","max_tokens":4})"
             "\n";
    const auto job = submit(system, "n1", items, "poison");
    waitEnded(system, "n1", job);
    stop = true;
    platform.join();
    auto results = system.results("n1", job);
    CHECK(results.size() == 62);
    CHECK(results["bad"]["status"] == "failed");
    CHECK(results["killer"]["status"] == "failed");
    int completed = 0;
    for (const auto& [id, line] : results)
        completed += line["status"] == "completed";
    CHECK(completed == 60);
}

// Story: an operator cancels a job that goes on all the same; or a cancelled job reports itself completed.
TEST_CASE("a cancelled job stops, also when it is cancelled at another VM")
{
    test_system system;
    addUsual(system);
    system.start();
    const auto job = submit(system, "n1", itemLines(20000, 8), "cancelled");
    waitUntil(
        "the first results", [&] { return system.job("n1", job)["counts"]["completed"].get<int>() > 0; });
    http_request cancel;
    cancel.method = "POST";
    cancel.path = "/v1/batches/" + job + "/cancel";
    const auto reply = system.call("n2", cancel);
    REQUIRE(reply);
    CHECK(nlohmann::json::parse(reply.value().body)["state"] == "cancelled");
    const auto running = [&] {
        int all = 0;
        for (const char* engine : { "e1", "e2" })
            all += system.targetJson(engine, "/load")["running"].get<int>()
                + system.targetJson(engine, "/load")["queued"].get<int>();
        return all;
    };
    waitUntil(
        "the engines to be idle", [&] { return running() == 0; }, std::chrono::seconds { 10 });
    const auto counts = system.job("n1", job);
    CHECK(counts["state"] == "cancelled");
    CHECK(system.results("n1", job).size() == counts["counts"]["completed"].get<std::size_t>());
}

// Story: a quote must not be drafted twice. Its worker dies while it is running, and the next one runs it
// again.
TEST_CASE("a non-idempotent item never runs twice, however often its worker dies")
{
    test_system system;
    addUsual(system);
    system.start();
    std::string items;
    for (int i = 0; i < 60; ++i)
        items += nlohmann::json { { "id", "q" + std::to_string(i) },
            { "prompt", "quote " + std::to_string(i) }, { "max_tokens", 150 }, { "idempotent", false } }
                     .dump()
            + '\n';
    const auto job = submit(system, "n1", items, "quotes");
    for (int kill = 0; kill < 4; ++kill) {
        std::this_thread::sleep_for(milliseconds { 700 });
        const std::string victim = kill % 2 ? "b2" : "b1";
        system.at(victim).process->signal(SIGKILL);
        system.at(victim).process->wait();
        system.startNode(victim);
    }
    waitEnded(system, "n1", job);
    CHECK(system.results("n1", job).size() == 60);
    const auto admitted = system.targetJson("e1", "/counts")["admitted"].get<int>()
        + system.targetJson("e2", "/counts")["admitted"].get<int>();
    CHECK(admitted <= 60);
}

// Story: the engine that drafts a quote dies in the middle; the worker asks it to resume, the connection is
// refused, "not run" is taken for the whole attempt, and another engine drafts the quote a second time.
TEST_CASE("a non-idempotent item whose engine dies while it runs is not run again")
{
    test_system system;
    system.addEngine("e1", "a", { "--slots", "16", "--step-us", "20000" });
    system.addEngine("e2", "a", { "--slots", "16", "--step-us", "20000" });
    system.addEntry("n1", "a");
    system.addBatch("b1", "n1", shortLease);
    system.start();
    std::string items;
    for (int i = 0; i < 12; ++i)
        items += nlohmann::json { { "id", "q" + std::to_string(i) },
            { "prompt", "quote " + std::to_string(i) }, { "max_tokens", 100 }, { "idempotent", false } }
                     .dump()
            + '\n';
    const auto job = submit(system, "n1", items, "quotes");
    int started = 0;
    waitUntil("items on the engine", [&] {
        return (started = system.targetJson("e1", "/counts")["admitted"].get<int>()) > 2
            && system.targetJson("e1", "/counts")["tokens"].get<int>() > 50;
    });
    system.target("e1").signal(SIGKILL);
    waitEnded(system, "n1", job);
    const auto results = system.results("n1", job);
    int failed = 0;
    for (const auto& [id, line] : results)
        failed += line["status"] == "failed";
    CHECK(results.size() == 12);
    CHECK(failed >= started);
    CHECK(system.targetJson("e2", "/counts")["admitted"].get<int>() + failed == 12);
}
