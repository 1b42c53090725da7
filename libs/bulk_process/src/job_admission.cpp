#include "job_admission.h"

#include "logging/logging.h"
#include "membership/membership.h"

#include <algorithm>
#include <numeric>

namespace yuccachute {

namespace {

/// Names of routes may be long and hold any letter; keys may not.
std::string accountKey(const std::string& route)
{
    char digits[20];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(hashText(route)));
    return std::string("yuccachute/tokens/") + digits;
}

/// A job is refused only by a listing that is not older: results that were listed within it are counted a
/// second late at most, the time that the platform's pages leave for it.
constexpr milliseconds listingFreshFor { 400 };
/// After a route's limit has changed for this process, another may go on for two seconds without one, and its
/// jobs are in no account. Only fresh listings are believed meanwhile.
constexpr milliseconds limitSettlesIn { 3000 };
/// Creations of one route that wait for each other in one process; each takes some 5 ms.
constexpr std::size_t mostWaiting = 200;
/// Tries that meet another process's creation: with ten processes that create at once, the last one of them.
constexpr unsigned mostTries = 12;
/// An unknown outcome is looked into so often before the caller is told that it is unknown.
constexpr unsigned mostUnknown = 3;
constexpr milliseconds leastRetryAfter { 500 };
constexpr milliseconds longestRetryAfter { 5000 };

} // namespace

token_claim claimOf(const bulk_record& record, const token_limit& limit)
{
    return { limit.account, tokensOf(record) };
}

struct job_admission::request {
    std::string job;
    token_limit limit;
    std::uint64_t tokens = 0;
    store_transaction creation; ///< Without the account.
    callback done;
    unsigned tries = 0;
    unsigned unknown = 0; ///< Calls in a row whose outcome is not known.
    bool everUnknown = false;
};

job_admission::job_admission(async_store& store, job_keeper& keeper)
    : m_store(store)
    , m_keeper(keeper)
{
}

void job_admission::create(const bulk_record& record, const token_limit& limit, callback done)
{
    if (limit.most == 0)
        return m_keeper.create(record, claimOf(record, limit), std::move(done));
    auto wanted = std::make_shared<request>();
    wanted->job = record.id;
    wanted->limit = limit;
    wanted->tokens = tokensOf(record);
    auto creation = m_keeper.creationOf(record, claimOf(record, limit));
    if (!creation)
        return done(creation.error());
    wanted->creation = std::move(creation.value());
    wanted->done = std::move(done);
    enqueue(std::move(wanted));
}

/// One after the other: two creations of this process at once would only break each other's condition.
void job_admission::enqueue(request_ptr wanted)
{
    const auto route = wanted->limit.account;
    auto& waiting = m_waiting[route];
    if (waiting.size() >= mostWaiting)
        return wanted->done(notRun(
            failure_kind::unavailable, "too many jobs of this route are being accepted", leastRetryAfter));
    waiting.push_back(std::move(wanted));
    if (waiting.size() == 1)
        runNext(route);
}

void job_admission::runNext(const std::string& route)
{
    const auto& waiting = m_waiting[route];
    if (!waiting.empty())
        decide(request_ptr(waiting.front()));
}

void job_admission::finish(const request_ptr& wanted, result<job_keeper::creation> outcome)
{
    const auto route = wanted->limit.account;
    m_waiting[route].pop_front();
    wanted->done(std::move(outcome));
    runNext(route);
}

void job_admission::decide(const request_ptr& wanted)
{
    const auto& account = m_accounts[wanted->limit.account];
    auto& listed = m_listed[wanted->limit.account];
    listed.revision = m_listedRevision;
    // Without any listing, jobs from before the route had a limit would not be counted.
    if (m_listedRevision == 0 || !account.covers(listed))
        return listAnew(wanted);
    const auto now = std::chrono::steady_clock::now();
    const bool fresh = now - m_listedAt <= listingFreshFor;
    const bool settled = limitSettled(wanted->limit, now);
    if (!fresh && !settled)
        return listAnew(wanted);
    const auto waiting = account.waiting(listed);
    if (waiting + wanted->tokens <= wanted->limit.most)
        return commit(wanted);
    if (!fresh)
        return listAnew(wanted);
    logEvent(log_level::info, "job does not fit",
        { { "job", wanted->job }, { "route", wanted->limit.account },
            { "tokens", static_cast<std::int64_t>(wanted->tokens) },
            { "waiting", static_cast<std::int64_t>(waiting) },
            { "limit", static_cast<std::int64_t>(wanted->limit.most) },
            { "listing_age_ms", std::chrono::duration_cast<milliseconds>(now - m_listedAt).count() } });
    refuse(wanted);
}

bool job_admission::limitSettled(const token_limit& limit, steady_time now)
{
    auto& known = m_limits[limit.account];
    if (known.most != limit.most)
        known = { limit.most, now };
    return now - known.since > limitSettlesIn;
}

void job_admission::listAnew(const request_ptr& wanted)
{
    m_keeper.listOpen([this, wanted](result<job_keeper::open_jobs> open) {
        if (!open)
            return callFailed(wanted, open.error());
        listed(open.value(), std::chrono::steady_clock::now());
        decide(wanted);
    });
}

