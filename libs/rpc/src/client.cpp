#include "rpc/rpc.h"

#include "link.h"
#include "security.h"

#include "peer.grpc.pb.h"
#include "wire/wire.h"

#include <map>
#include <mutex>

namespace yuccachute {

namespace {

constexpr int keepaliveMs = 2000;
constexpr int maxReconnectBackoffMs = 1000;

job_view toView(const peer::JobReply& reply)
{
    return { reply.id(), reply.service(), reply.state(), reply.total(), reply.completed(), reply.failed(),
        reply.created_ms(), reply.due_ms(), reply.ended_ms(), reply.existed() };
}

result<job_view> toView(const grpc::Status& status, const peer::JobReply& reply)
{
    if (!status.ok())
        return fromStatus(status);
    return toView(reply);
}

peer::JobRequest jobRequest(std::string_view customer, std::string_view id)
{
    peer::JobRequest request;
    request.set_customer(std::string(customer));
    request.set_id(std::string(id));
    return request;
}

} // namespace

struct rpc_client::impl {
    explicit impl(const rpc_security& security)
        : credentials(channelCredentials(security))
    {
    }
    ~impl() { calls->cancelAndWait(); }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    std::shared_ptr<grpc::Channel> channel(std::string_view address)
    {
        const std::scoped_lock lock(mutex);
        auto& found = channels[std::string(address)];
        if (found)
            return found;
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepaliveMs);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepaliveMs);
        arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
        // Bandwidth probes would cost more bytes than the grants, which do not nearly fill the window.
        arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxReconnectBackoffMs);
        arguments.SetMaxReceiveMessageSize(maxMessageBytes);
        arguments.SetMaxSendMessageSize(maxMessageBytes);
        found = grpc::CreateCustomChannel(std::string(address), credentials, arguments);
        return found;
    }

    template <typename Service> std::unique_ptr<typename Service::Stub> stub(std::string_view address)
    {
        return Service::NewStub(channel(address));
    }

    std::shared_ptr<grpc::ChannelCredentials> credentials;
    std::shared_ptr<running_calls> calls = std::make_shared<running_calls>();
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<grpc::Channel>, std::less<>> channels;
};

namespace {

void setTimeout(grpc::ClientContext& context, milliseconds timeout)
{
    context.set_deadline(std::chrono::system_clock::now() + timeout);
}

} // namespace

rpc_client::rpc_client(rpc_security security)
    : m_impl(std::make_unique<impl>(security))
{
}

rpc_client::~rpc_client() = default;

std::shared_ptr<dispatcher_link> rpc_client::open(
    std::string_view address, std::function<void(envelope)> received, std::function<void()> closed)
{
    return openLink(m_impl->calls, m_impl->channel(address), std::move(received), std::move(closed));
}

result<gossip_message> rpc_client::gossip(
    std::string_view address, const gossip_message& message, milliseconds timeout)
{
    grpc::ClientContext context;
    setTimeout(context, timeout);
    peer::Digest request;
    toWire(message, request);
    peer::Digest reply;
    if (const auto status = m_impl->stub<peer::Peer>(address)->Gossip(&context, request, &reply);
        !status.ok())
        return fromStatus(status);
    return fromWire(reply);
}

result<follow_reply> rpc_client::follow(
    std::string_view address, const follow_request& request, milliseconds timeout)
{
    grpc::ClientContext context;
    setTimeout(context, timeout);
    peer::FollowRequest wire;
    wire.set_vm(request.vm);
    wire.set_batch_address(request.batchAddress);
    wire.set_admin_address(request.adminAddress);
    wire.set_settings_version(request.settingsVersion);
    peer::FollowReply reply;
    if (const auto status = m_impl->stub<peer::Peer>(address)->Follow(&context, wire, &reply); !status.ok())
        return fromStatus(status);
    follow_reply typed;
    for (const auto& member : reply.members())
        typed.members.push_back(fromWire(member));
    if (reply.has_settings())
        typed.settings = fromWire(reply.settings());
    return typed;
}

