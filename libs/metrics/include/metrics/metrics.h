#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

/// Counters and histograms per customer and class, in the Prometheus text format. Layer: state.
namespace yuccachute {

/// Labels of one series.
struct metric_labels {
    std::string customer;
    std::string workClass; ///< "live" or "bulk"
};

/// Thread-safe collection. A series appears at its first observation. At most 4096 series are kept; further
/// customers are counted under the customer "other", so that callers cannot grow the memory.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Adds one observation to the histogram of that name, in seconds.
    void observe(std::string_view name, const metric_labels& labels, std::chrono::nanoseconds value);

    /// Adds to a counter. The label pair distinguishes its series, for instance verdict and "not_run".
    void count(
        std::string_view name, std::string_view label, std::string_view value, std::uint64_t amount = 1);

    /// Sets a gauge.
    void set(std::string_view name, double value);

    /// Writes everything in the Prometheus text format, version 0.0.4.
    std::string text() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace yuccachute
