#pragma once

#include "bulk_process/bulk_process.h"

#include "item_lengths.h"
#include "item_routing.h"
#include "item_run.h"
#include "job_admission.h"
#include "logging/logging.h"
#include "membership/membership.h"
#include "open_job_scan.h"
#include "open_lookup.h"
#include "retirement.h"

#include <deque>
#include <set>

/// The batch process. Its implementation is split by topic: requests of callers (job_calls), item runs
/// (job_runs), commits (job_commits), saved progress (job_progress) and takeover of other processes' jobs
/// (job_takeover).
namespace yuccachute {

constexpr milliseconds tickInterval { 50 };
constexpr milliseconds commitRetryDelay { 200 };
constexpr milliseconds retryAfter { 500 };
/// Initial estimates, used until runs have been measured: a run has a few hundred events, 20 ms apart.
constexpr double initialMeanRunMs = 4000;
constexpr double initialMeanEventMs = 20;

/// A caller waiting for new results of a job.
struct waiting_reader {
    std::shared_ptr<http_exchange> caller;
    std::size_t after = 0;
    steady_time until;
};

/// A submission until it is accepted or refused. Further submissions of the same job get the same response.
struct pending_submission {
    std::vector<std::shared_ptr<http_exchange>> callers;
    memory_share memory;
};

/// A submission that an entry admitted by a newer configuration than this process has.
struct waiting_submission {
    bulk_record record;
    steady_time until;
};

/// A time during which no target of an item's software version is usable.
struct version_outage {
    steady_time since;
    /// When the item was refused although others had got slots: the outage is one of its version alone.
    std::optional<steady_time> othersServedSince;
};

/// A job that this process holds, or a finished or cancelled one that it has read from the store.
struct held_job {
    std::unique_ptr<bulk_job> job;
    memory_share memory; ///< For the record.
    std::size_t storedParts = 0; ///< Of the record in the store.
    std::int64_t openRevision = 0; ///< 0 for a finished or cancelled job, which is read-only.
    /// When the read or write was sent that last showed the job to be open, by bootClockNow().
    steady_time openAt;
    token_claim claim;
    std::map<std::uint32_t, std::unique_ptr<item_run>> runs;
    /// Aborted runs without a new event in between, by item.
    std::map<std::uint32_t, unsigned> consecutiveAborts;
    /// Delays of items whose runs were aborted.
    std::map<std::uint32_t, loop_timer> requeueTimers;
    /// Items that have found no usable target of the software version that made their events.
    std::map<std::uint32_t, version_outage> versionOutages;
    std::vector<waiting_reader> readers;
    steady_time nextCommitAt;
    /// No item expires earlier by the configuration in force, or while none is known.
    steady_time earliestExpiry = steady_time::max();
    steady_time nextExpiryCheck = steady_time::max();
    std::size_t eventsSaved = 0; ///< Number of events covered by the last save of progress.
    steady_time acceptedAt;
    bool committing = false;
    bool mustCommitSeparately = false; ///< Set after a joint commit failed on a condition.
    bool cancelled = false; ///< Cancelled by its caller.
};

/// What decided where a run was sent.
struct run_placement {
    std::string route;
    std::string service;
    std::int64_t config = 0; ///< Version of the configuration.
};

/// Measurements of one run.
struct run_statistics {
    steady_time firstEventAt; ///< Time of the first event.
    std::size_t events = 0;
};

using job_map = std::map<std::string, held_job, std::less<>>;

/// Not thread-safe; all methods run on the event loop's thread.
class bulk_process {
public:
    bulk_process(const process_settings& settings, const bulk_adapter& adapter,
        const std::function<std::unique_ptr<async_store>(http_client&)>& connect);
    int run();

private:
    static node_record ownRecord(const process_settings& settings);
    fleet_watch::listeners listeners();
    static steady_time now() { return std::chrono::steady_clock::now(); }
    void targetsChanged(std::span<const target_change> changes);
    void nodesChanged();

