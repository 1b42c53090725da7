#include "job_admission.h"

#include "logging/logging.h"
#include "membership/membership.h"

#include <algorithm>
#include <numeric>

namespace yuccachute {

namespace {

/// Route names can be long and contain any character, so the key uses their hash.
std::string accountKey(const std::string& route)
{
    char digits[20];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(hashText(route)));
    return std::string("yuccachute/tokens/") + digits;
}

/// A job is rejected only by a listing that is not older than this. The platform allows committed results to
/// be counted up to one second late.
constexpr milliseconds maxListingAge { 400 };
/// After a route's limit changes, other processes may not enforce it for up to 2 s, and the jobs that they
/// create in that time are missing from the account. Until it has settled, only fresh listings are used.
constexpr milliseconds limitSettlingTime { 3000 };
/// Maximum number of queued creations per route in this process; each takes about 5 ms.
constexpr std::size_t maxQueuedCreations = 200;
/// Maximum number of attempts that fail because another process has created a job. Sufficient for the last of
/// ten processes that create jobs at the same time.
constexpr unsigned maxConflicts = 12;
/// Number of consecutive unknown outcomes after which the caller is told that the outcome is unknown.
constexpr unsigned maxUnknownOutcomes = 3;
constexpr milliseconds minRetryAfter { 500 };
constexpr milliseconds maxRetryAfter { 5000 };

} // namespace

token_claim claimOf(const bulk_record& record, const token_limit& limit)
{
    return { limit.account, tokensOf(record) };
}

struct job_admission::request {
    std::string job;
    token_limit limit;
    std::uint64_t tokens = 0;
    store_transaction creation; ///< Does not include the account.
    callback done;
    unsigned conflicts = 0;
    unsigned unknownOutcomes = 0; ///< Number of consecutive calls with an unknown outcome.
    bool anyOutcomeUnknown = false;
};

job_admission::job_admission(async_store& store, bulk_job_store& jobStore)
    : m_store(store)
    , m_jobStore(jobStore)
{
}

void job_admission::create(const bulk_record& record, const token_limit& limit, callback done)
{
    if (limit.maxTokens == 0)
        return m_jobStore.create(record, claimOf(record, limit), std::move(done));
    auto pending = std::make_shared<request>();
    pending->job = record.id;
    pending->limit = limit;
    pending->tokens = tokensOf(record);
    auto creation = m_jobStore.makeCreation(record, claimOf(record, limit));
    if (!creation)
        return done(creation.error());
    pending->creation = std::move(creation.value());
    pending->done = std::move(done);
    enqueue(std::move(pending));
}

/// Creations for one route run one at a time, because concurrent ones would only invalidate each other's
/// condition.
void job_admission::enqueue(request_ptr pending)
{
    const auto route = pending->limit.account;
    auto& waiting = m_queues[route];
    if (waiting.size() >= maxQueuedCreations)
        return pending->done(notRun(failure_kind::unavailable,
            "too many submissions are queued for this route; retry later", minRetryAfter));
    waiting.push_back(std::move(pending));
    if (waiting.size() == 1)
        runNext(route);
}

void job_admission::runNext(const std::string& route)
{
    const auto& waiting = m_queues[route];
    if (!waiting.empty())
        decide(request_ptr(waiting.front()));
}

void job_admission::finish(const request_ptr& pending, result<bulk_job_store::creation> outcome)
{
    const auto route = pending->limit.account;
    m_queues[route].pop_front();
    pending->done(std::move(outcome));
    runNext(route);
}

