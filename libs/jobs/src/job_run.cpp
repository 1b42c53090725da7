#include "jobs/jobs.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace yuccachute {

namespace {

using json = nlohmann::ordered_json;

/// Limits of one commit. The last result of a commit may exceed the byte threshold, which applies before
/// compression.
constexpr std::size_t maxResultsPerCommit = 512;
constexpr std::size_t commitBytesThreshold = 384u << 10;
constexpr milliseconds notRunRetryDelay { 100 };
constexpr milliseconds failureRetryDelay { 500 }; ///< Multiplied by the number of attempts used.

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
            m_itemStates[index].attempts = attempts->second;
        if (m_progress.startedOnce.contains(index)) {
            failItem(index, "it may have run before its worker was lost, and must not run twice", {});
            continue;
        }
        if (!m_progress.inFlight.contains(index)) {
            m_waiting.push_back(index);
            continue;
        }
        if (++m_itemStates[index].attempts >= m_record.attempts) {
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

std::optional<std::uint32_t> job_run::popStartable(std::deque<std::uint32_t>& queue, steady_time now)
{
    for (auto at = queue.begin(); at != queue.end(); ++at) {
        const auto index = *at;
        const auto state = m_itemStates.find(index);
        if (state != m_itemStates.end() && state->second.notBefore > now)
            continue;
        // A non-idempotent item starts only after its start mark is durable. If the mark were written after
        // the start and this process crashed in between, the next holder would run the item again.
        if (!m_items[index].idempotent && !m_committedStartMarks.contains(index)) {
            m_requestedStartMarks.insert(index);
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
    // At most one suspect runs at a time, so that one that crashes the process does not also cost the other
    // suspects an attempt.
    const bool suspectRuns = std::any_of(
        m_running.begin(), m_running.end(), [&](auto index) { return m_suspectSet.contains(index); });
    auto index = popStartable(m_waiting, now);
    if (!index && !suspectRuns)
        index = popStartable(m_suspects, now);
    if (!index)
        return std::nullopt;
    m_running.insert(*index);
    const auto& state = m_itemStates[*index];
    return item_start { *index, state.text, m_items[*index].maxTokens - state.tokens };
}

void job_run::requeue(std::uint32_t index, steady_time notBefore)
{
    m_itemStates[index].notBefore = notBefore;
    (m_suspectSet.contains(index) ? m_suspects : m_waiting).push_back(index);
}

void job_run::finished(std::uint32_t index, const item_outcome& outcome, steady_time now)
{
    if (m_running.erase(index) == 0 || m_progress.ended[index])
        return;
    auto& state = m_itemStates[index];
    const bool idempotent = m_items[index].idempotent;
    switch (outcome.status) {
    case item_outcome::kind::completed:
        return completeItem(index, state.text + outcome.text, state.tokens + outcome.tokens, now);
    case item_outcome::kind::not_run:
        return requeue(index, now + notRunRetryDelay);
    case item_outcome::kind::yielded:
        if (!idempotent)
            return failItem(index, "it was stopped while running, and must not run twice", now);
        state.text += outcome.text;
        state.tokens += outcome.tokens;
        return requeue(index, now);
    case item_outcome::kind::rejected:
        ++state.attempts;
        return failItem(index, outcome.reason, now);
    case item_outcome::kind::failed:
        ++state.attempts;
        if (!idempotent)
            return failItem(index, "it may have run, and must not run twice: " + outcome.reason, now);
        if (state.attempts >= m_record.attempts)
            return failItem(index, outcome.reason, now);
        return requeue(index, now + failureRetryDelay * state.attempts);
    }
}

void job_run::completeItem(std::uint32_t index, const std::string& text, unsigned tokens, steady_time now)
{
    const json line { { "id", m_items[index].id }, { "index", index }, { "status", "completed" },
        { "text", text }, { "tokens", tokens } };
    bufferResult({ index, dump(line), false }, now);
}

void job_run::failItem(std::uint32_t index, const std::string& reason, steady_time now)
{
    const json line { { "id", m_items[index].id }, { "index", index }, { "status", "failed" },
        { "reason", reason }, { "attempts", m_itemStates[index].attempts } };
    bufferResult({ index, dump(line), true }, now);
}

void job_run::bufferResult(buffered_result result, steady_time now)
{
    m_itemStates.erase(result.index);
    m_suspectSet.erase(result.index);
    m_bufferedBytes += result.line.size();
    m_buffer.push_back(std::move(result));
    m_oldestResultAt = m_oldestResultAt.value_or(now);
}

bool job_run::isCommitDue(steady_time now, milliseconds age) const
{
    if (m_nextProgress || ended())
        return false;
    if (!m_requestedStartMarks.empty())
        return true;
    if (m_buffer.empty())
        return false;
    const bool all = m_progress.completed + m_progress.failed + m_buffer.size() == m_items.size();
    return all || m_buffer.size() >= maxResultsPerCommit || m_bufferedBytes >= commitBytesThreshold
        || now - *m_oldestResultAt >= age;
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
    for (; taken < m_buffer.size() && taken < maxResultsPerCommit && bytes < commitBytesThreshold; ++taken) {
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
    next.startedOnce.insert(m_requestedStartMarks.begin(), m_requestedStartMarks.end());
    next.attempts.clear();
    for (const auto& [index, state] : m_itemStates) {
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
    m_committedStartMarks.insert(m_requestedStartMarks.begin(), m_requestedStartMarks.end());
    m_requestedStartMarks.clear();
    m_progress = std::move(*m_nextProgress);
    m_nextProgress.reset();
    m_oldestResultAt = m_buffer.empty() ? std::optional<steady_time>() : now;
}

void job_run::commitFailed()
{
    m_buffer.insert(m_buffer.begin(), std::make_move_iterator(m_committing.begin()),
        std::make_move_iterator(m_committing.end()));
    m_committing.clear();
    m_nextProgress.reset();
}

} // namespace yuccachute
