#include "fleet/fleet.h"

#include "json_input/json_input.h"

#include <nlohmann/json.hpp>

#include "membership/membership.h"

#include <algorithm>
#include <cmath>
#include <ctime>

namespace yuccachute {

namespace {

constexpr std::string_view entryRole = "entry";
constexpr std::string_view batchRole = "batch";
/// Two entries of a zone follow the store for the others, and one of the two grants slots.
constexpr std::ptrdiff_t requiredPerZone = 2;
/// With two spare entries, a zone has a registered entry left in nine of ten cases if half of its VMs fail at
/// once. Otherwise entries of other zones take over until others of the zone have registered.
constexpr std::ptrdiff_t requiredWithSpares = 4;
/// Limit of the delay of an urgent registration, relative to the initial delay. The larger VMs have decided
/// by the time the small ones check.
constexpr double urgentDelayFactor = 0.5;
/// Limit of the delay of a spare registration. A registration has reached all copies 1.3 s later, so if 50
/// entries decide within this time, three more than needed register.
constexpr milliseconds maxSpareDelay { 20000 };
/// Processes start within a few hundred milliseconds of each other, and small VMs take longer to start: a VM
/// with half a core decides after 0.5 s, one with a tenth after 2.5 s.
constexpr double initialDelayOfOneCoreMs = 250;
constexpr milliseconds maxInitialDelay { 2500 };

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
    const auto json = parseJson(document);
    if (!json.is_object())
        return notRun(failure_kind::internal, "process record is not a JSON object");
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
        return notRun(failure_kind::internal, std::string("process record: ") + error.what());
    }
}

bool isLarge(const node_record& node, double maxCores)
{
    return 2 * node.cores >= maxCores;
}

bool isLargeAmong(const node_record& node, std::span<const node_record> others)
{
    double maxCores = 0;
    for (const auto& other : others)
        maxCores = std::max(maxCores, other.cores);
    return isLarge(node, maxCores);
}

registration_need registrationNeed(const node_record& self, std::span<const node_record> registered)
{
    double maxCores = self.cores;
    for (const auto& node : registered)
        maxCores = std::max(maxCores, node.zone == self.zone ? node.cores : 0);
    const auto rank
        = [&](const node_record& node) { return std::pair(isLarge(node, maxCores), hashText(node.vm)); };
    const auto precedingCount = std::count_if(registered.begin(), registered.end(), [&](const auto& node) {
        return node.role == node_role::entry && node.zone == self.zone && node.vm != self.vm && !node.leaving
            && rank(node) > rank(self);
    });
    if (precedingCount < requiredPerZone)
        return registration_need::urgent;
    return precedingCount < requiredWithSpares ? registration_need::spare : registration_need::none;
}

milliseconds initialRegistrationDelay(double cores)
{
    if (cores <= 0)
        return maxInitialDelay;
    return std::min(maxInitialDelay, milliseconds { std::llround(initialDelayOfOneCoreMs / cores) });
}

milliseconds maxRegistrationDelay(registration_need need, double cores)
{
    return need == registration_need::urgent
        ? milliseconds { std::llround(initialRegistrationDelay(cores).count() * urgentDelayFactor) }
        : maxSpareDelay;
}

std::string encodeShare(const share_record& share)
{
    return nlohmann::json { { "zone", share.zone }, { "address", share.address } }.dump();
}

result<share_record> decodeShare(std::string_view vm, std::string_view document)
{
    const auto json = parseJson(document);
    const auto hasText = [&](const char* name) { return json.contains(name) && json[name].is_string(); };
    if (!json.is_object() || !hasText("zone") || !hasText("address"))
        return notRun(failure_kind::internal,
            "share record of " + std::string(vm) + ": zone or address is missing or not a string");
    return share_record { std::string(vm), json["zone"], json["address"] };
}

std::string shareKey(std::string_view vm)
{
    return std::string(sharesPrefix) + std::string(vm);
}

std::string nodeKey(const node_record& node)
{
    return std::string(nodesPrefix) + std::string(node.role == node_role::entry ? entryRole : batchRole) + '/'
        + node.vm;
}

} // namespace yuccachute
