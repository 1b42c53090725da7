#include "settings/settings.h"

#include "ini/ini.h"

#include "text.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace yuccachute {

namespace {

constexpr std::uint8_t kindMask(std::initializer_list<node_kind> kinds)
{
    std::uint8_t all = 0;
    for (auto kind : kinds)
        all |= static_cast<std::uint8_t>(kind);
    return all;
}

constexpr auto callerKinds = kindMask({ node_kind::fleet, node_kind::service, node_kind::customer,
    node_kind::customer_service, node_kind::job });
constexpr auto serviceKinds = kindMask({ node_kind::fleet, node_kind::service });
constexpr auto targetKind = kindMask({ node_kind::target });

constexpr double secondsPerDay = 86400;

constexpr std::array keys {
    key_description { "adapter", "text", "", 0, 0, "", targetKind, "adapter the target keeps loaded" },
    key_description { "address", "address", "", 0, 0, "", targetKind, "host:port of the target" },
    key_description { "api_key_sha256", "text", "", 0, 0, "", kindMask({ node_kind::customer }),
        "SHA-256 of each key, separated by commas" },
    key_description { "bulk_policy", "choice", "adaptive", 0, 0, "none|unlimited|fixed|adaptive",
        serviceKinds, "how bulk work shares targets with live requests" },
    key_description { "bulk_reserve", "number", "0.05", 0, 1, "", serviceKinds,
        "minimum fraction of slots kept free for arriving live requests" },
    key_description { "bulk_window", "integer", "4", 0, 4096, "", serviceKinds,
        "concurrent items per target under the fixed policy" },
    key_description { "continue_broken_streams", "boolean", "true", 0, 0, "", callerKinds,
        "continue from the text already sent when a stream breaks" },
    key_description { "drain", "boolean", "false", 0, 0, "", targetKind, "send no new work to the target" },
    key_description { "fencing", "boolean", "true", 0, 0, "", targetKind,
        "whether the target rejects orders with an outdated fencing number" },
    key_description { "first_token_objective_ms", "integer", "610", 1, 600000, "", serviceKinds,
        "objective for the time to first token" },
    key_description { "inter_token_objective_ms", "integer", "49", 1, 60000, "", serviceKinds,
        "objective for the time between tokens" },
    key_description { "job_attempts", "integer", "4", 1, 100, "", callerKinds,
        "attempts of one item before it is marked as failed" },
    key_description { "job_due_ms", "integer", "3600000", 1000, 30 * secondsPerDay * 1000, "", callerKinds,
        "time from submission to the due time of a job that names none" },
    key_description { "job_retention_s", "integer", "86400", 1, 365 * secondsPerDay, "", callerKinds,
        "time for which results stay readable after the job has ended" },
    key_description { "kind", "choice", "model", 0, 0, "model|plain", kindMask({ node_kind::service }),
        "model engines or a plain service" },
    key_description { "model_version", "text", "", 0, 0, "", targetKind, "model version the target serves" },
    key_description { "queue_limit", "integer", "1000", 0, 1000000, "", callerKinds,
        "requests of one customer that may wait at one target group" },
    key_description { "queue_order", "choice", "fair", 0, 0, "fair|arrival", serviceKinds,
        "fair queuing across customers, or first in, first out" },
    key_description { "requests_per_second", "number", "0", 0, 1e6, "", callerKinds,
        "limit per customer and entry VM; 0 for none" },
    key_description { "retries", "integer", "2", 0, 10, "", callerKinds, "further attempts of one request" },
    key_description {
        "retry_share", "number", "0.1", 0, 1, "", callerKinds, "retries as a share of recent requests" },
    key_description { "scope", "text", "", 0, 0, "", kindMask({ node_kind::operator_account }),
        "path of the subtree that the operator may edit; empty for the whole tree" },
    key_description {
        "slots", "integer", "8", 1, 4096, "", targetKind, "requests the target runs concurrently" },
    key_description { "stall_timeout_ms", "integer", "5000", 10, 3600000, "", callerKinds,
        "maximum time without data from a target during a running request" },
    key_description { "target_choice", "choice", "affinity", 0, 0, "affinity|random", serviceKinds,
        "by load and cached prefixes, or at random among targets with free slots" },
    key_description { "timeout_ms", "integer", "30000", 1, 3600000, "", callerKinds,
        "timeout of a request that names none" },
    key_description { "token_sha256", "text", "", 0, 0, "", kindMask({ node_kind::operator_account }),
        "SHA-256 of the operator's token" },
    key_description { "tokens_per_second", "number", "0", 0, 1e9, "", callerKinds,
        "limit per customer and entry VM; 0 for none" },
    key_description { "weight", "number", "1", 0.001, 1000, "", callerKinds,
        "relative share of capacity under contention, compared to other customers" },
    key_description { "zone", "text", "", 0, 0, "", targetKind, "availability zone of the target" },
};

const key_description* findKey(std::string_view name)
{
    const auto found
        = std::find_if(keys.begin(), keys.end(), [&](const auto& key) { return key.name == name; });
    return found == keys.end() ? nullptr : &*found;
}

std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    for (std::size_t j = 0; j <= right.size(); ++j)
        row[j] = j;
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t replaced = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({ row[j] + 1, row[j - 1] + 1, replaced });
        }
    }
    return row.back();
}

