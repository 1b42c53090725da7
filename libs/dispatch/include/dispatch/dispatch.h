#pragma once

#include "verdict/verdict.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Scheduling of requests onto targets: queues, fairness between customers, bulk policy, target health, and
/// rate and retry budgets.
/// Layer: coordination. Pure decision logic without I/O or a clock of its own; not thread-safe.
namespace yuccachute {

enum class work_class : std::uint8_t { live, bulk };

std::string_view toString(work_class workClass);

// --- Slot requests and grants

/// Request for a slot at one of the group's targets.
struct slot_request {
    std::uint64_t holder = 0; ///< Session that sent it; its waiting requests are dropped when it disconnects.
    std::uint64_t id = 0; ///< Unique within the holder.
    std::string requestId; ///< Id of the run in the target's load report; may be empty.
    std::string customer;
    work_class workClass = work_class::live;
    double weight = 1;
    unsigned queueLimit = 1000; ///< Maximum number of waiting requests of this customer.
    double cost = 1; ///< Expected tokens, prompt and completion; the unit of fair queueing.
    std::vector<std::uint64_t> prefixes; ///< Chained hashes of the prompt's leading blocks.
    std::string avoid; ///< Target that has just failed this request; chosen only if no other is usable.
    steady_time deadline; ///< Time after which a grant is of no use.
    /// Granted or refused at once, without queueing, so that the sender can try another group. The deadline
    /// affects only which target is preferred.
    bool immediate = false;
    /// Maximum time for which the grant is held if its release is lost; 0 means until the deadline.
    milliseconds hold { 0 };
    steady_time due; ///< Bulk only: due time of the job.
    bool begun = false; ///< Part of the request has already run at another target.
    /// Bulk only: number of events that the run is expected to produce; 0 if unknown.
    double remainingEvents = 0;
    /// Bulk only: number of events produced by earlier runs, which the next target has to prefill.
    std::uint32_t producedEvents = 0;
    /// Live only: time since the caller's first attempt; 0 if unknown or if this is the first attempt.
    milliseconds age { 0 };
    /// Live only: objective for the time between two events; 0 for none.
    milliseconds maxEventInterval { 0 };
    /// Software version that the target must have, because a target of this version began the stream; unset
    /// if any will do.
    std::optional<std::string> version;
};

/// Whether a live request can no longer meet the latency objective of its caller. Its sender knows the
/// objective: it limits the deadline of other requests of a known age to the objective, and lets one that has
/// missed it wait until the caller's deadline, which is also the end of its hold time. A request of unknown
/// age counts as one that can be on time. To be called when the request arrives, before it is queued.
bool missedObjective(const slot_request& request, steady_time now);

/// A granted slot at a target. The holder sends its request to the target directly and releases the grant
/// afterwards.
struct slot_grant {
    std::uint64_t holder = 0;
    std::uint64_t slotRequestId = 0;
    std::uint64_t grantId = 0;
    std::string target;
    std::string address;
    milliseconds waited { 0 };
    std::optional<std::string> version; ///< Software version of the target; unset if unknown.
};

struct slot_refusal {
    std::uint64_t holder = 0;
    std::uint64_t slotRequestId = 0;
    failure reason; ///< Its verdict is always not_run.
};

enum class revocation_reason : std::uint8_t {
    no_figures, ///< The length of the item or the speed of the targets is unknown.
    late_anyway, ///< The item can no longer end in time.
    can_end_in_time, ///< The item can end in time if it resumes later.
    at_risk ///< The item may be late because of the revocation.
};

std::string_view toString(revocation_reason reason);

/// Asks the holder of a bulk grant to stop its item at once. The holder still has to release the grant.
struct grant_revocation {
    std::uint64_t holder = 0;
    std::uint64_t grantId = 0;
    revocation_reason reason = revocation_reason::no_figures;
    /// Expected lateness of the item after the revocation; negative if it can end in time. 0 without figures.
    milliseconds expectedLateness { 0 };
};

using decision = std::variant<slot_grant, slot_refusal, grant_revocation>;

enum class grant_outcome : std::uint8_t {
    ok,
    refused, ///< The target refused the request before running it: it is full or shutting down.
    failed, ///< The target was unreachable, closed the connection early or sent an invalid answer.
    abandoned, ///< The caller or the dispatcher gave up; does not affect the target's health.
    unused ///< Nothing was sent to the target.
};

struct grant_release {
    std::uint64_t grantId = 0;
    grant_outcome outcome = grant_outcome::ok;
    milliseconds firstToken { 0 }; ///< Time from sending to the first token; zero if unknown.
    double tokens = 0;
    std::uint32_t events = 0; ///< Events received in this run.
    std::chrono::microseconds eventInterval { 0 }; ///< Mean time between events; zero if unknown.
};

/// Measures the figures of a run for its grant_release: the number of events, and the mean interval between
/// the last of them. The time to the first event is not part of an interval, because it includes the wait at
/// the target and the processing of the prompt.
class event_timing {
public:
    /// `count` further events have arrived.
    void record(std::uint64_t count, steady_time now);
    /// The run's stream is no longer read because its caller reads slowly. Intervals are measured up to the
    /// first such pause only: events that were produced during a pause arrive together after it.
    void pause() { m_paused = true; }

