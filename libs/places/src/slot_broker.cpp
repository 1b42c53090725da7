#include "places/places.h"

#include "limit_exchange.h"
#include "logging/logging.h"
#include "membership/membership.h"
#include "origin_exchange.h"

#include <algorithm>
#include <deque>
#include <tuple>

namespace yuccachute {

namespace {

/// A reachable dispatcher acknowledges a slot request within a few milliseconds, even on an overloaded VM. A
/// dead dispatcher delays a request by this time.
constexpr milliseconds acknowledgementTimeout { 50 };
/// A dispatcher decides on an immediate request within this fraction of the time until its grant deadline: it
/// may let the request wait for a slot that is about to become free.
constexpr int immediateWaitDivisor = 5;
/// A dispatcher that did not respond is tried last for this time.
constexpr milliseconds unresponsivePeriod { 1000 };
constexpr std::uint64_t localSession = 0;
/// Abandoned slot requests to remember, so that a late grant can be released. Late grants arrive within
/// seconds.
constexpr std::size_t maxAbandonedRequests = 1000;
/// After a live load peak, slots become free within 0.7 s, so a zone that has free slots again is detected
/// long before these have been idle for a significant time. 15 batch processes that try five zones at this
/// interval send 100 slot requests a second to each zone.
constexpr milliseconds fullZonePeriod { 150 };
/// Removed targets to remember. This covers far more time than a dispatcher can take to learn of a removal.
constexpr std::size_t maxRemovedTargets = 2000;

} // namespace

std::vector<dispatcher_info> rankDispatchers(
    const std::string& group, std::string_view zone, std::span<const dispatcher_info> dispatchers)
{
    const auto classOf = [&](const auto& info) { return std::pair(info.zone == zone, info.large); };
    std::vector<dispatcher_info> ranked;
    ranked.reserve(dispatchers.size());
    for (const auto* info : rankByHash(dispatchers, hashText(group), classOf))
        ranked.push_back(*info);
    return ranked;
}

void full_zone_cache::markFull(std::string_view zone, steady_time now)
{
    m_until.insert_or_assign(std::string(zone), now + fullZonePeriod);
}

void full_zone_cache::markAvailable(std::string_view zone)
{
    if (const auto found = m_until.find(zone); found != m_until.end())
        m_until.erase(found);
}

bool full_zone_cache::isFull(std::string_view zone, steady_time now) const
{
    const auto found = m_until.find(zone);
    return found != m_until.end() && now < found->second;
}

namespace {

/// Ids of targets that are no longer listed. A target has another id after a restart.
class removed_targets {
public:
    void add(const std::string& id)
    {
        if (m_ids.insert(id).second)
            m_oldest.push_back(id);
        if (m_oldest.size() <= maxRemovedTargets)
            return;
        m_ids.erase(m_oldest.front());
        m_oldest.pop_front();
    }
    /// The target is listed again.
    void remove(const std::string& id)
    {
        if (m_ids.erase(id) > 0)
            std::erase(m_oldest, id);
    }
    bool contains(const std::string& id) const { return m_ids.contains(id); }

private:
    std::set<std::string> m_ids;
    std::deque<std::string> m_oldest;
};

} // namespace

struct slot_broker::impl : std::enable_shared_from_this<slot_broker::impl> {
    struct link {
        std::shared_ptr<dispatcher_link> stream;
        std::uint64_t generation = 0;
    };
    class slot_search;
    using search_ptr = std::shared_ptr<slot_search>;

    impl(event_loop& eventLoop, rpc_client& rpc, dispatcher_info own, load_report_source* loads,
        const group_options& options, distributed_rate_limiter* customerLimits)
        : loop(eventLoop)
        , client(rpc)
        , self(std::move(own))
        , host(
              loop,
              [this](std::uint64_t session, envelope message) { sendToSession(session, std::move(message)); },
              [this](const std::string& group) { return isPrimary(group, std::chrono::steady_clock::now()); },
              loads, options, customerLimits)
        , limits(customerLimits)
        , origins(eventLoop,
              { [this](const std::string& address, envelope message) { send(address, std::move(message)); },
                  [this](const std::string& service, steady_time now) { return originKeepers(service, now); },
                  [this](const std::string& service, steady_time now) {
                      return possibleOriginKeepers(service, now);
                  },
                  [this](const origin_query& query, steady_time now) {
                      return versions.evidence(query.service, query.lookback, now);
                  } })
    {
        if (limits)
            exchange = std::make_unique<limit_exchange>(loop, *limits, self.address,
                limit_exchange::environment { [this](const std::string& address, envelope message) {
                                                 send(address, std::move(message));
                                             },
                    [this](steady_time now) { return isDispatcher(now); },
                    [this](const std::string& address, steady_time now) {
                        return isUnresponsive(address, now);
                    } });
    }

