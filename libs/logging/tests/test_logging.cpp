#include "logging/logging.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

TEST_CASE("a log line is one JSON object, whatever the fields hold")
{
    const auto line = formatEvent(
        "request", { { "customer", "a\"b\nc" }, { "status", std::int64_t { 200 } }, { "seconds", 0.5 } });
    CHECK(line == R"({"event":"request","customer":"a\"b\nc","status":200,"seconds":0.5})");
}
