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

/// Who may send what to which target, and when: queues, fairness, bulk policy, health of targets, budgets.
/// Layer: coordination. Pure decisions: no I/O, no clock, not thread-safe.
namespace yuccachute {

enum class work_class : std::uint8_t { live, bulk };

std::string_view toString(work_class workClass);

// --- What goes in and out of a target group
// ------------------------------------------------------------------

/// Asks for a place at one of the group's targets.
struct slot_request {
    std::uint64_t holder = 0; ///< Session that asks; all its asks go when it goes.
    std::uint64_t id = 0; ///< Unique within the holder.
    std::string requestId; ///< By which the target names the run in its load report; may be empty.
    std::string customer;
    work_class workClass = work_class::live;
    double weight = 1;
    unsigned queueLimit = 1000; ///< Asks of this customer that may wait.
    double cost = 1; ///< Tokens expected, prompt and answer; the unit of fairness.
    std::vector<std::uint64_t> prefixes; ///< Chained hashes of the prompt's leading blocks.
    std::string avoid; ///< Target that has just failed this request; taken only if there is no other.
    steady_time deadline; ///< Latest useful time of a grant.
    /// The place is wanted at once or not at all, to look for one elsewhere; the deadline is not looked at.
    bool immediate = false;
    /// Longest time for which a grant may be held, should its release be lost; 0 for until the deadline.
    milliseconds hold { 0 };
    steady_time due; ///< Bulk only: when the job is due.
    bool begun = false; ///< The request has run in part at another target.
};

/// A place at a target. The holder talks to the target itself and releases the grant afterwards.
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
    failure reason; ///< Always not_run.
};

/// Tells the holder of a bulk grant to stop its item at once; it still releases the grant.
struct grant_revocation {
    std::uint64_t holder = 0;
    std::uint64_t grantId = 0;
};

using decision = std::variant<slot_grant, slot_refusal, grant_revocation>;

enum class grant_outcome : std::uint8_t {
    ok,
    refused, ///< The target refused before running: it is full or leaving.
    failed, ///< The target could not be reached, broke off or answered wrongly.
    abandoned, ///< The caller or the dispatcher gave up; says nothing about the target.
    unused ///< Nothing was sent to the target.
};

struct grant_release {
    std::uint64_t grantId = 0;
    grant_outcome outcome = grant_outcome::ok;
    milliseconds firstToken { 0 }; ///< From send to first token; zero if unknown.
    double tokens = 0;
};

/// A target as the settings describe it.
struct target_description {
    std::string name;
    std::string address;
    unsigned slots = 8;
    bool drain = false;
};

/// What a target reports of itself. It lags behind.
struct load_report {
    unsigned running = 0;
    unsigned queued = 0;
    unsigned slots = 0; ///< 0: not told.
    double memoryUsed = 0; ///< Share of KV memory in use, from 0 to 1.
    bool leaving = false;
    /// Ids of the requests that run; nothing if the target does not tell them.
    std::optional<std::vector<std::string>> runs;
};

/// What a dispatcher knows of the work at one target beyond the places that it has given: from the target's
/// reports, which lag, and from their absence. Work of its predecessor, of another dispatcher across a cut,
/// or of a holder that has died holds slots that the dispatcher would take for free.
class target_load {
public:
    target_load() = default;
    /// `asked`: whether the target is asked for reports when takeDue() says so.
    target_load(bool asked, steady_time now);

    /// Slots that work of others holds, of so many.
    unsigned foreignWork(unsigned slots, steady_time now) const;
    /// It said that it takes nothing new.
    bool leaving(steady_time now) const;
    /// Slots that it has told, if it has.
    std::optional<unsigned> slots(steady_time now) const;
    double memoryUsed() const { return m_last.memoryUsed; }
    /// It has reported at least once.
    bool known() const { return m_reportTime != steady_time {}; }
    /// It has missed reports in a row.
    bool silent() const;

