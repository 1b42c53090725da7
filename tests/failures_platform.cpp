#include "platform_system.h"

#include "event_loop/event_loop.h"
#include "serving/serving.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fstream>
#include <thread>

using namespace yuccachute;
using namespace yuccachute::testing;

TEST_CASE("streams, plain requests and jobs are served whole")
{
    platform_system system;
    for (const auto& [name, process] : system.entries) {
        const auto streamed = system.stream(name, "resumable", "s-" + name, 20);
        REQUIRE(streamed);
        CHECK(streamed.value().body == platform_system::wholeStream("s-" + name, 20));
        CHECK(!findHeader(streamed.value().headers, "Yuccachute-Server-Seal").empty());
        CHECK(system.plain(name, "plain", "p-" + name).value().body == "plain p-" + name);
        CHECK(system.plain(name, "nowhere", "n-" + name).value().status == 404);
        CHECK(system.runsOf("s-" + name).size() == 1);
    }
    CHECK(system.submit("entry-a-1", "job", 6, 30) == 202);
    CHECK(system.submit("entry-b-1", "job", 6, 30) == 202);
    const auto listed = system.allResults("entry-a-2", "job", 6);
    for (const auto& entry : listed) {
        CHECK(entry["state"] == "done");
        const std::string id = entry["id"];
        CHECK(entry["text"].get<std::string>().starts_with(id + "-1\n" + id + "-2\n"));
        CHECK(entry["text"].get<std::string>().ends_with(id + "-30"));
    }
    CHECK(
        system.call(system.entries.at("entry-b-1").callers, "GET", "/items/job?id=job-3", {}, "").value().body
        == "abc103");
    CHECK(system.call(system.entries.at("entry-b-1").callers, "GET", "/lots/nobody?after=0", {}, "")
              .value()
              .status
        == 404);
    const auto logged = system.logOf("entry-a-1");
    CHECK(logged.find("\"request_id\":\"s-entry-a-1\"") != std::string::npos);
}

// Story: a server dies while it streams to callers. Streams that may be resumed must reach their end without
// a gap, those that may not must not run a second time, and their callers must not take half an answer for a
// whole one.
TEST_CASE("a killed server loses no resumable stream and doubles no other")
{
    platform_system system(10, 8);
    std::atomic<int> wholeStreams { 0 };
    std::atomic<int> cutOnes { 0 };
    std::vector<std::thread> callers;
    for (int i = 0; i < 12; ++i) {
        callers.emplace_back([&, i] {
            const auto id = "k-" + std::to_string(i);
            const auto route = i % 2 == 0 ? "resumable" : "once";
            const auto reply = system.stream(i % 3 == 0 ? "entry-a-1" : "entry-b-1", route, id, 60);
            const bool whole = reply && reply.value().body == platform_system::wholeStream(id, 60);
            if (i % 2 == 0)
                wholeStreams += whole ? 1 : 0;
            else
                cutOnes += !whole && reply && reply.value().status == 200 ? 1 : 0;
        });
    }
    std::this_thread::sleep_for(milliseconds { 250 });
    system.control("/server?number=0&do=crash");
    system.control("/server?number=2&do=crash");
    for (auto& caller : callers)
        caller.join();
    CHECK(wholeStreams == 6);
    CHECK(cutOnes == 0);
    for (int i = 1; i < 12; i += 2)
        CHECK(system.runsOf("k-" + std::to_string(i)).size() == 1);
}

// Story: a server goes dark: it accepts connections and says nothing. Callers waited until their deadline.
TEST_CASE("a dark server costs its callers a fraction of their objective")
{
    platform_system system;
    system.control("/server?number=0&do=dark&on=1");
    for (int i = 0; i < 8; ++i) {
        const auto id = "d-" + std::to_string(i);
        const auto begun = std::chrono::steady_clock::now();
        const auto reply = system.stream("entry-a-1", "resumable", id, 5);
        const auto took = std::chrono::steady_clock::now() - begun;
        REQUIRE(reply);
        CHECK(reply.value().body == platform_system::wholeStream(id, 5));
        CHECK(took < milliseconds { 600 });
    }
}

