#pragma once

#include "routing/routing.h"
#include "verdict/verdict.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
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

/// Processes tell each other what they have granted; each deducts what it hears, and what it expects to hear,
/// from a bucket that stands for the whole fleet.
struct counted_spending { };

using limit_policy = std::variant<even_shares, counted_spending>;

/// A process that may grant places, as the fleet lists it.
struct limit_member {
    std::string vm;
    std::string zone;
    bool leaving = false;
};

/// What a process has granted to a customer.
struct customer_spending {
    std::uint64_t customer = 0; ///< Hash of the name.
    std::uint64_t granted = 0; ///< Since the process started. It also shrinks, by places that were not used.
    std::int64_t added = 0; ///< Of that, since the last report; for those that have not heard it.
    int fillPercent = 0; ///< Of the customer's bucket, as the process sees it; negative if it is overdrawn.

    bool operator==(const customer_spending&) const = default;
};

/// Tells that a process is there, and what it has granted lately.
struct spending_report {
    std::string vm;
    std::uint64_t incarnation = 0; ///< Different at each start of the process.
    bool wantsAnswer = false; ///< The receiver is to say at once that it is there.
    std::vector<customer_spending> customers; ///< Those that have changed.

    bool operator==(const spending_report&) const = default;
};

/// The tokens that a process may grant to one customer.
class request_bucket {
public:
    request_bucket(const request_limit& limit, const limit_bounds& bounds, steady_time now);

    void setLimit(const request_limit& limit);
    const request_limit& limit() const { return m_limit; }
    /// Brings the bucket up to a time, for processes that hold this part of the limit. Of what is in it, the
    /// share of members that have not just been heard is held back until they are.
    void advance(double part, double freshShare, steady_time now);
    double level() const { return m_level + m_heldBack; }
    double usable() const { return m_level; }
    double heldBack() const { return m_heldBack; }
    void add(double tokens) { m_level += tokens; }
    /// Takes out what others have granted, of what is held back only if nothing else is left.
    void deduct(double tokens);
    double capacity() const { return m_limit.burst + tolerance(); }
    /// Requests above the limit that are granted all the same.
    double tolerance() const;

    std::uint64_t granted = 0; ///< By this process.
    std::uint64_t told = 0; ///< Of that, in a report to those that grant, too.
    std::uint64_t toldAll = 0; ///< In a report to all members.
    steady_time promisedUntil; ///< When the last one that was refused was told to come back.

    /// What another process has granted.
    struct other {
        std::uint64_t granted = 0;
        double perSecond = 0; ///< Lately.
        steady_time changed;
        bool counted = false; ///< `granted` is known as of a time since which the process has been in reach.
    };
    std::map<std::string, other, std::less<>> others; ///< By VM.

private:
    void changePart(double part);
    void holdBack(double heldPart);

    request_limit m_limit;
    limit_bounds m_bounds;
    double m_level = 0;
    double m_heldBack = 0;
    double m_part = 1;
    double m_heldPart = 0; ///< Of the part, what belongs to members that have not just been heard.
    steady_time m_updated;
};

/// Decides whether a customer's next request is within its limit.
///
/// Each granting process keeps a bucket for each customer and takes its own grants and those that others
/// report out of it. Between reports it expects others to go on as they did, so processes that all see a
/// spent bucket do not each grant what flows in. What is granted too much all the same is debt: nothing is
/// granted until it has been worked off.
///
/// Before a cut is noticed, both sides would grant all that is left in their buckets. So only the part of the
/// members that were heard a moment ago is granted from.
///
/// Processes that do not hear each other would each grant the whole limit. So a process uses only the part
/// that corresponds to the members that it hears, itself included, among all that are listed. Members that
/// have vanished from the list may live behind a cut and are counted for a while longer; those behind the
/// cut, being the fewer and without the store, use less after a while that is shorter.
class fleet_limits {
public:
    fleet_limits(std::string vm, std::uint64_t incarnation, limit_policy policy, limit_bounds bounds);

