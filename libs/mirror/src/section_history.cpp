#include "mirror/mirror.h"

#include "membership/membership.h"

#include <algorithm>
#include <utility>

namespace yuccachute {

namespace {

/// A process asks several times a second, so even when all of a large fleet go at once few of these are ever
/// asked for.
constexpr std::size_t mostRemovals = 1000;

bool byKey(const section_entry& entry, std::string_view key)
{
    return entry.key() < key;
}

void sortByKey(std::vector<section_entry>& entries)
{
    std::sort(entries.begin(), entries.end(),
        [](const auto& left, const auto& right) { return left.key() < right.key(); });
}

auto findEntry(std::vector<section_entry>& entries, std::string_view key)
{
    return std::lower_bound(entries.begin(), entries.end(), key, byKey);
}

bool containsKey(const std::vector<section_entry>& entries, std::string_view key)
{
    const auto place = std::lower_bound(entries.begin(), entries.end(), key, byKey);
    return place != entries.end() && place->key() == key;
}

/// Never 0. Whatever the order of the keys.
std::uint64_t digestOf(std::span<const section_entry> entries, const section_slice& slice)
{
    std::uint64_t digest = 0;
    for (const auto& entry : entries)
        digest += slice.contains(entry.key()) ? 1 + hashText(entry.key()) : 0;
    return digest == 0 ? 1 : digest;
}

} // namespace

bool section_history::set(const section_entry& entry)
{
    if (!m_slice.contains(entry.key()))
        return false;
    auto& entries = m_section.entries;
    const auto place = findEntry(entries, entry.key());
    const bool exists = place != entries.end() && place->key() == entry.key();
    if (exists && place->revision() >= entry.revision())
        return false;
    if (exists)
        *place = entry;
    else
        entries.insert(place, entry);
    m_changes.push_back({ entry, section_change::kind::written });
    return true;
}

bool section_history::remove(const std::string& key, std::int64_t revision)
{
    auto& entries = m_section.entries;
    const auto place = findEntry(entries, key);
    if (place == entries.end() || place->key() != key || place->revision() >= revision)
        return false;
    m_changes.push_back({ std::move(*place), section_change::kind::removed });
    entries.erase(place);
    noteRemoval(key, revision);
    return true;
}

void section_history::noteRemoval(const std::string& key, std::int64_t revision)
{
    m_removals.push_back({ key, revision });
    if (m_removals.size() <= mostRemovals)
        return;
    m_completeFrom = std::max(m_completeFrom, m_removals.front().revision);
    m_removals.pop_front();
}

bool section_history::replace(std::int64_t revision, std::vector<section_entry> entries)
{
    const auto slice = std::exchange(m_nextSlice, std::nullopt).value_or(m_slice);
    // Of keys that were not held nobody has told that they went.
    const bool first = m_section.revision == 0 || m_begun || slice != m_slice;
    m_slice = slice;
    std::erase_if(entries, [this](const auto& entry) { return !m_slice.contains(entry.key()); });
    sortByKey(entries);
    entries.shrink_to_fit();
    m_wantsWhole = false;
    m_begun = false;
    const auto former = std::exchange(m_section.entries, std::move(entries));
    m_section.revision = revision;
    if (first)
        m_completeFrom = revision;
    const auto before = m_changes.size();
    noteReplaced(former);
    return first || m_changes.size() > before;
}

/// What differs between a former copy and the present one.
void section_history::noteReplaced(std::span<const section_entry> former)
{
    auto old = former.begin();
    for (const auto& entry : m_section.entries) {
        for (; old != former.end() && old->key() < entry.key(); ++old)
            noteRemoved(*old);
        const bool known = old != former.end() && old->key() == entry.key();
        if (!known || !(*old == entry))
            m_changes.push_back({ entry, section_change::kind::written });
        if (known)
            ++old;
    }
    std::for_each(old, former.end(), [this](const auto& entry) { noteRemoved(entry); });
}

void section_history::begin(std::int64_t revision, std::vector<section_entry> some)
{
    sortByKey(some);
    for (auto& entry : std::exchange(m_section.entries, {})) {
        if (!containsKey(some, entry.key()))
            m_changes.push_back({ std::move(entry), section_change::kind::released });
    }
    for (const auto& entry : some)
        m_changes.push_back({ entry, section_change::kind::written });
    m_section.entries = std::move(some);
    m_section.revision = revision;
    m_slice = {};
    m_removals.clear();
    m_begun = true;
}

/// When it went is not known, only that it had by the present revision.
void section_history::noteRemoved(const section_entry& entry)
{
    if (!m_slice.contains(entry.key())) {
        m_changes.push_back({ entry, section_change::kind::released });
        return;
    }
    m_changes.push_back({ entry, section_change::kind::removed });
    noteRemoval(std::string(entry.key()), m_section.revision);
}

bool section_history::apply(std::span<const store_event> events, std::int64_t revision)
{
    bool changed = false;
    const auto known = m_section.revision;
    for (const auto& event : events) {
        const auto& value = event.value;
        // The copy is complete up to its revision. An answer of the store that was on its way while a peer
        // told more would otherwise bring back a key that has gone since, for good.
        if (value.modRevision <= known)
            continue;
        const bool other = event.removed ? remove(value.key, value.modRevision)
                                         : set(section_entry(value.key, value.value, value.modRevision));
        changed = changed || other;
    }
    m_section.revision = std::max(m_section.revision, revision);
    return changed;
}

std::optional<bool> section_history::apply(const section_update& update)
{
    if (update.prefix != m_section.prefix)
        return std::nullopt;
    const bool otherSlice = update.slice != m_slice;
    const bool newer = update.revision > m_section.revision;
    const bool sameRevision = update.revision == m_section.revision;
    if (update.basedOn == 0 && (newer || m_begun || (otherSlice && sameRevision))) {
        setSlice(update.slice);
        return replace(update.revision, update.changed);
    }
    if (otherSlice || !newer || update.basedOn == 0 || m_begun || m_section.revision < update.basedOn)
        return std::nullopt;
    bool changed = false;
    for (const auto& key : update.removed)
        changed = remove(key, update.revision) || changed;
    for (const auto& entry : update.changed)
        changed = set(entry) || changed;
    m_wantsWhole = update.keysDigest != 0 && update.keysDigest != digestOf(m_section.entries, m_slice);
    if (!m_wantsWhole)
        m_section.revision = update.revision;
    return changed;
}

void section_history::noteUnchanged(std::int64_t from, std::int64_t until)
{
    if (m_section.revision >= from && !m_wantsWhole && !m_begun)
        m_section.revision = std::max(m_section.revision, until);
}

section_update section_history::since(std::int64_t revision, const section_slice& slice) const
{
    section_update update { m_section.prefix, m_section.revision, {}, 0, {}, 0, slice };
    for (const auto& entry : m_section.entries) {
        if ((revision == 0 || entry.revision() > revision) && slice.contains(entry.key()))
            update.changed.push_back(entry);
    }
    if (revision == 0)
        return update;
    update.basedOn = revision;
    // An asker that has read its copy a moment before this process has rarely missed a removal. When 300
    // processes start at once all are such, and 900 KB of 3,000 targets for each kept the links of those that
    // they asked busy for half a minute.
    if (revision < m_completeFrom)
        update.keysDigest = digestOf(m_section.entries, slice);
    // A key that has come back is not named: a removal that was heard of from a peer is noted at the peer's
    // revision, which may be later than the return, and an asker in between would drop the entry for good.
    for (const auto& gone : m_removals) {
        const bool told = gone.revision > revision && slice.contains(gone.key);
        if (told && !containsKey(m_section.entries, gone.key))
            update.removed.push_back(gone.key);
    }
    return update;
}

} // namespace yuccachute
