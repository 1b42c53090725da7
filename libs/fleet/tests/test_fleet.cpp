#include "fleet_fixtures.h"
#include "membership/membership.h"

#include <catch2/catch.hpp>

#include <queue>
#include <random>

#include <unistd.h>

using namespace yuccachute;

TEST_CASE("a process's record survives the store")
{
    node_record node { "edge-a-1", node_role::batch, "a", "10.0.0.1:80", 77, true, 0.12 };
    const auto read = decodeNode(encodeNode(node));
    REQUIRE(read);
    CHECK(read.value().vm == "edge-a-1");
    CHECK(read.value().role == node_role::batch);
    CHECK(read.value().incarnation == 77);
    CHECK(read.value().leaving);
    CHECK(read.value().cores == 0.12);
    CHECK(nodeKey(node) == "yuccachute/node/batch/edge-a-1");
    CHECK(!decodeNode("{\"vm\":1}"));
    CHECK(!decodeNode("nonsense"));
}

TEST_CASE("a VM is large if it offers half of what the largest of its zone does")
{
    const auto of = [](double cores) {
        return node_record { "v", node_role::entry, "z", "a", 1, false, cores };
    };
    const std::vector<node_record> zone { of(0.12), of(0.5), of(0.25), of(0) };
    CHECK(isLargeAmong(of(0.5), zone));
    CHECK(isLargeAmong(of(0.25), zone));
    CHECK(!isLargeAmong(of(0.12), zone));
    const std::vector<node_record> untold { of(0), of(0) };
    CHECK(isLargeAmong(of(0), untold));
}

namespace {

/// A store that turns every call away and counts them. It may answer first readings.
class unavailable_store final : public async_store {
public:
    explicit unavailable_store(event_loop& loop)
        : m_loop(loop)
    {
    }
    void get(std::string_view, callback<std::optional<stored_value>> done) override
    {
        refuse(std::move(done));
    }
    void list(std::string_view prefix, callback<store_listing> done) override
    {
        if (!listsAnswered)
            return refuse(std::move(done));
        m_loop.post([done, listing = listingWithPrefix(values, prefix)] { done(listing); });
    }
    void commit(const store_transaction&, callback<commit_outcome> done) override { refuse(std::move(done)); }
    void waitForChange(std::string_view, std::int64_t, milliseconds, callback<store_changes> done) override
    {
        refuse(std::move(done));
    }
    void grantLease(milliseconds, callback<std::int64_t> done) override { refuse(std::move(done)); }
    void renewLease(std::int64_t, callback<bool> done) override { refuse(std::move(done)); }
    void endLease(std::int64_t, callback<bool> done) override { refuse(std::move(done)); }

    std::map<std::string, std::string> values;
    bool listsAnswered = false;
    unsigned refused = 0;

private:
    template <typename T> void refuse(callback<T> done)
    {
        ++refused;
        m_loop.post([done] { done(notRun(failure_kind::unavailable, "busy")); });
    }
    event_loop& m_loop;
};

/// A neighbour that the store serves.
class serving_peer final : public peer_handler {
public:
    void sessionOpened(std::uint64_t, std::function<void(envelope)>) override { }
    void sessionReceived(std::uint64_t, envelope) override { }
    void sessionClosed(std::uint64_t) override { }
    sync_answer sync(const sync_question& question) override
    {
        sync_answer answer;
        for (const auto& section : sections) {
            for (const auto& one : question.known) {
                if (one.prefix == section.prefix && one.revision < section.revision)
                    answer.newer.push_back(section);
            }
            answer.standings.push_back({ section.prefix, section.revision, settled ? section.revision : 0 });
        }
        return answer;
    }
    std::vector<section_update> sections;
    bool settled = true; ///< What is missing from its sections has gone.
};

} // namespace

