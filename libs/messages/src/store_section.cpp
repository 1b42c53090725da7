#include "messages/messages.h"

namespace yuccachute {

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
