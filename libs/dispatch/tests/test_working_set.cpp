#include "dispatch/dispatch.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace yuccachute;

namespace {

constexpr unsigned slotsOfTarget = 7;
constexpr milliseconds step { 10 };

group_options askingForReports()
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

/// A group whose targets answer each question for their load at once, unless they are dark.
struct played_group {
    explicit played_group(std::size_t count)
        : all(targets(count))
    {
        group.setTargets(all, now);
    }

    /// The first request finds no target that has reported yet.
    void begin()
    {
        ask(1);
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
            asked.insert(due.target);
            if (dark)
                group.recordMissedReport(due.target, now);
            else
                group.report(due.target, reportOf(due.target), now);
        }
        take();
    }
    load_report reportOf(const std::string& target) const
    {
        load_report report;
        report.slots = slotsOfTarget;
        report.runs.emplace();
        for (const auto& [id, place] : held) {
            if (place.target == target)
                report.runs->push_back(std::to_string(place.slotRequestId));
        }
        report.running = static_cast<unsigned>(report.runs->size());
        return report;
    }
    void take()
    {
        for (const auto& one : group.takeDecisions()) {
            if (const auto* given = std::get_if<slot_grant>(&one))
                held.emplace(given->grantId, *given);
            else if (std::holds_alternative<slot_refusal>(one))
                ++refused;
        }
    }
    /// Asks for places that are wanted at once or not at all.
    void ask(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            slot_request ask;
            ask.id = ++lastAsk;
            ask.requestId = std::to_string(ask.id);
            ask.immediate = true;
            ask.hold = milliseconds { 600000 };
            group.ask(ask, now);
        }
        take();
    }
    void releaseAll()
    {
        for (const auto& [id, place] : held)
            group.release({ id, grant_outcome::ok, milliseconds { 1 }, 0 }, now);
        held.clear();
    }

    steady_time now { std::chrono::seconds { 1000 } };
    std::vector<target_description> all;
    target_group group { askingForReports() };
    std::map<std::uint64_t, slot_grant> held;
    std::set<std::string> asked;
    std::size_t reports = 0;
    std::size_t refused = 0;
    std::uint64_t lastAsk = 0;
    bool dark = false;
};

/// Questions for load in three seconds under a load of so many requests at once.
std::size_t reportsUnder(std::size_t load, std::size_t count)
{
    played_group f(count);
    f.begin();
    for (int i = 0; i < 3; ++i) {
        f.ask(load);
        f.run(milliseconds { 1000 });
        f.releaseAll();
    }
    return f.reports;
}

} // namespace

// Guards against a dispatcher that asks each target of its zone for its load, however little it has to do.
TEST_CASE("a dispatcher's questions follow its load and not the number of targets")
{
    const auto few = reportsUnder(40, 500);
    CHECK(reportsUnder(40, 1000) == few);
    CHECK(reportsUnder(40, 2000) == few);
    CHECK(reportsUnder(400, 2000) > few);
}

// Guards against requests that wait, or go to another zone, because too few targets are in use at a peak.
TEST_CASE("a load that doubles at once finds places at once")
{
    played_group f(2000);
    f.begin();
    for (std::size_t load = 60; load <= 960; load *= 2) {
        f.ask(load - f.held.size());
        CHECK(f.held.size() == load);
        f.run(milliseconds { 200 });
    }
    CHECK(f.refused == 0);
}

// Guards against requests that find no place when a tenth of the targets goes, and are in use no more.
TEST_CASE("the loss of a tenth of the targets costs nobody his place")
{
    played_group f(1000);
    f.begin();
    f.ask(150);
    f.run(milliseconds { 200 });
    f.releaseAll();
    std::vector<std::string> gone;
    for (const auto& target : f.asked) {
        if (gone.size() < f.asked.size() / 10 + 1)
            gone.push_back(target);
    }
    f.group.changeTargets({}, gone, f.now);
    f.ask(150);
    CHECK(f.refused == 0);
    CHECK(f.held.size() == 150);
}

// Guards against a successor that uses other targets than the former dispatcher and sees nothing of its work.
TEST_CASE("dispatchers use the same targets whichever way they have learnt of them")
{
    played_group whole(300);
    played_group inTurn(0);
    auto reversed = whole.all;
    std::reverse(reversed.begin(), reversed.end());
    for (const auto& target : reversed)
        inTurn.group.changeTargets(std::span(&target, 1), {}, inTurn.now);
    for (auto* f : { &whole, &inTurn }) {
        f->ask(40);
        f->run(milliseconds { 100 });
        f->releaseAll();
        f->run(milliseconds { 13000 });
        f->asked.clear();
        f->ask(1);
        f->run(milliseconds { 1000 });
    }
    CHECK(whole.asked == inTurn.asked);
}

// Guards against a set of targets in use that a single peak makes large for good.
TEST_CASE("targets that a peak has needed rest some seconds after it")
{
    played_group f(2000);
    f.begin();
    for (std::size_t load = 60; load <= 960; load *= 2) {
        f.ask(load - f.held.size());
        f.run(milliseconds { 200 });
    }
    f.releaseAll();
    f.run(milliseconds { 13000 });
    CHECK(f.group.summary(f.now).usableTargets == askingForReports().leastTargets);
    CHECK(f.group.summary(f.now).targets == 2000);
}

// Guards against a dispatcher that is cut off from its targets and connects to all of them, one after the
// other.
TEST_CASE("a dispatcher that hears of no target does not take all into use")
{
    played_group f(2000);
    f.begin();
    f.ask(40);
    f.dark = true;
    f.run(milliseconds { 1500 });
    CHECK(f.asked.size() < 100);
}
