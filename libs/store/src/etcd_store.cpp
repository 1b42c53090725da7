#include "store/store.h"

#include "etcd.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <mutex>
#include <thread>

namespace yuccachute {

namespace {

using namespace etcdserverpb;

constexpr int keepaliveMs = 2000;
constexpr int maxReconnectBackoffMs = 500;
constexpr int maxMessageBytes = 64 << 20;

failure toFailure(const grpc::Status& status)
{
    switch (status.error_code()) {
    case grpc::StatusCode::RESOURCE_EXHAUSTED:
        return notRun(failure_kind::limited, "store: " + status.error_message(), milliseconds { 200 });
    case grpc::StatusCode::NOT_FOUND:
        return notRun(failure_kind::not_found, "store: " + status.error_message());
    case grpc::StatusCode::INVALID_ARGUMENT:
        return notRun(failure_kind::bad_request, "store: " + status.error_message());
    default:
        // The change may have been applied even though its response was lost.
        return mayHaveRun(failure_kind::unavailable, "store: " + status.error_message());
    }
}

stored_value toValue(const mvccpb::KeyValue& in)
{
    return { in.key(), in.value(), in.create_revision(), in.mod_revision(), in.lease() };
}

Compare toCompare(const store_condition& condition)
{
    Compare compare;
    compare.set_result(Compare::EQUAL);
    compare.set_key(condition.key);
    if (condition.what == store_condition::kind::mod_revision) {
        compare.set_target(Compare::MOD);
        compare.set_mod_revision(condition.revision);
    } else {
        compare.set_target(Compare::CREATE);
        compare.set_create_revision(condition.what == store_condition::kind::absent ? 0 : condition.revision);
    }
    return compare;
}

TxnRequest toTxn(const store_transaction& transaction)
{
    TxnRequest request;
    for (const auto& condition : transaction.conditions)
        *request.add_compare() = toCompare(condition);
    for (const auto& removal : transaction.removals) {
        auto& remove = *request.add_success()->mutable_request_delete_range();
        remove.set_key(removal.key);
        if (removal.prefix)
            remove.set_range_end(prefixEnd(removal.key));
    }
    for (const auto& write : transaction.writes) {
        auto& put = *request.add_success()->mutable_request_put();
        put.set_key(write.key);
        put.set_value(write.value);
        put.set_lease(write.lease);
    }
    for (const auto& key : transaction.readOtherwise)
        request.add_failure()->mutable_request_range()->set_key(key);
    return request;
}

class etcd_watch final : public store_watch {
public:
    etcd_watch(std::shared_ptr<grpc::Channel> channel, WatchRequest request,
        std::function<void(std::span<const store_event>, std::int64_t)> changed, std::function<void()> ended)
        : m_stub(Watch::NewStub(std::move(channel)))
        , m_thread([this, request = std::move(request), changed = std::move(changed),
                       ended = std::move(ended)] { run(request, changed, ended); })
    {
    }

    ~etcd_watch() override
    {
        m_context.TryCancel();
        m_thread.join();
    }

private:
    void run(const WatchRequest& request,
        const std::function<void(std::span<const store_event>, std::int64_t)>& changed,
        const std::function<void()>& ended)
    {
        auto stream = m_stub->Watch(&m_context);
        stream->Write(request);
        WatchResponse response;
        while (stream->Read(&response) && !response.canceled()) {
            std::vector<store_event> events;
            for (const auto& event : response.events())
                events.push_back({ event.type() == mvccpb::Event::DELETE, toValue(event.kv()) });
            if (!events.empty())
                changed(events, response.header().revision());
        }
        m_context.TryCancel();
        stream->Finish();
        ended();
    }

