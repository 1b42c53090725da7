#include "platform_system.h"
#include "resuming_caller.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <span>
#include <string>
#include <thread>
#include <vector>

using namespace yuccachute;
using namespace yuccachute::testing;

namespace {

constexpr int events = 150;
constexpr int streams = 16;
constexpr int items = 8;

/// One entry, one batch process, and two targets whose responses end with their connection.
platform_layout unframedLayout()
{
    platform_layout layout;
    layout.eventMs = 10;
    layout.slots = 24;
    layout.zones = { { "a", 1, 1, 2 } };
    return layout;
}

void endResponsesByClose(platform_system& system)
{
    for (const unsigned number : { 0, 1 })
        system.control("/server?number=" + std::to_string(number) + "&do=end_by_close&on=1");
    std::this_thread::sleep_for(milliseconds { 1000 });
}

/// Streams of both kinds and a job, in the middle of which `disturb` is called. Resumable streams and items
/// must be whole, and other streams must not look whole if they are not.
void checkThatNothingCutLooksWhole(platform_system& system, const std::function<void()>& disturb)
{
    REQUIRE(system.submit("entry-a-1", "cut", items, events) == 202);
    std::atomic<int> whole { 0 };
    std::atomic<int> cutOnesThatLookWhole { 0 };
    std::vector<std::thread> callers;
    for (int i = 0; i < streams; ++i) {
        callers.emplace_back([&, i] {
            const auto id = "c-" + std::to_string(i);
            const auto route = i % 2 == 0 ? "resumable" : "once";
            const auto reply = system.stream("entry-a-1", route, id, events);
            const bool all = reply && reply.value().body == platform_system::wholeStream(id, events);
            whole += all && i % 2 == 0 ? 1 : 0;
            cutOnesThatLookWhole += reply && reply.value().status == 200 && !all ? 1 : 0;
        });
    }
    std::this_thread::sleep_for(milliseconds { 600 });
    CHECK(system.control("/server?number=0")["running"].get<int>() > 4);
    disturb();
    for (auto& caller : callers)
        caller.join();
    CHECK(whole == streams / 2);
    CHECK(cutOnesThatLookWhole == 0);
    for (const auto& entry : system.allResults("entry-a-1", "cut", items)) {
        const std::string text = entry["text"];
        CHECK(entry["state"] == "done");
        CHECK(std::count(text.begin(), text.end(), '\n') == events - 1);
        CHECK(text.ends_with("-" + std::to_string(events)));
    }
}

} // namespace

// Guards against cut responses that are taken for whole because the question whether their target runs is
// answered by its next start, which is back at the same address.
TEST_CASE("a target that is back at its address at once does not vouch for the responses of its last start")
{
    platform_system system(unframedLayout());
    endResponsesByClose(system);
    checkThatNothingCutLooksWhole(system, [&] { system.control("/server?number=0&do=crash_for&ms=0"); });
}

// Guards against the same with processes that stand still while the target crashes and starts again, so that
// they learn of the end of the connection only when the new start runs.
TEST_CASE("processes that stood still while a target crashed and returned take no cut response for whole")
{
    platform_system system(unframedLayout());
    endResponsesByClose(system);
    checkThatNothingCutLooksWhole(system, [&] {
        auto& entry = *system.entries.at("entry-a-1").running;
        auto& batch = *system.batches.begin()->second.running;
        entry.signal(SIGSTOP);
        batch.signal(SIGSTOP);
        system.control("/server?number=0&do=crash_for&ms=100");
        std::this_thread::sleep_for(milliseconds { 250 });
        entry.signal(SIGCONT);
        batch.signal(SIGCONT);
    });
}

// Guards against the same where the next start has the id of the one before it and differs in its time only.
TEST_CASE("a target that is back under its id does not vouch for the responses of its last start")
{
    platform_system system(unframedLayout());
    endResponsesByClose(system);
    for (const unsigned number : { 0, 1 })
        system.control("/server?number=" + std::to_string(number) + "&do=keep_id&listed_after=600");
    std::this_thread::sleep_for(milliseconds { 1000 });
    checkThatNothingCutLooksWhole(system, [&] { system.control("/server?number=0&do=restart"); });
}

