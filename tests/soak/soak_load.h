#pragma once

#include "soak_ledger.h"

#include <atomic>
#include <random>
#include <thread>

/// The callers of a soak: live requests over kept connections, jobs, and a prober of the configuration.
namespace yuccachute::soak {

/// Software versions of the servers that accept requests. Thread-safe.
class serving_versions {
public:
    void set(unsigned server, const std::string& version);
    void remove(unsigned server);
    int servers(const std::string& version) const;

private:
    mutable std::mutex m_mutex;
    std::map<unsigned, std::string> m_versions;
};

/// Prompt part that crashes servers in some spells.
constexpr const char* deadlyPart = "dead";

/// What the callers and the one who disturbs the system share.
struct soak_state {
    testing::platform_system& system;
    ledger& book;
    std::vector<std::string> entryNames;
    std::vector<std::string> batchNames;
    std::atomic<bool> stop { false };
    std::atomic<bool> stopJobs { false }; ///< No new jobs.
    std::atomic<int> step { 0 }; ///< Last step of the configuration that the store has acknowledged.
    std::atomic<std::int64_t> stepMs { 0 }; ///< When.
    std::map<std::string, std::atomic<int>> starts; ///< Of each entry.
    serving_versions versions;
    /// Index of the entry that gets most new connections; -1 for none.
    std::atomic<int> crowded { -1 };
    std::atomic<int> resumptions { 0 }; ///< Of streams, each at most once.
    std::atomic<int> resumed { 0 }; ///< Of these, streams that went on.
    /// The same, of entries in touch while two servers of the stream's version served.
    std::atomic<int> resumptionsOwed { 0 };
    std::atomic<int> resumedOwed { 0 };
    int deadlyEnds = 0; ///< Servers that crashed under requests with the part.
};

/// Sends live requests of all kinds to all entries until it is told to stop.
void sendLive(soak_state& state, unsigned seed);
/// Sends requests with a prompt part that crashes servers while the disturber lets it.
void sendDeadly(soak_state& state, unsigned seed);
/// Checks that after five crashes hardly any of them reached a server from an entry in touch.
void checkDeadly(soak_state& state, const nlohmann::json& runs);
/// Submits jobs, reads their results at all entries, ends some; waits for the open ones at the end.
void sendJobs(soak_state& state, unsigned seed);
/// Checks that streams which callers resumed went on at least half as often as new ones were served.
void checkResumptions(soak_state& state);
/// Checks at each entry that a configuration is in force soon and never goes back.
void probeConfiguration(soak_state& state);

/// Reads all results again, when no process remembers any: what the store holds must be what callers have
/// seen.
void rereadJobs(soak_state& state);

/// After the last disturbance: every request is served at every entry.
void checkCalm(soak_state& state, unsigned seed);

} // namespace yuccachute::soak
