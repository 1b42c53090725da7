#include "guard/guard.h"
#include "support/whole_list.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace yuccachute;

namespace {

constexpr request_identity guilty { 1, 1 };
constexpr request_identity other { 2, 2 };

/// Targets that refuse connections, or answer.
class scripted_loads final : public load_report_source {
public:
    void ask(const std::string&, callback done) override
    {
        if (refuses)
            done(notRun(failure_kind::unavailable, "connection refused"));
        else
            done(load_report {});
    }
    bool refuses = true;
};

struct entry {
    explicit entry(event_loop& loop)
        : guard(loop, loads, figures)
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
        guard.aborted(identity, guard.record(identity), { target, target }, nullptr);
    }

    scripted_loads loads;
    metrics figures;
    whole_list listed;
    request_guard guard;
};

/// Peers as functions: each address leads to the spread of another entry.
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

struct spreading_entry : entry {
    spreading_entry(event_loop& loop, std::vector<std::string> told)
        : entry(loop)
        , replicator(loop, links, guard, [told] { return told; })
    {
        guard.onNews([this](const suspect_report& news) { replicator.tell(news); });
    }
    void ask(const std::string& address)
    {
        replicator.sync(address, {}, milliseconds { 100 }, [](const auto&) {});
    }

    linked_peers links;
    suspect_replicator replicator;
};

/// A store of single keys that can fail.
class kept_values final : public async_store {
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
        const bool lost = std::exchange(loseAnswer, false);
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
    bool loseAnswer = false;
};

struct archiving_entry : entry {
    archiving_entry(event_loop& loop, async_store& store)
        : entry(loop)
        , archive(loop, store, guard)
    {
        guard.onNews([this](const suspect_report& news) { archive.save(news); });
    }
    suspect_archive archive;
};

} // namespace

TEST_CASE("a request is refused at once after its third target, and says when to come back")
{
    event_loop loop;
    entry one(loop);
    CHECK_FALSE(one.guard.hasSuspects());
    for (const auto* target : { "t1", "t2", "t3" }) {
        CHECK_FALSE(one.guard.admit(guilty).refusal);
        one.end(guilty, target);
    }
    const auto admission = one.guard.admit(guilty);
    REQUIRE(admission.refusal);
    CHECK(admission.refusal->ran == verdict::not_run);
    CHECK(httpStatus(admission.refusal->kind) == 429);
    CHECK(admission.refusal->retryAfter > std::chrono::minutes { 4 });
    CHECK_FALSE(one.guard.admit(other).refusal);
}

TEST_CASE("a target that lives on is no strike")
{
    event_loop loop;
    entry one(loop);
    one.loads.refuses = false;
    for (int i = 0; i < 5; ++i)
        one.end(guilty);
    CHECK_FALSE(one.guard.hasSuspects());
}

// Story: three callers send a request that has ended two targets, at the same moment and to one entry. Each
// ended one more target before the entry knew that the first had.
TEST_CASE("a suspected request runs once at a time")
{
    event_loop loop;
    entry one(loop);
    one.end(guilty, "t1");
    one.end(guilty, "t2");
    auto first = one.guard.admit(guilty);
    CHECK_FALSE(first.refusal);
    CHECK(first.runningTrial);
    const auto second = one.guard.admit(guilty);
    REQUIRE(second.refusal);
    CHECK(second.refusal->retryAfter.count() > 0);
    first.runningTrial.reset();
    CHECK_FALSE(one.guard.admit(guilty).refusal);
}

// Story: a request comes again to another entry a fifth of a second later. What the first entry has seen was
// not there yet, and two more targets ended.
TEST_CASE("what an entry has seen is told to the others at once")
{
    event_loop loop;
    spreading_entry left(loop, { "right" });
    spreading_entry right(loop, { "left" });
    left.links.peers["right"] = &right.replicator;
    right.links.peers["left"] = &left.replicator;
    left.end(guilty, "t1");
    left.end(guilty, "t2");
    loop.runFor(milliseconds { 50 });
    CHECK(right.guard.record(guilty).strikes == 2);
    right.guard.answered(guilty);
    loop.runFor(milliseconds { 50 });
    CHECK(left.guard.record(guilty) == strike_record { 1, 0 });
}

