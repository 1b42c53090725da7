#pragma once

#include "verdict/verdict.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
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
    /// is ignored.
    bool immediate = false;
    /// Maximum time for which the grant is held if its release is lost; 0 means until the deadline.
    milliseconds hold { 0 };
    steady_time due; ///< Bulk only: due time of the job.
    bool begun = false; ///< Part of the request has already run at another target.
};

/// A granted slot at a target. The holder sends its request to the target directly and releases the grant
/// afterwards.
struct slot_grant {
    std::uint64_t holder = 0;
    std::uint64_t slotRequestId = 0;
    std::uint64_t grantId = 0;
    std::string target;
    std::string address;
    milliseconds waited { 0 };
};

struct slot_refusal {
    std::uint64_t holder = 0;
    std::uint64_t slotRequestId = 0;
    failure reason; ///< Its verdict is always not_run.
};

/// Asks the holder of a bulk grant to stop its item at once. The holder still has to release the grant.
struct grant_revocation {
    std::uint64_t holder = 0;
    std::uint64_t grantId = 0;
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
};

/// A target as configured in the settings.
struct target_description {
    std::string name;
    std::string address;
    unsigned slots = 8;
    bool drain = false;
};

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

/// Load at one target beyond the grants of this dispatcher, estimated from the target's load reports, which
/// lag, and from missing reports. Slots may be occupied by requests granted by a previous dispatcher or by
/// another one during a network partition, and by requests of a crashed holder. Without the reports this
/// dispatcher would count those slots as free.
class target_load {
public:
    target_load() = default;
    /// `polled`: whether the target is polled for load reports whenever startPollIfDue() returns true.
    target_load(bool polled, steady_time now);

    /// Slots occupied by requests that this dispatcher did not grant. A new target counts as full, with all
    /// its `slots`, for a short time until its first report.
    unsigned slotsUsedByOthers(unsigned slots, steady_time now) const;
    /// Whether the target has announced that it accepts no new requests.
    bool leaving(steady_time now) const;
    /// Slot count from the last report; unset if the report is outdated or has none.
    std::optional<unsigned> slots(steady_time now) const;
    double memoryUsed() const { return m_last.memoryUsed; }
    /// Whether a report, or a refusal in place of one, has been received.
    bool hasReported() const { return m_reportTime != steady_time {}; }
    /// Whether the target has not answered several polls in a row.
    bool unresponsive() const;

    /// Records the number of own grants before it changes, and with each report.
    void recordOwnGrants(unsigned own, steady_time now);
    /// Records the end of an own request, because a lagging report may still list it.
    void recordFinished(std::string requestId, steady_time now);
    /// `granted`: ids of the requests that hold a grant at the target now; `own`: number of these grants.
    void report(
        const load_report& report, const std::set<std::string_view>& granted, unsigned own, steady_time now);
    /// The target did not answer a poll.
    void recordMiss(steady_time now);
    /// The target refused a request because it accepts none. This counts as a report that it is shutting down
    /// and holds until the next report.
    void markUnavailable(steady_time now);
    /// Whether a poll is due. If so it is marked as pending until its answer, or the lack of one, is
    /// recorded.
    bool startPollIfDue(steady_time now);
    /// Makes a poll due at once after an event that puts the known load in doubt.
    void pollNow(steady_time now) { m_nextReport = now; }
    /// Makes a poll due after the short report interval at the latest.
    void pollSoon(steady_time now);

private:
    bool fresh(steady_time now) const;
    void removeOldFinished(steady_time now);
    unsigned countRunsOfOthers(const std::set<std::string_view>& granted, steady_time now);

    bool m_polled = false;
    steady_time m_addedAt;
    load_report m_last;
    steady_time m_reportTime;
    steady_time m_nextReport;
    bool m_pollPending = false;
    unsigned m_missed = 0; ///< Consecutive polls without an answer.
    unsigned m_runsOfOthers = 0; ///< From the last report, if it lists its runs.
    unsigned m_grantsAtReport = 0; ///< Peak of own grants in the time that the report may describe.
    std::deque<std::pair<steady_time, unsigned>> m_ownPeaks; ///< Recent peaks of own grants.
    std::deque<std::pair<steady_time, std::string>> m_finished;
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

// --- Target health

/// Ejects a failing target and probes it before it is used again. After several consecutive failures the
/// target gets no requests for a time that doubles with each failed probe, then one at a time until enough of
/// them succeed.
class target_health {
public:
    enum class state : std::uint8_t { healthy, ejected, probing };

