#include "places/places.h"

#include "limit_exchange.h"
#include "logging/logging.h"
#include "membership/membership.h"

#include <algorithm>
#include <deque>
#include <tuple>

namespace yuccachute {

namespace {

/// A dispatcher in reach acknowledges an ask within a few milliseconds, also on a slowed VM; a caller of a
/// dead one loses this much.
constexpr milliseconds acknowledgementTimeout { 50 };
/// A dispatcher that did not answer is asked last for so long.
constexpr milliseconds silentFor { 1000 };
constexpr std::uint64_t localSession = 0;
/// Asks whose late grants are still recognised; a late one comes within seconds.
constexpr std::size_t mostGivenUp = 1000;
/// Slots come free within 0.7 s of the end of a live peak, so a zone that has room again is found out well
/// before its slots have stood empty for long; 15 batch processes that ask five zones so often make 100 asks
/// a second in each.
constexpr milliseconds fullFor { 150 };
/// Targets that have left are remembered as long as a dispatcher could still name them, and for much longer.
constexpr std::size_t mostGone = 2000;

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

void full_zones::noteFull(std::string_view zone, steady_time now)
{
    m_until.insert_or_assign(std::string(zone), now + fullFor);
}

void full_zones::noteRoom(std::string_view zone)
{
    if (const auto found = m_until.find(zone); found != m_until.end())
        m_until.erase(found);
}

bool full_zones::full(std::string_view zone, steady_time now) const
{
    const auto found = m_until.find(zone);
    return found != m_until.end() && now < found->second;
}

namespace {

/// Ids of targets that were listed once; another start of a target has another id.
class gone_targets {
public:
    void add(const std::string& id)
    {
        if (m_ids.insert(id).second)
            m_oldest.push_back(id);
        if (m_oldest.size() <= mostGone)
            return;
        m_ids.erase(m_oldest.front());
        m_oldest.pop_front();
    }
    /// It had only been missing.
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
    class ask_run;
    using ask_ptr = std::shared_ptr<ask_run>;

    impl(event_loop& eventLoop, rpc_client& rpc, dispatcher_info own, load_report_source* loads,
        const group_options& options, distributed_rate_limiter* customerLimits)
        : loop(eventLoop)
        , client(rpc)
        , self(std::move(own))
        , host(
              loop, [this](std::uint64_t session, envelope message) { answer(session, std::move(message)); },
              [this](const std::string& group) { return isFirst(group, std::chrono::steady_clock::now()); },
              loads, options, customerLimits)
        , limits(customerLimits)
    {
        if (limits)
            exchange = std::make_unique<limit_exchange>(loop, *limits, self.address,
                limit_exchange::environment { [this](const std::string& address, envelope message) {
                                                 send(address, std::move(message));
                                             },
                    [this](steady_time now) { return dispatches(now); },
                    [this](const std::string& address, steady_time now) { return silent(address, now); } });
    }

    /// Addresses of the group's dispatchers in their order. Kept until the list of dispatchers changes: with
    /// 250 of them the sorting took longer than all else that an ask costs.
    const std::vector<std::string>& rankedFor(const std::string& group)
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

    /// Whether no other entry that answers comes before this process as dispatcher of a group.
    bool isFirst(const std::string& group, steady_time now)
    {
        for (const auto& candidate : rankedFor(group)) {
            if (candidate == self.address)
                return true;
            if (!silent(candidate, now))
                return false;
        }
        return true;
    }

    /// Whether this process is the first dispatcher of any group.
    bool dispatches(steady_time now)
    {
        for (const auto& [service, zones] : targetsByZone) {
            for (const auto& [zone, count] : zones) {
                if (isFirst(groupName(service, zone, 0), now))
                    return true;
            }
        }
        return false;
    }

