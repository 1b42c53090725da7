#include "places/places.h"
#include "support/free_port.h"
#include "support/whole_list.h"

#include <catch2/catch.hpp>

#include <time.h>

using namespace yuccachute;

namespace {

/// An entry process: a slot broker that serves its peers over RPC.
class entry final : public peer_handler {
public:
    entry(event_loop& loop, std::string vm, std::string zone)
        : self { std::move(vm), std::move(zone), "127.0.0.1:" + std::to_string(freePort()) }
        , broker(loop, client, self)
        , server(self.address, rpc_security {}, this, nullptr)
    {
    }
    void sessionOpened(std::uint64_t session, std::function<void(envelope)> send) override
    {
        broker.sessionOpened(session, std::move(send));
    }
    void sessionReceived(std::uint64_t session, envelope message) override
    {
        if (!unresponsive)
            broker.sessionReceived(session, std::move(message));
    }
    void sessionClosed(std::uint64_t session) override { broker.sessionClosed(session); }
    void setTargets(const whole_list::value_map& targets)
    {
        const auto now = std::chrono::steady_clock::now();
        const auto changes = listed.changesTo(targets, now);
        broker.setTargets(listed.directory(), changes, now);
    }

    dispatcher_info self;
    whole_list listed;
    rpc_client client { {} };
    slot_broker broker;
    std::atomic<bool> unresponsive { false };
    rpc_server server;
};

struct fixture {
    fixture()
    {
        for (const auto& [id, zone] : { std::pair("ta", "a"), std::pair("tb", "b") })
            targets[id] = { id, "llm", std::string(id) + ":1", zone, 2, false };
        for (auto* one : { &a, &b }) {
            one->broker.setDispatchers({ a.self, b.self });
            one->setTargets(targets);
        }
    }

    std::shared_ptr<slot_acquisition> acquire(
        entry& from, work_class workClass = work_class::live, int deadlineMs = 300, int ageMs = 0)
    {
        slot_requirements request;
        request.service = "llm";
        request.customer = "c";
        request.workClass = workClass;
        request.hold = milliseconds { 5000 };
        request.age = milliseconds { ageMs };
        request.grantDeadline = std::chrono::steady_clock::now() + milliseconds { deadlineMs };
        const auto number = outcomes.size();
        outcomes.emplace_back();
        return from.broker.acquire(
            request, [this, number](result<held_slot> found) { outcomes[number].emplace(std::move(found)); });
    }
    /// Runs the loop for the whole time. A loop without pending work would return at once, although messages
    /// of peers and closed streams may still be in transit in the transport's threads.
    void run(int ms = 60)
    {
        loop_timer end(loop);
        end.arm(milliseconds { ms + 1 }, [] {});
        loop.runFor(milliseconds { ms });
    }
    std::string target(std::size_t number) const
    {
        return outcomes[number] && *outcomes[number] ? outcomes[number]->value().target : "";
    }

    event_loop loop;
    std::map<std::string, listed_target, std::less<>> targets;
    entry a { loop, "vm-a", "a" };
    entry b { loop, "vm-b", "b" };
    std::vector<std::optional<result<held_slot>>> outcomes;
};

} // namespace

TEST_CASE(
    "free slots of the own zone are granted first, then those of other zones, then queued requests wait")
{
    fixture f;
    std::vector<std::shared_ptr<slot_acquisition>> acquisitions;
    for (int i = 0; i < 4; ++i) {
        acquisitions.push_back(f.acquire(f.a));
        f.run();
    }
    CHECK(f.target(0) == "ta");
    CHECK(f.target(1) == "ta");
    CHECK(f.target(2) == "tb");
    CHECK(f.target(3) == "tb");
    acquisitions.push_back(f.acquire(f.a, work_class::live, 1000));
    f.run();
    CHECK(!f.outcomes[4]);
    f.a.broker.release(f.outcomes[0]->value(), { grant_outcome::ok, milliseconds { 1 } });
    f.a.broker.release(f.outcomes[2]->value(), { grant_outcome::ok, milliseconds { 1 } });
    f.run();
    CHECK(!f.target(4).empty());
}

