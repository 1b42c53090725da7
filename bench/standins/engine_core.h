#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <vector>

/// Continuous batching as a model engine does it, with times in place of a model. It knows no priorities and
/// admits in arrival order.
namespace yuccachute::standin {

struct engine_options {
    unsigned slots = 8;
    std::int64_t stepMicros = 2000; ///< One decode step of an empty batch.
    std::int64_t stepPerSequenceMicros = 100; ///< Added for each running sequence.
    std::int64_t prefillMicrosPerToken = 20; ///< For prompt tokens that are not cached.
    std::size_t memoryTokens = 65536; ///< KV memory of running sequences.
    std::size_t cacheBlocks = 512; ///< Prefix cache, in blocks of 64 bytes.
    std::int64_t reportLagMs = 100;
};

/// One request in the engine. Readers wait for its tokens.
struct sequence {
    std::string id;
    std::string prompt;
    unsigned maxTokens = 0;
    std::vector<std::string> tokens;
    bool finished = false;
    bool cancelled = false;
    std::chrono::steady_clock::time_point lastReader;
};

struct engine_load {
    unsigned running = 0;
    unsigned queued = 0;
    double memoryUsed = 0;
};

struct engine_counts {
    std::uint64_t admitted = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t tokens = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
};

class engine_core {
public:
    explicit engine_core(engine_options options);
    ~engine_core();

    std::shared_ptr<sequence> submit(std::string id, std::string prompt, unsigned maxTokens);
    std::shared_ptr<sequence> find(std::string_view id);
    bool cancel(std::string_view id);

    /// Waits for tokens beyond the offset and returns them; empty at the end of the sequence or the wait.
    std::vector<std::string> read(
        const std::shared_ptr<sequence>& from, std::size_t offset, std::chrono::milliseconds wait);
    /// Whether nothing will follow the tokens before the offset, and whether it was cancelled.
    std::pair<bool, bool> ended(const std::shared_ptr<sequence>& from, std::size_t offset);

    engine_load laggingLoad();
    engine_counts counts();
    const engine_options& options() const { return m_options; }

private:
    void run();
    std::int64_t admit();
    void emitTokens();
    void sweep();
    std::int64_t uncachedTokens(const std::string& prompt);

    engine_options m_options;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::shared_ptr<sequence>> m_queue;
    std::list<std::shared_ptr<sequence>> m_running;
    std::map<std::string, std::shared_ptr<sequence>, std::less<>> m_known;
    std::list<std::uint64_t> m_cacheOrder;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cache;
    engine_counts m_counts;
    engine_load m_report;
    std::chrono::steady_clock::time_point m_reportTime;
    bool m_stopping = false;
    std::thread m_thread;
};

/// The text that an engine generates for a prompt. Each token is a function of all text before it, so a
/// continuation from prompt plus emitted text gives the same rest, and no two prompts give the same answer.
std::string expectedCompletion(std::string_view prompt, unsigned tokens);

} // namespace yuccachute::standin