    void succeeded(steady_time now);
    void failed(steady_time now);
    state at(steady_time now) const;
    unsigned consecutiveFailures() const { return m_failures; }

private:
    unsigned m_failures = 0;
    unsigned m_probesPassed = 0;
    unsigned m_ejections = 0;
    bool m_ejected = false;
    steady_time m_until;
};

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

    /// Removes and returns the requests whose deadline has passed.
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
    bool precedes(const waiting_request& left, const waiting_request& right) const;
    template <typename Predicate> std::vector<slot_request> takeIf(Predicate predicate);

    order m_order;
    std::map<std::string, backlog, std::less<>> m_customers;
    double m_virtualTime = 0;
    std::uint64_t m_arrivals = 0;
    std::size_t m_size = 0;
};

// --- Prefix affinity

/// Targets to which prompt prefixes were sent recently. These are hints: a target may have evicted the prefix
/// from its cache since.
class prefix_index {
public:
    explicit prefix_index(
        std::size_t capacity = 16384, std::chrono::seconds maxAge = std::chrono::seconds { 600 })
        : m_capacity(capacity)
        , m_maxAge(maxAge)
    {
    }

    void record(std::span<const std::uint64_t> prefixes, std::string_view target, steady_time now);
    /// Number of leading blocks that the target probably has in its cache.
    std::size_t matchedBlocks(
        std::span<const std::uint64_t> prefixes, std::string_view target, steady_time now) const;
    void eraseTarget(std::string_view target);

private:
    struct hint {
        std::vector<std::string> targets;
        steady_time seen;
    };
    std::size_t m_capacity;
    std::chrono::seconds m_maxAge;
    std::unordered_map<std::uint64_t, hint> m_hints;
    std::deque<std::uint64_t> m_insertionOrder;
};

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

// --- Targets in use

/// Key by which targets are activated in ascending order. It is the same in every process, so that the next
/// dispatcher of a group uses the same targets as the previous one and polls them for the work it left there.
std::uint64_t activationOrder(std::string_view target);

/// Targets of a group that are not in use. Only their descriptions are kept; they are not polled.
class standby_targets {
public:
    void add(target_description target);
    bool remove(std::string_view name);
    std::optional<target_description> popFirst();
    /// Activation order of the target that popFirst() would return. There must be one.
    std::uint64_t firstActivationOrder() const { return m_targets.begin()->first.first; }
    std::vector<std::string> names() const;
    bool empty() const { return m_targets.empty(); }
    std::size_t size() const { return m_targets.size(); }

private:
    std::map<std::pair<std::uint64_t, std::string>, target_description> m_targets; ///< By activationOrder().
};

/// Peak number of slots that a group needed recently.
class demand_history {
public:
    /// Records the number of slots that are granted or waited for.
    void record(std::size_t slots, steady_time now);
    /// Number of slots that the targets in use should have in total.
    std::size_t desiredSlots() const;

private:
    std::deque<std::pair<std::chrono::seconds, std::size_t>> m_peaks; ///< Peak of each second.
};

/// Size of the working set: the targets in use and their slots.
struct working_set_state {
    std::size_t targets = 0;
    std::size_t totalSlots = 0; ///< Of all targets in use.
    std::size_t usableSlots = 0; ///< Of the targets in use that accept requests.
    std::size_t desiredSlots = 0;
};

/// Whether another target has to be activated.
bool needsMoreTargets(const working_set_state& state, std::size_t minTargets);
/// Whether a target with this number of slots is no longer needed.
bool canDeactivate(const working_set_state& state, std::size_t slots, std::size_t minTargets);

// --- Target group

/// Counts live arrivals in short intervals to find out how many arrive at once in a busy one.
class arrival_history {
public:
    void record(steady_time now);
    /// 95th percentile of the arrivals per interval over the last seconds.
    unsigned p95Arrivals(steady_time now) const;

private:
    /// Number of each interval and its arrivals; intervals without arrivals are left out.
    std::deque<std::pair<std::int64_t, unsigned>> m_intervals;
};