TEST_CASE("a withdrawn request is granted no slot")
{
    fixture f;
    auto first = f.acquire(f.a);
    auto second = f.acquire(f.a);
    auto third = f.acquire(f.a);
    auto fourth = f.acquire(f.a);
    f.run();
    auto waiting = f.acquire(f.a, work_class::live, 1000);
    f.run(20);
    waiting.reset();
    f.run(20);
    for (int i = 0; i < 4; ++i)
        f.a.broker.release(
            f.outcomes[static_cast<std::size_t>(i)]->value(), { grant_outcome::ok, milliseconds { 1 } });
    f.run();
    CHECK(!f.outcomes[4]);
    auto again = f.acquire(f.a);
    f.run();
    CHECK(f.target(5) == "ta");
}

// Guards against an age that is lost, or no longer recognized as that of a late request, on the way to the
// dispatcher: late requests then take the slots before those that can be on time.
TEST_CASE("a dispatcher in another process serves requests that are late last")
{
    fixture f;
    for (auto* one : { &f.a, &f.b })
        one->broker.setDispatchers({ f.b.self });
    std::vector<std::shared_ptr<slot_acquisition>> acquisitions;
    for (int i = 0; i < 4; ++i) {
        acquisitions.push_back(f.acquire(f.a));
        f.run();
    }
    const auto waiting = [&](std::size_t all, std::size_t late) {
        std::size_t waitingNow = 0;
        std::size_t lateNow = 0;
        for (const auto& [name, group] : f.b.broker.summaries(std::chrono::steady_clock::now())) {
            waitingNow += group.liveWaiting;
            lateNow += group.liveWaitingPastObjective;
        }
        return waitingNow == all && lateNow == late;
    };
    const auto runUntil = [&](const auto& condition) {
        for (int i = 0; i < 100 && !condition(); ++i)
            f.run(10);
        return condition();
    };
    acquisitions.push_back(f.acquire(f.a, work_class::live, 5000, 900));
    REQUIRE(runUntil([&] { return waiting(1, 1); }));
    acquisitions.push_back(f.acquire(f.a, work_class::live, 3000, 100));
    REQUIRE(runUntil([&] { return waiting(2, 1); }));
    // Both wait for the same zone, whose slots are released.
    const auto zone = f.b.broker.summaries(std::chrono::steady_clock::now()).at("llm/a/0").liveWaiting == 2
        ? std::string("ta")
        : std::string("tb");
    for (std::size_t i = 0; i < 4; ++i) {
        if (f.target(i) != zone)
            continue;
        f.a.broker.release(f.outcomes[i]->value(), { grant_outcome::ok, milliseconds { 1 } });
        const std::size_t expected = f.outcomes[5] ? 4 : 5;
        REQUIRE(runUntil([&] { return f.outcomes[expected].has_value(); }));
        CHECK(f.outcomes[4].has_value() == (expected == 4));
    }
    CHECK(f.target(4) == zone);
    CHECK(f.target(5) == zone);
}

// Guards against callers that wait for a frozen dispatcher of another zone.
TEST_CASE("an unresponsive dispatcher is skipped after a timeout")
{
    fixture f;
    auto first = f.acquire(f.a);
    auto second = f.acquire(f.a);
    f.run();
    f.b.unresponsive = true;
    auto third = f.acquire(f.a);
    f.run(120);
    // The other entry takes over as dispatcher of that zone.
    CHECK(f.target(2) == "tb");
    CHECK(f.a.broker.figures().unresponsiveDispatchers == 1);
}

// Guards against a request that is lost in the queue of a dispatcher which freezes after acknowledging it:
// the caller waited until its own deadline, although slots were free elsewhere.
TEST_CASE("a request queued at a dispatcher that stops responding is still decided")
{
    fixture f;
    std::vector<std::shared_ptr<slot_acquisition>> acquisitions;
    for (int i = 0; i < 4; ++i) {
        acquisitions.push_back(f.acquire(f.b));
        f.run();
    }
    acquisitions.push_back(f.acquire(f.b, work_class::live, 150));
    f.run(40);
    f.a.unresponsive = true;
    f.b.unresponsive = true;
    f.run(400);
    REQUIRE(f.outcomes[4]);
    CHECK(!*f.outcomes[4]);
}

TEST_CASE("a bulk slot is revoked when live requests need it")
{
    fixture f;
    f.targets.erase("tb");
    f.targets.at("ta").slots = 8;
    for (auto* one : { &f.a, &f.b })
        one->setTargets(f.targets);
    auto bulk = f.acquire(f.b, work_class::bulk);
    f.run();
    REQUIRE(f.target(0) == "ta");
    bool revoked = false;
    f.b.broker.onRevoked(f.outcomes[0]->value(), [&] { revoked = true; });
    std::vector<std::shared_ptr<slot_acquisition>> live;
    for (int i = 0; i < 7; ++i)
        live.push_back(f.acquire(f.a));
    f.run();
    CHECK(f.target(7) == "ta");
    CHECK(!revoked);
    live.push_back(f.acquire(f.a));
    f.run();
    CHECK(f.target(8) == "ta");
    CHECK(revoked);
}

