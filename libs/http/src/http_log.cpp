#include "http_log.h"

#include <utility>

namespace yuccachute {

namespace {

http_log& storedLog()
{
    static http_log log { [](std::string_view, std::string_view, std::uint64_t) {},
        [](std::string_view, std::string_view) {}, [](std::string_view) {},
        [](std::string_view, std::uint64_t, std::uint64_t) {} };
    return log;
}

} // namespace

const http_log& currentHttpLog()
{
    return storedLog();
}

void setHttpLog(http_log log)
{
    storedLog() = std::move(log);
}

} // namespace yuccachute
