#include "rpc/rpc.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>

using namespace yuccachute;
using namespace std::chrono_literals;

namespace {

/// Grants every slot request, with the id of the request, and records the open sessions.
class granting_handler final : public peer_handler {
public:
    void sessionOpened(std::uint64_t session, std::function<void(envelope)> send) override
    {
        const std::scoped_lock lock(mutex);
        senders[session] = std::move(send);
    }
    void sessionReceived(std::uint64_t session, envelope message) override
    {
        envelope answer;
        for (const auto& ask : message.asks)
            answer.grants.push_back({ session, ask.ask.id, ask.ask.id, "t", "a", 0ms });
        std::function<void(envelope)> send;
        {
            const std::scoped_lock lock(mutex);
            send = senders.at(session);
        }
        send(std::move(answer));
    }
    void sessionClosed(std::uint64_t session) override
    {
        const std::scoped_lock lock(mutex);
        senders.erase(session);
        changed.notify_all();
    }
    gossip_message gossip(const gossip_message& message) override { return message; }
    follow_reply follow(const follow_request& request) override
    {
        follow_reply reply;
        reply.members.push_back({ request.vm, "z", "", request.batchAddress, "", 1, 1, false, 0, 0 });
        return reply;
    }
    std::optional<settings_update> pull(std::int64_t newerThan) override
    {
        settings_update update;
        update.changed.version = 5;
        if (newerThan >= 5)
            return std::nullopt;
        return update;
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::uint64_t, std::function<void(envelope)>> senders;
};

class refusing_jobs final : public jobs_handler {
public:
    void adopt(std::string_view id) override { adopted = id; }
    std::string adopted;
    result<job_view> submit(submit_request request) override
    {
        return notRun(failure_kind::bad_request, "line 3: " + request.customer, 250ms);
    }
    result<job_view> describe(std::string_view, std::string_view id) override
    {
        return job_view { std::string(id), "s", "running", 3, 2, 1, 4, 5, 6, true };
    }
    result<results_page> results(std::string_view, std::string_view, std::uint64_t cursor) override
    {
        return results_page { "{}\n", cursor + 1, true };
    }
    result<job_view> cancel(std::string_view, std::string_view) override
    {
        return mayHaveRun(failure_kind::timeout, "store");
    }
};

constexpr auto address = "unix-abstract:yuccachute-test-rpc";

} // namespace

TEST_CASE("grants are delivered over one stream, and both ends are notified when it closes")
{
    granting_handler handler;
    rpc_server server(address, {}, &handler, nullptr);
    rpc_client client({});
    std::mutex mutex;
    std::condition_variable changed;
    std::size_t granted = 0;
    bool closed = false;
    auto link = client.open(
        address,
        [&](envelope message) {
            const std::scoped_lock lock(mutex);
            granted += message.grants.size();
            changed.notify_all();
        },
        [&] {
            const std::scoped_lock lock(mutex);
            closed = true;
            changed.notify_all();
        });
    for (std::uint64_t id = 1; id <= 1000; ++id) {
        envelope message;
        message.asks.push_back({ "g", {} });
        message.asks.back().ask.id = id;
        link->send(std::move(message));
    }
    std::unique_lock lock(mutex);
    REQUIRE(changed.wait_for(lock, 20s, [&] { return granted == 1000; }));
    link.reset();
    REQUIRE(changed.wait_for(lock, 20s, [&] { return closed; }));
    std::unique_lock serverLock(handler.mutex);
    CHECK(handler.changed.wait_for(serverLock, 20s, [&] { return handler.senders.empty(); }));
}

TEST_CASE("unary calls transmit values, and failures with verdict and retry delay")
{
    granting_handler handler;
    refusing_jobs jobs;
    rpc_server server(address, {}, &handler, &jobs);
    rpc_client client({});
    const member_info self { "vm", "z", "a", "", "", 1, 2, false, 3, 0 };
    const auto echoed = client.gossip(address, { "z", { heartbeatOf(self) }, { self }, { 5 } }, 5s);
    REQUIRE(echoed);
    CHECK(echoed.value().members.at(0).settingsVersion == 3);
    CHECK(echoed.value().notes.at(0).heartbeat == 2);
    CHECK(client.follow(address, { "vm", "b", "", 0 }, 5s).value().members.at(0).batchAddress == "b");
    CHECK(client.pull(address, 4, 5s).value()->changed.version == 5);
    CHECK(!client.pull(address, 5, 5s).value());
    CHECK(client.adopt(address, "j9", 5s));
    CHECK(jobs.adopted == "j9");
    const auto refused = client.submit(address, { "armor", "s", "", 0ms, "" }, 5s);
    REQUIRE(!refused);
    CHECK(refused.error().ran == verdict::not_run);
    CHECK(refused.error().message == "line 3: armor");
    CHECK(refused.error().retryAfter == 250ms);
    CHECK(client.describe(address, "c", "j1", 5s).value().failed == 1);
    CHECK(client.results(address, "c", "j1", 7, 5s).value().nextCursor == 8);
    CHECK(client.cancel(address, "c", "j1", 5s).error().ran == verdict::may_have_run);
    CHECK(client.describe("127.0.0.1:1", "c", "j1", 300ms).error().ran == verdict::may_have_run);
}

// Guards against a SIGABRT in gRPC while an entry process stops: it destroyed its client while a grant stream
// was still closing. The last callback of the stream then released the last channel, and with it the
// completion queue on whose thread the callback ran.
TEST_CASE("a client outlives its streams and calls, so that no callback releases the last channel")
{
    for (int round = 0; round < 20; ++round) {
        std::atomic<int> closed { 0 };
        std::atomic<int> answered { 0 };
        std::shared_ptr<dispatcher_link> handleOutlivingClient;
        {
            rpc_client client({});
            auto dropped = client.open(
                "127.0.0.1:1", [](envelope) {}, [&] { ++closed; });
            handleOutlivingClient = client.open(
                "127.0.0.1:1", [](envelope) {}, [&] { ++closed; });
            client.sync("127.0.0.1:1", {}, 20s, [&](const auto&) { ++answered; });
            dropped.reset();
        }
        REQUIRE(closed == 2);
        REQUIRE(answered == 1);
        CHECK(!handleOutlivingClient->alive());
        handleOutlivingClient->send({});
    }
}
