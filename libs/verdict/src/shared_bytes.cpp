#include "shared_bytes/shared_bytes.h"

#include <utility>

namespace yuccachute {

shared_bytes::shared_bytes(std::string bytes)
    : m_bytes(bytes.empty() ? nullptr : std::make_shared<const std::string>(std::move(bytes)))
{
}

shared_bytes::shared_bytes(const char* text)
    : shared_bytes(std::string(text))
{
}

const std::string& shared_bytes::str() const
{
    static const std::string empty;
    return m_bytes ? *m_bytes : empty;
}

} // namespace yuccachute
