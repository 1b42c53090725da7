#pragma once

#include "bulk_process/bulk_process.h"

#include "item_run.h"
#include "job_admission.h"
#include "logging/logging.h"
#include "membership/membership.h"
#include "open_lookup.h"
#include "retirement.h"

#include <set>

/// The batch process. Its parts stand in files of their own: calls of callers, running of items, commits of
/// results, and jobs whose holder has gone.
namespace yuccachute {

constexpr milliseconds commitRetry { 200 };
constexpr milliseconds retryAfter { 500 };
/// What a run takes until some have been seen: a few hundred events, 20 ms each.
constexpr double initialMeanRunMs = 4000;
constexpr double initialMeanEventMs = 20;

/// A caller that waits for a result of a job.
struct waiting_reader {
    std::shared_ptr<http_exchange> caller;
    std::size_t after = 0;
    steady_time until;
};

/// A job that this process holds, or has read after its end.
struct held_job {
    std::unique_ptr<bulk_job> job;
    std::int64_t openRevision = 0; ///< 0: finished or ended, and only read.
    token_claim claim;
    std::map<std::uint32_t, std::unique_ptr<item_run>> runs;
    std::map<std::uint32_t, unsigned> consecutiveAborts; ///< In a row without a new event, by item.
    std::map<std::uint32_t, loop_timer> requeueTimers; ///< Of items that were cut, or end their targets.
    std::set<std::uint32_t> suspectDelayPassed; ///< Items that end their targets, and have had their pause.
    std::vector<waiting_reader> readers;
    steady_time nextCommitAt;
    std::size_t eventsSaved = 0; ///< At the last saving of progress.
    steady_time acceptedAt;
    bool committing = false;
    bool mustCommitSeparately = false; ///< A call together with other jobs has failed on a condition.
    bool cancelled = false; ///< By its caller.
};

/// What is seen of one run, for the mean of them.
struct run_statistics {
    steady_time firstEventAt; ///< First event.
    std::size_t events = 0;
};

using job_map = std::map<std::string, held_job, std::less<>>;

/// All on the loop's thread.
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

    // --- Calls of callers
    void serve(std::shared_ptr<http_exchange> caller);
    void replyWithFailure(http_exchange& caller, const failure& error);
    /// While the store turns this process away, each question of a caller would be one more priced call that
    /// fails, up to thousands a second, and wait for its timeout if the store is silent. The caller is told
    /// at once, and its entry asks another process; this one notices the store's return by its own renewals.
    bool refuseIfStoreUnavailable(http_exchange& caller);
    void submit(std::shared_ptr<http_exchange> caller);
    /// The limit of waiting tokens that a submission is under.
    token_limit limitFor(const bulk_record& record) const;
    /// Whether what this process knows of a job is what the store knows.
    bool isCurrent(const held_job& held) const;
    void serve(std::shared_ptr<http_exchange> caller, const read_results_call& call);
    void replyWithResults(http_exchange& caller, const held_job& held, std::size_t after);
    void replyFromStore(std::shared_ptr<http_exchange> caller, const read_results_call& call);
    using job_reader = std::function<void(http_exchange&, const bulk_job&)>;
    /// Answers from the store what this process does not know, or cannot be sure of.
    void useStoredJob(std::shared_ptr<http_exchange> caller, const std::string& id, job_reader use);
    /// Address of another process that holds a job, if it lives.
    std::string addressOfLiveHolder(const bulk_holder& holder) const;
    /// Reads a job that nobody alive holds, with its holder as the store has just told it.
    void loadForCaller(std::shared_ptr<http_exchange> caller, const std::string& id,
        const std::optional<bulk_job_store::open_job>& open, job_reader use);
    void serve(std::shared_ptr<http_exchange> caller, const read_item_body_call& call);
    void serve(std::shared_ptr<http_exchange> caller, const cancel_job_call& call);

