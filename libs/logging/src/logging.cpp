#include "logging/logging.h"

#include "crash_report.h"

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <memory>
#include <mutex>

namespace yuccachute {

namespace {

constexpr std::size_t queuedLines = 8192;

/// Ten times what an entry of today's deployments writes at its peak.
constexpr unsigned infoLinesPerSecond = 200;
constexpr unsigned warningLinesPerSecond = 400;

std::shared_ptr<spdlog::logger> processLogger;
std::mutex budgetMutex;
log_budget infoBudget { infoLinesPerSecond };
log_budget warningBudget { warningLinesPerSecond };
std::atomic<std::uint64_t> overBudget { 0 };

bool withinBudget(log_level level)
{
    const std::scoped_lock lock(budgetMutex);
    auto& budget = level >= log_level::warning ? warningBudget : infoBudget;
    const bool taken = budget.take(std::chrono::steady_clock::now());
    overBudget += taken ? 0 : 1;
    return taken;
}

spdlog::level::level_enum toLibrary(log_level level)
{
    switch (level) {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    case log_level::error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

} // namespace

void startLogging(std::string_view program, std::string_view vm, log_level least)
{
    spdlog::init_thread_pool(queuedLines, 1);
    auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
    // A blocked reader of standard output must not hold up requests: the oldest lines are dropped instead.
    processLogger = std::make_shared<spdlog::async_logger>(
        "yuccachute", sink, spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    const auto names = nlohmann::json { { "program", program }, { "vm", vm } }.dump();
    const auto inner = names.substr(1, names.size() - 2);
    processLogger->set_pattern("{\"time\":\"%Y-%m-%dT%H:%M:%S.%e%z\",\"level\":\"%l\"," + inner + ",%v");
    processLogger->set_level(toLibrary(least));
    processLogger->flush_on(spdlog::level::warn);
    reportCrashes(inner);
}

std::string formatEvent(std::string_view event, std::initializer_list<log_field> fields)
{
    nlohmann::ordered_json line;
    line["event"] = event;
    for (const auto& field : fields)
        std::visit([&](const auto& value) { line[std::string(field.name)] = value; }, field.value);
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (!processLogger || !processLogger->should_log(toLibrary(level)) || !withinBudget(level))
        return;
    // The pattern has written the opening brace, the time and the names.
    const auto text = formatEvent(event, fields);
    processLogger->log(toLibrary(level), "{}", text.substr(1));
}

bool log_budget::take(std::chrono::steady_clock::time_point now)
{
    if (now - m_second >= std::chrono::seconds { 1 }) {
        m_second = now;
        m_used = 0;
    }
    return m_used++ < m_perSecond;
}

std::uint64_t droppedLogLines()
{
    const auto pool = spdlog::thread_pool();
    return overBudget + (pool ? pool->overrun_counter() : 0);
}

void stopLogging()
{
    processLogger.reset();
    spdlog::shutdown();
}

} // namespace yuccachute
