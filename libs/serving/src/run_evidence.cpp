#include "serving/serving.h"

namespace yuccachute {

std::string_view toString(response_end end)
{
    switch (end) {
    case response_end::open:
        return "open";
    case response_end::framed:
        return "framed";
    case response_end::closed:
        return "closed";
    case response_end::confirmed:
        return "confirmed";
    case response_end::refuted:
        return "refuted";
    }
    return "";
}

void run_evidence::receiveHead(const http_reply& head)
{
    m_framed = isFramed(head);
}

bool run_evidence::addEvents(std::uint64_t count, std::optional<std::uint64_t> lastId)
{
    if (count == 0)
        return true;
    if (!lastId || *lastId != m_lastEvent + count)
        return false;
    if (m_firstEvent == 0)
        m_firstEvent = m_lastEvent + 1;
    m_lastEvent = *lastId;
    return true;
}

run_evidence::completeness run_evidence::endStream(bool midEvent)
{
    // Only a run that continues a stream can have nothing left to send, unless the target ends an empty one.
    const bool emptyStream = !m_framed && !m_resumed && m_firstEvent == 0;
    const auto found = endPlain();
    return midEvent || emptyStream ? completeness::cut : found;
}

run_evidence::completeness run_evidence::endPlain()
{
    m_end = m_framed ? response_end::framed : response_end::closed;
    return m_framed ? completeness::whole : completeness::unconfirmed;
}

run_evidence::completeness run_evidence::confirm(bool running)
{
    m_end = running ? response_end::confirmed : response_end::refuted;
    return running ? completeness::whole : completeness::cut;
}

} // namespace yuccachute
