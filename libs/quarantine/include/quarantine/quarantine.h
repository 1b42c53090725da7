#pragma once

#include "verdict/verdict.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

/// Requests that end the targets which run them, known by what they ask for. Layer: coordination. Pure
/// decisions: no I/O, no clock, not thread-safe.
namespace yuccachute {

/// What a request asks for, whatever its id: requests with the same identity do the same to a target. Wide
/// enough that two callers' requests never share one.
struct request_identity {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const request_identity&) const = default;
};

/// The identity of a request that consists of these parts, in this order.
request_identity identify(std::span<const std::string_view> parts);

/// 32 hexadecimal digits.
std::string toString(const request_identity& identity);
/// Nothing if the text is not what toString() writes.
std::optional<request_identity> parseIdentity(std::string_view text);

} // namespace yuccachute
