#include "fleet/fleet.h"

#include "logging/logging.h"

#include <algorithm>

namespace yuccachute {

namespace {

constexpr milliseconds initialRetryDelay { 100 };
constexpr milliseconds maxRetryDelay { 1000 };

} // namespace

registration::registration(event_loop& loop, async_store& store, node_record self, timing intervals)
    : m_store(store)
    , m_self(std::move(self))
    , m_intervals(intervals)
    , m_timer(loop)
{
}

void registration::start()
{
    grant();
}

void registration::scheduleStep(milliseconds delay, void (registration::*step)())
{
    if (!m_leaseEnded)
        m_timer.arm(delay, [this, step] { (this->*step)(); });
}

void registration::grant()
{
    m_store.grantLease(m_intervals.leaseTtl, [this](result<std::int64_t> lease) {
        if (!lease) {
            m_failures = std::min(m_failures + 1, 10u);
            return scheduleStep(
                std::min(initialRetryDelay * m_failures, maxRetryDelay), &registration::grant);
        }
        m_failures = 0;
        ++m_generation;
        m_lease = lease.value();
        write();
    });
}

void registration::write()
{
    if (m_leaseEnded)
        return;
    store_transaction transaction;
    // A write without an answer may be executed after the one that replaces it, and would tie the record to a
    // lease that is not renewed.
    const auto unchanged
        = m_revision == 0 ? store_condition::kind::absent : store_condition::kind::mod_revision;
    transaction.conditions.push_back({ unchanged, nodeKey(m_self), m_revision });
    transaction.writes.push_back({ nodeKey(m_self), encodeNode(m_self), m_lease });
    if (m_self.role == node_role::entry && m_self.leaving)
        transaction.removals.push_back({ shareKey(m_self.vm), false });
    else if (m_self.role == node_role::entry)
        transaction.writes.push_back(
            { shareKey(m_self.vm), encodeShare({ m_self.vm, m_self.zone, m_self.address }), 0 });
    const auto sent = bootClockNow();
    m_store.commit(transaction, [this, sent](result<commit_outcome> outcome) {
        // Whatever failed, it is safe to start over with a new lease; the old one lapses.
        if (!outcome)
            return scheduleStep(initialRetryDelay, &registration::grant);
        const auto& [applied, revision, found] = outcome.value();
        if (!applied) {
            m_revision = found.empty() ? 0 : found.front().modRevision;
            return write();
        }
        m_revision = revision;
        logEvent(log_level::info, "registered", { { "key", nodeKey(m_self) }, { "lease", m_lease } });
        m_lastConfirmed = sent;
        scheduleStep(m_intervals.renewalInterval, &registration::renew);
    });
}

void registration::renew()
{
    const auto sent = bootClockNow();
    m_store.renewLease(m_lease, [this, sent](result<bool> renewed) {
        if (renewed) {
            m_lastConfirmed = sent;
            return scheduleStep(m_intervals.renewalInterval, &registration::renew);
        }
        if (renewed.error().kind == failure_kind::not_found) {
            logEvent(log_level::warning, "registration lapsed", { { "key", nodeKey(m_self) } });
            m_revision = 0;
            return scheduleStep(milliseconds { 0 }, &registration::grant);
        }
        scheduleStep(std::min(m_intervals.renewalInterval / 2, maxRetryDelay), &registration::renew);
    });
}

void registration::leave()
{
    m_self.leaving = true;
    if (m_lease != 0)
        write();
}

void registration::end()
{
    m_leaseEnded = true;
    m_timer.cancel();
    if (m_lease != 0)
        m_store.endLease(m_lease, [](result<bool>) {}); // Best effort: the lease lapses otherwise.
}

} // namespace yuccachute
