#include "messages/messages.h"

#include "json_input/json_input.h"

#include <nlohmann/json.hpp>

namespace yuccachute {

std::vector<completion_event> event_reader::feed(std::string_view piece)
{
    std::vector<completion_event> events;
    m_buffer.append(piece);
    std::size_t begin = 0;
    for (auto end = m_buffer.find('\n'); end != std::string::npos; end = m_buffer.find('\n', begin)) {
        parseLine(std::string_view(m_buffer).substr(begin, end - begin), events);
        begin = end + 1;
    }
    m_buffer.erase(0, begin);
    return events;
}

void event_reader::parseLine(std::string_view line, std::vector<completion_event>& out)
{
    constexpr std::string_view field = "data:";
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    if (!line.starts_with(field))
        return; // Events are one line each, so blank lines, comments and other fields can be ignored.
    line.remove_prefix(field.size());
    if (line.starts_with(' '))
        line.remove_prefix(1);
    if (line == "[DONE]") {
        m_done = true;
        return;
    }
    const auto document = parseJson(line);
    const auto choices = document.is_object() ? document.find("choices") : document.end();
    if (!document.is_object() || choices == document.end() || !choices->is_array() || choices->empty()
        || !choices->front().is_object()) {
        m_broken = true;
        return;
    }
    const auto& choice = choices->front();
    completion_event event;
    if (const auto text = choice.find("text"); text != choice.end() && text->is_string())
        event.text = text->get<std::string>();
    if (const auto reason = choice.find("finish_reason"); reason != choice.end() && reason->is_string())
        event.finishReason = reason->get<std::string>();
    if (!event.finishReason.empty())
        m_finishReason = event.finishReason;
    ++m_events;
    out.push_back(std::move(event));
}

} // namespace yuccachute
