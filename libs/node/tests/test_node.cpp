#include "node/node.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <thread>

using namespace yuccachute;
using namespace std::chrono_literals;

namespace {

std::string optionsError(const std::string& text)
{
    const std::string fileName = "test_node_options.ini";
    std::ofstream(fileName) << text;
    const auto options = readProcessOptions(fileName);
    return options ? "" : options.error().message;
}

settings_tree treeOf(std::int64_t version)
{
    settings_tree tree;
    tree.version = version;
    tree.nodes["service/s"];
    for (int i = 0; i < 10; ++i)
        tree.nodes["service/s/target/t" + std::to_string(i)].values
            = { { "address", "127.0.0.1:1" }, { "zone", "a" } };
    return tree;
}

} // namespace

TEST_CASE("errors in a process's INI file name the line")
{
    const std::string good = "[process]\nvm = a\nzone = z\nhttp = 127.0.0.1:1\nseeds = x:1, y:2\n";
    CHECK(optionsError(good).empty());
    CHECK(readProcessOptions("test_node_options.ini").value().seeds
        == std::vector<std::string> { "x:1", "y:2" });
    CHECK(optionsError(good + "zonne = b\n").find("test_node_options.ini:6: [process] zonne: unknown key")
        == 0);
    CHECK(optionsError(good + "stop_limit_ms = soon\n").find(":6: [process] stop_limit_ms: \"soon\"")
        != std::string::npos);
    CHECK(optionsError("[proces]\nvm = a\n").find(":2: [proces] unknown section") != std::string::npos);
    CHECK(optionsError("[process]\nvm = a\n").find("zone: is missing") != std::string::npos);
}

// A VM that was partitioned passes its old settings to a VM that has newer ones, and undoes an accepted edit.
// The version in force must never decrease.
TEST_CASE("the settings in force never revert")
{
    settings_cell cell;
    CHECK(cell.offer(treeOf(5)));
    CHECK(!cell.offer(treeOf(4)));
    CHECK(!cell.offer(treeOf(5)));
    CHECK(cell.version() == 5);
    const auto view = cell.current();
    CHECK(view->groups.size() == 2);
    CHECK(view->groupsOf("s", "a").front()->targets.size() == targetsPerGroup);
    CHECK(cell.offer(treeOf(6)));
    CHECK(view->tree.version == 5);
    CHECK(cell.current()->tree.version == 6);
}

// Guards against edits that send the whole tree to every VM, which with thousands of customers is most of the
// control traffic, and against a VM that has missed versions and applies changes to the wrong tree.
TEST_CASE("an update from a recent version contains only the changes")
{
    settings_cell source;
    settings_cell follower;
    for (std::int64_t version = 1; version <= 20; ++version) {
        auto tree = treeOf(version);
        tree.nodes["service/s"].revision = version;
        source.offer(tree);
        if (version == 19)
            CHECK(follower.offer(*source.updateSince(follower.version())));
    }
    const auto update = source.updateSince(19);
    REQUIRE(update);
    CHECK(update->basedOn == 19);
    CHECK(update->changed.nodes.size() == 1);
    CHECK(!settings_cell().offer(*update));
    CHECK(follower.offer(*update));
    CHECK(follower.version() == 20);
    CHECK(follower.current()->tree.nodes.size() == source.current()->tree.nodes.size());
    CHECK(source.updateSince(3)->basedOn == 0);
    CHECK(!source.updateSince(20));
}

TEST_CASE("a customer is found by each of its keys")
{
    auto tree = treeOf(1);
    tree.nodes["customer/armor"].values["api_key_sha256"] = sha256Hex("one") + ',' + sha256Hex("two");
    const settings_view view(tree);
    CHECK(view.customerOf("two") == "armor");
    CHECK(!view.customerOf("three"));
    CHECK(!view.customerOf(""));
}

TEST_CASE("readers see consistent values while a writer replaces them")
{
    settings_cell cell;
    std::atomic<bool> stop { false };
    std::vector<std::thread> readers;
    std::atomic<bool> torn { false };
    for (int i = 0; i < 4; ++i) {
        readers.emplace_back([&] {
            std::int64_t last = 0;
            while (!stop) {
                const auto version = cell.current()->tree.version;
                torn = torn || version < last;
                last = version;
            }
        });
    }
    for (std::int64_t version = 1; version <= 300; ++version)
        cell.offer(treeOf(version));
    stop = true;
    for (auto& reader : readers)
        reader.join();
    CHECK(!torn);
}

