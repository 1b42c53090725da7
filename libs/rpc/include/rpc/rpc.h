#pragma once

#include "messages/messages.h"
#include "verdict/verdict.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// gRPC calls between the processes of a deployment. Layer: transport. No gRPC type appears in this header.
namespace yuccachute {

/// Files for mutual TLS between processes. They are reloaded when they change, without a restart.
struct rpc_security {
    std::string certificateFile; ///< PEM; if empty, channels are not encrypted.
    std::string privateKeyFile;
    std::string authorityFile; ///< PEM; every peer must present a certificate signed by this authority.

    bool enabled() const { return !certificateFile.empty(); }
};

/// Interface for the calls that an entry process serves to its peers. The defaults return empty replies, for
/// handlers that do not support a call. Called from several threads.
class peer_handler {
public:
    virtual ~peer_handler() = default;
    /// A peer opened a grant stream. `send` writes to it and may be called until sessionClosed().
    virtual void sessionOpened(std::uint64_t session, std::function<void(envelope)> send) = 0;
    virtual void sessionReceived(std::uint64_t session, envelope message) = 0;
    virtual void sessionClosed(std::uint64_t session) = 0;
    virtual gossip_message gossip(const gossip_message& message) { return {}; }
    virtual follow_reply follow(const follow_request& request) { return {}; }
    /// Returns the changes from the given version to the settings in force, or nothing if those are not
    /// newer.
    virtual std::optional<settings_update> pull(std::int64_t newerThan) { return std::nullopt; }
    /// Returns the updates that bring the caller's copies of store sections up to date, and the other state
    /// that it is missing.
    virtual sync_answer sync(const sync_question& question) { return {}; }
};

/// Interface for the calls that a batch process serves. Called from several threads; may block on the store.
class jobs_handler {
public:
    virtual ~jobs_handler() = default;
    virtual result<job_view> submit(submit_request request) = 0;
    virtual result<job_view> describe(std::string_view customer, std::string_view id) = 0;
    virtual result<results_page> results(std::string_view customer, std::string_view id, std::uint64_t cursor)
        = 0;
    virtual result<job_view> cancel(std::string_view customer, std::string_view id) = 0;
    /// A supervisor found that the job has no holder and that this process is responsible for it.
    virtual void adopt(std::string_view id) = 0;
};

/// Serves the peer calls, the job calls or both on one port.
class rpc_server {
public:
    /// Throws std::runtime_error with the address if it cannot listen there. Either handler may be null; both
    /// must outlive the server.
    rpc_server(
        std::string_view address, const rpc_security& security, peer_handler* peers, jobs_handler* jobs);
    ~rpc_server();
    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

/// Grant stream to one dispatcher. Thread-safe. Messages sent while a write is in progress are merged into
/// the next one.
class dispatcher_link {
public:
    virtual ~dispatcher_link() = default;
    virtual void send(envelope message) = 0;
    /// Returns false once the stream has ended. An ended stream is never reused; open a new one.
    virtual bool alive() const = 0;
};

/// Synchronises store sections with other processes.
class peer_sync {
public:
    virtual ~peer_sync() = default;
    /// The callback runs on a thread of the transport.
    virtual void sync(std::string_view address, const sync_question& question, milliseconds timeout,
        std::function<void(result<sync_answer>)> done)
        = 0;
};

/// Client for all calls, with one channel per address. Thread-safe.
class rpc_client final : public peer_sync {
public:
    explicit rpc_client(rpc_security security);
    /// Cancels all streams and calls and waits for their callbacks. Must not be called from one of them.
    ~rpc_client() override;
    rpc_client(const rpc_client&) = delete;
    rpc_client& operator=(const rpc_client&) = delete;

    /// Opens a grant stream. The callbacks run on threads of the transport. `closed` runs exactly once, after
    /// all others.
    std::shared_ptr<dispatcher_link> open(
        std::string_view address, std::function<void(envelope)> received, std::function<void()> closed);

    result<gossip_message> gossip(
        std::string_view address, const gossip_message& message, milliseconds timeout);
    result<follow_reply> follow(
        std::string_view address, const follow_request& request, milliseconds timeout);
    result<std::optional<settings_update>> pull(
        std::string_view address, std::int64_t newerThan, milliseconds timeout);

    void sync(std::string_view address, const sync_question& question, milliseconds timeout,
        std::function<void(result<sync_answer>)> done) override;

    result<job_view> submit(std::string_view address, const submit_request& request, milliseconds timeout);
    result<job_view> describe(
        std::string_view address, std::string_view customer, std::string_view id, milliseconds timeout);
    result<results_page> results(std::string_view address, std::string_view customer, std::string_view id,
        std::uint64_t cursor, milliseconds timeout);
    result<job_view> cancel(
        std::string_view address, std::string_view customer, std::string_view id, milliseconds timeout);
    result<void> adopt(std::string_view address, std::string_view id, milliseconds timeout);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace yuccachute
