#include "load_player/load_player.h"

#include "dispatch/dispatch.h"
#include "played_target.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace yuccachute {

namespace {

constexpr milliseconds step { 2 };
constexpr milliseconds groupTick { 10 };
/// After the last arrival, for what has begun.
constexpr milliseconds runOut { 20000 };
/// A report shows the target as it was so long ago.
constexpr milliseconds reportDelay { 50 };
constexpr milliseconds reportTimeout { 250 };
/// An entry wants a place so long before the first event is due.
constexpr milliseconds firstEventTime { 50 };
/// Items ask anew for a place after so long.
constexpr milliseconds itemPatience { 1000 };
/// Callers follow a Retry-After up to this part of the time that they have left.
constexpr int followedPart = 3;

/// Multiplier of the FNV hash of 64 bits.
constexpr std::uint64_t hashPrime = 1099511628211u;

/// 450 tokens of prompt, 55 of them in a millisecond.
constexpr milliseconds readingTime { 8 };
/// What was generated is read again so many times as fast: 55 tokens in a millisecond where 0.27 are made.
constexpr int generatedReadFaster = 200;

struct caller {
    steady_time arrived; ///< First attempt.
    steady_time attempt;
    steady_time placed;
    bool returned = false;
    bool refusedEarly = false;
    bool firstEvent = false;
    std::optional<milliseconds> left; ///< Remaining work of an answer that has left the target `avoid`.
    std::string avoid;
};

struct item {
    steady_time due;
    milliseconds left { 0 };
};

struct granted {
    std::uint64_t request = 0;
    std::size_t target = 0;
    std::uint64_t grant = 0;
    bool live = false;
    steady_time since;
    steady_time lastEvent;
    milliseconds firstEvent { 0 };
    event_timing timing;
};

class player {
public:
    explicit player(const load_plan& plan)
        : m_plan(plan)
        , m_random(plan.seed)
        , m_group(options())
    {
        std::vector<target_description> listed;
        for (unsigned i = 0; i < plan.targets; ++i) {
            m_targets.emplace_back("t" + std::to_string(i), plan.slots);
            if (!plan.speeds.empty())
                m_targets.back().setSpeed(plan.speeds[i % plan.speeds.size()]);
            listed.push_back({ m_targets.back().name(), "a", plan.slots, false });
        }
        m_listed = listed;
        m_outcome.liveGrants.resize(plan.targets);
        m_outcome.itemGrants.resize(plan.targets);
        m_group.setTargets(listed, m_now);
    }

    load_outcome run()
    {
        const auto end = m_begin + m_plan.length + runOut;
        for (; m_now < end; m_now += step) {
            applyEvents();
            arrive();
            work();
            failOver();
            if ((m_now - m_begin) % groupTick == milliseconds { 0 })
                m_group.tick(m_now);
            exchangeReports();
            decide();
        }
        for (const auto& [id, one] : m_callers)
            m_outcome.unserved += one.firstEvent ? 0 : 1;
        return m_outcome;
    }

private:
    group_options options() const
    {
        group_options options;
        options.policy = spare_bulk {};
        options.bulkOrder = fair_queue::order::due;
        options.refusalBackoff = milliseconds { 150 };
        options.waitMargin = m_plan.policy.waitMargin;
        options.keptForLive = m_plan.policy.keptForLive;
        options.bulkLookahead = m_plan.policy.bulkLookahead;
        options.assumedEventInterval = m_plan.items.eventInterval;
        options.pollsLoadReports = m_plan.policy.reports;
        options.targetPace = m_plan.policy.targetPace;
        return options;
    }

    milliseconds elapsed() const { return std::chrono::duration_cast<milliseconds>(m_now - m_begin); }

    // --- What happens from outside

    void applyEvents()
    {
        for (const auto& event : m_plan.events)
            std::visit(
                [this](const auto& one) {
                    if (elapsed() == one.at)
                        apply(one);
                },
                event);
    }

