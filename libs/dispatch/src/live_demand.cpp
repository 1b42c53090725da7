#include "live_demand.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace yuccachute {

namespace {

/// Much shorter than a peak that is worth planning for, and several calls of tick().
constexpr milliseconds intervalLength { 100 };
/// Peaks repeat if two periods fit into the history, so periods of up to 15 s are found.
constexpr std::size_t intervalsKept = 300;
/// A pause without records, in which the group was inactive: what came before no longer predicts anything.
constexpr milliseconds maxGap { 2000 };
/// Averages out the fluctuation between neighboring intervals.
constexpr std::size_t intervalsSmoothed = 3;
/// Random arrivals fluctuate by about the square root of the mean, and over the history rarely by more than
/// five times that between the lowest and the highest value.
constexpr double minRangeInDeviations = 5;
/// Fraction by which successive periods of a repeating demand may differ.
constexpr double periodTolerance = 0.15;
/// Fraction of a period by which a peak may begin or end later than expected.
constexpr double delayTolerance = 0.25;
constexpr std::size_t peaksKept = 3;
/// A new dispatcher does not know the grants of its predecessor and sees too little demand until they end.
constexpr milliseconds settlingTime { 1000 };

steady_time::duration fraction(steady_time::duration duration, double part)
{
    return std::chrono::duration_cast<steady_time::duration>(duration * part);
}

} // namespace

void live_demand::record(unsigned slots, steady_time now)
{
    if (now - m_intervalStart > maxGap) {
        *this = {};
        m_intervalStart = now + settlingTime;
        m_lastLow = m_intervalStart;
    }
    if (now < m_intervalStart)
        return;
    while (now - m_intervalStart >= intervalLength)
        closeInterval();
    m_sum += slots;
    ++m_samples;
}

void live_demand::closeInterval()
{
    const double previous = m_means.empty() ? 0 : m_means.back();
    m_means.push_back(m_samples > 0 ? m_sum / static_cast<double>(m_samples) : previous);
    if (m_means.size() > intervalsKept)
        m_means.pop_front();
    m_sum = 0;
    m_samples = 0;
    m_intervalStart += intervalLength;
    const auto smoothed = std::min(m_means.size(), intervalsSmoothed);
    double sum = 0;
    for (std::size_t i = m_means.size() - smoothed; i < m_means.size(); ++i)
        sum += m_means[i];
    detectEdge(sum / static_cast<double>(smoothed));
}

/// A peak is a demand that rises from the lowest to the highest third of its range and falls back again. The
/// distance between both keeps fluctuations from counting as peaks. It begins with the rise and ends with the
/// fall, because slots are free for items from then on.
void live_demand::detectEdge(double smoothed)
{
    const auto [lowest, highest] = std::minmax_element(m_means.begin(), m_means.end());
    const double range = *highest - *lowest;
    if (range < minRangeInDeviations * std::sqrt((*highest + *lowest) / 2)) {
        m_lastLow = m_intervalStart;
        return;
    }
    const bool low = smoothed < *lowest + range / 3;
    const bool high = smoothed > *highest - range / 3;
    const bool inPeak = !m_peaks.empty() && !m_peaks.back().end;
    if (inPeak && low)
        m_peaks.back().end = m_lastHigh;
    if (!inPeak && high) {
        m_peaks.push_back({ m_lastLow, std::nullopt, 0 });
        if (m_peaks.size() > peaksKept)
            m_peaks.pop_front();
    }
    if (!m_peaks.empty() && !m_peaks.back().end)
        m_peaks.back().slots = std::max(m_peaks.back().slots, m_means.back());
    if (low)
        m_lastLow = m_intervalStart;
    if (high)
        m_lastHigh = m_intervalStart;
}

/// The time between the last two beginnings of peaks, if the two ends before are as far apart. The first two
/// peaks are compared as soon as both have ended.
std::optional<steady_time::duration> live_demand::period() const
{
    if (m_peaks.size() < 2 || (m_peaks.size() == 2 && !m_peaks.back().end))
        return std::nullopt;
    const auto& last = m_peaks.back();
    const auto& previous = m_peaks[m_peaks.size() - 2];
    const auto between = last.start - previous.start;
    const auto betweenEnds
        = m_peaks.size() == 2 ? *last.end - *previous.end : *previous.end - *m_peaks[0].end;
    if (std::chrono::abs(between - betweenEnds) > fraction(between, periodTolerance))
        return std::nullopt;
    return between;
}

double live_demand::meanSlots() const
{
    const double sum = std::accumulate(m_means.begin(), m_means.end(), 0.0);
    return m_means.empty() ? 0 : sum / static_cast<double>(m_means.size());
}

std::optional<expected_peak> live_demand::nextPeak(steady_time now) const
{
    const auto time = period();
    if (!time)
        return std::nullopt;
    const auto& previous = m_peaks[m_peaks.size() - 2];
    const auto& last = m_peaks.back();
    const auto end = last.end.value_or(*previous.end + *time);
    const auto tolerance = fraction(*time, delayTolerance);
    if (now > (last.end ? last.start + *time : end) + tolerance)
        return std::nullopt;
    const auto slots = static_cast<unsigned>(std::ceil(std::max(previous.slots, last.slots)));
    const bool next = last.end || now >= end;
    const auto shift = next ? *time : steady_time::duration { 0 };
    const auto trough = std::max(*time - (end - last.start), steady_time::duration { 0 });
    return expected_peak { last.start + shift, end + shift, slots, trough };
}

} // namespace yuccachute
