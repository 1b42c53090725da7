#include "played_target.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// From admission to the first event on a target that is not slowed.
constexpr milliseconds firstEventAfter { 25 };

} // namespace

void played_target::take(std::uint64_t request, milliseconds work, milliseconds reading)
{
    m_queue.push_back({ request, work, milliseconds { 0 }, reading });
}

milliseconds played_target::drop(std::uint64_t request)
{
    milliseconds left { 0 };
    const auto isIt = [&](const run& one) {
        if (one.request != request)
            return false;
        left = one.left;
        return true;
    };
    std::erase_if(m_running, isIt);
    std::erase_if(m_queue, isIt);
    return left;
}

std::vector<target_progress> played_target::advance(milliseconds time)
{
    std::vector<target_progress> told;
    if (m_dark)
        return told;
    while (m_running.size() < m_slots && !m_queue.empty()) {
        m_reading += m_queue.front().reading;
        m_running.push_back(m_queue.front());
        m_queue.pop_front();
    }
    const auto spent = std::min(m_reading, time);
    m_reading -= spent;
    time -= spent;
    for (auto& one : m_running) {
        const bool before = one.worked >= firstEventAfter;
        one.worked += time;
        one.left -= time;
        const bool first = !before && one.worked >= firstEventAfter;
        const bool finished = one.left.count() <= 0;
        if (first || finished)
            told.push_back({ one.request, first, finished });
    }
    std::erase_if(m_running, [](const run& one) { return one.left.count() <= 0; });
    return told;
}

load_report played_target::report() const
{
    load_report report;
    report.running = static_cast<unsigned>(m_running.size());
    report.queued = static_cast<unsigned>(m_queue.size());
    report.runs.emplace();
    for (const auto& one : m_running)
        report.runs->push_back(std::to_string(one.request));
    return report;
}

} // namespace yuccachute
