#include "process.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// A job whose holder goes loses half of this on average, of runs of five to seven seconds; one call each
/// time.
constexpr milliseconds progressSaveInterval { 2000 };
/// Less is not worth the bytes: some two seconds of one item.
constexpr std::size_t minUnsavedEvents = 100;
/// Of one call, before compression; a value of the store may have a megabyte.
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

/// Guards against whole runs being repeated: a process that is killed, frozen or cut off takes with it what
/// its items have received, up to their last event; the next holder began them anew and made them late. What
/// is saved is a prefix of the item's text, whoever received it, so an older save does no harm.
void bulk_process::saveProgress()
{
    m_nextProgressSave = now() + progressSaveInterval;
    if (m_saving || m_store.away())
        return;
    std::vector<std::pair<std::size_t, job_map::iterator>> changed;
    for (auto job = m_jobs.begin(); job != m_jobs.end(); ++job) {
        const auto& held = job->second;
        const auto events = held.job->bufferedEvents();
        // Fewer than before: items have got their results.
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
            logEvent(log_level::warning, "progress not saved", { { "message", saved.error().message } });
        else if (!saved.value()) // One of the jobs is somebody else's now: the list of jobs tells which.
            m_nextScan = std::min(m_nextScan, now());
    });
}

} // namespace yuccachute
