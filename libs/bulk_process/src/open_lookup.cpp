#include "open_lookup.h"

#include <algorithm>
#include <iterator>

namespace yuccachute {

namespace {

/// Callers wait 1.5 s for an answer and come twice a second, so this delay costs them nothing.
constexpr milliseconds leastInterval { 200 };

} // namespace

open_lookup::open_lookup(event_loop& loop, job_keeper& keeper)
    : m_keeper(keeper)
    , m_timer(loop)
{
}

void open_lookup::ask(const std::string& jobId, callback done)
{
    m_waiting.emplace(jobId, std::move(done));
    schedule();
}

void open_lookup::schedule()
{
    if (m_waiting.empty() || m_calling || m_timer.armed())
        return;
    if (std::chrono::steady_clock::now() >= m_nextCall)
        return send();
    m_timer.armAt(m_nextCall, [this] { send(); });
}

void open_lookup::send()
{
    m_calling = true;
    m_nextCall = std::chrono::steady_clock::now() + leastInterval;
    auto asked = std::exchange(m_waiting, {});
    const auto& job = asked.begin()->first;
    if (asked.count(job) < asked.size())
        return m_keeper.listOpen([this, asked = std::move(asked)](
                                     const result<job_keeper::open_jobs>& open) { answer(asked, open); });
    // All ask about one job: its key is shorter than the list.
    m_keeper.holderOf(job, [this, asked](const result<std::optional<job_keeper::open_job>>& open) {
        ended();
        for (const auto& [id, done] : asked)
            done(open);
    });
}

void open_lookup::answer(const questions& asked, const result<job_keeper::open_jobs>& open)
{
    ended();
    for (const auto& question : asked) {
        const auto& done = question.second;
        if (!open) {
            done(open.error());
            continue;
        }
        const auto& jobs = open.value().jobs;
        const auto found = std::find_if(
            jobs.begin(), jobs.end(), [&](const auto& job) { return job.id == question.first; });
        done(found == jobs.end() ? std::nullopt : std::optional(*found));
    }
}

void open_lookup::ended()
{
    m_calling = false;
    schedule();
}

} // namespace yuccachute