namespace {

/// A dispatcher whose reaction to each request is set by the test.
class scripted_dispatcher final : public peer_handler {
public:
    void sessionOpened(std::uint64_t, std::function<void(envelope)> send) override
    {
        m_send = std::move(send);
    }
    void sessionReceived(std::uint64_t, envelope message) override
    {
        const std::scoped_lock lock(mutex);
        for (auto& request : message.asks)
            onSlotRequest(request, m_send);
        for (auto& release : message.releases)
            releases.push_back(release);
        for (auto& withdrawal : message.withdrawals)
            withdrawn.push_back(withdrawal.slotRequestId);
    }
    void sessionClosed(std::uint64_t) override { }
    gossip_message gossip(const gossip_message&) override { return {}; }
    follow_reply follow(const follow_request&) override { return {}; }
    std::optional<settings_update> pull(std::int64_t) override { return std::nullopt; }

    std::function<void(ask_message&, const std::function<void(envelope)>&)> onSlotRequest;
    std::mutex mutex;
    std::vector<release_message> releases;
    std::vector<std::uint64_t> withdrawn;

private:
    std::function<void(envelope)> m_send;
};

struct fixture {
    rpc_client client { {} };
    scripted_dispatcher dispatcher;
    std::vector<std::string> unreachable;
    grant_client grants { client,
        [](const auto&, const auto&) { return std::vector<std::string> { "local" }; },
        [this](const std::string& address) { unreachable.push_back(address); } };

    fixture() { grants.setLocal("local", dispatcher); }

    slot_request request(milliseconds wait = 5s) const
    {
        slot_request request;
        request.deadline = std::chrono::steady_clock::now() + wait;
        return request;
    }
};

} // namespace

TEST_CASE("a grant is given, revoked in the same envelope, and released")
{
    fixture f;
    f.dispatcher.onSlotRequest = [](ask_message& request, const auto& send) {
        envelope answer;
        answer.grants.push_back({ 0, request.ask.id, 7, "t", "a:1", 3ms });
        answer.revokes.push_back({ request.group, 7 });
        send(std::move(answer));
    };
    const auto grant = f.grants.acquire("g", "z", f.request());
    REQUIRE(grant);
    CHECK(grant.value().address == "a:1");
    CHECK(grant.value().revoked->requested());
    int notified = 0;
    grant.value().revoked->onRequest([&] { ++notified; });
    CHECK(notified == 1);
    f.grants.release(grant.value(), { 0, grant_outcome::ok, 1ms, 2 });
    REQUIRE(f.dispatcher.releases.size() == 1);
    CHECK(f.dispatcher.releases[0].release.grantId == 7);
}

// A dispatcher's process is frozen, but its connection stays open. Guards against callers that wait for it
// until their timeout although targets are idle: an unresponsive dispatcher must be distinguished from a
// queue.
TEST_CASE("an unresponsive dispatcher is given up soon, an acknowledged request waits in the queue")
{
    fixture f;
    f.dispatcher.onSlotRequest = [](ask_message&, const auto&) {};
    const auto unresponsive = f.grants.acquire("g", "z", f.request());
    REQUIRE(!unresponsive);
    CHECK(unresponsive.error().kind == failure_kind::unavailable);
    CHECK(f.unreachable.size() == 1);
    CHECK(f.dispatcher.withdrawn.size() == 1);
    f.dispatcher.onSlotRequest = [](ask_message& request, const auto& send) {
        envelope answer;
        answer.moved.push_back({ request.ask.id, "" });
        send(std::move(answer));
    };
    const auto queued = f.grants.acquire("g", "z", f.request(600ms));
    REQUIRE(!queued);
    CHECK(queued.error().kind == failure_kind::overloaded);
    CHECK(f.unreachable.size() == 1);
}

// A grant arrives after its caller has given up. Unless it is released, the slot at the target stays empty
// until the grant expires.
TEST_CASE("a grant that arrives too late is released at once")
{
    fixture f;
    std::uint64_t late = 0;
    std::function<void(envelope)> sendLate;
    f.dispatcher.onSlotRequest = [&](ask_message& request, const auto& send) {
        late = request.ask.id;
        sendLate = send;
    };
    CHECK(!f.grants.acquire("g", "z", f.request()));
    envelope answer;
    answer.grants.push_back({ 0, late, 9, "t", "a:1", 0ms });
    sendLate(std::move(answer));
    REQUIRE(f.dispatcher.releases.size() == 1);
    CHECK(f.dispatcher.releases[0].group == "g");
    CHECK(f.dispatcher.releases[0].release.outcome == grant_outcome::abandoned);
}