    /// Addresses of the group's dispatchers in order of rank. Cached until the list of dispatchers changes:
    /// with 250 dispatchers, sorting took longer than all other work for a slot request.
    const std::vector<std::string>& rankedDispatchers(const std::string& group)
    {
        auto& ranked = rankedByGroup[group];
        if (!ranked.empty() || dispatchers.empty())
            return ranked;
        const auto slash = group.find('/');
        const auto zone = group.substr(slash + 1, group.rfind('/') - slash - 1);
        for (const auto& candidate : rankDispatchers(group, zone, dispatchers))
            ranked.push_back(candidate.address);
        return ranked;
    }

    /// Whether this process is the primary dispatcher of a group: no responsive entry ranks before it.
    bool isPrimary(const std::string& group, steady_time now)
    {
        for (const auto& candidate : rankedDispatchers(group)) {
            if (candidate == self.address)
                return true;
            if (!isUnresponsive(candidate, now))
                return false;
        }
        return true;
    }

    /// Whether this process is the primary dispatcher of any group.
    bool isDispatcher(steady_time now)
    {
        for (const auto& [service, zones] : targetsByZone) {
            for (const auto& [zone, count] : zones) {
                if (isPrimary(groupName(service, zone, 0), now))
                    return true;
            }
        }
        return false;
    }

    /// The dispatchers of a group to try one after the other, those that recently failed to respond last.
    /// There are at most two: if neither responds, the zone is taken for unavailable.
    std::deque<std::string> candidates(const std::string& group, steady_time now)
    {
        constexpr std::size_t most = 2;
        std::deque<std::string> chosen;
        for (const bool wantUnresponsive : { false, true }) {
            for (const auto& address : rankedDispatchers(group)) {
                if (chosen.size() == most)
                    return chosen;
                if (isUnresponsive(address, now) == wantUnresponsive)
                    chosen.push_back(address);
            }
        }
        return chosen;
    }

    bool isUnresponsive(const std::string& address, steady_time now) const
    {
        const auto found = unresponsiveUntil.find(address);
        return found != unresponsiveUntil.end() && now < found->second;
    }

    /// Whether this process knows that a target is draining or has been removed. A dispatcher that cannot
    /// reach the store may not know this yet, and would grant slots at the target.
    bool isDrainingOrRemoved(const std::string& target) const
    {
        const auto* known = targets ? targets->find(target) : nullptr;
        return known ? known->draining : removedTargets.contains(target);
    }

    /// Zones with dispatchers, sorted by name and beginning with this process's own.
    std::vector<std::string> dispatcherZones() const
    {
        std::set<std::string> zones;
        for (const auto& dispatcher : dispatchers)
            zones.insert(dispatcher.zone);
        std::vector<std::string> rotated(zones.lower_bound(self.zone), zones.end());
        rotated.insert(rotated.end(), zones.begin(), zones.lower_bound(self.zone));
        return rotated;
    }

    /// The dispatchers of the service in this zone, which its callers' next attempts can ask as well, and one
    /// in the next zone, which remains if this zone is lost.
    std::vector<std::string> originKeepers(const std::string& service, steady_time now)
    {
        auto zones = dispatcherZones();
        zones.resize(std::min<std::size_t>(zones.size(), 2));
        return dispatchersOf(service, zones, now);
    }

    /// The same, and a dispatcher of each other zone: callers may come from any of them.
    std::vector<std::string> possibleOriginKeepers(const std::string& service, steady_time now)
    {
        return dispatchersOf(service, dispatcherZones(), now);
    }

