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
    ++m_events;
    while (!event.empty()) {
        const auto end = event.find('\n');
        auto line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (const auto id = fieldValue(line, "id")) {
            std::uint64_t number = 0;
            std::from_chars(id->data(), id->data() + id->size(), number);
            m_outOfOrder = m_outOfOrder || (m_lastId && number != *m_lastId + 1);
            m_lastId = number;
        }
        if (const auto text = fieldValue(line, "data"); text && m_collect) {
            if (hasData)
                data += '\n';
            data.append(*text);
            hasData = true;
        }
    }
    if (hasData)
        m_data.push_back(std::move(data));
}

} // namespace yuccachute
