#include "guard/guard.h"

#include "logging/logging.h"

namespace yuccachute {

namespace {

/// Changes within this time are sent together: when a rack of targets fails, an entry learns of dozens of
/// requests within milliseconds.
constexpr milliseconds flushDelay { 10 };
constexpr milliseconds sendTimeout { 500 };
/// Shortest interval between transfers of all reports to a peer whose digest differs.
constexpr milliseconds fullSyncInterval { 1000 };
constexpr milliseconds expiryInterval { 5000 };

} // namespace

suspect_replicator::suspect_replicator(
    event_loop& loop, peer_sync& peers, request_guard& guard, address_source addresses)
    : m_loop(loop)
    , m_peers(peers)
    , m_guard(guard)
    , m_addresses(std::move(addresses))
    , m_flush(loop)
    , m_ticker(loop, expiryInterval, [this] { tick(); })
{
}

void suspect_replicator::tick()
{
    if (!m_guard.hasSuspects())
        return;
    const auto now = std::chrono::steady_clock::now();
    m_guard.expire(now);
    std::erase_if(m_lastFullSync, [&](const auto& sync) { return now - sync.second >= fullSyncInterval; });
    publishSnapshot();
}

void suspect_replicator::publishSnapshot()
{
    const auto now = std::chrono::steady_clock::now();
    snapshot next { m_guard.reports(now), 0, now };
    next.digest = digestOf(next.reports);
    const std::scoped_lock lock(m_mutex);
    m_snapshot = std::move(next);
}

suspect_replicator::snapshot suspect_replicator::published() const
{
    const auto now = std::chrono::steady_clock::now();
    const std::scoped_lock lock(m_mutex);
    auto copy = m_snapshot;
    for (auto& report : copy.reports)
        report.age += std::chrono::duration_cast<milliseconds>(now - copy.takenAt);
    return copy;
}

void suspect_replicator::sync(std::string_view address, const sync_question& question, milliseconds timeout,
    std::function<void(result<sync_answer>)> done)
{
    auto asked = question;
    asked.suspectsDigest = published().digest;
    m_peers.sync(address, asked, timeout,
        [this, alive = std::weak_ptr(m_alive), &loop = m_loop, address = std::string(address),
            digest = asked.suspectsDigest, done = std::move(done)](result<sync_answer> answer) {
            if (answer && answer.value().suspectsDigest != digest)
                loop.post([this, alive, address, reports = answer.value().suspects,
                              digest = answer.value().suspectsDigest] {
                    if (alive.expired())
                        return;
                    mergeReports(reports);
                    sendAllIfDigestDiffers(address, digest);
                });
            done(std::move(answer));
        });
}

void suspect_replicator::answer(const sync_question& question, sync_answer& answer)
{
    auto known = published();
    answer.suspectsDigest = known.digest;
    if (known.digest != question.suspectsDigest)
        answer.suspects = std::move(known.reports);
    if (!question.suspects.empty())
        m_loop.post([this, alive = std::weak_ptr(m_alive), reports = question.suspects] {
            if (!alive.expired())
                mergeReports(reports);
        });
}

void suspect_replicator::mergeReports(const std::vector<suspect_report>& reports)
{
    if (m_guard.merge(reports))
        publishSnapshot();
}

void suspect_replicator::sendAllIfDigestDiffers(const std::string& address, std::uint64_t digest)
{
    const auto own = published();
    if (own.digest == digest || own.reports.empty())
        return;
    // The peer lacks a record, for example because it was unreachable when the change was sent.
    const auto now = std::chrono::steady_clock::now();
    const auto [last, first] = m_lastFullSync.try_emplace(address, now);
    if (!first && now - last->second < fullSyncInterval)
        return;
    last->second = now;
    send(address, own.reports);
}

void suspect_replicator::broadcast(const suspect_report& change)
{
    publishSnapshot();
    m_pendingReports.insert_or_assign(change.identity, change);
    if (!m_flush.armed())
        m_flush.arm(flushDelay, [this] { flush(); });
}

void suspect_replicator::flush()
{
    std::vector<suspect_report> reports;
    for (const auto& [identity, report] : std::exchange(m_pendingReports, {}))
        reports.push_back(report);
    for (const auto& address : m_addresses())
        send(address, reports);
}

void suspect_replicator::send(const std::string& address, std::vector<suspect_report> reports)
{
    sync_question question;
    question.suspects = std::move(reports);
    question.suspectsDigest = published().digest;
    m_peers.sync(address, question, sendTimeout,
        [this, alive = std::weak_ptr(m_alive), &loop = m_loop](const result<sync_answer>& answer) {
            if (!answer)
                return; // The peer gets the changes with its next sync request.
            loop.post([this, alive, theirs = answer.value().suspects] {
                if (!alive.expired())
                    mergeReports(theirs);
            });
        });
}

} // namespace yuccachute
