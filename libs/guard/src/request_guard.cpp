#include "guard/guard.h"

#include "logging/logging.h"

namespace yuccachute {

namespace {

/// A run lasts a second or so.
constexpr milliseconds trialRetry { 1000 };

} // namespace

class request_guard::running_trial final : public trial {
public:
    running_trial(std::shared_ptr<std::set<request_identity>> trials, const request_identity& identity)
        : m_trials(std::move(trials))
        , m_identity(identity)
    {
        m_trials->insert(m_identity);
    }
    ~running_trial() override { m_trials->erase(m_identity); }

private:
    std::shared_ptr<std::set<request_identity>> m_trials;
    request_identity m_identity;
};

request_guard::request_guard(event_loop& loop, load_report_source& loads, metrics& figures)
    : m_figures(figures)
    , m_ends(loop, loads)
{
}

request_guard::admission request_guard::admit(const request_identity& identity)
{
    const auto now = std::chrono::steady_clock::now();
    switch (m_known.statusOf(identity, now)) {
    case quarantine::status::clear:
        return {};
    case quarantine::status::refused:
        return { notRun(failure_kind::limited, "this request has ended the targets that ran it",
                     m_known.remainingRefusalTime(identity, now)),
            nullptr };
    case quarantine::status::suspect:
        break;
    }
    if (m_trials->contains(identity))
        return { notRun(failure_kind::unavailable, "this request is being tried already", trialRetry),
            nullptr };
    return { std::nullopt, std::make_shared<running_trial>(m_trials, identity) };
}

bool request_guard::isSuspected(const request_identity& identity) const
{
    return m_known.statusOf(identity, std::chrono::steady_clock::now()) != quarantine::status::clear;
}

void request_guard::aborted(const request_identity& identity, const strike_record& whenSent,
    const run_target& target, std::function<void()> settled)
{
    m_ends.examine(
        target, [this, identity, whenSent, id = target.id, settled = std::move(settled)](bool ended) {
            if (ended)
                targetTerminated(identity, whenSent, id);
            if (settled)
                settled();
        });
}

void request_guard::targetUnresponsive(
    const request_identity& identity, const strike_record& whenSent, const run_target& target)
{
    m_ends.awaitRestart(target, [this, identity, whenSent, id = target.id](bool ended) {
        if (ended)
            targetTerminated(identity, whenSent, id);
    });
}

void request_guard::targetTerminated(
    const request_identity& identity, const strike_record& whenSent, const std::string& target)
{
    if (!m_known.targetTerminated(identity, whenSent, std::chrono::steady_clock::now()))
        return;
    const auto record = m_known.record(identity);
    logEvent(log_level::warning, "target ended under a request",
        { { "identity", toString(identity) }, { "target", target },
            { "strikes", std::int64_t { record.strikes } },
            { "acquittals", std::int64_t { record.acquittals } } });
    m_figures.count("yuccachute_request_strikes_total", "strikes", std::to_string(record.strikes));
    tell(identity);
}

void request_guard::answered(const request_identity& identity)
{
    if (!m_known.answered(identity, std::chrono::steady_clock::now()))
        return;
    logEvent(log_level::info, "request acquitted", { { "identity", toString(identity) } });
    tell(identity);
}

void request_guard::tell(const request_identity& identity)
{
    const auto news = m_known.report(identity, std::chrono::steady_clock::now());
    if (news && m_told)
        m_told(*news);
}

bool request_guard::merge(std::span<const suspect_report> reports)
{
    const auto now = std::chrono::steady_clock::now();
    bool news = false;
    for (const auto& report : reports) {
        const auto before = m_known.statusOf(report.identity, now);
        if (!m_known.merge(report, now))
            continue;
        news = true;
        const auto after = m_known.statusOf(report.identity, now);
        if (after == before)
            continue;
        logEvent(log_level::info, "heard of a suspected request",
            { { "identity", toString(report.identity) },
                { "strikes", std::int64_t { report.record.strikes } },
                { "acquittals", std::int64_t { report.record.acquittals } },
                { "age_ms", report.age.count() } });
    }
    return news;
}

shared_guard::shared_guard(event_loop& loop, load_report_source& loads, metrics& figures, peer_sync& peers,
    async_store& store, suspect_replicator::address_source addresses)
    : guard(loop, loads, figures)
    , replicator(loop, peers, guard, std::move(addresses))
    , archive(loop, store, guard)
{
    guard.onNews([this](const suspect_report& news) {
        replicator.tell(news);
        archive.save(news);
    });
}

} // namespace yuccachute
