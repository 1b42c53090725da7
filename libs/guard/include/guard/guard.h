#pragma once

#include "event_loop/event_loop.h"
#include "metrics/metrics.h"
#include "places/places.h"
#include "quarantine/quarantine.h"
#include "routing/routing.h"
#include "rpc/rpc.h"
#include "store/store.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Protects targets from requests that crash them (queries of death). Layer: processes.
namespace yuccachute {

/// A target that ran a request.
struct executing_target {
    std::string id;
    std::string address; ///< host:port.
};

/// What identifies a request to the guard.
struct guarded_request {
    guarded_request(const request_identity& content)
        : identity(content)
    {
    }
    guarded_request(std::optional<request_identity> content, std::span<const prompt_part> promptParts)
        : identity(content)
        , parts(promptParts)
    {
    }

    /// May be unset while request_guard::needsIdentities() is false.
    std::optional<request_identity> identity;
    std::span<const prompt_part> parts; ///< Of its prompt; those that other requests may share.
};

/// A run of a request at a target whose response ended early.
struct interrupted_run {
    request_identity identity;
    strike_record recordWhenSent;
    executing_target target;
    std::span<const prompt_part> parts; ///< Of its prompt; those that other requests may share.
    std::uint64_t events = 0; ///< Complete events that arrived.
};

/// What a target that was asked whether it runs has shown.
enum class target_state : std::uint8_t {
    running, ///< This start of it has responded.
    terminated, ///< It refuses connections, or another start responds at its address.
    unknown ///< It has not responded.
};

/// Asks starts of targets whether they run. All calls are made on the event loop's thread.
class liveness_probe {
public:
    using callback = std::function<void(target_state)>;

    liveness_probe(event_loop& loop, load_report_source& loads);

    /// Calls `done` exactly once, asynchronously, within a fraction of a second. Each call sends a request of
    /// its own: the state of a target at an earlier moment says nothing about a connection that has ended
    /// since.
    void ask(const executing_target& target, callback done);

private:
    struct question {
        executing_target target;
        callback done;
        unsigned interruptions = 0;
        loop_timer retry;
    };

    void send(const std::shared_ptr<question>& pending);

    event_loop& m_loop;
    load_report_source& m_loads;
    std::shared_ptr<bool> m_alive
        = std::make_shared<bool>(true); ///< Load reports may arrive after the destructor.
};

/// Determines whether a target that aborted a response has terminated. All calls are made on the event loop's
/// thread.
///
/// A broken connection proves nothing: some targets abort responses and keep running, links fail, and a
/// target that is being stopped may terminate in the middle of its work. A target has terminated if it
/// refuses connections just afterwards, or if a target with another id is listed at its address, which is a
/// later start of it.
class termination_check {
public:
    using callback = std::function<void(bool terminated)>;
    /// A target that has crashed is listed again, under another id, within several seconds; its old list
    /// entry expires after four seconds.
    static constexpr milliseconds defaultListTimeout { 10000 };

    /// `listTimeout` is how long the target list may take to show a restart.
    termination_check(
        event_loop& loop, load_report_source& loads, milliseconds listTimeout = defaultListTimeout);

    /// `targets` must outlive this object.
    void setTargets(const target_directory& targets, std::span<const target_change> changes, steady_time now);
    /// Checks a target that aborted a response. `done` is called exactly once, asynchronously: within a
    /// fraction of a second, or, if the target does not respond at all, when the target list shows a restart
    /// or has shown none for several seconds.
    void examine(const executing_target& target, callback done);
    /// Checks a target that stopped responding, which is no evidence of termination: this only waits for the
    /// target list. Under load, targets stop responding by the hundred, and each probe would be one more call
    /// to them.
    void awaitRestart(const executing_target& target, callback done);
    /// Whether the target list shows that a later start has taken the target's address. If it does not, the
    /// target may still have terminated: a crash appears in the list seconds later. A target that has not
    /// been listed here yet is not replaced by the one before it: the dispatcher that chose it may have a
    /// newer list.
    bool replaced(const executing_target& target) const;

private:
    struct pending_check {
        std::string target;
        std::string address;
        std::int64_t started = 0; ///< As listed; 0 if unknown.
        steady_time until; ///< When to stop waiting for the target list.
        std::vector<callback> callbacks;
        bool probing = false; ///< A load report has been requested from the target.
        bool comparedWithFullList = false; ///< Afterwards only changes of the list matter.
    };
    using pending_check_list = std::list<pending_check>;