    void apply(const runs_orphaned&)
    {
        m_group = target_group(options());
        m_group.setTargets(m_listed, m_now);
        for (const auto& one : m_granted)
            orphan(one.request);
        m_granted.clear();
        // Whoever waited asks the new dispatcher.
        const auto waiting = std::exchange(m_asked, {});
        for (const auto id : waiting) {
            if (m_items.contains(id))
                askForItem(id);
            else
                askFor(id);
        }
    }

    /// An item that nobody reads any more runs on at its target; its holder begins it anew.
    void orphan(std::uint64_t request)
    {
        const auto lost = m_items.find(request);
        if (lost == m_items.end())
            return;
        const auto again = m_nextId++;
        m_items[again] = lost->second;
        m_items.erase(request);
        m_asked.insert(again);
    }

    void apply(const targets_leave& event)
    {
        for (unsigned i = 0; i < event.count && i < m_listed.size(); ++i)
            m_listed[i].drain = true;
        m_group.setTargets(m_listed, m_now);
    }

    void apply(const targets_dark& event)
    {
        for (unsigned i = 0; i < event.count && i < m_targets.size(); ++i)
            m_targets[i].goDark();
    }

    void apply(const targets_change_speed& event)
    {
        for (auto i = event.first; i < event.first + event.count && i < m_targets.size(); ++i) {
            m_targets[i].setSpeed(event.speed);
            if (event.reportsIdle)
                m_targets[i].reportIdle();
        }
    }

    double liveRate() const
    {
        double rate = 0;
        for (const auto& one : m_plan.live.rates)
            rate = elapsed() >= one.from ? one.perSecond : rate;
        return rate;
    }

    bool happens(double perSecond)
    {
        const double chance = perSecond * static_cast<double>(step.count()) / 1000;
        return std::uniform_real_distribution<double>(0, 1)(m_random) < chance;
    }

    void arrive()
    {
        for (auto back = m_returns.begin(); back != m_returns.end() && back->first <= m_now;) {
            auto one = back->second;
            back = m_returns.erase(back);
            one.attempt = m_now;
            ask(one);
        }
        if (elapsed() >= m_plan.length)
            return;
        if (happens(liveRate())) {
            ++m_outcome.asked;
            caller who;
            who.arrived = who.attempt = m_now;
            ask(who);
        }
        if (elapsed() < m_plan.items.until && happens(m_plan.items.perSecond)) {
            ++m_outcome.items;
            const auto id = m_nextId++;
            m_items[id] = { m_now + m_plan.items.due, m_plan.items.run };
            askForItem(id);
        }
    }

    // --- Asking for places

    void ask(const caller& who)
    {
        const auto id = m_nextId++;
        m_callers[id] = who;
        askFor(id);
    }

    void askFor(std::uint64_t id)
    {
        const auto& who = m_callers.at(id);
        m_asked.insert(id);
        slot_request wanted;
        wanted.id = id;
        wanted.requestId = std::to_string(id);
        wanted.customer = "live";
        wanted.deadline = who.attempt + m_plan.live.objective - firstEventTime;
        if (who.left)
            wanted.deadline = who.arrived + m_plan.live.patience;
        wanted.begun = who.left.has_value();
        wanted.avoid = who.avoid;
        wanted.hold = m_plan.live.patience;
        wanted.maxEventInterval = m_plan.live.maxEventInterval;
        m_group.ask(std::move(wanted), m_now);
    }

    void askForItem(std::uint64_t id)
    {
        const auto& one = m_items.at(id);
        slot_request wanted;
        wanted.id = id;
        wanted.requestId = std::to_string(id);
        wanted.customer = "items";
        wanted.workClass = work_class::bulk;
        wanted.deadline = m_now + itemPatience;
        wanted.hold = m_plan.length;
        wanted.due
            = one.due < m_now + one.left ? m_now : one.due; // What can only be late is overdue already.
        if (const auto interval = m_plan.items.eventInterval; interval.count() > 0) {
            wanted.remainingEvents = static_cast<double>(one.left.count()) / interval.count();
            wanted.producedEvents = static_cast<std::uint32_t>((m_plan.items.run - one.left) / interval);
        }
        m_asked.insert(id);
        m_group.ask(std::move(wanted), m_now);
    }

    // --- Targets

