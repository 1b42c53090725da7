#pragma once

#include "dispatch/dispatch.h"
#include "event_loop/event_loop.h"
#include "limits/limits.h"
#include "messages/messages.h"
#include "origins/origins.h"
#include "routing/routing.h"
#include "rpc/rpc.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

/// Acquires slots at targets: requests them from the dispatchers of the service's target groups, zone by
/// zone, and hosts the target groups that this process is a dispatcher of. Layer: processes.
namespace yuccachute {

/// An entry process that can be dispatcher of target groups.
struct dispatcher_info {
    std::string vm;
    std::string zone;
    std::string address; ///< host:port at which other processes reach it.
    bool large = true; ///< Its VM is one of the larger VMs of its zone.
};

/// What a request needs of a slot, and how long it can wait for one.
struct slot_requirements {
    std::string requestId; ///< For logs.
    std::string service;
    std::string customer;
    double weight = 1; ///< The customer's weight against other customers when slots are scarce.
    bool begun = false; ///< The request has already run in part at another target.
    work_class workClass = work_class::live;
    double cost = 1; ///< Expected number of tokens.
    std::vector<std::uint64_t> prefixes; ///< Chained hashes of the prompt's leading blocks.
    std::string avoid; ///< Target that has just failed this request.
    steady_time grantDeadline; ///< A grant after this time is of no use.
    milliseconds hold { 0 }; ///< Longest time for which the slot may be held.
    steady_time due; ///< When the batch job is due; bulk work only.
    double remainingEvents = 0; ///< Expected number of events of the run; bulk work only, 0 if unknown.
    std::uint32_t producedEvents = 0; ///< Events produced by earlier runs; bulk work only.
    milliseconds age { 0 }; ///< Time since the caller's first attempt; 0 if unknown or for the first attempt.
    milliseconds maxEventInterval { 0 }; ///< Objective for the time between two events; 0 for none.
    /// Software version that the target must have, because one of this version began the stream; unset if any
    /// will do.
    std::optional<std::string> version;
};

/// A granted slot at a target. It must be released exactly once.
struct held_slot {
    std::string group;
    std::string dispatcher; ///< Address; empty if this process is the dispatcher.
    std::uint64_t grantId = 0;
    std::string target;
    std::string address;
    std::string zone;
    milliseconds waited { 0 };
    /// Software version of the target; unset if neither the dispatcher nor this process knows it.
    std::optional<std::string> version;
};

/// How a granted slot was used. The figures are of the stream from the target, and zero if unknown.
struct slot_usage {
    grant_outcome outcome = grant_outcome::ok;
    milliseconds firstToken { 0 }; ///< Time from sending the request to the first event.
    std::uint32_t events = 0; ///< Number of events received.
    std::chrono::microseconds eventInterval { 0 }; ///< Mean time between events.
};

/// A pending request for a slot. Destroying this object withdraws the request.
class slot_acquisition {
public:
    virtual ~slot_acquisition() = default;
};

/// What is known of the origin of a stream.
struct origin_answers {
    std::optional<stream_origin> origin; ///< Unset if no process that answered has a record.
    bool complete = true; ///< False if a process that may have a record did not answer.
    version_evidence evidence; ///< Of all processes that answered.
};

using origin_callback = std::function<void(origin_answers)>;

/// A pending search for the origin of a stream. Destroying this object ends it.
class origin_search {
public:
    virtual ~origin_search() = default;
};

/// Fetches load reports from targets.
class load_report_source {
public:
    using callback = std::function<void(result<load_report>)>;

    virtual ~load_report_source() = default;
    /// Calls `done` exactly once, asynchronously; with a failure after a fraction of a second if the target
    /// does not respond.
    virtual void ask(const std::string& address, callback done) = 0;
    /// Like ask(), but only the start with this id may respond: it fails with failure_kind::gone if another
    /// start responds. The question is sent over a connection of its own, on which no answer to an earlier
    /// request can arrive.
    virtual void askStart(const std::string& address, const std::string& target, callback done) = 0;
};

/// Options of the target groups on a platform: bulk work fills all spare slots, ordered by due time.
group_options defaultGroupOptions();

class limit_gate;

/// Hosts the target groups that this process is a dispatcher of. All calls are made on the event loop's
/// thread.
class group_host {
public:
    /// Sends the decisions of a group to the session whose requests they answer.
    using sender = std::function<void(std::uint64_t session, envelope message)>;
    /// Whether this process is the primary dispatcher of a group, according to what it knows. The primary is
    /// the highest-ranked dispatcher that responds.
    using primary_check = std::function<bool(const std::string& group)>;