namespace {

constexpr int shortStream = 5;
const std::vector<unsigned> bothTargets { 0, 1 };
/// Within the status line, after it, within fields, and before the end of the head, which is longer.
const std::vector<int> bytesBeforeCut { 1, 9, 15, 17, 30, 60, 90, 120 };

/// One entry, one batch process and two targets, all of whose connections pass the fault proxy.
platform_layout cutLayout()
{
    platform_layout layout;
    layout.proxied = true;
    layout.zones = { { "a", 1, 1, 2 } };
    return layout;
}

void cutTargets(platform_system& system, std::span<const unsigned> targets, int bytes, const char* end)
{
    for (const auto target : targets)
        system.route("server-" + std::to_string(target),
            "drop_reply_after=" + std::to_string(bytes) + "&drop_by=" + end);
}

void checkResults(platform_system& system, const std::string& job)
{
    for (const auto& listed : system.allResults("entry-a-1", job, 2)) {
        CHECK(listed["state"] == "done");
        const std::string text = listed["text"];
        CHECK(std::count(text.begin(), text.end(), '\n') == shortStream - 1);
    }
}

/// Sends requests of each kind. What is delivered with 200 must be whole. Returns the number of streams that
/// were.
int sendEachKind(platform_system& system, const std::string& name)
{
    int served = 0;
    for (int i = 0; i < 4; ++i) {
        const auto id = "h-" + name + "-" + std::to_string(i);
        INFO(id);
        for (const auto* route : { "resumable", "once" }) {
            const auto own = id + route;
            const auto reply = system.stream("entry-a-1", route, own, shortStream);
            if (!reply || reply.value().status != 200)
                continue;
            CHECK(reply.value().body == platform_system::wholeStream(own, shortStream));
            ++served;
        }
        const auto plain = system.plain("entry-a-1", "plain", id);
        if (plain && plain.value().status == 200)
            CHECK(plain.value().body == "plain " + id);
    }
    return served;
}

} // namespace

// Guards against answers with an empty or short body that look whole: their target stopped in the middle of
// the answer's head and closed the connection, in order or by a reset.
TEST_CASE("an answer whose head is cut is never delivered as whole")
{
    for (const auto* end : { "close", "reset" }) {
        for (const int bytes : bytesBeforeCut) {
            // A target is used less and less the more often it fails.
            platform_system system(cutLayout());
            for (const std::size_t cut : { 1, 2 }) {
                cutTargets(system, std::span(bothTargets).first(cut), bytes, end);
                const auto name = std::to_string(bytes) + "-" + std::to_string(cut);
                REQUIRE(system.submit("entry-a-1", "head-" + name, 2, shortStream) == 202);
                const int served = sendEachKind(system, name);
                if (cut == 2)
                    CHECK(served == 0);
                cutTargets(system, bothTargets, -1, end);
                checkResults(system, "head-" + name);
            }
        }
    }
}

// Guards against the same where a caller resumes a stream: the rest that is missing would look like the end.
TEST_CASE("a resumed stream whose answer's head is cut is never delivered as whole")
{
    for (const int bytes : bytesBeforeCut) {
        platform_system system(cutLayout());
        const auto port = system.entries.at("entry-a-1").callers;
        const auto name = "r-" + std::to_string(bytes);
        const auto begun = readStream(
            port, "/resumable/x", platform_system::requestHeaders(name, shortStream), shortStream - 2);
        REQUIRE(begun.lastEvent >= 1);
        REQUIRE(begun.lastEvent < shortStream);
        const auto resume = [&](const std::string& id) {
            return readStream(port, "/resumable/x", resumingHeaders(id, shortStream, name, begun.lastEvent));
        };
        cutTargets(system, bothTargets, bytes, "close");
        for (int i = 0; i < 2; ++i) {
            const auto rest = resume(name + "-cut-" + std::to_string(i));
            INFO("bytes " << bytes << ", status " << rest.status);
            CHECK(!(rest.status == 200 && rest.whole));
            CHECK(rest.events.empty());
        }
        cutTargets(system, bothTargets, -1, "close");
        received_stream rest;
        // Targets that have failed are left aside for two seconds.
        const auto until = steadyMs() + 4000;
        for (int i = 0; rest.status != 200 && steadyMs() < until; ++i) {
            std::this_thread::sleep_for(milliseconds { 200 });
            rest = resume(name + "-sound-" + std::to_string(i));
        }
        CHECK(rest.whole);
        CHECK(rest.events.starts_with("id: " + std::to_string(begun.lastEvent + 1) + '\n'));
        CHECK(rest.lastEvent == shortStream);
    }
}

// Guards against a job, or a copy of the store, that is taken from an answer of the store whose head is cut.
TEST_CASE("an answer of the store whose head is cut is no answer")
{
    for (const auto* end : { "close", "reset" }) {
        platform_system system(cutLayout());
        std::vector<std::string> accepted;
        std::vector<std::string> refused;
        for (const int bytes : bytesBeforeCut) {
            const auto cut = "drop_reply_after=" + std::to_string(bytes) + "&drop_by=" + end + "&mode=reset";
            for (const auto* vm : { "store-entry-a-1", "store-batch-a-1" })
                system.route(vm, cut);
            const auto job = "store-" + std::to_string(bytes);
            const auto status = system.submit("entry-a-1", job, 2, shortStream);
            INFO(job << " " << status);
            CHECK((status == 202 || status == 503 || status == 502)); // 502: it may have been accepted.
            (status == 202 ? accepted : refused).push_back(job);
            CHECK(sendEachKind(system, job) == 8);
            for (const auto* vm : { "store-entry-a-1", "store-batch-a-1" })
                system.route(vm, "drop_reply_after=-1");
        }
        std::this_thread::sleep_for(milliseconds { 3000 });
        for (const auto& job : accepted)
            checkResults(system, job);
        for (const auto& job : refused) {
            if (system.submit("entry-a-1", job, 2, shortStream) == 202)
                checkResults(system, job);
        }
    }
}