// Story: the store turns an entry away for seconds. A target leaves meanwhile; the entry hears of it from a
// neighbour, takes it for a lapsed entry, and sends work to it long after it has left.
TEST_CASE("a process that the store turns away believes a neighbour that the store serves")
{
    // No port, which another program could have.
    const std::string address = "unix-abstract:yuccachute-test-fleet-" + std::to_string(::getpid());
    serving_peer peer;
    peer.sections = { { "targets/", 5, { { "targets/a", "", 2 }, { "targets/b", "", 3 } } },
        { "orders/", 5, { { "orders/config", "7", 4 } } } };
    auto server = std::make_unique<rpc_server>(address, rpc_security {}, &peer, nullptr);
    event_loop loop;
    unavailable_store closed(loop);
    metrics figures;
    observed_store store(closed, figures);
    rpc_client client { {} };
    const minimal_codec codec;
    const auto ignore = [] {};
    fleet_watch watch(loop, store, client, codec, { "vm", node_role::entry, "z", "127.0.0.1:1", 1, false },
        { { address } }, { ignore, [](auto) {}, ignore, ignore });
    watch.start();
    REQUIRE(runUntil(loop, [&] { return watch.targets().targets().size() == 2 && watch.configuration(); }));
    CHECK(watch.configuration()->version == 7);
    server.reset();
    peer.sections[0] = { "targets/", 9, { { "targets/a", "", 2 } } };
    server = std::make_unique<rpc_server>(address, rpc_security {}, &peer, nullptr);
    CHECK(runUntil(loop, [&] { return watch.targets().targets().size() == 1; }));
    server.reset();
    // The neighbour itself has just come back to the store: what its list lacks may have lapsed.
    peer.sections[0] = { "targets/", 12, {} };
    peer.settled = false;
    server = std::make_unique<rpc_server>(address, rpc_security {}, &peer, nullptr);
    CHECK(runUntil(
        loop, [&] { return watch.answer({}).newer.empty() && watch.targets().hasMissingTargets(); }));
    CHECK(watch.targets().targets().size() == 1);
}

namespace {

/// A store that answers, counts the calls that wait, and tells nothing new.
class idle_store final : public async_store {
public:
    explicit idle_store(event_loop& loop)
        : m_loop(loop)
    {
    }
    void get(std::string_view, callback<std::optional<stored_value>> done) override
    {
        m_loop.post([done] { done(std::optional<stored_value>()); });
    }
    void list(std::string_view prefix, callback<store_listing> done) override
    {
        m_loop.post([done, listing = listingWithPrefix(values, prefix)] { done(listing); });
    }
    void commit(const store_transaction&, callback<commit_outcome>) override { }
    void waitForChange(
        std::string_view, std::int64_t after, milliseconds, callback<store_changes> done) override
    {
        ++waitCalls;
        pendingCalls.push_back([done, after] { done(store_changes { {}, after }); });
    }
    void grantLease(milliseconds, callback<std::int64_t>) override { }
    void renewLease(std::int64_t, callback<bool>) override { }
    void endLease(std::int64_t, callback<bool>) override { }
    /// Lets all waiting calls return.
    void wake()
    {
        for (const auto& answer : std::exchange(pendingCalls, {}))
            m_loop.post(answer);
    }

    std::map<std::string, std::string> values;
    std::vector<std::function<void()>> pendingCalls;
    unsigned waitCalls = 0;

private:
    event_loop& m_loop;
};

/// A neighbour that follows the store for others.
class watcher_peer final : public peer_handler {
public:
    void sessionOpened(std::uint64_t, std::function<void(envelope)>) override { }
    void sessionReceived(std::uint64_t, envelope) override { }
    void sessionClosed(std::uint64_t) override { }
    sync_answer sync(const sync_question& question) override
    {
        sync_answer answer { {}, contact };
        for (const auto& one : question.known) {
            if (one.prefix == section.prefix && one.revision < section.revision)
                answer.newer.push_back(section);
            const auto revision = one.prefix == section.prefix ? section.revision : one.revision;
            answer.standings.push_back({ one.prefix, revision, settled ? revision : 0 });
        }
        return answer;
    }

    section_update section { "targets/", 0, {} };
    store_contact contact { true };
    bool settled = true; ///< What is missing from its section has gone.
};

} // namespace