    void work()
    {
        for (std::size_t number = 0; number < m_targets.size(); ++number) {
            for (const auto& told : m_targets[number].advance(step))
                progress(told);
        }
    }

    void progress(const target_progress& told)
    {
        if (const auto run = findGranted(told.request); run != m_granted.end()) {
            run->timing.record(told.events, m_now);
            run->lastEvent = told.events > 0 ? m_now : run->lastEvent;
            if (told.firstEvent)
                run->firstEvent = std::chrono::duration_cast<milliseconds>(m_now - run->since);
        }
        if (const auto live = m_callers.find(told.request); live != m_callers.end()) {
            if (told.firstEvent)
                firstEvent(live->second);
            if (told.finished)
                m_callers.erase(live);
        } else if (const auto one = m_items.find(told.request); one != m_items.end()) {
            if (told.finished)
                itemFinished(one);
        }
        if (told.finished)
            release(told.request, grant_outcome::ok);
    }

    void failOver()
    {
        if (m_plan.live.silenceTimeout.count() == 0)
            return;
        std::vector<granted> silent;
        std::copy_if(m_granted.begin(), m_granted.end(), std::back_inserter(silent), [&](const granted& one) {
            return one.live && m_now - one.lastEvent > m_plan.live.silenceTimeout;
        });
        for (const auto& one : silent) {
            auto& who = m_callers.at(one.request);
            who.left = m_targets[one.target].drop(one.request);
            who.avoid = m_targets[one.target].name();
            ++m_outcome.failovers;
            release(one.request, grant_outcome::failed);
            askFor(one.request);
        }
    }

    void firstEvent(caller& who)
    {
        if (who.firstEvent)
            return; // Not the first event of the answer, but of its rest at another target.
        who.firstEvent = true;
        const bool inTime = m_now - who.attempt <= m_plan.live.objective;
        if (inTime && !who.returned)
            ++m_outcome.onTime;
        else if (inTime && who.refusedEarly)
            ++m_outcome.onTimeOnReturn;
        else
            ++m_outcome.late;
        const bool placedInTime = who.placed + firstEventTime <= who.attempt + m_plan.live.objective;
        m_outcome.stoodAtTarget += !inTime && placedInTime ? 1 : 0;
    }

    void itemFinished(std::map<std::uint64_t, item>::iterator one)
    {
        (m_now <= one->second.due ? m_outcome.itemsOnTime : m_outcome.itemsLate) += 1;
        const auto arrived = one->second.due - m_plan.items.due;
        m_outcome.itemSeconds += std::chrono::duration<double>(m_now - arrived).count();
        m_items.erase(one);
    }

    void release(std::uint64_t request, grant_outcome outcome)
    {
        const auto found = findGranted(request);
        if (found == m_granted.end())
            return; // Orphaned.
        const auto run = std::move(*found);
        m_granted.erase(found);
        const auto interval = run.timing.interval(outcome, m_now);
        const auto objective = m_plan.live.maxEventInterval;
        m_outcome.longPauses += run.live && objective.count() > 0 && interval > objective ? 1 : 0;
        m_group.release({ run.grant, outcome, run.firstEvent, 0, run.timing.events(), interval }, m_now);
    }

    std::vector<granted>::iterator findGranted(std::uint64_t request)
    {
        return std::find_if(
            m_granted.begin(), m_granted.end(), [&](const granted& one) { return one.request == request; });
    }

    void exchangeReports()
    {
        for (const auto& due : m_group.reportsDue(m_now)) {
            const auto& target = targetNamed(due.target);
            if (target.dark())
                m_missing.emplace(m_now + reportTimeout, due.target);
            else
                m_reports.emplace(m_now + reportDelay, std::pair(due.target, target.report()));
        }
        for (auto one = m_reports.begin(); one != m_reports.end() && one->first <= m_now;) {
            m_group.report(one->second.first, one->second.second, m_now);
            one = m_reports.erase(one);
        }
        for (auto one = m_missing.begin(); one != m_missing.end() && one->first <= m_now;) {
            m_group.recordMissedReport(one->second, m_now);
            one = m_missing.erase(one);
        }
    }