    /// Takes the limits over. A customer whose limit changes keeps what it has used.
    void setCustomers(const customer_directory& customers, steady_time now);
    /// All processes that may grant places; this one is among them once it has registered itself.
    void setMembers(std::span<const limit_member> members, steady_time now);
    /// Whether this process knows what the platform's store holds, by itself or through others.
    void setStoreReached(bool reached, steady_time now);

    /// Whether any customer has a limit.
    bool limitsAny() const { return !m_buckets.empty(); }
    bool limits(std::string_view customer) const;
    /// Takes a token for one send of a request. Returns zero, or the time after which to come back. `begun`:
    /// the request has run in part elsewhere; it is granted on credit, as far as that goes.
    milliseconds take(std::string_view customer, bool begun, steady_time now);
    /// A token that was taken was not used.
    void giveBack(std::string_view customer, steady_time now);

    /// Whether another process has granted something lately.
    bool grants(std::string_view vm, steady_time now) const;
    /// What other granting processes are to hear now, because much has been granted since they last heard.
    std::optional<spending_report> takeUrgentReport(steady_time now);
    /// What a process that is asked for tokens tells all members at an interval, also that there is nothing
    /// to tell. Members that do not answer are out of reach.
    std::optional<spending_report> takeRegularReport(steady_time now);
    /// Takes a report; returns the answer that its sender wants, unless it hears from this process anyway.
    std::optional<spending_report> heard(const spending_report& report, steady_time now);

    /// What of each limit this process and those that it hears may grant, from 0 to 1.
    double part(steady_time now);

    /// Requests that were refused since the start.
    std::uint64_t refused() const { return m_refused; }

    /// A customer's use, for metrics.
    struct usage {
        double level = 0;
        double capacity = 0;
    };
    std::optional<usage> usageOf(std::string_view customer, steady_time now);

private:
    struct member_state {
        std::string zone;
        steady_time lastListed; ///< Or heard.
        bool listed = true;
    };
    struct peer_state {
        std::uint64_t incarnation = 0;
        steady_time heard;
        steady_time granted; ///< When it last reported a change.
        bool reached = false;
    };

    /// Whether it has been asked for tokens lately.
    bool active(steady_time now) const;
    milliseconds regularInterval() const;
    milliseconds reachTimeout() const;
    milliseconds freshTimeout() const;
    bool isReached(std::string_view vm, steady_time now) const;
    double computePart(steady_time now);
    void noteLostPeers(steady_time now);
    void forgetSpending(const std::string& vm);
    double countedPart(steady_time now);
    std::size_t heardSince(steady_time since) const;
    void advance(request_bucket& bucket, steady_time now);
    double available(request_bucket& bucket, steady_time now);
    double evenPart();
    void forgetMembers(steady_time now);
    void keepMember(const std::string& vm, steady_time now);
    double expectedSpending(const request_bucket& bucket, std::string_view vm, steady_time now) const;
    double expectedSpending(const request_bucket& bucket, steady_time now) const;
    void takeSpending(
        request_bucket& bucket, const std::string& vm, const customer_spending& told, steady_time now);
    milliseconds promise(request_bucket& bucket, double missing, steady_time now);
    std::vector<customer_spending> changedSince(std::uint64_t request_bucket::*mark, steady_time now);

    std::string m_vm;
    std::uint64_t m_incarnation;
    limit_policy m_policy;
    limit_bounds m_bounds;
    std::map<std::uint64_t, request_bucket> m_buckets; ///< By hash of the customer's name.
    std::map<std::string, member_state, std::less<>> m_members; ///< By VM.
    std::set<std::string, std::less<>> m_leaving; ///< Members that are going to stop.
    std::map<std::string, peer_state, std::less<>> m_peers; ///< By VM.
    std::uint64_t m_refused = 0;
    double m_part = 0;
    double m_freshShare = 0; ///< Of the members in reach, those that were heard a moment ago.
    steady_time m_partComputed;
    std::optional<steady_time> m_storeLostSince;
    steady_time m_lastTake;
    steady_time m_activeSince; ///< It was asked for tokens ever since.
    steady_time m_lastUrgent;
    steady_time m_lastRegular;
};

} // namespace yuccachute
