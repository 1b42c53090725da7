#pragma once

#include "dispatch/dispatch.h"
#include "http/http.h"
#include "membership/membership.h"
#include "messages/messages.h"
#include "metrics/metrics.h"
#include "rpc/rpc.h"
#include "settings/settings.h"
#include "verdict/verdict.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// What all processes of the system share: options, the settings in force, grants, calls to targets,
/// stopping.
namespace yuccachute {

// --- Options of a process
// ------------------------------------------------------------------------------------

/// What a process learns from its INI file, section [process].
struct process_options {
    std::string vm; ///< Unique name of the VM.
    std::string zone; ///< Availability zone.
    std::string http; ///< host:port of its HTTP interface.
    std::string rpc; ///< host:port for the project's own processes.
    std::string store; ///< host:port of the key-value service.
    std::vector<std::string> seeds; ///< host:port of entries to meet first.
    std::string dataFolder; ///< Folder for caches; empty for none.
    std::string certificate; ///< TLS on the callers' port.
    std::string privateKey;
    rpc_security peers; ///< Mutual TLS between processes.
    std::string logLevel = "info";
    milliseconds stopLimit { 30000 }; ///< Longest graceful shutdown.
    std::chrono::seconds leaseTtl { 30 }; ///< Lease of a batch process over its jobs.
    unsigned workers = 32; ///< Items that a batch process runs at once.
};

/// Reads the file. Errors name file, line and key; an unknown key gets the nearest one.
result<process_options> readProcessOptions(const std::string& fileName);

/// Reads the command line of a program ("--config FILE", "--help", "--version"), the file, starts logging and
/// blocks the stop signals in all threads. Prints the error and returns nothing if the program must end with
/// the given exit code.
std::optional<process_options> startProcess(
    int argc, char** argv, std::string_view program, std::string_view summary, int& exitCode);

/// Waits until SIGTERM or SIGINT.
void waitForStopSignal();

/// A thread that calls a function at an interval until it is destroyed.
class periodic_thread {
public:
    periodic_thread(milliseconds interval, std::function<void()> work);
    ~periodic_thread();
    periodic_thread(const periodic_thread&) = delete;
    periodic_thread& operator=(const periodic_thread&) = delete;
    /// Runs the work at once.
    void wake();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

// --- Settings in force
// ---------------------------------------------------------------------------------------

/// Holds one immutable value. Readers never wait: read-copy-update.
class rcu_cell {
public:
    rcu_cell();
    ~rcu_cell();
    rcu_cell(const rcu_cell&) = delete;
    rcu_cell& operator=(const rcu_cell&) = delete;

    std::shared_ptr<const void> load() const;
    void store(std::shared_ptr<const void> value);

private:
    struct holder;
    std::atomic<holder*> m_holder;
    std::mutex m_writers;
};

/// One group of targets as the settings define it.
struct group_description {
    std::string name;
    std::string service;
    std::string zone;
    bool model = true;
    std::vector<target_description> targets;
    group_options options;
};

/// The settings in force with what is derived from them once for each version.
struct settings_view {
    settings_tree tree;
    std::map<std::string, group_description, std::less<>> groups;

    /// Customer of each key, by the key's SHA-256: with many customers a search through all is too slow.
    std::unordered_map<std::string, std::string> customersByHash;

    explicit settings_view(settings_tree accepted);
    settings_view() = default;

    /// The customer that a key belongs to. What is looked up is the key's hash, of which a caller cannot
    /// choose a part, so the time taken says nothing about stored keys; the hash itself is compared in
    /// constant time.
    std::optional<std::string> customerOf(std::string_view key) const;
    /// Groups of a service in a zone.
    std::vector<const group_description*> groupsOf(std::string_view service, std::string_view zone) const;
    /// Availability zones that have targets of a service, in order of name.
    std::vector<std::string> zonesOf(std::string_view service) const;
};

/// The newest settings known to this process. The version only grows. Thread-safe.
class settings_cell {
public:
    settings_cell();
    std::shared_ptr<const settings_view> current() const;
    /// Takes the tree into force if it is newer. Returns whether it was.
    bool offer(settings_tree tree);
    /// Takes an update into force if it leads to a newer version from the one in force, or is whole.
    bool offer(settings_update update);
    /// What leads from an earlier version to the one in force: only what changed, if the version was in force
    /// here lately; otherwise the whole tree. Nothing if the version is not earlier.
    std::optional<settings_update> updateSince(std::int64_t version) const;
    std::int64_t version() const { return m_version.load(std::memory_order_acquire); }

private:
    rcu_cell m_cell;
    mutable std::mutex m_mutex;
    std::deque<std::shared_ptr<const settings_view>> m_earlier; ///< The last few, the newest last.
    std::atomic<std::int64_t> m_version { 0 };
};

/// Follows an entry from a process that takes no part in the gossip: learns members and settings from it, and
/// announces itself to it. Tries the entry of its own VM first, then the other seeds. Thread-safe.
class entry_follower {
public:
    entry_follower(rpc_client& client, std::vector<std::string> entries, follow_request announcement,
        settings_cell& settings);
    ~entry_follower();

