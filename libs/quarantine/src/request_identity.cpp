#include "quarantine/quarantine.h"

#include <xxhash.h>

#include <charconv>
#include <cstdio>
#include <vector>

namespace yuccachute {

namespace {

constexpr std::size_t digitsOfHalf = 16;

std::optional<std::uint64_t> parseHalf(std::string_view digits)
{
    std::uint64_t value = 0;
    const auto* end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, value, 16);
    if (error != std::errc {} || stop != end)
        return std::nullopt;
    return value;
}

} // namespace

request_identity identify(std::span<const std::string_view> parts)
{
    // The hash covers the hashes of the parts, so that moving a byte from one part to the next changes it.
    std::vector<XXH128_hash_t> hashes;
    hashes.reserve(parts.size());
    for (const auto part : parts)
        hashes.push_back(XXH3_128bits(part.data(), part.size()));
    const auto all = XXH3_128bits(hashes.data(), hashes.size() * sizeof hashes.front());
    return { all.high64, all.low64 };
}

std::string toString(const request_identity& identity)
{
    char digits[2 * digitsOfHalf + 1];
    std::snprintf(digits, sizeof digits, "%016llx%016llx", static_cast<unsigned long long>(identity.high),
        static_cast<unsigned long long>(identity.low));
    return digits;
}

std::optional<request_identity> parseIdentity(std::string_view text)
{
    if (text.size() != 2 * digitsOfHalf)
        return std::nullopt;
    const auto high = parseHalf(text.substr(0, digitsOfHalf));
    const auto low = parseHalf(text.substr(digitsOfHalf));
    if (!high || !low)
        return std::nullopt;
    return request_identity { *high, *low };
}

} // namespace yuccachute
