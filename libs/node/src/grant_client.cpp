#include "node/node.h"

#include "logging/logging.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// A dispatcher acknowledges or grants a request at once. One that does neither for longer is frozen or
/// unreachable.
constexpr milliseconds acknowledgeTimeout { 250 };
constexpr int maxRedirects = 3;
constexpr std::size_t maxOwnersTried = 2;

failure unresponsiveError(const std::string& address)
{
    return notRun(failure_kind::unavailable, "the dispatcher at " + address + " did not respond");
}

} // namespace

void revocation::request()
{
    const std::scoped_lock lock(m_mutex);
    m_requested = true;
    if (m_notify)
        m_notify();
}

void revocation::onRequest(std::function<void()> notify)
{
    const std::scoped_lock lock(m_mutex);
    m_notify = std::move(notify);
    if (m_notify && m_requested)
        m_notify();
}

struct grant_client::waiter {
    std::mutex mutex;
    std::condition_variable changed;
    bool acknowledged = false;
    bool lost = false;
    std::optional<slot_grant> given;
    std::optional<failure> refused;
    std::string movedTo;

    bool answered() const { return lost || given || refused || !movedTo.empty(); }
};

struct grant_client::connection {
    std::string address;
    std::mutex mutex;
    std::map<std::uint64_t, std::shared_ptr<waiter>> waiters;
    std::map<std::pair<std::string, std::uint64_t>, std::shared_ptr<revocation>> revocable;
    std::map<std::uint64_t, std::string> groups; ///< Group of each pending request.
    bool closed = false;
    std::shared_ptr<dispatcher_link> link;
    peer_handler* local = nullptr;

    void send(envelope message)
    {
        if (local)
            local->sessionReceived(0, std::move(message));
        else
            link->send(std::move(message));
    }

    void close()
    {
        std::map<std::uint64_t, std::shared_ptr<waiter>> lost;
        {
            const std::scoped_lock lock(mutex);
            closed = true;
            lost.swap(waiters);
        }
        for (auto& [id, waiting] : lost) {
            const std::scoped_lock lock(waiting->mutex);
            waiting->lost = true;
            waiting->changed.notify_all();
        }
    }
};

grant_client::grant_client(rpc_client& client, owner_lookup owners, unreachable_report unreachable)
    : m_client(client)
    , m_owners(std::move(owners))
    , m_unreachable(std::move(unreachable))
{
}

grant_client::~grant_client() = default;

void grant_client::setLocal(std::string address, peer_handler& handler)
{
    m_localAddress = std::move(address);
    m_local = &handler;
    const auto local = connect(m_localAddress);
    handler.sessionOpened(0, [this, weak = std::weak_ptr(local)](envelope message) {
        if (const auto strong = weak.lock())
            received(*strong, std::move(message));
    });
}

std::shared_ptr<grant_client::connection> grant_client::connect(const std::string& address)
{
    const std::scoped_lock lock(m_mutex);
    auto& found = m_connections[address];
    if (found && !found->closed)
        return found;
    found = std::make_shared<connection>();
    found->address = address;
    if (address == m_localAddress) {
        found->local = m_local;
        return found;
    }
    const std::weak_ptr<connection> weak = found;
    found->link = m_client.open(
        address,
        [this, weak](envelope message) {
            if (const auto strong = weak.lock())
                received(*strong, std::move(message));
        },
        [weak] {
            if (const auto strong = weak.lock())
                strong->close();
        });
    return found;
}

