#pragma once

#include "bulk_process/bulk_process.h"

#include <deque>

namespace yuccachute {

/// Limit on the tokens of a customer's unfinished items on a route.
struct token_limit {
    /// Name of the account, derived from customer and route. Empty if the route is unknown.
    std::string account;
    std::uint64_t maxTokens = 0; ///< 0 means unlimited.
};

/// Returns the claim of a job. It is also recorded when there is no limit, because one may be configured
/// before the job is finished.
token_claim claimOf(const bulk_record& record, const token_limit& limit);

/// Creates jobs, and rejects those that exceed the token limit of their route. Not thread-safe; runs on the
/// event loop's thread.
///
/// The limit holds across all processes. A job is created under the condition that the route's account has
/// not changed since it was read (see token_account), so two processes cannot use the same capacity, and a
/// call that the store executes late fails on its condition. The limit counts open jobs as listed in the
/// store, so a failed holder or a partitioned zone does not change it. Cost: one extra store call if another
/// process has created a job in the meantime, otherwise none while there is capacity. Routes without a limit
/// have no account.
class job_admission {
public:
    using callback = bulk_job_store::callback<bulk_job_store::creation>;

    job_admission(async_store& store, bulk_job_store& jobStore);

    /// Like bulk_job_store::create(). A job that exceeds the limit fails with kind `limited`, verdict
    /// not_run, and an estimate of when to retry. In this case the job does not exist, and no earlier attempt
    /// can still create it.
    void create(const bulk_record& record, const token_limit& limit, callback done);
    /// Uses a listing that was read for another purpose.
    void updateListing(const bulk_job_store::open_jobs& open, steady_time now);

private:
    struct request;
    using request_ptr = std::shared_ptr<request>;

    void enqueue(request_ptr pending);
    void runNext(const std::string& route);
    void decide(const request_ptr& pending);
    bool isLimitStable(const token_limit& limit, steady_time now);
    void refreshListing(const request_ptr& pending);
    void commit(const request_ptr& pending);
    void conditionFailed(const request_ptr& pending, const commit_outcome& outcome);
    void readAccount(const request_ptr& pending);
    void callFailed(const request_ptr& pending, const failure& error);
    void refuse(const request_ptr& pending);
    void finish(const request_ptr& pending, result<bulk_job_store::creation> outcome);
    milliseconds estimateRetryAfter(std::uint64_t excess) const;

    async_store& m_store;
    bulk_job_store& m_jobStore;
    /// Queues by route. Only the creation at the front of a queue is being processed.
    std::map<std::string, std::deque<request_ptr>> m_queues;
    struct known_limit {
        std::uint64_t maxTokens = 0;
        steady_time since;
    };

    std::map<std::string, known_limit> m_limits;
    std::map<std::string, token_account> m_accounts;
    std::map<std::string, open_claims> m_listedClaims;
    std::int64_t m_listedRevision = 0;
    steady_time m_listedAt;
    std::uint64_t m_listedTokens = 0;
    /// Rate at which tokens of all routes were finished between the last two listings.
    double m_finishedPerSecond = 0;
};

} // namespace yuccachute
