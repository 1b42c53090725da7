#include "process_settings/process_settings.h"

#include "ini/ini.h"

#include <charconv>
#include <functional>
#include <map>
#include <optional>
#include <sstream>

namespace yuccachute {

namespace {

/// Parses a value and stores it in the settings. Returns an error message, or an empty string on success.
using value_setter = std::function<std::string(process_settings&, const std::string&)>;

struct key_rule {
    value_setter set;
    bool required = true;
};

using rule_map = std::map<std::string, key_rule, std::less<>>;

bool isAddress(const std::string& value)
{
    const auto colon = value.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return false;
    std::uint16_t port = 0;
    const char* end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data() + colon + 1, end, port);
    return parsed.ec == std::errc() && parsed.ptr == end && port != 0;
}

value_setter text(std::string process_settings::*field)
{
    return [field](process_settings& settings, const std::string& value) {
        settings.*field = value;
        return value.empty() ? std::string("is empty") : std::string();
    };
}

value_setter address(std::string process_settings::*field)
{
    return [field](process_settings& settings, const std::string& value) {
        settings.*field = value;
        return isAddress(value) ? std::string() : '"' + value + "\" is not host:port";
    };
}

value_setter number(
    std::uint64_t minimum, std::uint64_t maximum, std::function<void(process_settings&, std::uint64_t)> store)
{
    return [=](process_settings& settings, const std::string& value) {
        std::uint64_t parsedValue = 0;
        const char* end = value.data() + value.size();
        const auto parsed = std::from_chars(value.data(), end, parsedValue);
        if (parsed.ec != std::errc() || parsed.ptr != end || parsedValue < minimum || parsedValue > maximum)
            return '"' + value + "\" is not a whole number from " + std::to_string(minimum) + " to "
                + std::to_string(maximum);
        store(settings, parsedValue);
        return std::string();
    };
}

value_setter decimal(double minimum, double maximum, double process_settings::*field)
{
    return [=](process_settings& settings, const std::string& value) {
        const char* end = value.data() + value.size();
        const auto parsed = std::from_chars(value.data(), end, settings.*field);
        if (parsed.ec != std::errc() || parsed.ptr != end || settings.*field < minimum
            || settings.*field > maximum)
            return '"' + value + "\" is not a number from " + std::to_string(minimum) + " to "
                + std::to_string(maximum);
        return std::string();
    };
}

value_setter limitDecimal(double minimum, double maximum, double limit_settings::*field)
{
    return [=](process_settings& settings, const std::string& value) {
        process_settings parsed;
        const auto problem = decimal(minimum, maximum, &process_settings::cores)(parsed, value);
        settings.customerLimits.*field = parsed.cores;
        return problem;
    };
}

value_setter onOrOff(bool dispatch_settings::*field)
{
    return [field](process_settings& settings, const std::string& value) {
        settings.dispatch.*field = value == "on";
        const bool known = value == "on" || value == "off";
        return known ? std::string() : '"' + value + "\" is not one of on, off";
    };
}

value_setter limitPolicy()
{
    return [](process_settings& settings, const std::string& value) {
        settings.customerLimits.policy = value;
        const bool known = value == "lent" || value == "even";
        return known ? std::string() : '"' + value + "\" is not one of lent, even";
    };
}

value_setter addressList(std::vector<std::string> process_settings::*field)
{
    return [field](process_settings& settings, const std::string& value) {
        std::stringstream stream(value);
        for (std::string part; std::getline(stream, part, ',');) {
            if (!isAddress(part))
                return '"' + part + "\" is not host:port";
            (settings.*field).push_back(part);
        }
        return std::string();
    };
}

value_setter oneOf(std::string process_settings::*field, std::vector<std::string> choices)
{
    return [=](process_settings& settings, const std::string& value) {
        settings.*field = value;
        std::string known;
        for (const auto& choice : choices) {
            if (choice == value)
                return std::string();
            known += (known.empty() ? "" : ", ") + choice;
        }
        return '"' + value + "\" is not one of " + known;
    };
}

/// All keys, as "section.key".
const rule_map& rules()
{
    constexpr std::uint64_t maxPort = 65535;
    constexpr std::uint64_t maxMs = 86400000;
    constexpr std::uint64_t minMemoryMb = 64; // An idle process of a large deployment uses about 35.
    static const rule_map all {
        { "process.vm", { text(&process_settings::vm) } },
        { "process.zone", { text(&process_settings::zone) } },
        { "process.address", { text(&process_settings::address) } },
        { "process.log_level",
            { oneOf(&process_settings::logLevel, { "debug", "info", "warning", "error" }), false } },
        { "process.grace_ms",
            { number(100, maxMs, [](auto& s, auto value) { s.grace = milliseconds { value }; }) } },
        { "process.result_retention_ms",
            { number(1000, maxMs, [](auto& s, auto value) { s.resultRetention = milliseconds { value }; }),
                false } },
        { "listen.callers", { address(&process_settings::callers), false } },
        { "listen.readiness", { address(&process_settings::readiness), false } },
        { "listen.control", { address(&process_settings::control), false } },
        { "listen.inner_port",
            { number(
                  1, maxPort, [](auto& s, auto value) { s.innerPort = static_cast<std::uint16_t>(value); }),
                false } },
        { "listen.metrics_port",
            { number(
                  1, maxPort, [](auto& s, auto value) { s.metricsPort = static_cast<std::uint16_t>(value); }),
                false } },
        { "peers.seeds", { addressList(&process_settings::seeds), false } },
        { "store.address", { address(&process_settings::store) } },
        { "store.value_bytes",
            { number(1024, 1u << 30, [](auto& s, auto value) { s.storeValueBytes = value; }), false } },
        { "peers.follow", { number(0, 1, [](auto& s, auto value) { s.followPeers = value == 1; }), false } },
        { "dispatch.load_reports",
            { number(0, 1, [](auto& s, auto value) { s.dispatch.loadReports = value == 1; }), false } },
        { "dispatch.wait_margin_percent",
            { number(100, 10000,
                  [](auto& s, auto value) { s.dispatch.waitMarginPercent = static_cast<unsigned>(value); }),
                false } },
        { "dispatch.kept_for_live_ms",
            { number(0, 10000, [](auto& s, auto value) { s.dispatch.keptForLive = milliseconds { value }; }),
                false } },
        { "dispatch.affinity_percent",
            { number(0, 1000,
                  [](auto& s, auto value) { s.dispatch.affinityPercent = static_cast<unsigned>(value); }),
                false } },
        { "dispatch.target_pace", { onOrOff(&dispatch_settings::targetPace), false } },
        { "dispatch.bulk_lookahead", { onOrOff(&dispatch_settings::bulkLookahead), false } },
        { "dispatch.startup", { onOrOff(&dispatch_settings::startup), false } },
        { "dispatch.customer_shares", { onOrOff(&dispatch_settings::customerShares), false } },
        { "customer_limits.window_s", { limitDecimal(0.1, 3600, &limit_settings::windowSeconds), false } },
        { "customer_limits.overshoot", { limitDecimal(0, 1, &limit_settings::overshoot), false } },
        { "customer_limits.slack", { limitDecimal(0, 1e6, &limit_settings::slack), false } },
        { "customer_limits.policy", { limitPolicy(), false } },
        { "limits.cores", { decimal(0.001, 1024, &process_settings::cores), false } },
        { "limits.descriptors",
            { number(
                64, 1u << 20, [](auto& s, auto value) { s.descriptors = static_cast<unsigned>(value); }) } },
        { "limits.memory_mb",
            { number(minMemoryMb, 1u << 24, [](auto& s, auto value) { s.memoryMb = value; }), false } },
        { "limits.request_memory_mb",
            { number(1, 1u << 24, [](auto& s, auto value) { s.requestMemoryMb = value; }), false } },
        { "limits.request_timeout_ms",
            { number(1000, maxMs, [](auto& s, auto value) { s.requestTimeout = milliseconds { value }; }),
                false } },
    };
    return all;
}

failure invalidSettings(std::string message)
{
    return notRun(failure_kind::bad_request, std::move(message));
}

} // namespace

result<process_settings> parseProcessSettings(std::string_view fileName, std::string_view text)
{
    BOOST_OUTCOME_TRY(auto values, parseIni(fileName, text));
    process_settings settings;
    std::map<std::string, bool, std::less<>> seen;
    for (const auto& value : values) {
        const auto name = value.section + '.' + value.key;
        const auto where = std::string(fileName) + ':' + std::to_string(value.line) + ": [" + value.section
            + "] " + value.key + ": ";
        const auto rule = rules().find(name);
        if (rule == rules().end())
            return invalidSettings(where + "unknown key");
        if (const auto problem = rule->second.set(settings, value.value); !problem.empty())
            return invalidSettings(where + problem);
        seen[name] = true;
    }
    for (const auto& [name, rule] : rules()) {
        if (rule.required && !seen.contains(name))
            return invalidSettings(std::string(fileName) + ": [" + name.substr(0, name.find('.')) + "] "
                + name.substr(name.find('.') + 1) + ": is missing");
    }
    return settings;
}

} // namespace yuccachute