    /// Adds `done` to the pending check of a target, which is created if there is none. Returns null if
    /// nothing can be concluded about the target.
    pending_check* begin(const executing_target& target, callback done);
    void probe(pending_check& one);
    void probed(const std::string& target, target_state state);
    void finish(pending_check_list::iterator one, bool terminated);
    bool hasRestarted(pending_check& one, std::span<const target_change> changes) const;
    void recordRemovals(std::span<const target_change> changes, steady_time now);
    void expire(steady_time now);
    void armExpiryTimer();

    event_loop& m_loop;
    liveness_probe m_probe;
    milliseconds m_listTimeout;
    const target_directory* m_targets = nullptr;
    std::map<std::string, steady_time, std::less<>> m_removed; ///< Ids of targets that have left the list.
    pending_check_list m_pendingChecks;
    loop_timer m_expiryTimer; ///< The target list may not change for a long time.
};

/// Records which requests, and which parts of prompts, crash targets, and decides which requests may run. All
/// calls are made on the event loop's thread.
///
/// Such a request crashes one target after the other, each together with all requests that it is serving, and
/// its caller sends it again to any entry under another request id: callers of the whole fleet lose their
/// responses for as long as it is repeated. Therefore a request is identified by its content, and its record
/// outlives the attempt and, through suspect_replicator and suspect_archive, the process.
class request_guard {
public:
    /// Called for each change that this process has observed itself.
    using listener = std::function<void(const suspect_report& change)>;

    /// A run of a suspected request. While it lasts, this process starts no other run of the same request, or
    /// of one with the same suspected part.
    class trial {
    public:
        virtual ~trial() = default;
    };
    struct admission {
        std::optional<failure> refusal;
        /// To be kept until the request has finished; null if it is not suspected.
        std::shared_ptr<trial> runningTrial;
    };

    request_guard(event_loop& loop, load_report_source& loads, metrics& processMetrics);

    /// Claims the next run of a refused part for this process. `done` is told, asynchronously, whether it may
    /// run: of all processes only one may.
    using trial_claim = std::function<void(const suspect_report& claimed, std::function<void(bool)> done)>;

    void onChange(listener notify) { m_listener = std::move(notify); }
    void claimTrialsBy(trial_claim claim) { m_claimTrial = std::move(claim); }
    void setTargets(const target_directory& targets, std::span<const target_change> changes, steady_time now)
    {
        m_terminationCheck.setTargets(targets, changes, now);
    }

    /// Whether there is any record.
    bool hasSuspects() const { return needsIdentities() || !m_parts.empty(); }
    /// Whether there is a record of any request. If not, the identities of requests are not needed.
    bool needsIdentities() const { return !m_suspects.empty(); }
    /// Whether the request may run now. To be asked again right before it is sent, with the trial of its
    /// admission if there is one: what was known of it may have changed while it waited.
    admission admit(const guarded_request& request, const std::shared_ptr<trial>& held = nullptr);
    /// Whether a request should not be retried at once after a failure.
    bool isSuspected(const guarded_request& request) const;
    /// Whether a target has terminated under one of the parts since the part was last acquitted.
    bool hasStrikes(std::span<const prompt_part> parts) const { return m_parts.hasStrikes(parts); }
    strike_record record(const request_identity& identity) const { return m_suspects.record(identity); }
    const quarantine& known() const { return m_suspects; }
    const part_quarantine& knownParts() const { return m_parts; }
    /// The records to send to other processes.
    std::vector<suspect_report> reports(steady_time now) const;
    std::optional<suspect_report> report(const request_identity& identity, steady_time now) const;