    // --- Requests from callers
    void serve(std::shared_ptr<http_exchange> caller);
    void replyWithFailure(http_exchange& caller, const failure& error);
    /// Sends a response that may be large, or refuses the request if there is no memory for it.
    void replyIfMemory(http_exchange& caller, http_reply reply);
    /// Refuses a request while the store does not respond. Otherwise each request would be one more billed
    /// call that fails, up to thousands per second, and would wait for its timeout if the store does not
    /// respond at all. The caller's entry process can try another batch process at once. This process detects
    /// the store's recovery by renewing its own registration.
    bool refuseIfStoreUnavailable(http_exchange& caller);
    void submit(std::shared_ptr<http_exchange> caller);
    /// Creates the job by the configuration in force, which is not older than the one that the record names:
    /// that of the entry, or 0 if unknown.
    void accept(bulk_record record);
    /// Ends a submission by this response to all its callers.
    void endSubmission(const std::string& id, const std::function<void(http_exchange&)>& reply);
    void refuseSubmission(const std::string& id, const failure& error);
    /// Accepts the submissions whose configuration has arrived, and refuses those that have waited too long.
    void resumeSubmissions();
    /// Returns the token limit that applies to a submission.
    token_limit limitFor(const bulk_record& record) const;
    /// Returns whether the in-memory state of a job is known to match the store.
    bool isCurrent(const held_job& held) const;
    void serve(std::shared_ptr<http_exchange> caller, const read_results_call& call);
    void replyWithResults(http_exchange& caller, const held_job& held, std::size_t after);
    void replyFromStore(std::shared_ptr<http_exchange> caller, const read_results_call& call);
    using job_reader = std::function<void(http_exchange&, const bulk_job&)>;
    /// Reads a job from the store and passes it to `use`, for jobs that this process does not hold or cannot
    /// be sure to hold. Redirects the caller if another live process is the holder.
    void useStoredJob(std::shared_ptr<http_exchange> caller, const std::string& id, job_reader use);
    /// Returns the address of the other process that holds a job, or an empty string if that process is not
    /// registered.
    std::string addressOfLiveHolder(const bulk_holder& holder) const;
    /// Reads a job without a live holder. `open` is its open-job entry as just read from the store.
    void loadForCaller(std::shared_ptr<http_exchange> caller, const std::string& id,
        const std::optional<bulk_job_store::open_job>& open, job_reader use);
    /// Runs a load now or once fewer are running: each may take several times the size of a record.
    void startLoad(std::function<void()> load);
    void loadFinished();
    void serve(std::shared_ptr<http_exchange> caller, const read_item_body_call& call);
    void serve(std::shared_ptr<http_exchange> caller, const cancel_job_call& call);
    /// Passes the request that has ended a job on to the job's former holder, unless this process is the
    /// holder.
    void notifyHolder(const bulk_holder& holder, const std::string& id, const http_request& end);
    void endedElsewhere(http_exchange& caller, const std::string& id);

    // --- Held jobs
    void configurationChanged();
    /// The configuration in force, or null if it is unknown or cannot decide about a job.
    std::shared_ptr<const routing_table> configurationFor(const bulk_record& record) const;
    void applyConfiguration(held_job& held) const;
    /// When an item may be abandoned by this configuration.
    steady_time expiryOf(const held_job& held, std::uint32_t index, const routing_table& table) const;
    bool hasExpired(const held_job& held, std::uint32_t index, const routing_table& table) const;
    void expireItems(held_job& held, const routing_table& table, steady_time time) const;
    held_job makeHeldJob(bulk_job_store::stored_job stored);
    /// Discards the bodies of a finished job's items; they can be read from the store. Returns false if there
    /// is none to discard. See memory_budget::reclaimer.
    bool reclaimFinishedJob();
    /// `openAt` is when the call was sent by which the job was created or read.
    void addHeldJob(bulk_job_store::stored_job stored, steady_time openAt);
    void dropHeldJob(job_map::iterator job);
    void notifyReaders(held_job& held);

    // --- Item runs
    std::size_t runs() const;
    /// Number of runs that have no slot yet.
    std::size_t runsWithoutSlot() const;
    /// Starts runs of waiting items, ordered by due time. Jobs that can only be late come last: with
    /// earliest-due-first alone, an overload would make all jobs slightly late.
    void startRuns();
    void logWaitingJobs(std::size_t count);
    /// Logs when items begin or cease to be sent without confirmation; in the latter case the store answers
    /// again, and the open jobs are listed at once.
    void updateStoreLost(milliseconds silence);
    milliseconds storeSilence() const { return m_fleet.storeSilence(now()); }
    void logSentItem(const std::string& id, std::uint32_t index) const;
    /// Returns whether an item of the job that has produced so many events can only finish after the due
    /// time, judged by recent run durations.
    bool willMissDeadline(const bulk_job& job, std::size_t produced, steady_time time) const;
    /// Updates the mean duration of runs and the mean time per event with an uninterrupted run.
    void updateMeanDurations(const run_statistics& run);
    bool startItem(held_job& held, const routing_table& table);
    /// An item to run, and the route of its path.
    struct routed_item {
        bulk_item_start start;
        const route* itemRoute = nullptr;
    };
    /// Takes the next waiting item that may run, and abandons those before it: an item that finds no slot
    /// waits only for a moment between two runs.
    std::optional<routed_item> nextItem(held_job& held, const routing_table& table) const;
    /// Discards the events of an item that cannot be resumed at this service. Returns the number of events
    /// that it keeps.
    std::size_t resumeOrDiscard(held_job& held, bulk_item_start& start, std::string_view service);
    /// Why the item may no longer be sent to the service; empty if it may.
    std::string_view reasonNotToSend(
        const std::string& id, std::uint32_t index, const std::string& service) const;
    item_run_events eventsOfRun(const std::string& id, const bulk_item_start& start,
        const run_placement& placement, std::size_t produced);
    /// Whether a target could resume events that were made by this software version.
    bool canResume(const held_job& held, const bulk_item_start& start, std::string_view service) const;
    void finishRun(held_job& held, std::uint32_t index, run_outcome outcome) const;
    void recordVersionOutage(held_job& held, std::uint32_t index) const;
    void runFinished(const std::string& id, std::uint32_t index, const run_placement& placement,
        run_outcome outcome, std::string_view reason);
    /// Returns the item to the waiting items, at once or after a delay.
    void requeueItem(const std::string& id, std::uint32_t index, run_outcome outcome, milliseconds delay);