/// Tracks how long periods of overload last, to tell refused callers when to retry.
class overload_periods {
public:
    /// A live request was refused because no slot was available in time.
    void recordRefusal(steady_time now);
    /// Delay after which a request that is refused now should be retried: the length of a whole period, not
    /// the remainder of the current one. A caller that returns at the end of the period meets the queue that
    /// it has left behind, and one that returns earlier spends its retry on another refusal.
    milliseconds retryDelay(steady_time now) const;

private:
    steady_time m_periodStart;
    steady_time m_last;
    double m_refusals = 0;
    double m_meanLengthMs = 1700; ///< Initial estimate until a period has been observed.
};

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
    /// Whether the targets returned by reportsDue() are polled for load reports.
    bool pollsLoadReports = false;
    /// Minimum number of targets in use, if the group has as many; more are activated as needed. It is large
    /// enough that requests find other targets that have already reported, both after the loss of a tenth of
    /// the targets and at the start of a load peak.
    std::size_t minTargets = 32;
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
    std::size_t bulkWaiting = 0;
    double bulkWindow = 0;
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

    void setOptions(group_options options);
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

private:
    struct target_state {
        target_description description;
        target_health health;
        target_load load;
        unsigned live = 0;
        unsigned bulk = 0;
        unsigned revoked = 0; ///< Revoked bulk grants that have not been released yet.
        steady_time refusedUntil; ///< End of the pause after the target refused a request.
        std::deque<steady_time> liveReleaseTimes; ///< Release times of slots that are kept for live requests.
    };
    struct grant_record {
        slot_request request;
        std::string target;
        steady_time since;
        steady_time expiresAt;
        bool revoked = false;
    };

    bool usable(const target_state& target, steady_time now) const;
    unsigned slotsOf(const target_state& target, steady_time now) const;
    unsigned slotsUsedByOthers(const target_state& target, steady_time now) const;
    bool allTargetsUnresponsive() const;
    unsigned freeSlots(const target_state& target, steady_time now) const;
    /// Free slots that bulk work may use.
    unsigned spareSlots(const target_state& target, steady_time now) const;
    double costOf(const slot_request& request, const target_state& target, steady_time now) const;
    target_state* chooseTarget(const slot_request& request, bool needFreeSlot, steady_time now);
    bool refuseIfUnservable(const slot_request& request, steady_time now);
    milliseconds expectedWait(const slot_request& request, steady_time now) const;
    /// Refuses a live request because of overload.
    void refuseForLoad(const slot_request& request, std::string message, steady_time now);
    bulk_policy_input policyInput(steady_time now) const;
    void grantSlot(slot_request request, target_state& target, steady_time since, steady_time now);
    void assignSlots(steady_time now);
    bool assignLiveSlot(steady_time now);
    bool assignBulkSlot(steady_time now);
    void revokeForLive(steady_time now);
    void revoke(std::uint64_t grantId);
    void removeGrant(std::uint64_t grantId, steady_time now);
    void updateTarget(const target_description& description, steady_time now);
    void removeTarget(std::string_view name);
    working_set_state workingSet(steady_time now) const;
    void activateTarget(target_description description, steady_time now);
    void activateNeededTargets(steady_time now);
    void activatePrecedingTargets(steady_time now);
    void deactivateIdleTargets(steady_time now);
    void keepSlotForLive(target_state& target, steady_time now) const;
    void adaptBulkWindow(steady_time now);
    void refuse(const slot_request& request, failure reason);
    void refuseExpired(steady_time now);

    group_options m_options;
    std::map<std::string, target_state, std::less<>> m_targets; ///< In use.
    standby_targets m_standby;
    demand_history m_demand;
    steady_time m_nextDeactivation;
    fair_queue m_live;
    fair_queue m_bulk;
    std::map<std::uint64_t, grant_record> m_grants;
    prefix_index m_prefixes;
    std::minstd_rand m_random; ///< Used with `randomChoice` only; same seed in every process.
    std::vector<decision> m_decisions;
    std::uint64_t m_nextGrant = 1;
    double m_serviceTimeMs = 0; ///< Moving average of the time for which live grants are held.
    double m_window = 0.25;
    bool m_liveDelayed = false;
    bool m_bulkWindowFull = false;
    steady_time m_nextAdaptation;
    arrival_history m_arrivals;
    overload_periods m_overloadPeriods;
    steady_time m_lastRequestTime;
};

/// Name of a group: service, zone and number. Groups have at most `targetsPerGroup` targets.
std::string groupName(std::string_view service, std::string_view zone, std::size_t number);
constexpr std::size_t targetsPerGroup = 8;

} // namespace yuccachute