    /// The dispatchers of a group to be asked one after the other: after two that do not answer the zone is
    /// as good as gone. Those that were silent a moment ago come last.
    std::deque<std::string> candidates(const std::string& group, steady_time now)
    {
        constexpr std::size_t most = 2;
        std::deque<std::string> chosen;
        for (const bool wantSilent : { false, true }) {
            for (const auto& address : rankedFor(group)) {
                if (chosen.size() == most)
                    return chosen;
                if (silent(address, now) == wantSilent)
                    chosen.push_back(address);
            }
        }
        return chosen;
    }

    bool silent(const std::string& address, steady_time now) const
    {
        const auto found = silentUntil.find(address);
        return found != silentUntil.end() && now < found->second;
    }

    /// Whether this process knows that a target leaves or has left. A dispatcher that the store turns away
    /// may not know it yet, and would send work to it.
    bool leaving(const std::string& target) const
    {
        const auto* known = targets ? targets->find(target) : nullptr;
        return known ? known->draining : gone.contains(target);
    }

    /// In the order of their names. Where not all targets are known here, dispatchers know which they have.
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

    void answer(std::uint64_t session, envelope message);
    void send(const std::string& address, envelope message);
    void received(const std::string& address, envelope message);
    void linkClosed(const std::string& address, std::uint64_t generation);
    /// `answer` sends to whom the messages came from.
    void hear(const std::vector<limit_message>& messages, const std::function<void(envelope)>& answer);
    void returnStray(const std::string& dispatcher, const slot_grant& given);
    void released(const std::string& dispatcher, release_message message);

    event_loop& loop;
    rpc_client& client;
    dispatcher_info self;
    group_host host;
    distributed_rate_limiter* limits; ///< May be null.
    std::unique_ptr<limit_exchange> exchange; ///< Null without limits.
    std::vector<dispatcher_info> dispatchers;
    std::map<std::string, std::vector<std::string>> rankedByGroup;
    full_zones withoutRoom; ///< For bulk work.
    std::map<std::string, std::map<std::string, std::size_t>> targetsByZone; ///< How many, by service.
    const target_directory* targets = nullptr;
    gone_targets gone;
    std::map<std::string, link> links;
    std::map<std::string, steady_time> silentUntil;
    std::map<std::uint64_t, std::weak_ptr<ask_run>> asks;
    std::map<std::uint64_t, std::string> givenUp; ///< Groups of asks that may still be granted, by id.
    std::map<std::uint64_t, std::function<void(envelope)>> sessions;
    /// Callbacks of places that may be revoked, by dispatcher, group and grant.
    std::map<std::tuple<std::string, std::string, std::uint64_t>, revoked> revocations;
    slot_broker_stats figures;
    std::uint64_t nextAsk = 1;
    std::uint64_t nextLink = 1;
    bool closed = false;
};

/// One request for a place, from zone to zone until one is found.
class slot_broker::impl::ask_run : public std::enable_shared_from_this<ask_run> {
public:
    ask_run(std::shared_ptr<impl> owner, slot_requirements request, granted done)
        : m_owner(std::move(owner))
        , m_request(std::move(request))
        , m_done(std::move(done))
        , m_bulk(m_request.workClass == work_class::bulk)
        , m_timer(m_owner->loop)
    {
    }

    void start()
    {
        auto zones = m_owner->zonesOf(m_request.service);
        std::stable_partition(
            zones.begin(), zones.end(), [&](const auto& zone) { return zone == m_owner->self.zone; });
        // First for a free place anywhere, the own zone before the others; then in the queue of the zone that
        // expects the shortest wait.
        if (zones.empty())
            return finish(notRun(failure_kind::unavailable,
                "service " + m_request.service + " has no targets", milliseconds { 1000 }));
        const auto now = std::chrono::steady_clock::now();
        for (const auto& zone : zones) {
            if (!m_bulk || !m_owner->withoutRoom.full(zone, now))
                m_steps.push_back({ zone, std::nullopt });
        }
        // An item whose own zone is known to be full waits there rather than in another that refuses it.
        if (m_bulk && m_owner->withoutRoom.full(zones.front(), now))
            m_queueZone = zones.front();
        nextStep();
    }