    // --- Commits
    void commitDue();
    bool mayCommit(const held_job& held, steady_time time) const;
    bulk_job_store::group_commit makeCommit(held_job& held) const;
    void commitSeparately(const std::string& id, held_job& held);
    void commitTogether(std::span<const job_map::iterator> jobs);
    void jointCommitFinished(const std::string& id, std::int64_t revision, const result<bool>& outcome);
    void commitFinished(
        const std::string& id, std::int64_t revision, const result<bulk_job_store::commit_result>& outcome);

    // --- Saved progress
    /// Saves the progress of items, so that they resume where they stopped if another process takes the job
    /// over.
    void saveProgress();

    // --- Takeover
    void scan();
    void logFailedScan(const failure& error) const;
    void logListing(const bulk_job_store::open_jobs& open) const;
    static std::int64_t msSince(steady_time bootTime);
    void reconcile(const bulk_job_store::open_jobs& open, steady_time requestedAt);
    /// Returns whether the job's holder is no longer registered, and this process is to take the job over.
    bool shouldTakeOver(const bulk_job_store::open_job& job) const;
    bool hasMemoryFor(const bulk_job_store::open_job& job) const;
    void takeOver(const bulk_job_store::open_job& job);
    void loadOwnJob(const bulk_job_store::open_job& job);

    // --- Timers and signals
    void tick();
    void removeExpiredJobs(steady_time time);
    /// Releases all jobs. Other processes take them over once this process is no longer registered.
    void releaseJobs();
    void awaitCommits();
    void finishStop();
    void handleSignal(int signal);
    void refreshMetrics();

    /// Timeout passed to targets with each run. Most runs take a few seconds.
    static constexpr std::chrono::seconds defaultRunTime { 60 };
    process_settings m_settings;
    const bulk_adapter& m_adapter;
    std::shared_ptr<memory_budget> m_memory; ///< For requests, held jobs and responses.
    std::shared_ptr<const void> m_reclaimer; ///< Registration with m_memory.
    event_loop m_loop;
    metrics m_metrics;
    http_client m_client;
    std::unique_ptr<async_store> m_platformStore;
    observed_store m_store;
    rpc_client m_rpc;
    node_record m_self;
    target_loads m_loads;
    shared_guard m_suspects;
    fleet_watch m_fleet;
    registration m_registration;
    slot_broker m_broker;
    item_run_services m_itemRunServices;
    bulk_job_store m_jobStore;
    open_lookup m_lookup;
    job_admission m_admission;
    retirement m_retirement;
    loop_timer m_stopTimer;
    job_map m_jobs;
    std::map<std::string, pending_submission> m_submissions;
    std::vector<waiting_submission> m_waitingSubmissions;
    std::deque<std::function<void()>> m_waitingLoads;
    unsigned m_runningLoads = 0;
    std::set<std::string> m_loadingJobs; ///< Jobs that are being taken over or loaded.
    std::unique_ptr<loop_ticker> m_ticker;
    std::unique_ptr<http_listener> m_listener;
    std::unique_ptr<http_listener> m_metricsListener;
    open_job_scan m_scan; ///< By bootClockNow().
    /// Registration generation at the last comparison with the open jobs.
    std::uint64_t m_reconciledGeneration = 0;
    steady_time m_stopAt;
    double m_meanRunMs = initialMeanRunMs;
    double m_meanEventMs = initialMeanEventMs;
    item_lengths m_itemLengths;
    steady_time m_lastSlotGranted;
    steady_time m_nextProgressSave;
    bool m_saving = false;
    bool m_storeLost = false; ///< As of the last call of updateStoreLost().
    bool m_jobsWait = false; ///< Whether the items of some job wait for the store to confirm that it is open.
    bool m_leaving = false;
    bool m_stopping = false;
};

} // namespace yuccachute