    /// The number of own grants has changed, or is about to.
    void noteOwn(unsigned own, steady_time now);
    /// An own request has ended; a report that lags may still name it.
    void ended(std::string requestId, steady_time now);
    /// `granted`: ids of the requests that have a place there now.
    void report(
        const load_report& report, const std::set<std::string_view>& granted, unsigned own, steady_time now);
    /// The target has not answered when it was asked.
    void missed(steady_time now);
    /// Its own word, in place of an answer to a request, that it takes nothing: believed until its next
    /// report.
    void refusedByItself(steady_time now);
    /// Whether to ask for a report now; then not again before its answer, or the lack of one.
    bool takeDue(steady_time now);
    /// Something happened that makes what is known doubtful.
    void askNow(steady_time now) { m_nextReport = now; }
    void askSoon(steady_time now);

private:
    bool fresh(steady_time now) const;
    void forgetEnded(steady_time now);
    unsigned unknownRuns(const std::set<std::string_view>& granted, steady_time now);

    bool m_asked = false;
    steady_time m_listedSince;
    load_report m_last;
    steady_time m_reportTime;
    steady_time m_nextReport;
    bool m_waiting = false; ///< For an answer.
    unsigned m_missed = 0; ///< In a row.
    unsigned m_foreignRuns = 0; ///< Of the last report that named its runs.
    unsigned m_grantsAtReport = 0; ///< Most own grants at once in the time that the report may stem from.
    std::deque<std::pair<steady_time, unsigned>> m_ownPeaks; ///< Own grants lately, for that.
    std::deque<std::pair<steady_time, std::string>> m_ended;
};

// --- Policies for bulk work
// ----------------------------------------------------------------------------------

/// No bulk work at all.
struct no_bulk { };

/// Baseline: every ask is granted on arrival, live and bulk alike; the targets' own queues decide.
struct unlimited_bulk { };

/// Baseline: a fixed number of items per target.
struct fixed_bulk {
    unsigned window = 4;
};

/// Bulk work fills measured slack only: free slots less a reserve for live arrivals, within a window that
/// grows additively while live requests are well and is halved when they are not. The reserve need last only
/// until revoked items have left their targets: it is what arrived in the busiest such spans of the last
/// seconds.
struct adaptive_bulk {
    double reserve = 0.05; ///< Least share of all slots kept free for live arrivals.
    milliseconds firstTokenObjective { 610 };
    milliseconds longestLiveWait { 10 }; ///< A live request that waited longer counts as harm.
};

/// Bulk work fills every free slot, and gives them back as live requests come. For targets that drop a run as
/// soon as its connection closes and resume it anywhere for the price of reading its prompt again: there a
/// revocation costs a live request a few milliseconds, and slots that are kept free for live requests are
/// lost.
struct spare_bulk { };

using bulk_policy = std::variant<no_bulk, unlimited_bulk, fixed_bulk, adaptive_bulk, spare_bulk>;

/// Whether places of bulk work are asked back for live requests.
bool revokes(const bulk_policy& policy);

/// What a policy decides from.
struct bulk_situation {
    unsigned slots = 0; ///< Of all usable targets together.
    unsigned live = 0; ///< Live requests running.
    unsigned arrivals = 0; ///< Live requests that arrive within the time of a revocation, on a busy span.
    unsigned targets = 0;
    unsigned liveWaiting = 0;
    double window = 1; ///< Share of the slots that bulk may use at most, moved by adaptation.
};

/// Most bulk items that may run in the group in this situation.
unsigned bulkAllowance(const bulk_policy& policy, const bulk_situation& situation);

/// Moves the adaptive window after one interval. Harm is a live request that waited or got its first token
/// late.
double adaptWindow(double window, bool liveHarmed, bool windowWasFull);

// --- Health of one target
// ------------------------------------------------------------------------------------

/// Gradual ejection and probing. A target that fails repeatedly gets nothing for a while that doubles with
/// each failed probe, then one request at a time until it has proved itself.
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

// --- Waiting asks
// --------------------------------------------------------------------------------------------

/// Start-time fair queueing over customers, work-conserving: a customer may use all that is idle, and one
/// with a long backlog delays another by no more than its share.
class fair_queue {
public:
    enum class order : std::uint8_t {
        fair,
        arrival, ///< Baseline: first in, first out.
        due ///< What is due first goes first; what is overdue goes last, because it is late in any case.
    };

    explicit fair_queue(order queueOrder = order::fair)
        : m_order(queueOrder)
    {
    }

    void push(slot_request ask, steady_time now);
    bool empty() const { return m_size == 0; }
    std::size_t size() const { return m_size; }
    std::size_t sizeOf(std::string_view customer) const;

