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

/// Keeps requests that end their targets away from these. Layer: processes.
namespace yuccachute {

/// A target that ran a request.
struct run_target {
    std::string id;
    std::string address; ///< host:port.
};

/// Finds out whether a target that broke off an answer has ended. On the loop's thread.
///
/// A broken connection proves nothing: some targets break off answers and live on, links fail, and a target
/// that is being stopped may end in the middle of its work. One that refuses connections just afterwards, or
/// is listed as another start at the same address, has ended.
class end_check {
public:
    using callback = std::function<void(bool ended)>;

    end_check(event_loop& loop, load_report_source& loads);

    /// The directory has to outlive this object.
    void setTargets(const target_directory& targets, std::span<const target_change> changes, steady_time now);
    /// Of a target that broke off an answer. Exactly one answer comes, later: within a fraction of a second,
    /// or, if the target does not answer at all, when the list of targets tells, or does not within seconds.
    void examine(const run_target& target, callback done);
    /// Of a target that fell silent, which is no sign of its end: only the list is waited for. Targets are
    /// silent under load by the hundred, and each question to them is a call more.
    void awaitRestart(const run_target& target, callback done);

private:
    struct examination {
        std::string target;
        std::string address;
        steady_time until; ///< When the list has had its time to tell.
        std::vector<callback> waiting;
        bool asking = false; ///< A question to the target is under way.
        bool compared = false; ///< With the whole list; from then on changes tell.
    };
    using examination_list = std::list<examination>;

    /// The examination of a target, with one more that waits for it; null if nothing can be concluded.
    examination* begin(const run_target& target, callback done);
    void ask(examination& one);
    void answered(const std::string& target, const result<load_report>& report);
    void finish(examination_list::iterator one, bool ended);
    bool restarted(examination& one, std::span<const target_change> changes) const;
    void expire(steady_time now);

    event_loop& m_loop;
    load_report_source& m_loads;
    const target_directory* m_targets = nullptr;
    examination_list m_examinations;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< Answers may come after the end.
};

/// What a process knows of requests that end their targets, and what it does about it. On the loop's thread.
///
/// Such a request ends one target after the other, each with all that it answers, and its caller sends it
/// again at any entry, under another id: callers of the whole fleet lose their answers for as long as it
/// comes. So a request is known by what it asks for, and what is known of it outlives the attempt, and
/// through suspect_replicator and suspect_archive the process.
class request_guard {
public:
    /// Told of each change that this process has seen itself.
    using listener = std::function<void(const suspect_report& news)>;

    /// A run of a suspected request. While it lasts the process sends no other one.
    class trial {
    public:
        virtual ~trial() = default;
    };
    struct admission {
        std::optional<failure> refusal;
        std::shared_ptr<trial>
            runningTrial; ///< To be kept until the request's end; null if it is not suspected.
    };

    request_guard(event_loop& loop, load_report_source& loads, metrics& figures);

    void onNews(listener told) { m_told = std::move(told); }
    void setTargets(const target_directory& targets, std::span<const target_change> changes, steady_time now)
    {
        m_ends.setTargets(targets, changes, now);
    }

    /// Whether anything is known against any request. If not, nobody needs a request's identity.
    bool hasSuspects() const { return !m_known.empty(); }
    admission admit(const request_identity& identity);
    /// Whether a request that has failed is better not tried again at once.
    bool isSuspected(const request_identity& identity) const;
    strike_record record(const request_identity& identity) const { return m_known.record(identity); }
    const quarantine& known() const { return m_known; }

    /// A target broke off the answer to a request. `settled` is called, later, once it is known whether it
    /// has ended; it may be null.
    void aborted(const request_identity& identity, const strike_record& whenSent, const run_target& target,
        std::function<void()> settled);
    /// A target fell silent in the middle of a request.
    void targetUnresponsive(
        const request_identity& identity, const strike_record& whenSent, const run_target& target);
    /// A target has answered the request in full.
    void answered(const request_identity& identity);
    /// What other processes know. Returns whether any of it was news.
    bool merge(std::span<const suspect_report> reports);
    void expire(steady_time now) { m_known.expire(now); }

private:
    class running_trial;

