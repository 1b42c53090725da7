#include "quarantine/quarantine.h"

#include <xxhash.h>

#include <charconv>
#include <cstdio>
#include <vector>

namespace yuccachute {

namespace {

constexpr std::size_t digitsOfHalf = 16;
/// Upper half of the identities of prompt parts: "part" in ASCII.
constexpr std::uint64_t promptPartTag = 0x7061727400000000;

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

prompt_part parsePromptPart(std::string_view text)
{
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value, 16);
    if (error == std::errc {} && stop == end)
        return prompt_part { value };
    return prompt_part { XXH3_64bits(text.data(), text.size()) };
}

request_identity identityOf(prompt_part part)
{
    return { promptPartTag, static_cast<std::uint64_t>(part) };
}

std::optional<prompt_part> promptPartOf(const request_identity& identity)
{
    if (identity.high != promptPartTag)
        return std::nullopt;
    return prompt_part { identity.low };
}

target_hash hashTarget(std::string_view targetId)
{
    return XXH3_64bits(targetId.data(), targetId.size());
}

std::string toString(prompt_part part)
{
    char digits[digitsOfHalf + 1];
    std::snprintf(digits, sizeof digits, "%llx", static_cast<unsigned long long>(part));
    return digits;
}

std::string toString(std::span<const prompt_part> parts)
{
    std::string text;
    for (const auto part : parts)
        text += (text.empty() ? "" : ",") + toString(part);
    return text;
}

} // namespace yuccachute