    std::unique_ptr<Watch::Stub> m_stub;
    grpc::ClientContext m_context;
    std::thread m_thread;
};

class etcd_store final : public config_store {
public:
    etcd_store(std::string_view address, milliseconds timeout)
        : m_timeout(timeout)
    {
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepaliveMs);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepaliveMs);
        arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxReconnectBackoffMs);
        arguments.SetMaxReceiveMessageSize(maxMessageBytes);
        m_channel
            = grpc::CreateCustomChannel(std::string(address), grpc::InsecureChannelCredentials(), arguments);
        m_kv = KV::NewStub(m_channel);
        m_lease = Lease::NewStub(m_channel);
    }

    result<store_listing> list(
        std::string_view prefix, std::string_view after, std::size_t limit, bool keysOnly) override
    {
        RangeRequest request;
        // The immediate successor of a key is the key with a zero byte appended.
        request.set_key(after.empty() ? std::string(prefix) : std::string(after) + '\0');
        request.set_range_end(prefixEnd(prefix));
        request.set_limit(static_cast<std::int64_t>(limit));
        request.set_keys_only(keysOnly);
        RangeResponse response;
        grpc::ClientContext context;
        if (const auto status = m_kv->Range(withDeadline(context), request, &response); !status.ok())
            return toFailure(status);
        store_listing listing;
        for (const auto& value : response.kvs())
            listing.values.push_back(toValue(value));
        listing.revision = response.header().revision();
        listing.more = response.more();
        return listing;
    }

    result<std::optional<stored_value>> get(std::string_view key) override
    {
        RangeRequest request;
        request.set_key(std::string(key));
        RangeResponse response;
        grpc::ClientContext context;
        if (const auto status = m_kv->Range(withDeadline(context), request, &response); !status.ok())
            return toFailure(status);
        if (response.kvs().empty())
            return std::optional<stored_value>();
        return std::optional<stored_value>(toValue(response.kvs(0)));
    }

    result<commit_outcome> commit(const store_transaction& transaction) override
    {
        TxnResponse response;
        grpc::ClientContext context;
        if (const auto status = m_kv->Txn(withDeadline(context), toTxn(transaction), &response); !status.ok())
            return toFailure(status);
        commit_outcome outcome;
        outcome.applied = response.succeeded();
        outcome.revision = response.header().revision();
        for (int i = 0; !outcome.applied && i < response.responses_size(); ++i) {
            const auto& range = response.responses(i).response_range();
            const auto& key = transaction.readOtherwise.at(static_cast<std::size_t>(i));
            outcome.found.push_back(
                range.kvs().empty() ? stored_value { key, {}, 0, 0, 0 } : toValue(range.kvs(0)));
        }
        return outcome;
    }

    result<std::int64_t> grantLease(std::chrono::seconds ttl) override
    {
        LeaseGrantRequest request;
        request.set_ttl(ttl.count());
        LeaseGrantResponse response;
        grpc::ClientContext context;
        if (const auto status = m_lease->LeaseGrant(withDeadline(context), request, &response); !status.ok())
            return toFailure(status);
        return response.id();
    }

    result<void> renewLease(std::int64_t lease) override
    {
        grpc::ClientContext context;
        auto stream = m_lease->LeaseKeepAlive(withDeadline(context));
        LeaseKeepAliveRequest request;
        request.set_id(lease);
        LeaseKeepAliveResponse response;
        const bool answered = stream->Write(request) && stream->WritesDone() && stream->Read(&response);
        if (!answered) {
            const auto status = stream->Finish();
            return status.ok()
                ? mayHaveRun(failure_kind::unavailable, "store: no response to a lease renewal")
                : toFailure(status);
        }
        context.TryCancel();
        stream->Finish();
        if (response.ttl() <= 0)
            return notRun(failure_kind::not_found, "store: the lease has expired");
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    result<void> revokeLease(std::int64_t lease) override
    {
        LeaseRevokeRequest request;
        request.set_id(lease);
        LeaseRevokeResponse response;
        grpc::ClientContext context;
        if (const auto status = m_lease->LeaseRevoke(withDeadline(context), request, &response); !status.ok())
            return toFailure(status);
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    std::unique_ptr<store_watch> watch(std::string_view prefix, std::int64_t fromRevision,
        std::function<void(std::span<const store_event>, std::int64_t)> changed,
        std::function<void()> ended) override
    {
        WatchRequest request;
        auto& create = *request.mutable_create_request();
        create.set_key(std::string(prefix));
        create.set_range_end(prefixEnd(prefix));
        create.set_start_revision(fromRevision);
        return std::make_unique<etcd_watch>(
            m_channel, std::move(request), std::move(changed), std::move(ended));
    }

private:
    grpc::ClientContext* withDeadline(grpc::ClientContext& context) const
    {
        context.set_deadline(std::chrono::system_clock::now() + m_timeout);
        return &context;
    }

    milliseconds m_timeout;
    std::shared_ptr<grpc::Channel> m_channel;
    std::unique_ptr<KV::Stub> m_kv;
    std::unique_ptr<Lease::Stub> m_lease;
};

} // namespace

std::unique_ptr<config_store> connectStore(std::string_view address, milliseconds timeout)
{
    return std::make_unique<etcd_store>(address, timeout);
}

} // namespace yuccachute