    /// Dispatchers of the service without this process: two in the first zone, one in each other zone.
    std::vector<std::string> dispatchersOf(
        const std::string& service, const std::vector<std::string>& zones, steady_time now)
    {
        std::vector<std::string> addresses;
        for (const auto& zone : zones) {
            auto ranked = candidates(groupName(service, zone, 0), now);
            if (zone != zones.front())
                ranked.resize(std::min<std::size_t>(ranked.size(), 1));
            for (const auto& address : ranked) {
                const bool known = std::find(addresses.begin(), addresses.end(), address) != addresses.end();
                if (address != self.address && !known)
                    addresses.push_back(address);
            }
        }
        return addresses;
    }

    /// Software version of the granted target. A dispatcher of an older software version of this system does
    /// not name it.
    std::optional<std::string> versionOf(const slot_grant& given) const
    {
        if (given.version)
            return given.version;
        const auto* known = targets ? targets->find(given.target) : nullptr;
        return known ? std::optional(known->version) : std::nullopt;
    }

    /// Zones with targets of a service, sorted by name. If this process knows only some of the targets, this
    /// includes every zone with a dispatcher, because dispatchers know the targets of their groups.
    std::vector<std::string> zonesOf(const std::string& service) const
    {
        std::set<std::string> zones;
        if (const auto found = targetsByZone.find(service); found != targetsByZone.end()) {
            for (const auto& [zone, count] : found->second)
                zones.insert(zone);
        }
        if (targets && targets->partial()) {
            for (const auto& dispatcher : dispatchers)
                zones.insert(dispatcher.zone);
        }
        return { zones.begin(), zones.end() };
    }

    void countTarget(const listed_target& target);
    void uncountTarget(const listed_target& target);

    void sendToSession(std::uint64_t session, envelope message);
    void send(const std::string& address, envelope message);
    void received(const std::string& address, envelope message);
    void linkClosed(const std::string& address, std::uint64_t generation);
    /// `reply` sends to the process that the messages came from.
    void handleLimitMessages(
        const std::vector<limit_message>& messages, const std::function<void(envelope)>& reply);
    void returnUnclaimedGrant(const std::string& dispatcher, const slot_grant& given);
    void released(const std::string& dispatcher, release_message message);

    event_loop& loop;
    rpc_client& client;
    dispatcher_info self;
    group_host host;
    distributed_rate_limiter* limits; ///< May be null.
    origin_exchange origins;
    version_history versions;
    std::unique_ptr<limit_exchange> exchange; ///< Null without limits.
    std::vector<dispatcher_info> dispatchers;
    std::map<std::string, std::vector<std::string>> rankedByGroup;
    full_zone_cache fullZones; ///< For bulk work.
    std::map<std::string, std::map<std::string, std::size_t>>
        targetsByZone; ///< Number of targets by service and zone.
    const target_directory* targets = nullptr;
    removed_targets removedTargets;
    std::map<std::string, link> links;
    std::map<std::string, steady_time> unresponsiveUntil;
    std::map<std::uint64_t, std::weak_ptr<slot_search>> pendingRequests;
    std::map<std::uint64_t, std::string>
        abandonedRequests; ///< Groups of abandoned requests that may still be granted, by id.
    std::map<std::uint64_t, std::function<void(envelope)>> sessions;
    /// Callbacks for the revocation of held slots, by dispatcher, group and grant.
    std::map<std::tuple<std::string, std::string, std::uint64_t>, revoked> revocationCallbacks;
    slot_broker_stats figures;
    std::uint64_t nextRequestId = 1;
    std::uint64_t nextLinkGeneration = 1;
    bool closed = false;
};

/// The acquisition of one slot, which tries one zone after the other.
class slot_broker::impl::slot_search : public std::enable_shared_from_this<slot_search> {
public:
    slot_search(std::shared_ptr<impl> owner, slot_requirements request, granted done)
        : m_owner(std::move(owner))
        , m_request(std::move(request))
        , m_done(std::move(done))
        , m_bulk(m_request.workClass == work_class::bulk)
        , m_timer(m_owner->loop)
    {
    }

