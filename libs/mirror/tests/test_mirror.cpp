#include "mirror/mirror.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace yuccachute;

namespace {

/// A store whose calls are answered by the test.
class scripted_store final : public async_store {
public:
    void get(std::string_view, callback<std::optional<stored_value>>) override { }
    void list(std::string_view, callback<store_listing> done) override
    {
        ++listCalls;
        pendingList = std::move(done);
    }
    void listFirst(std::string_view, bool, callback<store_listing> done) override
    {
        ++firstPageReads;
        pendingList = std::move(done);
    }
    void commit(const store_transaction&, callback<commit_outcome>) override { }
    void waitForChange(
        std::string_view, std::int64_t after, milliseconds time, callback<store_changes> done) override
    {
        lastWaitTime = time;
        lastWaitRevision = after;
        pendingWait = std::move(done);
    }
    void grantLease(milliseconds, callback<std::int64_t>) override { }
    void renewLease(std::int64_t, callback<bool>) override { }
    void endLease(std::int64_t, callback<bool>) override { }

    callback<store_listing> pendingList;
    callback<store_changes> pendingWait;
    std::int64_t lastWaitRevision = 0;
    milliseconds lastWaitTime { 0 };
    int listCalls = 0;
    int firstPageReads = 0;
};

stored_value value(std::string key, std::string text, std::int64_t revision)
{
    return { std::move(key), std::move(text), 1, revision, 0 };
}

struct fixture {
    fixture() { mirror.start(); }

    std::string content() const
    {
        std::string all;
        for (const auto& entry : mirror.section().entries)
            all += std::string(entry.key()) + "=" + std::string(entry.value()) + ";";
        return all;
    }

    event_loop loop;
    scripted_store store;
    int changes = 0;
    store_mirror mirror { loop, store, "op/", milliseconds { 0 },
        [this](const store_mirror&, auto) { ++changes; } };
};

} // namespace

TEST_CASE("a mirror reads its section once and then follows the changes")
{
    fixture f;
    f.store.pendingList(store_listing { { value("op/b", "1", 4), value("op/a", "1", 3) }, 5, false });
    CHECK(f.content() == "op/a=1;op/b=1;");
    CHECK(f.store.lastWaitRevision == 5);
    f.store.pendingWait(store_changes { { { false, value("op/a", "2", 7) }, { true, value("op/b", "", 8) },
                                            { false, value("op/c", "1", 8) } },
        8 });
    CHECK(f.content() == "op/a=2;op/c=1;");
    CHECK(f.store.lastWaitRevision == 8);
    CHECK(f.changes == 2);
    f.store.pendingWait(store_changes { {}, 20 });
    CHECK(f.changes == 2);
    CHECK(f.store.lastWaitRevision == 20);
}

// Guards against missed changes: if the store compacts its history during a waiting call, the process must
// not continue from the old revision.
TEST_CASE("a section is read again after the store has compacted its history")
{
    fixture f;
    f.store.pendingList(store_listing { { value("op/a", "1", 3) }, 5, false });
    f.store.pendingWait(notRun(failure_kind::gone, "compacted"));
    CHECK(f.store.listCalls == 2);
    f.store.pendingList(store_listing { { value("op/a", "9", 30) }, 31, false });
    CHECK(f.content() == "op/a=9;");
}

// Guards against a process that keeps an old configuration while the store refuses it although its peers have
// a newer one, and against one that goes back to a peer's older copy.
TEST_CASE("a peer's copy is applied only if it is newer, and the next waiting call continues from it")
{
    fixture f;
    f.store.pendingList(store_listing { { value("op/a", "1", 3) }, 5, false });
    f.store.pendingWait(mayHaveRun(failure_kind::unavailable, "refused"));
    CHECK(!f.mirror.connected());
    CHECK(!f.mirror.applyPeerUpdate({ "op/", 5, { { "op/a", "old", 2 } } }));
    CHECK(f.mirror.applyPeerUpdate({ "op/", 9, { { "op/a", "2", 9 } } }));
    CHECK(f.content() == "op/a=2;");
    f.loop.runFor(milliseconds { 200 });
    CHECK(f.store.lastWaitRevision == 9);
    // A change that the copy already has is not reported.
    f.store.pendingWait(store_changes { { { false, value("op/a", "2", 9) } }, 9 });
    CHECK(f.changes == 2);
    CHECK(f.mirror.connected());
}