// A dispatcher that cannot reach the store does not know that a target is draining and still grants slots
// there. Guards against processes that know it but use the slot: their work is aborted when the target stops.
TEST_CASE("a slot at a target that is known to drain is not used")
{
    fixture f;
    auto here = f.targets;
    here.erase("tb");
    here.at("ta").draining = true;
    here["tc"] = { "tc", "llm", "tc:1", "a", 2, false };
    f.a.setTargets(here);
    f.a.broker.setDispatchers({ f.b.self }); // Process b does not know of the changes yet.
    auto acquisition = f.acquire(f.a, work_class::live, 100);
    f.run(200);
    CHECK(f.target(0).empty());
    f.b.setTargets(here);
    auto again = f.acquire(f.a);
    f.run();
    CHECK(f.target(1) == "tc");
}

// After a restart of all processes, some take one entry for the primary dispatcher of a zone and some
// another. If one of the two fills the slots with bulk work, the other one, which gets the live requests,
// finds every target full for seconds.
TEST_CASE("only the primary dispatcher grants slots to bulk work, and a former primary revokes them")
{
    fixture f;
    f.targets.erase("tb");
    for (auto* one : { &f.a, &f.b })
        one->setTargets(f.targets);
    f.a.broker.setDispatchers({ f.b.self }); // Process a does not list itself yet.
    f.b.broker.setDispatchers({ f.b.self });
    auto bulk = f.acquire(f.a, work_class::bulk);
    f.run();
    REQUIRE(f.target(0) == "ta");
    bool revoked = false;
    f.a.broker.onRevoked(f.outcomes[0]->value(), [&] { revoked = true; });
    for (auto* one : { &f.a, &f.b })
        one->broker.setDispatchers({ f.a.self, f.b.self });
    f.run();
    CHECK(revoked);
    auto again = f.acquire(f.b, work_class::bulk, 100);
    f.run();
    REQUIRE(f.target(1) == "ta");
    CHECK(f.outcomes[1]->value().dispatcher == f.a.self.address);
}

// When a dispatcher is killed, its successor does not know of the bulk work at the targets, and grants live
// requests slots that are in use.
TEST_CASE("bulk work releases the slots of a lost dispatcher")
{
    fixture f;
    f.targets.erase("tb");
    auto c = std::make_unique<entry>(f.loop, "vm-c", "a");
    c->broker.setDispatchers({ c->self });
    c->setTargets(f.targets);
    f.b.setTargets(f.targets);
    f.b.broker.setDispatchers({ c->self });
    auto bulk = f.acquire(f.b, work_class::bulk);
    f.run();
    REQUIRE(f.target(0) == "ta");
    bool revoked = false;
    f.b.broker.onRevoked(f.outcomes[0]->value(), [&] { revoked = true; });
    c.reset();
    f.run(200);
    CHECK(revoked);
}

TEST_CASE("dispatchers of the zone rank first, in the same order in all processes")
{
    const std::vector<dispatcher_info> some { { "x", "a", "1" }, { "y", "b", "2" }, { "z", "b", "3" } };
    const std::vector<dispatcher_info> others { some[2], some[0], some[1] };
    const auto ranked = rankDispatchers("llm/b/0", "b", some);
    CHECK(ranked[2].vm == "x");
    CHECK(ranked[0].vm == rankDispatchers("llm/b/0", "b", others)[0].vm);
}

// In a zone of two large and fifteen small VMs the dispatcher was on a small one, which lacked the processor
// time for a load peak: requests waited for a slot beyond their deadline while targets were idle.
TEST_CASE("a small VM is dispatcher only if its zone has no larger VM")
{
    std::vector<dispatcher_info> all;
    for (int i = 0; i < 15; ++i)
        all.push_back({ "small-" + std::to_string(i), "z", "s" + std::to_string(i), false });
    all.push_back({ "large-1", "z", "l1", true });
    all.push_back({ "large-2", "z", "l2", true });
    all.push_back({ "large-elsewhere", "y", "e", true });
    const auto ranked = rankDispatchers("llm/z/0", "z", all);
    CHECK(ranked[0].large);
    CHECK(ranked[1].large);
    CHECK(!ranked[2].large);
    CHECK(ranked[17].vm == "large-elsewhere");
    all.erase(all.begin() + 15, all.begin() + 17);
    CHECK(rankDispatchers("llm/z/0", "z", all)[0].zone == "z");
}

