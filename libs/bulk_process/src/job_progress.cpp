#include "process.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// Costs one call each time. A failed holder loses half an interval of progress on average, of runs that take
/// 5 to 7 s.
constexpr milliseconds progressSaveInterval { 2000 };
/// Fewer unsaved events are not worth a write; equals about 2 s of one item.
constexpr std::size_t minUnsavedEvents = 100;
/// Per call, before compression. A value of the store is limited to 1 MB.
constexpr std::size_t maxBytes = 700u << 10;

std::size_t bytesOf(std::span<const item_progress> items)
{
    std::size_t bytes = 0;
    for (const auto& item : items) {
        for (const auto& event : item.events)
            bytes += event.size();
    }
    return bytes;
}

} // namespace

/// Prevents items from running again in full after their process was killed, frozen or partitioned: without
/// saved progress, the next holder started them from the beginning, and they finished late. Saved progress is
/// always a prefix of the item's output, whichever process received it, so outdated progress is harmless.
void bulk_process::saveProgress()
{
    m_nextProgressSave = now() + progressSaveInterval;
    if (m_saving || m_store.away())
        return;
    std::vector<std::pair<std::size_t, job_map::iterator>> changed;
    for (auto job = m_jobs.begin(); job != m_jobs.end(); ++job) {
        const auto& held = job->second;
        const auto events = held.job->bufferedEvents();
        // The number drops when items finish.
        const auto unsaved = events > held.eventsSaved ? events - held.eventsSaved : 0;
        if (held.openRevision != 0 && !held.cancelled && unsaved >= minUnsavedEvents)
            changed.emplace_back(unsaved, job);
    }
    std::sort(changed.begin(), changed.end(),
        [](const auto& left, const auto& right) { return left.first > right.first; });
    std::vector<bulk_job_store::progress_save> saves;
    std::size_t bytes = 0;
    for (const auto& [unsaved, job] : changed) {
        const auto progress = job->second.job->progress();
        bytes += bytesOf(progress);
        if (saves.size() == bulk_job_store::maxSavesPerCall || (bytes > maxBytes && !saves.empty()))
            break;
        saves.push_back({ job->first, job->second.openRevision, encodeItemProgress(progress) });
        job->second.eventsSaved = job->second.job->bufferedEvents();
    }
    if (saves.empty())
        return;
    m_saving = true;
    m_jobStore.saveProgress(saves, [this](result<bool> saved) {
        m_saving = false;
        if (!saved)
            logEvent(
                log_level::warning, "progress could not be saved", { { "message", saved.error().message } });
        else if (!saved.value()) // Another process has taken over one of the jobs; find out which.
            m_scan.request(bootClockNow());
    });
}

} // namespace yuccachute