    played_target& targetNamed(const std::string& name)
    {
        return *std::find_if(
            m_targets.begin(), m_targets.end(), [&](const auto& target) { return target.name() == name; });
    }

    // --- Decisions

    void decide()
    {
        for (auto decisions = m_group.takeDecisions(); !decisions.empty();
             decisions = m_group.takeDecisions()) {
            for (const auto& one : decisions)
                std::visit([this](const auto& typed) { carryOut(typed); }, one);
        }
    }

    void carryOut(const slot_grant& given)
    {
        auto& target = targetNamed(given.target);
        const auto number = static_cast<std::size_t>(&target - m_targets.data());
        const bool toLive = m_callers.contains(given.slotRequestId);
        m_granted.push_back({ given.slotRequestId, number, given.grantId, toLive, m_now, m_now, {}, {} });
        m_outcome.grantsHash = (m_outcome.grantsHash ^ given.slotRequestId) * hashPrime + number;
        ++(toLive ? m_outcome.liveGrants : m_outcome.itemGrants)[number];
        m_asked.erase(given.slotRequestId);
        if (const auto live = m_callers.find(given.slotRequestId); live != m_callers.end()) {
            live->second.placed = m_now;
            return target.take(given.slotRequestId, live->second.left.value_or(m_plan.live.run), readingTime);
        }
        const auto& one = m_items.at(given.slotRequestId);
        target.take(
            given.slotRequestId, one.left, readingTime + (m_plan.items.run - one.left) / generatedReadFaster);
    }

    void carryOut(const slot_refusal& refused)
    {
        const auto live = m_callers.find(refused.slotRequestId);
        if (live == m_callers.end())
            return askForItem(refused.slotRequestId);
        auto who = live->second;
        m_callers.erase(live);
        m_asked.erase(refused.slotRequestId);
        const bool early = m_now - who.attempt <= m_plan.live.objective / 4;
        (early ? m_outcome.toldEarly : m_outcome.toldLate) += 1;
        if (who.returned) {
            ++m_outcome.unserved;
            return;
        }
        who.returned = true;
        who.refusedEarly = early;
        const auto left = who.arrived + m_plan.live.patience - m_now;
        const auto told = m_plan.policy.retryAfter.value_or(refused.reason.retryAfter);
        m_returns.emplace(m_now + std::min<steady_time::duration>(told, left / followedPart), who);
    }

    void carryOut(const grant_revocation& revoked)
    {
        const auto found = std::find_if(m_granted.begin(), m_granted.end(),
            [&](const granted& one) { return one.grant == revoked.grantId; });
        if (found == m_granted.end())
            return;
        ++m_outcome.revocations;
        m_outcome.revocationsAtRisk += revoked.reason == revocation_reason::at_risk ? 1 : 0;
        const auto id = found->request;
        m_items.at(id).left = m_targets[found->target].drop(id);
        release(id, grant_outcome::abandoned);
        askForItem(id);
    }

    const load_plan& m_plan;
    std::mt19937_64 m_random;
    steady_time m_begin = steady_time {} + std::chrono::hours { 1 };
    steady_time m_now = m_begin;
    target_group m_group;
    std::vector<played_target> m_targets;
    std::vector<target_description> m_listed;
    std::map<std::uint64_t, caller> m_callers;
    std::map<std::uint64_t, item> m_items;
    std::set<std::uint64_t> m_asked; ///< Callers and items that wait for a place.
    std::vector<granted> m_granted;
    std::multimap<steady_time, caller> m_returns;
    std::multimap<steady_time, std::pair<std::string, load_report>> m_reports;
    std::multimap<steady_time, std::string> m_missing;
    std::uint64_t m_nextId = 1;
    load_outcome m_outcome;
};

} // namespace

load_outcome play(const load_plan& plan)
{
    return player(plan).run();
}

std::vector<rate_step> squareWave(
    double trough, milliseconds troughTime, double peak, milliseconds peakTime, milliseconds length)
{
    std::vector<rate_step> rates;
    for (milliseconds at { 0 }; at < length; at += troughTime + peakTime) {
        rates.push_back({ at, trough });
        rates.push_back({ at + troughTime, peak });
    }
    return rates;
}

} // namespace yuccachute
