// Stand-in of the platform's key-value service: its published messages, with rate limits, counters and
// faults.

#include "flags.h"
#include "http/http.h"
#include "store/store.h"

#include "etcd.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <iostream>
#include <mutex>
#include <thread>

namespace {

using namespace yuccachute;
using namespace etcdserverpb;

/// Faults and limits, set over HTTP.
struct conditions {
    std::atomic<bool> down { false };
    std::atomic<int> slowMs { 0 };
    std::atomic<int> loseReplies { 0 }; ///< Writes to come whose reply is lost after the change.
    std::atomic<int> writesPerSecond { 0 }; ///< 0: no limit.
    std::atomic<int> readsPerSecond { 0 };
    std::atomic<std::uint64_t> reads { 0 };
    std::atomic<std::uint64_t> writes { 0 };
    std::atomic<std::uint64_t> leases { 0 };
    std::atomic<std::uint64_t> watches { 0 };
    std::atomic<std::uint64_t> bytes { 0 };
};

class rate_limit {
public:
    bool take(int perSecond)
    {
        if (perSecond <= 0)
            return true;
        const std::scoped_lock lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        m_level = std::min<double>(
            perSecond, m_level + std::chrono::duration<double>(now - m_last).count() * perSecond);
        m_last = now;
        if (m_level < 1)
            return false;
        m_level -= 1;
        return true;
    }

private:
    std::mutex m_mutex;
    double m_level = 0;
    std::chrono::steady_clock::time_point m_last = std::chrono::steady_clock::now();
};

void fillHeader(ResponseHeader* header, std::int64_t revision)
{
    header->set_cluster_id(1);
    header->set_member_id(1);
    header->set_revision(revision);
}

void fillValue(const stored_value& value, mvccpb::KeyValue& out)
{
    out.set_key(value.key);
    out.set_value(value.value);
    out.set_create_revision(value.createRevision);
    out.set_mod_revision(value.modRevision);
    out.set_lease(value.lease);
}

grpc::Status toStatus(const failure& error)
{
    return { error.kind == failure_kind::not_found ? grpc::StatusCode::NOT_FOUND
                                                   : grpc::StatusCode::UNAVAILABLE,
        error.message };
}

/// Applies faults around each call.
class gate {
public:
    explicit gate(conditions& now)
        : m_now(now)
    {
    }

    grpc::Status enter(bool write)
    {
        (write ? m_now.writes : m_now.reads)++;
        if (m_now.down)
            return { grpc::StatusCode::UNAVAILABLE, "the service is down" };
        if (m_now.slowMs > 0)
            std::this_thread::sleep_for(milliseconds { m_now.slowMs });
        if (!(write ? m_writeLimit : m_readLimit).take(write ? m_now.writesPerSecond : m_now.readsPerSecond))
            return { grpc::StatusCode::RESOURCE_EXHAUSTED, "too many requests" };
        return grpc::Status::OK;
    }

    /// The change has been made; whether its reply gets lost.
    grpc::Status leaveWrite()
    {
        int left = m_now.loseReplies;
        while (left > 0 && !m_now.loseReplies.compare_exchange_weak(left, left - 1)) { }
        return left > 0 ? grpc::Status(grpc::StatusCode::UNAVAILABLE, "the reply was lost")
                        : grpc::Status::OK;
    }

private:
    conditions& m_now;
    rate_limit m_writeLimit;
    rate_limit m_readLimit;
};

class kv_service final : public KV::Service {
public:
    kv_service(memory_store& store, conditions& now, gate& faults)
        : m_store(store)
        , m_now(now)
        , m_gate(faults)
    {
    }

    grpc::Status Range(grpc::ServerContext*, const RangeRequest* request, RangeResponse* response) override
    {
        if (auto status = m_gate.enter(false); !status.ok())
            return status;
        return read(*request, *response);
    }

    grpc::Status Put(grpc::ServerContext*, const PutRequest* request, PutResponse* response) override
    {
        if (auto status = m_gate.enter(true); !status.ok())
            return status;
        store_transaction transaction;
        transaction.writes.push_back({ request->key(), request->value(), request->lease() });
        const auto outcome = m_store.commit(transaction);
        if (!outcome)
            return toStatus(outcome.error());
        fillHeader(response->mutable_header(), outcome.value().revision);
        return m_gate.leaveWrite();
    }

    grpc::Status DeleteRange(
        grpc::ServerContext*, const DeleteRangeRequest* request, DeleteRangeResponse* response) override
    {
        if (auto status = m_gate.enter(true); !status.ok())
            return status;
        store_transaction transaction;
        transaction.removals.push_back({ request->key(), !request->range_end().empty() });
        const auto outcome = m_store.commit(transaction);
        fillHeader(response->mutable_header(), outcome.value().revision);
        return m_gate.leaveWrite();
    }

