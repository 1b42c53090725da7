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

/// Customers' rate limits over all processes that grant places, without a call to anybody on a request's
/// path. Layer: coordination. Pure decisions: no I/O, no clock, not thread-safe.
namespace yuccachute {

/// A customer's limit: so many requests a second, and `burst` on top.
struct request_limit {
    double perSecond = 0;
    double burst = 0;
};

/// What is allowed of a customer in any span of `window`:
/// (perSecond x window + burst) x (1 + overshoot) + slack requests.
struct limit_bounds {
    std::chrono::duration<double> window { 5 };
    double overshoot = 0.1;
    double slack = 20;

    double overshootOf(const request_limit& limit) const
    {
        return overshoot * (limit.perSecond * window.count() + limit.burst);
    }
};

/// Baseline: each availability zone has the same part of each limit, and a process grants its zone's part as
/// if it were alone there. Nothing is said between processes.
struct even_shares { };

/// Each process owns the same part of each limit and lends it to those that are asked for tokens.
struct lent_shares { };

using limit_policy = std::variant<even_shares, lent_shares>;

/// A process that may grant places, as the fleet lists it.
struct limit_member {
    std::string vm;
    std::string zone;
    bool leaving = false;
    /// Otherwise its registration has lapsed, and only the record is left that it may own a part.
    bool registered = true;
    std::string address = {}; ///< host:port, for messages to it.
};

/// Which members a process hears.
struct reachability_report {
    bool hasMajority
        = false; ///< More than half of all, itself among them; otherwise nothing is said of them.
    std::vector<std::string> unresponsive; ///< VMs of those that it does not hear.

    bool operator==(const reachability_report&) const = default;
};

/// Asks a member for a loan of its part of the limits. Processes that grant send it to all members at an
/// interval; processes that have just started do so to hear who knows of them.
struct share_request {
    std::uint64_t stamp = 0; ///< Time of the sender's clock, echoed in the answer.
    bool borrows = false; ///< Whether the sender grants. Otherwise it wants to be known, and no loan.
    reachability_report reachability; ///< Told now and then.

    bool operator==(const share_request&) const = default;
};

/// How full a lender's bucket of a customer is.
struct bucket_fill {
    std::uint64_t customer = 0; ///< Hash of the name.
    std::uint32_t percent = 0;

    bool operator==(const bucket_fill&) const = default;
};

/// Answers `share_request`: the borrower may use `share` of each limit until `validFor` after it asked. The
/// lender counts it as lent for as long after it answered, which is later.
struct share_loan {
    std::uint64_t borrowerIncarnation = 0; ///< The loan is void for any other.
    std::uint64_t requestStamp = 0;
    milliseconds validFor { 0 };
    double share = 0; ///< In place of what the lender lent before.
    double added = 0; ///< Of `share`, what is new and brings its share of the tokens along.
    std::uint32_t fillPercent = 0; ///< Of the lender's buckets, except `emptier`.
    std::vector<bucket_fill> emptier;
    /// What the lender owns and has lent takes the borrower into account as a member.
    bool settled = false;
    /// The lender does not know yet whether the borrower counts it as a member: it wants the same answer.
    bool wantsAnswer = false;

    bool operator==(const share_loan&) const = default;
};

/// Tokens of one customer that a process holds, and may hold by its part of the limit.
struct customer_level {
    std::uint64_t customer = 0; ///< Hash of the name.
    double tokens = 0;
    double capacity = 0;

    bool operator==(const customer_level&) const = default;
};

/// Tells other granting processes of buckets that are running low.
struct token_request {
    std::uint64_t stamp = 0; ///< Time of the sender's clock, echoed in the answer.
    std::vector<customer_level> levels;

    bool operator==(const token_request&) const = default;
};

struct customer_tokens {
    std::uint64_t customer = 0; ///< Hash of the name.
    double tokens = 0;
    double room = 0; ///< Capacity that goes along, for as long as a loan.

    bool operator==(const customer_tokens&) const = default;
};

/// Answers `token_request` with tokens that the sender has taken out of its own buckets.
struct token_transfer {
    std::uint64_t requestStamp = 0;
    milliseconds roomValidFor { 0 }; ///< Since the request.
    std::vector<customer_tokens> tokens;

    bool operator==(const token_transfer&) const = default;
};

using limit_message_body = std::variant<share_request, share_loan, token_request, token_transfer>;

struct limit_message {
    std::string vm; ///< Of the sender.
    std::uint64_t incarnation = 0; ///< Different at each start of the process.
    limit_message_body body;

