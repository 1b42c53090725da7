#include "settings/settings.h"

#include "text.h"

#include <algorithm>
#include <cstdlib>

namespace yuccachute {

namespace {

/// Paths where a key of this path is looked up, the most specific first.
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

/// Typed access to the effective values at one path. Values were checked when they were accepted.
class resolver {
public:
    resolver(const settings_tree& tree, std::string path)
        : m_tree(tree)
        , m_paths(lookupPaths(path))
    {
    }

    effective_value text(std::string_view key) const
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

    double number(std::string_view key) const { return std::strtod(text(key).value.c_str(), nullptr); }
    unsigned count(std::string_view key) const { return static_cast<unsigned>(number(key)); }
    bool flag(std::string_view key) const { return text(key).value == "true"; }
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
    return resolver(tree, std::string(path)).text(key);
}

request_settings resolveRequest(
    const settings_tree& tree, std::string_view customer, std::string_view service, std::string_view job)
{
    std::string path = "customer/" + std::string(customer) + "/service/" + std::string(service);
    if (!job.empty())
        path += "/job/" + std::string(job);
    const resolver from(tree, path);
    request_settings settings;
    settings.timeout = from.time("timeout_ms");
    settings.stallTimeout = from.time("stall_timeout_ms");
    settings.weight = from.number("weight");
    settings.requestsPerSecond = from.number("requests_per_second");
    settings.tokensPerSecond = from.number("tokens_per_second");
    settings.queueLimit = from.count("queue_limit");
    settings.retries = from.count("retries");
    settings.retryShare = from.number("retry_share");
    settings.continueBrokenStreams = from.flag("continue_broken_streams");
    settings.firstTokenObjective = from.time("first_token_objective_ms");
    settings.interTokenObjective = from.time("inter_token_objective_ms");
    settings.jobAttempts = from.count("job_attempts");
    settings.jobDue = from.time("job_due_ms");
    settings.jobRetention
        = std::chrono::seconds { static_cast<std::int64_t>(from.number("job_retention_s")) };
    settings.bulk.policy = from.text("bulk_policy").value;
    settings.bulk.window = from.count("bulk_window");
    settings.bulk.reserve = from.number("bulk_reserve");
    return settings;
}

std::optional<service_settings> findService(const settings_tree& tree, std::string_view name)
{
    const std::string path = "service/" + std::string(name);
    if (!tree.nodes.contains(path))
        return std::nullopt;
    return service_settings { std::string(name), resolver(tree, path).text("kind").value == "model" };
}

std::vector<target_settings> listTargets(const settings_tree& tree)
{
    std::vector<target_settings> targets;
    for (const auto& [path, node] : tree.nodes) {
        if (kindOfPath(path) != node_kind::target)
            continue;
        const auto parts = splitText(path, '/');
        const resolver from(tree, path);
        target_settings target;
        target.name = std::string(parts[3]);
        target.service = std::string(parts[1]);
        target.zone = from.text("zone").value;
        target.address = from.text("address").value;
        target.drain = from.flag("drain");
        target.slots = from.count("slots");
        target.adapter = from.text("adapter").value;
        target.modelVersion = from.text("model_version").value;
        target.fencing = from.flag("fencing");
        targets.push_back(std::move(target));
    }
    return targets;
}

} // namespace yuccachute