    std::uint32_t events() const { return static_cast<std::uint32_t>(m_events); }
    /// Zero if unknown. In a run that has not completed, a silence since the last event that is much longer
    /// than the intervals before, or that follows the first event, is returned in their place, because the
    /// target takes at least this long for an event.
    std::chrono::microseconds interval(grant_outcome outcome, steady_time now) const;

private:
    struct arrival {
        steady_time time;
        std::uint64_t events = 0; ///< Up to and including this arrival.
    };

    std::uint64_t m_events = 0;
    std::deque<arrival> m_arrivals;
    bool m_paused = false;
};

/// A target as configured in the settings.
struct target_description {
    std::string name;
    std::string address;
    unsigned slots = 8;
    bool drain = false;
    std::string version; ///< Software version, which is fixed for the name.
};

/// Whether a target may run the request, by its software version.
bool acceptsVersion(const slot_request& request, const target_description& target);

/// Load as reported by a target itself. It lags behind the actual load.
struct load_report {
    unsigned running = 0;
    unsigned queued = 0;
    unsigned slots = 0; ///< 0 if not reported.
    double memoryUsed = 0; ///< Fraction of the KV cache memory in use, from 0 to 1.
    bool leaving = false; ///< Accepts no new requests because it is shutting down.
    /// Ids of the running requests; unset if the target does not report them.
    std::optional<std::vector<std::string>> runs;
};

// --- Policies for bulk work

/// No bulk work.
struct no_bulk { };

/// Baseline: every request, live or bulk, is granted on arrival and waits in the target's own queue.
struct unlimited_bulk { };

/// Baseline: a fixed number of bulk items per target.
struct fixed_bulk {
    unsigned window = 4;
};

/// Bulk work uses free slots less a reserve for live arrivals, within a window that grows additively while
/// live requests meet their objectives and is halved when they do not. The reserve has to last only until
/// revoked items have left their targets, so it is the number of live arrivals in the busiest intervals of
/// that length in the last seconds.
struct adaptive_bulk {
    double reserve = 0.05; ///< Minimum fraction of all slots kept free for live arrivals.
    milliseconds firstTokenObjective { 610 };
    milliseconds maxLiveWait { 10 }; ///< A live request that waited longer counts as delayed.
};

/// Bulk work fills every free slot and is revoked when live requests arrive. Suits targets that stop a run as
/// soon as its connection closes and can resume it on any target at the cost of another prefill: a revocation
/// delays the live request by a few milliseconds only, and slots kept free for live requests would be wasted.
struct spare_bulk { };

using bulk_policy = std::variant<no_bulk, unlimited_bulk, fixed_bulk, adaptive_bulk, spare_bulk>;

/// Whether the policy revokes bulk grants to make room for live requests.
bool revokesBulkGrants(const bulk_policy& policy);

/// State of a target group on which a policy bases its decision.
struct bulk_policy_input {
    unsigned slots = 0; ///< Total of all usable targets.
    unsigned live = 0; ///< Running live requests, and slots occupied by other dispatchers' requests.
    unsigned arrivals = 0; ///< Live arrivals within the time of a revocation, in a busy interval.
    unsigned targets = 0;
    unsigned liveWaiting = 0;
    double window = 1; ///< Maximum fraction of the slots for bulk work; see adaptWindow().
};

/// Maximum number of bulk items that may run in the group.
unsigned bulkAllowance(const bulk_policy& policy, const bulk_policy_input& policyInput);

/// Returns the adaptive window after one interval. `liveDelayed`: a live request waited too long or got its
/// first token late.
double adaptWindow(double window, bool liveDelayed, bool windowWasFull);

// --- Queues

/// Start-time fair queueing over customers. It is work-conserving: a customer may use all idle capacity, but
/// its backlog delays other customers by no more than its share.
class fair_queue {
public:
    enum class order : std::uint8_t {
        fair,
        arrival, ///< Baseline: FIFO.
        due ///< Earliest due time first. Requests already overdue on arrival go last: they are late anyway.
    };

    explicit fair_queue(order queueOrder = order::fair)
        : m_order(queueOrder)
    {
    }

    void push(slot_request request, steady_time now);
    bool empty() const { return m_size == 0; }
    std::size_t size() const { return m_size; }
    std::size_t sizeOf(std::string_view customer) const;

