#include "jobs/jobs.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace yuccachute {

namespace {

using json = nlohmann::ordered_json;

/// A commit holds at most so many results, and so many bytes before compression.
constexpr std::size_t resultsPerCommit = 512;
constexpr std::size_t bytesPerCommit = 384u << 10;
constexpr milliseconds notRunPause { 100 };
constexpr milliseconds failedPause { 500 };

std::string dump(const json& document)
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
}

} // namespace

job_run::job_run(job_record record, std::vector<job_item> items, job_progress progress)
    : m_record(std::move(record))
    , m_items(std::move(items))
    , m_progress(std::move(progress))
{
    m_progress.ended.resize(m_items.size());
    for (std::uint32_t index = 0; index < m_items.size(); ++index) {
        if (m_progress.ended[index])
            continue;
        auto attempts = m_progress.attempts.find(index);
        if (attempts != m_progress.attempts.end())
            m_states[index].attempts = attempts->second;
        if (m_progress.startedOnce.contains(index)) {
            failItem(index, "it may have run before its worker was lost, and must not run twice", {});
            continue;
        }
        if (!m_progress.inFlight.contains(index)) {
            m_waiting.push_back(index);
            continue;
        }
        if (++m_states[index].attempts >= m_record.attempts) {
            failItem(index, "its worker was lost with it in flight, in each attempt", {});
            continue;
        }
        m_suspects.push_back(index);
        m_suspectSet.insert(index);
    }
}

std::size_t job_run::remaining() const
{
    return m_items.size() - m_progress.completed - m_progress.failed;
}

std::optional<std::uint32_t> job_run::takeStartable(std::deque<std::uint32_t>& queue, steady_time now)
{
    for (auto at = queue.begin(); at != queue.end(); ++at) {
        const auto index = *at;
        const auto state = m_states.find(index);
        if (state != m_states.end() && state->second.notBefore > now)
            continue;
        // A non-idempotent item starts only after its mark is durable: were the worker lost between the start
        // and a later mark, the next holder would run the item again.
        if (!m_items[index].idempotent && !m_marksCommitted.contains(index)) {
            m_marksWanted.insert(index);
            continue;
        }
        queue.erase(at);
        return index;
    }
    return std::nullopt;
}

std::optional<item_start> job_run::next(steady_time now)
{
    if (ended())
        return std::nullopt;
    // An item that may have ended its worker runs alone among its kind, so that it takes no others with it.
    const bool suspectRuns = std::any_of(
        m_running.begin(), m_running.end(), [&](auto index) { return m_suspectSet.contains(index); });
    auto index = takeStartable(m_waiting, now);
    if (!index && !suspectRuns)
        index = takeStartable(m_suspects, now);
    if (!index)
        return std::nullopt;
    m_running.insert(*index);
    const auto& state = m_states[*index];
    return item_start { *index, state.text, m_items[*index].maxTokens - state.tokens };
}

void job_run::queueAgain(std::uint32_t index, steady_time notBefore)
{
    m_states[index].notBefore = notBefore;
    (m_suspectSet.contains(index) ? m_suspects : m_waiting).push_back(index);
}

void job_run::finished(std::uint32_t index, const item_outcome& outcome, steady_time now)
{
    if (m_running.erase(index) == 0 || m_progress.ended[index])
        return;
    auto& state = m_states[index];
    const bool idempotent = m_items[index].idempotent;
    switch (outcome.what) {
    case item_outcome::kind::completed:
        return endItem(index, state.text + outcome.text, state.tokens + outcome.tokens, now);
    case item_outcome::kind::not_run:
        return queueAgain(index, now + notRunPause);
    case item_outcome::kind::yielded:
        if (!idempotent)
            return failItem(index, "it was stopped while running, and must not run twice", now);
        state.text += outcome.text;
        state.tokens += outcome.tokens;
        return queueAgain(index, now);
    case item_outcome::kind::rejected:
        ++state.attempts;
        return failItem(index, outcome.reason, now);
    case item_outcome::kind::failed:
        ++state.attempts;
        if (!idempotent)
            return failItem(index, "it may have run, and must not run twice: " + outcome.reason, now);
        if (state.attempts >= m_record.attempts)
            return failItem(index, outcome.reason, now);
        return queueAgain(index, now + failedPause * state.attempts);
    }
}