namespace {

/// CPU time of this thread.
double threadCpuMs()
{
    timespec time {};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return 1000.0 * static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e6;
}

/// CPU time that 1,000 slot acquisitions cost the dispatcher of their zone, in a fleet of `entries` entries.
double cpuMsForAcquisitions(std::size_t entries)
{
    event_loop loop;
    rpc_client client { {} };
    const dispatcher_info self { "vm-0", "a", "own", true };
    whole_list listed;
    slot_broker broker(loop, client, self);
    std::vector<dispatcher_info> fleet { self };
    for (std::size_t i = 1; i < entries; ++i)
        fleet.push_back(
            { "vm-" + std::to_string(i), i % 5 == 0 ? "a" : "b", "address-" + std::to_string(i), false });
    broker.setDispatchers(fleet);
    std::map<std::string, listed_target, std::less<>> targets;
    targets["t"] = { "t", "llm", "t:1", "a", 8, false };
    const auto now = std::chrono::steady_clock::now();
    const auto changes = listed.changesTo(targets, now);
    broker.setTargets(listed.directory(), changes, now);
    const double begin = threadCpuMs();
    for (int i = 0; i < 1000; ++i) {
        slot_requirements request;
        request.service = "llm";
        request.grantDeadline = std::chrono::steady_clock::now() + milliseconds { 300 };
        std::optional<result<held_slot>> outcome;
        const auto acquisition
            = broker.acquire(request, [&](result<held_slot> found) { outcome.emplace(std::move(found)); });
        while (!outcome)
            loop.runFor(milliseconds { 1 });
        REQUIRE(*outcome);
        broker.release(outcome->value(), { grant_outcome::ok, milliseconds { 1 } });
    }
    return threadCpuMs() - begin;
}

} // namespace

// In a fleet of 300 VMs, dispatchers on VMs of half a core answered so late at each live load peak that other
// processes took them for dead, because each slot request sorted the whole list of entries twice. With that,
// 1,000 requests took 38 ms among six entries and 209 ms among 300; without, 32 ms in both cases (means of
// three runs).
TEST_CASE("a slot request costs the same in a large fleet")
{
    cpuMsForAcquisitions(6); // Warm-up: excludes one-time initialisation.
    const double small = cpuMsForAcquisitions(6);
    CHECK(cpuMsForAcquisitions(300) < 3 * small);
}

// During a live load peak all items wait. When 1,000 items each tried five zones every 400 ms, the
// dispatchers were busy refusing items instead of serving live requests.
TEST_CASE("a zone that has just refused an item is skipped by the next ones")
{
    fixture f;
    std::vector<std::shared_ptr<slot_acquisition>> acquisitions;
    for (int i = 0; i < 4; ++i) {
        acquisitions.push_back(f.acquire(f.a));
        f.run(10);
    }
    acquisitions.push_back(f.acquire(f.a, work_class::bulk));
    f.run(20);
    const auto before = f.a.broker.figures().asks;
    for (int i = 0; i < 10; ++i)
        acquisitions.push_back(f.acquire(f.a, work_class::bulk));
    f.run(20);
    CHECK(f.a.broker.figures().asks == before + 10); // Each waits in the queue of its own zone.
    // The first slot that becomes free there is granted to one of them, and items try other zones again
    // later.
    f.a.broker.release(f.outcomes[0]->value(), { grant_outcome::ok, milliseconds { 1 } });
    f.run(20);
    const auto granted = std::count_if(
        f.outcomes.begin() + 4, f.outcomes.end(), [](const auto& outcome) { return outcome && *outcome; });
    CHECK(granted == 1);
    f.a.broker.release(f.outcomes[2]->value(), { grant_outcome::ok, milliseconds { 1 } });
    f.run(200);
    acquisitions.push_back(f.acquire(f.a, work_class::bulk));
    f.run(20);
    CHECK(f.target(f.outcomes.size() - 1) == "tb");
}

