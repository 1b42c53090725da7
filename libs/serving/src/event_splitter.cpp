#include "serving/serving.h"

#include <charconv>

namespace yuccachute {

namespace {

constexpr std::string_view eventDelimiter = "\n\n";

/// Returns the value of a line of the form "name: value"; the space after the colon is optional.
std::optional<std::string_view> fieldValue(std::string_view line, std::string_view name)
{
    if (!line.starts_with(name) || line.size() <= name.size() || line[name.size()] != ':')
        return std::nullopt;
    auto value = line.substr(name.size() + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    return value;
}

std::optional<std::uint64_t> parseId(std::string_view text)
{
    std::uint64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace

std::string event_splitter::feed(std::string_view piece)
{
    m_partial.append(piece);
    std::size_t begin = 0;
    for (auto end = m_partial.find(eventDelimiter, m_searched); end != std::string::npos;
         end = m_partial.find(eventDelimiter, begin)) {
        parseEvent(std::string_view(m_partial).substr(begin, end - begin));
        begin = end + eventDelimiter.size();
    }
    auto whole = m_partial.substr(0, begin);
    m_partial.erase(0, begin);
    // The last byte may be the first one of a delimiter.
    m_searched = m_partial.empty() ? 0 : m_partial.size() - 1;
    return whole;
}

void event_splitter::parseEvent(std::string_view event)
{
    std::string data;
    bool hasData = false;
    std::optional<std::uint64_t> number;
    while (!event.empty()) {
        const auto end = event.find('\n');
        auto line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (const auto id = fieldValue(line, "id")) {
            number = parseId(*id);
            m_outOfOrder = m_outOfOrder || !number;
        }
        if (const auto text = fieldValue(line, "data")) {
            if (hasData && m_collect)
                data += '\n';
            if (m_collect)
                data.append(*text);
            hasData = true;
        }
    }
    if (!hasData && !number)
        return; // A comment.
    ++m_events;
    m_outOfOrder = m_outOfOrder || !number || (m_lastId && *number != *m_lastId + 1);
    m_lastId = number;
    if (hasData && m_collect)
        m_data.push_back(std::move(data));
}

} // namespace yuccachute
