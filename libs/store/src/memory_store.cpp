#include "store/store.h"

#include <algorithm>
#include <list>
#include <map>
#include <mutex>

namespace yuccachute {

struct memory_store::impl {
    struct lease {
        std::chrono::seconds ttl { 0 };
        steady_time expires;
    };
    struct watcher {
        std::string prefix;
        std::function<void(std::span<const store_event>, std::int64_t)> changed;
    };

    std::mutex mutex;
    std::map<std::string, stored_value, std::less<>> values;
    std::map<std::int64_t, lease> leases;
    std::list<watcher> watchers;
    std::vector<std::pair<std::int64_t, store_event>> history;
    std::int64_t revision = 1;
    std::int64_t nextLease = 1000;

    bool isMet(const store_condition& condition) const
    {
        const auto found = values.find(condition.key);
        const bool exists = found != values.end();
        switch (condition.what) {
        case store_condition::kind::absent:
            return !exists;
        case store_condition::kind::create_revision:
            return (exists ? found->second.createRevision : 0) == condition.revision;
        case store_condition::kind::mod_revision:
            return (exists ? found->second.modRevision : 0) == condition.revision;
        }
        return false;
    }

    void removeKeys(const store_removal& removal, std::vector<store_event>& events)
    {
        auto at = values.lower_bound(removal.key);
        while (at != values.end()
            && (removal.prefix ? at->first.starts_with(removal.key) : at->first == removal.key)) {
            store_event event { true, at->second };
            event.value.modRevision = revision;
            event.value.value.clear();
            events.push_back(std::move(event));
            at = values.erase(at);
        }
    }

    void apply(std::span<const store_write> writes, std::span<const store_removal> removals)
    {
        ++revision;
        std::vector<store_event> events;
        for (const auto& removal : removals)
            removeKeys(removal, events);
        for (const auto& write : writes) {
            auto& value = values[write.key];
            value.key = write.key;
            value.value = write.value;
            value.createRevision = value.createRevision == 0 ? revision : value.createRevision;
            value.modRevision = revision;
            value.lease = write.lease;
            events.push_back({ false, value });
        }
        for (const auto& event : events)
            history.emplace_back(revision, event);
        notify(events);
    }

    void notify(std::span<const store_event> events)
    {
        for (const auto& watcher : watchers) {
            std::vector<store_event> matching;
            std::copy_if(events.begin(), events.end(), std::back_inserter(matching),
                [&](const auto& event) { return event.value.key.starts_with(watcher.prefix); });
            if (!matching.empty())
                watcher.changed(matching, revision);
        }
    }

    void removeLease(std::int64_t id)
    {
        leases.erase(id);
        std::vector<store_removal> removals;
        for (const auto& [key, value] : values) {
            if (value.lease == id)
                removals.push_back({ key, false });
        }
        if (!removals.empty())
            apply({}, removals);
    }
};

namespace {

class memory_watch final : public store_watch {
public:
    explicit memory_watch(std::function<void()> stop)
        : m_stop(std::move(stop))
    {
    }
    ~memory_watch() override { m_stop(); }

private:
    std::function<void()> m_stop;
};

} // namespace

memory_store::memory_store()
    : m_impl(std::make_shared<impl>())
{
}

memory_store::~memory_store() = default;

result<store_listing> memory_store::list(
    std::string_view prefix, std::string_view after, std::size_t limit, bool keysOnly)
{
    if (fault) {
        if (auto injected = fault("list"))
            return *injected;
    }
    const std::scoped_lock lock(m_impl->mutex);
    store_listing listing;
    listing.revision = m_impl->revision;
    auto at = after.empty() ? m_impl->values.lower_bound(prefix) : m_impl->values.upper_bound(after);
    for (; at != m_impl->values.end() && at->first.starts_with(prefix); ++at) {
        if (limit != 0 && listing.values.size() == limit) {
            listing.more = true;
            break;
        }
        listing.values.push_back(at->second);
        if (keysOnly)
            listing.values.back().value.clear();
    }
    return listing;
}

result<std::optional<stored_value>> memory_store::get(std::string_view key)
{
    if (fault) {
        if (auto injected = fault("get"))
            return *injected;
    }
    const std::scoped_lock lock(m_impl->mutex);
    const auto found = m_impl->values.find(key);
    return found == m_impl->values.end() ? std::optional<stored_value>() : found->second;
}

result<commit_outcome> memory_store::commit(const store_transaction& transaction)
{
    std::optional<failure> injected = fault ? fault("commit") : std::nullopt;
    if (injected && injected->ran == verdict::not_run)
        return *injected;
    const std::scoped_lock lock(m_impl->mutex);
    for (const auto& write : transaction.writes) {
        if (write.lease != 0 && !m_impl->leases.contains(write.lease))
            return notRun(failure_kind::not_found, "requested lease not found");
    }
    commit_outcome outcome;
    outcome.applied = std::all_of(transaction.conditions.begin(), transaction.conditions.end(),
        [&](const auto& condition) { return m_impl->isMet(condition); });
    if (outcome.applied && !(transaction.writes.empty() && transaction.removals.empty()))
        m_impl->apply(transaction.writes, transaction.removals);
    if (!outcome.applied) {
        for (const auto& key : transaction.readOtherwise) {
            const auto found = m_impl->values.find(key);
            outcome.found.push_back(
                found == m_impl->values.end() ? stored_value { key, {}, 0, 0, 0 } : found->second);
        }
    }
    outcome.revision = m_impl->revision;
    if (injected)
        return *injected;
    return outcome;
}

result<std::int64_t> memory_store::grantLease(std::chrono::seconds ttl)
{
    if (fault) {
        if (auto injected = fault("grantLease"))
            return *injected;
    }
    const std::scoped_lock lock(m_impl->mutex);
    const auto id = m_impl->nextLease++;
    m_impl->leases[id] = { ttl, std::chrono::steady_clock::now() + ttl };
    return id;
}

result<void> memory_store::renewLease(std::int64_t lease)
{
    if (fault) {
        if (auto injected = fault("renewLease"))
            return *injected;
    }
    const std::scoped_lock lock(m_impl->mutex);
    const auto found = m_impl->leases.find(lease);
    if (found == m_impl->leases.end())
        return notRun(failure_kind::not_found, "requested lease not found");
    found->second.expires = std::chrono::steady_clock::now() + found->second.ttl;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> memory_store::revokeLease(std::int64_t lease)
{
    const std::scoped_lock lock(m_impl->mutex);
    m_impl->removeLease(lease);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::unique_ptr<store_watch> memory_store::watch(std::string_view prefix, std::int64_t fromRevision,
    std::function<void(std::span<const store_event>, std::int64_t)> changed, std::function<void()>)
{
    const std::scoped_lock lock(m_impl->mutex);
    for (const auto& [revision, event] : m_impl->history) {
        if (fromRevision > 0 && revision >= fromRevision && event.value.key.starts_with(prefix))
            changed(std::span(&event, 1), revision);
    }
    const auto entry
        = m_impl->watchers.insert(m_impl->watchers.end(), { std::string(prefix), std::move(changed) });
    return std::make_unique<memory_watch>([impl = m_impl, entry] {
        const std::scoped_lock stopLock(impl->mutex);
        impl->watchers.erase(entry);
    });
}

void memory_store::expireLeases(steady_time now)
{
    const std::scoped_lock lock(m_impl->mutex);
    std::vector<std::int64_t> expired;
    for (const auto& [id, lease] : m_impl->leases) {
        if (lease.expires <= now)
            expired.push_back(id);
    }
    for (auto id : expired)
        m_impl->removeLease(id);
}

} // namespace yuccachute