    std::vector<member_info> members() const;
    /// Addresses of the entries responsible for a group, the first one first.
    std::vector<std::string> owners(const std::string& group, const std::string& zone) const;
    /// A dispatcher did not answer: it is not asked for a while.
    void reportUnreachable(const std::string& address);

private:
    void round();

    rpc_client& m_client;
    std::vector<std::string> m_entries;
    follow_request m_announcement;
    settings_cell& m_settings;
    mutable std::mutex m_mutex;
    std::vector<member_info> m_members;
    std::map<std::string, steady_time> m_avoidUntil;
    std::unique_ptr<periodic_thread> m_thread;
};

// --- Grants
// --------------------------------------------------------------------------------------------------

/// A dispatcher's wish to have a grant back. Thread-safe.
class revocation {
public:
    void request();
    bool requested() const { return m_requested.load(std::memory_order_relaxed); }
    /// For calls that look at a flag.
    const std::atomic<bool>* flag() const { return &m_requested; }
    /// Calls the function when the grant is wanted back, at once if it is already; from a transport's thread,
    /// so it must not block. An empty function ends that.
    void onRequest(std::function<void()> notify);

private:
    std::atomic<bool> m_requested { false };
    std::mutex m_mutex;
    std::function<void()> m_notify;
};

/// A place at a target, to be released exactly once.
struct held_grant {
    std::string group;
    std::string dispatcher; ///< Address of the dispatcher; empty if this process chose for itself.
    std::uint64_t grantId = 0;
    std::string target;
    std::string address;
    milliseconds waited { 0 };
    std::shared_ptr<revocation> revoked;
};

/// Asks dispatchers for grants over their streams. Thread-safe.
class grant_client {
public:
    /// Addresses of the entries responsible for a group, the first one first.
    using owner_lookup
        = std::function<std::vector<std::string>(const std::string& group, const std::string& zone)>;
    /// Told when a dispatcher did not answer.
    using unreachable_report = std::function<void(const std::string& address)>;

    grant_client(rpc_client& client, owner_lookup owners, unreachable_report unreachable);
    ~grant_client();
    grant_client(const grant_client&) = delete;
    grant_client& operator=(const grant_client&) = delete;

    /// Routes one address to a dispatcher in this process, without a network.
    void setLocal(std::string address, peer_handler& handler);

    /// Waits for a grant until the ask's deadline. A failure of kind unavailable with an empty retryAfter
    /// means that no dispatcher answered; any other failure is the dispatcher's own answer.
    result<held_grant> acquire(const std::string& group, const std::string& zone, slot_request ask);
    void release(const held_grant& grant, grant_release figures);

private:
    struct waiter;
    struct connection;

    std::shared_ptr<connection> connect(const std::string& address);
    void received(connection& from, envelope message);
    result<held_grant> askOne(
        const std::string& address, const std::string& group, const slot_request& ask, std::string& movedTo);

    rpc_client& m_client;
    owner_lookup m_owners;
    unreachable_report m_unreachable;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<connection>, std::less<>> m_connections;
    std::string m_localAddress;
    peer_handler* m_local = nullptr;
    std::atomic<std::uint64_t> m_nextAsk { 1 };
};

// --- Calls to targets
// ----------------------------------------------------------------------------------------

/// One attempt at a completion on one target.
struct completion_attempt {
    std::string address;
    std::string requestId;
    completion_request request;
    steady_time deadline;
    milliseconds idleTimeout { 5000 }; ///< Longest silence of the target.
    const std::atomic<bool>* abandon = nullptr;
    /// Takes the text of each event, in order; returning false abandons the attempt.
    std::function<bool(const completion_event&)> onEvent;
};

struct attempt_outcome {
    bool whole = false;
    std::string finishReason;
    failure error; ///< If not whole.
    bool refused = false; ///< The target itself said that it has not run the request.
    std::size_t events = 0; ///< Passed to onEvent.
    milliseconds firstToken { 0 }; ///< Zero if none came.
};

/// Streams a completion from a target. If the stream breaks it is resumed at its offset on the same target,
/// twice at most; the text passed on has no gap and no repetition.
attempt_outcome runCompletion(const completion_attempt& attempt);

/// What an attempt says about its target. A timeout of the caller's own, a request that can never be
/// completed, and one that was given up say nothing.
grant_outcome judgeTarget(const attempt_outcome& outcome);

/// Asks a target to stop a request. Best effort.
void cancelCompletion(std::string_view address, std::string_view requestId);

// --- Stopping
// ------------------------------------------------------------------------------------------------

/// Counts work in progress, so that a stop can wait for it.
class work_counter {
public:
    class token {
    public:
        explicit token(work_counter& counter)
            : m_counter(counter)
        {
            m_counter.begin();
        }
        ~token() { m_counter.end(); }
        token(const token&) = delete;
        token& operator=(const token&) = delete;

    private:
        work_counter& m_counter;
    };

    void begin();
    void end();
    /// Waits until nothing is in progress. Returns false if that takes longer than the limit.
    bool waitIdle(milliseconds limit);
    unsigned running() const;

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    unsigned m_running = 0;
};

/// A random identifier of 24 hexadecimal digits.
std::string randomId();

} // namespace yuccachute