result<std::optional<settings_update>> rpc_client::pull(
    std::string_view address, std::int64_t newerThan, milliseconds timeout)
{
    grpc::ClientContext context;
    setTimeout(context, timeout);
    peer::PullRequest request;
    request.set_newer_than(newerThan);
    peer::Settings reply;
    if (const auto status = m_impl->stub<peer::Peer>(address)->Pull(&context, request, &reply); !status.ok())
        return fromStatus(status);
    if (reply.version() <= newerThan)
        return std::optional<settings_update>();
    return std::optional<settings_update>(fromWire(reply));
}

void rpc_client::sync(std::string_view address, const sync_question& question, milliseconds timeout,
    std::function<void(result<sync_answer>)> done)
{
    struct pending_sync {
        std::mutex mutex;
        std::unique_ptr<grpc::ClientContext> context = std::make_unique<grpc::ClientContext>();
        peer::SyncRequest request;
        peer::SyncReply reply;
        std::unique_ptr<peer::Peer::Stub> stub;
        std::uint64_t call = 0;

        void cancel()
        {
            const std::scoped_lock lock(mutex);
            if (context)
                context->TryCancel();
        }
        void releaseChannel()
        {
            const std::scoped_lock lock(mutex);
            context.reset();
            stub.reset();
        }
    };
    const auto pending = std::make_shared<pending_sync>();
    setTimeout(*pending->context, timeout);
    toWire(question, pending->request);
    pending->stub = m_impl->stub<peer::Peer>(address);
    pending->call = m_impl->calls->add([pending] { pending->cancel(); });
    pending->stub->async()->Sync(pending->context.get(), &pending->request, &pending->reply,
        [pending, calls = m_impl->calls, done = std::move(done)](const grpc::Status& status) {
            if (status.ok())
                done(fromWire(pending->reply));
            else
                done(fromStatus(status));
            pending->releaseChannel();
            calls->remove(pending->call);
        });
}

result<job_view> rpc_client::submit(
    std::string_view address, const submit_request& request, milliseconds timeout)
{
    grpc::ClientContext context;
    setTimeout(context, timeout);
    peer::SubmitRequest wire;
    wire.set_customer(request.customer);
    wire.set_service(request.service);
    wire.set_idempotency_key(request.idempotencyKey);
    wire.set_due_in_ms(static_cast<std::uint64_t>(request.due.count()));
    wire.set_items(request.items);
    peer::JobReply reply;
    return toView(m_impl->stub<peer::Jobs>(address)->Submit(&context, wire, &reply), reply);
}

result<job_view> rpc_client::describe(
    std::string_view address, std::string_view customer, std::string_view id, milliseconds timeout)
{
    grpc::ClientContext context;
    setTimeout(context, timeout);
    peer::JobReply reply;
    return toView(
        m_impl->stub<peer::Jobs>(address)->Describe(&context, jobRequest(customer, id), &reply), reply);
}

result<results_page> rpc_client::results(std::string_view address, std::string_view customer,
    std::string_view id, std::uint64_t cursor, milliseconds timeout)
{
    grpc::ClientContext context;
    setTimeout(context, timeout);
    peer::ResultsRequest request;
    request.set_customer(std::string(customer));
    request.set_id(std::string(id));
    request.set_cursor(cursor);
    peer::ResultsReply reply;
    if (const auto status = m_impl->stub<peer::Jobs>(address)->Results(&context, request, &reply);
        !status.ok())
        return fromStatus(status);
    return results_page { reply.lines(), reply.next_cursor(), reply.end() };
}

result<job_view> rpc_client::cancel(
    std::string_view address, std::string_view customer, std::string_view id, milliseconds timeout)
{
    grpc::ClientContext context;
    setTimeout(context, timeout);
    peer::JobReply reply;
    return toView(
        m_impl->stub<peer::Jobs>(address)->Cancel(&context, jobRequest(customer, id), &reply), reply);
}

result<void> rpc_client::adopt(std::string_view address, std::string_view id, milliseconds timeout)
{
    grpc::ClientContext context;
    setTimeout(context, timeout);
    peer::JobReply reply;
    if (const auto status = m_impl->stub<peer::Jobs>(address)->Adopt(&context, jobRequest({}, id), &reply);
        !status.ok())
        return fromStatus(status);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace yuccachute
