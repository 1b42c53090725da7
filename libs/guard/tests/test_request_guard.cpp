#include "guard/guard.h"
#include "support/whole_list.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace yuccachute;

namespace {

constexpr request_identity harmfulRequest { 1, 1 };
constexpr request_identity other { 2, 2 };
constexpr prompt_part commonPart { 1 };
constexpr prompt_part harmfulPart { 2 };
const std::vector<prompt_part> harmfulPrompt { commonPart, harmfulPart };
const std::vector<prompt_part> soundPrompt { commonPart };

guarded_request withPrompt(const std::vector<prompt_part>& parts)
{
    return { std::nullopt, parts };
}

/// Targets that refuse connections or respond, as the test sets.
class scripted_loads final : public load_report_source {
public:
    void ask(const std::string&, callback done) override
    {
        if (refuses)
            done(notRun(failure_kind::unavailable, "connection refused"));
        else
            done(load_report {});
    }
    void askStart(const std::string& address, const std::string&, callback done) override
    {
        ask(address, std::move(done));
    }
    bool refuses = true;
};

struct entry {
    explicit entry(event_loop& loop)
        : guard(loop, loads, processMetrics)
    {
        whole_list::value_map targets;
        for (const auto* name : { "t1", "t2", "t3", "t4" }) {
            listed_target target;
            target.id = name;
            target.address = name;
            targets.emplace(name, target);
        }
        const auto now = std::chrono::steady_clock::now();
        const auto changes = listed.changesTo(targets, now);
        guard.setTargets(listed.directory(), changes, now);
    }
    void end(const request_identity& identity, const std::string& target = "t1")
    {
        guard.aborted({ identity, guard.record(identity), { target, target }, {}, 0 }, nullptr);
    }

    /// A target terminates under a request that no other resembles but in these parts of its prompt.
    void endUnder(const std::vector<prompt_part>& parts, const std::string& target, std::uint64_t events = 0)
    {
        const request_identity unique { 100, ++requests };
        guard.aborted({ unique, guard.record(unique), { target, target }, parts, events }, nullptr);
    }
    std::uint64_t requests = 0;

    scripted_loads loads;
    metrics processMetrics;
    whole_list listed;
    request_guard guard;
};

/// In-process peers: maps each address to the replicator of another entry.
class linked_peers final : public peer_sync {
public:
    void sync(std::string_view address, const sync_question& question, milliseconds,
        std::function<void(result<sync_answer>)> done) override
    {
        ++calls;
        const auto found = peers.find(std::string(address));
        if (found == peers.end())
            return done(mayHaveRun(failure_kind::timeout, "no answer"));
        sync_answer answer;
        found->second->answer(question, answer);
        done(answer);
    }
    std::map<std::string, suspect_replicator*> peers;
    int calls = 0;
};

struct replicating_entry : entry {
    replicating_entry(event_loop& loop, std::vector<std::string> peerAddresses)
        : entry(loop)
        , replicator(loop, links, guard, [peerAddresses] { return peerAddresses; })
    {
        guard.onChange([this](const suspect_report& change) { replicator.broadcast(change); });
    }
    void syncWith(const std::string& address)
    {
        replicator.sync(address, {}, milliseconds { 100 }, [](const auto&) {});
    }