    /// If two dispatchers of a group both granted slots to bulk work, each would fill slots with work that
    /// the other can neither see nor revoke, and live requests would find all targets full. Therefore only
    /// the primary dispatcher grants slots to bulk work, and a dispatcher that is no longer primary revokes
    /// its bulk grants.
    ///
    /// A dispatcher sees only the slots that it has granted itself. Work granted by its predecessor or by
    /// another dispatcher during a network partition, and work whose holder has died, occupies slots that the
    /// dispatcher takes for free; live requests then wait in the target's own queue. Load reports from
    /// `loads` make such work visible. `loads` may be null.
    ///
    /// Live work is granted within the rate limits of its customers. `limits` may be null for no limits.
    group_host(event_loop& loop, sender send, primary_check first, load_report_source* loads,
        const group_options& options, distributed_rate_limiter* limits = nullptr);
    ~group_host();

    /// Updates the targets of the fleet; `changes` holds the differences from the previous call. A group uses
    /// the targets of one service in one zone. `targets` must outlive this object.
    void setTargets(const target_directory& targets, std::span<const target_change> changes, steady_time now);
    /// Creates the group, unless it exists, and polls its targets before the first request arrives. Does
    /// nothing if targets are not polled.
    void prepare(const std::string& group, steady_time now);
    /// Sets the latency objectives of live requests by service. A request of another service is never taken
    /// for late.
    void setObjectives(service_objectives objectives) { m_objectives = std::move(objectives); }
    /// Handles a message from a session. Each slot request in it is answered through the sender: at once if a
    /// decision is possible, otherwise with an acknowledgement, which distinguishes a queued request from a
    /// dead dispatcher.
    void received(std::uint64_t session, envelope message, steady_time now);
    void sessionClosed(std::uint64_t session, steady_time now);
    std::map<std::string, group_summary> summaries(steady_time now) const;

private:
    struct hosted_group {
        explicit hosted_group(group_options options)
            : group(std::move(options))
        {
        }
        target_group group;
    };

    hosted_group& find(const std::string& name, steady_time now);
    /// The latency objective of a group's service; 0 if unknown.
    milliseconds objectiveOf(std::string_view group) const;
    std::vector<target_description> targetsOf(const std::string& name) const;
    /// Applies the changes that concern the group. Returns whether there were any.
    bool applyChanges(const std::string& name, target_group& group, std::span<const target_change> changes,
        steady_time now) const;
    void sendDecisions(const std::string& name, hosted_group& hosted);
    void armTick();
    void tick();
    void requestReports(const std::string& name, hosted_group& hosted, steady_time now);
    void handleReport(const std::string& name, const std::string& target, const result<load_report>& report);

    void handleSlotRequest(
        std::uint64_t session, ask_message one, envelope& acknowledgement, steady_time now);
    void received(const release_message& message, steady_time now);

    load_report_source* m_loads;
    std::unique_ptr<limit_gate> m_limitGate;
    group_options m_options;
    std::shared_ptr<bool> m_alive
        = std::make_shared<bool>(true); ///< Load reports may arrive after the destructor.
    sender m_send;
    primary_check m_isPrimary;
    const target_directory* m_targets = nullptr;
    service_objectives m_objectives;
    std::map<std::string, hosted_group> m_groups;
    /// Armed only while a group has pending work. Most processes of a large fleet are dispatcher of no group:
    /// with a permanent tick of 10 ms, 300 such processes spent more processor time on ticks than on their
    /// requests.
    loop_timer m_tick;
};

/// Counters of a slot broker, exported as metrics.
struct slot_broker_stats {
    std::uint64_t asks = 0;
    std::uint64_t grants = 0;
    std::uint64_t grantsInOtherZones = 0; ///< Outside this process's own zone.
    std::uint64_t refusals = 0;
    std::uint64_t unresponsiveDispatchers = 0;
};

/// Acquires slots at targets. All calls are made on the event loop's thread, except for the session
/// functions, which the transport's threads call.
class slot_broker final {
public:
    using granted = std::function<void(result<held_slot>)>;
    using revoked = std::function<void()>;

