#pragma once

#include "bulk_process/bulk_process.h"

#include <deque>

namespace yuccachute {

/// The limit of a customer's waiting tokens on a route.
struct token_limit {
    std::string account; ///< Names customer and route; empty if the route is not known.
    std::uint64_t maxTokens = 0; ///< 0: no limit.
};

/// What a job claims of it, also while there is no limit: there may be one before the job is finished.
token_claim claimOf(const bulk_record& record, const token_limit& limit);

/// Creates jobs, and refuses those that do not fit into the limit of their route. On the loop's thread.
///
/// The limit holds over all processes. A creation is written on condition that the route's account has not
/// changed since it was read (see token_account), so two processes cannot both use the same room, and a call
/// that is executed late finds its condition broken. What counts are unfinished jobs as the store lists them:
/// a holder that dies, or a zone that is cut off, changes nothing. Cost: one more call for a creation that
/// meets another process's, nothing else while there is room; routes without a limit have no account.
class job_admission {
public:
    using callback = bulk_job_store::callback<bulk_job_store::creation>;

    job_admission(async_store& store, bulk_job_store& jobStore);

    /// As bulk_job_store::create(). Fails with `limited` and not_run, and with the time after which there may
    /// be room, if the job does not fit, does not exist and cannot be created any more.
    void create(const bulk_record& record, const token_limit& limit, callback done);
    /// Takes over a listing that was asked for anyway.
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
    std::map<std::string, std::deque<request_ptr>> m_queues; ///< By route; the first one runs.
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
    double m_finishedPerSecond = 0; ///< Tokens of all routes, between the last listings.
};

} // namespace yuccachute