    linked_peers links;
    suspect_replicator replicator;
};

/// An in-memory store that can be made to fail.
class fake_store final : public async_store {
public:
    void get(std::string_view, callback<std::optional<stored_value>>) override { }
    void list(std::string_view, callback<store_listing> done) override
    {
        if (down)
            return done(notRun(failure_kind::unavailable, "down"));
        store_listing listing;
        for (const auto& [key, value] : values)
            listing.values.push_back(value);
        done(listing);
    }
    void commit(const store_transaction& transaction, callback<commit_outcome> done) override
    {
        ++commits;
        if (down)
            return done(notRun(failure_kind::unavailable, "down"));
        commit_outcome outcome;
        outcome.applied = std::all_of(
            transaction.conditions.begin(), transaction.conditions.end(), [&](const auto& condition) {
                const auto found = values.find(condition.key);
                return condition.what == store_condition::kind::absent
                    ? found == values.end()
                    : found != values.end() && found->second.modRevision == condition.revision;
            });
        if (outcome.applied)
            ++revision;
        for (const auto& write : transaction.writes) {
            if (outcome.applied)
                values[write.key] = { write.key, write.value, revision, revision, write.lease };
            else if (values.contains(write.key))
                outcome.found.push_back(values.at(write.key));
        }
        outcome.revision = revision;
        const bool lost = std::exchange(loseReply, false);
        if (lost)
            return done(mayHaveRun(failure_kind::timeout, "lost"));
        done(outcome);
    }
    void waitForChange(std::string_view, std::int64_t, milliseconds, callback<store_changes>) override { }
    void grantLease(milliseconds, callback<std::int64_t> done) override
    {
        if (down)
            return done(notRun(failure_kind::unavailable, "down"));
        done(std::int64_t { 7 });
    }
    void renewLease(std::int64_t, callback<bool>) override { }
    void endLease(std::int64_t, callback<bool>) override { }

    std::map<std::string, stored_value> values;
    std::int64_t revision = 1;
    int commits = 0;
    bool down = false;
    bool loseReply = false;
};

struct archiving_entry : entry {
    archiving_entry(event_loop& loop, async_store& store)
        : entry(loop)
        , archive(loop, store, guard)
    {
        guard.onChange([this](const suspect_report& change) { archive.save(change); });
    }
    suspect_archive archive;
};

} // namespace

TEST_CASE("a request is refused at once after its third crashed target, with a retry delay")
{
    event_loop loop;
    entry one(loop);
    CHECK_FALSE(one.guard.hasSuspects());
    for (const auto* target : { "t1", "t2", "t3" }) {
        CHECK_FALSE(one.guard.admit(harmfulRequest).refusal);
        one.end(harmfulRequest, target);
    }
    const auto admission = one.guard.admit(harmfulRequest);
    REQUIRE(admission.refusal);
    CHECK(admission.refusal->ran == verdict::not_run);
    CHECK(httpStatus(admission.refusal->kind) == 429);
    CHECK(admission.refusal->retryAfter > std::chrono::minutes { 4 });
    CHECK_FALSE(one.guard.admit(other).refusal);
}

// Guards against the refusal of all requests with a sound part that they share, because targets end under one
// of them before the next whole answer.
TEST_CASE("ends under one request are not counted again against a part that others were answered with")
{
    event_loop loop;
    entry one(loop);
    one.guard.answered(withPrompt(soundPrompt));
    for (const auto* target : { "t1", "t2", "t3", "t4" })
        one.guard.aborted(
            { harmfulRequest, one.guard.record(harmfulRequest), { target, target }, soundPrompt, 0 },
            nullptr);
    CHECK(one.guard.admit(harmfulRequest).refusal);
    CHECK_FALSE(one.guard.admit(withPrompt(soundPrompt)).refusal);
    CHECK_FALSE(one.guard.isSuspected(withPrompt(soundPrompt)));
    // Other requests still count, each once.
    for (const auto* target : { "t1", "t2", "t3" })
        one.endUnder(soundPrompt, target);
    CHECK(one.guard.admit(withPrompt(soundPrompt)).refusal);
}

TEST_CASE("a target that keeps running is no strike")
{
    event_loop loop;
    entry one(loop);
    one.loads.refuses = false;
    for (int i = 0; i < 5; ++i)
        one.end(harmfulRequest);
    CHECK_FALSE(one.guard.hasSuspects());
}

