#pragma once

#include <concepts>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

/// Layer: state.
namespace yuccachute {

/// Immutable bytes that all copies share. Bodies of requests are kept for retries while they are sent, so
/// each copy of a large one would take its size again.
class shared_bytes {
public:
    shared_bytes() = default;
    shared_bytes(std::string bytes); // NOLINT(google-explicit-constructor): a drop-in for std::string.
    shared_bytes(const char* text); // NOLINT(google-explicit-constructor)

    const std::string& str() const;
    operator std::string_view() const { return str(); } // NOLINT(google-explicit-constructor)
    std::size_t size() const { return str().size(); }
    bool empty() const { return str().empty(); }
    /// Size of the allocation; 0 without bytes.
    std::size_t capacity() const { return m_bytes ? m_bytes->capacity() : 0; }

    friend bool operator==(const shared_bytes& left, const shared_bytes& right)
    {
        return left.str() == right.str();
    }
    template <typename T>
    requires(std::convertible_to<const T&, std::string_view> && !std::same_as<T, shared_bytes>) friend bool
    operator==(const shared_bytes& left, const T& right)
    {
        return left.str() == std::string_view(right);
    }

private:
    std::shared_ptr<const std::string> m_bytes; ///< Null if empty.
};

} // namespace yuccachute
