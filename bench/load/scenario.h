#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Named experiments, read from INI files under bench/scenarios.
namespace yuccachute::load {

/// Live requests of one customer, arriving at random times whatever the answers (open loop).
struct live_stream {
    std::string name;
    std::string customer = "small";
    double rate = 1; ///< Requests a second.
    double surgeRate = 0; ///< During the surge; 0 for no change.
    unsigned tokens = 16;
    unsigned promptBytes = 200;
    unsigned sharedPrefixes = 0; ///< Number of long prefixes that prompts share; 0 for none.
    unsigned prefixBytes = 0;
};

/// A bulk job that is running during the experiment.
struct bulk_stream {
    std::string name;
    std::string customer = "large";
    unsigned items = 0;
    unsigned tokens = 16;
    unsigned promptBytes = 200;
    unsigned poisonEvery = 0; ///< Every so many items one that can never be completed; 0 for none.
    unsigned dueMs = 3600000;
};

/// One of the things compared: settings changed, streams left out.
struct variant {
    std::string name;
    std::string settings; ///< INI lines added to [service/screening].
    std::vector<std::string> without; ///< Names of streams left out.
};

struct scenario {
    std::string name;
    std::string kind; ///< load, overhead, job or control
    std::string title;
    double seconds = 10; ///< Measured time of each run.
    double warmup = 2;
    double surgeAt = 0; ///< Seconds into the measured time.
    double surgeSeconds = 0;
    unsigned rounds = 3;
    unsigned zones = 1;
    unsigned entriesPerZone = 1;
    unsigned enginesPerZone = 2;
    unsigned batches = 1;
    std::vector<std::string> engineFlags;
    std::string settings;
    std::vector<live_stream> live;
    std::vector<bulk_stream> bulk;
    std::vector<variant> variants;
};

/// Reads a scenario. Throws std::runtime_error naming file, line and key.
scenario readScenario(const std::string& fileName);

} // namespace yuccachute::load
