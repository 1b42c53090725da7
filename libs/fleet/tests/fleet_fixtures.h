#pragma once

#include "fleet/fleet.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace yuccachute {

/// Runs the loop until the condition holds, for 3 s at most; returns whether it does.
inline bool runUntil(event_loop& loop, const std::function<bool()>& condition)
{
    for (int i = 0; i < 300 && !condition(); ++i)
        loop.runFor(milliseconds { 10 });
    return condition();
}

/// A listing of the values whose keys have the prefix.
inline store_listing listingWithPrefix(
    const std::map<std::string, std::string>& values, std::string_view prefix)
{
    store_listing listing;
    listing.revision = 5;
    for (const auto& [key, value] : values) {
        if (key.starts_with(prefix))
            listing.values.push_back({ key, value, 1, 1, 0 });
    }
    return listing;
}

/// Minimal documents: a configuration is a version number, and a target's document is ignored.
class minimal_codec final : public fleet_codec {
public:
    std::string operatorPrefix() const override { return "orders/"; }
    std::string configurationKey() const override { return "orders/config"; }
    std::string targetsPrefix() const override { return "targets/"; }
    result<routing_table> decodeConfiguration(std::string_view document) const override
    {
        routing_table table;
        table.version = std::stoll(std::string(document));
        return table;
    }
    result<listed_target> decodeTarget(std::string_view key, std::string_view) const override
    {
        return listed_target { std::string(key), "s", "a", "z", 1, false };
    }
};

} // namespace yuccachute