    /// A target aborted the response to a request. `settled` is called, asynchronously, once it is known
    /// whether the target has terminated; it may be null.
    void aborted(const interrupted_run& run, std::function<void(bool terminated)> settled);
    /// A target stopped responding in the middle of a request.
    void targetUnresponsive(const interrupted_run& run);
    /// Asks whether the start of a target runs that has ended a response by closing its connection. Like that
    /// a whole response without length and chunks ends, and one whose target has terminated.
    void askWhetherRunning(const executing_target& target, liveness_probe::callback done)
    {
        m_probe.ask(target, [this, target, done = std::move(done)](target_state state) {
            // A target that responds to requests for another start is refuted by the target list.
            const bool refuted = state == target_state::running && m_terminationCheck.replaced(target);
            done(refuted ? target_state::terminated : state);
        });
    }
    /// A target has sent a complete response to the request.
    void answered(const guarded_request& request);
    /// Merges the records of other processes. Returns whether any of them changed what this process knows.
    bool merge(std::span<const suspect_report> reports);
    void expire(steady_time now)
    {
        m_suspects.expire(now);
        m_parts.expire(now);
    }

private:
    class running_trial;

    /// An interrupted run, for the time until it is known whether its target has terminated.
    struct pending_run {
        explicit pending_run(const interrupted_run& run);

        request_identity identity;
        strike_record recordWhenSent;
        std::string target;
        std::vector<prompt_part> parts;
        std::uint64_t events;
    };

    void targetTerminated(const pending_run& run);
    void blameParts(const pending_run& run, bool repeated, steady_time now);
    std::optional<failure> refusalOfPart(
        const part_quarantine::assessment& found, running_trial* held, steady_time now);
    void claimTrial(prompt_part part, steady_time now);
    bool mergeOne(const suspect_report& report, steady_time now);
    void notifyListener(const request_identity& identity);

    metrics& m_metrics;
    liveness_probe m_probe;
    termination_check m_terminationCheck;
    quarantine m_suspects;
    part_quarantine m_parts;
    trial_claim m_claimTrial;
    std::map<prompt_part, steady_time> m_permits; ///< Parts of which one run may begin until then.
    std::map<prompt_part, steady_time> m_nextClaims;
    std::shared_ptr<std::set<request_identity>> m_trials = std::make_shared<std::set<request_identity>>();
    listener m_listener;
};

/// Waits for a limited time to know whether the start of a target runs that has ended a response by closing
/// its connection. Destroying this object ends the wait.
class start_confirmation {
public:
    explicit start_confirmation(event_loop& loop);

    /// Calls `done` once, after `limit` with target_state::unknown, unless the wait is cancelled before.
    void ask(request_guard& guard, const executing_target& target, milliseconds limit,
        liveness_probe::callback done);
    void cancel();

private:
    loop_timer m_limit;
    std::shared_ptr<liveness_probe::callback> m_done; ///< Null if nothing is awaited.
};

/// Replicates the records of requests between the processes. The sync requests that processes send to each
/// other anyway carry a digest of the sender's records, and differences are transferred with the answer. A
/// change that this process observes is sent at once to the entries that it knows, so that a request that is
/// sent again to another entry a fifth of a second later is recognised there. All calls are made on the event
/// loop's thread unless stated otherwise.
class suspect_replicator final : public peer_sync {
public:
    /// Returns the addresses of the processes that changes are sent to.
    using address_source = std::function<std::vector<std::string>()>;

    suspect_replicator(event_loop& loop, peer_sync& peers, request_guard& guard, address_source addresses);

