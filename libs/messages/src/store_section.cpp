#include "messages/messages.h"

#include "membership/membership.h"

#include <algorithm>
#include <bit>

namespace yuccachute {

namespace {

/// A slice has some entries of each zone, for a process that is cut off from all others, and is told in one
/// small message.
constexpr std::size_t entriesOfSlice = 256;
/// A slice of half or four times the size is kept, so that a section whose size wavers is not told anew.
constexpr std::size_t leastEntries = entriesOfSlice / 2;
constexpr std::size_t mostEntries = entriesOfSlice * 4;

} // namespace

bool section_slice::contains(std::string_view key) const
{
    return whole() || hashText(key) % parts == part;
}

section_slice sliceFor(std::size_t entries, const section_slice& held, std::uint32_t seed)
{
    const auto ofEach = entries / held.parts;
    if (ofEach < mostEntries && (held.whole() || ofEach >= leastEntries))
        return held;
    const auto parts = std::bit_floor(std::max<std::size_t>(entries / entriesOfSlice, 1));
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