    void decided(const slot_grant& given)
    {
        if (m_owner->leaving(given.target)) {
            m_owner->released(
                m_dispatcher, { m_group, { given.grantId, grant_outcome::refused, milliseconds { 0 }, 0 } });
            m_askId = 0;
            m_request.avoid = given.target;
            return nextStep();
        }
        held_slot found;
        found.group = m_group;
        found.dispatcher = m_dispatcher;
        found.grantId = given.grantId;
        found.target = given.target;
        found.address = given.address;
        found.zone = m_zone;
        found.waited = given.waited;
        if (m_bulk)
            m_owner->withoutRoom.noteRoom(m_zone);
        ++m_owner->figures.grants;
        m_owner->figures.grantsInOtherZones += m_zone != m_owner->self.zone ? 1 : 0;
        finish(std::move(found));
    }

    void decided(const slot_refusal& refused)
    {
        m_askId = 0;
        if (!m_bulk)
            logEvent(log_level::info, "no place",
                { { "request_id", m_request.requestId }, { "group", m_group }, { "dispatcher", m_dispatcher },
                    { "customer", m_request.customer }, { "reason", refused.reason.message },
                    { "retry_after_ms", refused.reason.retryAfter.count() },
                    { "queued", std::int64_t { m_queued } } });
        // A zone without a target that can be used is not worth waiting in: its word is asked for each time.
        if (m_bulk && refused.reason.kind == failure_kind::overloaded)
            m_owner->withoutRoom.noteFull(m_zone, std::chrono::steady_clock::now());
        m_refusal = refused.reason;
        // The limit holds in all zones alike.
        if (refused.reason.kind == failure_kind::limited)
            return finish(refused.reason);
        const auto wait = refused.reason.retryAfter;
        if (m_queueZone.empty() || wait < m_shortestWait) {
            m_queueZone = m_zone;
            m_shortestWait = wait;
        }
        nextStep();
    }

    /// The ask is in the dispatcher's queue. A dispatcher that is frozen or cut off afterwards would never
    /// refuse it.
    void acknowledged()
    {
        if (m_dispatcher.empty())
            return;
        m_timer.armAt(m_until.value_or(std::chrono::steady_clock::now()) + acknowledgementTimeout,
            [this, keep = weak_from_this()] {
                if (keep.lock())
                    silent();
            });
    }

    void dispatcherGone(const std::string& address)
    {
        if (m_dispatcher == address && m_askId != 0)
            nextDispatcher();
    }

    void withdraw()
    {
        m_finished = true;
        forgetAsk(true);
    }

private:
    struct step {
        std::string zone;
        std::optional<steady_time> until; ///< Nothing: at once or not at all.
    };

    void nextStep()
    {
        const auto now = std::chrono::steady_clock::now();
        if (m_steps.empty() && !m_queued && !m_queueZone.empty() && m_request.grantDeadline > now) {
            m_queued = true;
            m_steps.push_back({ m_queueZone, m_request.grantDeadline });
        }
        if (m_steps.empty())
            return finish(m_refusal.value_or(
                notRun(failure_kind::unavailable, "no dispatcher answers", milliseconds { 1000 })));
        m_zone = m_steps.front().zone;
        m_until = m_steps.front().until;
        m_steps.pop_front();
        m_group = groupName(m_request.service, m_zone, 0);
        m_candidates = m_owner->candidates(m_group, now);
        nextDispatcher();
    }

    void nextDispatcher()
    {
        forgetAsk(false);
        if (m_candidates.empty())
            return nextStep();
        m_dispatcher = m_candidates.front();
        m_candidates.pop_front();
        if (m_dispatcher == m_owner->self.address)
            m_dispatcher.clear();
        ask();
    }

