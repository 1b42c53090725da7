#include "prefix_index.h"

#include "dispatch/dispatch.h"

#include "membership/membership.h"

#include <algorithm>

namespace yuccachute {

namespace {

constexpr std::size_t blockBytes = 64;
constexpr std::size_t maxBlocks = 32;
constexpr std::size_t targetsPerHint = 4;

} // namespace

std::vector<std::uint64_t> prefixHashes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t chained = 0;
    while (prompt.size() >= blockBytes && hashes.size() < maxBlocks) {
        chained = hashText(prompt.substr(0, blockBytes), chained);
        hashes.push_back(chained);
        prompt.remove_prefix(blockBytes);
    }
    return hashes;
}

void prefix_index::record(std::span<const std::uint64_t> prefixes, std::string_view target, steady_time now)
{
    for (auto hash : prefixes) {
        auto [found, fresh] = m_hints.try_emplace(hash);
        auto& hint = found->second;
        hint.seen = now;
        if (std::find(hint.targets.begin(), hint.targets.end(), target) == hint.targets.end())
            hint.targets.emplace_back(target);
        if (hint.targets.size() > targetsPerHint)
            hint.targets.erase(hint.targets.begin());
        if (fresh)
            m_insertionOrder.push_back(hash);
    }
    while (m_insertionOrder.size() > m_capacity) {
        m_hints.erase(m_insertionOrder.front());
        m_insertionOrder.pop_front();
    }
}

std::size_t prefix_index::matchedBlocks(
    std::span<const std::uint64_t> prefixes, std::string_view target, steady_time now) const
{
    std::size_t count = 0;
    for (auto hash : prefixes) {
        const auto found = m_hints.find(hash);
        if (found == m_hints.end() || now - found->second.seen > m_maxAge)
            break;
        const auto& targets = found->second.targets;
        if (std::find(targets.begin(), targets.end(), target) == targets.end())
            break;
        ++count;
    }
    return count;
}

void prefix_index::eraseTarget(std::string_view target)
{
    for (auto& [hash, hint] : m_hints)
        std::erase(hint.targets, target);
}

} // namespace yuccachute