void grant_client::received(connection& from, envelope message)
{
    const auto updateWaiter = [&](std::uint64_t slotRequestId, bool final, const auto& change) {
        std::shared_ptr<waiter> waiting;
        {
            const std::scoped_lock lock(from.mutex);
            const auto found = from.waiters.find(slotRequestId);
            if (found == from.waiters.end())
                return false;
            waiting = found->second;
            if (final)
                from.waiters.erase(found);
        }
        const std::scoped_lock lock(waiting->mutex);
        change(*waiting);
        waiting->changed.notify_all();
        return true;
    };
    envelope returned;
    for (auto& grant : message.grants) {
        std::string group;
        {
            const std::scoped_lock lock(from.mutex);
            if (const auto found = from.groups.find(grant.slotRequestId); found != from.groups.end())
                group = found->second;
            // A revocation may follow in the same envelope, before the waiting thread wakes up.
            from.revocable[{ group, grant.grantId }] = std::make_shared<revocation>();
        }
        const bool wanted
            = updateWaiter(grant.slotRequestId, true, [&](waiter& waiting) { waiting.given = grant; });
        if (wanted)
            continue;
        // No one waits for this grant any more, so it is released at once.
        const std::scoped_lock lock(from.mutex);
        from.revocable.erase({ group, grant.grantId });
        from.groups.erase(grant.slotRequestId);
        returned.releases.push_back(
            { group, { grant.grantId, grant_outcome::abandoned, milliseconds { 0 }, 0 } });
    }
    for (auto& refusal : message.refusals)
        updateWaiter(refusal.slotRequestId, true, [&](waiter& waiting) { waiting.refused = refusal.reason; });
    for (auto& moved : message.moved) {
        // An empty address acknowledges a request that has to wait.
        if (moved.ownerAddress.empty())
            updateWaiter(moved.slotRequestId, false, [](waiter& waiting) { waiting.acknowledged = true; });
        else
            updateWaiter(
                moved.slotRequestId, true, [&](waiter& waiting) { waiting.movedTo = moved.ownerAddress; });
    }
    for (const auto& revoke : message.revokes) {
        std::shared_ptr<revocation> wanted;
        {
            const std::scoped_lock lock(from.mutex);
            const auto found = from.revocable.find({ revoke.group, revoke.grantId });
            if (found != from.revocable.end())
                wanted = found->second;
        }
        if (wanted)
            wanted->request();
    }
    if (!returned.empty())
        from.send(std::move(returned));
}

result<held_grant> grant_client::requestFrom(
    const std::string& address, const std::string& group, const slot_request& request, std::string& movedTo)
{
    const auto peer = connect(address);
    auto waiting = std::make_shared<waiter>();
    ask_message message { group, request };
    message.ask.id = m_nextRequestId++;
    const auto id = message.ask.id;
    {
        const std::scoped_lock lock(peer->mutex);
        if (peer->closed)
            return unresponsiveError(address);
        peer->waiters[id] = waiting;
        peer->groups[id] = group;
    }
    envelope outgoing;
    outgoing.asks.push_back(std::move(message));
    peer->send(std::move(outgoing));

    std::unique_lock lock(waiting->mutex);
    waiting->changed.wait_for(
        lock, acknowledgeTimeout, [&] { return waiting->answered() || waiting->acknowledged; });
    if (!waiting->answered() && waiting->acknowledged)
        waiting->changed.wait_until(lock, request.deadline, [&] { return waiting->answered(); });
    const bool acknowledged = waiting->acknowledged;
    const bool answered = waiting->answered();
    const bool lost = waiting->lost;
    const auto given = waiting->given;
    const auto refused = waiting->refused;
    movedTo = waiting->movedTo;
    lock.unlock();
    {
        const std::scoped_lock clean(peer->mutex);
        peer->waiters.erase(id);
        if (answered)
            peer->groups.erase(id);
    }
    if (given) {
        const std::scoped_lock remember(peer->mutex);
        return held_grant { group, address, given->grantId, given->target, given->address, given->waited,
            peer->revocable[{ group, given->grantId }] };
    }
    if (refused)
        return *refused;
    if (!movedTo.empty())
        return unresponsiveError(address);
    if (!lost) {
        envelope withdrawal;
        withdrawal.withdrawals.push_back({ group, id });
        peer->send(std::move(withdrawal));
        if (acknowledged)
            return notRun(
                failure_kind::overloaded, "no target had room before the timeout", milliseconds { 1000 });
    }
    return unresponsiveError(address);
}

result<held_grant> grant_client::acquire(
    const std::string& group, const std::string& zone, slot_request request)
{
    auto owners = m_owners(group, zone);
    if (owners.empty())
        return notRun(failure_kind::unavailable, "no entry of zone " + zone + " is known");
    owners.resize(std::min(owners.size(), maxOwnersTried));
    failure last = notRun(failure_kind::unavailable, "no dispatcher was tried");
    for (const auto& owner : owners) {
        std::string address = owner;
        for (int move = 0; move < maxRedirects; ++move) {
            std::string movedTo;
            auto outcome = requestFrom(address, group, request, movedTo);
            if (outcome)
                return outcome;
            last = outcome.error();
            if (movedTo.empty())
                break;
            address = movedTo;
        }
        const bool noResponse = last.kind == failure_kind::unavailable && last.retryAfter.count() == 0;
        if (!noResponse)
            return last;
        m_unreachable(address);
    }
    return last;
}

void grant_client::release(const held_grant& grant, grant_release figures)
{
    figures.grantId = grant.grantId;
    const auto peer = connect(grant.dispatcher);
    {
        const std::scoped_lock lock(peer->mutex);
        peer->revocable.erase({ grant.group, grant.grantId });
    }
    envelope message;
    message.releases.push_back({ grant.group, figures });
    peer->send(std::move(message));
}

} // namespace yuccachute
