#include "fleet/fleet.h"

#include "logging/logging.h"

#include <algorithm>

namespace yuccachute {

namespace {

constexpr milliseconds firstPause { 100 };
constexpr milliseconds longestPause { 1000 };

} // namespace

registration::registration(event_loop& loop, async_store& store, node_record self, timing intervals)
    : m_store(store)
    , m_self(std::move(self))
    , m_times(intervals)
    , m_timer(loop)
{
}

void registration::start()
{
    grant();
}

void registration::again(milliseconds pause, void (registration::*step)())
{
    if (!m_ended)
        m_timer.arm(pause, [this, step] { (this->*step)(); });
}

void registration::grant()
{
    m_store.grantLease(m_times.timeToLive, [this](result<std::int64_t> lease) {
        if (!lease) {
            m_failures = std::min(m_failures + 1, 10u);
            return again(std::min(firstPause * m_failures, longestPause), &registration::grant);
        }
        m_failures = 0;
        ++m_generation;
        m_lease = lease.value();
        write();
    });
}

void registration::write()
{
    if (m_ended)
        return;
    store_transaction transaction;
    transaction.writes.push_back({ nodeKey(m_self), encodeNode(m_self), m_lease });
    if (m_self.role == node_role::entry && m_self.leaving)
        transaction.removals.push_back({ shareKey(m_self.vm), false });
    else if (m_self.role == node_role::entry)
        transaction.writes.push_back(
            { shareKey(m_self.vm), encodeShare({ m_self.vm, m_self.zone, m_self.address }), 0 });
    const auto sent = bootClockNow();
    m_store.commit(transaction, [this, sent](result<commit_outcome> outcome) {
        // Whatever failed, a new lease is a sound start; the old one lapses.
        if (!outcome)
            return again(firstPause, &registration::grant);
        logEvent(log_level::info, "registered", { { "key", nodeKey(m_self) }, { "lease", m_lease } });
        m_confirmed = sent;
        again(m_times.renewal, &registration::renew);
    });
}

void registration::renew()
{
    const auto sent = bootClockNow();
    m_store.renewLease(m_lease, [this, sent](result<bool> renewed) {
        if (renewed) {
            m_confirmed = sent;
            return again(m_times.renewal, &registration::renew);
        }
        if (renewed.error().kind == failure_kind::not_found) {
            logEvent(log_level::warning, "registration lapsed", { { "key", nodeKey(m_self) } });
            return again(milliseconds { 0 }, &registration::grant);
        }
        again(std::min(m_times.renewal / 2, longestPause), &registration::renew);
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
    m_ended = true;
    m_timer.cancel();
    if (m_lease != 0)
        m_store.endLease(m_lease, [](result<bool>) {}); // Best effort: the lease lapses by itself.
}

} // namespace yuccachute