    /// Share of the service that a customer gets now, between 0 and 1, if it joins.
    double shareOf(std::string_view customer, double weight) const;

    /// The next ask in order, or null.
    const slot_request* front() const;
    /// Removes the next ask and returns it with the time for which it waited.
    std::pair<slot_request, steady_time> pop();

    /// Removes and returns asks past their deadline.
    std::vector<slot_request> takeExpired(steady_time now);
    bool remove(std::uint64_t holder, std::uint64_t id);
    void removeHolder(std::uint64_t holder);

private:
    struct waiting {
        slot_request ask;
        double start = 0;
        std::uint64_t arrival = 0;
        steady_time since;
        bool overdue = false; ///< When it came.

        bool dueBefore(const waiting& other) const
        {
            return overdue != other.overdue ? other.overdue : ask.due < other.ask.due;
        }
    };
    struct backlog {
        std::deque<waiting> asks;
        double lastFinish = 0;
        double weight = 1;
    };

    const backlog* next() const;
    bool goesBefore(const waiting& left, const waiting& right) const;
    template <typename Predicate> std::vector<slot_request> takeIf(Predicate predicate);

    order m_order;
    std::map<std::string, backlog, std::less<>> m_customers;
    double m_virtualTime = 0;
    std::uint64_t m_arrivals = 0;
    std::size_t m_size = 0;
};

// --- Prefix affinity
// -----------------------------------------------------------------------------------------

/// Where prompt prefixes were sent lately. Hints only: a target may have dropped the prefix since.
class prefix_index {
public:
    explicit prefix_index(
        std::size_t capacity = 16384, std::chrono::seconds maxAge = std::chrono::seconds { 600 })
        : m_capacity(capacity)
        , m_maxAge(maxAge)
    {
    }

    void record(std::span<const std::uint64_t> prefixes, std::string_view target, steady_time now);
    /// How many leading blocks the target probably holds.
    std::size_t matched(
        std::span<const std::uint64_t> prefixes, std::string_view target, steady_time now) const;
    void forgetTarget(std::string_view target);

private:
    struct hint {
        std::vector<std::string> targets;
        steady_time seen;
    };
    std::size_t m_capacity;
    std::chrono::seconds m_maxAge;
    std::unordered_map<std::uint64_t, hint> m_hints;
    std::deque<std::uint64_t> m_oldest;
};

/// Chained hashes of the leading blocks of a prompt: equal hashes mean equal text up to there.
std::vector<std::uint64_t> prefixHashes(std::string_view prompt);

// --- Budgets
// -------------------------------------------------------------------------------------------------

/// Limits a rate. One bucket holds a second's worth.
class rate_budget {
public:
    /// Returns zero and takes the amount, or the time after which it would be there. A rate of 0 is no limit.
    milliseconds take(double amount, double perSecond, steady_time now);

private:
    double m_level = 0;
    bool m_started = false;
    steady_time m_last;
};

/// Retries as a share of recent requests, so that they cannot multiply an outage. A few are always possible.
class retry_budget {
public:
    void countRequest(double share);
    bool takeRetry();

private:
    static constexpr double most = 20;
    double m_level = 5;
};

// --- The targets that a group works with
// ------------------------------------------------------------------------------------------

/// The order in which a target is taken into use among others: the same in every process, so that the next
/// dispatcher of a group goes on with the targets of the former one, and knows of their work.
std::uint64_t restOrder(std::string_view target);

/// The targets of a group that are not in use. They are known by description alone, and cost nothing else.
class resting_targets {
public:
    void put(target_description target);
    bool remove(std::string_view name);
    std::optional<target_description> takeFirst();
    /// Of the one that takeFirst() would take; there must be one.
    std::uint64_t firstOrder() const { return m_targets.begin()->first.first; }
    std::vector<std::string> names() const;
    bool empty() const { return m_targets.empty(); }
    std::size_t size() const { return m_targets.size(); }

private:
    std::map<std::pair<std::uint64_t, std::string>, target_description> m_targets; ///< By restOrder().
};

/// How many slots a group has needed lately.
class demand_history {
public:
    /// So many are taken or waited for.
    void note(std::size_t slots, steady_time now);
    /// That the targets in use should have together.
    std::size_t wantedSlots() const;

private:
    std::deque<std::pair<std::chrono::seconds, std::size_t>> m_peaks; ///< By the second.
};

