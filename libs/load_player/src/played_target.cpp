#include "played_target.h"

#include "load_player/load_player.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// From admission to the first event on a target that is not slowed.
constexpr milliseconds firstEventAfter { 25 };

/// Number of events that a run has produced after working for this time.
unsigned eventsAfter(work_time worked)
{
    return worked < firstEventAfter
        ? 0
        : 1 + static_cast<unsigned>((worked - firstEventAfter) / work_time { playedEventInterval });
}

} // namespace

void played_target::take(std::uint64_t request, milliseconds work, milliseconds reading)
{
    m_queue.push_back({ request, work, work_time { 0 }, reading });
}

milliseconds played_target::drop(std::uint64_t request)
{
    work_time left { 0 };
    const auto isIt = [&](const run& one) {
        if (one.request != request)
            return false;
        left = one.left;
        return true;
    };
    std::erase_if(m_running, isIt);
    std::erase_if(m_queue, isIt);
    return std::chrono::ceil<milliseconds>(left);
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
    work_time work = time * m_speed;
    const auto spent = std::min(m_reading, work);
    m_reading -= spent;
    work -= spent;
    for (auto& one : m_running) {
        const auto before = eventsAfter(one.worked);
        one.worked += work;
        one.left -= work;
        const auto events = eventsAfter(one.worked) - before;
        const bool finished = one.left.count() <= 0;
        if (events > 0 || finished)
            told.push_back({ one.request, before == 0 && events > 0, finished, events });
    }
    std::erase_if(m_running, [](const run& one) { return one.left.count() <= 0; });
    return told;
}

load_report played_target::report() const
{
    load_report report;
    report.runs.emplace();
    if (m_reportsIdle)
        return report;
    report.running = static_cast<unsigned>(m_running.size());
    report.queued = static_cast<unsigned>(m_queue.size());
    for (const auto& one : m_running)
        report.runs->push_back(std::to_string(one.request));
    return report;
}

} // namespace yuccachute