    bool operator==(const limit_message&) const = default;
};

class limit_roster;
class share_lender;
class share_borrower;
class request_bucket;

/// Decides whether a customer's next request is within its limit.
///
/// Each member owns a part of every limit. The parts of all processes add up to one at most, whatever list of
/// members each of them knows. A process that grants borrows the members' parts for a moment at a time; who
/// does not answer lends nothing, and has its part back once the loan has run out. Tokens flow into a
/// process's buckets by the part that it holds, and are passed on to a process that needs them: the sender
/// takes them out first. So what is lost on the way is never granted, and nothing is granted twice, whoever
/// hears whom.
class distributed_rate_limiter {
public:
    distributed_rate_limiter(
        std::string vm, std::uint64_t incarnation, limit_policy policy, limit_bounds bounds);
    ~distributed_rate_limiter();
    distributed_rate_limiter(distributed_rate_limiter&&) noexcept;
    distributed_rate_limiter& operator=(distributed_rate_limiter&&) noexcept;

    /// Takes the limits over. A customer whose limit changes keeps what it has used.
    void setCustomers(const customer_directory& customers, steady_time now);
    /// All processes that may grant places; this one is among them once it has decided to register itself.
    /// Who is not named any more owns nothing.
    void setMembers(std::span<const limit_member> members, steady_time now);
    /// Whether this process knows what the platform's store holds, by itself or through others.
    void setStoreReachable(bool reached, steady_time now);
    /// Whether this process is the one that is asked for tokens. It borrows before the first request comes.
    void setIsDispatcher(bool dispatches, steady_time now);
    /// This process is going to stop, and gives up the part that it owns. To be called before others are
    /// told.
    void leave(steady_time now);

    /// Members that were away for so long that they are taken for ended since the last call. The record that
    /// they may own a part is not needed any more.
    std::vector<std::string> takeExpiredMembers();

    /// Whether any customer has a limit.
    bool hasLimits() const { return !m_buckets.empty(); }
    bool limits(std::string_view customer) const;
    /// Takes a token for one send of a request. Returns zero, or the time after which to come back. `begun`:
    /// the request has run in part elsewhere; it is granted on credit, as far as that goes.
    milliseconds tryAcquire(std::string_view customer, bool begun, steady_time now);
    /// A token that was taken was not used.
    void refund(std::string_view customer, steady_time now);

    /// Whether another process has asked for loans lately.
    bool isGranting(std::string_view vm, steady_time now) const;
    /// Whether this process may not grant yet, or only since so short a time that loans are on their way.
    bool isAwaitingLoans(steady_time now);
    /// What all members are to be asked now.
    std::optional<limit_message> nextShareRequest(steady_time now);
    /// What other granting processes are to be asked now.
    std::optional<limit_message> nextTokenRequest(steady_time now);
    /// Takes a message from another process; returns the answer to it.
    std::optional<limit_message> handleMessage(const limit_message& message, steady_time now);

    /// What of each limit this process may grant, from 0 to 1.
    double share(steady_time now);

    /// Requests that were refused since the start.
    std::uint64_t refused() const { return m_refused; }

    /// A customer's use, for metrics.
    struct usage {
        double level = 0;
        double capacity = 0;
    };
    std::optional<usage> usageOf(std::string_view customer, steady_time now);

private:
    /// Whether it has been asked for tokens lately.
    bool active(steady_time now) const;
    milliseconds askInterval() const;
    milliseconds nextAskAfter(steady_time now);
    milliseconds loanTime() const;
    /// Whether it says nothing to others: it shares no part with them, or may not grant.
    bool isSilent() const;
    /// Brings the part up to date, unless that was done a moment ago.
    void refreshPart(steady_time now);
    void updatePart(steady_time now);
    double computePart(steady_time now);
    void fillAtStart();
    bool settled(steady_time now);
    void notice(const limit_message& message, steady_time now);
    std::optional<limit_message> answer(const limit_message& from, const share_request& ask, steady_time now);
    std::optional<limit_message> answer(const limit_message& from, const share_loan& loan, steady_time now);
    std::optional<limit_message> answer(
        const limit_message& from, const token_request& request, steady_time now);
    std::optional<limit_message> answer(
        const limit_message& from, const token_transfer& transfer, steady_time now);
    void moveTokens(share_loan& loan, steady_time now);
    void receiveTokens(const share_loan& loan, steady_time now);
    milliseconds promise(request_bucket& bucket, double missing, steady_time now);
    /// That borrow from this one, itself included.
    double grantingProcesses(steady_time now) const;
    limit_message messageWith(limit_message_body body) const;

    struct peer_state {
        std::uint64_t incarnation = 0;
        std::uint64_t former = 0; ///< Incarnation before that: messages of it may still arrive.
        std::uint64_t lastTransfer = 0; ///< Stamp of the request that it answered last with tokens.
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
    double m_part = 0;
    double m_owned = 0; ///< Of that, what belongs to this process.
    bool m_dispatches = false;
    double m_filledPart = 0; ///< For which the buckets have got what a process starts with.
    steady_time m_partComputed;
    steady_time m_lastTake;
    steady_time m_activeSince; ///< It was asked for tokens ever since.
    steady_time m_lastAsk;
    steady_time m_lastSurvey;
    steady_time m_lastRequest;
};

} // namespace yuccachute