struct working_set_state {
    std::size_t targets = 0; ///< In use.
    std::size_t allSlots = 0; ///< Theirs.
    std::size_t usableSlots = 0; ///< Of those that can be sent requests.
    std::size_t wantedSlots = 0;
};

/// Whether another target is to be taken into use.
bool takesMoreTargets(const working_set_state& state, std::size_t leastTargets);
/// Whether a target of so many slots is not needed any more.
bool canRest(const working_set_state& state, std::size_t slots, std::size_t leastTargets);

// --- A target group
// ------------------------------------------------------------------------------------------

/// Counts live arrivals in short spans, to tell how many come at once on a busy one.
class arrival_history {
public:
    void record(steady_time now);
    /// Arrivals in a span that only one in twenty of the last seconds exceeded.
    unsigned busySpan(steady_time now) const;

private:
    /// Number of each span with its arrivals; spans without any are left out.
    std::deque<std::pair<std::int64_t, unsigned>> m_spans;
};

/// Follows how long spells of overload last, to tell refused callers when to come back.
class overload_spells {
public:
    /// A live request found no place in time.
    void refused(steady_time now);
    /// When a request that is refused now shall come back: after as long as a whole spell lasts, not only
    /// what is left of the present one. Whoever returns to the end of a spell meets the queue that it has
    /// left, and those who return to its middle use up their retry for another refusal.
    milliseconds returnAfter(steady_time now) const;

private:
    steady_time m_begin;
    steady_time m_last;
    double m_refusals = 0;
    double m_meanMs = 1700; ///< A guess until a spell was seen.
};

struct group_options {
    bulk_policy policy = adaptive_bulk {};
    fair_queue::order order = fair_queue::order::fair;
    bool randomChoice = false; ///< Baseline: any target with room, without regard to load and prefixes.
    /// How long a target that refused a request is left alone; 0 for until its next load report.
    milliseconds refusalBackoff { 0 };
    std::optional<fair_queue::order> bulkOrder; ///< Of waiting bulk asks; as the order of live ones if unset.
    /// A slot that a live request has left is kept for the next one for so long; 0 to give it to bulk work at
    /// once.
    ///
    /// At a peak the next live request comes within milliseconds and takes it back: an item that is sent
    /// there and called back has done nothing, but its prompt and all that it has generated were read, while
    /// the target's other requests waited.
    milliseconds keptForLive { 0 };
    /// A request is refused on arrival if so many times the expected wait would be too long. At 1 a queue
    /// under overload settles where half of those that wait are refused at the end of their wait, too late to
    /// come back in time, and the others are served with no time to spare.
    double waitMargin = 1;
    /// What a cached prompt is worth at the choice of a target, in shares of its slots.
    double affinity = 0.6;
    /// Whether targets are asked for load reports when reportsDue() says so.
    bool pollsLoadReports = false;
    /// So many targets are in use at least, if there are; more as they are needed. Wide enough that the loss
    /// of a tenth of them, or the first requests of a peak, find others that have reported.
    std::size_t leastTargets = 32;
};

/// A target that is to be asked for its load.
struct report_due {
    std::string target;
    std::string address;
};

/// Figures of a group for reports.
struct group_summary {
    unsigned targets = 0;
    unsigned usableTargets = 0; ///< In use and fit for requests.
    unsigned slots = 0;
    unsigned live = 0;
    unsigned bulk = 0;
    std::size_t liveWaiting = 0;
    std::size_t bulkWaiting = 0;
    double bulkWindow = 0;
};

/// The one queue with priorities before the targets of one service in one availability zone, because the
/// targets know no priorities and admit in arrival order.
///
/// It works with as many targets as its load needs and lets the others rest: each target in use is asked for
/// its load twice a second, holds a connection, and is looked at for each request. The few that are used also
/// keep more of the prompts that come again.
class target_group {
public:
    explicit target_group(group_options options);

