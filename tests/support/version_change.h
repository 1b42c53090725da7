#pragma once

#include "platform_system.h"
#include "resuming_caller.h"

#include <cstdint>
#include <span>
#include <string>

/// Streams that callers resume while targets of several software versions serve.
namespace yuccachute::testing {

constexpr int streamEvents = 60;
inline const std::string resumablePath = "/resumable/x";

/// Two zones of two entries, a batch process and four targets each.
platform_layout twoZones();
/// Two of the four targets of each zone run another version from now on.
void upgradeHalf(platform_system& system);
std::uint16_t portOf(const platform_system& system, const std::string& entry);

struct resumed_streams {
    int begun = 0;
    int wentOn = 0; ///< To the last event.
    int mixed = 0; ///< Their events come from several software versions.
    int refused = 0;
};

/// Counts streams by what their callers received before and after they resumed them.
resumed_streams countResumed(std::span<const received_stream> begun, std::span<const received_stream> rest);

/// What happens while all entries are down.
enum class change_while_down : std::uint8_t { none, first_version_leaves, new_version_leaves };

/// Begins streams while two versions serve, kills all entries, and resumes the streams once they are back,
/// with three attempts each. `storeFaults` are in force from before the new version appears until the end.
resumed_streams resumeAfterKillOfAll(const std::string& storeFaults, change_while_down change);

} // namespace yuccachute::testing