// Story: in a zone of 17 entries each change of the list of targets cost 17 calls of the store. Now the
// others ask the first ones; and when the store turns those away, or they die, the others must not stay with
// an old list.
TEST_CASE(
    "an entry that is not among the first of its zone leaves the store to those, as long as it hears of them")
{
    const std::string address = "unix-abstract:yuccachute-test-watcher-" + std::to_string(::getpid());
    watcher_peer peer;
    auto server = std::make_unique<rpc_server>(address, rpc_security {}, &peer, nullptr);
    event_loop loop;
    idle_store quiet(loop);
    // Whichever of the two is first in the zone: this process is the other one.
    const node_record one { "vm-1", node_role::entry, "z", "127.0.0.1:1", 1, false };
    const node_record other { "vm-2", node_role::entry, "z", "127.0.0.1:1", 2, false };
    const bool oneIsFirst = hashText(one.vm) > hashText(other.vm);
    auto first = oneIsFirst ? one : other;
    const auto self = oneIsFirst ? other : one;
    first.address = address;
    for (const auto& node : { first, self })
        quiet.values[nodeKey(node)] = encodeNode(node);
    quiet.values["targets/a"] = "";
    metrics figures;
    observed_store store(quiet, figures);
    rpc_client client { {} };
    const minimal_codec codec;
    const auto ignore = [] {};
    fleet_watch watch(loop, store, client, codec, self, { {} }, { ignore, [](auto) {}, ignore, ignore });
    watch.start();
    REQUIRE(runUntil(loop, [&] { return watch.storeContact().watches; }));
    REQUIRE(runUntil(loop, [&] { return !watch.storeContact().watches; }));
    CHECK(watch.targets().targets().size() == 1);
    quiet.wake();
    const auto waitCalls = quiet.waitCalls;
    loop.runFor(milliseconds { 1000 });
    CHECK(quiet.waitCalls == waitCalls);
    // News come from the first entry. It has just come back to the store itself: what its list lacks may have
    // lapsed.
    server.reset();
    peer.settled = false;
    peer.section = { "targets/", 9, { { "targets/b", "", 9 } } };
    server = std::make_unique<rpc_server>(address, rpc_security {}, &peer, nullptr);
    REQUIRE(runUntil(loop, [&] { return watch.targets().targets().contains("targets/b"); }));
    loop.runFor(milliseconds { 400 });
    CHECK(watch.targets().targets().contains("targets/a"));
    server.reset();
    peer.settled = true;
    server = std::make_unique<rpc_server>(address, rpc_security {}, &peer, nullptr);
    CHECK(runUntil(loop, [&] { return !watch.targets().targets().contains("targets/a"); }));
    // The store turns the first entry away.
    server.reset();
    peer.contact = { false };
    server = std::make_unique<rpc_server>(address, rpc_security {}, &peer, nullptr);
    CHECK(runUntil(loop, [&] { return quiet.waitCalls > waitCalls; }));
    // It says so once the store has answered it, not before.
    CHECK(!watch.storeContact().watches);
    quiet.wake();
    CHECK(runUntil(loop, [&] { return watch.storeContact().watches; }));
}

namespace {

node_record entryOf(const std::string& vm, const std::string& zone, double cores)
{
    return { vm, node_role::entry, zone, vm + ":1", 1, false, cores };
}

} // namespace