    void ask()
    {
        m_askId = m_owner->nextAsk++;
        m_owner->asks[m_askId] = weak_from_this();
        ++m_owner->figures.asks;
        slot_request wanted;
        wanted.id = m_askId;
        wanted.requestId = m_request.requestId;
        wanted.customer = m_request.customer;
        wanted.weight = m_request.weight;
        wanted.begun = m_request.begun;
        wanted.workClass = m_request.workClass;
        wanted.cost = m_request.cost;
        wanted.prefixes = m_request.prefixes;
        wanted.avoid = m_request.avoid;
        wanted.immediate = !m_until;
        wanted.deadline = m_until.value_or(steady_time {});
        wanted.hold = m_request.hold;
        wanted.due = m_request.due;
        envelope message;
        message.asks.push_back({ m_group, std::move(wanted) });
        if (m_dispatcher.empty())
            return m_owner->host.received(localSession, std::move(message), std::chrono::steady_clock::now());
        m_timer.arm(acknowledgementTimeout, [this, keep = weak_from_this()] {
            if (keep.lock())
                silent();
        });
        m_owner->send(m_dispatcher, std::move(message));
    }

    void silent()
    {
        const auto now = std::chrono::steady_clock::now();
        ++m_owner->figures.unresponsiveDispatchers;
        if (!m_owner->silent(m_dispatcher, now))
            logEvent(log_level::warning, "dispatcher is silent",
                { { "dispatcher", m_dispatcher }, { "group", m_group } });
        m_owner->silentUntil[m_dispatcher] = now + silentFor;
        // The ask may still be granted there: the grant is given back when it arrives.
        nextDispatcher();
    }

    void forgetAsk(bool withdrawIt)
    {
        m_timer.cancel();
        if (m_askId == 0)
            return;
        m_owner->asks.erase(m_askId);
        m_owner->givenUp[m_askId] = m_group;
        if (m_owner->givenUp.size() > mostGivenUp)
            m_owner->givenUp.erase(m_owner->givenUp.begin());
        if (withdrawIt) {
            envelope message;
            message.withdrawals.push_back({ m_group, m_askId });
            if (m_dispatcher.empty())
                m_owner->host.received(localSession, std::move(message), std::chrono::steady_clock::now());
            else
                m_owner->send(m_dispatcher, std::move(message));
        }
        m_askId = 0;
    }