// Three callers sent a request to one entry at the same moment. The request had crashed two targets, and each
// run crashed one more before the entry knew of the first crash.
TEST_CASE("a suspected request has one run at a time")
{
    event_loop loop;
    entry one(loop);
    one.end(harmfulRequest, "t1");
    one.end(harmfulRequest, "t2");
    auto first = one.guard.admit(harmfulRequest);
    CHECK_FALSE(first.refusal);
    CHECK(first.runningTrial);
    const auto second = one.guard.admit(harmfulRequest);
    REQUIRE(second.refusal);
    CHECK(second.refusal->retryAfter.count() > 0);
    first.runningTrial.reset();
    CHECK_FALSE(one.guard.admit(harmfulRequest).refusal);
}

// A request was sent again to another entry a fifth of a second later. The record of the first entry had not
// arrived there yet, and two more targets crashed.
TEST_CASE("a change that an entry observes is sent to the others at once")
{
    event_loop loop;
    replicating_entry left(loop, { "right" });
    replicating_entry right(loop, { "left" });
    left.links.peers["right"] = &right.replicator;
    right.links.peers["left"] = &left.replicator;
    left.end(harmfulRequest, "t1");
    left.end(harmfulRequest, "t2");
    loop.runFor(milliseconds { 50 });
    CHECK(right.guard.record(harmfulRequest).strikes == 2);
    right.guard.answered(harmfulRequest);
    loop.runFor(milliseconds { 50 });
    CHECK(left.guard.record(harmfulRequest) == strike_record { 1, 0 });
}

// A zone is partitioned while a request crashes targets on the other side. Once the link is back, its entries
// must get the record with the next sync, whichever side starts it.
TEST_CASE("entries get the records that they missed during a network partition with the next sync")
{
    for (const bool askerKnows : { false, true }) {
        event_loop loop;
        replicating_entry left(loop, {});
        replicating_entry right(loop, {});
        left.links.peers["right"] = &right.replicator;
        right.links.peers["left"] = &left.replicator;
        left.end(harmfulRequest);
        loop.runFor(milliseconds { 20 });
        if (askerKnows)
            left.syncWith("right");
        else
            right.syncWith("left");
        loop.runFor(milliseconds { 20 });
        CHECK(right.guard.record(harmfulRequest).strikes == 1);
        const int calls = left.links.calls + right.links.calls;
        left.syncWith("right");
        right.syncWith("left");
        loop.runFor(milliseconds { 20 });
        CHECK(left.links.calls + right.links.calls
            == calls + 2); // Nothing more is sent if both have the record.
    }
}

TEST_CASE("records of two strikes are stored, and loaded by processes that start")
{
    event_loop loop;
    fake_store store;
    archiving_entry left(loop, store);
    left.end(other);
    loop.runFor(milliseconds { 100 });
    CHECK(store.commits == 0); // One strike: most probably the target terminated for another reason.
    left.end(harmfulRequest, "t1");
    left.end(harmfulRequest, "t2");
    left.end(harmfulRequest, "t3");
    loop.runFor(milliseconds { 100 });
    CHECK(store.commits == 1);

    archiving_entry right(loop, store);
    bool loaded = false;
    right.archive.load([&] { loaded = true; });
    CHECK(loaded);
    CHECK(right.guard.admit(harmfulRequest).refusal);
    right.guard.answered(harmfulRequest);
    loop.runFor(milliseconds { 100 });
    archiving_entry third(loop, store);
    third.archive.load([] {});
    CHECK_FALSE(third.guard.admit(harmfulRequest).refusal);
}

// Two entries write their records of one request at the same time, and a reply of the store is lost. The
// record with more strikes has to remain.
TEST_CASE("of the records that several processes store for a request, the worst one remains")
{
    event_loop loop;
    fake_store store;
    archiving_entry left(loop, store);
    archiving_entry right(loop, store);
    right.end(harmfulRequest, "t1");
    right.end(harmfulRequest, "t2");
    loop.runFor(milliseconds { 100 });
    store.loseReply = true;
    for (const auto* target : { "t1", "t2", "t3" })
        left.end(harmfulRequest, target);
    loop.runFor(milliseconds { 1300 });
    archiving_entry third(loop, store);
    third.archive.load([] {});
    CHECK(third.guard.record(harmfulRequest).strikes == 3);
}