void job_run::endItem(std::uint32_t index, const std::string& text, unsigned tokens, steady_time now)
{
    const json line { { "id", m_items[index].id }, { "index", index }, { "status", "completed" },
        { "text", text }, { "tokens", tokens } };
    buffer({ index, dump(line), false }, now);
}

void job_run::failItem(std::uint32_t index, const std::string& reason, steady_time now)
{
    const json line { { "id", m_items[index].id }, { "index", index }, { "status", "failed" },
        { "reason", reason }, { "attempts", m_states[index].attempts } };
    buffer({ index, dump(line), true }, now);
}

void job_run::buffer(buffered_result result, steady_time now)
{
    m_states.erase(result.index);
    m_suspectSet.erase(result.index);
    m_bufferedBytes += result.line.size();
    m_buffer.push_back(std::move(result));
    m_oldest = m_oldest.value_or(now);
}

bool job_run::commitDue(steady_time now, milliseconds age) const
{
    if (m_nextProgress || ended())
        return false;
    if (!m_marksWanted.empty())
        return true;
    if (m_buffer.empty())
        return false;
    const bool all = m_progress.completed + m_progress.failed + m_buffer.size() == m_items.size();
    return all || m_buffer.size() >= resultsPerCommit || m_bufferedBytes >= bytesPerCommit
        || now - *m_oldest >= age;
}

job_commit job_run::beginCommit(std::string token, std::int64_t nowMs)
{
    job_commit commit;
    commit.resultChunk = m_progress.resultChunks;
    auto& next = commit.progress;
    next = m_progress;
    next.token = std::move(token);
    std::size_t bytes = 0;
    std::size_t taken = 0;
    for (; taken < m_buffer.size() && taken < resultsPerCommit && bytes < bytesPerCommit; ++taken) {
        const auto& result = m_buffer[taken];
        bytes += result.line.size();
        commit.lines += result.line;
        next.ended[result.index] = true;
        (result.failed ? next.failed : next.completed) += 1;
        next.startedOnce.erase(result.index);
    }
    commit.results = static_cast<std::uint32_t>(taken);
    m_committing.assign(std::make_move_iterator(m_buffer.begin()),
        std::make_move_iterator(m_buffer.begin() + static_cast<std::ptrdiff_t>(taken)));
    m_buffer.erase(m_buffer.begin(), m_buffer.begin() + static_cast<std::ptrdiff_t>(taken));
    next.resultChunks += taken > 0 ? 1 : 0;
    next.startedOnce.insert(m_marksWanted.begin(), m_marksWanted.end());
    next.attempts.clear();
    for (const auto& [index, state] : m_states) {
        if (state.attempts > 0)
            next.attempts[index] = state.attempts;
    }
    next.inFlight = m_running;
    if (next.completed + next.failed == m_items.size()) {
        next.state = job_state::completed;
        next.endedMs = nowMs;
    }
    m_nextProgress = next;
    return commit;
}

void job_run::committed(steady_time now)
{
    for (const auto& result : m_committing)
        m_bufferedBytes -= result.line.size();
    m_committing.clear();
    m_marksCommitted.insert(m_marksWanted.begin(), m_marksWanted.end());
    m_marksWanted.clear();
    m_progress = std::move(*m_nextProgress);
    m_nextProgress.reset();
    m_oldest = m_buffer.empty() ? std::optional<steady_time>() : now;
}

void job_run::commitFailed()
{
    m_buffer.insert(m_buffer.begin(), std::make_move_iterator(m_committing.begin()),
        std::make_move_iterator(m_committing.end()));
    m_committing.clear();
    m_nextProgress.reset();
}

} // namespace yuccachute