// Story: the entry that is dispatcher of a zone is killed; requests of the other entries waited for it, or
// were refused although servers were free.
TEST_CASE("a killed dispatcher costs the other entries nothing but a moment")
{
    platform_system system;
    std::atomic<int> failed { 0 };
    std::atomic<bool> stop { false };
    std::vector<std::thread> callers;
    for (int c = 0; c < 3; ++c) {
        callers.emplace_back([&, c] {
            for (int i = 0; !stop; ++i) {
                const auto id = "q-" + std::to_string(c) + "-" + std::to_string(i);
                const auto reply = system.stream("entry-b-1", "resumable", id, 5);
                const bool whole = reply && reply.value().body == platform_system::wholeStream(id, 5);
                failed += whole ? 0 : 1;
                if (!whole)
                    std::fprintf(stderr, "%s: %s\n", id.c_str(),
                        (reply ? std::to_string(reply.value().status) + reply.value().body
                               : reply.error().message)
                            .c_str());
            }
        });
    }
    std::this_thread::sleep_for(milliseconds { 300 });
    system.entries.at("entry-a-1").running->signal(SIGKILL);
    std::this_thread::sleep_for(milliseconds { 300 });
    system.entries.at("entry-a-2").running->signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds { 700 });
    stop = true;
    for (auto& caller : callers)
        caller.join();
    CHECK(failed == 0);
    system.entries.at("entry-a-2").running->signal(SIGCONT);
}

// All entries are killed and start again while callers try to connect. The first requests that they received
// were refused, because the list of targets arrived a moment later.
TEST_CASE("the first request to an entry that starts again is served")
{
    platform_layout layout;
    layout.proxied = true;
    layout.serversProxied = false;
    platform_system system(layout);
    for (auto& [name, process] : system.entries) {
        process.running.reset();
        // The entries accept connections before they have read anything from the store.
        system.route("store-" + name, "delay_ms=3");
    }
    for (const auto& [name, process] : system.entries)
        system.startEntry(name);
    std::atomic<int> served { 0 };
    std::vector<std::thread> callers;
    for (const auto& entry : system.entries) {
        callers.emplace_back([&, name = entry.first] {
            const auto id = "again-" + name;
            const auto end = std::chrono::steady_clock::now() + milliseconds { 5000 };
            auto reply = system.stream(name, "resumable", id, 5);
            while (!reply && std::chrono::steady_clock::now() < end) {
                std::this_thread::sleep_for(milliseconds { 5 });
                reply = system.stream(name, "resumable", id, 5);
            }
            const bool whole = reply && reply.value().body == platform_system::wholeStream(id, 5);
            served += whole ? 1 : 0;
            if (!whole)
                std::fprintf(stderr, "%s: %s\n", id.c_str(),
                    (reply ? std::to_string(reply.value().status) + reply.value().body
                           : reply.error().message)
                        .c_str());
        });
    }
    for (auto& caller : callers)
        caller.join();
    CHECK(served == 3);
}

// Story: a store machine is lost right after it has acknowledged a job; the job was never run, or was listed
// twice.
TEST_CASE("a job outlives the process that accepted it, and each result keeps its place")
{
    platform_system system(10);
    REQUIRE(system.submit("entry-a-1", "lost", 8, 40) == 202);
    for (const auto& [name, process] : system.batches) {
        if (system.logOf(name).find("\"event\":\"job accepted\",\"job\":\"lost\"") != std::string::npos)
            process.running->signal(SIGKILL);
    }
    for (const auto& entry : system.allResults("entry-b-1", "lost", 8))
        CHECK(entry["state"] == "done");
    CHECK(system.control("/runs")["open"] == 0);
}