    void start()
    {
        m_started = std::chrono::steady_clock::now();
        auto zones = m_owner->zonesOf(m_request.service);
        std::stable_partition(
            zones.begin(), zones.end(), [&](const auto& zone) { return zone == m_owner->self.zone; });
        // The first round looks for a free slot in any zone, starting with the own one. If there is none, the
        // request waits in the queue of the zone that expects the shortest wait.
        if (zones.empty())
            return finish(notRun(failure_kind::unavailable,
                "service " + m_request.service + " has no targets", milliseconds { 1000 }));
        const auto now = std::chrono::steady_clock::now();
        for (const auto& zone : zones) {
            if (!isKnownFull(zone, now))
                m_steps.push_back({ zone, std::nullopt });
        }
        // An item whose own zone is known to be full waits there instead of in another zone that refuses it.
        if (isKnownFull(zones.front(), now))
            m_queueZone = zones.front();
        nextStep();
    }

    void onDecision(const slot_grant& given)
    {
        if (m_owner->isDrainingOrRemoved(given.target))
            return declineGrant(given, grant_outcome::refused);
        held_slot found;
        found.group = m_group;
        found.dispatcher = m_dispatcher;
        found.grantId = given.grantId;
        found.target = given.target;
        found.address = given.address;
        found.zone = m_zone;
        found.waited = given.waited;
        found.version = m_owner->versionOf(given);
        if (m_request.version && found.version != m_request.version)
            return declineGrant(given, grant_outcome::unused);
        if (m_bulk)
            markZoneAvailable();
        ++m_owner->figures.grants;
        m_owner->figures.grantsInOtherZones += m_zone != m_owner->self.zone ? 1 : 0;
        finish(std::move(found));
    }

    void onDecision(const slot_refusal& refused)
    {
        m_slotRequestId = 0;
        if (!m_bulk)
            logEvent(log_level::info, "no place",
                { { "request_id", m_request.requestId }, { "group", m_group }, { "dispatcher", m_dispatcher },
                    { "customer", m_request.customer }, { "reason", refused.reason.message },
                    { "retry_after_ms", refused.reason.retryAfter.count() },
                    { "queued", std::int64_t { m_queued } } });
        // A zone without a usable target is not marked as full, because items would then queue there. It is
        // asked on each attempt instead.
        if (m_bulk && refused.reason.kind == failure_kind::overloaded)
            m_owner->fullZones.markFull(fullZoneKey(m_zone), std::chrono::steady_clock::now());
        m_refusal = refused.reason;
        // The limit applies to all zones together.
        if (refused.reason.kind == failure_kind::limited)
            return finish(refused.reason);
        const auto wait = refused.reason.retryAfter;
        if (m_queueZone.empty() || wait < m_shortestRetryDelay) {
            m_queueZone = m_zone;
            m_shortestRetryDelay = wait;
        }
        nextStep();
    }

    /// The request is in the dispatcher's queue. A dispatcher that freezes or becomes unreachable afterwards
    /// would never refuse it, so the timer is set to shortly after the deadline in the queue.
    void acknowledged()
    {
        if (m_dispatcher.empty())
            return;
        const auto now = std::chrono::steady_clock::now();
        const auto immediateWait = (m_request.grantDeadline - now) / immediateWaitDivisor;
        m_timer.armAt(m_queueDeadline.value_or(now + immediateWait) + acknowledgementTimeout,
            [this, keep = weak_from_this()] {
                if (keep.lock())
                    onAcknowledgementTimeout();
            });
    }

    void onDispatcherLost(const std::string& address)
    {
        if (m_dispatcher == address && m_slotRequestId != 0)
            nextDispatcher();
    }

    void withdraw()
    {
        m_finished = true;
        closeRequest(true);
    }

private:
    /// A zone may be full for items that are bound to a software version, and have slots for others.
    std::string fullZoneKey(const std::string& zone) const
    {
        return m_request.version ? zone + '/' + *m_request.version : zone;
    }

    bool isKnownFull(const std::string& zone, steady_time now) const
    {
        return m_bulk
            && (m_owner->fullZones.isFull(zone, now) || m_owner->fullZones.isFull(fullZoneKey(zone), now));
    }

    void markZoneAvailable()
    {
        m_owner->fullZones.markAvailable(m_zone);
        m_owner->fullZones.markAvailable(fullZoneKey(m_zone));
    }