// Story: a zone is cut off while a request ends targets on the other side. When the link is back its entries
// hear of it with the next question that they ask, whichever side asks.
TEST_CASE("entries that were cut off from each other learn of what they missed with the next question")
{
    for (const bool askerKnows : { false, true }) {
        event_loop loop;
        spreading_entry left(loop, {});
        spreading_entry right(loop, {});
        left.links.peers["right"] = &right.replicator;
        right.links.peers["left"] = &left.replicator;
        left.end(guilty);
        loop.runFor(milliseconds { 20 });
        if (askerKnows)
            left.ask("right");
        else
            right.ask("left");
        loop.runFor(milliseconds { 20 });
        CHECK(right.guard.record(guilty).strikes == 1);
        const int calls = left.links.calls + right.links.calls;
        left.ask("right");
        right.ask("left");
        loop.runFor(milliseconds { 20 });
        CHECK(left.links.calls + right.links.calls == calls + 2); // Nothing more is told when both know.
    }
}

TEST_CASE("requests of two strikes are kept in the store, and read by processes that start")
{
    event_loop loop;
    kept_values store;
    archiving_entry left(loop, store);
    left.end(other);
    loop.runFor(milliseconds { 100 });
    CHECK(store.commits == 0); // A victim, most probably.
    left.end(guilty, "t1");
    left.end(guilty, "t2");
    left.end(guilty, "t3");
    loop.runFor(milliseconds { 100 });
    CHECK(store.commits == 1);

    archiving_entry right(loop, store);
    bool loaded = false;
    right.archive.load([&] { loaded = true; });
    CHECK(loaded);
    CHECK(right.guard.admit(guilty).refusal);
    right.guard.answered(guilty);
    loop.runFor(milliseconds { 100 });
    archiving_entry third(loop, store);
    third.archive.load([] {});
    CHECK_FALSE(third.guard.admit(guilty).refusal);
}

// Story: two entries write what they know of one request at the same time, and an answer of the store is
// lost. The worse record has to stay.
TEST_CASE("what several processes keep of a request ends as the worst that one of them knows")
{
    event_loop loop;
    kept_values store;
    archiving_entry left(loop, store);
    archiving_entry right(loop, store);
    right.end(guilty, "t1");
    right.end(guilty, "t2");
    loop.runFor(milliseconds { 100 });
    store.loseAnswer = true;
    for (const auto* target : { "t1", "t2", "t3" })
        left.end(guilty, target);
    loop.runFor(milliseconds { 1300 });
    archiving_entry third(loop, store);
    third.archive.load([] {});
    CHECK(third.guard.record(guilty).strikes == 3);
}

TEST_CASE("a suspect is kept and read with its age, and what cannot be read is named")
{
    const suspect_report report { guilty, { 1, 2 }, milliseconds { 5000 } };
    const auto key = "yuccachute/suspect/" + toString(guilty);
    const auto document = encodeSuspect(report, 100000);
    const auto read = decodeSuspect(key, document, 103000);
    REQUIRE(read);
    CHECK(read.value().identity == guilty);
    CHECK(read.value().record == report.record);
    CHECK(read.value().age == milliseconds { 8000 });
    CHECK(decodeSuspect(key, document, 0).value().age == milliseconds { 0 }); // The clock jumped back.
    CHECK(decodeSuspect("yuccachute/suspect/x", document, 0).error().message.find("identity")
        != std::string::npos);
    CHECK(decodeSuspect(key, "{}", 0).error().message.find("acquittals") != std::string::npos);
    CHECK(decodeSuspect(key, "[", 0).error().message.find("JSON") != std::string::npos);
}
