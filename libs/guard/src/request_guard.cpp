#include "guard/guard.h"

#include "logging/logging.h"

namespace yuccachute {

namespace {

/// About the duration of a run.
constexpr milliseconds trialRetryDelay { 1000 };

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

request_guard::request_guard(event_loop& loop, load_report_source& loads, metrics& processMetrics)
    : m_metrics(processMetrics)
    , m_terminationCheck(loop, loads)
{
}

request_guard::admission request_guard::admit(const request_identity& identity)
{
    const auto now = std::chrono::steady_clock::now();
    switch (m_suspects.statusOf(identity, now)) {
    case quarantine::status::clear:
        return {};
    case quarantine::status::refused:
        return { notRun(failure_kind::limited, "this request has ended the targets that ran it",
                     m_suspects.remainingRefusalTime(identity, now)),
            nullptr };
    case quarantine::status::suspect:
        break;
    }
    if (m_trials->contains(identity))
        return { notRun(failure_kind::unavailable,
                     "the request is suspected of crashing targets, and one run of it is in progress already",
                     trialRetryDelay),
            nullptr };
    return { std::nullopt, std::make_shared<running_trial>(m_trials, identity) };
}

bool request_guard::isSuspected(const request_identity& identity) const
{
    return m_suspects.statusOf(identity, std::chrono::steady_clock::now()) != quarantine::status::clear;
}

request_guard::pending_run::pending_run(const interrupted_run& run)
    : identity(run.identity)
    , recordWhenSent(run.recordWhenSent)
    , target(run.target.id)
    , parts(run.parts.begin(), run.parts.end())
    , events(run.events)
{
}

void request_guard::aborted(const interrupted_run& run, std::function<void()> settled)
{
    m_terminationCheck.examine(
        run.target, [this, pending = pending_run(run), settled = std::move(settled)](bool terminated) {
            if (terminated)
                targetTerminated(pending);
            if (settled)
                settled();
        });
}

void request_guard::targetUnresponsive(const interrupted_run& run)
{
    m_terminationCheck.awaitRestart(run.target, [this, pending = pending_run(run)](bool terminated) {
        if (terminated)
            targetTerminated(pending);
    });
}

void request_guard::targetTerminated(const pending_run& run)
{
    const bool counted
        = m_suspects.targetTerminated(run.identity, run.recordWhenSent, std::chrono::steady_clock::now());
    const auto record = m_suspects.record(run.identity);
    logEvent(log_level::warning, "target ended under a request",
        { { "identity", toString(run.identity) }, { "target", run.target },
            { "prompt_parts", toString(run.parts) }, { "events", static_cast<std::int64_t>(run.events) },
            { "counted", counted ? 1 : 0 }, { "strikes", std::int64_t { record.strikes } },
            { "acquittals", std::int64_t { record.acquittals } } });
    if (!counted)
        return;
    m_metrics.count("yuccachute_request_strikes_total", "strikes", std::to_string(record.strikes));
    notifyListener(run.identity);
}

void request_guard::answered(const request_identity& identity)
{
    if (!m_suspects.answered(identity, std::chrono::steady_clock::now()))
        return;
    logEvent(log_level::info, "request acquitted", { { "identity", toString(identity) } });
    notifyListener(identity);
}

void request_guard::notifyListener(const request_identity& identity)
{
    const auto change = m_suspects.report(identity, std::chrono::steady_clock::now());
    if (change && m_listener)
        m_listener(*change);
}

bool request_guard::merge(std::span<const suspect_report> reports)
{
    const auto now = std::chrono::steady_clock::now();
    bool changed = false;
    for (const auto& report : reports) {
        const auto before = m_suspects.statusOf(report.identity, now);
        if (!m_suspects.merge(report, now))
            continue;
        changed = true;
        const auto after = m_suspects.statusOf(report.identity, now);
        if (after == before)
            continue;
        logEvent(log_level::info, "heard of a suspected request",
            { { "identity", toString(report.identity) },
                { "strikes", std::int64_t { report.record.strikes } },
                { "acquittals", std::int64_t { report.record.acquittals } },
                { "age_ms", report.age.count() } });
    }
    return changed;
}

shared_guard::shared_guard(event_loop& loop, load_report_source& loads, metrics& processMetrics,
    peer_sync& peers, async_store& store, suspect_replicator::address_source addresses)
    : guard(loop, loads, processMetrics)
    , replicator(loop, peers, guard, std::move(addresses))
    , archive(loop, store, guard)
{
    guard.onChange([this](const suspect_report& change) {
        replicator.broadcast(change);
        archive.save(change);
    });
}

} // namespace yuccachute
