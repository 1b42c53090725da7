#include "mirror/mirror.h"

#include "logging/logging.h"

#include <algorithm>
#include <utility>

namespace yuccachute {

namespace {

/// Each return of a waiting call is priced, so it waits long; the connection's probes find one that has died.
constexpr milliseconds longestWait { 30000 };
constexpr milliseconds firstPause { 60 };
constexpr unsigned mostDoublings = 8;

bool byKey(const section_entry& entry, const std::string& key)
{
    return entry.key < key;
}

} // namespace

store_mirror::store_mirror(
    event_loop& loop, async_store& store, std::string prefix, milliseconds pauseAfterChange, listener changed)
    : m_loop(loop)
    , m_store(store)
    , m_changed(std::move(changed))
    , m_pauseAfterChange(pauseAfterChange)
    , m_pause(loop)
    , m_random(std::random_device {}())
{
    m_section.prefix = std::move(prefix);
}

void store_mirror::start()
{
    read();
}

void store_mirror::answered()
{
    if (m_failures > 0)
        logEvent(log_level::info, "store answers again", { { "prefix", m_section.prefix } });
    m_failures = 0;
    m_connected = true;
}

void store_mirror::failed(const failure& error, std::function<void()> again)
{
    if (m_failures == 0)
        logEvent(log_level::warning, "store does not answer",
            { { "prefix", m_section.prefix }, { "revision", m_section.revision },
                { "message", error.message } });
    m_connected = false;
    // With jitter: all processes lose the store at the same moment and must not come back at the same moment.
    const auto pause = std::min(firstPause * (1 << std::min(m_failures, mostDoublings)), m_longestPause);
    const auto jitter = milliseconds { m_random() % static_cast<unsigned>(pause.count()) };
    ++m_failures;
    m_pause.arm(pause / 2 + jitter, std::move(again));
}

void store_mirror::read()
{
    m_store.list(m_section.prefix, [this, round = ++m_round](result<store_listing> listing) {
        if (round != m_round)
            return;
        if (!listing)
            return failed(listing.error(), [this] { read(); });
        answered();
        if (listing.value().revision >= m_section.revision) {
            m_section.revision = listing.value().revision;
            m_section.entries.clear();
            for (const auto& value : listing.value().values)
                m_section.entries.push_back({ value.key, value.value, value.modRevision });
            std::sort(m_section.entries.begin(), m_section.entries.end(),
                [](const auto& left, const auto& right) { return left.key < right.key; });
            m_changed(*this);
        }
        follow();
    });
}

void store_mirror::setFollowing(bool following)
{
    m_following = following;
    if (m_following && std::exchange(m_idle, false))
        follow();
}

void store_mirror::follow()
{
    m_idle = !m_following;
    if (m_idle)
        return;
    m_store.waitForChange(m_section.prefix, m_section.revision, longestWait,
        [this, round = ++m_round](result<store_changes> changes) {
            if (round != m_round)
                return;
            if (!changes && changes.error().kind == failure_kind::gone)
                return read();
            if (!changes)
                return failed(changes.error(), [this] { follow(); });
            answered();
            apply(changes.value());
            if (changes.value().events.empty() || m_pauseAfterChange.count() == 0)
                return follow();
            m_pause.arm(m_pauseAfterChange, [this] { follow(); });
        });
}

void store_mirror::apply(const store_changes& changes)
{
    bool changed = false;
    for (const auto& event : changes.events) {
        const auto& value = event.value;
        auto place = std::lower_bound(m_section.entries.begin(), m_section.entries.end(), value.key, byKey);
        const bool exists = place != m_section.entries.end() && place->key == value.key;
        if (exists && place->revision >= value.modRevision)
            continue; // A change that the copy has already, from a peer or an overlapping read.
        changed = true;
        if (event.removed && exists)
            m_section.entries.erase(place);
        else if (!event.removed && exists)
            *place = { value.key, value.value, value.modRevision };
        else if (!event.removed)
            m_section.entries.insert(place, { value.key, value.value, value.modRevision });
    }
    m_section.revision = std::max(m_section.revision, changes.revision);
    if (changed)
        m_changed(*this);
}

bool store_mirror::offer(const store_section& copy)
{
    if (copy.prefix != m_section.prefix || copy.revision <= m_section.revision)
        return false;
    const auto before = m_section.revision;
    const bool changed = m_section.entries != copy.entries;
    m_section = copy;
    if (!changed)
        return true; // Only the store's revision is newer.
    logEvent(log_level::info, "copy taken from a peer",
        { { "prefix", copy.prefix }, { "revision", copy.revision }, { "before", before } });
    m_changed(*this);
    return true;
}

} // namespace yuccachute