// Guards against needless calls while the store is down: in an outage of seven seconds, 60 processes retried
// three calls each once a second, and refused calls are charged too. Processes that learn of the store's
// return from peers use a longer maximum delay.
TEST_CASE("while the store does not answer, the delays between calls grow up to the maximum")
{
    const auto callsWithin = [](milliseconds longest) {
        fixture f;
        f.mirror.setMaxRetryDelay(longest);
        for (int i = 0; i < 150; ++i) {
            if (const auto answer = std::exchange(f.store.pendingList, nullptr))
                answer(notRun(failure_kind::unavailable, "503"));
            f.loop.runFor(milliseconds { 10 });
        }
        return f.store.listCalls;
    };
    const int callsWithShortDelay = callsWithin(milliseconds { 100 });
    const int callsWithLongDelay = callsWithin(milliseconds { 4000 });
    CHECK(callsWithShortDelay >= 8);
    CHECK(callsWithLongDelay >= 2);
    CHECK(callsWithLongDelay <= 7);
}

namespace {

std::string contentOf(const section_history& copy)
{
    std::string all;
    for (const auto& entry : copy.section().entries)
        all += std::string(entry.key()) + "=" + std::string(entry.value()) + ";";
    return all;
}

} // namespace

// Guards against full copies on each change: in a fleet of 300 processes every restart sent the whole list of
// processes to all of them, and small VMs spent their processor time parsing it.
TEST_CASE("a peer with an older copy receives only the changes")
{
    section_history sender("n/");
    sender.replace(10, { { "n/a", "1", 3 }, { "n/b", "1", 4 }, { "n/c", "1", 5 } });
    section_history peer("n/");
    REQUIRE(peer.apply(sender.updateSince(0)) == true);
    CHECK(contentOf(peer) == "n/a=1;n/b=1;n/c=1;");
    sender.apply(std::vector<store_event> { { true, value("n/b", "", 11) }, { false, value("n/c", "2", 12) },
                     { false, value("n/d", "1", 13) } },
        13);
    const auto update = sender.updateSince(10);
    CHECK(update.basedOn == 10);
    CHECK(update.changed.size() == 2);
    CHECK(update.removed == std::vector<std::string> { "n/b" });
    CHECK(peer.apply(update) == true);
    CHECK(contentOf(peer) == contentOf(sender));
    CHECK(!peer.apply(update)); // Already applied.
    // A key that is removed and created again between two synchronizations.
    sender.apply(
        std::vector<store_event> { { true, value("n/a", "", 14) }, { false, value("n/a", "3", 15) } }, 15);
    CHECK(peer.apply(sender.updateSince(13)) == true);
    CHECK(contentOf(peer) == "n/a=3;n/c=2;n/d=1;");
}

TEST_CASE("entries that are missing from a new listing are reported to peers as removed")
{
    section_history sender("n/");
    sender.replace(10, { { "n/a", "1", 3 }, { "n/b", "1", 4 } });
    section_history peer("n/");
    peer.apply(sender.updateSince(0));
    sender.replace(20, { { "n/b", "1", 4 } });
    CHECK(peer.apply(sender.updateSince(10)) == true);
    CHECK(contentOf(peer) == "n/b=1;");
    sender.replace(30, { { "n/b", "1", 4 } });
    CHECK(peer.apply(sender.updateSince(20)) == false);
    CHECK(peer.section().revision == 30);
}

TEST_CASE("an update that is based on a newer copy, or of another section, is not applied")
{
    section_history late("n/");
    late.replace(5, { { "n/old", "1", 2 } });
    CHECK(!late.apply(section_update { "n/", 12, { { "n/z", "1", 12 } }, 10, {} }));
    CHECK(!late.apply(section_update { "other/", 99, {}, 0, {} }));
    CHECK(contentOf(late) == "n/old=1;");
}

