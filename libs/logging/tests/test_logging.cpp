#include "logging/logging.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

TEST_CASE("a log line is one JSON object, whatever the fields hold")
{
    const auto line = formatEvent(
        "request", { { "customer", "a\"b\nc" }, { "status", std::int64_t { 200 } }, { "seconds", 0.5 } });
    CHECK(line == R"({"event":"request","customer":"a\"b\nc","status":200,"seconds":0.5})");
}

// Story: a burst of requests fills the log with successes; the line of the one that failed is lost among
// those that were dropped. So both have budgets, and what is left out is counted.
TEST_CASE("a budget lets a bounded number of lines pass each second")
{
    log_budget budget { 3 };
    const std::chrono::steady_clock::time_point start { std::chrono::seconds { 100 } };
    int passed = 0;
    for (int i = 0; i < 10; ++i)
        passed += budget.take(start) ? 1 : 0;
    CHECK(passed == 3);
    CHECK(!budget.take(start + std::chrono::milliseconds { 999 }));
    CHECK(budget.take(start + std::chrono::milliseconds { 1000 }));
}
