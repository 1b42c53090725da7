#pragma once

#include "verdict/verdict.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

/// Limit on the memory that all requests of a process hold together. Layer: state. No I/O, not thread-safe.
namespace yuccachute {

/// Admits holders of memory. A part is reserved for medium and small holders and a part of that for small
/// ones, so that large requests cannot keep small ones out.
class memory_budget {
public:
    /// Holders up to this size are small: heads, and the bodies of most requests.
    static constexpr std::size_t smallBytes = 64u << 10;
    /// Holders up to this size are medium.
    static constexpr std::size_t mediumBytes = 256u << 10;

    /// Closes one holder of at least `leastBytes` that makes no progress, so that it releases its memory.
    /// Returns false if there is none. Must not create, resize or destroy the share that is being resized.
    using reclaimer = std::function<bool(std::size_t leastBytes, steady_time now)>;

    explicit memory_budget(std::size_t totalBytes);

    std::size_t total() const { return m_total; }
    std::size_t used() const { return m_used; }
    /// Most bytes used at any time.
    std::size_t peak() const { return m_peak; }
    /// Number of resizes that were refused.
    std::uint64_t refusals() const { return m_refusals; }
    /// Whether a new holder of this size would be admitted without reclaiming.
    bool fits(std::size_t bytes) const { return fits(bytes, bytes); }

    /// Registers a reclaimer until the returned handle is destroyed. Reclaimers are asked in this order.
    std::shared_ptr<const void> addReclaimer(reclaimer reclaim);

private:
    friend class memory_share;

    bool fits(std::size_t holderBytes, std::size_t added) const;
    bool admit(std::size_t holderBytes, std::size_t added, steady_time now);
    void add(std::size_t bytes);
    bool reclaim(std::size_t leastBytes, steady_time now);

    std::size_t m_total;
    std::size_t m_used = 0;
    std::size_t m_peak = 0;
    std::uint64_t m_refusals = 0;
    std::list<std::weak_ptr<const reclaimer>> m_reclaimers;
};

/// The memory of one holder. It is returned to the budget when the share is destroyed. A share without a
/// budget admits everything.
class memory_share {
public:
    memory_share() = default;
    explicit memory_share(std::shared_ptr<memory_budget> budget);
    ~memory_share();
    memory_share(memory_share&& other) noexcept;
    memory_share& operator=(memory_share&& other) noexcept;
    memory_share(const memory_share&) = delete;
    memory_share& operator=(const memory_share&) = delete;

    /// Sets the size. Growing reclaims memory if necessary, and fails without any change if not enough can be
    /// reclaimed.
    bool resize(std::size_t bytes, steady_time now);
    /// Sets the size even if that exceeds the budget, for memory that is in use already. Then other holders
    /// are reclaimed, and nothing else is admitted.
    void force(std::size_t bytes, steady_time now);
    void release();
    std::size_t bytes() const { return m_bytes; }

private:
    std::shared_ptr<memory_budget> m_budget;
    std::size_t m_bytes = 0;
};

/// Memory for requests where the settings do not give it: this part of the memory of the VM, in percent. The
/// rest is for the process itself and for short-lived copies.
constexpr unsigned requestMemoryPercent = 40;
/// Memory of a VM whose settings do not give it, in MB.
constexpr std::uint64_t defaultMemoryMb = 256;

/// The budget of a process, in bytes. Both arguments are in MB, and 0 if not set.
std::size_t requestMemoryBytes(std::uint64_t memoryMb, std::uint64_t requestMemoryMb);

/// Lets the C library return the memory of large bodies to the system as soon as they are released. By
/// default it keeps what lies below a block that is in use. To be called at the start of a program.
void configureAllocator();

} // namespace yuccachute