// Guards against full copies after a common restart: 300 processes that were killed and restarted together
// had each read the list of 3,000 targets shortly before the peers that they synchronized with. All were sent
// full copies, and no request was served for half a minute.
TEST_CASE("a copy that is older than the removals known to the sender is not sent the whole section")
{
    std::vector<section_entry> many;
    for (int i = 0; i < 3000; ++i)
        many.push_back({ "n/" + std::to_string(i), "1", 4 });
    section_history receiver("n/");
    receiver.replace(5, many);
    many[7] = { "n/7", "2", 9 };
    section_history sender("n/");
    sender.replace(10, many);
    const auto update = sender.updateSince(receiver.syncFromRevision());
    CHECK(update.changed.size() == 1);
    CHECK(receiver.apply(update) == true);
    CHECK(receiver.syncFromRevision() == 10);
    CHECK(contentOf(receiver) == contentOf(sender));
}

// Guards against requests to a removed target: a target leaves after the receiver's read and before the
// sender's. The sender does not know of the removal, so its update cannot name the key.
TEST_CASE("a removal that the sender does not know of is detected")
{
    section_history receiver("n/");
    receiver.replace(5, { { "n/a", "1", 3 }, { "n/gone", "1", 4 } });
    section_history sender("n/");
    sender.replace(10, { { "n/a", "1", 3 }, { "n/new", "1", 9 } });
    CHECK(receiver.apply(sender.updateSince(receiver.syncFromRevision())) == true);
    CHECK(contentOf(receiver) == "n/a=1;n/gone=1;n/new=1;");
    CHECK(receiver.section().revision == 5);
    REQUIRE(receiver.syncFromRevision() == 0);
    CHECK(receiver.apply(sender.updateSince(0)) == true);
    CHECK(contentOf(receiver) == "n/a=1;n/new=1;");
    CHECK(receiver.syncFromRevision() == 10);
}

TEST_CASE("more removals than the sender remembers are detected too")
{
    std::vector<section_entry> many;
    for (int i = 0; i < 1200; ++i)
        many.push_back({ "n/" + std::to_string(i), "1", 20 });
    section_history sender("n/");
    sender.replace(20, many);
    section_history receiver("n/");
    receiver.replace(20, many);
    std::int64_t revision = 20;
    for (int i = 0; i < 1100; ++i)
        sender.apply(
            std::vector<store_event> { { true, value("n/" + std::to_string(i), "", ++revision) } }, revision);
    CHECK(sender.updateSince(revision - 500).keysDigest == 0);
    receiver.apply(sender.updateSince(20));
    CHECK(receiver.syncFromRevision() == 0);
    receiver.apply(sender.updateSince(0));
    CHECK(contentOf(receiver) == contentOf(sender));
}

// Guards against a removed key that is restored for good: a peer's newer update overtakes an answer of the
// store that still has the key. Its target would receive requests although it has left.
TEST_CASE("a late answer of the store does not restore keys that were removed since")
{
    fixture f;
    f.store.pendingList(store_listing { { value("op/a", "1", 3) }, 5, false });
    CHECK(f.mirror.applyPeerUpdate({ "op/", 9, { { "op/b", "1", 8 } }, 5, { "op/a" } }));
    CHECK(f.content() == "op/b=1;");
    f.store.pendingWait(store_changes { { { false, value("op/a", "2", 6) } }, 6 });
    CHECK(f.content() == "op/b=1;");
    CHECK(f.store.lastWaitRevision == 9);
}

// Guards against an undetected outage: the peer that followed the store for this process stops while the
// store accepts calls without answering them. The first waiting call of this process took 30 s to fail; until
// then it considered itself connected and used an old configuration.
TEST_CASE("a process that begins to follow a store that does not answer detects this soon")
{
    fixture f;
    f.mirror.setFollowing(false);
    f.store.pendingList(store_listing { { value("op/a", "1", 3) }, 5, false });
    CHECK(f.mirror.connected());
    f.mirror.setFollowing(true);
    REQUIRE(f.store.pendingWait);
    CHECK(f.store.lastWaitTime <= milliseconds { 1000 });
    CHECK(!f.mirror.connected());
    f.store.pendingWait(store_changes { {}, 6 });
    CHECK(f.mirror.connected());
    CHECK(f.store.lastWaitTime >= milliseconds { 10000 });
    // The same after a failure.
    f.store.pendingWait(mayHaveRun(failure_kind::timeout, "no answer in time"));
    CHECK(!f.mirror.connected());
    f.loop.runFor(milliseconds { 200 });
    CHECK(f.store.lastWaitTime <= milliseconds { 1000 });
}