    void targetTerminated(
        const request_identity& identity, const strike_record& whenSent, const std::string& target);
    void tell(const request_identity& identity);

    metrics& m_figures;
    end_check m_ends;
    quarantine m_known;
    std::shared_ptr<std::set<request_identity>> m_trials = std::make_shared<std::set<request_identity>>();
    listener m_told;
};

/// Tells other processes what is known, and hears it from them, with the questions that processes ask each
/// other anyway: each carries a digest of what the asker knows. What this process has seen itself is told at
/// once to the entries that it knows of, so that a request that comes again to another entry a fifth of a
/// second later finds itself known. On the loop's thread but where it is said.
class suspect_replicator final : public peer_sync {
public:
    /// Addresses of the processes that are told of news.
    using address_source = std::function<std::vector<std::string>()>;

    suspect_replicator(event_loop& loop, peer_sync& peers, request_guard& guard, address_source addresses);

    /// Asks as the underlying peer_sync does, and takes what the answer tells of suspects.
    void sync(std::string_view address, const sync_question& question, milliseconds timeout,
        std::function<void(result<sync_answer>)> done) override;
    /// Adds to the answer what the asker does not know, and takes its news. From any thread.
    void answer(const sync_question& question, sync_answer& answer);
    /// What this process has seen.
    void tell(const suspect_report& news);
    /// The guard has learnt from elsewhere: peers that ask are told.
    void publishSnapshot();

private:
    void take(const std::vector<suspect_report>& reports);
    void compare(const std::string& address, std::uint64_t digest);
    void flush();
    void send(const std::string& address, std::vector<suspect_report> reports);
    void tick();

    struct snapshot {
        std::vector<suspect_report> reports;
        std::uint64_t digest = 0;
        steady_time made;
    };
    snapshot published() const;

    event_loop& m_loop;
    peer_sync& m_peers;
    request_guard& m_guard;
    address_source m_addresses;
    std::map<request_identity, suspect_report> m_news; ///< To be told.
    std::map<std::string, steady_time> m_toldAll; ///< When a peer was last told everything.
    loop_timer m_flush;
    loop_ticker m_ticker;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    mutable std::mutex m_mutex; ///< Peers ask from the transport's threads.
    snapshot m_published;
};

/// Keeps what is known in the platform's store, for processes that start when no other one is left to ask.
/// Requests of one strike are not written: most of them are victims of a target's end, and proved so within a
/// second. On the loop's thread.
class suspect_archive {
public:
    suspect_archive(event_loop& loop, async_store& store, request_guard& guard);

    /// Reads what is kept, and tries again until the store answers.
    void load(std::function<void()> loaded = [] {});
    void save(const suspect_report& news);

private:
    struct kept_record {
        strike_record record;
        std::int64_t revision = 0; ///< Of its key.
    };

    void take(std::span<const stored_value> values);
    void writeSoon(milliseconds pause);
    void write();
    void writeUnder(std::int64_t lease);
    store_condition conditionOf(const request_identity& identity) const;
    void written(const std::vector<suspect_report>& reports, const result<commit_outcome>& outcome);

    event_loop& m_loop;
    async_store& m_store;
    request_guard& m_guard;
    loop_timer m_loadTimer;
    loop_timer m_writeTimer;
    std::map<request_identity, kept_record> m_kept; ///< As last seen in the store.
    std::set<request_identity> m_unsaved;
    bool m_writing = false;
    std::int64_t m_lease = 0;
    steady_time m_leaseSince;
};

/// A guard that shares what it knows with the fleet. Its parts are to be used directly.
struct shared_guard {
    shared_guard(event_loop& loop, load_report_source& loads, metrics& figures, peer_sync& peers,
        async_store& store, suspect_replicator::address_source addresses);

    request_guard guard;
    suspect_replicator replicator;
    suspect_archive archive;
};

/// What the store holds of one suspect.
std::string encodeSuspect(const suspect_report& report, std::int64_t wallClockMs);
/// The failure names the field that is wrong. An age that clocks make impossible is cut to what is possible.
result<suspect_report> decodeSuspect(
    std::string_view key, std::string_view document, std::int64_t wallClockMs);

} // namespace yuccachute
