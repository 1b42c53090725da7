#pragma once

#include "bulk_process/bulk_process.h"

#include <deque>

namespace yuccachute {

/// The limit of a customer's waiting tokens on a route.
struct token_limit {
    std::string account; ///< Names customer and route; empty if the route is not known.
    std::uint64_t most = 0; ///< 0: no limit.
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
    using callback = job_keeper::callback<job_keeper::creation>;

    job_admission(async_store& store, job_keeper& keeper);

    /// As job_keeper::create(). Fails with `limited` and not_run, and with the time after which there may be
    /// room, if the job does not fit, does not exist and cannot be created any more.
    void create(const bulk_record& record, const token_limit& limit, callback done);
    /// Takes over a listing that was asked for anyway.
    void listed(const job_keeper::open_jobs& open, steady_time now);

private:
    struct request;
    using request_ptr = std::shared_ptr<request>;

    void enqueue(request_ptr wanted);
    void runNext(const std::string& route);
    void decide(const request_ptr& wanted);
    bool limitSettled(const token_limit& limit, steady_time now);
    void listAnew(const request_ptr& wanted);
    void commit(const request_ptr& wanted);
    void conditionFailed(const request_ptr& wanted, const commit_outcome& outcome);
    void readAccount(const request_ptr& wanted);
    void callFailed(const request_ptr& wanted, const failure& error);
    void refuse(const request_ptr& wanted);
    void finish(const request_ptr& wanted, result<job_keeper::creation> outcome);
    milliseconds roomAfter(std::uint64_t excess) const;

    async_store& m_store;
    job_keeper& m_keeper;
    std::map<std::string, std::deque<request_ptr>> m_waiting; ///< By route; the first one runs.
    struct known_limit {
        std::uint64_t most = 0;
        steady_time since;
    };

    std::map<std::string, known_limit> m_limits;
    std::map<std::string, token_account> m_accounts;
    std::map<std::string, open_claims> m_listed;
    std::int64_t m_listedRevision = 0;
    steady_time m_listedAt;
    std::uint64_t m_listedTokens = 0;
    double m_finishedPerSecond = 0; ///< Tokens of all routes, between the last listings.
};

} // namespace yuccachute