// Guards against a stale copy that is taken for current: the connection of a waiting call dies without an
// error, and for seconds the process misses changes and reports its copy to peers as up to date.
TEST_CASE("a confirmation applies what a dead waiting call has missed and replaces the call")
{
    fixture f;
    f.store.pendingList(store_listing { { value("op/a", "1", 3) }, 5, false });
    const auto dead = std::exchange(f.store.pendingWait, nullptr);
    const auto now = std::chrono::steady_clock::now();
    f.mirror.requestConfirmation(now);
    REQUIRE(f.store.pendingWait);
    CHECK(f.store.lastWaitTime <= milliseconds { 10 });
    std::exchange(f.store.pendingWait, nullptr)(store_changes { { { true, value("op/a", "", 7) } }, 8 });
    CHECK(f.content() == "");
    CHECK(f.mirror.lastConfirmed() >= now);
    f.loop.runFor(milliseconds { 200 });
    REQUIRE(f.store.pendingWait);
    CHECK(f.store.lastWaitRevision == 8);
    CHECK(f.store.lastWaitTime >= milliseconds { 10000 });
    // The later failure of the dead call is ignored.
    dead(mayHaveRun(failure_kind::timeout, "connection timed out"));
    CHECK(f.mirror.connected());
}

TEST_CASE("a waiting call continues after a confirmation without changes")
{
    fixture f;
    f.store.pendingList(store_listing { { value("op/a", "1", 3) }, 5, false });
    const auto waiting = std::exchange(f.store.pendingWait, nullptr);
    f.mirror.requestConfirmation(std::chrono::steady_clock::now());
    std::exchange(f.store.pendingWait, nullptr)(store_changes { {}, 9 });
    f.loop.runFor(milliseconds { 200 });
    CHECK(!f.store.pendingWait);
    waiting(store_changes { { { false, value("op/a", "2", 10) } }, 10 });
    CHECK(f.content() == "op/a=2;");
}

TEST_CASE("the interval between confirmation requests grows while they are not answered")
{
    fixture f;
    f.store.pendingList(store_listing { { value("op/a", "1", 3) }, 5, false });
    const auto start = std::chrono::steady_clock::now();
    const auto before = f.mirror.lastConfirmed();
    int requests = 0;
    for (milliseconds at { 0 }; at < milliseconds { 6000 }; at += milliseconds { 100 }) {
        f.store.pendingWait = nullptr;
        f.mirror.requestConfirmation(start + at);
        requests += f.store.pendingWait ? 1 : 0;
    }
    CHECK(requests >= 5); // A restored connection is noticed within about a second.
    CHECK(requests <= 8);
    CHECK(f.mirror.lastConfirmed() == before);
}

TEST_CASE("the age of a copy is the time since it was last confirmed")
{
    fixture f;
    CHECK(f.mirror.lastConfirmed() == steady_time {});
    const auto start = std::chrono::steady_clock::now();
    f.store.pendingList(store_listing { { value("op/a", "1", 3) }, 5, false });
    const auto read = f.mirror.lastConfirmed();
    CHECK(read <= start); // The time at which the read was sent: the answer may have been delayed.
    // A waiting call that returns a change confirms the copy only as of the time at which it was sent.
    f.loop.runFor(milliseconds { 20 });
    const auto sent = std::chrono::steady_clock::now();
    f.store.pendingWait(store_changes { { { false, value("op/a", "2", 7) } }, 7 });
    CHECK(f.mirror.lastConfirmed() <= sent);
    // A peer's newer copy confirms this one only after its update has been applied.
    const auto later = sent + milliseconds { 1000 };
    f.mirror.recordConfirmation(9, later);
    CHECK(f.mirror.lastConfirmed() < later);
    CHECK(f.mirror.applyPeerUpdate({ "op/", 9, { { "op/a", "3", 9 } } }));
    f.mirror.recordConfirmation(9, later);
    CHECK(f.mirror.lastConfirmed() == later);
    f.mirror.recordConfirmation(9, sent); // An earlier confirmation has no effect.
    CHECK(f.mirror.lastConfirmed() == later);
    CHECK(f.mirror.standing(later + milliseconds { 70 }).age == milliseconds { 70 });
}