    void finish(result<held_slot> outcome)
    {
        if (m_finished)
            return;
        m_finished = true;
        forgetAsk(false);
        m_owner->figures.refusals += outcome ? 0 : 1;
        // Later, so that the caller of acquire() has its handle, and no decision runs inside another.
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
    /// The caller has dropped its handle: nothing is reported any more.
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
    loop_timer m_timer;
    std::deque<step> m_steps;
    std::deque<std::string> m_candidates;
    std::string m_zone;
    std::string m_group;
    std::string m_dispatcher;
    std::string m_queueZone;
    milliseconds m_shortestWait { 0 };
    std::optional<steady_time> m_until;
    std::uint64_t m_askId = 0;
    std::optional<failure> m_refusal;
    bool m_queued = false;
    bool m_finished = false;
};

void slot_broker::impl::answer(std::uint64_t session, envelope message)
{
    if (session != localSession) {
        if (const auto found = sessions.find(session); found != sessions.end())
            found->second(std::move(message));
        return;
    }
    // Not from within the group's own step.
    loop.post([weak = weak_from_this(), message = std::move(message)]() mutable {
        if (const auto owner = weak.lock())
            owner->received("", std::move(message));
    });
}

void slot_broker::impl::send(const std::string& address, envelope message)
{
    auto& found = links[address];
    if (!found.stream || !found.stream->alive()) {
        found.generation = nextLink++;
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
    silentUntil[address] = std::chrono::steady_clock::now() + silentFor;
    // Its successor does not know of the places that it gave: bulk work leaves them and asks anew.
    std::vector<revoked> lost;
    for (const auto& [key, notify] : revocations) {
        if (std::get<0>(key) == address)
            lost.push_back(notify);
    }
    for (const auto& notify : lost)
        notify();
    std::vector<ask_ptr> waiting;
    for (const auto& [id, weak] : asks) {
        if (auto run = weak.lock())
            waiting.push_back(std::move(run));
    }
    for (const auto& run : waiting)
        run->dispatcherGone(address);
}

void slot_broker::impl::received(const std::string& address, envelope message)
{
    if (!address.empty())
        silentUntil.erase(address);
    hear(message.limits, [&](envelope out) { send(address, std::move(out)); });
    const auto find = [this](std::uint64_t id) -> ask_ptr {
        const auto found = asks.find(id);
        return found == asks.end() ? nullptr : found->second.lock();
    };
    for (const auto& given : message.grants) {
        if (const auto run = find(given.slotRequestId))
            run->decided(given);
        else // Nobody waits for it any more: its ask was withdrawn, or given to another dispatcher.
            returnStray(address, given);
    }
    for (const auto& refused : message.refusals) {
        if (const auto run = find(refused.slotRequestId))
            run->decided(refused);
    }
    for (const auto& acknowledged : message.moved) {
        if (const auto run = find(acknowledged.slotRequestId))
            run->acknowledged();
    }
    for (const auto& revoke : message.revokes) {
        const auto found = revocations.find({ address, revoke.group, revoke.grantId });
        if (found == revocations.end())
            continue;
        const auto notify = found->second;
        notify();
    }
}

void slot_broker::impl::hear(
    const std::vector<limit_message>& messages, const std::function<void(envelope)>& answer)
{
    if (!limits)
        return;
    for (const auto& one : messages) {
        auto wanted = limits->handleMessage(one, std::chrono::steady_clock::now());
        if (!wanted)
            continue;
        envelope message;
        message.limits.push_back(std::move(*wanted));
        answer(std::move(message));
    }
}

void slot_broker::impl::returnStray(const std::string& dispatcher, const slot_grant& given)
{
    const auto found = givenUp.find(given.slotRequestId);
    if (found == givenUp.end())
        return; // So old that the dispatcher will drop the grant by itself.
    released(dispatcher, { found->second, { given.grantId, grant_outcome::unused, milliseconds { 0 }, 0 } });
}

void slot_broker::impl::released(const std::string& dispatcher, release_message message)
{
    revocations.erase({ dispatcher, message.group, message.release.grantId });
    envelope out;
    out.releases.push_back(std::move(message));
    if (dispatcher.empty())
        return host.received(localSession, std::move(out), std::chrono::steady_clock::now());
    // Without the stream over which it was granted the dispatcher has dropped the grant already.
    const auto found = links.find(dispatcher);
    if (found != links.end() && found->second.stream->alive())
        found->second.stream->send(std::move(out));
}

namespace {

template <typename Run> class ask_handle final : public slot_acquisition {
public:
    explicit ask_handle(std::shared_ptr<Run> run)
        : m_run(std::move(run))
    {
    }
    ~ask_handle() override { m_run->abandon(); }

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
    for (const auto& [before, after, released] : changes) {
        if (before)
            m_impl->uncountTarget(*before);
        if (after)
            m_impl->countTarget(*after);
        if (after)
            m_impl->gone.remove(after->id);
        else if (!released)
            m_impl->gone.add(before->id);
    }
    m_impl->host.setTargets(targets, changes, now);
}

std::shared_ptr<slot_acquisition> slot_broker::acquire(slot_requirements request, granted done)
{
    const auto run = std::make_shared<impl::ask_run>(m_impl, std::move(request), std::move(done));
    run->start();
    return std::make_shared<ask_handle<impl::ask_run>>(run);
}

void slot_broker::onRevoked(const held_slot& taken, revoked notify)
{
    m_impl->revocations[{ taken.dispatcher, taken.group, taken.grantId }] = std::move(notify);
}

void slot_broker::release(const held_slot& taken, grant_outcome outcome, milliseconds firstToken)
{
    m_impl->released(taken.dispatcher, { taken.group, { taken.grantId, outcome, firstToken, 0 } });
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
        owner->hear(message.limits, [&](envelope out) { owner->answer(session, std::move(out)); });
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
