#include "messages/messages.h"

#include "membership/membership.h"

#include <algorithm>
#include <bit>

namespace yuccachute {

namespace {

/// Large enough to include entries of each zone, so that a process that is partitioned from all others still
/// knows some of them, and small enough for one short message.
constexpr std::size_t nominalSliceEntries = 256;
/// A slice between half and four times the nominal size is kept, so that a section whose size fluctuates is
/// not sent again with each change of the number of parts.
constexpr std::size_t minSliceEntries = nominalSliceEntries / 2;
constexpr std::size_t maxSliceEntries = nominalSliceEntries * 4;

} // namespace

bool section_slice::contains(std::string_view key) const
{
    return whole() || hashText(key) % parts == part;
}

section_slice sliceFor(std::size_t entries, const section_slice& held, std::uint32_t seed)
{
    const auto entriesPerSlice = entries / held.parts;
    if (entriesPerSlice < maxSliceEntries && (held.whole() || entriesPerSlice >= minSliceEntries))
        return held;
    const auto parts = std::bit_floor(std::max<std::size_t>(entries / nominalSliceEntries, 1));
    return { static_cast<std::uint32_t>(parts), static_cast<std::uint32_t>(seed % parts) };
}

section_entry::section_entry(std::string_view key, std::string_view value, std::int64_t revision)
    : m_keySize(key.size())
    , m_revision(revision)
{
    std::string text;
    text.reserve(key.size() + value.size());
    text.append(key);
    text.append(value);
    m_text = std::make_shared<const std::string>(std::move(text));
}

bool section_entry::operator==(const section_entry& other) const
{
    return m_revision == other.m_revision && m_keySize == other.m_keySize
        && (m_text == other.m_text || *m_text == *other.m_text);
}

} // namespace yuccachute