    /// Sends the question through the underlying peer_sync, and merges the suspect reports of the answer.
    void sync(std::string_view address, const sync_question& question, milliseconds timeout,
        std::function<void(result<sync_answer>)> done) override;
    /// Adds the reports that the sender of the question lacks to the answer, and merges those of the
    /// question. Thread-safe.
    void answer(const sync_question& question, sync_answer& answer);
    /// Sends a change that this process has observed to the other processes.
    void broadcast(const suspect_report& change);
    /// Updates the snapshot that peers are answered from, after the guard has merged records from other
    /// processes.
    void publishSnapshot();

private:
    void mergeReports(const std::vector<suspect_report>& reports);
    void sendAllIfDigestDiffers(const std::string& address, std::uint64_t digest);
    void flush();
    void send(const std::string& address, std::vector<suspect_report> reports);
    void tick();

    struct snapshot {
        std::vector<suspect_report> reports;
        std::uint64_t digest = 0;
        steady_time takenAt;
    };
    snapshot published() const;

    event_loop& m_loop;
    peer_sync& m_peers;
    request_guard& m_guard;
    address_source m_addresses;
    std::map<request_identity, suspect_report> m_pendingReports; ///< To be sent.
    std::map<std::string, steady_time> m_lastFullSync; ///< When all reports were last sent to a peer.
    loop_timer m_flush;
    loop_ticker m_ticker;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    mutable std::mutex m_mutex; ///< For m_snapshot, which the transport's threads read.
    snapshot m_snapshot;
};

/// Persists the records of requests and of parts of prompts in the platform's store, for processes that start
/// when no other process is left to sync with. Requests with one strike are not written: most of them only
/// ran on a target that terminated for another reason, and are acquitted within a second. All calls are made
/// on the event loop's thread.
class suspect_archive {
public:
    suspect_archive(event_loop& loop, async_store& store, request_guard& guard);

    /// Loads the stored records, and retries until the store responds.
    void load(std::function<void()> loaded = [] {});
    void save(const suspect_report& change);
    /// Stores a record on condition that no other process has changed it since this process last read it.
    /// `done` is told whether it was stored.
    void claim(const suspect_report& claimed, std::function<void(bool)> done);

private:
    struct stored_record {
        suspect_report report;
        std::int64_t revision = 0; ///< Modification revision of its key.
    };

    void mergeStored(std::span<const stored_value> values);
    void scheduleWrite(milliseconds pause);
    void write();
    void withLease(std::function<void(std::optional<std::int64_t>)> proceed);
    void writeWithLease(std::int64_t lease);
    void commitClaim(const suspect_report& claimed, std::int64_t lease, std::function<void(bool)> done);
    store_condition conditionOf(const request_identity& identity) const;
    void onWritten(const std::vector<suspect_report>& reports, const result<commit_outcome>& outcome);

    event_loop& m_loop;
    async_store& m_store;
    request_guard& m_guard;
    loop_timer m_loadTimer;
    loop_timer m_writeTimer;
    std::map<request_identity, stored_record> m_stored; ///< As last seen in the store.
    std::set<request_identity> m_unsaved;
    bool m_writing = false;
    std::int64_t m_lease = 0;
    steady_time m_leaseGrantedAt;
};

/// A request guard with replicated and persisted records. The members are to be used directly.
struct shared_guard {
    shared_guard(event_loop& loop, load_report_source& loads, metrics& processMetrics, peer_sync& peers,
        async_store& store, suspect_replicator::address_source addresses);

    request_guard guard;
    suspect_replicator replicator;
    suspect_archive archive;
};

/// The document that the store holds for a suspected request.
std::string encodeSuspect(const suspect_report& report, std::int64_t wallClockMs);
/// Decodes a document of the store. The failure names the invalid field. An age that is impossible because
/// clocks differ is clamped to the possible range.
result<suspect_report> decodeSuspect(
    std::string_view key, std::string_view document, std::int64_t wallClockMs);

} // namespace yuccachute