TEST_CASE("a full zone is remembered for a limited time, or until it grants a slot")
{
    full_zone_cache zones;
    const steady_time now { milliseconds { 5000 } };
    zones.markFull("a", now);
    CHECK(zones.isFull("a", now + milliseconds { 100 }));
    CHECK(!zones.isFull("b", now));
    CHECK(!zones.isFull("a", now + milliseconds { 200 }));
    zones.markFull("a", now);
    zones.markAvailable("a");
    CHECK(!zones.isFull("a", now));
}

// Guards against 250 processes that woke up a hundred times a second each for groups that they do not host.
TEST_CASE("a process without groups has no periodic wake-ups")
{
    event_loop loop;
    group_host host(
        loop, [](std::uint64_t, envelope) {}, [](const std::string&) { return true; }, nullptr,
        defaultGroupOptions());
    CHECK(!loop.runFor(milliseconds { 50 }));
    // With work, the tick is armed until the group has been idle for a short time.
    envelope message;
    message.asks.push_back({ groupName("s", "z", 0), {} });
    host.received(1, std::move(message), std::chrono::steady_clock::now());
    CHECK(loop.runFor(milliseconds { 50 }));
    loop.runFor(milliseconds { 2100 });
    CHECK(!loop.runFor(milliseconds { 50 }));
}

namespace {

/// Answers load polls when told to.
class scripted_loads final : public load_report_source {
public:
    void ask(const std::string& address, callback done) override
    {
        polls.emplace_back(address, std::move(done));
    }
    void askStart(const std::string& address, const std::string&, callback done) override
    {
        ask(address, std::move(done));
    }
    /// Answers all pending polls.
    void answer(const result<load_report>& report)
    {
        for (auto& [address, done] : std::exchange(polls, {}))
            done(report);
    }

    std::vector<std::pair<std::string, callback>> polls;
};

load_report reportOf(unsigned running)
{
    load_report report;
    report.running = running;
    report.runs.emplace();
    for (unsigned i = 0; i < running; ++i)
        report.runs->push_back("run " + std::to_string(i));
    return report;
}

/// The groups of a dispatcher that has just started, with two targets of two slots each.
struct started_host {
    started_host()
        : host(
            loop, [this](std::uint64_t, envelope message) { granted += message.grants.size(); },
            [](const std::string&) { return true; }, &loads, pollingOptions())
    {
        whole_list::value_map targets;
        for (const auto* id : { "t0", "t1" })
            targets[id] = { id, "llm", std::string(id) + ":1", "a", 2, false };
        const auto changes = listed.changesTo(targets, now());
        host.setTargets(listed.directory(), changes, now());
    }
    static steady_time now() { return std::chrono::steady_clock::now(); }
    static group_options pollingOptions()
    {
        auto options = defaultGroupOptions();
        options.pollsLoadReports = true;
        return options;
    }
    void request(std::uint64_t id)
    {
        ask_message one { "llm/a/0", {} };
        one.ask.id = id;
        one.ask.deadline = now() + milliseconds { 250 };
        envelope message;
        message.asks.push_back(std::move(one));
        host.received(1, std::move(message), now());
    }

    event_loop loop;
    scripted_loads loads;
    std::size_t granted = 0;
    whole_list listed;
    group_host host;
};

} // namespace

// Guards against the first requests of all callers after a restart, which waited at a new dispatcher until
// its targets had reported.
TEST_CASE("a dispatcher that has just started polls its targets before the first request")
{
    started_host f;
    CHECK(f.loads.polls.empty());
    f.host.prepare("llm/a/0", started_host::now());
    CHECK(f.loads.polls.size() == 2);
    // Changes of the targets or dispatchers prepare the same group again, which causes no more polls.
    f.host.prepare("llm/a/0", started_host::now());
    CHECK(f.loads.polls.size() == 2);
    f.loads.answer(reportOf(1));
    f.request(1);
    f.request(2);
    CHECK(f.granted == 2);
    f.request(3); // The targets run a request of others each.
    CHECK(f.granted == 2);
}

// Guards against a dispatcher that waits for targets which do not report, and against polls without end.
TEST_CASE("a dispatcher that has just started uses silent targets after a short time, and becomes idle")
{
    started_host f;
    f.host.prepare("llm/a/0", started_host::now());
    f.loop.runFor(milliseconds { 170 });
    f.request(1);
    CHECK(f.granted == 1);
    started_host idle;
    idle.host.prepare("llm/a/0", started_host::now());
    for (int i = 0; i < 23; ++i) {
        idle.loop.runFor(milliseconds { 100 });
        idle.loads.answer(reportOf(0));
    }
    CHECK(!idle.loop.runFor(milliseconds { 50 }));
}

