#include "logging/logging.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <sys/wait.h>
#include <unistd.h>

#include <sstream>

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

TEST_CASE("a timeline has the lines of one id and what its processes knew shortly before")
{
    const auto line = [](const char* second, const char* vm, const char* rest) {
        return std::string("12.3 x {\"time\":\"2026-01-31T10:20:") + second + ".000+00:00\",\"vm\":\"" + vm
            + "\"," + rest + "}\n";
    };
    std::stringstream logs(
        line("30", "b", R"("event":"request","request_id":"r1","target":"t1","took_ms":900)")
        + line("28", "b", R"("event":"store does not answer","prefix":"op/")")
        + line("28", "c", R"("event":"store does not answer","prefix":"op/")")
        + line("27", "b", R"("event":"target gone","target":"t1")")
        + line("27", "b", R"("event":"target gone","target":"t2")") + line("10", "b", R"("event":"stopping")")
        + "no log line\n" + line("29", "b", R"("event":"request","request_id":"r2")"));
    const auto timeline = timelineOf("r1", logs);
    REQUIRE(timeline.size() == 3);
    CHECK(timeline[0] == "  2026-01-31T10:20:27.000+00:00 b  target gone: target=t1");
    CHECK(timeline[1].find("store does not answer") != std::string::npos);
    CHECK(timeline[2].substr(0, 2) == "* ");
    std::stringstream none("{}\n");
    CHECK(timelineOf("r1", none).empty());
}

#if defined(__aarch64__)
constexpr int trapSignal = SIGTRAP;
#else
constexpr int trapSignal = SIGILL;
#endif

// Story: a process vanished; its log ended without a word, and nobody could tell where it had failed.
TEST_CASE("a crash writes a last line with the signal and the stack")
{
    int ends[2];
    REQUIRE(::pipe(ends) == 0);
    const auto child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        ::dup2(ends[1], STDOUT_FILENO);
        startLogging("test", "vm-1", log_level::info);
        __builtin_trap();
    }
    ::close(ends[1]);
    std::string text;
    char piece[4096];
    for (ssize_t count = 0; (count = ::read(ends[0], piece, sizeof piece)) > 0;)
        text.append(piece, static_cast<std::size_t>(count));
    ::close(ends[0]);
    int status = 0;
    ::waitpid(child, &status, 0);
    CHECK(WIFSIGNALED(status));
    CHECK(WTERMSIG(status) == trapSignal);
    const auto line = nlohmann::json::parse(text);
    CHECK(line["event"] == "crashed");
    CHECK(line["vm"] == "vm-1");
    CHECK(line["signal"] == trapSignal);
    CHECK(line["at"].get<std::string>().starts_with("test_logging+0x"));
    CHECK(line["stack"].size() > 3);
}

TEST_CASE("losses are added up by route, zone and reason")
{
    const auto line = [](double second, const std::string& rest) {
        char time[40];
        std::snprintf(time, sizeof time, "2026-01-31T10:20:%06.3f+00:00", second);
        return "prefix {\"time\":\"" + std::string(time) + "\"," + rest + "}\n";
    };
    const auto request = [&](double second, const std::string& outcome, int sends, int waited, int first) {
        return line(second,
            R"("vm":"e1","event":"request","route":"r","objective_ms":300,"status":200,"reason":"full","outcome":")"
                + outcome + R"(","sends":)" + std::to_string(sends) + R"(,"waited_ms":)"
                + std::to_string(waited) + R"(,"first_event_ms":)" + std::to_string(first));
    };
    std::istringstream logs("no line of a log\n" + line(0, R"("vm":"e1","event":"started","zone":"north")")
        + request(1, "served", 1, 0, 30) + request(1.1, "served", 1, 200, 310)
        + request(1.2, "served", 1, 0, 700) + request(1.3, "served", 2, 0, 700)
        + request(5, "refused", 0, 250, 0) + request(5.1, "broken", 1, 0, 40)
        + line(6, R"("vm":"b1","event":"item run","job":"j","item":"i1","end":1,"reason":"revoked")")
        + line(7, R"("vm":"b1","event":"item listed","job":"j","item":"i1","done":1,"late_ms":50)")
        + line(7, R"("vm":"b1","event":"item listed","job":"j","item":"i2","done":1,"late_ms":-50)"));
    const auto table = describeLosses(logs);
    INFO(table);
    for (const auto* row : { "1     6      r                north            late: waited for a place",
             "1     6      r                north            late: at the target",
             "1     6      r                north            late: several targets",
             "1     6      r                north            refused: full",
             "1     6      r                north            stream broken",
             "1     2      items            -                late: called back for live requests",
             "0       3     0     ###", "4       2     0     ##", "6       0     1     o" })
        CHECK(table.find(row) != std::string::npos);
    std::istringstream none("");
    CHECK(describeLosses(none).empty());
}