// Guards against a removed entry that is kept: an entry is missing from the copies of two processes. One has
// just reconnected to the store and cannot know whether only the entry's lease lapsed. The other one knows
// that the entry was removed, but both copies are of the same revision, so there is no update to send.
TEST_CASE("a peer's standing tells that a missing entry was removed, even without an update")
{
    fixture f;
    f.store.pendingList(store_listing { { value("op/a", "1", 3) }, 5, false });
    CHECK(!f.mirror.settled(5));
    f.mirror.recordStanding({ "op/", 5, 4 });
    CHECK(f.mirror.settled(4));
    CHECK(!f.mirror.settled(5));
    f.mirror.recordStanding({ "op/", 5, 5 });
    CHECK(f.mirror.settled(5));
    // In a peer's newer copy the entry may exist again.
    f.mirror.recordStanding({ "op/", 12, 12 });
    CHECK(!f.mirror.settled(5));
}

// Guards against a removed target that is kept for 10 s: each job result advances the store's revision, but
// not the copies of an unchanged section. A peer knew that a missing target was removed, but only as of a
// later revision, which the receiver's copy never reached.
TEST_CASE("a copy of an unchanged section is up to date as of the store's later revision")
{
    fixture f;
    f.store.pendingList(store_listing { { value("op/a", "1", 3) }, 5, false });
    f.mirror.recordStanding({ "op/", 5, 40 });
    CHECK(!f.mirror.settled(5));
    f.mirror.recordUnchanged(6, 40); // The peer's changes up to revision 6 have not been applied.
    CHECK(f.mirror.section().revision == 5);
    f.mirror.recordUnchanged(5, 40);
    CHECK(f.mirror.section().revision == 40);
    CHECK(f.mirror.settled(5));
    f.mirror.recordUnchanged(5, 20);
    CHECK(f.mirror.section().revision == 40);
}

TEST_CASE("a copy that has missed a removal does not advance to a later revision")
{
    section_history receiver("n/");
    receiver.replace(5, { { "n/a", "1", 3 }, { "n/gone", "1", 4 } });
    section_history sender("n/");
    sender.replace(10, { { "n/a", "1", 3 }, { "n/new", "1", 9 } });
    CHECK(receiver.apply(sender.updateSince(receiver.syncFromRevision())) == true);
    receiver.recordUnchanged(5, 12);
    CHECK(receiver.syncFromRevision() == 0);
    CHECK(receiver.section().revision == 5);
}

// Guards against a live target that gets no requests: its entry lapses in an outage and is created again. A
// process that received both from a peer recorded the removal at the peer's revision, which is later than the
// re-creation, and told others only of the removal.
TEST_CASE("a key that was created again is not reported as removed")
{
    section_history sender("n/");
    sender.replace(5, { { "n/a", "1", 3 } });
    CHECK(sender.apply(section_update { "n/", 10, { { "n/a", "2", 7 } }, 5, { "n/a" }, 0 }) == true);
    CHECK(contentOf(sender) == "n/a=2;");
    section_history receiver("n/");
    receiver.replace(8, { { "n/a", "2", 7 } });
    receiver.apply(sender.updateSince(8));
    CHECK(contentOf(receiver) == "n/a=2;");
}

