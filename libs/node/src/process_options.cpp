#include "node/node.h"

#include "http_log/http_log.h"
#include "ini/ini.h"
#include "logging/logging.h"
#include "memory_budget/memory_budget.h"

#include <tclap/CmdLine.h>

#include <charconv>
#include <csignal>
#include <iostream>
#include <random>
#include <sstream>

namespace yuccachute {

namespace {

constexpr const char* versionText = "0.1";
constexpr std::int64_t maxNumber = 86400000;

std::vector<std::string> splitList(const std::string& text)
{
    std::vector<std::string> parts;
    std::stringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        const auto begin = part.find_first_not_of(' ');
        if (begin != std::string::npos)
            parts.push_back(part.substr(begin, part.find_last_not_of(' ') - begin + 1));
    }
    return parts;
}

/// Sets one option. Returns a description of the problem, which is empty if there is none.
std::string assign(process_options& options, const std::string& key, const std::string& value)
{
    const std::map<std::string, std::string*> texts { { "vm", &options.vm }, { "zone", &options.zone },
        { "http", &options.http }, { "rpc", &options.rpc }, { "store", &options.store },
        { "data", &options.dataFolder }, { "certificate", &options.certificate },
        { "private_key", &options.privateKey }, { "peer_certificate", &options.peers.certificateFile },
        { "peer_private_key", &options.peers.privateKeyFile },
        { "peer_authority", &options.peers.authorityFile }, { "log_level", &options.logLevel } };
    if (const auto found = texts.find(key); found != texts.end()) {
        *found->second = value;
        return {};
    }
    if (key == "seeds") {
        options.seeds = splitList(value);
        return {};
    }
    if (key == "stop_limit_ms" || key == "lease_ttl_s" || key == "workers" || key == "memory_mb") {
        std::int64_t number = 0;
        const auto parsed = std::from_chars(value.data(), value.data() + value.size(), number);
        if (parsed.ec != std::errc() || parsed.ptr != value.data() + value.size() || number < 1
            || number > maxNumber)
            return "\"" + value + "\" is not a whole number from 1 to " + std::to_string(maxNumber);
        if (key == "stop_limit_ms")
            options.stopLimit = milliseconds { number };
        else if (key == "lease_ttl_s")
            options.leaseTtl = std::chrono::seconds { number };
        else if (key == "memory_mb")
            options.memoryMb = static_cast<std::uint64_t>(number);
        else
            options.workers = static_cast<unsigned>(number);
        return {};
    }
    return "unknown key; known are vm, zone, http, rpc, store, seeds, data, certificate, private_key, "
           "peer_certificate, peer_private_key, peer_authority, log_level, stop_limit_ms, lease_ttl_s, "
           "workers "
           "and memory_mb";
}

log_level parseLevel(const std::string& text)
{
    if (text == "debug")
        return log_level::debug;
    if (text == "warning")
        return log_level::warning;
    if (text == "error")
        return log_level::error;
    return log_level::info;
}

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

result<process_options> readProcessOptions(const std::string& fileName)
{
    BOOST_OUTCOME_TRY(auto text, readFile(fileName));
    BOOST_OUTCOME_TRY(auto values, parseIni(fileName, text));
    process_options options;
    for (const auto& value : values) {
        const std::string where = fileName + ':' + std::to_string(value.line) + ": [" + value.section + "] ";
        if (value.section != "process")
            return notRun(failure_kind::bad_request, where + "unknown section; did you mean [process]?");
        if (const auto problem = assign(options, value.key, value.value); !problem.empty())
            return notRun(failure_kind::bad_request, where + value.key + ": " + problem);
    }
    for (const auto& [key, value] :
        { std::pair("vm", options.vm), std::pair("zone", options.zone), std::pair("http", options.http) }) {
        if (value.empty())
            return notRun(failure_kind::bad_request, fileName + ": [process] " + key + ": is missing");
    }
    return options;
}

std::optional<process_options> startProcess(
    int argc, char** argv, std::string_view program, std::string_view summary, int& exitCode)
{
    exitCode = 2;
    std::string fileName;
    try {
        TCLAP::CmdLine line(std::string(summary), ' ', versionText);
        TCLAP::ValueArg<std::string> config(
            "c", "config", "INI file with the section [process]", true, "", "file", line);
        line.setExceptionHandling(false);
        line.parse(argc, argv);
        fileName = config.getValue();
    } catch (const TCLAP::ExitException& exit) {
        exitCode = exit.getExitStatus();
        return std::nullopt;
    } catch (const TCLAP::ArgException& error) {
        std::cerr << program << ": " << error.error() << " (" << error.argId() << "); see --help\n";
        return std::nullopt;
    }
    auto options = readProcessOptions(fileName);
    if (!options) {
        std::cerr << program << ": " << options.error().message << '\n';
        return std::nullopt;
    }
    const auto signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN); // A caller that closes its connection must not terminate the process.
    configureAllocator();
    startLogging(program, options.value().vm, parseLevel(options.value().logLevel));
    logHttpReports();
    exitCode = 0;
    return options.value();
}

void waitForStopSignal()
{
    const auto signals = stopSignals();
    int signal = 0;
    sigwait(&signals, &signal);
}

std::string randomId()
{
    thread_local std::mt19937_64 generator { std::random_device {}() };
    char text[32];
    std::snprintf(text, sizeof text, "%016llx%08x", static_cast<unsigned long long>(generator()),
        static_cast<unsigned>(generator()));
    return text;
}

} // namespace yuccachute