std::string_view nearestKey(std::string_view name)
{
    const auto closer = [&](const auto& a, const auto& b) {
        return editDistance(a.name, name) < editDistance(b.name, name);
    };
    return std::min_element(keys.begin(), keys.end(), closer)->name;
}

std::string checkNumber(const key_description& key, std::string_view value)
{
    double number = 0;
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != value.data() + value.size())
        return "is not a number";
    if (key.type == "integer" && value.find_first_of(".eE") != std::string_view::npos)
        return "is not a whole number";
    if (!(number >= key.minimum && number <= key.maximum))
        return "is not between " + formatNumber(key.minimum) + " and " + formatNumber(key.maximum);
    return {};
}

std::string checkAddress(std::string_view value)
{
    const auto colon = value.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return "is not of the form host:port";
    unsigned port = 0;
    const auto digits = value.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size() || port == 0 || port > 65535)
        return "has no port between 1 and 65535";
    return {};
}

std::string checkType(const key_description& key, std::string_view value)
{
    if (key.type == "integer" || key.type == "number")
        return checkNumber(key, value);
    if (key.type == "boolean")
        return value == "true" || value == "false" ? "" : "is neither true nor false";
    if (key.type == "address")
        return checkAddress(value);
    if (key.type == "choice") {
        const auto words = splitText(key.choices, '|');
        if (std::find(words.begin(), words.end(), value) == words.end())
            return "is not one of " + std::string(key.choices);
    }
    for (auto part : splitText(value, ',')) {
        if (part.size() >= maxIniPartBytes)
            return "has " + std::to_string(maxIniPartBytes)
                + " or more characters without a comma, which is too long for a line of an INI file";
    }
    if (value.find_first_of("\r\n;") != std::string_view::npos)
        return "contains a line break or semicolon, which cannot be stored in an INI file";
    if (key.name.ends_with("_sha256")) {
        for (auto hash : splitText(value, ',')) {
            if (hash.size() != 64 || hash.find_first_not_of("0123456789abcdef") != std::string_view::npos)
                return "is not a SHA-256 in lower-case hexadecimal";
        }
    }
    return {};
}

} // namespace

std::span<const key_description> schema()
{
    return keys;
}

std::optional<node_kind> kindOfPath(std::string_view path)
{
    const auto parts = splitText(path, '/');
    for (auto part : parts) {
        if (part.empty() || part.find_first_of("[]\r\n=;#") != std::string_view::npos)
            return std::nullopt;
    }
    if (parts.size() == 1 && parts[0] == "fleet")
        return node_kind::fleet;
    if (parts.size() == 2 && parts[0] == "service")
        return node_kind::service;
    if (parts.size() == 4 && parts[0] == "service" && parts[2] == "target")
        return node_kind::target;
    if (parts.size() == 2 && parts[0] == "customer")
        return node_kind::customer;
    if (parts.size() == 4 && parts[0] == "customer" && parts[2] == "service")
        return node_kind::customer_service;
    if (parts.size() == 6 && parts[0] == "customer" && parts[2] == "service" && parts[4] == "job")
        return node_kind::job;
    if (parts.size() == 2 && parts[0] == "operator")
        return node_kind::operator_account;
    return std::nullopt;
}

result<void> checkValue(std::string_view path, std::string_view key, std::string_view value)
{
    const std::string where = '[' + std::string(path) + "] " + std::string(key) + ": ";
    const auto kind = kindOfPath(path);
    if (!kind)
        return notRun(failure_kind::bad_request, '[' + std::string(path) + "]: not a path of the tree");
    const auto* description = findKey(key);
    if (!description)
        return notRun(failure_kind::bad_request,
            where + "unknown key; did you mean " + std::string(nearestKey(key)) + '?');
    if (!(description->kinds & static_cast<std::uint8_t>(*kind)))
        return notRun(failure_kind::bad_request, where + "this key is not allowed at this kind of node");
    if (const auto problem = checkType(*description, value); !problem.empty())
        return notRun(failure_kind::bad_request, where + '"' + std::string(value) + "\" " + problem);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace yuccachute