// Story: each of 250 entries registered itself, renewed that, and was told of each restart of another: a
// third of the calls of the store in a quiet minute, by reckoning. Here a zone of 51 starts at once; a
// registration is in everybody's copy 1.3 s later.
TEST_CASE("of a large zone a few entries register themselves, the larger VMs among them")
{
    struct step {
        milliseconds at;
        std::size_t entry;
        registration_need awaited; ///< What it decides about; nothing if it only looks.

        bool operator>(const step& other) const { return at > other.at; }
    };
    struct registration_made {
        milliseconds at;
        node_record node;
    };
    std::minstd_rand random(1);
    const auto drawn
        = [&](milliseconds most) { return milliseconds { random() % static_cast<unsigned>(most.count()) }; };
    std::vector<node_record> entries;
    std::priority_queue<step, std::vector<step>, std::greater<>> steps;
    for (std::size_t i = 0; i < 51; ++i) {
        entries.push_back(entryOf("vm-" + std::to_string(i), "z", i < 3 ? 0.5 : 0.12));
        steps.push({ drawn(milliseconds { 300 }) + initialRegistrationDelay(entries[i].cores), i,
            registration_need::none });
    }
    std::vector<registration_made> registered;
    while (!steps.empty()) {
        const auto now = steps.top();
        steps.pop();
        std::vector<node_record> listed { entryOf("other", "y", 0.5) };
        for (const auto& earlier : registered) {
            if (earlier.at + milliseconds { 1300 } <= now.at)
                listed.push_back(earlier.node);
        }
        const auto& node = entries[now.entry];
        const auto need = registrationNeed(node, listed);
        if (need == registration_need::none)
            continue;
        if (now.awaited != registration_need::none && need >= now.awaited)
            registered.push_back({ now.at, node });
        else
            steps.push({ now.at + drawn(maxRegistrationDelay(need, node.cores)), now.entry, need });
    }
    const auto large = std::count_if(
        registered.begin(), registered.end(), [](const auto& one) { return one.node.cores == 0.5; });
    CHECK(large == 3);
    CHECK(registered.size() >= 4);
    CHECK(registered.size() <= 17);
}

TEST_CASE("an entry is needed while few that come before it are registered")
{
    std::vector<node_record> listed;
    const auto small = entryOf("small", "z", 0.12);
    CHECK(registrationNeed(small, listed) == registration_need::urgent);
    for (int i = 0; i < 4; ++i)
        listed.push_back(entryOf("large-" + std::to_string(i), "z", 0.5));
    CHECK(registrationNeed(small, listed) == registration_need::none);
    listed.back().leaving = true;
    CHECK(registrationNeed(small, listed) == registration_need::spare);
    listed.resize(1);
    CHECK(registrationNeed(small, listed) == registration_need::urgent);
    // Small ones do not make a larger one needless, nor do those of other zones.
    listed.clear();
    for (int i = 0; i < 9; ++i)
        listed.push_back(entryOf("small-" + std::to_string(i), "z", 0.12));
    CHECK(registrationNeed(entryOf("large", "z", 0.5), listed) == registration_need::urgent);
    CHECK(registrationNeed(entryOf("elsewhere", "y", 0.12), listed) == registration_need::urgent);
}

// Story: the store is down for some seconds. Each of 250 entries that follow others asked it three times at
// once, again and again; each refused call is priced. Here those that follow it say that it does not answer.
TEST_CASE("an entry that nobody relies on leaves an outage of the store to those that follow it")
{
    const std::string address = "unix-abstract:yuccachute-test-outage-" + std::to_string(::getpid());
    watcher_peer peer;
    auto server = std::make_unique<rpc_server>(address, rpc_security {}, &peer, nullptr);
    event_loop loop;
    unavailable_store closed(loop);
    closed.listsAnswered = true;
    const node_record first { "vm-1", node_role::entry, "z", address, 1, false };
    closed.values[nodeKey(first)] = encodeNode(first);
    closed.values["orders/config"] = "7";
    metrics figures;
    observed_store store(closed, figures);
    rpc_client client { {} };
    const minimal_codec codec;
    const auto ignore = [] {};
    fleet_options options;
    options.startupGrace = milliseconds { 3000 };
    fleet_watch watch(loop, store, client, codec, { "vm-2", node_role::entry, "z", "127.0.0.1:1", 1, false },
        options, { ignore, [](auto) {}, ignore, ignore });
    watch.start();
    for (int i = 0; i < 30; ++i)
        loop.runFor(milliseconds { 10 });
    REQUIRE(watch.configuration());
    CHECK(closed.refused == 0); // It has not followed the store for a moment.
    closed.listsAnswered = false;
    server.reset();
    peer.contact = { false };
    server = std::make_unique<rpc_server>(address, rpc_security {}, &peer, nullptr);
    for (int i = 0; i < 250; ++i)
        loop.runFor(milliseconds { 10 });
    CHECK(closed.refused == 0);
}