    /// Fraction of the service, between 0 and 1, that a customer would get if it had requests waiting now.
    double shareOf(std::string_view customer, double weight) const;

    /// The next request in order, or null.
    const slot_request* front() const;
    /// Removes the next request and returns it with the time at which it was queued.
    std::pair<slot_request, steady_time> pop();

    /// Calls `visit` for each waiting request with the time at which it was queued, by customer, and for each
    /// customer in order.
    void forEach(const std::function<void(const slot_request&, steady_time since)>& visit) const;
    /// Removes a waiting request out of order; unset if it is not waiting.
    std::optional<std::pair<slot_request, steady_time>> take(std::uint64_t holder, std::uint64_t id);

    /// Lets a queued immediate request wait until `until`. Returns false if it is not queued.
    bool letWait(std::uint64_t holder, std::uint64_t id, steady_time until);
    /// Removes and returns the requests whose deadline has passed, and immediate ones that may not wait
    /// longer.
    std::vector<slot_request> takeExpired(steady_time now);
    bool remove(std::uint64_t holder, std::uint64_t id);
    void removeHolder(std::uint64_t holder);

private:
    struct waiting_request {
        slot_request request;
        double start = 0;
        std::uint64_t arrival = 0;
        steady_time since;
        bool overdue = false; ///< On arrival.
        std::optional<steady_time> waitUntil; ///< End of an immediate request's wait, if it may wait.

        bool dueBefore(const waiting_request& other) const
        {
            return overdue != other.overdue ? other.overdue : request.due < other.request.due;
        }
    };
    struct backlog {
        std::deque<waiting_request> requests;
        double lastFinish = 0;
        double weight = 1;
    };

    const backlog* next() const;
    std::pair<slot_request, steady_time> takeFrom(
        backlog& customer, std::deque<waiting_request>::iterator position);
    bool precedes(const waiting_request& left, const waiting_request& right) const;
    template <typename Predicate> std::vector<slot_request> takeIf(Predicate predicate);

    order m_order;
    std::map<std::string, backlog, std::less<>> m_customers;
    double m_virtualTime = 0;
    std::uint64_t m_arrivals = 0;
    std::size_t m_size = 0;
};

// --- Prefix affinity

/// Chained hashes of the leading blocks of a prompt: equal hashes mean equal text up to the end of that
/// block.
std::vector<std::uint64_t> prefixHashes(std::string_view prompt);

// --- Rate and retry budgets

/// Token bucket that limits a rate. Its capacity is the amount of one second.
class rate_budget {
public:
    /// Takes the amount and returns zero, or returns the time until the amount is available. A rate of 0
    /// means no limit.
    milliseconds take(double amount, double perSecond, steady_time now);

private:
    double m_level = 0;
    bool m_started = false;
    steady_time m_last;
};

/// Limits retries to a fraction of recent requests so that they cannot amplify an outage. A new budget starts
/// with a few retries.
class retry_budget {
public:
    void countRequest(double share);
    bool takeRetry();

private:
    static constexpr double maxLevel = 20;
    double m_level = 5;
};

// --- Target group

struct group_options {
    bulk_policy policy = adaptive_bulk {};
    fair_queue::order order = fair_queue::order::fair;
    bool randomChoice = false; ///< Baseline: any target with a free slot, regardless of load and prefixes.
    /// Time for which a target that refused a request gets no others; 0 means until its next load report.
    milliseconds refusalBackoff { 0 };
    std::optional<fair_queue::order> bulkOrder; ///< Order of waiting bulk requests; `order` if unset.
    /// Time for which a slot that a live request has released is kept for the next live request; 0 makes it
    /// available to bulk work at once.
    ///
    /// Under peak load the next live request needs the slot within milliseconds. A bulk item that is started
    /// there and revoked makes no progress, but its prompt and its previous output are prefilled while the
    /// target's other requests wait.
    milliseconds keptForLive { 0 };
    /// Factor on the expected wait: a request is refused on arrival if the product exceeds its remaining
    /// time. At 1 an overloaded queue settles at a length where half of the waiting requests are refused at
    /// the end of their wait, too late for a retry in time, and the others are served just before their
    /// deadline.
    double waitMargin = 1;
    /// Weight of a fully cached prompt in the choice of a target: it offsets this fraction of occupied slots.
    double affinity = 0.6;
    /// Whether items are started and revoked by their expected time and by peaks of live demand that repeat.
    /// Effective with `spare_bulk` and bulk requests ordered by due time, for items whose length is known.
    bool bulkLookahead = true;
    /// Time between two events that is assumed at each target until it has been learned; zero for none.
    std::chrono::microseconds assumedEventInterval { 0 };
    /// Whether the targets returned by reportsDue() are polled for load reports.
    bool pollsLoadReports = false;
    /// Minimum number of targets in use, if the group has as many; more are activated as needed. It is large
    /// enough that requests find other targets that have already reported, both after the loss of a tenth of
    /// the targets and at the start of a load peak.
    std::size_t minTargets = 32;
    /// Whether the speeds of the targets are learned from the figures of releases and used in decisions. With
    /// targets of equal speed, all decisions are the same as without.
    bool targetPace = true;
    /// Whether the tokens of a customer above its limit are kept for requests that can meet their objective,
    /// and refusals distinguish a limit from a part of it that is out of reach.
    bool customerShares = true;
};

/// A target has fallen below half of the nominal speed of its group, or has recovered.
struct pace_change {
    std::string target;
    bool slow = false;
    double pace = 1; ///< Relative to the nominal speed; 1 also if it is no longer known.
    std::chrono::microseconds eventInterval { 0 }; ///< Between events at the target; zero if no longer known.
};

/// A target that is due to be polled for its load.
struct report_due {
    std::string target;
    std::string address;
};

/// Figures of a group for metrics and status output.
struct group_summary {
    unsigned targets = 0;
    unsigned usableTargets = 0; ///< In use and accepting requests.
    unsigned slots = 0;
    unsigned live = 0;
    unsigned bulk = 0;
    std::size_t liveWaiting = 0;
    std::size_t liveWaitingPastObjective = 0; ///< Of these, requests that have missed their objective.
    std::size_t bulkWaiting = 0;
    double bulkWindow = 0;
    double slowestPace = 1; ///< Of the targets in use, relative to the nominal speed; 1 if unknown.
    double medianPace = 1;
    double fastestPace = 1;
    unsigned slowTargets = 0; ///< Targets in use below half of the nominal speed.
    std::map<revocation_reason, std::uint64_t> revocations; ///< Bulk grants revoked so far.
    std::uint64_t startsHeldBack = 0; ///< Items not started so far because of a peak of live demand.
};

/// Queue with priorities in front of the targets of one service in one availability zone. It is needed
/// because the targets have no priorities and admit requests in arrival order.
///
/// A group uses as many targets as its load needs and keeps the others on standby: each target in use is
/// polled twice a second, holds a connection, and is considered for every request. Sending the load to few
/// targets also raises the hit rate of their prefix caches.
class target_group {
public:
    explicit target_group(group_options options);
    ~target_group();
    target_group(target_group&&) noexcept;
    target_group& operator=(target_group&&) noexcept;

