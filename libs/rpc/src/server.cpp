#include "rpc/rpc.h"

#include "security.h"

#include "peer.grpc.pb.h"
#include "wire/wire.h"

#include <atomic>
#include <mutex>
#include <stdexcept>

namespace yuccachute {

namespace {

constexpr int keepaliveMs = 2000;
constexpr int keepaliveTimeoutMs = 2000;

/// Server side of the grant stream of one peer. Deletes itself in OnDone().
class grant_session final : public grpc::ServerBidiReactor<peer::Envelope, peer::Envelope> {
public:
    grant_session(peer_handler& handler, std::uint64_t id)
        : m_handler(handler)
        , m_id(id)
        , m_shared(std::make_shared<shared>())
    {
        m_shared->session = this;
        // The handler may keep the function longer than the session exists, so it refers to the session only
        // through m_shared.
        m_handler.sessionOpened(id, [shared = m_shared](envelope message) {
            const std::scoped_lock lock(shared->mutex);
            if (shared->session)
                shared->session->queue(std::move(message));
        });
        StartRead(&m_incoming);
    }

    void OnReadDone(bool ok) override
    {
        if (!ok)
            return end();
        m_handler.sessionReceived(m_id, fromWire(m_incoming, std::chrono::steady_clock::now()));
        m_incoming.Clear();
        const std::scoped_lock lock(m_shared->mutex);
        if (!m_ended) // No operation may be started after Finish().
            StartRead(&m_incoming);
    }

    void OnWriteDone(bool ok) override
    {
        const std::scoped_lock lock(m_shared->mutex);
        m_writing = false;
        if (ok && !m_pending.empty())
            queue({});
    }

    void OnCancel() override { end(); }

    void OnDone() override { delete this; }

private:
    struct shared {
        std::mutex mutex;
        grant_session* session = nullptr;
    };

    /// The mutex of m_shared must be held.
    void queue(envelope message)
    {
        m_pending.add(std::move(message));
        if (m_writing || m_ended || m_pending.empty())
            return;
        m_outgoing.Clear();
        toWire(std::exchange(m_pending, {}), std::chrono::steady_clock::now(), m_outgoing);
        m_writing = true;
        StartWrite(&m_outgoing);
    }

    void end()
    {
        {
            const std::scoped_lock lock(m_shared->mutex);
            if (m_ended)
                return;
            m_ended = true;
            m_shared->session = nullptr;
        }
        m_handler.sessionClosed(m_id);
        Finish(grpc::Status::OK);
    }

    peer_handler& m_handler;
    std::uint64_t m_id;
    std::shared_ptr<shared> m_shared;
    peer::Envelope m_incoming;
    peer::Envelope m_outgoing;
    envelope m_pending;
    bool m_writing = false;
    bool m_ended = false;
};

class peer_service final : public peer::Peer::CallbackService {
public:
    explicit peer_service(peer_handler& handler)
        : m_handler(handler)
    {
    }

    grpc::ServerBidiReactor<peer::Envelope, peer::Envelope>* Exchange(grpc::CallbackServerContext*) override
    {
        return new grant_session(m_handler, m_nextSession++);
    }

    grpc::ServerUnaryReactor* Gossip(
        grpc::CallbackServerContext* context, const peer::Digest* request, peer::Digest* reply) override
    {
        toWire(m_handler.gossip(fromWire(*request)), *reply);
        return finish(context);
    }

    grpc::ServerUnaryReactor* Follow(grpc::CallbackServerContext* context, const peer::FollowRequest* request,
        peer::FollowReply* reply) override
    {
        const auto answer = m_handler.follow({ request->vm(), request->batch_address(),
            request->admin_address(), request->settings_version() });
        for (const auto& member : answer.members)
            toWire(member, *reply->add_members());
        if (answer.settings)
            toWire(*answer.settings, *reply->mutable_settings());
        return finish(context);
    }

    grpc::ServerUnaryReactor* Pull(grpc::CallbackServerContext* context, const peer::PullRequest* request,
        peer::Settings* reply) override
    {
        if (const auto update = m_handler.pull(request->newer_than()))
            toWire(*update, *reply);
        return finish(context);
    }

