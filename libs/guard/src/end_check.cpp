#include "guard/guard.h"

#include "logging/logging.h"

#include <algorithm>
#include <utility>

namespace yuccachute {

namespace {

/// A target that has crashed is back, under another id, within several seconds; its old entry lapses in
/// four.
constexpr milliseconds listPatience { 10000 };

} // namespace

end_check::end_check(event_loop& loop, load_report_source& loads)
    : m_loop(loop)
    , m_loads(loads)
{
}

void end_check::setTargets(
    const target_directory& targets, std::span<const target_change> changes, steady_time now)
{
    m_targets = &targets;
    for (auto one = m_examinations.begin(); one != m_examinations.end();) {
        const auto next = std::next(one);
        if (restarted(*one, changes))
            finish(one, true);
        one = next;
    }
    expire(now);
}

bool end_check::restarted(examination& one, std::span<const target_change> changes) const
{
    const auto successor = [&](const target_ptr& listed) {
        return listed && listed->address == one.address && listed->id != one.target;
    };
    if (std::exchange(one.compared, true))
        return std::any_of(
            changes.begin(), changes.end(), [&](const auto& change) { return successor(change.after); });
    const auto& all = m_targets->targets();
    return std::any_of(all.begin(), all.end(), [&](const auto& listed) { return successor(listed.second); });
}

void end_check::examine(const run_target& target, callback done)
{
    auto* one = begin(target, std::move(done));
    if (one && !one->asking)
        ask(*one);
}

void end_check::awaitRestart(const run_target& target, callback done)
{
    begin(target, std::move(done));
}

end_check::examination* end_check::begin(const run_target& target, callback done)
{
    const auto now = std::chrono::steady_clock::now();
    expire(now);
    const auto* listed = m_targets ? m_targets->find(target.id) : nullptr;
    const bool unlisted = !listed && !(m_targets && m_targets->partial());
    // One that leaves, or has left the list, may stop in the middle of its work.
    if (unlisted || (listed && listed->draining)) {
        m_loop.post([done = std::move(done)] { done(false); });
        return nullptr;
    }
    auto one = std::find_if(m_examinations.begin(), m_examinations.end(),
        [&](const auto& other) { return other.target == target.id; });
    if (one == m_examinations.end()) {
        m_examinations.push_back(
            { target.id, listed ? listed->address : target.address, {}, {}, false, false });
        one = std::prev(m_examinations.end());
    }
    one->until = now + listPatience;
    one->waiting.push_back(std::move(done));
    return &*one;
}

void end_check::ask(examination& one)
{
    one.asking = true;
    m_loads.ask(one.address,
        [this, target = one.target, alive = std::weak_ptr(m_alive)](const result<load_report>& report) {
            if (!alive.expired())
                answered(target, report);
        });
}

void end_check::answered(const std::string& target, const result<load_report>& report)
{
    const auto one = std::find_if(m_examinations.begin(), m_examinations.end(),
        [&](const auto& other) { return other.target == target; });
    if (one == m_examinations.end())
        return;
    one->asking = false;
    if (report)
        return finish(one, false);
    const auto& error = report.error();
    // A refused connection; a target that is dark or cut off gives none, and the list has to tell.
    if (error.ran == verdict::not_run && error.kind == failure_kind::unavailable)
        finish(one, true);
}

void end_check::finish(examination_list::iterator one, bool ended)
{
    const auto waiting = std::move(one->waiting);
    if (ended)
        logEvent(log_level::info, "target has ended",
            { { "target", one->target }, { "address", one->address },
                { "cuts", static_cast<std::int64_t>(waiting.size()) } });
    m_examinations.erase(one);
    for (const auto& done : waiting)
        done(ended);
}

void end_check::expire(steady_time now)
{
    for (auto one = m_examinations.begin(); one != m_examinations.end();) {
        const auto next = std::next(one);
        if (!one->asking && now >= one->until)
            finish(one, false);
        one = next;
    }
}

} // namespace yuccachute