    /// `self.address` is empty for a process that is not an entry: it hosts no groups, and needs neither load
    /// reports nor limits.
    slot_broker(event_loop& loop, rpc_client& client, dispatcher_info self,
        load_report_source* loads = nullptr, const group_options& options = defaultGroupOptions(),
        distributed_rate_limiter* limits = nullptr);
    ~slot_broker();
    slot_broker(const slot_broker&) = delete;
    slot_broker& operator=(const slot_broker&) = delete;

    void setDispatchers(std::vector<dispatcher_info> dispatchers);
    /// Sets the processes that share the customers' limits with this one.
    void setLimitMembers(std::span<const limit_member> members);
    /// `targets` must outlive this object.
    void setTargets(const target_directory& targets, std::span<const target_change> changes, steady_time now);
    /// Prepares the groups of the own zone of which this process is the primary dispatcher. To be called when
    /// targets or dispatchers become known to a process that has just started: with the first request, every
    /// target would count as full until its first report.
    void prepareGroups(steady_time now);
    /// Sets the latency objectives of live requests by service.
    void setObjectives(service_objectives objectives);
    /// To be called after the customers' limits have changed.
    void limitsChanged();

    /// Requests a slot. `done` is called exactly once, asynchronously. The retryAfter of a failure says when
    /// to try again.
    std::shared_ptr<slot_acquisition> acquire(slot_requirements request, granted done);
    /// Calls `notify` when the dispatcher revokes the grant. The slot stays in use until it is released.
    void onRevoked(const held_slot& taken, revoked notify);
    void release(const held_slot& taken, const slot_usage& usage);

    /// Tells the processes that callers may turn to next where a stream began. A stream can be resumed for
    /// `validFor` at most.
    void recordOrigin(const stream_origin& origin, milliseconds validFor);
    /// Searches the origin of a stream. `done` is called exactly once, asynchronously and within some 50 ms,
    /// unless the returned object is destroyed before.
    std::shared_ptr<origin_search> findOrigin(const origin_query& query, origin_callback done);

    // Grant streams that peers have opened to this process. These functions are thread-safe.
    void sessionOpened(std::uint64_t session, std::function<void(envelope)> send);
    void sessionReceived(std::uint64_t session, envelope message);
    void sessionClosed(std::uint64_t session);

    const slot_broker_stats& figures() const;
    std::map<std::string, group_summary> summaries(steady_time now) const;

private:
    struct impl;
    std::shared_ptr<impl> m_impl;
};

/// Remembers availability zones that recently had no free slot for bulk work.
///
/// During a live load peak all items wait. If each of them requested a slot in every zone on each attempt,
/// the dispatchers would be busy refusing items instead of serving live requests: 1,000 waiting items, five
/// zones and an attempt every 400 ms would make 12,000 slot requests a second. Therefore a zone that has just
/// refused one item of a process is skipped by the other items of this process. They wait in a queue, and one
/// of them finds out when slots are free again.
class full_zone_cache {
public:
    void markFull(std::string_view zone, steady_time now);
    void markAvailable(std::string_view zone);
    bool isFull(std::string_view zone, steady_time now) const;

private:
    std::map<std::string, steady_time, std::less<>> m_until;
};

/// Ranks the entries that may be dispatcher of a group, with the preferred one first: entries of the group's
/// zone before all others, and among these the entries on larger VMs. A dispatcher handles every request of
/// its zone and has to answer within a few milliseconds, or it delays all of them: with 20 targets and 110
/// live requests a second the busiest entry of a zone uses 0.13 cores on average, more than a VM of 0.12
/// cores has.
std::vector<dispatcher_info> rankDispatchers(
    const std::string& group, std::string_view zone, std::span<const dispatcher_info> dispatchers);

} // namespace yuccachute
