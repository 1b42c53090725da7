#include "dispatch/dispatch.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace yuccachute;

namespace {

constexpr unsigned slotsOfTarget = 7;
constexpr milliseconds step { 10 };

group_options pollingOptions()
{
    group_options options;
    options.policy = spare_bulk {};
    options.pollsLoadReports = true;
    return options;
}

std::vector<target_description> targets(std::size_t count)
{
    std::vector<target_description> all;
    for (std::size_t i = 0; i < count; ++i)
        all.push_back({ "t" + std::to_string(i), "a" + std::to_string(i), slotsOfTarget, false });
    return all;
}

/// A group whose targets answer each load poll at once, unless they are unresponsive.
struct simulated_group {
    explicit simulated_group(std::size_t count)
        : all(targets(count))
    {
        group.setTargets(all, now);
    }

    /// Lets the targets report once: the first request finds none that has.
    void begin()
    {
        requestSlots(1);
        run(milliseconds { 200 });
        refused = 0;
    }
    void run(milliseconds time)
    {
        for (const auto end = now + time; now < end; now += step)
            tick();
    }
    void tick()
    {
        group.tick(now);
        for (const auto& due : group.reportsDue(now)) {
            ++reports;
            polled.insert(due.target);
            if (unresponsive)
                group.recordMissedReport(due.target, now);
            else
                group.report(due.target, reportOf(due.target), now);
        }
        processDecisions();
    }
    load_report reportOf(const std::string& target) const
    {
        load_report report;
        report.slots = slotsOfTarget;
        report.runs.emplace();
        for (const auto& [id, grant] : held) {
            if (grant.target == target)
                report.runs->push_back(std::to_string(grant.slotRequestId));
        }
        report.running = static_cast<unsigned>(report.runs->size());
        return report;
    }
    void processDecisions()
    {
        for (const auto& one : group.takeDecisions()) {
            if (const auto* given = std::get_if<slot_grant>(&one))
                held.emplace(given->grantId, *given);
            else if (std::holds_alternative<slot_refusal>(one))
                ++refused;
        }
    }
    /// Requests slots that are granted or refused at once.
    void requestSlots(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            slot_request request;
            request.id = ++lastId;
            request.requestId = std::to_string(request.id);
            request.immediate = true;
            request.hold = milliseconds { 600000 };
            group.ask(request, now);
        }
        processDecisions();
    }
    void releaseAll()
    {
        for (const auto& [id, grant] : held)
            group.release({ id, grant_outcome::ok, milliseconds { 1 }, 0 }, now);
        held.clear();
    }

    steady_time now { std::chrono::seconds { 1000 } };
    std::vector<target_description> all;
    target_group group { pollingOptions() };
    std::map<std::uint64_t, slot_grant> held;
    std::set<std::string> polled;
    std::size_t reports = 0;
    std::size_t refused = 0;
    std::uint64_t lastId = 0;
    bool unresponsive = false;
};

/// Number of load polls in three seconds with `load` concurrent requests on `count` targets.
std::size_t reportsUnder(std::size_t load, std::size_t count)
{
    simulated_group f(count);
    f.begin();
    for (int i = 0; i < 3; ++i) {
        f.requestSlots(load);
        f.run(milliseconds { 1000 });
        f.releaseAll();
    }
    return f.reports;
}

} // namespace

// Guards against a dispatcher that polls all targets of its zone even under a small load.
TEST_CASE("the number of load polls depends on the load and not on the number of targets")
{
    const auto few = reportsUnder(40, 500);
    CHECK(reportsUnder(40, 1000) == few);
    CHECK(reportsUnder(40, 2000) == few);
    CHECK(reportsUnder(400, 2000) > few);
}

// Guards against requests that wait or are sent to another zone because too few targets are in use at a load
// peak.
TEST_CASE("all requests of a load that doubles suddenly get slots at once")
{
    simulated_group f(2000);
    f.begin();
    for (std::size_t load = 60; load <= 960; load *= 2) {
        f.requestSlots(load - f.held.size());
        CHECK(f.held.size() == load);
        f.run(milliseconds { 200 });
    }
    CHECK(f.refused == 0);
}

// Guards against refused requests after a tenth of the targets in use has been removed.
TEST_CASE("no request is refused after the loss of a tenth of the targets")
{
    simulated_group f(1000);
    f.begin();
    f.requestSlots(150);
    f.run(milliseconds { 200 });
    f.releaseAll();
    std::vector<std::string> removed;
    for (const auto& target : f.polled) {
        if (removed.size() < f.polled.size() / 10 + 1)
            removed.push_back(target);
    }
    f.group.changeTargets({}, removed, f.now);
    f.requestSlots(150);
    CHECK(f.refused == 0);
    CHECK(f.held.size() == 150);
}

// Guards against a new dispatcher that uses other targets than the previous one and so does not learn which
// requests still run on those.
TEST_CASE("dispatchers use the same targets in whichever order they learn of them")
{
    simulated_group whole(300);
    simulated_group incremental(0);
    auto reversed = whole.all;
    std::reverse(reversed.begin(), reversed.end());
    for (const auto& target : reversed)
        incremental.group.changeTargets(std::span(&target, 1), {}, incremental.now);
    for (auto* f : { &whole, &incremental }) {
        f->requestSlots(40);
        f->run(milliseconds { 100 });
        f->releaseAll();
        f->run(milliseconds { 13000 });
        f->polled.clear();
        f->requestSlots(1);
        f->run(milliseconds { 1000 });
    }
    CHECK(whole.polled == incremental.polled);
}

// Guards against a working set that stays large after a single load peak.
TEST_CASE("targets that were activated for a load peak are deactivated some seconds after it")
{
    simulated_group f(2000);
    f.begin();
    for (std::size_t load = 60; load <= 960; load *= 2) {
        f.requestSlots(load - f.held.size());
        f.run(milliseconds { 200 });
    }
    f.releaseAll();
    f.run(milliseconds { 13000 });
    CHECK(f.group.summary(f.now).usableTargets == pollingOptions().minTargets);
    CHECK(f.group.summary(f.now).targets == 2000);
}

// Guards against a dispatcher that has lost the network to its targets and activates all of them one by one.
TEST_CASE("a dispatcher whose targets do not answer does not activate all of them")
{
    simulated_group f(2000);
    f.begin();
    f.requestSlots(40);
    f.unresponsive = true;
    f.run(milliseconds { 1500 });
    CHECK(f.polled.size() < 100);
}