    grpc::Status Txn(grpc::ServerContext*, const TxnRequest* request, TxnResponse* response) override
    {
        if (auto status = m_gate.enter(true); !status.ok())
            return status;
        m_now.bytes += request->ByteSizeLong();
        store_transaction transaction;
        for (const auto& compare : request->compare()) {
            if (compare.target() == Compare::MOD)
                transaction.conditions.push_back(
                    { store_condition::kind::mod_revision, compare.key(), compare.mod_revision() });
            else
                transaction.conditions.push_back(
                    { store_condition::kind::create_revision, compare.key(), compare.create_revision() });
        }
        for (const auto& operation : request->success()) {
            if (operation.has_request_put())
                transaction.writes.push_back({ operation.request_put().key(), operation.request_put().value(),
                    operation.request_put().lease() });
            else if (operation.has_request_delete_range())
                transaction.removals.push_back({ operation.request_delete_range().key(),
                    !operation.request_delete_range().range_end().empty() });
        }
        for (const auto& operation : request->failure())
            transaction.readOtherwise.push_back(operation.request_range().key());
        const auto outcome = m_store.commit(transaction);
        if (!outcome)
            return toStatus(outcome.error());
        fillHeader(response->mutable_header(), outcome.value().revision);
        response->set_succeeded(outcome.value().applied);
        for (const auto& value : outcome.value().found) {
            auto& range = *response->add_responses()->mutable_response_range();
            if (value.createRevision != 0)
                fillValue(value, *range.add_kvs());
        }
        return m_gate.leaveWrite();
    }

private:
    grpc::Status read(const RangeRequest& request, RangeResponse& response)
    {
        if (request.range_end().empty()) {
            const auto value = m_store.get(request.key()).value();
            if (value)
                fillValue(*value, *response.add_kvs());
            fillHeader(response.mutable_header(), m_store.list("\xff").value().revision);
            return grpc::Status::OK;
        }
        // Ranges are prefixes here: the first key of the range bounds the listing from below.
        std::string prefix = request.range_end();
        prefix.back() = static_cast<char>(prefix.back() - 1);
        const bool later = request.key() != prefix;
        const auto after = later ? request.key().substr(0, request.key().size() - 1) : std::string();
        const auto listing
            = m_store.list(prefix, after, static_cast<std::size_t>(request.limit()), request.keys_only())
                  .value();
        for (const auto& value : listing.values)
            fillValue(value, *response.add_kvs());
        response.set_more(listing.more);
        response.set_count(static_cast<std::int64_t>(listing.values.size()));
        fillHeader(response.mutable_header(), listing.revision);
        return grpc::Status::OK;
    }

    memory_store& m_store;
    conditions& m_now;
    gate& m_gate;
};

class lease_service final : public Lease::Service {
public:
    lease_service(memory_store& store, conditions& now, gate& faults)
        : m_store(store)
        , m_now(now)
        , m_gate(faults)
    {
    }

    grpc::Status LeaseGrant(
        grpc::ServerContext*, const LeaseGrantRequest* request, LeaseGrantResponse* response) override
    {
        if (auto status = m_gate.enter(true); !status.ok())
            return status;
        response->set_id(m_store.grantLease(std::chrono::seconds(request->ttl())).value());
        response->set_ttl(request->ttl());
        return m_gate.leaveWrite();
    }

    grpc::Status LeaseRevoke(
        grpc::ServerContext*, const LeaseRevokeRequest* request, LeaseRevokeResponse*) override
    {
        if (auto status = m_gate.enter(true); !status.ok())
            return status;
        m_store.revokeLease(request->id()).value();
        return m_gate.leaveWrite();
    }

    grpc::Status LeaseKeepAlive(grpc::ServerContext*,
        grpc::ServerReaderWriter<LeaseKeepAliveResponse, LeaseKeepAliveRequest>* stream) override
    {
        LeaseKeepAliveRequest request;
        while (stream->Read(&request)) {
            ++m_now.leases;
            if (auto status = m_gate.enter(true); !status.ok())
                return status;
            LeaseKeepAliveResponse response;
            response.set_id(request.id());
            response.set_ttl(m_store.renewLease(request.id()) ? 1 : 0);
            stream->Write(response);
        }
        return grpc::Status::OK;
    }

private:
    memory_store& m_store;
    conditions& m_now;
    gate& m_gate;
};

class watch_service final : public Watch::Service {
public:
    watch_service(memory_store& store, conditions& now)
        : m_store(store)
        , m_now(now)
    {
    }

