#include "fleet_fixtures.h"
#include "membership/membership.h"

#include <catch2/catch.hpp>

#include <queue>
#include <random>

#include <unistd.h>

using namespace yuccachute;

TEST_CASE("a process record can be decoded after encoding")
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

TEST_CASE("a VM is large if it has at least half the cores of the largest VM")
{
    const auto of = [](double cores) {
        return node_record { "v", node_role::entry, "z", "a", 1, false, cores };
    };
    const std::vector<node_record> zone { of(0.12), of(0.5), of(0.25), of(0) };
    CHECK(isLargeAmong(of(0.5), zone));
    CHECK(isLargeAmong(of(0.25), zone));
    CHECK(!isLargeAmong(of(0.12), zone));
    const std::vector<node_record> withoutCores { of(0), of(0) };
    CHECK(isLargeAmong(of(0), withoutCores));
}

namespace {

/// A store that refuses all calls and counts them. Optionally it answers listings.
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

/// A peer with copies from the store.
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
    bool settled = true; ///< Entries that are missing from its sections have been removed.
};

} // namespace

// Guards against requests to a target long after it has left: the store refuses an entry for seconds while
// the target leaves. The entry receives the removal from a peer, but must not assume that only the lease
// lapsed.
TEST_CASE("a process that the store refuses relies on a peer to which the store answers")
{
    // Not a TCP port, which another program could use.
    const std::string address = "unix-abstract:yuccachute-test-fleet-" + std::to_string(::getpid());
    serving_peer peer;
    peer.sections = { { "targets/", 5, { { "targets/a", "", 2 }, { "targets/b", "", 3 } } },
        { "orders/", 5, { { "orders/config", "7", 4 } } } };
    auto server = std::make_unique<rpc_server>(address, rpc_security {}, &peer, nullptr);
    event_loop loop;
    unavailable_store backend(loop);
    metrics figures;
    observed_store store(backend, figures);
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
    // The peer has just reconnected to the store: leases of entries missing from its list may have lapsed.
    peer.sections[0] = { "targets/", 12, {} };
    peer.settled = false;
    server = std::make_unique<rpc_server>(address, rpc_security {}, &peer, nullptr);
    CHECK(runUntil(
        loop, [&] { return watch.answer({}).newer.empty() && watch.targets().hasMissingTargets(); }));
    CHECK(watch.targets().targets().size() == 1);
}

namespace {

/// A store without changes that answers all calls, and waiting calls only when the test says so.
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
    /// Answers all pending waiting calls.
    void answerWaits()
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

/// A peer that follows the store for others.
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
    bool settled = true; ///< Entries that are missing from its section have been removed.
};

} // namespace

// Guards against calls of the store by every process: in a zone of 17 entries each change of the list of
// targets cost 17 calls. Also guards against an outdated list when the store refuses the zone's watchers, or
// these have died.
TEST_CASE("an entry that is not a watcher of its zone follows the store only while the watchers cannot help")
{
    const std::string address = "unix-abstract:yuccachute-test-watcher-" + std::to_string(::getpid());
    watcher_peer peer;
    auto server = std::make_unique<rpc_server>(address, rpc_security {}, &peer, nullptr);
    event_loop loop;
    idle_store backend(loop);
    // One of the two is the zone's watcher, and this process is the other one.
    const node_record one { "vm-1", node_role::entry, "z", "127.0.0.1:1", 1, false };
    const node_record other { "vm-2", node_role::entry, "z", "127.0.0.1:1", 2, false };
    const bool oneIsFirst = hashText(one.vm) > hashText(other.vm);
    auto first = oneIsFirst ? one : other;
    const auto self = oneIsFirst ? other : one;
    first.address = address;
    for (const auto& node : { first, self })
        backend.values[nodeKey(node)] = encodeNode(node);
    backend.values["targets/a"] = "";
    metrics figures;
    observed_store store(backend, figures);
    rpc_client client { {} };
    const minimal_codec codec;
    const auto ignore = [] {};
    fleet_watch watch(loop, store, client, codec, self, { {} }, { ignore, [](auto) {}, ignore, ignore });
    watch.start();
    REQUIRE(runUntil(loop, [&] { return watch.storeContact().watches; }));
    REQUIRE(runUntil(loop, [&] { return !watch.storeContact().watches; }));
    CHECK(watch.targets().targets().size() == 1);
    backend.answerWaits();
    const auto waitCalls = backend.waitCalls;
    loop.runFor(milliseconds { 1000 });
    CHECK(backend.waitCalls == waitCalls);
    // Changes come from the watcher. It has just reconnected to the store: leases of entries missing from its
    // list may have lapsed.
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
    // The store refuses the watcher.
    server.reset();
    peer.contact = { false };
    server = std::make_unique<rpc_server>(address, rpc_security {}, &peer, nullptr);
    CHECK(runUntil(loop, [&] { return backend.waitCalls > waitCalls; }));
    // The process reports that it watches the store only after the store has answered.
    CHECK(!watch.storeContact().watches);
    backend.answerWaits();
    CHECK(runUntil(loop, [&] { return watch.storeContact().watches; }));
}

namespace {

node_record entryOf(const std::string& vm, const std::string& zone, double cores)
{
    return { vm, node_role::entry, zone, vm + ":1", 1, false, cores };
}

} // namespace