void job_admission::decide(const request_ptr& pending)
{
    const auto& account = m_accounts[pending->limit.account];
    auto& listed = m_listedClaims[pending->limit.account];
    listed.revision = m_listedRevision;
    // Without a listing, jobs created before the route had a limit would not be counted.
    if (m_listedRevision == 0 || !account.covers(listed))
        return refreshListing(pending);
    const auto now = std::chrono::steady_clock::now();
    const bool fresh = now - m_listedAt <= maxListingAge;
    const bool settled = isLimitStable(pending->limit, now);
    if (!fresh && !settled)
        return refreshListing(pending);
    const auto waiting = account.pendingTokens(listed);
    if (waiting + pending->tokens <= pending->limit.maxTokens)
        return commit(pending);
    if (!fresh)
        return refreshListing(pending);
    logEvent(log_level::info, "job does not fit",
        { { "job", pending->job }, { "route", pending->limit.account },
            { "tokens", static_cast<std::int64_t>(pending->tokens) },
            { "waiting", static_cast<std::int64_t>(waiting) },
            { "limit", static_cast<std::int64_t>(pending->limit.maxTokens) },
            { "listing_age_ms", std::chrono::duration_cast<milliseconds>(now - m_listedAt).count() } });
    refuse(pending);
}

bool job_admission::isLimitStable(const token_limit& limit, steady_time now)
{
    auto& known = m_limits[limit.account];
    if (known.maxTokens != limit.maxTokens)
        known = { limit.maxTokens, now };
    return now - known.since > limitSettlingTime;
}

void job_admission::refreshListing(const request_ptr& pending)
{
    m_jobStore.listOpen([this, pending](result<bulk_job_store::open_jobs> open) {
        if (!open)
            return callFailed(pending, open.error());
        updateListing(open.value(), std::chrono::steady_clock::now());
        decide(pending);
    });
}

void job_admission::updateListing(const bulk_job_store::open_jobs& open, steady_time now)
{
    if (open.revision < m_listedRevision)
        return; // A reply that was overtaken by that of a later request.
    m_listedClaims.clear();
    std::uint64_t total = 0;
    for (const auto& job : open.jobs) {
        if (job.claim.route.empty())
            continue;
        m_listedClaims[job.claim.route].tokens[job.id] = job.tokensRemaining;
        total += job.tokensRemaining;
    }
    const auto seconds = std::chrono::duration<double>(now - m_listedAt).count();
    constexpr double minIntervalSeconds = 0.2; // Shorter intervals give no useful rate.
    if (m_listedRevision != 0 && seconds > minIntervalSeconds) {
        m_finishedPerSecond
            = total < m_listedTokens ? static_cast<double>(m_listedTokens - total) / seconds : 0;
        m_listedTokens = total;
    }
    m_listedRevision = open.revision;
    m_listedAt = now;
}

void job_admission::commit(const request_ptr& pending)
{
    const auto& account = m_accounts[pending->limit.account];
    const auto key = accountKey(pending->limit.account);
    const auto next = account.withJob(pending->job, pending->tokens).encode();
    auto creating = pending->creation;
    const auto kind
        = account.revision() == 0 ? store_condition::kind::absent : store_condition::kind::mod_revision;
    creating.conditions.push_back({ kind, key, account.revision() });
    creating.writes.push_back({ key, next, 0 });
    m_store.commit(creating, [this, pending, next](result<commit_outcome> outcome) {
        if (!outcome)
            return callFailed(pending, outcome.error());
        pending->unknownOutcomes = 0;
        if (!outcome.value().applied)
            return conditionFailed(pending, outcome.value());
        if (auto written = token_account::decode(next, outcome.value().revision))
            m_accounts[pending->limit.account] = std::move(written.value());
        finish(pending, bulk_job_store::creation { outcome.value().revision });
    });
}