    /// Returns a grant of a target that the request cannot use: the dispatcher does not know that it leaves,
    /// or does not consider software versions.
    void declineGrant(const slot_grant& given, grant_outcome outcome)
    {
        m_owner->released(m_dispatcher, { m_group, { given.grantId, outcome, milliseconds { 0 }, 0 } });
        m_slotRequestId = 0;
        m_request.avoid = given.target;
        nextStep();
    }

    struct step {
        std::string zone;
        std::optional<steady_time> queueDeadline; ///< Without a value: immediately or not at all.
    };

    void nextStep()
    {
        const auto now = std::chrono::steady_clock::now();
        if (m_steps.empty() && !m_queued && !m_queueZone.empty() && m_request.grantDeadline > now) {
            m_queued = true;
            m_steps.push_back({ m_queueZone, m_request.grantDeadline });
        }
        if (m_steps.empty())
            return finish(m_refusal.value_or(notRun(
                failure_kind::unavailable, "no dispatcher of the service responded", milliseconds { 1000 })));
        m_zone = m_steps.front().zone;
        m_queueDeadline = m_steps.front().queueDeadline;
        m_steps.pop_front();
        m_group = groupName(m_request.service, m_zone, 0);
        m_candidates = m_owner->candidates(m_group, now);
        nextDispatcher();
    }

    void nextDispatcher()
    {
        closeRequest(false);
        if (m_candidates.empty())
            return nextStep();
        m_dispatcher = m_candidates.front();
        m_candidates.pop_front();
        if (m_dispatcher == m_owner->self.address)
            m_dispatcher.clear();
        sendRequest();
    }

    void sendRequest()
    {
        m_slotRequestId = m_owner->nextRequestId++;
        m_owner->pendingRequests[m_slotRequestId] = weak_from_this();
        ++m_owner->figures.asks;
        slot_request slotRequest;
        slotRequest.id = m_slotRequestId;
        slotRequest.requestId = m_request.requestId;
        slotRequest.customer = m_request.customer;
        slotRequest.weight = m_request.weight;
        slotRequest.begun = m_request.begun;
        slotRequest.workClass = m_request.workClass;
        slotRequest.cost = m_request.cost;
        slotRequest.prefixes = m_request.prefixes;
        slotRequest.avoid = m_request.avoid;
        slotRequest.immediate = !m_queueDeadline;
        slotRequest.deadline = m_queueDeadline.value_or(m_request.grantDeadline);
        slotRequest.hold = m_request.hold;
        slotRequest.due = m_request.due;
        slotRequest.remainingEvents = m_request.remainingEvents;
        slotRequest.producedEvents = m_request.producedEvents;
        if (m_request.age.count() > 0)
            setAgeAndDeadline(slotRequest);
        slotRequest.maxEventInterval = m_request.maxEventInterval;
        slotRequest.version = m_request.version;
        envelope message;
        message.asks.push_back({ m_group, std::move(slotRequest) });
        if (m_dispatcher.empty())
            return m_owner->host.received(localSession, std::move(message), std::chrono::steady_clock::now());
        m_timer.arm(acknowledgementTimeout, [this, keep = weak_from_this()] {
            if (keep.lock())
                onAcknowledgementTimeout();
        });
        m_owner->send(m_dispatcher, std::move(message));
    }

    /// The dispatcher recognizes a request that has missed its objective by a grant deadline at the end of
    /// its hold time (see missedObjective()), also if the request does not wait, so both count from the same
    /// time.
    void setAgeAndDeadline(slot_request& slotRequest) const
    {
        const auto elapsed
            = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_started);
        slotRequest.age = m_request.age + elapsed;
        slotRequest.hold = std::max(m_request.hold - elapsed, milliseconds { 1 });
        slotRequest.deadline = m_request.grantDeadline;
    }

    void onAcknowledgementTimeout()
    {
        const auto now = std::chrono::steady_clock::now();
        ++m_owner->figures.unresponsiveDispatchers;
        if (!m_owner->isUnresponsive(m_dispatcher, now))
            logEvent(log_level::warning, "dispatcher is silent",
                { { "dispatcher", m_dispatcher }, { "group", m_group } });
        m_owner->unresponsiveUntil[m_dispatcher] = now + unresponsivePeriod;
        // The dispatcher may still grant the request; the grant is released when it arrives.
        nextDispatcher();
    }