    grpc::ServerUnaryReactor* Sync(grpc::CallbackServerContext* context, const peer::SyncRequest* request,
        peer::SyncReply* reply) override
    {
        toWire(m_handler.sync(fromWire(*request)), request->takes_packed(), *reply);
        return finish(context);
    }

private:
    static grpc::ServerUnaryReactor* finish(grpc::CallbackServerContext* context)
    {
        auto* reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    peer_handler& m_handler;
    std::atomic<std::uint64_t> m_nextSession { 1 };
};

void fillJobReply(const job_view& job, peer::JobReply& reply)
{
    reply.set_id(job.id);
    reply.set_service(job.service);
    reply.set_state(job.state);
    reply.set_total(job.total);
    reply.set_completed(job.completed);
    reply.set_failed(job.failed);
    reply.set_created_ms(job.createdMs);
    reply.set_due_ms(job.dueMs);
    reply.set_ended_ms(job.endedMs);
    reply.set_existed(job.existed);
}

/// A synchronous service with its own threads, because its calls block on the store.
class jobs_service final : public peer::Jobs::Service {
public:
    explicit jobs_service(jobs_handler& handler)
        : m_handler(handler)
    {
    }

    grpc::Status Submit(
        grpc::ServerContext*, const peer::SubmitRequest* request, peer::JobReply* reply) override
    {
        submit_request typed;
        typed.customer = request->customer();
        typed.service = request->service();
        typed.idempotencyKey = request->idempotency_key();
        typed.due = milliseconds { static_cast<std::int64_t>(request->due_in_ms()) };
        typed.items = request->items();
        return answer(m_handler.submit(std::move(typed)), *reply);
    }

    grpc::Status Describe(
        grpc::ServerContext*, const peer::JobRequest* request, peer::JobReply* reply) override
    {
        return answer(m_handler.describe(request->customer(), request->id()), *reply);
    }

    grpc::Status Results(
        grpc::ServerContext*, const peer::ResultsRequest* request, peer::ResultsReply* reply) override
    {
        const auto page = m_handler.results(request->customer(), request->id(), request->cursor());
        if (!page)
            return toStatus(page.error());
        reply->set_lines(page.value().lines);
        reply->set_next_cursor(page.value().nextCursor);
        reply->set_end(page.value().end);
        return grpc::Status::OK;
    }

    grpc::Status Cancel(grpc::ServerContext*, const peer::JobRequest* request, peer::JobReply* reply) override
    {
        return answer(m_handler.cancel(request->customer(), request->id()), *reply);
    }

    grpc::Status Adopt(grpc::ServerContext*, const peer::JobRequest* request, peer::JobReply*) override
    {
        m_handler.adopt(request->id());
        return grpc::Status::OK;
    }

private:
    static grpc::Status answer(const result<job_view>& outcome, peer::JobReply& reply)
    {
        if (!outcome)
            return toStatus(outcome.error());
        fillJobReply(outcome.value(), reply);
        return grpc::Status::OK;
    }

    jobs_handler& m_handler;
};

} // namespace

struct rpc_server::impl {
    std::unique_ptr<peer_service> peers;
    std::unique_ptr<jobs_service> jobs;
    std::unique_ptr<grpc::Server> server;
};

rpc_server::rpc_server(
    std::string_view address, const rpc_security& security, peer_handler* peers, jobs_handler* jobs)
    : m_impl(std::make_unique<impl>())
{
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(std::string(address), serverCredentials(security), &port);
    builder.SetMaxReceiveMessageSize(maxMessageBytes);
    // Detects an unreachable peer within seconds, so that its slot requests do not stay queued.
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, keepaliveMs);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepaliveTimeoutMs);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, keepaliveMs / 2);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    if (peers) {
        m_impl->peers = std::make_unique<peer_service>(*peers);
        builder.RegisterService(m_impl->peers.get());
    }
    if (jobs) {
        m_impl->jobs = std::make_unique<jobs_service>(*jobs);
        builder.RegisterService(m_impl->jobs.get());
    }
    m_impl->server = builder.BuildAndStart();
    if (!m_impl->server || port == 0)
        throw std::runtime_error("cannot listen on " + std::string(address));
}

rpc_server::~rpc_server()
{
    m_impl->server->Shutdown(std::chrono::system_clock::now() + milliseconds { 500 });
}

} // namespace yuccachute
