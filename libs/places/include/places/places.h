#pragma once

#include "dispatch/dispatch.h"
#include "event_loop/event_loop.h"
#include "limits/limits.h"
#include "messages/messages.h"
#include "routing/routing.h"
#include "rpc/rpc.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

/// Finding a place at a target: asks the dispatchers of the service's targets, zone by zone, and hosts the
/// groups that this process is dispatcher of. Layer: processes.
namespace yuccachute {

/// An entry that can be dispatcher.
struct dispatcher_info {
    std::string vm;
    std::string zone;
    std::string address; ///< host:port for other processes.
    bool large = true; ///< Its VM is one of the larger ones of its zone.
};

/// What is wanted.
struct slot_requirements {
    std::string requestId; ///< For logs.
    std::string service;
    std::string customer;
    double weight = 1; ///< The customer's share when places are short, against those of others.
    bool begun = false; ///< The request has run in part at another target.
    work_class workClass = work_class::live;
    double cost = 1; ///< Tokens expected.
    std::vector<std::uint64_t> prefixes; ///< Hashes of the prompt's leading parts.
    std::string avoid; ///< Target that has just failed this request.
    steady_time grantDeadline; ///< Latest useful time of a grant.
    milliseconds hold { 0 }; ///< Longest use of the place.
    steady_time due; ///< Bulk only.
};

/// A place at a target, to be given back exactly once.
struct held_slot {
    std::string group;
    std::string dispatcher; ///< Address; empty if it is this process.
    std::uint64_t grantId = 0;
    std::string target;
    std::string address;
    std::string zone;
    milliseconds waited { 0 };
};

/// A request for a place that is under way. Dropping it withdraws it.
class slot_acquisition {
public:
    virtual ~slot_acquisition() = default;
};

/// Asks targets for their load.
class load_report_source {
public:
    using callback = std::function<void(result<load_report>)>;

    virtual ~load_report_source() = default;
    /// Exactly one answer comes, later; a failure after a fraction of a second if the target is silent.
    virtual void ask(const std::string& address, callback done) = 0;
};

/// How targets are given to requests on a platform: bulk work fills the spare slots, by due time.
group_options defaultGroupOptions();

class limit_gate;

/// The groups of targets that this process is dispatcher of. On the loop's thread.
class group_host {
public:
    /// Sends what a group has decided to the session that asked.
    using sender = std::function<void(std::uint64_t session, envelope message)>;
    /// Whether this process is the first dispatcher of a group, as far as it knows.
    using ownership = std::function<bool(const std::string& group)>;

    /// Two dispatchers of one group each fill the slots with bulk work that the other does not see and cannot
    /// ask back; live requests then find their targets full. So only the first one gives places to bulk work,
    /// and one that is not first any more asks its own back.
    ///
    /// A dispatcher sees only the places that it has given. Work that its predecessor placed, that another
    /// one placed across a cut, or whose holder has died holds slots that it takes for free; live requests
    /// then wait in the target's own queue. With a source of load reports it learns of such work; the source
    /// may be null.
    ///
    /// Live work is granted within its customers' limits; null for none.
    group_host(event_loop& loop, sender send, ownership first, load_report_source* loads,
        const group_options& options, distributed_rate_limiter* limits = nullptr);
    ~group_host();

    /// All targets of the fleet, and what has changed among them; a group has those of one service in one
    /// zone. The directory has to outlive this object.
    void setTargets(const target_directory& targets, std::span<const target_change> changes, steady_time now);
    /// Takes what a session sent. The session's answer to each ask comes through the sender, at once if it
    /// can be decided; otherwise an acknowledgement, which tells a queue from a dead dispatcher.
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
    std::vector<target_description> targetsOf(const std::string& name) const;
    /// Whether any of the changes concerns the group.
    bool takeChanges(const std::string& name, target_group& group, std::span<const target_change> changes,
        steady_time now) const;
    void deliver(const std::string& name, hosted_group& hosted);
    void keepTicking();
    void tick();
    void askForReports(const std::string& name, hosted_group& hosted, steady_time now);
    void takeReport(const std::string& name, const std::string& target, const result<load_report>& report);

