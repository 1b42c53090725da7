#pragma once

#include "verdict/verdict.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

/// Plays a load against the real decisions of one dispatcher (libs/dispatch) and a model of the targets, in
/// simulated time, and tells what callers got. For tests of policies: no network, no threads, and the same
/// outcome each time. Layer: coordination.
///
/// The model: a target works on as many requests at once as it has slots, admits what waits in order of
/// arrival, makes the first event 25 ms after admission, and needs the same time for each request of a kind,
/// divided by its speed.
/// While it reads the prompt of one that it admits, and what that one has generated already, the others wait.
/// It reports what it runs, 50 ms late. A run whose sender has closed its connection ends at once. Not
/// modelled: the cache of prompts, batches that slow down as they fill, several dispatchers and zones.
namespace yuccachute {

/// Live requests from a moment on.
struct rate_step {
    milliseconds from { 0 };
    double perSecond = 0;
};

/// Time between two events of a run at a target of nominal speed.
constexpr milliseconds playedEventInterval { 50 };

struct played_live {
    std::vector<rate_step> rates; ///< In order of time.
    milliseconds run { 1000 }; ///< From admission to the last event.
    milliseconds objective { 300 }; ///< For the first event, from the first attempt.
    milliseconds patience { 5000 };
    milliseconds maxEventInterval { 0 }; ///< Objective for the time between two events; 0 for none.
    /// After this time without an event the rest of an answer moves to another target; 0 for never.
    milliseconds silenceTimeout { 0 };
};

struct played_items {
    double perSecond = 0;
    milliseconds until { 0 }; ///< None comes later.
    milliseconds run { 5000 };
    milliseconds due { 18000 }; ///< After its arrival.
    /// Time between the events of an item, from which the dispatcher is told the remaining events; zero if it
    /// is not told.
    milliseconds eventInterval { 0 };
};

/// The targets go on with what they run, but this dispatcher gets none of it back: its former dispatcher has
/// died, or the holder's connections were cut in silence.
struct runs_orphaned {
    milliseconds at { 0 };
};

/// Targets that get nothing more and finish what they run.
struct targets_leave {
    milliseconds at { 0 };
    unsigned count = 0;
};

/// Targets that make no event and answer nothing any more.
struct targets_dark {
    milliseconds at { 0 };
    unsigned count = 0;
};

/// Targets that change their speed to a multiple of the nominal one, for running and later requests.
struct targets_change_speed {
    milliseconds at { 0 };
    std::size_t first = 0;
    std::size_t count = 1;
    double speed = 1;
    bool reportsIdle = false; ///< Their load reports say falsely that they run nothing.
};

using played_event = std::variant<runs_orphaned, targets_leave, targets_dark, targets_change_speed>;

/// How the system decides. The defaults are those of the processes on a platform.
struct played_policy {
    bool reports = true; ///< Targets are asked for their load.
    double waitMargin = 1.7;
    milliseconds keptForLive { 50 };
    bool targetPace = true; ///< The speeds of targets are learned and used.
    bool bulkLookahead = true;
    std::optional<milliseconds> retryAfter; ///< Told instead of what the dispatcher says.
};

struct load_plan {
    unsigned targets = 6;
    unsigned slots = 8;
    /// Speeds of the targets relative to the nominal one, repeated in order; 1 if empty.
    std::vector<double> speeds;
    milliseconds length { 30000 };
    played_live live;
    played_items items;
    std::vector<played_event> events;
    played_policy policy;
    std::uint64_t seed = 1;
};

struct load_outcome {
    unsigned asked = 0;
    unsigned onTime = 0; ///< First event within the objective.
    unsigned onTimeOnReturn = 0; ///< Refused within a quarter of it, and then on time from the new attempt.
    unsigned late = 0;
    unsigned unserved = 0;
    unsigned toldEarly = 0; ///< Refusals within a quarter of the objective.
    unsigned toldLate = 0;
    unsigned stoodAtTarget
        = 0; ///< Late, though the place was given in time: it waited in the target's own queue.
    unsigned items = 0;
    unsigned itemsOnTime = 0;
    unsigned itemsLate = 0;
    double itemSeconds = 0; ///< Sum over the finished items, from arrival to end.
    unsigned revocations = 0;
    unsigned longPauses = 0; ///< Live runs with a mean interval over the objective.
    unsigned failovers = 0; ///< Live runs that ended by `silenceTimeout`.
    std::vector<unsigned> liveGrants; ///< By target.
    std::vector<unsigned> itemGrants; ///< By target.
    std::uint64_t grantsHash = 0; ///< Of all grants in their order: the request and its target.
    unsigned revocationsAtRisk = 0; ///< Of items that may be late because of it.
};

/// Plays a plan to its end, and 20 s longer for what has begun.
load_outcome play(const load_plan& plan);

/// Rates that alternate between a trough and a peak, the trough first.
std::vector<rate_step> squareWave(
    double trough, milliseconds troughTime, double peak, milliseconds peakTime, milliseconds length);

} // namespace yuccachute