// Story: the holder of a job is frozen for seconds and wakes with its belief unchanged; meanwhile another has
// listed results. The first lists its own over them.
TEST_CASE("a frozen holder that wakes changes no position")
{
    platform_system system(10);
    REQUIRE(system.submit("entry-a-1", "frozen", 8, 60) == 202);
    child_process* holder = nullptr;
    // Logs are written behind the answers.
    waitUntil("a log names the holder", [&] {
        for (const auto& [name, process] : system.batches) {
            if (system.logOf(name).find("\"event\":\"job accepted\",\"job\":\"frozen\"") != std::string::npos)
                holder = process.running.get();
        }
        return holder != nullptr;
    });
    holder->signal(SIGSTOP);
    const auto listed = system.allResults("entry-b-1", "frozen", 8);
    holder->signal(SIGCONT);
    std::this_thread::sleep_for(milliseconds { 1500 });
    for (const auto& [name, process] : system.entries) {
        const auto page = system.results(name, "frozen");
        REQUIRE(page);
        CHECK((*page)["results"].size() == listed.size());
        CHECK(((*page)["results"] == listed)); // Both texts would fill the screen.
    }
}

// Story: the store is away for seconds. Live callers must not notice; a job is refused, or its outcome
// unknown, but never refused and run all the same.
TEST_CASE("an outage of the store stops no live request and makes no refusal false")
{
    platform_system system;
    REQUIRE(system.submit("entry-a-1", "before", 4, 20) == 202);
    system.control("/store?down=1&lapse=1");
    std::this_thread::sleep_for(milliseconds { 300 });
    for (int i = 0; i < 10; ++i) {
        const auto id = "o-" + std::to_string(i);
        const auto reply = system.stream("entry-a-1", "resumable", id, 5);
        CHECK((reply && reply.value().body == platform_system::wholeStream(id, 5)));
        std::this_thread::sleep_for(milliseconds { 200 });
    }
    const auto status = system.submit("entry-b-1", "during", 2, 5);
    CHECK((status == 502 || status == 503));
    system.control("/store?down=0");
    system.allResults("entry-a-2", "before", 4);
    // A new process finds its way once the store is back; a job that was not accepted is accepted now.
    waitUntil("the job is accepted", [&] { return system.submit("entry-b-1", "during", 2, 5) == 202; });
    system.allResults("entry-a-2", "during", 2);
}

// Story: answers of the store are lost and calls executed seconds later; a caller sends its job again and
// again. It must be accepted once and listed once.
TEST_CASE("lost answers and late calls accept and list everything once")
{
    platform_system system;
    system.control("/store?lose_percent=40&later=700");
    for (int i = 0; i < 3; ++i) {
        const auto id = "late-" + std::to_string(i);
        waitUntil("the job is accepted", [&] { return system.submit("entry-a-1", id, 3, 10) == 202; });
    }
    for (int i = 0; i < 3; ++i)
        system.allResults("entry-b-1", "late-" + std::to_string(i), 3);
    system.control("/store?lose_percent=0");
    for (int i = 0; i < 3; ++i)
        system.allResults("entry-a-2", "late-" + std::to_string(i), 3);
}

// Story: an operator changes a route; an entry that the store turns away, or one that has just started, goes
// on with the old configuration.
TEST_CASE("a configuration is in force everywhere soon, and never goes back")
{
    platform_system system;
    system.control("/config?timeout=5000&extra=1");
    for (const auto& entry : system.entries) {
        const auto& name = entry.first;
        waitUntil(
            "the new route at " + name,
            [&] { return system.plain(name, "extra", "c-" + name).value().status == 200; },
            std::chrono::seconds { 2 });
    }
    system.control("/store?down=1");
    // A process that starts without the store learns the configuration from its peers.
    system.entries.at("entry-b-1").running.reset();
    system.startEntry("entry-b-1");
    system.waitReady("entry-b-1");
    CHECK(system.plain("entry-b-1", "extra", "peer").value().status == 200);
    system.control("/store?down=0");
    system.control("/store?compact=1");
    system.control("/config?timeout=5000&extra=0");
    for (const auto& entry : system.entries) {
        const auto& name = entry.first;
        waitUntil(
            "the route is gone at " + name,
            [&] { return system.plain(name, "extra", "g-" + name).value().status == 404; },
            std::chrono::seconds { 3 });
    }
}