    void receivedAsk(std::uint64_t session, ask_message one, envelope& acknowledgement, steady_time now);
    void received(const release_message& message, steady_time now);

    load_report_source* m_loads;
    std::unique_ptr<limit_gate> m_gate;
    group_options m_options;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< Answers may come after the end.
    sender m_send;
    ownership m_first;
    const target_directory* m_targets = nullptr;
    std::map<std::string, hosted_group> m_groups;
    /// Armed while a group has something to decide. Most processes of a large fleet are dispatcher of
    /// nothing: a tick of 10 ms in each of 300 cost them more processor time than their requests.
    loop_timer m_tick;
};

/// Figures of a broker, for metrics.
struct slot_broker_stats {
    std::uint64_t asks = 0;
    std::uint64_t grants = 0;
    std::uint64_t grantsInOtherZones = 0; ///< In another zone than this process's.
    std::uint64_t refusals = 0;
    std::uint64_t unresponsiveDispatchers = 0;
};

/// Asks for places. On the loop's thread, but for the calls of peer_handler, which come from the transport.
class slot_broker final {
public:
    using granted = std::function<void(result<held_slot>)>;
    using revoked = std::function<void()>;

    /// The process's own address is empty if it is no entry: then it hosts no group, and needs neither load
    /// reports nor limits.
    slot_broker(event_loop& loop, rpc_client& client, dispatcher_info self,
        load_report_source* loads = nullptr, const group_options& options = defaultGroupOptions(),
        distributed_rate_limiter* limits = nullptr);
    ~slot_broker();
    slot_broker(const slot_broker&) = delete;
    slot_broker& operator=(const slot_broker&) = delete;

    void setDispatchers(std::vector<dispatcher_info> dispatchers);
    /// With whom customers' limits are shared.
    void setLimitMembers(std::span<const limit_member> members);
    /// The directory has to outlive this object.
    void setTargets(const target_directory& targets, std::span<const target_change> changes, steady_time now);
    /// The customers' limits have been set anew.
    void limitsChanged();

    /// Asks for a place; exactly one answer comes, later. A refusal's retryAfter says when to come back.
    std::shared_ptr<slot_acquisition> acquire(slot_requirements request, granted done);
    /// Calls the function when the dispatcher wants the place back. It stays taken until it is released.
    void onRevoked(const held_slot& taken, revoked notify);
    void release(const held_slot& taken, grant_outcome outcome, milliseconds firstToken);

    // Streams that peers have opened to this process; from any thread.
    void sessionOpened(std::uint64_t session, std::function<void(envelope)> send);
    void sessionReceived(std::uint64_t session, envelope message);
    void sessionClosed(std::uint64_t session);

    const slot_broker_stats& figures() const;
    std::map<std::string, group_summary> summaries(steady_time now) const;

private:
    struct impl;
    std::shared_ptr<impl> m_impl;
};

/// Availability zones that had no room for bulk work a moment ago.
///
/// At a live peak all items wait, and each that asked all zones again on each try made the dispatchers answer
/// refusals instead of live requests: 1,000 waiting items, five zones and a try every 400 ms would be
/// 12,000 asks a second. So a zone that has just refused one item of a process is not asked at once for its
/// others; they wait in a queue, and one of them finds out when there is room again.
class full_zones {
public:
    void noteFull(std::string_view zone, steady_time now);
    void noteRoom(std::string_view zone);
    bool full(std::string_view zone, steady_time now) const;

private:
    std::map<std::string, steady_time, std::less<>> m_until;
};

/// Entries that may be dispatcher of a group, the responsible one first: those of its zone before the others,
/// and among these those on larger VMs. A dispatcher hears of each request of its zone, and answers within a
/// few milliseconds or makes all of them late: with 20 targets and 110 live requests a second the busiest
/// entry of a zone takes 0.13 cores on average, more than a VM of 0.12 cores has.
std::vector<dispatcher_info> rankDispatchers(
    const std::string& group, std::string_view zone, std::span<const dispatcher_info> dispatchers);

} // namespace yuccachute
