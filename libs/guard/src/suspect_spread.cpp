#include "guard/guard.h"

#include "logging/logging.h"

namespace yuccachute {

namespace {

/// News of a moment travel together: when a rack of targets ends, an entry learns of dozens of requests
/// within milliseconds.
constexpr milliseconds flushPause { 10 };
constexpr milliseconds tellTimeout { 500 };
/// A peer whose digest differs is told everything at most so often.
constexpr milliseconds tellAllPause { 1000 };
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
    std::erase_if(m_toldAll, [&](const auto& told) { return now - told.second >= tellAllPause; });
    publishSnapshot();
}

void suspect_replicator::publishSnapshot()
{
    const auto now = std::chrono::steady_clock::now();
    snapshot next { m_guard.known().reports(now), 0, now };
    next.digest = digestOf(next.reports);
    const std::scoped_lock lock(m_mutex);
    m_published = std::move(next);
}

suspect_replicator::snapshot suspect_replicator::published() const
{
    const auto now = std::chrono::steady_clock::now();
    const std::scoped_lock lock(m_mutex);
    auto copy = m_published;
    for (auto& report : copy.reports)
        report.age += std::chrono::duration_cast<milliseconds>(now - copy.made);
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
                    take(reports);
                    compare(address, digest);
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
                take(reports);
        });
}

void suspect_replicator::take(const std::vector<suspect_report>& reports)
{
    if (m_guard.merge(reports))
        publishSnapshot();
}

void suspect_replicator::compare(const std::string& address, std::uint64_t digest)
{
    const auto own = published();
    if (own.digest == digest || own.reports.empty())
        return;
    // The peer has not heard of something, such as one that was cut off when it was told.
    const auto now = std::chrono::steady_clock::now();
    const auto [last, first] = m_toldAll.try_emplace(address, now);
    if (!first && now - last->second < tellAllPause)
        return;
    last->second = now;
    send(address, own.reports);
}

void suspect_replicator::tell(const suspect_report& news)
{
    publishSnapshot();
    m_news.insert_or_assign(news.identity, news);
    if (!m_flush.armed())
        m_flush.arm(flushPause, [this] { flush(); });
}

void suspect_replicator::flush()
{
    std::vector<suspect_report> reports;
    for (const auto& [identity, report] : std::exchange(m_news, {}))
        reports.push_back(report);
    for (const auto& address : m_addresses())
        send(address, reports);
}

void suspect_replicator::send(const std::string& address, std::vector<suspect_report> reports)
{
    sync_question question;
    question.suspects = std::move(reports);
    question.suspectsDigest = published().digest;
    m_peers.sync(address, question, tellTimeout,
        [this, alive = std::weak_ptr(m_alive), &loop = m_loop](const result<sync_answer>& answer) {
            if (!answer)
                return; // It hears of the news when it asks next.
            loop.post([this, alive, theirs = answer.value().suspects] {
                if (!alive.expired())
                    take(theirs);
            });
        });
}

} // namespace yuccachute