    // --- Jobs
    bulk_limits limitsOf(const bulk_record& record, milliseconds age) const;
    steady_time dueOf(const bulk_record& record, milliseconds age) const;
    held_job makeHeldJob(bulk_job_store::stored_job stored);
    void addHeldJob(bulk_job_store::stored_job stored);
    void dropHeldJob(job_map::iterator job);
    void notifyReaders(held_job& held);

    // --- Running items
    std::size_t runs() const;
    /// Runs that have no place yet.
    std::size_t runsWithoutSlot() const;
    /// Starts what may start: the job that is due first goes first, but one that can only be late goes last.
    /// Under overload, the earliest due alone would finish everything a little too late.
    void startRuns();
    /// Whether the job's next item can only be late, by what items have taken lately.
    bool willMissDeadline(const bulk_job& job, steady_time time) const;
    /// Follows outcome long an undisturbed run takes, in all and by event.
    void updateMeanDurations(const run_statistics& run);
    bool startItem(held_job& held, const routing_table& table);
    /// Whether an item is known to end its targets and has to wait.
    bool deferSuspectedItem(held_job& held, std::uint32_t index, const item_run_request& request);
    void runFinished(
        const std::string& id, std::uint32_t index, run_outcome outcome, std::string_view reason);
    /// Lets the item wait for its next run, at once or after a pause.
    void requeueItem(const std::string& id, std::uint32_t index, run_outcome outcome, milliseconds delay);

    // --- Committing
    void commitDue();
    bool mayCommit(const held_job& held, steady_time time) const;
    bulk_job_store::group_commit makeCommit(held_job& held) const;
    void commitSeparately(const std::string& id, held_job& held);
    void commitTogether(std::span<const job_map::iterator> jobs);
    void jointCommitFinished(const std::string& id, std::int64_t revision, const result<bool>& outcome);
    void commitFinished(
        const std::string& id, std::int64_t revision, const result<bulk_job_store::commit_result>& outcome);

    // --- Saving progress
    /// Saves outcome far items have come, so that a job that changes hands goes on where it stood.
    void saveProgress();

    // --- Jobs of others
    void scan();
    void reconcile(const bulk_job_store::open_jobs& open);
    /// Whether a job's holder has gone and this process is the one to take it.
    bool shouldTakeOver(const bulk_job_store::open_job& job) const;
    void takeOver(const bulk_job_store::open_job& job);
    void loadOwnJob(const bulk_job_store::open_job& job);

    // --- Time and signals
    void tick();
    void removeExpiredJobs(steady_time time);
    /// Gives up all jobs: the others take them as soon as this process has left the list.
    void releaseJobs();
    void awaitCommits();
    void finishStop();
    void handleSignal(int signal);
    void refreshMetrics();

    /// The deadline that a run's target is given; most runs take a few seconds.
    static constexpr std::chrono::seconds defaultRunTime { 60 };
    process_settings m_settings;
    const bulk_adapter& m_adapter;
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
    item_run_services m_items;
    bulk_job_store m_jobStore;
    open_lookup m_lookup;
    job_admission m_admission;
    retirement m_retirement;
    loop_timer m_stopTimer;
    job_map m_jobs;
    std::set<std::string> m_loadingJobs; ///< Jobs that are being taken or loaded.
    std::unique_ptr<loop_ticker> m_ticker;
    std::unique_ptr<http_listener> m_listener;
    std::unique_ptr<http_listener> m_metricsListener;
    steady_time m_nextScan;
    steady_time m_lastScan;
    std::uint64_t m_reconciledGeneration = 0; ///< Of the registration at the last look at the open jobs.
    steady_time m_stopAt;
    double m_meanRunMs = initialMeanRunMs;
    double m_meanEventMs = initialMeanEventMs;
    steady_time m_nextProgressSave;
    bool m_saving = false;
    bool m_scanning = false;
    bool m_leaving = false;
    bool m_stopping = false;
};

} // namespace yuccachute