TEST_CASE("a stored record keeps its age, and decoding errors name the invalid part")
{
    const suspect_report report { harmfulRequest, { 1, 2 }, milliseconds { 5000 } };
    const auto key = "yuccachute/suspect/" + toString(harmfulRequest);
    const auto document = encodeSuspect(report, 100000);
    const auto read = decodeSuspect(key, document, 103000);
    REQUIRE(read);
    CHECK(read.value().identity == harmfulRequest);
    CHECK(read.value().record == report.record);
    CHECK(read.value().age == milliseconds { 8000 });
    CHECK(decodeSuspect(key, document, 0).value().age == milliseconds { 0 }); // The clock jumped back.
    CHECK(decodeSuspect("yuccachute/suspect/x", document, 0).error().message.find("identity")
        != std::string::npos);
    CHECK(decodeSuspect(key, "{}", 0).error().message.find("acquittals") != std::string::npos);
    CHECK(decodeSuspect(key, "[", 0).error().message.find("JSON") != std::string::npos);
}

// Guards against requests that share a part of their prompts only and end one target after the other.
TEST_CASE("requests with a part that crashed three targets are refused at once, and others are not")
{
    event_loop loop;
    entry one(loop);
    one.guard.answered(withPrompt(soundPrompt));
    for (const auto* target : { "t1", "t2", "t3" }) {
        CHECK_FALSE(one.guard.admit(withPrompt(harmfulPrompt)).refusal);
        one.endUnder(harmfulPrompt, target);
    }
    const auto admission = one.guard.admit(withPrompt(harmfulPrompt));
    REQUIRE(admission.refusal);
    CHECK(admission.refusal->ran == verdict::not_run);
    CHECK(httpStatus(admission.refusal->kind) == 429);
    CHECK(admission.refusal->retryAfter > std::chrono::seconds { 50 });
    CHECK_FALSE(one.guard.admit(withPrompt(soundPrompt)).refusal);
    CHECK(one.guard.isSuspected(withPrompt(harmfulPrompt)));
    CHECK_FALSE(one.guard.isSuspected(withPrompt(soundPrompt)));
}

TEST_CASE("a run that had an event is no evidence against the parts of its prompt")
{
    event_loop loop;
    entry one(loop);
    for (const auto* target : { "t1", "t2", "t3", "t4" })
        one.endUnder(harmfulPrompt, target, 1);
    CHECK_FALSE(one.guard.hasStrikes(harmfulPrompt));
}

// Guards against requests that were admitted before anything was known, and are sent when it is.
TEST_CASE("a suspected part has one run at a time, and one that waited is refused when the part is")
{
    event_loop loop;
    entry one(loop);
    one.guard.answered(withPrompt(soundPrompt));
    one.endUnder(harmfulPrompt, "t1");
    one.endUnder(harmfulPrompt, "t2");
    auto first = one.guard.admit(withPrompt(harmfulPrompt));
    CHECK_FALSE(first.refusal);
    CHECK(first.runningTrial);
    CHECK(one.guard.admit(withPrompt(harmfulPrompt)).refusal);
    CHECK_FALSE(one.guard.admit(withPrompt(harmfulPrompt), first.runningTrial).refusal);
    one.endUnder(harmfulPrompt, "t3");
    CHECK(one.guard.admit(withPrompt(harmfulPrompt), first.runningTrial).refusal);
}