void job_admission::listed(const job_keeper::open_jobs& open, steady_time now)
{
    if (open.revision < m_listedRevision)
        return; // Asked for earlier, answered later.
    m_listed.clear();
    std::uint64_t total = 0;
    for (const auto& job : open.jobs) {
        if (job.claim.route.empty())
            continue;
        m_listed[job.claim.route].tokens[job.id] = job.tokensLeft;
        total += job.tokensLeft;
    }
    const auto seconds = std::chrono::duration<double>(now - m_listedAt).count();
    constexpr double leastSpan = 0.2; // Shorter ones say little.
    if (m_listedRevision != 0 && seconds > leastSpan) {
        m_finishedPerSecond
            = total < m_listedTokens ? static_cast<double>(m_listedTokens - total) / seconds : 0;
        m_listedTokens = total;
    }
    m_listedRevision = open.revision;
    m_listedAt = now;
}

void job_admission::commit(const request_ptr& wanted)
{
    const auto& account = m_accounts[wanted->limit.account];
    const auto key = accountKey(wanted->limit.account);
    const auto next = account.with(wanted->job, wanted->tokens).encode();
    auto creating = wanted->creation;
    const auto kind
        = account.revision() == 0 ? store_condition::kind::absent : store_condition::kind::mod_revision;
    creating.conditions.push_back({ kind, key, account.revision() });
    creating.writes.push_back({ key, next, 0 });
    m_store.commit(creating, [this, wanted, next](result<commit_outcome> outcome) {
        if (!outcome)
            return callFailed(wanted, outcome.error());
        wanted->unknown = 0;
        if (!outcome.value().applied)
            return conditionFailed(wanted, outcome.value());
        if (auto written = token_account::decode(next, outcome.value().revision))
            m_accounts[wanted->limit.account] = std::move(written.value());
        finish(wanted, job_keeper::creation { outcome.value().revision });
    });
}

/// The job exists, or another process has created one meanwhile.
void job_admission::conditionFailed(const request_ptr& wanted, const commit_outcome& outcome)
{
    const auto& recordKey = wanted->creation.conditions.front().key;
    const auto key = accountKey(wanted->limit.account);
    const auto keyIs = [](const std::string& wantedKey) {
        return [&wantedKey](const stored_value& value) { return value.key == wantedKey; };
    };
    if (std::any_of(outcome.found.begin(), outcome.found.end(), keyIs(recordKey)))
        return finish(wanted, job_keeper::creation {});
    const auto found = std::find_if(outcome.found.begin(), outcome.found.end(), keyIs(key));
    if (found == outcome.found.end())
        return readAccount(wanted);
    auto account = token_account::decode(found->value, found->modRevision);
    if (!account)
        return finish(wanted, account.error());
    m_accounts[wanted->limit.account] = std::move(account.value());
    if (++wanted->tries >= mostTries)
        return finish(wanted,
            notRun(failure_kind::unavailable, "too many jobs are being accepted at once", leastRetryAfter));
    decide(wanted);
}

void job_admission::readAccount(const request_ptr& wanted)
{
    const auto& recordKey = wanted->creation.conditions.front().key;
    m_store.get(recordKey, [this, wanted](result<std::optional<stored_value>> record) {
        if (!record)
            return callFailed(wanted, record.error());
        if (record.value())
            return finish(wanted, job_keeper::creation {});
        m_store.get(
            accountKey(wanted->limit.account), [this, wanted](result<std::optional<stored_value>> found) {
                if (!found)
                    return callFailed(wanted, found.error());
                commit_outcome outcome;
                if (found.value())
                    outcome.found.push_back(std::move(*found.value()));
                if (!outcome.found.empty())
                    return conditionFailed(wanted, outcome);
                m_accounts[wanted->limit.account] = {};
                if (++wanted->tries >= mostTries)
                    return finish(
                        wanted, notRun(failure_kind::unavailable, "the account changes", leastRetryAfter));
                decide(wanted);
            });
    });
}

/// A creation without an answer may still be executed, as long as the account has not changed: it is tried
/// again, and "not run" is said only if no try can have been executed.
void job_admission::callFailed(const request_ptr& wanted, const failure& error)
{
    const bool unknown = error.ran != verdict::not_run;
    wanted->everUnknown = wanted->everUnknown || unknown;
    if (!wanted->everUnknown)
        return finish(wanted, error);
    if (++wanted->unknown < mostUnknown)
        return decide(wanted);
    finish(wanted, mayHaveRun(failure_kind::unavailable, "it is not known whether the job was created"));
}

/// The job does not fit. It may exist all the same: a caller that missed our answer submits it again. What
/// was tried before cannot take effect any more, because the account has changed since; with an unknown try
/// under the present account that is not so, and nothing is promised.
void job_admission::refuse(const request_ptr& wanted)
{
    m_store.get(
        wanted->creation.conditions.front().key, [this, wanted](result<std::optional<stored_value>> record) {
            if (!record)
                return callFailed(wanted, record.error());
            if (record.value())
                return finish(wanted, job_keeper::creation {});
            if (wanted->unknown > 0)
                return finish(wanted,
                    mayHaveRun(failure_kind::unavailable, "it is not known whether the job was created"));
            const auto& listed = m_listed[wanted->limit.account];
            const auto waiting = m_accounts[wanted->limit.account].waiting(listed) + wanted->tokens;
            finish(wanted,
                notRun(failure_kind::limited, "the route's limit of waiting tokens is reached",
                    roomAfter(waiting - std::min(waiting, wanted->limit.most))));
        });
}

milliseconds job_admission::roomAfter(std::uint64_t excess) const
{
    if (m_finishedPerSecond <= 0)
        return longestRetryAfter;
    const auto ms = 1000 * static_cast<double>(excess) / m_finishedPerSecond;
    return std::clamp(
        milliseconds { static_cast<std::int64_t>(std::min(ms, 1e6)) }, leastRetryAfter, longestRetryAfter);
}

} // namespace yuccachute
