#include "fleet/fleet.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>

namespace yuccachute {

namespace {

constexpr std::string_view entryRole = "entry";
constexpr std::string_view batchRole = "batch";

} // namespace

std::string encodeNode(const node_record& node)
{
    return nlohmann::json {
        { "vm", node.vm }, { "role", node.role == node_role::entry ? entryRole : batchRole },
        { "zone", node.zone }, { "address", node.address }, { "incarnation", node.incarnation },
        { "leaving", node.leaving }, { "cores", node.cores }
    }.dump();
}

result<node_record> decodeNode(std::string_view document)
{
    const auto json = nlohmann::json::parse(document, nullptr, false);
    if (!json.is_object())
        return notRun(failure_kind::internal, "the record of a process is no JSON object");
    try {
        node_record node;
        node.vm = json.at("vm").get<std::string>();
        node.role = json.at("role").get<std::string>() == batchRole ? node_role::batch : node_role::entry;
        node.zone = json.at("zone").get<std::string>();
        node.address = json.at("address").get<std::string>();
        node.incarnation = json.at("incarnation").get<std::uint64_t>();
        node.leaving = json.at("leaving").get<bool>();
        node.cores = json.value("cores", 0.0);
        return node;
    } catch (const nlohmann::json::exception& error) {
        return notRun(failure_kind::internal, std::string("the record of a process: ") + error.what());
    }
}

bool largeAmong(const node_record& node, std::span<const node_record> others)
{
    double most = 0;
    for (const auto& other : others)
        most = std::max(most, other.cores);
    return 2 * node.cores >= most;
}

std::string nodeKey(const node_record& node)
{
    return std::string(nodesPrefix) + std::string(node.role == node_role::entry ? entryRole : batchRole) + '/'
        + node.vm;
}

steady_time bootTime()
{
    timespec now {};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return steady_time { std::chrono::seconds { now.tv_sec } + std::chrono::nanoseconds { now.tv_nsec } };
}

} // namespace yuccachute
