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

/// Shared parts of the processes: options, the settings in force, grants, calls to targets, shutdown.
namespace yuccachute {

// --- Options of a process

/// Options of a process, from the section [process] of its INI file.
struct process_options {
    std::string vm; ///< Unique name of the VM.
    std::string zone; ///< Availability zone.
    std::string http; ///< host:port of its HTTP interface.
    std::string rpc; ///< host:port of its RPC interface for the other processes.
    std::string store; ///< host:port of the key-value service.
    std::vector<std::string> seeds; ///< host:port of the entries to contact first.
    std::string dataFolder; ///< Folder for caches; empty for no caches.
    std::string certificate; ///< TLS certificate for the callers' port.
    std::string privateKey;
    rpc_security peers; ///< Mutual TLS between processes.
    std::string logLevel = "info";
    milliseconds stopLimit { 30000 }; ///< Longest duration of a graceful shutdown.
    std::chrono::seconds leaseTtl { 30 }; ///< TTL of the lease that a batch process has on its jobs.
    unsigned workers = 32; ///< Number of items that a batch process runs at once.
    std::uint64_t memoryMb = 0; ///< Memory that the process may use, in MB; 0 if unknown.
};

/// Reads the file. Errors name file, line and key; the error for an unknown key lists the known ones.
result<process_options> readProcessOptions(const std::string& fileName);

/// Parses the command line of a program ("--config FILE", "--help", "--version"), reads the file, starts
/// logging and blocks the stop signals in all threads. If the program has to exit, returns nothing and sets
/// `exitCode`; errors are printed.
std::optional<process_options> startProcess(
    int argc, char** argv, std::string_view program, std::string_view summary, int& exitCode);

/// Blocks until SIGTERM or SIGINT is received.
void waitForStopSignal();

/// A thread that calls a function at an interval until it is destroyed.
class periodic_thread {
public:
    periodic_thread(milliseconds interval, std::function<void()> work);
    ~periodic_thread();
    periodic_thread(const periodic_thread&) = delete;
    periodic_thread& operator=(const periodic_thread&) = delete;
    /// Runs the function at once instead of after the interval.
    void wake();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

// --- Settings in force

/// Holds one immutable value that can be replaced. Readers never block (read-copy-update).
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
    std::mutex m_writeMutex;
};

/// A target group as the settings define it.
struct group_description {
    std::string name;
    std::string service;
    std::string zone;
    bool model = true;
    std::vector<target_description> targets;
    group_options options;
};

/// The settings in force, and data that is derived from them once per version.
struct settings_view {
    settings_tree tree;
    std::map<std::string, group_description, std::less<>> groups;

    /// Customer of each key, by the SHA-256 hash of the key. With many customers, a linear search is too
    /// slow.
    std::unordered_map<std::string, std::string> customersByHash;

    explicit settings_view(settings_tree accepted);
    settings_view() = default;

    /// The customer that a key belongs to. The lookup uses the hash of the key, no part of which a caller can
    /// choose, so its duration reveals nothing about the stored keys; the hashes are then compared in
    /// constant time.
    std::optional<std::string> customerOf(std::string_view key) const;
    /// Target groups of a service in a zone.
    std::vector<const group_description*> groupsOf(std::string_view service, std::string_view zone) const;
    /// Availability zones with targets of a service, sorted by name.
    std::vector<std::string> zonesOf(std::string_view service) const;
};

/// The newest settings that this process knows. The version in force never decreases. Thread-safe.
class settings_cell {
public:
    settings_cell();
    std::shared_ptr<const settings_view> current() const;
    /// Puts the tree into force if it is newer than the current one. Returns whether it was.
    bool offer(settings_tree tree);
    /// Puts an update into force if it leads to a newer version, and either is based on the version in force
    /// or contains the whole tree. Returns whether it did.
    bool offer(settings_update update);
    /// The update from an earlier version to the one in force: only the changes, if that version was in force
    /// in this process recently; otherwise the whole tree. Nothing if the version is not earlier.
    std::optional<settings_update> updateSince(std::int64_t version) const;
    std::int64_t version() const { return m_version.load(std::memory_order_acquire); }

private:
    rcu_cell m_cell;
    mutable std::mutex m_mutex;
    std::deque<std::shared_ptr<const settings_view>>
        m_earlier; ///< Most recent views before the current one, oldest first.
    std::atomic<std::int64_t> m_version { 0 };
};

/// Follows an entry on behalf of a process that does not take part in the gossip: fetches members and
/// settings from the entry, and announces this process to it. Tries the entry of its own VM first, then the
/// other seeds. Thread-safe.
class entry_follower {
public:
    entry_follower(rpc_client& client, std::vector<std::string> entries, follow_request announcement,
        settings_cell& settings);
    ~entry_follower();

