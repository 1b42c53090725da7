#include "membership/membership.h"

#include <xxhash.h>

#include <algorithm>

namespace yuccachute {

std::uint64_t hashText(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::vector<member_info> rankMembers(std::string_view key, std::span<const member_info> members)
{
    struct ranked {
        std::uint64_t score;
        const member_info* member;
    };
    std::vector<ranked> order;
    order.reserve(members.size());
    for (const auto& member : members)
        order.push_back({ hashText(member.vm, hashText(key)), &member });
    std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
        return a.score != b.score ? a.score > b.score : a.member->vm < b.member->vm;
    });
    std::vector<member_info> result;
    result.reserve(order.size());
    for (const auto& entry : order)
        result.push_back(*entry.member);
    return result;
}

} // namespace yuccachute