// Story: an entry is stopped while it streams. Its callers got cut answers, or new ones were turned away
// before the platform had taken it out.
TEST_CASE("a stopped entry finishes what it has begun and still takes what comes")
{
    platform_system system(20);
    std::atomic<bool> whole { false };
    std::thread caller([&] {
        const auto reply = system.stream("entry-a-1", "once", "stop", 100);
        whole = reply && reply.value().body == platform_system::wholeStream("stop", 100);
    });
    std::this_thread::sleep_for(milliseconds { 300 });
    auto& process = *system.entries.at("entry-a-1").running;
    process.signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds { 200 });
    CHECK(!system.ready("entry-a-1"));
    CHECK(system.plain("entry-a-1", "plain", "late").value().status == 200);
    caller.join();
    CHECK(whole);
    CHECK(process.wait() == 0);
}

// Story: a server announces that it leaves, or its entry vanishes; requests that reach it later are lost when
// it goes.
TEST_CASE("a leaving server gets nothing new at once")
{
    platform_system system;
    const std::string drained = system.control("/server?number=0&do=drain")["id"];
    const std::string unlisted = system.control("/server?number=3&do=unlist")["id"];
    std::this_thread::sleep_for(milliseconds { 300 });
    const auto before = system.control("/runs")["runs"].size();
    for (int i = 0; i < 20; ++i)
        REQUIRE(
            system.stream(i % 2 == 0 ? "entry-a-1" : "entry-b-1", "resumable", "v-" + std::to_string(i), 3));
    const auto runs = system.control("/runs")["runs"];
    REQUIRE(runs.size() == before + 20);
    for (std::size_t i = before; i < runs.size(); ++i) {
        CHECK(runs[i]["server"] != drained);
        CHECK(runs[i]["server"] != unlisted);
    }
}

// Story: a server's entry vanishes a few milliseconds after another one's. Changes were told in groups from
// the first one on, so the second server got requests for 400 ms more.
TEST_CASE("a server that leaves just after another one gets nothing new either")
{
    platform_system system;
    const std::string drained = system.control("/server?number=0&do=drain")["id"];
    std::this_thread::sleep_for(milliseconds { 5 });
    const std::string unlisted = system.control("/server?number=3&do=unlist")["id"];
    std::this_thread::sleep_for(milliseconds { 300 });
    const auto before = system.control("/runs")["runs"].size();
    for (int i = 0; i < 20; ++i)
        REQUIRE(system.stream("entry-b-1", "resumable", "v-" + std::to_string(i), 3));
    const auto runs = system.control("/runs")["runs"];
    for (std::size_t i = before; i < runs.size(); ++i) {
        CHECK(runs[i]["server"] != drained);
        CHECK(runs[i]["server"] != unlisted);
    }
}

// Story: an operator orders a machine to be emptied; the order is never answered when its process is dead.
TEST_CASE("an order to empty a machine is answered, also for a dead one")
{
    platform_system system(10);
    REQUIRE(system.submit("entry-a-1", "moved", 6, 60) == 202);
    system.control("/order?key=op/retire/batch-a-1");
    waitUntil(
        "the machine reports that it is empty", [&] { return system.reported("batch-a-1"); },
        std::chrono::seconds { 4 });
    system.allResults("entry-b-1", "moved", 6);
    system.batches.at("batch-a-1").running->signal(SIGKILL);
    system.startBatch("batch-a-1");
    system.batches.at("batch-b-1").running->signal(SIGKILL);
    system.control("/order?key=op/retire/batch-b-1");
    waitUntil(
        "another process reports for the dead one", [&] { return system.reported("batch-b-1"); },
        std::chrono::seconds { 10 });
}

// Story: a caller ends its job and is told so; items of it still start seconds later.
TEST_CASE("an ended job stops, whichever entry is asked")
{
    platform_system system(20);
    REQUIRE(system.submit("entry-a-1", "ended", 12, 200) == 202);
    waitUntil("items run", [&] { return !system.runsOf("ended-0").empty(); });
    const auto target = system.entries.at("entry-b-1").callers;
    CHECK(system.call(target, "DELETE", "/lots/ended", {}, "").value().status == 200);
    CHECK(system.call(target, "DELETE", "/lots/ended", {}, "").value().status == 200);
    std::this_thread::sleep_for(milliseconds { 300 });
    const auto before = system.control("/runs")["runs"].size();
    std::this_thread::sleep_for(milliseconds { 800 });
    CHECK(system.control("/runs")["runs"].size() == before);
    for (int number = 0; number < 4; ++number)
        CHECK(system.control("/server?do=none&number=" + std::to_string(number))["running"] == 0);
}