/// Either the job exists, or another process has created a job in the meantime.
void job_admission::conditionFailed(const request_ptr& pending, const commit_outcome& outcome)
{
    const auto& recordKey = pending->creation.conditions.front().key;
    const auto key = accountKey(pending->limit.account);
    const auto keyIs = [](const std::string& wantedKey) {
        return [&wantedKey](const stored_value& value) { return value.key == wantedKey; };
    };
    if (std::any_of(outcome.found.begin(), outcome.found.end(), keyIs(recordKey)))
        return finish(pending, bulk_job_store::creation {});
    const auto found = std::find_if(outcome.found.begin(), outcome.found.end(), keyIs(key));
    if (found == outcome.found.end())
        return readAccount(pending);
    auto account = token_account::decode(found->value, found->modRevision);
    if (!account)
        return finish(pending, account.error());
    m_accounts[pending->limit.account] = std::move(account.value());
    if (++pending->conflicts >= maxConflicts)
        return finish(pending,
            notRun(failure_kind::unavailable, "too many concurrent submissions for this route; retry later",
                minRetryAfter));
    decide(pending);
}

void job_admission::readAccount(const request_ptr& pending)
{
    const auto& recordKey = pending->creation.conditions.front().key;
    m_store.get(recordKey, [this, pending](result<std::optional<stored_value>> record) {
        if (!record)
            return callFailed(pending, record.error());
        if (record.value())
            return finish(pending, bulk_job_store::creation {});
        m_store.get(
            accountKey(pending->limit.account), [this, pending](result<std::optional<stored_value>> found) {
                if (!found)
                    return callFailed(pending, found.error());
                commit_outcome outcome;
                if (found.value())
                    outcome.found.push_back(std::move(*found.value()));
                if (!outcome.found.empty())
                    return conditionFailed(pending, outcome);
                m_accounts[pending->limit.account] = {};
                if (++pending->conflicts >= maxConflicts)
                    return finish(pending,
                        notRun(failure_kind::unavailable,
                            "the token account of the route keeps changing; retry later", minRetryAfter));
                decide(pending);
            });
    });
}

/// A creation without a reply may still be executed as long as the account has not changed. It is retried,
/// and not_run is reported only if no attempt can have been executed.
void job_admission::callFailed(const request_ptr& pending, const failure& error)
{
    const bool unknown = error.ran != verdict::not_run;
    pending->anyOutcomeUnknown = pending->anyOutcomeUnknown || unknown;
    if (!pending->anyOutcomeUnknown)
        return finish(pending, error);
    if (++pending->unknownOutcomes < maxUnknownOutcomes)
        return decide(pending);
    finish(pending,
        mayHaveRun(failure_kind::unavailable,
            "the store did not confirm the creation; the job may or may not exist"));
}

/// Rejects a job that exceeds the limit, unless it already exists because an earlier reply was lost and the
/// caller submits it again. Earlier attempts can no longer take effect, because the account has changed
/// since. If an attempt under the current account has an unknown outcome, this is not certain, and the
/// outcome is reported as unknown.
void job_admission::refuse(const request_ptr& pending)
{
    m_store.get(pending->creation.conditions.front().key,
        [this, pending](result<std::optional<stored_value>> record) {
            if (!record)
                return callFailed(pending, record.error());
            if (record.value())
                return finish(pending, bulk_job_store::creation {});
            if (pending->unknownOutcomes > 0)
                return finish(pending,
                    mayHaveRun(failure_kind::unavailable,
                        "the store did not confirm the creation; the job may or may not exist"));
            const auto& listed = m_listedClaims[pending->limit.account];
            const auto waiting = m_accounts[pending->limit.account].pendingTokens(listed) + pending->tokens;
            finish(pending,
                notRun(failure_kind::limited,
                    "the job exceeds the route's limit of pending tokens; retry later",
                    estimateRetryAfter(waiting - std::min(waiting, pending->limit.maxTokens))));
        });
}

milliseconds job_admission::estimateRetryAfter(std::uint64_t excess) const
{
    if (m_finishedPerSecond <= 0)
        return maxRetryAfter;
    const auto ms = 1000 * static_cast<double>(excess) / m_finishedPerSecond;
    return std::clamp(
        milliseconds { static_cast<std::int64_t>(std::min(ms, 1e6)) }, minRetryAfter, maxRetryAfter);
}

} // namespace yuccachute
