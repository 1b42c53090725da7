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

/// Calls between the project's processes over gRPC. Layer: transport. No gRPC type appears here.
namespace yuccachute {

/// Mutual TLS between processes. Files are read again when they change, without a restart.
struct rpc_security {
    std::string certificateFile; ///< PEM; without it channels are plain.
    std::string privateKeyFile;
    std::string authorityFile; ///< Every peer must show a certificate of this authority.

    bool enabled() const { return !certificateFile.empty(); }
};

/// What an entry answers to its peers; nothing to what it takes no part in. Called from several threads.
class peer_handler {
public:
    virtual ~peer_handler() = default;
    /// A peer opened a grant stream. The function sends to it and may be called until sessionClosed().
    virtual void sessionOpened(std::uint64_t session, std::function<void(envelope)> send) = 0;
    virtual void sessionReceived(std::uint64_t session, envelope message) = 0;
    virtual void sessionClosed(std::uint64_t session) = 0;
    virtual gossip_message gossip(const gossip_message& news) { return {}; }
    virtual follow_reply follow(const follow_request& request) { return {}; }
    /// What leads from the version named to the settings in force, if they are newer.
    virtual std::optional<settings_update> pull(std::int64_t newerThan) { return std::nullopt; }
    /// What leads from the asker's copies of sections of the store to newer ones, and what it lacks beside.
    virtual sync_answer sync(const sync_question& question) { return {}; }
};

/// What a batch process answers. Called from several threads; may block on the store.
class jobs_handler {
public:
    virtual ~jobs_handler() = default;
    virtual result<job_view> submit(submit_request request) = 0;
    virtual result<job_view> describe(std::string_view customer, std::string_view id) = 0;
    virtual result<results_page> results(std::string_view customer, std::string_view id, std::uint64_t cursor)
        = 0;
    virtual result<job_view> cancel(std::string_view customer, std::string_view id) = 0;
    /// A supervisor found the job unheld and this process responsible for it.
    virtual void adopt(std::string_view id) = 0;
};

/// Serves peers, jobs or both on one port.
class rpc_server {
public:
    /// Throws std::runtime_error naming the address if it cannot listen. Either handler may be null; both
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

/// A grant stream to one dispatcher. Thread-safe. Messages that are sent while one is on its way travel
/// together in the next.
class dispatcher_link {
public:
    virtual ~dispatcher_link() = default;
    virtual void send(envelope message) = 0;
    /// False once the stream has ended; it does not come back: open another.
    virtual bool alive() const = 0;
};

/// Asks other processes for what they know.
class peer_sync {
public:
    virtual ~peer_sync() = default;
    /// The callback comes from a thread of the transport.
    virtual void sync(std::string_view address, const sync_question& question, milliseconds timeout,
        std::function<void(result<sync_answer>)> done)
        = 0;
};

/// Client side of all calls, with one channel per address. Thread-safe.
class rpc_client final : public peer_sync {
public:
    explicit rpc_client(rpc_security security);
    /// Ends all streams and calls and waits for their callbacks; not to be called from one of them.
    ~rpc_client() override;
    rpc_client(const rpc_client&) = delete;
    rpc_client& operator=(const rpc_client&) = delete;

    /// Opens a grant stream. The callbacks come from the transport's threads; closed comes exactly once,
    /// last.
    std::shared_ptr<dispatcher_link> open(
        std::string_view address, std::function<void(envelope)> received, std::function<void()> closed);

    result<gossip_message> gossip(std::string_view address, const gossip_message& news, milliseconds timeout);
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