// Story: the store turns every process away for seconds, and callers go on asking for their jobs. Each
// question became a call by every batch process in turn, thousands in a few seconds, all refused and each
// priced.
TEST_CASE("questions of callers do not reach a store that turns the process away")
{
    platform_system system(10);
    REQUIRE(system.submit("entry-a-1", "asked", 4, 300) == 202);
    system.control("/store?busy=1");
    std::this_thread::sleep_for(milliseconds { 1500 });
    const auto before = system.control("/runs")["calls"].get<int>();
    std::atomic<bool> stop { false };
    std::atomic<int> asked { 0 };
    std::vector<std::thread> callers;
    for (int i = 0; i < 4; ++i) {
        callers.emplace_back([&] {
            for (; !stop; ++asked)
                system.results("entry-b-1", "asked");
        });
    }
    std::this_thread::sleep_for(milliseconds { 2000 });
    const auto calls = system.control("/runs")["calls"].get<int>() - before;
    stop = true;
    for (auto& caller : callers)
        caller.join();
    REQUIRE(asked > 100);
    // Five processes that look for the store again by themselves, a few times a second each.
    CHECK(calls < 250);
    system.control("/store?busy=0");
    system.allResults("entry-b-1", "asked", 4);
}

// Guards against items that are never listed because the target that ran them is lost before their first
// event, and nothing answers whether it has terminated.
TEST_CASE("items of a target that is lost before their first event run at another one")
{
    platform_layout layout;
    layout.zones = { { "a", 1, 1, 2 } };
    platform_system system(layout);
    for (const unsigned number : { 0, 1 }) {
        const auto server = "/server?number=" + std::to_string(number);
        system.control(server + "&do=first_event&ms=400");
        system.control(server + "&do=end_by_close&on=1");
    }
    std::this_thread::sleep_for(milliseconds { 1000 });
    REQUIRE(system.submit("entry-a-1", "silent", 8, 20) == 202);
    waitUntil("the first target runs items",
        [&] { return system.control("/server?number=0")["running"].get<int>() > 0; });
    std::this_thread::sleep_for(milliseconds { 100 });
    system.control("/server?number=0&do=lose");
    for (const auto& entry : system.allResults("entry-a-1", "silent", 8)) {
        CHECK(entry["state"] == "done");
        CHECK(entry["text"].get<std::string>().ends_with(entry["id"].get<std::string>() + "-20"));
    }
}

// Guards against answers that are cut off between two events, by a close in order, and look whole.
TEST_CASE("answers without length whose target ends between two events are not taken for whole ones")
{
    for (const std::string end : { "do=exit", "do=lose", "do=drain" }) {
        INFO("the first target gets " << end);
        platform_layout layout;
        layout.eventMs = 10;
        layout.slots = 24;
        layout.zones = { { "a", 1, 1, 2 } };
        platform_system system(layout);
        for (const unsigned number : { 0, 1 })
            system.control("/server?number=" + std::to_string(number) + "&do=end_by_close&on=1");
        std::this_thread::sleep_for(milliseconds { 1000 });
        REQUIRE(system.submit("entry-a-1", "cut", 8, 150) == 202);
        std::atomic<int> whole { 0 };
        std::atomic<int> cutOnesThatLookWhole { 0 };
        std::vector<std::thread> callers;
        for (int i = 0; i < 16; ++i) {
            callers.emplace_back([&, i] {
                const auto id = "c-" + std::to_string(i);
                const auto route = i % 2 == 0 ? "resumable" : "once";
                const auto reply = system.stream("entry-a-1", route, id, 150);
                const bool all = reply && reply.value().body == platform_system::wholeStream(id, 150);
                whole += all && i % 2 == 0 ? 1 : 0;
                cutOnesThatLookWhole += reply && reply.value().status == 200 && !all ? 1 : 0;
            });
        }
        std::this_thread::sleep_for(milliseconds { 600 });
        CHECK(system.control("/server?number=0")["running"].get<int>() > 4);
        system.control("/server?number=0&" + end);
        if (end == "do=drain") {
            std::this_thread::sleep_for(milliseconds { 300 });
            system.control("/server?number=0&do=exit");
        }
        for (auto& caller : callers)
            caller.join();
        CHECK(whole == 8);
        CHECK(cutOnesThatLookWhole == 0);
        for (const auto& entry : system.allResults("entry-a-1", "cut", 8)) {
            const std::string text = entry["text"];
            CHECK(entry["state"] == "done");
            CHECK(std::count(text.begin(), text.end(), '\n') == 149);
        }
    }
}

