#pragma once

#include <string_view>

namespace yuccachute {

/// Beside the registrations, so that one reading and one watch tell of both.
constexpr std::string_view sharesPrefix = "yuccachute/node/limit-share/";

} // namespace yuccachute
