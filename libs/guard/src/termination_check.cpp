#include "guard/guard.h"

#include "logging/logging.h"

#include <algorithm>
#include <utility>

namespace yuccachute {

namespace {

/// Delay before a check that is over is looked at again while its probe is under way.
constexpr milliseconds minExpiryInterval { 100 };
/// Longer than a response lasts that began before its target left the list.
constexpr std::chrono::seconds removalRetention { 120 };

/// Whether a target that is listed at the address of another one may be a later start of it. The entry of an
/// earlier start stays in the list for several seconds.
bool mayBeLaterStart(const listed_target& listed, std::string_view id, std::int64_t started)
{
    const bool startsKnown = listed.started != 0 && started != 0;
    return listed.id != id && (!startsKnown || listed.started > started);
}

} // namespace

termination_check::termination_check(event_loop& loop, load_report_source& loads, milliseconds listTimeout)
    : m_loop(loop)
    , m_probe(loop, loads)
    , m_listTimeout(listTimeout)
    , m_expiryTimer(loop)
{
}

void termination_check::setTargets(
    const target_directory& targets, std::span<const target_change> changes, steady_time now)
{
    m_targets = &targets;
    recordRemovals(changes, now);
    for (auto one = m_pendingChecks.begin(); one != m_pendingChecks.end();) {
        const auto next = std::next(one);
        if (hasRestarted(*one, changes))
            finish(one, true);
        one = next;
    }
    expire(now);
}

bool termination_check::hasRestarted(pending_check& one, std::span<const target_change> changes) const
{
    const auto successor = [&](const target_ptr& listed) {
        return listed && listed->address == one.address && mayBeLaterStart(*listed, one.target, one.started);
    };
    if (std::exchange(one.comparedWithFullList, true))
        return std::any_of(
            changes.begin(), changes.end(), [&](const auto& change) { return successor(change.after); });
    const auto& all = m_targets->targets();
    return std::any_of(all.begin(), all.end(), [&](const auto& listed) { return successor(listed.second); });
}

void termination_check::examine(const executing_target& target, callback done)
{
    auto* one = begin(target, std::move(done));
    if (one && !one->probing)
        probe(*one);
}

void termination_check::awaitRestart(const executing_target& target, callback done)
{
    begin(target, std::move(done));
}

void termination_check::recordRemovals(std::span<const target_change> changes, steady_time now)
{
    for (const auto& [before, after, released] : changes) {
        if (after)
            m_removed.erase(after->id);
        else if (before && !released)
            m_removed[before->id] = now;
    }
    std::erase_if(m_removed, [now](const auto& entry) { return now - entry.second > removalRetention; });
}

bool termination_check::replaced(const executing_target& target) const
{
    if (!m_targets)
        return false;
    const auto* own = m_targets->find(target.id);
    const bool comparable = own ? own->started != 0 : m_removed.contains(target.id);
    if (!comparable)
        return false;
    const auto& all = m_targets->targets();
    return std::any_of(all.begin(), all.end(), [&](const auto& entry) {
        const auto& other = *entry.second;
        return other.address == target.address && other.id != target.id
            && (!own || other.started > own->started);
    });
}

termination_check::pending_check* termination_check::begin(const executing_target& target, callback done)
{
    const auto now = std::chrono::steady_clock::now();
    expire(now);
    const auto* listed = m_targets ? m_targets->find(target.id) : nullptr;
    const bool unlisted = !listed && !(m_targets && m_targets->partial());
    // A target that is draining or no longer listed may stop in the middle of its work.
    if (unlisted || (listed && listed->draining)) {
        m_loop.post([done = std::move(done)] { done(false); });
        return nullptr;
    }
    auto one = std::find_if(m_pendingChecks.begin(), m_pendingChecks.end(),
        [&](const auto& other) { return other.target == target.id; });
    if (one == m_pendingChecks.end()) {
        m_pendingChecks.push_back({ target.id, listed ? listed->address : target.address,
            listed ? listed->started : 0, {}, {}, false, false });
        one = std::prev(m_pendingChecks.end());
    }
    one->until = now + m_listTimeout;
    one->callbacks.push_back(std::move(done));
    armExpiryTimer();
    return &*one;
}

void termination_check::probe(pending_check& one)
{
    one.probing = true;
    m_probe.ask({ one.target, one.address },
        [this, target = one.target](target_state state) { probed(target, state); });
}

void termination_check::probed(const std::string& target, target_state state)
{
    const auto one = std::find_if(m_pendingChecks.begin(), m_pendingChecks.end(),
        [&](const auto& other) { return other.target == target; });
    if (one == m_pendingChecks.end())
        return;
    one->probing = false;
    // An unreachable target refuses no connection; in this case the target list decides.
    if (state != target_state::unknown)
        finish(one, state == target_state::terminated);
}

void termination_check::finish(pending_check_list::iterator one, bool terminated)
{
    const auto callbacks = std::move(one->callbacks);
    if (terminated)
        logEvent(log_level::info, "target has ended",
            { { "target", one->target }, { "address", one->address },
                { "cuts", static_cast<std::int64_t>(callbacks.size()) } });
    m_pendingChecks.erase(one);
    for (const auto& done : callbacks)
        done(terminated);
}

void termination_check::expire(steady_time now)
{
    for (auto one = m_pendingChecks.begin(); one != m_pendingChecks.end();) {
        const auto next = std::next(one);
        if (!one->probing && now >= one->until)
            finish(one, false);
        one = next;
    }
}

void termination_check::armExpiryTimer()
{
    if (m_pendingChecks.empty() || m_expiryTimer.armed())
        return;
    const auto first = std::min_element(m_pendingChecks.begin(), m_pendingChecks.end(),
        [](const auto& left, const auto& right) { return left.until < right.until; });
    // A probe that is still under way ends the check itself, or leaves it to the next call.
    m_expiryTimer.armAt(std::max(first->until, std::chrono::steady_clock::now() + minExpiryInterval), [this] {
        expire(std::chrono::steady_clock::now());
        armExpiryTimer();
    });
}

} // namespace yuccachute
