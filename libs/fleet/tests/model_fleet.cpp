#include "model_fleet.h"

#include <algorithm>
#include <map>
#include <utility>

namespace yuccachute {

namespace {

/// Timeouts of the adapter of the platform's store for calls, and of the transport for unresponsive
/// connections.
constexpr milliseconds callTimeout { 1500 };
constexpr milliseconds deadConnectionTimeout { 5000 };
/// The registering entries of a zone start within about a second.
constexpr milliseconds startInterval { 300 };
constexpr std::size_t valuesPerPage = 200;

} // namespace

result<routing_table> model_codec::decodeConfiguration(std::string_view document) const
{
    routing_table table;
    table.version = std::stoll(std::string(document));
    return table;
}

result<listed_target> model_codec::decodeTarget(std::string_view key, std::string_view document) const
{
    return listed_target { std::string(key), "s", "a", "z", 1, document == "draining" };
}

void model_store::write(const std::string& key, const std::string& value)
{
    ++m_revision;
    m_events.push_back({ false, { key, value, m_revision, m_revision, 0 } });
    for (const auto& listener : listeners)
        listener();
}

void model_store::remove(const std::string& key)
{
    ++m_revision;
    m_events.push_back({ true, { key, "", 0, m_revision, 0 } });
    for (const auto& listener : listeners)
        listener();
}

store_listing model_store::list(std::string_view prefix) const
{
    return listAsOf(prefix, m_revision);
}

store_listing model_store::listAsOf(std::string_view prefix, std::int64_t revision) const
{
    std::map<std::string, stored_value> values;
    for (const auto& event : m_events) {
        if (!event.value.key.starts_with(prefix) || event.value.modRevision > revision)
            continue;
        if (event.removed)
            values.erase(event.value.key);
        else
            values[event.value.key] = event.value;
    }
    store_listing listing { {}, revision, false };
    for (auto& [key, value] : values)
        listing.values.push_back(std::move(value));
    return listing;
}

store_changes model_store::changesAfter(std::string_view prefix, std::int64_t revision) const
{
    store_changes changes { {}, m_revision };
    for (const auto& event : m_events) {
        if (event.value.modRevision > revision && event.value.key.starts_with(prefix))
            changes.events.push_back(event);
    }
    return changes;
}

model_link::model_link(event_loop& loop, model_store& store)
    : m_loop(loop)
    , m_store(store)
    , m_lease(loop)
{
    m_store.listeners.push_back([this] { answerWaits(); });
}

void model_link::cut()
{
    m_cut = true;
    killWaits();
}

void model_link::dropAnswers()
{
    m_answersDropped = true;
    killWaits();
}

void model_link::restore()
{
    m_cut = false;
    m_answersDropped = false;
}

void model_link::killWaits()
{
    const auto giveUp = std::chrono::steady_clock::now() + deadConnectionTimeout;
    for (const auto& one : m_waits) {
        one->dead = true;
        one->timer.armAt(std::min(giveUp, one->until + callTimeout),
            [this, one] { endWait(*one, mayHaveRun(failure_kind::timeout, "dead connection")); });
    }
}

template <typename T> void model_link::answer(callback<T> done, std::function<T()> value)
{
    if (m_answersDropped)
        value();
    if (m_cut || m_answersDropped)
        return failWithTimeout(std::move(done), callTimeout);
    m_loop.post([done = std::move(done), value = std::move(value)] { done(value()); });
}

template <typename T> void model_link::failWithTimeout(callback<T> done, milliseconds timeout)
{
    m_timeouts.push_back(std::make_unique<loop_timer>(m_loop));
    m_timeouts.back()->arm(
        timeout, [done = std::move(done)] { done(mayHaveRun(failure_kind::timeout, "no answer in time")); });
}

void model_link::endWait(wait& ended, result<store_changes> outcome)
{
    const auto done = std::move(ended.done);
    std::erase_if(m_waits, [&](const auto& one) { return one.get() == &ended; });
    done(std::move(outcome));
}

void model_link::answerWaits()
{
    const auto pending = m_waits;
    for (const auto& one : pending) {
        auto changes = m_store.changesAfter(one->prefix, one->after);
        if (one->dead || changes.events.empty())
            continue;
        m_loop.post([done = std::move(one->done), changes = std::move(changes)] { done(changes); });
        std::erase(m_waits, one);
    }
}

void model_link::waitForChange(
    std::string_view prefix, std::int64_t after, milliseconds time, callback<store_changes> done)
{
    ++waitCalls;
    if (m_cut || m_answersDropped)
        return failWithTimeout(std::move(done), std::min(time + callTimeout, deadConnectionTimeout));
    m_waits.push_back(std::make_shared<wait>(wait { std::string(prefix), after,
        std::chrono::steady_clock::now() + time, std::move(done), false, loop_timer(m_loop) }));
    auto& one = m_waits.back();
    one->timer.armAt(one->until, [this, one = std::weak_ptr(one)] {
        if (const auto waiting = one.lock(); waiting && waiting->done)
            endWait(*waiting, store_changes { {}, m_store.revision() });
    });
    answerWaits();
}

void model_link::get(std::string_view, callback<std::optional<stored_value>> done)
{
    answer<std::optional<stored_value>>(std::move(done), [] { return std::nullopt; });
}

void model_link::list(std::string_view prefix, callback<store_listing> done)
{
    answer<store_listing>(
        std::move(done), [this, prefix = std::string(prefix)] { return countPages(m_store.list(prefix)); });
}

void model_link::listStale(std::string_view prefix, callback<store_listing> done)
{
    answer<store_listing>(
        std::move(done), [this, prefix = std::string(prefix)] { return countPages(readStale(prefix)); });
}

void model_link::listFirst(std::string_view prefix, bool stale, callback<store_listing> done)
{
    answer<store_listing>(std::move(done), [this, stale, prefix = std::string(prefix)] {
        auto listing = stale ? readStale(prefix) : m_store.list(prefix);
        listing.more = listing.values.size() > valuesPerPage;
        if (listing.more)
            listing.values.resize(valuesPerPage);
        return countPages(std::move(listing));
    });
}

store_listing model_link::countPages(store_listing listing)
{
    pages += 1 + listing.values.size() / (valuesPerPage + 1);
    return listing;
}

store_listing model_link::readStale(const std::string& prefix)
{
    return staleRevision == 0 ? m_store.list(prefix) : m_store.listAsOf(prefix, staleRevision);
}

void model_link::commit(const store_transaction& transaction, callback<commit_outcome> done)
{
    answer<commit_outcome>(std::move(done), [this, transaction] {
        for (const auto& write : transaction.writes) {
            m_store.write(write.key, write.value);
            m_leased.push_back(write.key);
        }
        return commit_outcome { true, m_store.revision(), {} };
    });
}

void model_link::keepLease(milliseconds timeToLive)
{
    m_timeToLive = timeToLive;
    m_lease.arm(timeToLive, [this] {
        for (const auto& key : std::exchange(m_leased, {}))
            m_store.remove(key);
    });
}

void model_link::grantLease(milliseconds timeToLive, callback<std::int64_t> done)
{
    answer<std::int64_t>(std::move(done), [this, timeToLive] {
        keepLease(timeToLive);
        return std::int64_t { 1 };
    });
}

void model_link::renewLease(std::int64_t, callback<bool> done)
{
    answer<bool>(std::move(done), [this] {
        keepLease(m_timeToLive);
        return true;
    });
}

std::size_t model_link::waiting() const
{
    return static_cast<std::size_t>(
        std::count_if(m_waits.begin(), m_waits.end(), [](const auto& one) { return !one->dead; }));
}

void model_link::endLease(std::int64_t, callback<bool> done)
{
    answer<bool>(std::move(done), [] { return true; });
}

void model_peers::sync(std::string_view address, const sync_question& question, milliseconds timeout,
    std::function<void(result<sync_answer>)> done)
{
    const auto* peer = m_fleet.at(address);
    const bool unreachable = !peer || peer->partitioned != m_fleet.processes[m_self]->partitioned;
    if (!unreachable)
        return m_fleet.loop.post(
            [done = std::move(done), answer = peer->watch.answer(question.known)] { done(answer); });
    m_timeouts.push_back(std::make_unique<loop_timer>(m_fleet.loop));
    m_timeouts.back()->arm(
        timeout, [done = std::move(done)] { done(mayHaveRun(failure_kind::timeout, "no answer in time")); });
}

namespace {

const model_codec codec;

fleet_watch::listeners noListeners()
{
    const auto ignore = [] {};
    return { ignore, [](auto) {}, ignore, ignore };
}

} // namespace

model_process::model_process(
    model_fleet& fleet, std::size_t index, node_record self, const fleet_options& options)
    : record(std::move(self))
    , link(fleet.loop, fleet.store)
    , store(link, figures)
    , peers(fleet, index)
    , watch(fleet.loop, store, peers, codec, record, options, noListeners())
    , registered(fleet.loop, store, record, {})
{
}

bool model_process::uses(const std::string& target) const
{
    const auto& targets = watch.targets().targets();
    const auto found = targets.find(target);
    return found != targets.end() && !found->second->draining;
}

model_fleet::model_fleet(event_loop& eventLoop, std::size_t zones, std::size_t entriesPerZone)
    : loop(eventLoop)
{
    store.write("orders/config", "1");
    for (std::size_t zone = 0; zone < zones; ++zone) {
        for (std::size_t i = 0; i < entriesPerZone; ++i) {
            m_starts.push_back(std::make_unique<loop_timer>(loop));
            m_starts.back()->arm(std::min(i, registeredPerZone) * startInterval,
                [this, name = "zone-" + std::to_string(zone), i] { add(name, i < registeredPerZone); });
        }
    }
}

model_process& model_fleet::add(const std::string& zone, bool registers)
{
    const auto vm = zone + "-" + std::to_string(processes.size());
    return start({ vm, node_role::entry, zone, vm + ":1", 1, false }, registers);
}

model_process& model_fleet::addBatch(const std::string& zone)
{
    const auto vm = zone + "-batch-" + std::to_string(processes.size());
    return start({ vm, node_role::batch, zone, vm + ":1", 1, false }, true);
}

model_process& model_fleet::start(node_record record, bool registers)
{
    fleet_options options;
    options.startupGrace = milliseconds { 1000 };
    const auto index = processes.size();
    processes.push_back(std::make_unique<model_process>(*this, index, std::move(record), options));
    auto& added = *processes.back();
    added.watch.start();
    if (registers) {
        added.watch.joinFleet();
        added.registered.start();
    }
    return added;
}

std::vector<model_process*> model_fleet::of(const std::string& zone)
{
    std::vector<model_process*> found;
    for (const auto& process : processes) {
        if (process->record.zone == zone)
            found.push_back(process.get());
    }
    return found;
}

model_process* model_fleet::at(std::string_view address)
{
    const auto found = std::find_if(processes.begin(), processes.end(),
        [&](const auto& process) { return process->record.address == address; });
    return found == processes.end() ? nullptr : found->get();
}

} // namespace yuccachute
