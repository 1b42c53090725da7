#include "membership/membership.h"

#include <xxhash.h>

namespace yuccachute {

std::uint64_t hashText(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::vector<member_info> rankMembers(std::string_view key, std::span<const member_info> members)
{
    std::vector<member_info> result;
    result.reserve(members.size());
    for (const auto* member : rankByHash(members, hashText(key), [](const auto&) { return 0; }))
        result.push_back(*member);
    return result;
}

} // namespace yuccachute