// Story: in a zone of two entries the one that follows the store is replaced while the store is silent. The
// other asked only its dead neighbour, served callers by a configuration that was half a minute old, and sent
// requests to targets that had left.
TEST_CASE("an entry whose zone has nobody left that follows the store asks others while the store is silent")
{
    const std::string elsewhere = "unix-abstract:yuccachute-test-elsewhere-" + std::to_string(::getpid());
    watcher_peer peer;
    peer.section = { "orders/", 9, { { "orders/config", "8", 9 } } };
    const rpc_server server(elsewhere, rpc_security {}, &peer, nullptr);
    event_loop loop;
    idle_store unresponsive(loop); // Waits are never answered.
    const node_record one { "vm-1", node_role::entry, "z", "127.0.0.1:1", 1, false };
    const node_record two { "vm-2", node_role::entry, "z", "127.0.0.1:1", 2, false };
    const bool oneIsFirst = hashText(one.vm) > hashText(two.vm);
    const auto self = oneIsFirst ? two : one;
    const node_record other { "vm-3", node_role::entry, "y", elsewhere, 3, false };
    for (const auto& node : { one, two, other })
        unresponsive.values[nodeKey(node)] = encodeNode(node);
    unresponsive.values["orders/config"] = "7";
    metrics figures;
    observed_store store(unresponsive, figures);
    rpc_client client { {} };
    const minimal_codec codec;
    const auto ignore = [] {};
    fleet_options options;
    options.startupGrace = milliseconds { 300 };
    fleet_watch watch(loop, store, client, codec, self, options, { ignore, [](auto) {}, ignore, ignore });
    watch.start();
    for (int i = 0; i < 400 && !(watch.configuration() && watch.configuration()->version == 8); ++i)
        loop.runFor(milliseconds { 10 });
    REQUIRE(watch.configuration());
    CHECK(watch.configuration()->version == 8);
    CHECK(!watch.storeContact().watches); // It must not claim to follow a store that has not answered it.
}

namespace {

/// Peers on slow links: what they are asked is counted, and answered only when the test says so.
class deferred_peers final : public peer_sync {
public:
    void sync(std::string_view address, const sync_question& question, milliseconds,
        std::function<void(result<sync_answer>)> done) override
    {
        for (const auto& section : question.known)
            wholeTargets += section.prefix == "targets/" && section.revision == 0 ? 1 : 0;
        pendingCalls.push_back(std::move(done));
    }
    void answerAll(const sync_answer& answer)
    {
        for (const auto& done : std::exchange(pendingCalls, {}))
            done(answer);
    }
    unsigned wholeTargets = 0;
    std::vector<std::function<void(result<sync_answer>)>> pendingCalls;
};

} // namespace

// Story: a whole fleet starts again. Each process asks several peers at once for the list of targets, and
// asks again four times a second while the first answers are still on their way. The links of those that are
// asked never get free, and callers wait for half a minute until anybody knows a target.
TEST_CASE("a whole copy is asked for from one peer at a time")
{
    event_loop loop;
    unavailable_store closed(loop);
    metrics figures;
    observed_store store(closed, figures);
    deferred_peers peers;
    const minimal_codec codec;
    const auto ignore = [] {};
    fleet_watch watch(loop, store, peers, codec, { "vm", node_role::entry, "z", "127.0.0.1:1", 1, false },
        { { "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4" } }, { ignore, [](auto) {}, ignore, ignore });
    watch.start();
    runUntil(loop, [&] { return peers.pendingCalls.size() >= 1; });
    CHECK(peers.wholeTargets == 0); // Which peers are of its zone is asked first.
    sync_answer answer;
    answer.newer = { { "yuccachute/node/", 4, {} }, { "orders/", 5, { { "orders/config", "7", 4 } } } };
    peers.answerAll(answer);
    runUntil(loop, [&] { return peers.wholeTargets >= 1; });
    loop.runFor(milliseconds { 500 });
    CHECK(peers.wholeTargets == 1);
    answer.newer = { { "targets/", 5, { { "targets/a", "", 2 } } } };
    peers.answerAll(answer);
    CHECK(runUntil(loop, [&] { return watch.targets().targets().size() == 1; }));
}
