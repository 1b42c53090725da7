#include "platform_store.h"

#include <openssl/evp.h>

#include <charconv>

namespace yuccachute::standin {

using nlohmann::json;

namespace {

constexpr milliseconds tickInterval { 20 };

http_listener_options listenAt(const std::string& address)
{
    http_listener_options options;
    const auto colon = address.rfind(':');
    options.address = address.substr(0, colon);
    options.port = static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)));
    options.limits.idleTimeout = milliseconds { 60000 };
    return options;
}

std::int64_t numberOf(const std::string& text)
{
    return text.empty() ? 0 : std::stoll(text);
}

} // namespace

std::string encodeBase64(const std::string& bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    text.resize(static_cast<std::size_t>(EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()))));
    return text;
}

std::string decodeBase64(const std::string& text)
{
    std::string bytes(text.size(), '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    bytes.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
    for (std::size_t i = 0; i < 2 && i < text.size() && text[text.size() - 1 - i] == '='; ++i)
        bytes.pop_back();
    return bytes;
}

platform_store::platform_store(event_loop& loop, const std::string& address)
    : m_loop(loop)
    , m_listener(std::make_unique<http_listener>(
          loop, listenAt(address), [this](auto caller) { serve(std::move(caller)); }))
    , m_ticker(loop, tickInterval, [this] { tick(); })
{
}

json platform_store::describe(const std::string& key, const item& found) const
{
    return { { "key", key }, { "value", found.value }, { "revision", found.revision },
        { "created", found.created }, { "lease", found.lease } };
}

void platform_store::record(const std::string& key, bool removed)
{
    m_history.push_back({ m_revision, key, removed, removed ? item {} : m_items[key] });
}

std::int64_t platform_store::put(const std::string& key, const json& value)
{
    return putBytes(key, value.dump());
}

std::int64_t platform_store::putBytes(const std::string& key, const std::string& value)
{
    ++m_revision;
    auto& found = m_items[key];
    found = { encodeBase64(value), m_revision, found.created == 0 ? m_revision : found.created, 0 };
    record(key, false);
    tick();
    return m_revision;
}

void platform_store::remove(const std::string& key)
{
    if (m_items.erase(key) == 0)
        return;
    ++m_revision;
    record(key, true);
    tick();
}

void platform_store::revokeAll()
{
    while (!m_leases.empty())
        endLease(m_leases.begin()->first);
    tick();
}

void platform_store::compact()
{
    m_history.clear();
    m_forgotten = m_revision;
    for (auto& waiting : m_watchers)
        waiting.caller->abort();
    m_watchers.clear();
}

json platform_store::get(const std::string& key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? json() : json::parse(decodeBase64(found->second.value), nullptr, false);
}

std::size_t platform_store::count(const std::string& prefix) const
{
    std::size_t keys = 0;
    for (const auto& [key, value] : m_items)
        keys += key.starts_with(prefix) ? 1 : 0;
    return keys;
}

void platform_store::answer(http_exchange& caller, unsigned status, const json& body)
{
    caller.send({ status, { { "Content-Type", "application/json" } }, body.dump() });
}

void platform_store::serve(std::shared_ptr<http_exchange> caller)
{
    ++m_calls;
    const auto& query = caller->request().query;
    const bool silent = !faults.silentPrefix.empty()
        && (queryParameter(query, "prefix").starts_with(faults.silentPrefix)
            || queryParameter(query, "key").starts_with(faults.silentPrefix));
    if (faults.down || silent) {
        m_unanswered.push_back(std::move(caller));
        return;
    }
    if (faults.busy)
        return answer(*caller, 503, json::object());
    const auto work = [this, caller] {
        const auto& request = caller->request();
        if (request.path == "/kv-key")
            return getKey(*caller);
        if (request.path == "/kv-range")
            return range(*caller);
        if (request.path == "/kv-watch")
            return watch(caller);
        if (request.path == "/kv-txn")
            return commit(caller);
        lease(*caller, request.path);
    };
    if (faults.delayMs == 0)
        return work();
    auto timer = std::make_shared<loop_timer>(m_loop);
    timer->arm(milliseconds { faults.delayMs }, [work, timer] { work(); });
}

void platform_store::getKey(http_exchange& caller)
{
    const auto key = queryParameter(caller.request().query, "key");
    const auto found = m_items.find(key);
    if (found == m_items.end())
        return answer(caller, 404, { { "as_of", m_revision } });
    auto body = describe(key, found->second);
    body["as_of"] = m_revision;
    answer(caller, 200, body);
}

void platform_store::range(http_exchange& caller)
{
    constexpr std::size_t pageItems = 3; // Small, so that every reader has to ask for more pages.
    const auto prefix = queryParameter(caller.request().query, "prefix");
    const auto after = queryParameter(caller.request().query, "after");
    auto items = json::array();
    bool more = false;
    for (const auto& [key, value] : m_items) {
        if (!key.starts_with(prefix) || key <= after)
            continue;
        more = items.size() == pageItems;
        if (more)
            break;
        items.push_back(describe(key, value));
    }
    answer(caller, 200, { { "items", items }, { "more_pages", more }, { "as_of", m_revision } });
}

void platform_store::watch(std::shared_ptr<http_exchange> caller)
{
    const auto& query = caller->request().query;
    watcher waiting { caller, queryParameter(query, "prefix"), numberOf(queryParameter(query, "after")),
        std::chrono::steady_clock::now() + milliseconds { numberOf(queryParameter(query, "wait_ms")) } };
    if (waiting.after < m_forgotten)
        return answer(*caller, 410, json::object());
    if (!tell(waiting, false))
        m_watchers.push_back(std::move(waiting));
}

bool platform_store::tell(watcher& waiting, bool always)
{
    auto events = json::array();
    for (const auto& one : m_history) {
        if (one.revision <= waiting.after || !one.key.starts_with(waiting.prefix))
            continue;
        if (one.removed)
            events.push_back({ { "key", one.key }, { "revision", one.revision }, { "removed", true } });
        else
            events.push_back(describe(one.key, one.now));
    }
    if (events.empty() && !always)
        return false;
    answer(*waiting.caller, 200, { { "events", events }, { "as_of", m_revision } });
    return true;
}

json platform_store::execute(const json& transaction, unsigned& status)
{
    auto items = json::array();
    bool held = true;
    for (const auto& condition : transaction.value("expected", json::array())) {
        const auto found = m_items.find(condition.at("key"));
        const auto at = found == m_items.end() ? 0 : found->second.revision;
        held = held && at == condition.at("revision").get<std::int64_t>();
        if (found != m_items.end())
            items.push_back(describe(found->first, found->second));
    }
    status = held ? 200 : 412;
    if (!held)
        return { { "items", items } };
    for (const auto& write : transaction.value("set_keys", json::array())) {
        const auto lease = write.value("lease", std::int64_t { 0 });
        if (lease != 0 && !m_leases.contains(lease)) {
            status = 404;
            return json::object();
        }
    }
    ++m_revision;
    for (const auto& write : transaction.value("set_keys", json::array())) {
        const std::string key = write.at("key");
        auto& found = m_items[key];
        found = { write.at("value"), m_revision, found.created == 0 ? m_revision : found.created,
            write.value("lease", std::int64_t { 0 }) };
        record(key, false);
    }
    for (const auto& key : transaction.value("remove", json::array())) {
        if (m_items.erase(key.get<std::string>()) > 0)
            record(key, true);
    }
    return { { "revision", m_revision } };
}

void platform_store::commit(std::shared_ptr<http_exchange> caller)
{
    const auto transaction = json::parse(caller->request().body.str());
    const bool lost = std::uniform_real_distribution<>(0, 1)(m_random) < faults.loseAnswers;
    unsigned status = 200;
    if (lost && faults.executeLaterMs > 0) {
        auto timer = std::make_shared<loop_timer>(m_loop);
        timer->arm(milliseconds { faults.executeLaterMs }, [this, transaction, timer] {
            unsigned ignored = 0;
            execute(transaction, ignored);
            tick();
        });
        m_unanswered.push_back(std::move(caller));
        return;
    }
    const auto body = execute(transaction, status);
    if (lost)
        m_unanswered.push_back(std::move(caller));
    else
        answer(*caller, status, body);
    tick();
}

void platform_store::lease(http_exchange& caller, const std::string& path)
{
    const auto now = std::chrono::steady_clock::now();
    if (path == "/kv-lease") {
        const int ttl = json::parse(caller.request().body.str()).at("ttl_ms");
        m_leases[++m_nextLease] = { ttl, now + milliseconds { ttl } };
        return answer(caller, 200, { { "lease", m_nextLease }, { "ttl_ms", ttl } });
    }
    const auto slash = path.rfind('/');
    const auto id = numberOf(path.substr(slash + 1));
    const auto found = m_leases.find(id);
    if (found == m_leases.end())
        return answer(caller, 404, json::object());
    if (path.starts_with("/kv-lease-end/")) {
        endLease(id);
        return answer(caller, 200, json::object());
    }
    found->second.lapses = now + milliseconds { found->second.ttlMs };
    answer(caller, 200, { { "ttl_ms", found->second.ttlMs } });
}

void platform_store::endLease(std::int64_t lease)
{
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, value] : m_items) {
        if (value.lease == lease)
            keys.push_back(key);
    }
    for (const auto& key : keys) {
        ++m_revision;
        m_items.erase(key);
        record(key, true);
    }
}

void platform_store::tick()
{
    const auto now = std::chrono::steady_clock::now();
    if (faults.down && !faults.lapse) { // Leases stand still.
        for (auto& [id, state] : m_leases)
            state.lapses = std::max(state.lapses, now + milliseconds { state.ttlMs });
    }
    std::vector<std::int64_t> lapsed;
    for (const auto& [id, state] : m_leases) {
        if (state.lapses <= now)
            lapsed.push_back(id);
    }
    for (const auto id : lapsed)
        endLease(id);
    if (faults.down)
        return;
    m_unanswered.remove_if([&](const auto& caller) {
        // A call whose answer was lost gets none; its caller gives up by itself.
        return now - caller->received() > milliseconds { 10000 };
    });
    m_watchers.remove_if([&](auto& waiting) { return tell(waiting, waiting.until <= now); });
}

} // namespace yuccachute::standin
