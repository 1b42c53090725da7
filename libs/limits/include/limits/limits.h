#pragma once

#include "routing/routing.h"
#include "verdict/verdict.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Distributed rate limiting: enforces customers' limits across all processes that grant slots, without a
/// remote call on a request's path. Layer: coordination. Decision logic only: no I/O, never reads the clock,
/// not thread-safe.
namespace yuccachute {

/// A customer's rate limit: `perSecond` requests per second on average, and a burst of `burst` in addition.
struct request_limit {
    double perSecond = 0;
    double burst = 0;
};

/// Upper bound on the requests granted to a customer in any time span of length `window`:
/// (perSecond x window + burst) x (1 + overshoot) + slack.
struct limit_bounds {
    std::chrono::duration<double> window { 5 };
    double overshoot = 0.1;
    double slack = 20;

    double overshootOf(const request_limit& limit) const
    {
        return overshoot * (limit.perSecond * window.count() + limit.burst);
    }
};

/// Baseline policy: each availability zone has the same share of each limit, and a process grants the share
/// of its zone as if it were the only one there. Processes exchange no messages.
struct even_shares { };

/// Each process owns the same share of each limit and lends it to the processes that grant requests.
struct lent_shares { };

using limit_policy = std::variant<even_shares, lent_shares>;

/// A process that may grant slots, as listed in the member list of the fleet.
struct limit_member {
    std::string vm;
    std::string zone;
    bool leaving = false;
    /// False if the registration has lapsed and only the record remains that the process may own a share.
    bool registered = true;
    std::string address = {}; ///< host:port at which it receives messages.
};

/// From which members a process currently receives messages.
struct reachability_report {
    /// Whether it receives messages from more than half of all members, counting itself. Otherwise
    /// `unresponsive` is empty.
    bool hasMajority = false;
    std::vector<std::string> unresponsive; ///< VMs of the members from which no message arrived lately.

    bool operator==(const reachability_report&) const = default;
};

/// Requests a loan of a member's share of the limits. Granting processes send it to all members periodically;
/// processes that have just started send it to learn which members count them.
struct share_request {
    std::uint64_t stamp = 0; ///< Sender's clock, echoed in the answer.
    bool borrows = false; ///< Whether the sender wants a loan. If not, it only announces itself.
    reachability_report reachability; ///< Filled in only once per report interval.

    bool operator==(const share_request&) const = default;
};

/// Fill level of a lender's bucket for one customer.
struct bucket_fill {
    std::uint64_t customer = 0; ///< Hash of the customer's name.
    std::uint32_t percent = 0;

    bool operator==(const bucket_fill&) const = default;
};

/// Answers `share_request`: the borrower may use `share` of each limit until `validFor` after it sent the
/// request. The lender counts the share as lent until `validFor` after its answer, so the loan always ends at
/// the borrower first.
struct share_loan {
    std::uint64_t borrowerIncarnation = 0; ///< The loan is invalid for any other incarnation.
    std::uint64_t requestStamp = 0;
    milliseconds validFor { 0 };
    double share = 0; ///< Replaces the lender's earlier loan.
    /// The part of `share` that the borrower did not hold before. Tokens are transferred along with it.
    double added = 0;
    std::uint32_t fillPercent = 0; ///< Fill level of the lender's buckets that are not in `emptier`.
    std::vector<bucket_fill> emptier;
    /// Whether the lender's own share and its loans already account for the borrower as a member.
    bool settled = false;
    /// Whether the lender still needs the borrower's confirmation that it counts the lender as a member.
    bool wantsAnswer = false;

    bool operator==(const share_loan&) const = default;
};

/// Tokens that a process holds for one customer, and its capacity according to its share of the limit.
struct customer_token_level {
    std::uint64_t customer = 0; ///< Hash of the customer's name.
    double tokens = 0;
    double capacity = 0;

    bool operator==(const customer_token_level&) const = default;
};

/// Requests tokens from the other granting processes for buckets that are running low.
struct token_request {
    std::uint64_t stamp = 0; ///< Sender's clock, echoed in the answer.
    std::vector<customer_token_level> levels;

    bool operator==(const token_request&) const = default;
};

struct customer_tokens {
    std::uint64_t customer = 0; ///< Hash of the customer's name.
    double tokens = 0;
    double room = 0; ///< Bucket capacity lent with the tokens.

    bool operator==(const customer_tokens&) const = default;
};

/// Answers `token_request` with tokens that the sender has removed from its own buckets.
struct token_transfer {
    std::uint64_t requestStamp = 0;
    milliseconds roomValidFor { 0 }; ///< Validity of the lent capacity, from the request's stamp.
    std::vector<customer_tokens> tokens;

