#include "mirror/mirror.h"

#include "membership/membership.h"

#include <algorithm>
#include <utility>

namespace yuccachute {

namespace {

/// Peers synchronize several times a second, so even if a whole large fleet stops at once only a few of these
/// are requested.
constexpr std::size_t maxRememberedRemovals = 1000;

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
    const auto found = std::lower_bound(entries.begin(), entries.end(), key, byKey);
    return found != entries.end() && found->key() == key;
}

/// Digest of the keys of a slice, independent of their order. Never 0.
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
    const auto found = findEntry(entries, entry.key());
    const bool exists = found != entries.end() && found->key() == entry.key();
    if (exists && found->revision() >= entry.revision())
        return false;
    if (exists)
        *found = entry;
    else
        entries.insert(found, entry);
    m_changes.push_back({ entry, section_change::kind::written });
    return true;
}

bool section_history::remove(const std::string& key, std::int64_t revision)
{
    auto& entries = m_section.entries;
    const auto found = findEntry(entries, key);
    if (found == entries.end() || found->key() != key || found->revision() >= revision)
        return false;
    m_changes.push_back({ std::move(*found), section_change::kind::removed });
    entries.erase(found);
    recordRemoval(key, revision);
    return true;
}

void section_history::recordRemoval(const std::string& key, std::int64_t revision)
{
    m_removals.push_back({ key, revision });
    if (m_removals.size() <= maxRememberedRemovals)
        return;
    m_removalsKnownFrom = std::max(m_removalsKnownFrom, m_removals.front().revision);
    m_removals.pop_front();
}

bool section_history::replace(std::int64_t revision, std::vector<section_entry> entries)
{
    const auto slice = std::exchange(m_requestedSlice, std::nullopt).value_or(m_slice);
    // Removals of keys that this copy did not have are unknown.
    const bool first = m_section.revision == 0 || m_partial || slice != m_slice;
    m_slice = slice;
    std::erase_if(entries, [this](const auto& entry) { return !m_slice.contains(entry.key()); });
    sortByKey(entries);
    entries.shrink_to_fit();
    m_needsFullCopy = false;
    m_partial = false;
    const auto former = std::exchange(m_section.entries, std::move(entries));
    m_section.revision = revision;
    if (first)
        m_removalsKnownFrom = revision;
    const auto before = m_changes.size();
    reportDifferences(former);
    return first || m_changes.size() > before;
}

/// Adds the differences between a former copy and the current one to the pending changes.
void section_history::reportDifferences(std::span<const section_entry> former)
{
    auto old = former.begin();
    for (const auto& entry : m_section.entries) {
        for (; old != former.end() && old->key() < entry.key(); ++old)
            reportRemoved(*old);
        const bool known = old != former.end() && old->key() == entry.key();
        if (!known || !(*old == entry))
            m_changes.push_back({ entry, section_change::kind::written });
        if (known)
            ++old;
    }
    std::for_each(old, former.end(), [this](const auto& entry) { reportRemoved(entry); });
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
    m_partial = true;
}

/// The exact revision of the removal is unknown, only that the key no longer exists at the copy's revision.
void section_history::reportRemoved(const section_entry& entry)
{
    if (!m_slice.contains(entry.key())) {
        m_changes.push_back({ entry, section_change::kind::released });
        return;
    }
    m_changes.push_back({ entry, section_change::kind::removed });
    recordRemoval(std::string(entry.key()), m_section.revision);
}

bool section_history::apply(std::span<const store_event> events, std::int64_t revision)
{
    bool changed = false;
    const auto known = m_section.revision;
    for (const auto& event : events) {
        const auto& value = event.value;
        // The copy is complete up to its revision. A peer's newer update may overtake an answer of the store;
        // applying the older answer would restore a removed key permanently.
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
    const bool sliceDiffers = update.slice != m_slice;
    const bool newer = update.revision > m_section.revision;
    const bool sameRevision = update.revision == m_section.revision;
    if (update.basedOn == 0 && (newer || m_partial || (sliceDiffers && sameRevision))) {
        setSlice(update.slice);
        return replace(update.revision, update.changed);
    }
    if (sliceDiffers || !newer || update.basedOn == 0 || m_partial || m_section.revision < update.basedOn)
        return std::nullopt;
    bool changed = false;
    for (const auto& key : update.removed)
        changed = remove(key, update.revision) || changed;
    for (const auto& entry : update.changed)
        changed = set(entry) || changed;
    m_needsFullCopy = update.keysDigest != 0 && update.keysDigest != digestOf(m_section.entries, m_slice);
    if (!m_needsFullCopy)
        m_section.revision = update.revision;
    return changed;
}

void section_history::recordUnchanged(std::int64_t from, std::int64_t until)
{
    if (m_section.revision >= from && !m_needsFullCopy && !m_partial)
        m_section.revision = std::max(m_section.revision, until);
}

section_update section_history::updateSince(std::int64_t revision, const section_slice& slice) const
{
    section_update update { m_section.prefix, m_section.revision, {}, 0, {}, 0, slice };
    for (const auto& entry : m_section.entries) {
        if ((revision == 0 || entry.revision() > revision) && slice.contains(entry.key()))
            update.changed.push_back(entry);
    }
    if (revision == 0)
        return update;
    update.basedOn = revision;
    // A copy that was read shortly before this one has rarely missed a removal, so the digest is checked
    // first and a full copy is sent only on a mismatch. When 300 processes start at once, this applies to all
    // of them: sending each a full copy of 3,000 targets, 900 KB, saturated the links of the processes that
    // answered for half a minute.
    if (revision < m_removalsKnownFrom)
        update.keysDigest = digestOf(m_section.entries, slice);
    // Keys that exist again are left out: a removal received from a peer is recorded at the peer's revision,
    // which may be later than the key's re-creation. A receiver whose copy lies in between would drop the
    // entry permanently.
    for (const auto& removal : m_removals) {
        const bool isRelevant = removal.revision > revision && slice.contains(removal.key);
        if (isRelevant && !containsKey(m_section.entries, removal.key))
            update.removed.push_back(removal.key);
    }
    return update;
}

} // namespace yuccachute
