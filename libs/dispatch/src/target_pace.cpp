#include "target_pace.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// A single run may have stalled.
constexpr std::size_t minSamples = 2;
/// Fewer events measure how they were batched in the network rather than the speed of the target.
constexpr std::uint32_t minEvents = 4;
constexpr std::chrono::microseconds minInterval { 10 };
/// No objective for pauses is this long, and runs at silent targets are cancelled long before.
constexpr std::chrono::microseconds maxInterval { std::chrono::seconds { 60 } };
constexpr double minRelative = 1.0 / 16;
constexpr double maxRelative = 4;
/// Runs at equal targets differ by this much, because prompts of other requests are processed in between.
constexpr double tolerance = 1.25;

} // namespace

void target_pace::record(std::chrono::microseconds interval, std::uint32_t events, steady_time now)
{
    if (events >= minEvents)
        recordSilence(interval, now);
}

void target_pace::recordSilence(std::chrono::microseconds silence, steady_time now)
{
    if (silence < minInterval || silence > maxInterval)
        return;
    m_samples[m_next] = { silence, now };
    m_next = (m_next + 1) % maxSamples;
}

std::chrono::microseconds target_pace::interval(steady_time now, milliseconds lifetime) const
{
    std::array<std::chrono::microseconds, maxSamples> recent;
    std::size_t count = 0;
    for (const auto& one : m_samples) {
        if (one.interval.count() > 0 && now - one.time < lifetime)
            recent[count++] = one.interval;
    }
    if (count < minSamples)
        return std::chrono::microseconds { 0 };
    // Of two samples the faster one: a run can be delayed, but not be faster than its target.
    const auto middle = recent.begin() + static_cast<std::ptrdiff_t>((count - 1) / 2);
    std::nth_element(recent.begin(), middle, recent.begin() + static_cast<std::ptrdiff_t>(count));
    return *middle;
}

void target_pace::update(std::chrono::microseconds nominal, steady_time now)
{
    const auto own = interval(now);
    if (own.count() == 0 || nominal.count() == 0)
        return; // relative() expires by itself.
    const double ratio = static_cast<double>(nominal.count()) / static_cast<double>(own.count());
    const bool equal = ratio <= tolerance && ratio >= 1 / tolerance;
    m_relative = equal ? 1 : std::clamp(ratio, minRelative, maxRelative);
    // The estimate expires with the second newest sample.
    const auto& second = m_samples[(m_next + maxSamples - minSamples) % maxSamples];
    m_knownUntil = second.time + sampleLifetime;
}

double target_pace::relative(unsigned runs, steady_time now) const
{
    const bool tried = !known(now) && m_relative < slowPace && runs > 0;
    return tried ? m_relative : relative(now);
}

} // namespace yuccachute