    bool operator==(const token_transfer&) const = default;
};

using limit_message_body = std::variant<share_request, share_loan, token_request, token_transfer>;

struct limit_message {
    std::string vm; ///< VM of the sender.
    std::uint64_t incarnation = 0; ///< Unique for each start of the sending process.
    limit_message_body body;

    bool operator==(const limit_message&) const = default;
};

/// What a request needs a token for.
struct token_need {
    /// The request has already run in part elsewhere: it may overdraw the bucket within its credit.
    bool isContinuation = false;
    /// Time until the request can no longer meet its latency objective; zero or less if it already cannot.
    /// Unset if unknown: the request then counts as one that can.
    std::optional<milliseconds> timeUntilLate;
    /// The request was refused by this process a moment ago and is sent to it again.
    bool isRepeated = false;

    /// Whether requests that can meet their objective are preferred to this one.
    bool isLate() const { return !isContinuation && timeUntilLate && timeUntilLate->count() <= 0; }
};

enum class token_refusal : std::uint8_t {
    none, ///< A token was taken.
    limit_reached,
    kept_for_timely, ///< The tokens left are kept for requests that can meet their latency objective.
    /// No token is left here, but this process and those that it reaches hold only a part of the limit, and
    /// what the customer has sent here is within the whole limit.
    part_exhausted
};

struct token_decision {
    token_refusal refusal = token_refusal::none;
    milliseconds retryAfter { 0 };
};

struct bucket_situation;
class limit_roster;
class share_lender;
class share_borrower;
class request_bucket;

/// Decides whether a customer's next request is within its rate limit.
///
/// Each member owns a share of every limit. The shares of all processes add up to at most one, even if their
/// member lists differ. A granting process borrows the other members' shares in short-lived loans: a member
/// that does not answer lends nothing, and gets its share back when the loan expires. A process's buckets
/// refill in proportion to the share that it holds. Tokens are transferred to processes that run low: the
/// sender removes them before it sends them. Lost messages therefore only lose tokens, and no token is
/// granted twice, whichever processes can reach each other.
class distributed_rate_limiter {
public:
    distributed_rate_limiter(
        std::string vm, std::uint64_t incarnation, limit_policy policy, limit_bounds bounds);
    ~distributed_rate_limiter();
    distributed_rate_limiter(distributed_rate_limiter&&) noexcept;
    distributed_rate_limiter& operator=(distributed_rate_limiter&&) noexcept;

    /// Replaces the limits. The bucket of a customer whose limit changes keeps its level.
    void setCustomers(const customer_directory& customers, steady_time now);
    /// Sets all processes that may grant slots; they include this one once it has decided to register itself.
    /// A process that is no longer in the list owns nothing.
    void setMembers(std::span<const limit_member> members, steady_time now);
    /// Whether this process has current data of the platform's store, read by itself or received from peers.
    void setStoreReachable(bool reachable, steady_time now);
    /// Whether this process is a dispatcher, and thus grants requests. A dispatcher borrows shares even
    /// before its first request.
    void setIsDispatcher(bool isDispatcher, steady_time now);
    /// Gives up the share that this process owns, because it is going to stop. Must be called before the
    /// other members are notified.
    void leave(steady_time now);

    /// Returns the members that have been treated as terminated since the last call, because they were
    /// unreachable for too long. Their share records can be deleted.
    std::vector<std::string> takeExpiredMembers();

    /// Whether any customer has a limit.
    bool hasLimits() const { return !m_buckets.empty(); }
    /// Whether this customer has a limit.
    bool limits(std::string_view customer) const;
    /// Takes a token for one attempt of a request. Returns zero on success, or the time after which to retry.
    /// A continuation is a request that has already run in part elsewhere: it may overdraw the bucket within
    /// its credit.
    milliseconds tryAcquire(std::string_view customer, bool isContinuation, steady_time now);
    /// The same for a request whose time left for its latency objective may be known. Of a customer above its
    /// limit, requests that can no longer meet their objective get only tokens that the others leave over.
    token_decision acquire(std::string_view customer, const token_need& need, steady_time now);
    /// Returns a token that was acquired but not used. `wasLate`: the request could no longer meet its
    /// objective.
    void refund(std::string_view customer, steady_time now, bool wasLate = false);

