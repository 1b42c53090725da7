#include "metrics/metrics.h"

#include <boost/histogram.hpp>

#include <cstdio>
#include <map>
#include <mutex>
#include <tuple>

namespace yuccachute {

namespace {

namespace bh = boost::histogram;

// From 0.1 ms to 100 s in 48 logarithmic bins: each bin is a third wider than the one before.
constexpr unsigned binCount = 48;
constexpr double lowestSeconds = 1e-4;
constexpr double highestSeconds = 100;
constexpr std::size_t mostSeries = 4096;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using histogram = decltype(bh::make_histogram(log_axis()));

struct series {
    histogram bins = bh::make_histogram(log_axis(binCount, lowestSeconds, highestSeconds));
    double sum = 0;
    std::uint64_t total = 0;
};

std::string escapeLabel(std::string_view text)
{
    std::string escaped;
    for (char c : text) {
        if (c == '\\' || c == '"')
            escaped += '\\';
        escaped += c == '\n' ? ' ' : c;
    }
    return escaped;
}

std::string number(double value)
{
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%.6g", value);
    return buffer;
}

void writeSeries(std::string& out, const std::string& name, const std::string& labels, const series& data)
{
    double below = data.bins.at(-1); // The underflow bin lies below the first boundary.
    for (unsigned i = 0; i < binCount; ++i) {
        below += data.bins.at(static_cast<int>(i));
        out += name + "_bucket{" + labels + ",le=\""
            + number(data.bins.axis().bin(static_cast<int>(i)).upper()) + "\"} " + number(below) + '\n';
    }
    out += name + "_bucket{" + labels + ",le=\"+Inf\"} " + std::to_string(data.total) + '\n';
    out += name + "_sum{" + labels + "} " + number(data.sum) + '\n';
    out += name + "_count{" + labels + "} " + std::to_string(data.total) + '\n';
}

} // namespace

struct metrics::impl {
    using series_key = std::tuple<std::string, std::string, std::string>;

    mutable std::mutex mutex;
    std::map<series_key, series> histograms;
    std::map<series_key, std::uint64_t> counters;
    std::map<std::string, double> gauges;
};

metrics::metrics()
    : m_impl(std::make_unique<impl>())
{
}

metrics::~metrics() = default;

void metrics::observe(std::string_view name, const metric_labels& labels, std::chrono::nanoseconds value)
{
    const double seconds = std::chrono::duration<double>(value).count();
    const std::scoped_lock lock(m_impl->mutex);
    impl::series_key key { name, labels.customer, labels.workClass };
    if (m_impl->histograms.size() >= mostSeries && !m_impl->histograms.contains(key))
        std::get<1>(key) = "other";
    auto& data = m_impl->histograms[key];
    data.bins(seconds);
    data.sum += seconds;
    ++data.total;
}

void metrics::count(
    std::string_view name, std::string_view label, std::string_view value, std::uint64_t amount)
{
    const std::scoped_lock lock(m_impl->mutex);
    m_impl->counters[{ std::string(name), std::string(label), std::string(value) }] += amount;
}

void metrics::set(std::string_view name, double value)
{
    const std::scoped_lock lock(m_impl->mutex);
    m_impl->gauges[std::string(name)] = value;
}

std::string metrics::text() const
{
    const std::scoped_lock lock(m_impl->mutex);
    std::string out;
    std::string last;
    const auto writeType = [&](const std::string& name, const char* type) {
        if (name != last)
            out += "# TYPE " + name + ' ' + type + '\n';
        last = name;
    };
    for (const auto& [key, data] : m_impl->histograms) {
        const auto& [name, customer, workClass] = key;
        writeType(name, "histogram");
        writeSeries(out, name, "customer=\"" + escapeLabel(customer) + "\",class=\"" + workClass + '"', data);
    }
    for (const auto& [key, value] : m_impl->counters) {
        const auto& [name, label, text] = key;
        writeType(name, "counter");
        out += name + '{' + label + "=\"" + escapeLabel(text) + "\"} " + std::to_string(value) + '\n';
    }
    for (const auto& [name, value] : m_impl->gauges) {
        writeType(name, "gauge");
        out += name + ' ' + number(value) + '\n';
    }
    return out;
}

} // namespace yuccachute