// Guards against requests to a target that leaves just after another one: the removal of the first is
// reported at once, and without this rule that of the second would be reported 400 ms later, with the rest of
// the burst.
TEST_CASE("the second of two changes is reported at once too, and only later changes of a burst are grouped")
{
    event_loop loop;
    scripted_store store;
    store_mirror mirror { loop, store, "op/", milliseconds { 400 }, [](const store_mirror&, auto) {} };
    mirror.start();
    store.pendingList(store_listing { {}, 5, false });
    const auto notifyChange = [&](std::int64_t revision) {
        const auto wait = store.pendingWait;
        wait(store_changes { { { false, value("op/a", std::to_string(revision), revision) } }, revision });
    };
    notifyChange(6);
    CHECK(store.lastWaitRevision == 6);
    notifyChange(7);
    CHECK(store.lastWaitRevision == 6);
    loop.runFor(milliseconds { 450 });
    CHECK(store.lastWaitRevision == 7);
    notifyChange(8); // Still in the burst.
    CHECK(store.lastWaitRevision == 7);
    loop.runFor(milliseconds { 450 });
    CHECK(store.lastWaitRevision == 8);
    std::this_thread::sleep_for(milliseconds { 1100 });
    notifyChange(9); // After a pause.
    CHECK(store.lastWaitRevision == 9);
}

namespace {

std::vector<section_entry> numberedEntries(int count)
{
    std::vector<section_entry> entries;
    for (int i = 0; i < count; ++i)
        entries.push_back({ "n/" + std::to_string(i), "1", 4 });
    return entries;
}

section_history historyWith(int count)
{
    section_history history("n/");
    history.replace(5, numberedEntries(count));
    history.takePendingChanges();
    return history;
}

} // namespace

// Guards against copies whose size grows with the fleet in every process.
TEST_CASE("slices of 40,000 targets are as large as slices of 10,000, and together hold all of them")
{
    for (const int count : { 10000, 20000, 40000 }) {
        const auto whole = historyWith(count);
        const auto parts = sliceFor(static_cast<std::size_t>(count), {}, 0).parts;
        std::size_t all = 0;
        for (std::uint32_t seed = 0; seed < parts; ++seed) {
            const auto slice = sliceFor(static_cast<std::size_t>(count), {}, seed);
            const auto update = whole.updateSince(0, slice);
            CHECK(update.changed.size() > 128);
            CHECK(update.changed.size() < 512);
            all += update.changed.size();
        }
        CHECK(all == static_cast<std::size_t>(count));
    }
    CHECK(sliceFor(500, {}, 7).whole());
}

TEST_CASE("the current slice is kept while the section's size fluctuates")
{
    const auto held = sliceFor(10000, {}, 7);
    CHECK(sliceFor(5000, held, 7) == held);
    CHECK(sliceFor(20000, held, 7) == held);
    CHECK(sliceFor(40000, held, 7) != held);
    CHECK(sliceFor(100, held, 7).whole());
}

// Guards against a process that receives or keeps entries outside of its slice.
TEST_CASE("a copy with a slice receives only changes of the slice's keys")
{
    auto whole = historyWith(10000);
    const auto slice = sliceFor(10000, {}, 3);
    section_history copy("n/");
    REQUIRE(copy.apply(whole.updateSince(0, slice)) == true);
    CHECK(copy.slice() == slice);
    CHECK(!copy.whole());
    copy.takePendingChanges();
    const auto& entries = copy.section().entries;
    const std::string inside(entries[0].key());
    const std::string leaving(entries[1].key());
    std::string outside = "n/0";
    for (int i = 1; slice.contains(outside); ++i)
        outside = "n/" + std::to_string(i);
    whole.apply(std::vector<store_event> { { false, value(inside, "2", 6) },
                    { false, value(outside, "2", 7) }, { true, value(leaving, "", 8) } },
        8);
    const auto update = whole.updateSince(copy.syncFromRevision(), slice);
    CHECK(update.changed.size() == 1);
    CHECK(update.removed.size() == 1);
    CHECK(copy.apply(update) == true);
    const auto changes = copy.takePendingChanges();
    REQUIRE(changes.size() == 2);
    CHECK(copy.syncFromRevision() == 8);
    // The store reports changes of all keys.
    copy.apply(std::vector<store_event> { { false, value(outside, "3", 9) } }, 9);
    CHECK(copy.takePendingChanges().empty());
}