    void setOptions(const group_options& options);
    void setTargets(std::span<const target_description> targets, steady_time now);
    /// Applies added or changed targets and removes others.
    void changeTargets(
        std::span<const target_description> changed, std::span<const std::string> removed, steady_time now);
    /// Requests a slot. The answer, at once or later, is among the decisions.
    void ask(slot_request request, steady_time now);
    void withdraw(std::uint64_t holder, std::uint64_t slotRequestId, steady_time now);
    void release(const grant_release& release, steady_time now);
    /// The request of a grant; null if the grant is not held any more.
    const slot_request* requestOfGrant(std::uint64_t grantId) const;
    void report(std::string_view target, const load_report& report, steady_time now);
    /// Counts a failed load poll as a failure of the target.
    void reportUnreachable(std::string_view target, steady_time now);
    /// Targets to poll for their load now. Each is returned once until report() or recordMissedReport().
    std::vector<report_due> reportsDue(steady_time now);
    /// A target that reportsDue() returned has not answered.
    void recordMissedReport(std::string_view target, steady_time now);
    /// Polls the targets as if a slot had just been requested, so that the first requests to a dispatcher
    /// that has just started do not wait for the first reports.
    void expectRequests(steady_time now);
    /// The holder has disconnected. Its waiting requests are removed. Its grants stay until they expire
    /// because the targets may still be processing their requests.
    void dropHolder(std::uint64_t holder, steady_time now);
    /// Must be called about every 20 ms while the group is active.
    void tick(steady_time now);
    /// Whether tick() has to be called: a request is waiting, a grant is held, or a slot was requested within
    /// the last seconds.
    bool active(steady_time now) const;
    /// Revokes all bulk grants, when this dispatcher is no longer the one that sees all work at the targets.
    void revokeBulk();

    /// Decisions since the last call, in order.
    std::vector<decision> takeDecisions();
    group_summary summary(steady_time now) const;
    /// Changes of targets' speeds since the last call, for log lines.
    std::vector<pace_change> takePaceChanges();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

/// Name of a group: service, zone and number. Groups have at most `targetsPerGroup` targets.
std::string groupName(std::string_view service, std::string_view zone, std::size_t number);
constexpr std::size_t targetsPerGroup = 8;

} // namespace yuccachute