TEST_CASE("what is known of a prompt part reaches other entries at once, and processes that start")
{
    event_loop loop;
    fake_store store;
    replicating_entry left(loop, { "right" });
    replicating_entry right(loop, { "left" });
    left.links.peers["right"] = &right.replicator;
    right.links.peers["left"] = &left.replicator;
    left.endUnder(harmfulPrompt, "t1");
    right.endUnder(harmfulPrompt, "t2");
    left.endUnder(harmfulPrompt, "t3");
    loop.runFor(milliseconds { 50 });
    CHECK(right.guard.admit(withPrompt(harmfulPrompt)).refusal);
    CHECK(left.guard.admit(withPrompt(harmfulPrompt)).refusal);

    archiving_entry stored(loop, store);
    stored.guard.answered(withPrompt(soundPrompt));
    for (const auto* target : { "t1", "t2", "t3" })
        stored.endUnder(harmfulPrompt, target);
    loop.runFor(milliseconds { 100 });
    CHECK(store.commits == 1);
    archiving_entry started(loop, store);
    started.archive.load([] {});
    CHECK(started.guard.admit(withPrompt(harmfulPrompt)).refusal);
    CHECK_FALSE(started.guard.admit(withPrompt(soundPrompt)).refusal);
}

// Guards against one trial in each process instead of one in the fleet.
TEST_CASE("of all processes one may run a request with a refused part when its time has passed")
{
    event_loop loop;
    fake_store store;
    const auto key = "yuccachute/suspect/" + toString(identityOf(harmfulPart));
    const suspect_report old { identityOf(harmfulPart), { 0, 3 }, std::chrono::minutes { 2 }, { 1, 2, 3 },
        0 };
    store.values[key] = { key, encodeSuspect(old, wallClockMs()), 1, 1, 7 };
    const auto claiming = [](archiving_entry& one) {
        one.guard.claimTrialsBy([&one](const suspect_report& claimed, std::function<void(bool)> done) {
            one.archive.claim(claimed, std::move(done));
        });
        one.archive.load([] {});
    };
    archiving_entry left(loop, store);
    archiving_entry right(loop, store);
    claiming(left);
    claiming(right);
    int runs = 0;
    std::vector<std::shared_ptr<request_guard::trial>> running;
    for (int i = 0; i < 10; ++i) {
        for (auto* one : { &left, &right }) {
            auto admission = one->guard.admit(withPrompt(harmfulPrompt));
            runs += admission.refusal ? 0 : 1;
            running.push_back(std::move(admission.runningTrial));
        }
        loop.runFor(milliseconds { 5 });
    }
    CHECK(runs == 1);
    CHECK(store.commits >= 1);
    left.guard.answered(withPrompt(harmfulPrompt));
    CHECK_FALSE(left.guard.admit(withPrompt(harmfulPrompt)).refusal);
}

TEST_CASE("no refused part runs while the store is unreachable")
{
    event_loop loop;
    fake_store store;
    const auto key = "yuccachute/suspect/" + toString(identityOf(harmfulPart));
    const suspect_report old { identityOf(harmfulPart), { 0, 3 }, std::chrono::minutes { 2 }, { 1, 2, 3 },
        0 };
    store.values[key] = { key, encodeSuspect(old, wallClockMs()), 1, 1, 7 };
    archiving_entry one(loop, store);
    one.guard.claimTrialsBy([&one](const suspect_report& claimed, std::function<void(bool)> done) {
        one.archive.claim(claimed, std::move(done));
    });
    one.archive.load([] {});
    store.down = true;
    for (int i = 0; i < 5; ++i) {
        CHECK(one.guard.admit(withPrompt(harmfulPrompt)).refusal);
        loop.runFor(milliseconds { 5 });
    }
}

TEST_CASE("a stored record of a prompt part is read as written, and decoding errors name the invalid field")
{
    const suspect_report report { identityOf(harmfulPart), { 1, 2 }, milliseconds { 5000 }, { 7, 9 }, 1 };
    const auto key = "yuccachute/suspect/" + toString(report.identity);
    const auto read = decodeSuspect(key, encodeSuspect(report, 100000), 100000);
    REQUIRE(read);
    CHECK(read.value().targets == report.targets);
    CHECK(read.value().trials == 1);
    const std::string start = R"({"acquittals":0,"strikes":1,"changed_ms":1)";
    CHECK(decodeSuspect(key, start + "}", 1).error().message.find("targets") != std::string::npos);
    CHECK(decodeSuspect(key, start + R"(,"targets":[1]})", 1).error().message.find("trials")
        != std::string::npos);
}
