#include "memory_budget/memory_budget.h"

#include <algorithm>
#include <malloc.h>
#include <utility>

namespace yuccachute {

namespace {

/// Parts of the budget that large and medium holders leave to smaller ones.
constexpr std::size_t keptFromLarge = 4;
constexpr std::size_t keptFromMedium = 8;
/// Larger blocks are mapped one by one. Setting the threshold keeps the C library from raising it.
constexpr int mappedBlockBytes = 128 << 10;
/// Free memory at the end of the heap that is not returned.
constexpr int maxFreeHeapBytes = 1 << 20;

} // namespace

memory_budget::memory_budget(std::size_t totalBytes)
    : m_total(totalBytes)
{
}

std::shared_ptr<const void> memory_budget::addReclaimer(reclaimer reclaim)
{
    const auto handle = std::make_shared<const reclaimer>(std::move(reclaim));
    m_reclaimers.push_back(handle);
    return handle;
}

bool memory_budget::fits(std::size_t holderBytes, std::size_t added) const
{
    auto usable = m_total;
    if (holderBytes > mediumBytes)
        usable -= m_total / keptFromLarge;
    else if (holderBytes > smallBytes)
        usable -= m_total / keptFromMedium;
    return m_used <= usable && added <= usable - m_used;
}

bool memory_budget::admit(std::size_t holderBytes, std::size_t added, steady_time now)
{
    // A large holder must not displace small ones, which may be about to end.
    const auto leastBytes = holderBytes > smallBytes ? smallBytes : 0;
    while (!fits(holderBytes, added)) {
        if (holderBytes > m_total || !reclaim(leastBytes, now)) {
            ++m_refusals;
            return false;
        }
    }
    return true;
}

void memory_budget::add(std::size_t bytes)
{
    m_used += bytes;
    m_peak = std::max(m_peak, m_used);
}

bool memory_budget::reclaim(std::size_t leastBytes, steady_time now)
{
    std::erase_if(m_reclaimers, [](const auto& one) { return one.expired(); });
    return std::any_of(m_reclaimers.begin(), m_reclaimers.end(), [&](const auto& one) {
        const auto reclaimer = one.lock();
        return reclaimer && (*reclaimer)(leastBytes, now);
    });
}

memory_share::memory_share(std::shared_ptr<memory_budget> budget)
    : m_budget(std::move(budget))
{
}

memory_share::~memory_share()
{
    release();
}

memory_share::memory_share(memory_share&& other) noexcept
    : m_budget(std::move(other.m_budget))
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

memory_share& memory_share::operator=(memory_share&& other) noexcept
{
    if (this == &other)
        return *this;
    release();
    m_budget = std::move(other.m_budget);
    m_bytes = std::exchange(other.m_bytes, 0);
    return *this;
}

bool memory_share::resize(std::size_t bytes, steady_time now)
{
    if (m_budget && bytes > m_bytes) {
        if (!m_budget->admit(bytes, bytes - m_bytes, now))
            return false;
        m_budget->add(bytes - m_bytes);
    } else if (m_budget) {
        m_budget->m_used -= m_bytes - bytes;
    }
    m_bytes = bytes;
    return true;
}

void memory_share::force(std::size_t bytes, steady_time now)
{
    if (!m_budget || bytes <= m_bytes) {
        resize(bytes, now);
        return;
    }
    m_budget->add(bytes - m_bytes);
    m_bytes = bytes;
    while (m_budget->m_used > m_budget->m_total && m_budget->reclaim(0, now)) { }
}

void memory_share::release()
{
    resize(0, {});
}

void configureAllocator()
{
#ifdef __GLIBC__
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, maxFreeHeapBytes);
#endif
}

std::size_t requestMemoryBytes(std::uint64_t memoryMb, std::uint64_t requestMemoryMb)
{
    constexpr std::uint64_t percent = 100;
    const auto kilobytes = requestMemoryMb != 0
        ? requestMemoryMb << 10
        : ((memoryMb != 0 ? memoryMb : defaultMemoryMb) << 10) * requestMemoryPercent / percent;
    return static_cast<std::size_t>(kilobytes << 10);
}

} // namespace yuccachute