    void setOptions(group_options options);
    void setTargets(std::span<const target_description> targets, steady_time now);
    /// Single targets have come or changed, and others have gone.
    void changeTargets(
        std::span<const target_description> changed, std::span<const std::string> removed, steady_time now);
    void ask(slot_request ask, steady_time now);
    void withdraw(std::uint64_t holder, std::uint64_t slotRequestId, steady_time now);
    void release(const grant_release& release, steady_time now);
    /// What was asked for with a grant that is held; null if there is no such grant any more.
    const slot_request* requestOfGrant(std::uint64_t grantId) const;
    void report(std::string_view target, const load_report& report, steady_time now);
    /// The target did not answer when asked for its load.
    void reportUnreachable(std::string_view target, steady_time now);
    /// Targets to ask for their load now; each is named once until the answer, or its lack, is reported.
    std::vector<report_due> reportsDue(steady_time now);
    /// The target was named by reportsDue() and has not answered.
    void recordMissedReport(std::string_view target, steady_time now);
    /// The holder's connection is gone: its asks go, its grants stay until they lapse, because the target may
    /// still be working on them.
    void dropHolder(std::uint64_t holder, steady_time now);
    /// To be called every 20 ms or so while the group is active.
    void tick(steady_time now);
    /// Whether something may have to be decided without a further call: somebody waits or holds a place, or
    /// has asked for one within the last seconds.
    bool active(steady_time now) const;
    /// Asks for all bulk grants back: this dispatcher is no longer the one that sees all work of the targets.
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
        unsigned revoked = 0; ///< Bulk grants that were revoked and are not released yet.
        steady_time refusedUntil; ///< It said that it is full.
        std::deque<steady_time> liveLeft; ///< When live requests left slots that are kept for others.
    };
    struct grant_record {
        slot_request ask;
        std::string target;
        steady_time since;
        steady_time lapses;
        bool revoked = false;
    };

    bool usable(const target_state& target, steady_time now) const;
    unsigned slotsOf(const target_state& target, steady_time now) const;
    unsigned foreignWork(const target_state& target, steady_time now) const;
    bool allSilent() const;
    unsigned freeSlots(const target_state& target, steady_time now) const;
    /// Free slots that bulk work may take.
    unsigned spareSlots(const target_state& target, steady_time now) const;
    double costOf(const slot_request& ask, const target_state& target, steady_time now) const;
    target_state* chooseTarget(const slot_request& ask, bool needFreeSlot, steady_time now);
    bool refuseHopeless(const slot_request& ask, steady_time now);
    milliseconds expectedWait(const slot_request& ask, steady_time now) const;
    /// Refuses a live ask for lack of room.
    void refuseForLoad(const slot_request& ask, std::string why, steady_time now);
    bulk_situation situation(steady_time now) const;
    void give(slot_request ask, target_state& target, steady_time since, steady_time now);
    void pump(steady_time now);
    bool pumpLive(steady_time now);
    bool pumpBulk(steady_time now);
    void revokeForLive(steady_time now);
    void revoke(std::uint64_t grantId);
    void forgetGrant(std::uint64_t grantId, steady_time now);
    void changeTarget(const target_description& description, steady_time now);
    void removeTarget(std::string_view name);
    working_set_state workingSet(steady_time now) const;
    void use(target_description description, steady_time now);
    void useMoreTargets(steady_time now);
    void useFirstTargets(steady_time now);
    void restTargets(steady_time now);
    void keepForLive(target_state& target, steady_time now) const;
    void adapt(steady_time now);
    void refuse(const slot_request& ask, failure reason);
    void refuseExpired(steady_time now);

    group_options m_options;
    std::map<std::string, target_state, std::less<>> m_targets; ///< In use.
    resting_targets m_resting;
    demand_history m_demand;
    steady_time m_nextRest;
    fair_queue m_live;
    fair_queue m_bulk;
    std::map<std::uint64_t, grant_record> m_grants;
    prefix_index m_prefixes;
    std::minstd_rand m_random; ///< For the random baseline only; seeded the same in every process.
    std::vector<decision> m_decisions;
    std::uint64_t m_nextGrant = 1;
    double m_serviceTimeMs = 0; ///< Moving average of how long live grants are held.
    double m_window = 0.25;
    bool m_liveHarmed = false;
    bool m_windowFull = false;
    steady_time m_nextAdaptation;
    arrival_history m_arrivals;
    overload_spells m_spells;
    steady_time m_lastAsk;
};

/// A group's name: service, zone and number. Groups hold at most 8 targets.
std::string groupName(std::string_view service, std::string_view zone, std::size_t number);
constexpr std::size_t targetsPerGroup = 8;

} // namespace yuccachute