// Guards against a list of processes that grows with the number of VMs: if each of 250 entries registered,
// renewed its lease and was notified of each restart, this would be an estimated third of the store's calls
// in an idle minute. The test simulates a zone of 51 entries that start at once. A registration reaches all
// copies 1.3 s later.
TEST_CASE("in a large zone a few entries register, including the larger VMs")
{
    struct step {
        milliseconds at;
        std::size_t entry;
        registration_need awaited; ///< The need found by the first check; none for the first check itself.

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

TEST_CASE("an entry is needed while too few entries that rank before it are registered")
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
    // Neither smaller VMs nor those of other zones replace a larger one.
    listed.clear();
    for (int i = 0; i < 9; ++i)
        listed.push_back(entryOf("small-" + std::to_string(i), "z", 0.12));
    CHECK(registrationNeed(entryOf("large", "z", 0.5), listed) == registration_need::urgent);
    CHECK(registrationNeed(entryOf("elsewhere", "y", 0.12), listed) == registration_need::urgent);
}

// Guards against needless calls in an outage of the store: each of 250 unregistered entries repeated three
// calls in parallel, and refused calls are charged too. Here the watcher reports that the store does not
// answer it.
TEST_CASE("an unregistered entry does not call the store in an outage while a watcher answers")
{
    const std::string address = "unix-abstract:yuccachute-test-outage-" + std::to_string(::getpid());
    watcher_peer peer;
    auto server = std::make_unique<rpc_server>(address, rpc_security {}, &peer, nullptr);
    event_loop loop;
    unavailable_store backend(loop);
    backend.listsAnswered = true;
    const node_record first { "vm-1", node_role::entry, "z", address, 1, false };
    backend.values[nodeKey(first)] = encodeNode(first);
    backend.values["orders/config"] = "7";
    metrics figures;
    observed_store store(backend, figures);
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
    CHECK(backend.refused == 0); // It has never followed the store.
    backend.listsAnswered = false;
    server.reset();
    peer.contact = { false };
    server = std::make_unique<rpc_server>(address, rpc_security {}, &peer, nullptr);
    for (int i = 0; i < 250; ++i)
        loop.runFor(milliseconds { 10 });
    CHECK(backend.refused == 0);
}

// Guards against outdated copies in a zone without watcher: in a zone of two entries, the watcher is replaced
// while the store does not answer. The other entry contacted only the dead watcher, used a configuration that
// was half a minute old, and sent requests to targets that had left.
TEST_CASE("an entry whose zone has no watcher left contacts other zones while the store does not answer")
{
    const std::string elsewhere = "unix-abstract:yuccachute-test-elsewhere-" + std::to_string(::getpid());
    watcher_peer peer;
    peer.section = { "orders/", 9, { { "orders/config", "8", 9 } } };
    const rpc_server server(elsewhere, rpc_security {}, &peer, nullptr);
    event_loop loop;
    idle_store backend(loop); // Waiting calls are never answered.
    const node_record one { "vm-1", node_role::entry, "z", "127.0.0.1:1", 1, false };
    const node_record two { "vm-2", node_role::entry, "z", "127.0.0.1:1", 2, false };
    const bool oneIsFirst = hashText(one.vm) > hashText(two.vm);
    const auto self = oneIsFirst ? two : one;
    const node_record other { "vm-3", node_role::entry, "y", elsewhere, 3, false };
    for (const auto& node : { one, two, other })
        backend.values[nodeKey(node)] = encodeNode(node);
    backend.values["orders/config"] = "7";
    metrics figures;
    observed_store store(backend, figures);
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
    CHECK(!watch.storeContact().watches); // It must not report that it watches a store that has not answered.
}

namespace {

/// Peers on slow connections: requests are counted, and answered only when the test says so.
class deferred_peers final : public peer_sync {
public:
    void sync(std::string_view address, const sync_question& question, milliseconds,
        std::function<void(result<sync_answer>)> done) override
    {
        for (const auto& section : question.known)
            fullTargetRequests += section.prefix == "targets/" && section.revision == 0 ? 1 : 0;
        pendingCalls.push_back(std::move(done));
    }
    void answerAll(const sync_answer& answer)
    {
        for (const auto& done : std::exchange(pendingCalls, {}))
            done(answer);
    }
    unsigned fullTargetRequests = 0;
    std::vector<std::function<void(result<sync_answer>)>> pendingCalls;
};

} // namespace

// Guards against saturated links after a restart of the whole fleet: each process requested the list of
// targets from several peers at once, and again four times a second while the first answers were still in
// transit. For half a minute no process knew any target.
TEST_CASE("a full copy is requested from one peer at a time")
{
    event_loop loop;
    unavailable_store backend(loop);
    metrics figures;
    observed_store store(backend, figures);
    deferred_peers peers;
    const minimal_codec codec;
    const auto ignore = [] {};
    fleet_watch watch(loop, store, peers, codec, { "vm", node_role::entry, "z", "127.0.0.1:1", 1, false },
        { { "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4" } }, { ignore, [](auto) {}, ignore, ignore });
    watch.start();
    runUntil(loop, [&] { return peers.pendingCalls.size() >= 1; });
    // The list of processes is requested first, to find peers of the same zone.
    CHECK(peers.fullTargetRequests == 0);
    sync_answer answer;
    answer.newer = { { "yuccachute/node/", 4, {} }, { "orders/", 5, { { "orders/config", "7", 4 } } } };
    peers.answerAll(answer);
    runUntil(loop, [&] { return peers.fullTargetRequests >= 1; });
    loop.runFor(milliseconds { 500 });
    CHECK(peers.fullTargetRequests == 1);
    answer.newer = { { "targets/", 5, { { "targets/a", "", 2 } } } };
    peers.answerAll(answer);
    CHECK(runUntil(loop, [&] { return watch.targets().targets().size() == 1; }));
}
