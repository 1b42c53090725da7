#pragma once

#include "platform_system.h"

#include "http/http.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace yuccachute::testing {

/// Bytes that a target sends instead of an answer, at full speed, until its peer closes the connection.
struct endless_bytes {
    std::string name;
    /// What comes before the first byte that is no part of an answer; "{id}" stands for the request's id.
    std::string prefix;
    /// The n-th piece of what follows, which goes on without end.
    std::function<std::string(std::uint64_t n)> piece;
    /// Whether callers receive the body of a plain answer, and the events of a stream, before it is known
    /// that they have no end. Such a request cannot run at another target.
    bool plainReachesCaller = false;
    bool streamReachesCaller = false;
};

/// A broken answer that ends.
struct broken_answer {
    std::string bytes; ///< "{id}" stands for the request's id.
    /// Resets the connection so long after the last byte, without reading the rest of the request. If not
    /// set, the request is read and the connection ends in order.
    std::optional<milliseconds> resetAfter;
};

/// A target that answers as the model servers of the stand-in do, at once, until it is told to send endless
/// bytes or broken answers. Serves each connection once, on a thread of its own.
class raw_target {
public:
    raw_target();
    ~raw_target();
    raw_target(const raw_target&) = delete;
    raw_target& operator=(const raw_target&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    enum class answers { runs, reports, all };
    void sendEndless(endless_bytes bytes, answers which);
    void sendBroken(broken_answer answer, answers which);
    void answerSoundly();
    /// How many broken answers it has sent.
    int brokenAnswers() const { return m_brokenAnswers; }

    /// An answer that did not end by itself.
    struct endless_answer {
        std::string requestId;
        bool plain = false;
        bool closed = false; ///< By the peer, before this target gave up after `longestAnswer`.
        milliseconds open { 0 }; ///< From the first byte that is no part of an answer to the close.
        std::uint64_t bytes = 0;
    };
    static constexpr milliseconds longestAnswer { 4500 };
    /// Waits until none is under way; the ended ones since the last call.
    std::vector<endless_answer> takeAnswers();

private:
    void accept();
    void serve(int connection);
    void sendEndlessly(int connection, const endless_bytes& bytes, endless_answer answer);

    std::uint16_t m_port = 0;
    int m_listener = -1;
    std::atomic<bool> m_stopped { false };
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::atomic<int> m_open { 0 }; ///< Connections that are served.
    std::atomic<int> m_underWay { 0 }; ///< Those with endless bytes.
    std::atomic<int> m_brokenAnswers { 0 };
    endless_bytes m_bytes;
    std::optional<broken_answer> m_broken; ///< Sent instead of endless bytes.
    bool m_inRuns = false;
    bool m_inReports = false;
    std::vector<endless_answer> m_answers;
};

/// Raw targets in the list of a system's store.
class listed_raw_targets {
public:
    /// `zones`: availability zones of the targets, in turn.
    listed_raw_targets(platform_system& system, unsigned number, std::vector<std::string> zones, int slots);

    /// Lists the targets as new ones, so that nothing holds that is known of them, and waits until all
    /// processes know them.
    void listAnew();

    std::vector<std::unique_ptr<raw_target>> targets;

private:
    platform_system& m_system;
    std::vector<std::string> m_zones;
    int m_slots;
    int m_listings = 0;
};

} // namespace yuccachute::testing