    void closeRequest(bool sendWithdrawal)
    {
        m_timer.cancel();
        if (m_slotRequestId == 0)
            return;
        m_owner->pendingRequests.erase(m_slotRequestId);
        m_owner->abandonedRequests[m_slotRequestId] = m_group;
        if (m_owner->abandonedRequests.size() > maxAbandonedRequests)
            m_owner->abandonedRequests.erase(m_owner->abandonedRequests.begin());
        if (sendWithdrawal) {
            envelope message;
            message.withdrawals.push_back({ m_group, m_slotRequestId });
            if (m_dispatcher.empty())
                m_owner->host.received(localSession, std::move(message), std::chrono::steady_clock::now());
            else
                m_owner->send(m_dispatcher, std::move(message));
        }
        m_slotRequestId = 0;
    }

    void finish(result<held_slot> outcome)
    {
        if (m_finished)
            return;
        m_finished = true;
        closeRequest(false);
        m_owner->figures.refusals += outcome ? 0 : 1;
        // Deferred, so that the caller of acquire() has received its handle and no decision runs inside
        // another one.
        m_owner->loop.post([self = shared_from_this(), outcome = std::move(outcome)]() mutable {
            if (const auto done = std::exchange(self->m_done, nullptr))
                done(std::move(outcome));
            else if (outcome)
                self->m_owner->released(outcome.value().dispatcher,
                    { outcome.value().group,
                        { outcome.value().grantId, grant_outcome::unused, milliseconds { 0 }, 0 } });
        });
    }

public:
    /// The caller has dropped its handle: withdraws the request, and reports nothing more.
    void abandon()
    {
        m_done = nullptr;
        if (!m_finished)
            withdraw();
    }

private:
    std::shared_ptr<impl> m_owner;
    slot_requirements m_request;
    granted m_done;
    bool m_bulk;
    steady_time m_started;
    loop_timer m_timer;
    std::deque<step> m_steps;
    std::deque<std::string> m_candidates;
    std::string m_zone;
    std::string m_group;
    std::string m_dispatcher;
    std::string m_queueZone;
    milliseconds m_shortestRetryDelay { 0 };
    std::optional<steady_time> m_queueDeadline;
    std::uint64_t m_slotRequestId = 0;
    std::optional<failure> m_refusal;
    bool m_queued = false;
    bool m_finished = false;
};

void slot_broker::impl::sendToSession(std::uint64_t session, envelope message)
{
    if (session != localSession) {
        if (const auto found = sessions.find(session); found != sessions.end())
            found->second(std::move(message));
        return;
    }
    // Deferred, so that the decision is not handled within the call that made it.
    loop.post([weak = weak_from_this(), message = std::move(message)]() mutable {
        if (const auto owner = weak.lock())
            owner->received("", std::move(message));
    });
}

void slot_broker::impl::send(const std::string& address, envelope message)
{
    auto& found = links[address];
    if (!found.stream || !found.stream->alive()) {
        found.generation = nextLinkGeneration++;
        const auto weak = weak_from_this();
        found.stream = client.open(
            address,
            [weak, address](envelope incoming) {
                if (const auto owner = weak.lock())
                    owner->loop.post([owner, address, incoming = std::move(incoming)]() mutable {
                        owner->received(address, std::move(incoming));
                    });
            },
            [weak, address, generation = found.generation] {
                if (const auto owner = weak.lock())
                    owner->loop.post(
                        [owner, address, generation] { owner->linkClosed(address, generation); });
            });
    }
    found.stream->send(std::move(message));
}

