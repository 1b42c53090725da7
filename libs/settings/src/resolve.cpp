#include "settings/settings.h"

#include "text.h"

#include <algorithm>
#include <cstdlib>

namespace yuccachute {

namespace {

/// Returns the paths at which a key of this path is looked up, most specific first.
std::vector<std::string> lookupPaths(std::string_view path)
{
    const auto parts = splitText(path, '/');
    std::vector<std::string> paths { std::string(path) };
    if (parts[0] == "customer" && parts.size() >= 4) {
        const std::string customer = "customer/" + std::string(parts[1]);
        if (parts.size() == 6)
            paths.push_back(customer + "/service/" + std::string(parts[3]));
        paths.push_back(customer);
        paths.push_back("service/" + std::string(parts[3]));
    } else if (parts[0] == "service" && parts.size() == 4) {
        paths.push_back("service/" + std::string(parts[1]));
    }
    if (path != "fleet")
        paths.emplace_back("fleet");
    return paths;
}

std::string_view schemaDefault(std::string_view key)
{
    for (const auto& description : schema()) {
        if (description.name == key)
            return description.fallback;
    }
    return {};
}

/// Typed access to the effective values at one path. Values are not validated here, since every edit is
/// validated before it is stored.
class resolver {
public:
    resolver(const settings_tree& tree, std::string path)
        : m_tree(tree)
        , m_paths(lookupPaths(path))
    {
    }

    effective_value lookUp(std::string_view key) const
    {
        for (const auto& path : m_paths) {
            const auto node = m_tree.nodes.find(path);
            if (node == m_tree.nodes.end())
                continue;
            const auto value = node->second.values.find(key);
            if (value != node->second.values.end())
                return { value->second, path };
        }
        return { std::string(schemaDefault(key)), "default" };
    }

    double number(std::string_view key) const { return std::strtod(lookUp(key).value.c_str(), nullptr); }
    unsigned count(std::string_view key) const { return static_cast<unsigned>(number(key)); }
    bool flag(std::string_view key) const { return lookUp(key).value == "true"; }
    milliseconds time(std::string_view key) const
    {
        return milliseconds { static_cast<std::int64_t>(number(key)) };
    }

private:
    const settings_tree& m_tree;
    std::vector<std::string> m_paths;
};

} // namespace

effective_value resolveKey(const settings_tree& tree, std::string_view path, std::string_view key)
{
    return resolver(tree, std::string(path)).lookUp(key);
}

request_settings resolveRequest(
    const settings_tree& tree, std::string_view customer, std::string_view service, std::string_view job)
{
    std::string path = "customer/" + std::string(customer) + "/service/" + std::string(service);
    if (!job.empty())
        path += "/job/" + std::string(job);
    const resolver effective(tree, path);
    request_settings settings;
    settings.timeout = effective.time("timeout_ms");
    settings.stallTimeout = effective.time("stall_timeout_ms");
    settings.weight = effective.number("weight");
    settings.requestsPerSecond = effective.number("requests_per_second");
    settings.tokensPerSecond = effective.number("tokens_per_second");
    settings.queueLimit = effective.count("queue_limit");
    settings.retries = effective.count("retries");
    settings.retryShare = effective.number("retry_share");
    settings.continueBrokenStreams = effective.flag("continue_broken_streams");
    settings.firstTokenObjective = effective.time("first_token_objective_ms");
    settings.interTokenObjective = effective.time("inter_token_objective_ms");
    settings.jobAttempts = effective.count("job_attempts");
    settings.jobDue = effective.time("job_due_ms");
    settings.jobRetention
        = std::chrono::seconds { static_cast<std::int64_t>(effective.number("job_retention_s")) };
    settings.bulk.policy = effective.lookUp("bulk_policy").value;
    settings.bulk.window = effective.count("bulk_window");
    settings.bulk.reserve = effective.number("bulk_reserve");
    return settings;
}

std::optional<service_settings> findService(const settings_tree& tree, std::string_view name)
{
    const std::string path = "service/" + std::string(name);
    if (!tree.nodes.contains(path))
        return std::nullopt;
    return service_settings { std::string(name), resolver(tree, path).lookUp("kind").value == "model" };
}

std::vector<target_settings> listTargets(const settings_tree& tree)
{
    std::vector<target_settings> targets;
    for (const auto& [path, node] : tree.nodes) {
        if (kindOfPath(path) != node_kind::target)
            continue;
        const auto parts = splitText(path, '/');
        const resolver effective(tree, path);
        target_settings target;
        target.name = std::string(parts[3]);
        target.service = std::string(parts[1]);
        target.zone = effective.lookUp("zone").value;
        target.address = effective.lookUp("address").value;
        target.drain = effective.flag("drain");
        target.slots = effective.count("slots");
        target.adapter = effective.lookUp("adapter").value;
        target.modelVersion = effective.lookUp("model_version").value;
        target.fencing = effective.flag("fencing");
        targets.push_back(std::move(target));
    }
    return targets;
}

} // namespace yuccachute