// Guards against requests that an entry takes from open connections so late in its shutdown that it cuts
// their streams.
TEST_CASE("an entry that is stopped takes no request that it cannot finish in its grace period")
{
    platform_layout layout;
    layout.eventMs = 10;
    layout.slots = 24;
    layout.zones = { { "a", 2, 1, 2 } };
    platform_system system(layout);
    const auto address = "127.0.0.1:" + std::to_string(system.entries.at("entry-a-1").callers);
    event_loop loop;
    http_client client(loop, { 8 });
    const auto start = [&](const std::string& method, const std::string& target, const std::string& id,
                           int events, client_call_events received) {
        http_request request;
        request.method = method;
        request.target = target;
        request.headers = platform_system::requestHeaders(id, events);
        request.headers.emplace_back("Host", "test.example");
        client_call_options options;
        options.deadline = std::chrono::steady_clock::now() + milliseconds { 7000 };
        return client.start(address, request, options, std::move(received));
    };
    constexpr int number = 4;
    int opened = 0;
    std::vector<std::shared_ptr<client_call>> calls;
    for (int i = 0; i < number; ++i) {
        client_call_events events;
        events.whole = [&] { ++opened; };
        calls.push_back(start("GET", "/plain/x", "open-" + std::to_string(i), 0, std::move(events)));
    }
    const auto pause = [&](int ms) { loop.runFor(milliseconds { ms }); };
    for (int i = 0; i < 100 && opened < number; ++i)
        pause(10);
    REQUIRE(opened == number);
    system.entries.at("entry-a-1").running->signal(SIGTERM);
    // Readiness probes take the entry out after two failures a second apart, so callers come back until then.
    const auto stopped = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - stopped < milliseconds { 3020 })
        pause(10);
    int begun = 0;
    int whole = 0;
    int ended = 0;
    for (int i = 0; i < number; ++i) {
        client_call_events events;
        events.head = [&](const http_reply& head) {
            begun += head.status == 200 ? 1 : 0;
            return true;
        };
        events.body = [](std::string_view) { return true; };
        events.whole = [&] {
            ++whole;
            ++ended;
        };
        events.failed = [&](const failure&) { ++ended; };
        calls.push_back(start("POST", "/once/x", "late-" + std::to_string(i), 280, std::move(events)));
        pause(40);
    }
    for (int i = 0; i < 700 && ended < number; ++i)
        pause(10);
    CHECK(ended == number);
    CHECK(whole >= begun);
}

// Guards against an abort with a crash report of a process whose port is taken, which looks like a fault of
// the program instead of its settings.
TEST_CASE("a program that cannot listen on its address prints the reason and ends with code 1")
{
    platform_system system;
    const std::vector<std::pair<std::string, std::string>> taken {
        { "yuccachute-platform-entry", system.entries.begin()->first },
        { "yuccachute-platform-batch", system.batches.begin()->first },
    };
    for (const auto& [program, name] : taken) {
        const auto log = system.folder() + "/second-" + name + ".log";
        child_process second(program, { "--config", system.folder() + "/" + name + ".ini" }, log);
        CHECK(second.wait() == 1);
        std::ifstream stream(log);
        const std::string text { std::istreambuf_iterator<char>(stream), {} };
        CAPTURE(program, text);
        CHECK(text.find("cannot listen on") != std::string::npos);
        CHECK(text.find("\"event\":\"crashed\"") == std::string::npos);
    }
}