// Guards against targets that are considered removed because the process now has another slice.
TEST_CASE("a key that is not in the new slice is reported as released, not as removed")
{
    const auto whole = historyWith(10000);
    section_history copy("n/");
    copy.begin(9, numberedEntries(200));
    CHECK(copy.takePendingChanges().size() == 200);
    CHECK(copy.syncFromRevision() == 0);
    CHECK(!copy.complete());
    REQUIRE(copy.apply(whole.updateSince(0, sliceFor(10000, {}, 3))));
    CHECK(copy.complete());
    for (const auto& change : copy.takePendingChanges())
        CHECK(change.what != section_change::kind::removed);
}

// Guards against a process that provides its slice to peers as if it were the whole section.
TEST_CASE("a mirror from which all entries are required reads the whole section")
{
    event_loop loop;
    scripted_store store;
    store_mirror mirror(loop, store, "n/", milliseconds { 0 }, [](const store_mirror&, auto) {});
    mirror.setFollowing(false);
    mirror.requestSlice(3);
    mirror.start(store_mirror::read_consistency::stale);
    CHECK(store.firstPageReads == 1);
    store.pendingList(store_listing { { value("n/0", "1", 4) }, 5, true });
    CHECK(store.listCalls == 0);
    CHECK(mirror.known());
    CHECK(!mirror.history().whole());
    const auto whole = historyWith(10000);
    CHECK(mirror.applyPeerUpdate(whole.updateSince(0, sliceFor(10000, {}, 3))));
    CHECK(!mirror.history().whole());
    mirror.requireAllEntries();
    CHECK(store.listCalls == 1);
    CHECK(mirror.history().syncFromRevision() == 0);
    CHECK(mirror.applyPeerUpdate(whole.updateSince(0)));
    CHECK(mirror.history().whole());
    CHECK(mirror.section().entries.size() == 10000);
}

// Guards against a fleet in which every process reads the whole list because no process that follows the
// store can be reached.
TEST_CASE("a process that begins to follow the store continues from the first page that it has read")
{
    event_loop loop;
    scripted_store store;
    store_mirror mirror(loop, store, "n/", milliseconds { 0 }, [](const store_mirror&, auto) {});
    mirror.requestSlice(3);
    mirror.startWithoutReading();
    mirror.setFollowing(true);
    CHECK(store.firstPageReads == 1);
    store.pendingList(store_listing { { value("n/0", "1", 4), value("n/1", "1", 4) }, 5, true });
    CHECK(store.listCalls == 0);
    CHECK(store.lastWaitRevision == 5);
    store.pendingWait(
        store_changes { { { true, value("n/0", "", 6) }, { false, value("n/7", "2", 7) } }, 7 });
    REQUIRE(mirror.section().entries.size() == 2);
    CHECK(mirror.section().entries[0].key() == "n/1");
    CHECK(mirror.section().entries[1].key() == "n/7");
    CHECK(mirror.history().syncFromRevision() == 0);
    // A peer may provide the whole slice as of a slightly older revision.
    CHECK(mirror.applyPeerUpdate(historyWith(10000).updateSince(0, sliceFor(10000, {}, 3))));
    CHECK(mirror.history().syncFromRevision() == 5);
}

TEST_CASE("after the store has compacted its history, the first page is read and the slice requested again")
{
    event_loop loop;
    scripted_store store;
    std::vector<section_change> reportedChanges;
    store_mirror mirror(loop, store, "n/", milliseconds { 0 }, [&](const store_mirror&, auto changes) {
        reportedChanges.insert(reportedChanges.end(), changes.begin(), changes.end());
    });
    mirror.requestSlice(3);
    mirror.startWithoutReading();
    REQUIRE(mirror.applyPeerUpdate(historyWith(10000).updateSince(0, sliceFor(10000, {}, 3))));
    mirror.setFollowing(true);
    store.pendingWait(notRun(failure_kind::gone, "compacted"));
    CHECK(store.firstPageReads == 1);
    store.pendingList(store_listing { { value("n/0", "1", 4) }, 90, true });
    CHECK(store.lastWaitRevision == 90);
    CHECK(mirror.history().syncFromRevision() == 0);
    for (const auto& change : reportedChanges)
        CHECK(change.what != section_change::kind::removed);
}
