#include "engine_core.h"

#include "dispatch/dispatch.h"
#include "membership/membership.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace yuccachute::standin {

namespace {

using clock = std::chrono::steady_clock;

constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t blockTokens = 16;
constexpr std::chrono::seconds keepFinished { 10 };
constexpr std::chrono::seconds keepUnread { 5 };

std::string nextToken(std::string_view textSoFar)
{
    char word[16];
    std::snprintf(word, sizeof word, "w%05x ", static_cast<unsigned>(hashText(textSoFar) & 0xfffff));
    return word;
}

} // namespace

std::string expectedCompletion(std::string_view prompt, unsigned tokens)
{
    std::string text(prompt);
    for (unsigned i = 0; i < tokens; ++i)
        text += nextToken(text);
    return text.substr(prompt.size());
}

engine_core::engine_core(engine_options options)
    : m_options(options)
    , m_thread([this] { run(); })
{
}

engine_core::~engine_core()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    m_thread.join();
}

std::shared_ptr<sequence> engine_core::submit(std::string id, std::string prompt, unsigned maxTokens)
{
    auto fresh = std::make_shared<sequence>();
    fresh->id = std::move(id);
    fresh->prompt = std::move(prompt);
    fresh->maxTokens = maxTokens;
    fresh->lastReader = clock::now();
    const std::scoped_lock lock(m_mutex);
    m_known[fresh->id] = fresh;
    m_queue.push_back(fresh);
    m_changed.notify_all();
    return fresh;
}

std::shared_ptr<sequence> engine_core::find(std::string_view id)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_known.find(id);
    return found == m_known.end() ? nullptr : found->second;
}

bool engine_core::cancel(std::string_view id)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_known.find(id);
    if (found == m_known.end() || found->second->finished)
        return false;
    found->second->cancelled = true;
    return true;
}

std::vector<std::string> engine_core::read(
    const std::shared_ptr<sequence>& from, std::size_t offset, std::chrono::milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    from->lastReader = clock::now();
    m_changed.wait_for(lock, wait, [&] { return from->tokens.size() > offset || from->finished; });
    from->lastReader = clock::now();
    if (from->tokens.size() <= offset)
        return {};
    return { from->tokens.begin() + static_cast<std::ptrdiff_t>(offset), from->tokens.end() };
}

std::pair<bool, bool> engine_core::ended(const std::shared_ptr<sequence>& from, std::size_t offset)
{
    const std::scoped_lock lock(m_mutex);
    return { from->finished && from->tokens.size() <= offset, from->cancelled };
}

engine_load engine_core::laggingLoad()
{
    const std::scoped_lock lock(m_mutex);
    return m_report;
}

engine_counts engine_core::counts()
{
    const std::scoped_lock lock(m_mutex);
    return m_counts;
}

/// Counts prompt tokens whose block is not cached, and caches them, dropping the least recently used blocks.
std::int64_t engine_core::uncachedTokens(const std::string& prompt)
{
    const auto total = static_cast<std::int64_t>(prompt.size() / bytesPerToken) + 1;
    std::int64_t cached = 0;
    for (auto hash : prefixHashes(prompt)) {
        const auto found = m_cache.find(hash);
        if (found != m_cache.end()) {
            cached += blockTokens;
            m_cacheOrder.splice(m_cacheOrder.begin(), m_cacheOrder, found->second);
            continue;
        }
        m_cacheOrder.push_front(hash);
        m_cache[hash] = m_cacheOrder.begin();
        if (m_cache.size() > m_options.cacheBlocks) {
            m_cache.erase(m_cacheOrder.back());
            m_cacheOrder.pop_back();
        }
    }
    cached = std::min(cached, total);
    m_counts.promptTokens += static_cast<std::uint64_t>(total);
    m_counts.cachedTokens += static_cast<std::uint64_t>(cached);
    return total - cached;
}

/// Admits in arrival order as long as slots and memory last; returns the prefill time in microseconds.
std::int64_t engine_core::admit()
{
    std::int64_t prefill = 0;
    std::size_t used = 0;
    for (const auto& one : m_running)
        used += one->prompt.size() / bytesPerToken + one->maxTokens;
    while (!m_queue.empty() && m_running.size() < m_options.slots) {
        auto next = m_queue.front();
        const auto needed = next->prompt.size() / bytesPerToken + next->maxTokens;
        if (!m_running.empty() && used + needed > m_options.memoryTokens)
            break;
        m_queue.pop_front();
        if (next->cancelled) {
            next->finished = true;
            ++m_counts.cancelled;
            continue;
        }
        if (next->prompt.find("[[crash]]") != std::string::npos)
            std::_Exit(3); // An item that kills its engine every time.
        used += needed;
        prefill += uncachedTokens(next->prompt) * m_options.prefillMicrosPerToken;
        ++m_counts.admitted;
        m_running.push_back(std::move(next));
    }
    return prefill;
}

void engine_core::emitTokens()
{
    for (auto at = m_running.begin(); at != m_running.end();) {
        auto& one = **at;
        if (!one.cancelled && clock::now() - one.lastReader > keepUnread)
            one.cancelled = true;
        if (!one.cancelled) {
            std::string text = one.prompt;
            for (const auto& token : one.tokens)
                text += token;
            one.tokens.push_back(nextToken(text));
            ++m_counts.tokens;
        }
        one.finished = one.cancelled || one.tokens.size() >= one.maxTokens;
        m_counts.cancelled += one.cancelled ? 1 : 0;
        at = one.finished ? m_running.erase(at) : std::next(at);
    }
}

/// Forgets finished sequences that can no longer be resumed.
void engine_core::sweep()
{
    std::erase_if(m_known, [](const auto& entry) {
        return entry.second->finished && clock::now() - entry.second->lastReader > keepFinished;
    });
}

void engine_core::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const auto now = clock::now();
        if (now - m_reportTime > std::chrono::milliseconds(m_options.reportLagMs)) {
            std::size_t used = 0;
            for (const auto& one : m_running)
                used += one->prompt.size() / bytesPerToken + one->maxTokens;
            m_report = { static_cast<unsigned>(m_running.size()), static_cast<unsigned>(m_queue.size()),
                static_cast<double>(used) / static_cast<double>(m_options.memoryTokens) };
            m_reportTime = now;
            sweep();
        }
        const auto prefill = admit();
        if (m_running.empty()) {
            m_changed.notify_all();
            m_changed.wait_for(lock, std::chrono::milliseconds(m_options.reportLagMs),
                [&] { return m_stopping || !m_queue.empty(); });
            continue;
        }
        const auto step = std::chrono::microseconds(m_options.stepMicros + prefill
            + m_options.stepPerSequenceMicros * static_cast<std::int64_t>(m_running.size()));
        lock.unlock();
        std::this_thread::sleep_until(now + step);
        lock.lock();
        emitTokens();
        m_changed.notify_all();
    }
}

} // namespace yuccachute::standin