    std::vector<member_info> members() const;
    /// Addresses of the entries responsible for a group, in order of precedence.
    std::vector<std::string> owners(const std::string& group, const std::string& zone) const;
    /// A dispatcher did not respond: it is not used for a while.
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

/// The request of a dispatcher to release a grant early. Thread-safe.
class revocation {
public:
    void request();
    bool requested() const { return m_requested.load(std::memory_order_relaxed); }
    /// For functions that poll a flag.
    const std::atomic<bool>* flag() const { return &m_requested; }
    /// Sets the function to call when the grant is revoked, which is called at once if it has been revoked
    /// already. It is called on a transport thread and must not block. An empty function removes the previous
    /// one.
    void onRequest(std::function<void()> notify);

private:
    std::atomic<bool> m_requested { false };
    std::mutex m_mutex;
    std::function<void()> m_notify;
};

/// A granted slot at a target. It must be released exactly once.
struct held_grant {
    std::string group;
    std::string dispatcher; ///< Address of the dispatcher; empty if this process chose the target itself.
    std::uint64_t grantId = 0;
    std::string target;
    std::string address;
    milliseconds waited { 0 };
    std::shared_ptr<revocation> revoked;
};

/// Requests grants from dispatchers over grant streams. Thread-safe.
class grant_client {
public:
    /// Addresses of the entries responsible for a group, in order of precedence.
    using owner_lookup
        = std::function<std::vector<std::string>(const std::string& group, const std::string& zone)>;
    /// Called when a dispatcher did not respond.
    using unreachable_report = std::function<void(const std::string& address)>;

    grant_client(rpc_client& client, owner_lookup owners, unreachable_report unreachable);
    ~grant_client();
    grant_client(const grant_client&) = delete;
    grant_client& operator=(const grant_client&) = delete;

    /// Routes messages for this address to a dispatcher in this process, without the network.
    void setLocal(std::string address, peer_handler& handler);

    /// Waits for a grant until the deadline of the request. A failure of kind unavailable with an empty
    /// retryAfter means that no dispatcher responded; any other failure is the answer of a dispatcher.
    result<held_grant> acquire(const std::string& group, const std::string& zone, slot_request request);
    void release(const held_grant& grant, grant_release figures);

private:
    struct waiter;
    struct connection;

    std::shared_ptr<connection> connect(const std::string& address);
    void received(connection& from, envelope message);
    result<held_grant> requestFrom(const std::string& address, const std::string& group,
        const slot_request& request, std::string& movedTo);

    rpc_client& m_client;
    owner_lookup m_owners;
    unreachable_report m_unreachable;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<connection>, std::less<>> m_connections;
    std::string m_localAddress;
    peer_handler* m_local = nullptr;
    std::atomic<std::uint64_t> m_nextRequestId { 1 };
};

// --- Calls to targets

/// One attempt at a completion on one target.
struct completion_attempt {
    std::string address;
    std::string requestId;
    completion_request request;
    steady_time deadline;
    milliseconds idleTimeout { 5000 }; ///< Longest time without data from the target.
    const std::atomic<bool>* abandon = nullptr;
    /// Receives each event, in order. Returning false aborts the attempt.
    std::function<bool(const completion_event&)> onEvent;
};

struct attempt_outcome {
    bool whole = false;
    std::string finishReason;
    failure error; ///< Why the completion is not whole.
    bool refused = false; ///< The target reported that it has not run the request.
    std::size_t events = 0; ///< Number of events passed to onEvent.
    milliseconds firstToken { 0 }; ///< Time to the first token; zero if none was received.
};

/// Streams a completion from a target. A broken stream is resumed at its offset on the same target, at most
/// twice; the text passed on has no gap and no repetition.
attempt_outcome runCompletion(const completion_attempt& attempt);

/// What an attempt reveals about its target. A timeout set by the caller, a request that can never be
/// completed and a cancelled request reveal nothing.
grant_outcome judgeTarget(const attempt_outcome& outcome);

/// Asks a target to cancel a request. Best effort.
void cancelCompletion(std::string_view address, std::string_view requestId);

// --- Shutdown

/// Counts work in progress, so that a shutdown can wait for it.
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
    /// Waits until no work is in progress. Returns false if that takes longer than the limit.
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
