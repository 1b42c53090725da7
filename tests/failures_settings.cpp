// Settings under races and failures, with real processes.

#include "harness.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <fstream>
#include <set>
#include <thread>

using namespace yuccachute;
using namespace yuccachute::testing;

namespace {

/// Version in force at an entry, or accepted as an admin process sees it.
std::int64_t versionOf(test_system& system, const std::string& entry)
{
    if (entry == "admin")
        return nlohmann::json::parse(system.get(entry, "/admin/status").value().body)["version"]
            .get<std::int64_t>();
    return nlohmann::json::parse(system.get(entry, "/status").value().body)["settings_version"]
        .get<std::int64_t>();
}

} // namespace

// Story: several operators edit at once through different admin processes while the store loses replies and
// goes down now and then. An edit that was accepted is lost, or a node goes back to an older version.
TEST_CASE("racing edits with lost replies: none that was accepted is lost, and no node goes back")
{
    test_system system;
    for (const char* name : { "n1", "n2", "n3" })
        system.addEntry(name, name == std::string("n3") ? "b" : "a");
    system.addAdmin("admin1", "n1");
    system.addAdmin("admin2", "n3");
    system.start();
    std::atomic<bool> stop { false };
    std::atomic<bool> wentBack { false };
    std::thread checker([&] {
        std::map<std::string, std::int64_t> last;
        while (!stop) {
            for (const char* name : { "n1", "n2", "n3" }) {
                const auto version = versionOf(system, name);
                wentBack = wentBack || version < last[name];
                last[name] = version;
            }
        }
    });
    std::thread faults([&] {
        for (int i = 0; i < 6; ++i) {
            system.store("lose_replies=2");
            std::this_thread::sleep_for(milliseconds { 100 });
            system.store("down=true");
            std::this_thread::sleep_for(milliseconds { 60 });
            system.store("down=false");
        }
        system.store("lose_replies=0");
    });
    constexpr int operators = 4;
    std::vector<int> lastAccepted(operators, -1);
    std::vector<std::set<int>> unknown(operators);
    std::vector<std::thread> threads;
    for (int o = 0; o < operators; ++o) {
        threads.emplace_back([&, o] {
            for (int i = 0; i < 25; ++i) {
                const auto reply = system.edit(o % 2 ? "admin1" : "admin2", "customer/c" + std::to_string(o),
                    { { "queue_limit", std::to_string(i) } });
                if (reply.status == 200) {
                    lastAccepted[static_cast<std::size_t>(o)] = i;
                    unknown[static_cast<std::size_t>(o)].clear();
                } else if (reply.body.find("may_have_run") != std::string::npos) {
                    unknown[static_cast<std::size_t>(o)].insert(i);
                }
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    faults.join();
    const auto final = system.edit("admin1", "fleet", { { "weight", "1" } });
    REQUIRE(final.status == 200);
    const auto version = nlohmann::json::parse(final.body)["version"].get<std::int64_t>();
    for (const char* name : { "n1", "n2", "n3" })
        waitUntil(
            std::string(name) + " to have the last version",
            [&] { return versionOf(system, name) >= version; }, std::chrono::seconds { 5 });
    stop = true;
    checker.join();
    CHECK(!wentBack);
    for (int o = 0; o < operators; ++o) {
        const auto node = nlohmann::json::parse(
            system.get("admin2", "/admin/node?path=customer/c" + std::to_string(o)).value().body);
        const auto held = std::stoi(node["values"].value("queue_limit", "-1"));
        const auto& doubtful = unknown[static_cast<std::size_t>(o)];
        CHECK((held == lastAccepted[static_cast<std::size_t>(o)] || doubtful.contains(held)));
    }
}

// Story: an entry is started while the store is down, with a file that names dead seeds first. It serves
// nobody, or with settings older than its peers'.
TEST_CASE("an edit reaches entries of both zones, also those that cannot reach the store")
{
    test_system system;
    system.addEngine("e1", "a");
    system.addEntry("n1", "a");
    system.addEntry("n2", "b");
    system.addAdmin("admin", "n1");
    system.start();
    const auto reply = system.edit("admin", "customer/small", { { "weight", "3" } });
    REQUIRE(reply.status == 200);
    const auto version = nlohmann::json::parse(reply.body)["version"].get<std::int64_t>();
    for (const char* name : { "n1", "n2" })
        waitUntil(
            "the edit to be in force", [&] { return versionOf(system, name) >= version; },
            std::chrono::seconds { 5 });
    system.store("down=true");
    system.at("n2").process->signal(SIGKILL);
    system.at("n2").process->wait();
    system.startNode("n2");
    waitUntil("the new entry to have the version", [&] {
        const auto status = system.get("n2", "/status");
        return status
            && nlohmann::json::parse(status.value().body)["settings_version"].get<std::int64_t>() >= version;
    });
    CHECK(system.complete("n2", "served by the other zone", 3).whole);
}

namespace {

/// Runs the operators' command line against an admin process; returns its exit code.
int ctl(test_system& system, const std::string& admin, std::vector<std::string> words)
{
    words.insert(words.begin(), { "--admin", system.address(admin) });
    child_process run("yuccachutectl", words, system.folder() + "/ctl.log");
    return run.wait();
}

std::string writeFile(test_system& system, const std::string& name, const std::string& text)
{
    const auto fileName = system.folder() + '/' + name;
    std::ofstream(fileName) << text;
    return fileName;
}

} // namespace

TEST_CASE("the operators' command line tells scripts what happened by its exit code")
{
    test_system system;
    system.addEntry("n1", "a");
    system.addAdmin("admin", "n1");
    system.start();
    CHECK(ctl(system, "admin", { "--help" }) == 0);
    CHECK(ctl(system, "admin", { "nonsense" }) == 2);
    CHECK(ctl(system, "admin", { "set", "fleet" }) == 2);
    CHECK(ctl(system, "admin", { "--wait", "5000", "set", "fleet", "weight=2" }) == 0);
    CHECK(ctl(system, "admin", { "set", "fleet", "weigth=2" }) == 1);
    CHECK(ctl(system, "admin", { "get", "customer/small", "weight" }) == 0);
    CHECK(ctl(system, "admin", { "get", "customer/small", "nothing" }) == 1);
    const auto file = writeFile(system, "change.ini", "[fleet]\nweight = 3\n");
    CHECK(ctl(system, "admin", { "diff", file }) == 1);
    CHECK(ctl(system, "admin", { "apply", file }) == 0);
    CHECK(ctl(system, "admin", { "diff", file }) == 0);
    CHECK(ctl(system, "admin", { "apply", writeFile(system, "bad.ini", "[fleet]\nweight = heavy\n") }) == 1);
    const auto version = versionOf(system, "admin");
    CHECK(ctl(system, "admin", { "undo", std::to_string(version) }) == 0);
    CHECK(ctl(system, "admin", { "diff", file }) == 1);
    // The node has changed since that edit: undoing it once more would undo the later one.
    CHECK(ctl(system, "admin", { "undo", std::to_string(version) }) == 3);
    CHECK(ctl(system, "admin", { "history" }) == 0);
    CHECK(ctl(system, "admin", { "status" }) == 0);
    system.store("down=true");
    CHECK(ctl(system, "admin", { "set", "fleet", "weight=4" }) == 4);
}