    grpc::Status Watch(
        grpc::ServerContext* context, grpc::ServerReaderWriter<WatchResponse, WatchRequest>* stream) override
    {
        WatchRequest request;
        if (m_now.down || !stream->Read(&request) || !request.has_create_request())
            return { grpc::StatusCode::UNAVAILABLE, "the service is down" };
        ++m_now.watches;
        auto prefix = request.create_request().key();
        std::mutex mutex;
        std::condition_variable changed;
        std::deque<WatchResponse> queue;
        const auto watch = m_store.watch(
            prefix, request.create_request().start_revision(),
            [&](std::span<const store_event> events, std::int64_t revision) {
                WatchResponse response;
                fillHeader(response.mutable_header(), revision);
                for (const auto& event : events) {
                    auto& out = *response.add_events();
                    out.set_type(event.removed ? mvccpb::Event::DELETE : mvccpb::Event::PUT);
                    fillValue(event.value, *out.mutable_kv());
                }
                const std::scoped_lock lock(mutex);
                queue.push_back(std::move(response));
                changed.notify_all();
            },
            [] {});
        WatchResponse created;
        created.set_created(true);
        stream->Write(created);
        std::unique_lock lock(mutex);
        while (!context->IsCancelled() && !m_now.down) {
            changed.wait_for(lock, milliseconds { 50 }, [&] { return !queue.empty(); });
            for (; !queue.empty(); queue.pop_front())
                stream->Write(queue.front());
        }
        lock.unlock();
        --m_now.watches;
        return { grpc::StatusCode::UNAVAILABLE, "the watch has ended" };
    }

private:
    memory_store& m_store;
    conditions& m_now;
};

void control(const http_request& request, reply_sink& sink, conditions& now)
{
    const auto set = [&](const char* name, auto& field) {
        if (const auto value = queryParameter(request.query, name); !value.empty())
            field = std::atoi(value.c_str());
    };
    if (request.method == "POST") {
        if (const auto value = queryParameter(request.query, "down"); !value.empty())
            now.down = value == "true";
        set("slow_ms", now.slowMs);
        set("lose_replies", now.loseReplies);
        set("writes_per_second", now.writesPerSecond);
        set("reads_per_second", now.readsPerSecond);
    }
    const std::string body = "{\"reads\":" + std::to_string(now.reads)
        + ",\"writes\":" + std::to_string(now.writes) + ",\"renewals\":" + std::to_string(now.leases)
        + ",\"watches\":" + std::to_string(now.watches) + ",\"bytes\":" + std::to_string(now.bytes)
        + ",\"lose_replies\":" + std::to_string(now.loseReplies) + "}\n";
    sink.send({ 200, { { "Content-Type", "application/json" } }, body });
}

} // namespace

int main(int argc, char** argv)
{
    const auto signals = standin::blockStopSignals();
    TCLAP::CmdLine line("Stand-in of the platform's key-value service", ' ', "1");
    TCLAP::ValueArg<std::string> address(
        "", "listen", "host:port of the service", false, "127.0.0.1:2379", "address", line);
    TCLAP::ValueArg<int> controlPort(
        "", "control", "port for faults and counters over HTTP", false, 2380, "port", line);
    line.parse(argc, argv);

    conditions now;
    gate faults(now);
    memory_store store;
    kv_service kv(store, now, faults);
    lease_service leases(store, now, faults);
    watch_service watches(store, now);
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(address.getValue(), grpc::InsecureServerCredentials(), &port);
    builder.SetMaxReceiveMessageSize(64 << 20);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.RegisterService(&kv);
    builder.RegisterService(&leases);
    builder.RegisterService(&watches);
    const auto server = builder.BuildAndStart();
    if (!server || port == 0) {
        std::cerr << "cannot listen on " << address.getValue() << '\n';
        return 1;
    }
    std::atomic<bool> stopping { false };
    std::thread expiry([&] {
        while (!stopping) {
            std::this_thread::sleep_for(milliseconds { 100 });
            store.expireLeases(std::chrono::steady_clock::now());
        }
    });
    http_server_options options;
    options.port = static_cast<std::uint16_t>(controlPort.getValue());
    http_server controlServer(
        options, [&](const http_request& request, reply_sink& sink) { control(request, sink, now); });
    standin::waitForStop(signals);
    stopping = true;
    expiry.join();
    server->Shutdown(std::chrono::system_clock::now() + milliseconds { 200 });
    return 0;
}
