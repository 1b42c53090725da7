#include "guard/guard.h"

#include "logging/logging.h"

#include <iterator>

namespace yuccachute {

namespace {

/// About the duration of a run.
constexpr milliseconds trialRetryDelay { 1000 };
/// For which a process may begin the run of a refused part that it has claimed.
constexpr milliseconds permitDuration { 10000 };
constexpr milliseconds claimInterval { 5000 };

} // namespace

class request_guard::running_trial final : public trial {
public:
    explicit running_trial(std::shared_ptr<std::set<request_identity>> trials)
        : m_trials(std::move(trials))
    {
    }
    ~running_trial() override
    {
        for (const auto& suspect : m_suspects)
            m_trials->erase(suspect);
    }

    bool covers(const request_identity& suspect) const { return m_suspects.contains(suspect); }
    void add(const request_identity& suspect)
    {
        m_trials->insert(suspect);
        m_suspects.insert(suspect);
    }
    bool permits(prompt_part part) const { return m_permitted.contains(part); }
    void permit(prompt_part part) { m_permitted.insert(part); }

private:
    std::shared_ptr<std::set<request_identity>> m_trials;
    std::set<request_identity> m_suspects;
    std::set<prompt_part> m_permitted; ///< Refused parts that this run may contain.
};

request_guard::request_guard(event_loop& loop, load_report_source& loads, metrics& processMetrics)
    : m_metrics(processMetrics)
    , m_probe(loop, loads)
    , m_terminationCheck(loop, loads)
{
}

request_guard::admission request_guard::admit(
    const guarded_request& request, const std::shared_ptr<trial>& held)
{
    const auto now = std::chrono::steady_clock::now();
    auto running = std::static_pointer_cast<running_trial>(held);
    std::vector<request_identity> suspects;
    if (request.identity) {
        const auto status = m_suspects.statusOf(*request.identity, now);
        if (status == quarantine::status::refused)
            return { notRun(failure_kind::limited, "this request has ended the targets that ran it",
                         m_suspects.remainingRefusalTime(*request.identity, now)),
                held };
        if (status == quarantine::status::suspect)
            suspects.push_back(*request.identity);
    }
    const auto found = m_parts.assess(request.parts, now);
    if (found.status != quarantine::status::clear)
        suspects.push_back(identityOf(found.part));
    const bool refused = found.status == quarantine::status::refused;
    if (refused) {
        if (auto refusal = refusalOfPart(found, running.get(), now))
            return { std::move(refusal), held };
    }
    for (const auto& suspect : suspects) {
        if (m_trials->contains(suspect) && !(running && running->covers(suspect)))
            return { notRun(failure_kind::unavailable,
                         "the request is suspected of crashing targets, and one run of it is in progress "
                         "already",
                         trialRetryDelay),
                held };
    }
    if (!suspects.empty() && !running)
        running = std::make_shared<running_trial>(m_trials);
    for (const auto& suspect : suspects)
        running->add(suspect);
    if (refused) {
        running->permit(found.part);
        m_permits.erase(found.part);
    }
    return { std::nullopt, running };
}

/// A refused part may run if its trial is due and this process has claimed it.
std::optional<failure> request_guard::refusalOfPart(
    const part_quarantine::assessment& found, running_trial* held, steady_time now)
{
    if (held && held->permits(found.part))
        return std::nullopt;
    const auto permit = m_permits.find(found.part);
    if (permit != m_permits.end() && now < permit->second)
        return std::nullopt;
    if (found.trialDue)
        claimTrial(found.part, now);
    return notRun(failure_kind::limited,
        "a part of the prompt, " + toString(found.part) + ", has ended the targets that ran requests with it",
        std::max(found.remainingRefusal, trialRetryDelay));
}

void request_guard::claimTrial(prompt_part part, steady_time now)
{
    auto claimed = m_parts.report(part, now);
    if (!m_claimTrial || !claimed)
        return;
    const auto [next, first] = m_nextClaims.try_emplace(part, now);
    if (!first && now < next->second)
        return;
    next->second = now + claimInterval;
    ++claimed->trials;
    claimed->age = milliseconds { 0 };
    m_claimTrial(*claimed, [this, part](bool granted) {
        if (!granted)
            return;
        const auto grantedAt = std::chrono::steady_clock::now();
        logEvent(log_level::info, "one run of a refused prompt part is allowed",
            { { "prompt_part", toString(part) } });
        m_parts.trialAllowed(part, grantedAt);
        std::erase_if(m_permits, [&](const auto& entry) { return entry.second <= grantedAt; });
        m_permits[part] = grantedAt + permitDuration;
        notifyListener(identityOf(part));
    });
}

bool request_guard::isSuspected(const guarded_request& request) const
{
    const auto now = std::chrono::steady_clock::now();
    const bool suspected
        = request.identity && m_suspects.statusOf(*request.identity, now) != quarantine::status::clear;
    return suspected || m_parts.assess(request.parts, now).status != quarantine::status::clear;
}

std::vector<suspect_report> request_guard::reports(steady_time now) const
{
    auto all = m_suspects.reports(now);
    auto parts = m_parts.reports(now);
    all.insert(all.end(), std::make_move_iterator(parts.begin()), std::make_move_iterator(parts.end()));
    return all;
}

std::optional<suspect_report> request_guard::report(const request_identity& identity, steady_time now) const
{
    if (const auto part = promptPartOf(identity))
        return m_parts.report(*part, now);
    return m_suspects.report(identity, now);
}

request_guard::pending_run::pending_run(const interrupted_run& run)
    : identity(run.identity)
    , recordWhenSent(run.recordWhenSent)
    , target(run.target.id)
    , parts(run.parts.begin(), run.parts.end())
    , events(run.events)
{
}

void request_guard::aborted(const interrupted_run& run, std::function<void(bool terminated)> settled)
{
    m_terminationCheck.examine(
        run.target, [this, pending = pending_run(run), settled = std::move(settled)](bool terminated) {
            if (terminated)
                targetTerminated(pending);
            if (settled)
                settled(terminated);
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
    const auto now = std::chrono::steady_clock::now();
    const bool counted = m_suspects.targetTerminated(run.identity, run.recordWhenSent, now);
    const auto record = m_suspects.record(run.identity);
    logEvent(log_level::warning, "target ended under a request",
        { { "identity", toString(run.identity) }, { "target", run.target },
            { "prompt_parts", toString(run.parts) }, { "events", static_cast<std::int64_t>(run.events) },
            { "counted", counted ? 1 : 0 }, { "strikes", std::int64_t { record.strikes } },
            { "acquittals", std::int64_t { record.acquittals } } });
    if (counted) {
        m_metrics.count("yuccachute_request_strikes_total", "strikes", std::to_string(record.strikes));
        notifyListener(run.identity);
    }
    // A target that has answered a part of the request did not end when it began to.
    const bool first = counted && record.strikes == 1;
    if (run.events == 0)
        blameParts(run, !first, now);
}

void request_guard::blameParts(const pending_run& run, bool repeated, steady_time now)
{
    for (const auto part : m_parts.targetTerminated(run.parts, run.target, now, repeated)) {
        const auto record = m_parts.report(part, now);
        if (record && record->record.strikes > 0) {
            logEvent(log_level::warning, "target ended under a prompt part",
                { { "prompt_part", toString(part) }, { "target", run.target },
                    { "strikes", std::int64_t { record->record.strikes } },
                    { "acquittals", std::int64_t { record->record.acquittals } } });
            m_metrics.count(
                "yuccachute_prompt_part_strikes_total", "strikes", std::to_string(record->record.strikes));
        }
        notifyListener(identityOf(part));
    }
}

void request_guard::answered(const guarded_request& request)
{
    const auto now = std::chrono::steady_clock::now();
    if (request.identity && m_suspects.answered(*request.identity, now)) {
        logEvent(log_level::info, "request acquitted", { { "identity", toString(*request.identity) } });
        notifyListener(*request.identity);
    }
    for (const auto part : m_parts.answered(request.parts, now)) {
        logEvent(log_level::info, "prompt part acquitted", { { "prompt_part", toString(part) } });
        notifyListener(identityOf(part));
    }
}

void request_guard::notifyListener(const request_identity& identity)
{
    const auto change = report(identity, std::chrono::steady_clock::now());
    if (change && m_listener)
        m_listener(*change);
}

bool request_guard::merge(std::span<const suspect_report> reports)
{
    const auto now = std::chrono::steady_clock::now();
    bool changed = false;
    for (const auto& report : reports)
        changed = mergeOne(report, now) || changed;
    return changed;
}

bool request_guard::mergeOne(const suspect_report& report, steady_time now)
{
    const auto part = promptPartOf(report.identity);
    const auto statusNow = [&] {
        return part ? m_parts.assess(std::span(&*part, 1), now).status
                    : m_suspects.statusOf(report.identity, now);
    };
    const auto before = statusNow();
    const auto merged = part ? m_parts.merge(report, now)
                             : part_quarantine::merge_outcome { m_suspects.merge(report, now), false };
    if (!merged.changed)
        return false;
    if (merged.acquitted)
        notifyListener(report.identity);
    if (statusNow() != before)
        logEvent(log_level::info, part ? "heard of a suspected prompt part" : "heard of a suspected request",
            { { part ? "prompt_part" : "identity", part ? toString(*part) : toString(report.identity) },
                { "strikes", std::int64_t { report.record.strikes } },
                { "acquittals", std::int64_t { report.record.acquittals } },
                { "age_ms", report.age.count() } });
    return true;
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
    guard.claimTrialsBy([this](const suspect_report& claimed, std::function<void(bool)> done) {
        archive.claim(claimed, std::move(done));
    });
}

} // namespace yuccachute