    /// Whether another process has requested loans lately.
    bool isGranting(std::string_view vm, steady_time now) const;
    /// Whether this process holds no share yet, or became active so recently that loans may still be in
    /// flight.
    bool isAwaitingLoans(steady_time now);
    /// Returns the request to send to all members now, if one is due.
    std::optional<limit_message> nextShareRequest(steady_time now);
    /// Returns the request to send to the other granting processes now, if one is due.
    std::optional<limit_message> nextTokenRequest(steady_time now);
    /// Processes a message from another process; returns the answer to send, if any.
    std::optional<limit_message> handleMessage(const limit_message& message, steady_time now);

    /// The share of each limit that this process may grant, from 0 to 1.
    double share(steady_time now);

    /// Number of requests refused since the process started.
    std::uint64_t refused() const { return m_refused; }
    /// How many of these were refused a token that is kept for requests that can meet their objective.
    std::uint64_t refusedLate() const { return m_refusedLate; }
    /// How many were refused because a part of the limit is out of reach.
    std::uint64_t refusedForPart() const { return m_refusedForPart; }

    /// State of a customer's bucket, for metrics.
    struct usage {
        double level = 0;
        double capacity = 0;
    };
    std::optional<usage> usageOf(std::string_view customer, steady_time now);

private:
    /// Whether this process is a dispatcher or has had requests for tokens lately.
    bool isActive(steady_time now) const;
    milliseconds shareRequestInterval() const;
    milliseconds shareRequestDelay(steady_time now);
    milliseconds loanDuration() const;
    /// Whether this process sends no messages, because its policy lends no shares or it is not a member yet.
    bool sendsNothing() const;
    /// Recomputes the share, unless that was done less than `shareUpdateInterval` ago.
    void refreshShare(steady_time now);
    void updateShare(steady_time now);
    double computeShare(steady_time now);
    void addStartupTokens();
    bool settled(steady_time now);
    void recordSender(const limit_message& message, steady_time now);
    std::optional<limit_message> answer(
        const limit_message& from, const share_request& request, steady_time now);
    std::optional<limit_message> answer(const limit_message& from, const share_loan& loan, steady_time now);
    std::optional<limit_message> answer(
        const limit_message& from, const token_request& request, steady_time now);
    std::optional<limit_message> answer(
        const limit_message& from, const token_transfer& transfer, steady_time now);
    void attachTokens(share_loan& loan, steady_time now);
    void addLoanedTokens(const share_loan& loan, steady_time now);
    milliseconds reserveRetryTime(request_bucket& bucket, double missing, steady_time now);
    /// Whether this process and those that it exchanges tokens with hold nearly the whole limit.
    bool holdsWholeLimit(steady_time now) const;
    /// Counts the refusal of a request that has found no token, and returns its cause.
    token_refusal countRefusal(const request_bucket& bucket, token_refusal cause, steady_time now);
    /// The retry time of a request that has found no token.
    milliseconds retryTime(request_bucket& bucket, const bucket_situation& situation, const token_need& need,
        double missing, steady_time now);
    /// The refill of the bucket per second, including what other processes transfer.
    double refillPerSecond(const request_bucket& bucket, steady_time now) const;
    /// Number of processes that borrow from this one, plus one if this process grants itself.
    double grantingProcessCount(steady_time now) const;
    limit_message makeMessage(limit_message_body body) const;

    struct peer_state {
        std::uint64_t incarnation = 0;
        std::uint64_t previousIncarnation = 0; ///< Its messages may still arrive, and are ignored.
        std::uint64_t lastTransferStamp = 0; ///< Request stamp of the peer's latest token transfer.
    };

    std::string m_vm;
    std::uint64_t m_incarnation;
    limit_policy m_policy;
    limit_bounds m_bounds;
    std::map<std::uint64_t, request_bucket> m_buckets; ///< By hash of the customer's name.
    std::unique_ptr<limit_roster> m_roster;
    std::unique_ptr<share_lender> m_lender;
    std::unique_ptr<share_borrower> m_borrower;
    std::map<std::string, peer_state, std::less<>> m_peers; ///< By VM.
    std::uint64_t m_refused = 0;
    std::uint64_t m_refusedLate = 0;
    std::uint64_t m_refusedForPart = 0;
    double m_share = 0;
    double m_ownShare = 0; ///< The share that this process owns, including what it has lent.
    bool m_isDispatcher = false;
    double m_startupShare = 0; ///< The share for which the buckets have received their startup tokens.
    steady_time m_shareUpdatedAt;
    steady_time m_lastAcquire;
    steady_time m_activeSince; ///< Start of the current active period.
    steady_time m_lastShareRequest;
    steady_time m_lastReachabilityReport;
    steady_time m_lastTokenRequest;
};

} // namespace yuccachute