// Guards against a request that gets no other slot after a target that reports to be idle has refused it.
TEST_CASE("a dispatcher that has just started is not misled by a false report for long")
{
    started_host f;
    f.host.prepare("llm/a/0", started_host::now());
    f.loads.answer(reportOf(0));
    f.request(1);
    REQUIRE(f.granted == 1);
    envelope message;
    message.releases.push_back({ "llm/a/0", { 1, grant_outcome::refused, milliseconds { 0 }, 0 } });
    f.host.received(1, std::move(message), started_host::now());
    for (std::uint64_t id = 2; id <= 4; ++id)
        f.request(id);
    CHECK(f.granted == 3); // Two slots of the other target; the fourth request waits.
}

TEST_CASE("only the primary dispatcher polls targets before the first request")
{
    event_loop loop;
    rpc_client client { {} };
    scripted_loads loads;
    const std::vector<dispatcher_info> dispatchers { { "vm-1", "a", "127.0.0.1:1" },
        { "vm-2", "a", "127.0.0.1:2" }, { "vm-3", "b", "127.0.0.1:3" } };
    whole_list::value_map targets;
    targets["t0"] = { "t0", "llm", "t0:1", "a", 2, false };
    std::size_t polls = 0;
    for (const auto& self : dispatchers) {
        whole_list listed;
        slot_broker broker(loop, client, self, &loads, started_host::pollingOptions());
        broker.setDispatchers(dispatchers);
        broker.prepareGroups(started_host::now()); // No targets are known yet.
        const auto changes = listed.changesTo(targets, started_host::now());
        broker.setTargets(listed.directory(), changes, started_host::now());
        broker.prepareGroups(started_host::now());
        polls += std::exchange(loads.polls, {}).size();
    }
    CHECK(polls == 1);
}

// Guards against a dispatcher of an older version of this system, which grants any target to a stream that is
// bound to a software version.
TEST_CASE("a slot at a target of another software version is not used")
{
    fixture f;
    auto known = f.targets;
    known.at("ta").version = "v1";
    known.at("tb").version = "v2";
    f.a.setTargets(known); // The dispatchers know neither version and grant slots at both.
    f.b.setTargets(f.targets);
    f.a.broker.setDispatchers({ f.b.self });
    slot_requirements request;
    request.service = "llm";
    request.customer = "c";
    request.hold = milliseconds { 5000 };
    request.grantDeadline = std::chrono::steady_clock::now() + milliseconds { 200 };
    request.version = "v2";
    std::optional<result<held_slot>> outcome;
    auto acquisition = f.a.broker.acquire(request, [&](auto found) { outcome.emplace(std::move(found)); });
    f.run(300);
    REQUIRE(outcome);
    CHECK((!*outcome || outcome->value().version == "v2"));
}

namespace {

struct origin_question {
    origin_question(entry& from, const std::string& streamId)
        : search(from.broker.findOrigin({ streamId, "llm", milliseconds { 10 } },
            [this](origin_answers found) { answers = std::move(found); }))
    {
    }
    std::optional<origin_answers> answers;
    std::shared_ptr<origin_search> search;
};

} // namespace

// Guards against a stream that is lost with the entry that began it.
TEST_CASE("the origin of a stream is known to the other entries after the one that began it is gone")
{
    fixture f;
    const stream_origin origin { "s1", "llm", "v1" };
    f.a.broker.recordOrigin(origin, milliseconds { 5000 });
    f.run();
    origin_question here(f.a, "s1");
    f.run(5);
    REQUIRE(here.answers);
    CHECK(here.answers->origin == origin);
    f.a.unresponsive = true;
    origin_question elsewhere(f.b, "s1");
    f.run();
    REQUIRE(elsewhere.answers);
    CHECK(elsewhere.answers->origin == origin);
}

// Guards against a guess where the process that knows the origin does not answer.
TEST_CASE("a search for an origin says whether all processes that may know it have answered")
{
    fixture f;
    origin_question unknown(f.b, "s1");
    f.run();
    REQUIRE(unknown.answers);
    CHECK(!unknown.answers->origin);
    CHECK(unknown.answers->complete);
    f.a.unresponsive = true;
    origin_question silent(f.b, "s1");
    f.run(100);
    REQUIRE(silent.answers);
    CHECK(!silent.answers->origin);
    CHECK(!silent.answers->complete);
}