void slot_broker::impl::linkClosed(const std::string& address, std::uint64_t generation)
{
    const auto found = links.find(address);
    if (closed || found == links.end() || found->second.generation != generation)
        return;
    links.erase(found);
    logEvent(log_level::warning, "dispatcher lost", { { "dispatcher", address } });
    unresponsiveUntil[address] = std::chrono::steady_clock::now() + unresponsivePeriod;
    // The next dispatcher does not know of the slots that this one granted, so bulk work releases them and
    // requests new ones.
    std::vector<revoked> lost;
    for (const auto& [key, notify] : revocationCallbacks) {
        if (std::get<0>(key) == address)
            lost.push_back(notify);
    }
    for (const auto& notify : lost)
        notify();
    std::vector<search_ptr> waiting;
    for (const auto& [id, weak] : pendingRequests) {
        if (auto run = weak.lock())
            waiting.push_back(std::move(run));
    }
    for (const auto& run : waiting)
        run->onDispatcherLost(address);
}

void slot_broker::impl::received(const std::string& address, envelope message)
{
    if (!address.empty())
        unresponsiveUntil.erase(address);
    handleLimitMessages(message.limits, [&](envelope out) { send(address, std::move(out)); });
    origins.received(
        message, address, [&](envelope out) { send(address, std::move(out)); },
        std::chrono::steady_clock::now());
    const auto find = [this](std::uint64_t id) -> search_ptr {
        const auto found = pendingRequests.find(id);
        return found == pendingRequests.end() ? nullptr : found->second.lock();
    };
    for (const auto& given : message.grants) {
        if (const auto run = find(given.slotRequestId))
            run->onDecision(given);
        else // The request was withdrawn, or was sent to another dispatcher since.
            returnUnclaimedGrant(address, given);
    }
    for (const auto& refused : message.refusals) {
        if (const auto run = find(refused.slotRequestId))
            run->onDecision(refused);
    }
    for (const auto& acknowledged : message.moved) {
        if (const auto run = find(acknowledged.slotRequestId))
            run->acknowledged();
    }
    for (const auto& revoke : message.revokes) {
        const auto found = revocationCallbacks.find({ address, revoke.group, revoke.grantId });
        if (found == revocationCallbacks.end())
            continue;
        const auto notify = found->second;
        notify();
    }
}

void slot_broker::impl::handleLimitMessages(
    const std::vector<limit_message>& messages, const std::function<void(envelope)>& reply)
{
    if (!limits)
        return;
    for (const auto& one : messages) {
        auto response = limits->handleMessage(one, std::chrono::steady_clock::now());
        if (!response)
            continue;
        envelope message;
        message.limits.push_back(std::move(*response));
        reply(std::move(message));
    }
}

void slot_broker::impl::returnUnclaimedGrant(const std::string& dispatcher, const slot_grant& given)
{
    const auto found = abandonedRequests.find(given.slotRequestId);
    if (found == abandonedRequests.end())
        return; // Too old to be remembered; the dispatcher lets the grant expire.
    released(dispatcher, { found->second, { given.grantId, grant_outcome::unused, milliseconds { 0 }, 0 } });
}

void slot_broker::impl::released(const std::string& dispatcher, release_message message)
{
    revocationCallbacks.erase({ dispatcher, message.group, message.release.grantId });
    envelope out;
    out.releases.push_back(std::move(message));
    if (dispatcher.empty())
        return host.received(localSession, std::move(out), std::chrono::steady_clock::now());
    // If the stream that carried the grant is closed, the dispatcher has dropped the grant already.
    const auto found = links.find(dispatcher);
    if (found != links.end() && found->second.stream->alive())
        found->second.stream->send(std::move(out));
}

namespace {

template <typename Run> class search_handle final : public slot_acquisition {
public:
    explicit search_handle(std::shared_ptr<Run> run)
        : m_run(std::move(run))
    {
    }
    ~search_handle() override { m_run->abandon(); }

private:
    std::shared_ptr<Run> m_run;
};

} // namespace

slot_broker::slot_broker(event_loop& loop, rpc_client& client, dispatcher_info self,
    load_report_source* loads, const group_options& options, distributed_rate_limiter* limits)
    : m_impl(std::make_shared<impl>(loop, client, std::move(self), loads, options, limits))
{
}

slot_broker::~slot_broker()
{
    m_impl->closed = true;
    m_impl->links.clear();
}

void slot_broker::setDispatchers(std::vector<dispatcher_info> dispatchers)
{
    m_impl->dispatchers = std::move(dispatchers);
    m_impl->rankedByGroup.clear();
}

