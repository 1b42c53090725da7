#pragma once

#include "verdict/verdict.h"

#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace yuccachute {

/// Targets to which prompt prefixes were sent recently. These are hints: a target may have evicted the prefix
/// from its cache since.
class prefix_index {
public:
    explicit prefix_index(
        std::size_t capacity = 16384, std::chrono::seconds maxAge = std::chrono::seconds { 600 })
        : m_capacity(capacity)
        , m_maxAge(maxAge)
    {
    }

    void record(std::span<const std::uint64_t> prefixes, std::string_view target, steady_time now);
    /// Number of leading blocks that the target probably has in its cache.
    std::size_t matchedBlocks(
        std::span<const std::uint64_t> prefixes, std::string_view target, steady_time now) const;
    void eraseTarget(std::string_view target);

private:
    struct hint {
        std::vector<std::string> targets;
        steady_time seen;
    };
    std::size_t m_capacity;
    std::chrono::seconds m_maxAge;
    std::unordered_map<std::uint64_t, hint> m_hints;
    std::deque<std::uint64_t> m_insertionOrder;
};

} // namespace yuccachute