void slot_broker::setLimitMembers(std::span<const limit_member> members)
{
    if (m_impl->exchange)
        m_impl->exchange->setMembers(members);
}

void slot_broker::setObjectives(service_objectives objectives)
{
    m_impl->host.setObjectives(std::move(objectives));
}

void slot_broker::limitsChanged()
{
    if (m_impl->exchange)
        m_impl->exchange->customersChanged();
}

void slot_broker::impl::countTarget(const listed_target& target)
{
    ++targetsByZone[target.service][target.zone];
}

void slot_broker::impl::uncountTarget(const listed_target& target)
{
    auto& zones = targetsByZone[target.service];
    if (--zones[target.zone] == 0)
        zones.erase(target.zone);
}

void slot_broker::setTargets(
    const target_directory& targets, std::span<const target_change> changes, steady_time now)
{
    m_impl->targets = &targets;
    m_impl->versions.apply(changes, !targets.partial(), now);
    for (const auto& [before, after, released] : changes) {
        if (before)
            m_impl->uncountTarget(*before);
        if (after)
            m_impl->countTarget(*after);
        if (after)
            m_impl->removedTargets.remove(after->id);
        else if (!released)
            m_impl->removedTargets.add(before->id);
    }
    m_impl->host.setTargets(targets, changes, now);
}

void slot_broker::prepareGroups(steady_time now)
{
    for (const auto& [service, zones] : m_impl->targetsByZone) {
        const auto group = groupName(service, m_impl->self.zone, 0);
        if (zones.contains(m_impl->self.zone) && m_impl->isPrimary(group, now))
            m_impl->host.prepare(group, now);
    }
}

std::shared_ptr<slot_acquisition> slot_broker::acquire(slot_requirements request, granted done)
{
    const auto run = std::make_shared<impl::slot_search>(m_impl, std::move(request), std::move(done));
    run->start();
    return std::make_shared<search_handle<impl::slot_search>>(run);
}

void slot_broker::onRevoked(const held_slot& taken, revoked notify)
{
    m_impl->revocationCallbacks[{ taken.dispatcher, taken.group, taken.grantId }] = std::move(notify);
}

void slot_broker::release(const held_slot& taken, const slot_usage& usage)
{
    m_impl->released(taken.dispatcher,
        { taken.group,
            { taken.grantId, usage.outcome, usage.firstToken, 0, usage.events, usage.eventInterval } });
}

void slot_broker::recordOrigin(const stream_origin& origin, milliseconds validFor)
{
    m_impl->origins.record(origin, validFor, std::chrono::steady_clock::now());
}

std::shared_ptr<origin_search> slot_broker::findOrigin(const origin_query& query, origin_callback done)
{
    return m_impl->origins.find(query, std::move(done), std::chrono::steady_clock::now());
}

void slot_broker::sessionOpened(std::uint64_t session, std::function<void(envelope)> send)
{
    m_impl->loop.post([weak = m_impl->weak_from_this(), session, send = std::move(send)] {
        if (const auto owner = weak.lock())
            owner->sessions[session] = send;
    });
}

void slot_broker::sessionReceived(std::uint64_t session, envelope message)
{
    m_impl->loop.post([weak = m_impl->weak_from_this(), session, message = std::move(message)]() mutable {
        const auto owner = weak.lock();
        if (!owner)
            return;
        owner->handleLimitMessages(
            message.limits, [&](envelope out) { owner->sendToSession(session, std::move(out)); });
        owner->origins.received(
            message, "", [&](envelope out) { owner->sendToSession(session, std::move(out)); },
            std::chrono::steady_clock::now());
        owner->host.received(session, std::move(message), std::chrono::steady_clock::now());
    });
}

void slot_broker::sessionClosed(std::uint64_t session)
{
    m_impl->loop.post([weak = m_impl->weak_from_this(), session] {
        const auto owner = weak.lock();
        if (!owner)
            return;
        owner->sessions.erase(session);
        owner->host.sessionClosed(session, std::chrono::steady_clock::now());
    });
}

const slot_broker_stats& slot_broker::figures() const
{
    return m_impl->figures;
}

std::map<std::string, group_summary> slot_broker::summaries(steady_time now) const
{
    return m_impl->host.summaries(now);
}

} // namespace yuccachute
