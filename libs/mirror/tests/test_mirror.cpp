#include "mirror/mirror.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace yuccachute;

namespace {

/// A store that keeps the calls until the test answers them.
class scripted_store final : public async_store {
public:
    void get(std::string_view, callback<std::optional<stored_value>>) override { }
    void list(std::string_view, callback<store_listing> done) override
    {
        ++lists;
        pendingList = std::move(done);
    }
    void listFirst(std::string_view, bool, callback<store_listing> done) override
    {
        ++firsts;
        pendingList = std::move(done);
    }
    void commit(const store_transaction&, callback<commit_outcome>) override { }
    void waitForChange(
        std::string_view, std::int64_t after, milliseconds time, callback<store_changes> done) override
    {
        waitedFor = time;
        waitedFrom = after;
        pendingWait = std::move(done);
    }
    void grantLease(milliseconds, callback<std::int64_t>) override { }
    void renewLease(std::int64_t, callback<bool>) override { }
    void endLease(std::int64_t, callback<bool>) override { }

    callback<store_listing> pendingList;
    callback<store_changes> pendingWait;
    std::int64_t waitedFrom = 0;
    milliseconds waitedFor { 0 };
    int lists = 0;
    int firsts = 0;
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

TEST_CASE("a copy is read once and then followed")
{
    fixture f;
    f.store.pendingList(store_listing { { value("op/b", "1", 4), value("op/a", "1", 3) }, 5, false });
    CHECK(f.content() == "op/a=1;op/b=1;");
    CHECK(f.store.waitedFrom == 5);
    f.store.pendingWait(store_changes { { { false, value("op/a", "2", 7) }, { true, value("op/b", "", 8) },
                                            { false, value("op/c", "1", 8) } },
        8 });
    CHECK(f.content() == "op/a=2;op/c=1;");
    CHECK(f.store.waitedFrom == 8);
    CHECK(f.changes == 2);
    f.store.pendingWait(store_changes { {}, 20 });
    CHECK(f.changes == 2);
    CHECK(f.store.waitedFrom == 20);
}

// Story: the store forgets its history while a process waits; the process goes on from an old revision and
// misses the changes made meanwhile.
TEST_CASE("a forgotten history is read anew")
{
    fixture f;
    f.store.pendingList(store_listing { { value("op/a", "1", 3) }, 5, false });
    f.store.pendingWait(notRun(failure_kind::gone, "compacted"));
    CHECK(f.store.lists == 2);
    f.store.pendingList(store_listing { { value("op/a", "9", 30) }, 31, false });
    CHECK(f.content() == "op/a=9;");
}

// Story: a process that the store turns away goes on with an old configuration although its neighbours have a
// newer one; or it takes an older copy of a neighbour and falls back.
TEST_CASE("a peer's copy is taken only if it is newer, and the store's wait goes on from there")
{
    fixture f;
    f.store.pendingList(store_listing { { value("op/a", "1", 3) }, 5, false });
    f.store.pendingWait(mayHaveRun(failure_kind::unavailable, "turned away"));
    CHECK(!f.mirror.connected());
    CHECK(!f.mirror.offer({ "op/", 5, { { "op/a", "old", 2 } } }));
    CHECK(f.mirror.offer({ "op/", 9, { { "op/a", "2", 9 } } }));
    CHECK(f.content() == "op/a=2;");
    f.loop.runFor(milliseconds { 200 });
    CHECK(f.store.waitedFrom == 9);
    // A change that the copy has already is not a change.
    f.store.pendingWait(store_changes { { { false, value("op/a", "2", 9) } }, 9 });
    CHECK(f.changes == 2);
    CHECK(f.mirror.connected());
}

// Story: the store is down for seven seconds; sixty processes ask it again once a second, three times each,
// and every refused call is priced. Those that hear of its return from others need not ask.
TEST_CASE("while the store does not answer, pauses grow up to the longest")
{
    const auto callsWithin = [](milliseconds longest) {
        fixture f;
        f.mirror.setLongestPause(longest);
        for (int i = 0; i < 150; ++i) {
            if (const auto answer = std::exchange(f.store.pendingList, nullptr))
                answer(notRun(failure_kind::unavailable, "503"));
            f.loop.runFor(milliseconds { 10 });
        }
        return f.store.lists;
    };
    const int often = callsWithin(milliseconds { 100 });
    const int seldom = callsWithin(milliseconds { 4000 });
    CHECK(often >= 8);
    CHECK(seldom >= 2);
    CHECK(seldom <= 7);
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

// Story: in a fleet of 300 processes, each restart sent the list of all of them to all of them, and small VMs
// spent their processor time reading it.
TEST_CASE("a peer with an earlier copy is told what has changed since")
{
    section_history own("n/");
    own.replace(10, { { "n/a", "1", 3 }, { "n/b", "1", 4 }, { "n/c", "1", 5 } });
    section_history peer("n/");
    REQUIRE(peer.apply(own.since(0)) == true);
    CHECK(contentOf(peer) == "n/a=1;n/b=1;n/c=1;");
    own.apply(std::vector<store_event> { { true, value("n/b", "", 11) }, { false, value("n/c", "2", 12) },
                  { false, value("n/d", "1", 13) } },
        13);
    const auto update = own.since(10);
    CHECK(update.basedOn == 10);
    CHECK(update.changed.size() == 2);
    CHECK(update.removed == std::vector<std::string> { "n/b" });
    CHECK(peer.apply(update) == true);
    CHECK(contentOf(peer) == contentOf(own));
    CHECK(!peer.apply(update)); // It is no news any more.
    // A key that goes and comes back between two questions.
    own.apply(
        std::vector<store_event> { { true, value("n/a", "", 14) }, { false, value("n/a", "3", 15) } }, 15);
    CHECK(peer.apply(own.since(13)) == true);
    CHECK(contentOf(peer) == "n/a=3;n/c=2;n/d=1;");
}

TEST_CASE("what a list that was read anew lacks is told as removed")
{
    section_history own("n/");
    own.replace(10, { { "n/a", "1", 3 }, { "n/b", "1", 4 } });
    section_history peer("n/");
    peer.apply(own.since(0));
    own.replace(20, { { "n/b", "1", 4 } });
    CHECK(peer.apply(own.since(10)) == true);
    CHECK(contentOf(peer) == "n/b=1;");
    own.replace(30, { { "n/b", "1", 4 } });
    CHECK(peer.apply(own.since(20)) == false);
    CHECK(peer.section().revision == 30);
}

TEST_CASE("an update for later copies is not taken, nor one of another section")
{
    section_history late("n/");
    late.replace(5, { { "n/old", "1", 2 } });
    CHECK(!late.apply(section_update { "n/", 12, { { "n/z", "1", 12 } }, 10, {} }));
    CHECK(!late.apply(section_update { "other/", 99, {}, 0, {} }));
    CHECK(contentOf(late) == "n/old=1;");
}

// Story: 300 processes are killed and come back together. Each read the list of 3,000 targets a moment before
// those that it asked, was sent all of it again, and nobody was served for half a minute.
TEST_CASE("a copy that is older than all that the sender knows to have gone is not sent the whole section")
{
    std::vector<section_entry> many;
    for (int i = 0; i < 3000; ++i)
        many.push_back({ "n/" + std::to_string(i), "1", 4 });
    section_history asker("n/");
    asker.replace(5, many);
    many[7] = { "n/7", "2", 9 };
    section_history own("n/");
    own.replace(10, many);
    const auto update = own.since(asker.askFrom());
    CHECK(update.changed.size() == 1);
    CHECK(asker.apply(update) == true);
    CHECK(asker.askFrom() == 10);
    CHECK(contentOf(asker) == contentOf(own));
}

// Story: the same, but a target has left between the two readings. The sender cannot name it; an asker that
// took the update for complete would send requests to it for good.
TEST_CASE("a removal that the sender has not seen is noticed")
{
    section_history asker("n/");
    asker.replace(5, { { "n/a", "1", 3 }, { "n/gone", "1", 4 } });
    section_history own("n/");
    own.replace(10, { { "n/a", "1", 3 }, { "n/new", "1", 9 } });
    CHECK(asker.apply(own.since(asker.askFrom())) == true);
    CHECK(contentOf(asker) == "n/a=1;n/gone=1;n/new=1;");
    CHECK(asker.section().revision == 5);
    REQUIRE(asker.askFrom() == 0);
    CHECK(asker.apply(own.since(0)) == true);
    CHECK(contentOf(asker) == "n/a=1;n/new=1;");
    CHECK(asker.askFrom() == 10);
}

TEST_CASE("more removals than are remembered are noticed too")
{
    std::vector<section_entry> many;
    for (int i = 0; i < 1200; ++i)
        many.push_back({ "n/" + std::to_string(i), "1", 20 });
    section_history own("n/");
    own.replace(20, many);
    section_history asker("n/");
    asker.replace(20, many);
    std::int64_t revision = 20;
    for (int i = 0; i < 1100; ++i)
        own.apply(
            std::vector<store_event> { { true, value("n/" + std::to_string(i), "", ++revision) } }, revision);
    CHECK(own.since(revision - 500).keysDigest == 0);
    asker.apply(own.since(20));
    CHECK(asker.askFrom() == 0);
    asker.apply(own.since(0));
    CHECK(contentOf(asker) == contentOf(own));
}

// Story: an answer of the store is on its way when a peer tells of a later state. It names a key that has
// gone since; taken over, the key would never go again, and a target that has left would get requests for
// good.
TEST_CASE("a late answer of the store brings back nothing that has gone since")
{
    fixture f;
    f.store.pendingList(store_listing { { value("op/a", "1", 3) }, 5, false });
    CHECK(f.mirror.offer({ "op/", 9, { { "op/b", "1", 8 } }, 5, { "op/a" } }));
    CHECK(f.content() == "op/b=1;");
    f.store.pendingWait(store_changes { { { false, value("op/a", "2", 6) } }, 6 });
    CHECK(f.content() == "op/b=1;");
    CHECK(f.store.waitedFrom == 9);
}

// Story: an entry's neighbour, which followed the store for it, is replaced while the store accepts calls and
// says nothing. The entry begins to follow the store itself; its first call waited for 30 s without an
// answer, and for so long it took itself for connected and went on with an old configuration.
TEST_CASE("one that begins to follow a silent store finds out soon")
{
    fixture f;
    f.mirror.setFollowing(false);
    f.store.pendingList(store_listing { { value("op/a", "1", 3) }, 5, false });
    CHECK(f.mirror.connected());
    f.mirror.setFollowing(true);
    REQUIRE(f.store.pendingWait);
    CHECK(f.store.waitedFor <= milliseconds { 1000 });
    CHECK(!f.mirror.connected());
    f.store.pendingWait(store_changes { {}, 6 });
    CHECK(f.mirror.connected());
    CHECK(f.store.waitedFor >= milliseconds { 10000 });
    // The same after a failure.
    f.store.pendingWait(mayHaveRun(failure_kind::timeout, "silent"));
    CHECK(!f.mirror.connected());
    f.loop.runFor(milliseconds { 200 });
    CHECK(f.store.waitedFor <= milliseconds { 1000 });
}

// Story: the connection of a waiting call dies, and the call stays silent for seconds. The copy missed a
// change, took itself for right, and told peers so.
TEST_CASE("a confirmation tells of what a dead waiting call has missed, and another call takes its place")
{
    fixture f;
    f.store.pendingList(store_listing { { value("op/a", "1", 3) }, 5, false });
    const auto dead = std::exchange(f.store.pendingWait, nullptr);
    const auto now = std::chrono::steady_clock::now();
    f.mirror.confirm(now);
    REQUIRE(f.store.pendingWait);
    CHECK(f.store.waitedFor <= milliseconds { 10 });
    std::exchange(f.store.pendingWait, nullptr)(store_changes { { { true, value("op/a", "", 7) } }, 8 });
    CHECK(f.content() == "");
    CHECK(f.mirror.lastConfirmed() >= now);
    f.loop.runFor(milliseconds { 200 });
    REQUIRE(f.store.pendingWait);
    CHECK(f.store.waitedFrom == 8);
    CHECK(f.store.waitedFor >= milliseconds { 10000 });
    // What the dead one says in the end is of no interest any more.
    dead(mayHaveRun(failure_kind::timeout, "connection timed out"));
    CHECK(f.mirror.connected());
}

TEST_CASE("a waiting call that lives goes on after a confirmation without news")
{
    fixture f;
    f.store.pendingList(store_listing { { value("op/a", "1", 3) }, 5, false });
    const auto waiting = std::exchange(f.store.pendingWait, nullptr);
    f.mirror.confirm(std::chrono::steady_clock::now());
    std::exchange(f.store.pendingWait, nullptr)(store_changes { {}, 9 });
    f.loop.runFor(milliseconds { 200 });
    CHECK(!f.store.pendingWait);
    waiting(store_changes { { { false, value("op/a", "2", 10) } }, 10 });
    CHECK(f.content() == "op/a=2;");
}

TEST_CASE("confirmations that do not come are asked for more and more seldom")
{
    fixture f;
    f.store.pendingList(store_listing { { value("op/a", "1", 3) }, 5, false });
    const auto start = std::chrono::steady_clock::now();
    const auto before = f.mirror.lastConfirmed();
    int asked = 0;
    for (milliseconds at { 0 }; at < milliseconds { 6000 }; at += milliseconds { 100 }) {
        f.store.pendingWait = nullptr;
        f.mirror.confirm(start + at);
        asked += f.store.pendingWait ? 1 : 0;
    }
    CHECK(asked >= 5); // One that comes back into touch is not left waiting for seconds.
    CHECK(asked <= 8);
    CHECK(f.mirror.lastConfirmed() == before);
}

TEST_CASE("a copy is as old as the last proof that it is right")
{
    fixture f;
    CHECK(f.mirror.lastConfirmed() == steady_time {});
    const auto start = std::chrono::steady_clock::now();
    f.store.pendingList(store_listing { { value("op/a", "1", 3) }, 5, false });
    const auto read = f.mirror.lastConfirmed();
    CHECK(read <= start); // When the reading was sent; its answer may have been long under way.
    // A waiting call that tells of a change proves nothing of later moments than its sending.
    f.loop.runFor(milliseconds { 20 });
    const auto sent = std::chrono::steady_clock::now();
    f.store.pendingWait(store_changes { { { false, value("op/a", "2", 7) } }, 7 });
    CHECK(f.mirror.lastConfirmed() <= sent);
    // A peer whose copy is newer says nothing of this one until its update has been taken over.
    const auto later = sent + milliseconds { 1000 };
    f.mirror.noteConfirmed(9, later);
    CHECK(f.mirror.lastConfirmed() < later);
    CHECK(f.mirror.offer({ "op/", 9, { { "op/a", "3", 9 } } }));
    f.mirror.noteConfirmed(9, later);
    CHECK(f.mirror.lastConfirmed() == later);
    f.mirror.noteConfirmed(9, sent); // Older news change nothing.
    CHECK(f.mirror.lastConfirmed() == later);
    CHECK(f.mirror.standing(later + milliseconds { 70 }).age == milliseconds { 70 });
}

// Story: an entry is missing from the copies of two processes. One has just come back to the store and cannot
// know whether it has lapsed; the other can, but their copies are of the same revision, so that there was no
// news to tell it by.
TEST_CASE("that a missing entry has gone is learnt from a peer without news")
{
    fixture f;
    f.store.pendingList(store_listing { { value("op/a", "1", 3) }, 5, false });
    CHECK(!f.mirror.settled(5));
    f.mirror.noteStanding({ "op/", 5, 4 });
    CHECK(f.mirror.settled(4));
    CHECK(!f.mirror.settled(5));
    f.mirror.noteStanding({ "op/", 5, 5 });
    CHECK(f.mirror.settled(5));
    // In a later copy of a peer the entry may be back.
    f.mirror.noteStanding({ "op/", 12, 12 });
    CHECK(!f.mirror.settled(5));
}

// Story: the store's revision moves on with every result of a job, the copies of a quiet section do not. A
// peer knew of the later revision that a missing target has gone; the asker's copy never got there, and it
// kept the target for 10 s.
TEST_CASE("a copy of a section that has not changed is a copy of the store's later revision")
{
    fixture f;
    f.store.pendingList(store_listing { { value("op/a", "1", 3) }, 5, false });
    f.mirror.noteStanding({ "op/", 5, 40 });
    CHECK(!f.mirror.settled(5));
    f.mirror.noteUnchanged(6, 40); // What the peer has of revision 6 has not been taken over.
    CHECK(f.mirror.section().revision == 5);
    f.mirror.noteUnchanged(5, 40);
    CHECK(f.mirror.section().revision == 40);
    CHECK(f.mirror.settled(5));
    f.mirror.noteUnchanged(5, 20);
    CHECK(f.mirror.section().revision == 40);
}

TEST_CASE("a copy that lacks a removal does not become a later one")
{
    section_history asker("n/");
    asker.replace(5, { { "n/a", "1", 3 }, { "n/gone", "1", 4 } });
    section_history own("n/");
    own.replace(10, { { "n/a", "1", 3 }, { "n/new", "1", 9 } });
    CHECK(asker.apply(own.since(asker.askFrom())) == true);
    asker.noteUnchanged(5, 12);
    CHECK(asker.askFrom() == 0);
    CHECK(asker.section().revision == 5);
}

// Story: a target's entry lapses in an outage and comes back. A process that heard of both from a peer noted
// the removal at the peer's revision, later than the return; those that asked it afterwards were told of the
// removal only, and a target that lives got no requests from them.
TEST_CASE("a key that came back is not told as removed")
{
    section_history own("n/");
    own.replace(5, { { "n/a", "1", 3 } });
    CHECK(own.apply(section_update { "n/", 10, { { "n/a", "2", 7 } }, 5, { "n/a" }, 0 }) == true);
    CHECK(contentOf(own) == "n/a=2;");
    section_history asker("n/");
    asker.replace(8, { { "n/a", "2", 7 } });
    asker.apply(own.since(8));
    CHECK(contentOf(asker) == "n/a=2;");
}

// Story: a target leaves just after another one. The first change is told at once, and the second one 400 ms
// later, as changes are told in groups; until then the second target gets requests.
TEST_CASE("the second of two changes is told at once too, and only what follows in a row is grouped")
{
    event_loop loop;
    scripted_store store;
    store_mirror mirror { loop, store, "op/", milliseconds { 400 }, [](const store_mirror&, auto) {} };
    mirror.start();
    store.pendingList(store_listing { {}, 5, false });
    const auto tell = [&](std::int64_t revision) {
        const auto wait = store.pendingWait;
        wait(store_changes { { { false, value("op/a", std::to_string(revision), revision) } }, revision });
    };
    tell(6);
    CHECK(store.waitedFrom == 6);
    tell(7);
    CHECK(store.waitedFrom == 6);
    loop.runFor(milliseconds { 450 });
    CHECK(store.waitedFrom == 7);
    tell(8); // Still in a row.
    CHECK(store.waitedFrom == 7);
    loop.runFor(milliseconds { 450 });
    CHECK(store.waitedFrom == 8);
    std::this_thread::sleep_for(milliseconds { 1100 });
    tell(9); // After a quiet time.
    CHECK(store.waitedFrom == 9);
}

namespace {

std::vector<section_entry> numbered(int count)
{
    std::vector<section_entry> entries;
    for (int i = 0; i < count; ++i)
        entries.push_back({ "n/" + std::to_string(i), "1", 4 });
    return entries;
}

section_history historyOf(int count)
{
    section_history history("n/");
    history.replace(5, numbered(count));
    history.takeChanges();
    return history;
}

} // namespace

// Guards against copies that grow with the fleet in each of its processes.
TEST_CASE("a slice is as large before 40,000 targets as before 10,000, and several hold all of them")
{
    for (const int count : { 10000, 20000, 40000 }) {
        const auto whole = historyOf(count);
        const auto parts = sliceFor(static_cast<std::size_t>(count), {}, 0).parts;
        std::size_t all = 0;
        for (std::uint32_t seed = 0; seed < parts; ++seed) {
            const auto slice = sliceFor(static_cast<std::size_t>(count), {}, seed);
            const auto update = whole.since(0, slice);
            CHECK(update.changed.size() > 128);
            CHECK(update.changed.size() < 512);
            all += update.changed.size();
        }
        CHECK(all == static_cast<std::size_t>(count));
    }
    CHECK(sliceFor(500, {}, 7).whole());
}

TEST_CASE("a slice that is held is kept while the section's size wavers")
{
    const auto held = sliceFor(10000, {}, 7);
    CHECK(sliceFor(5000, held, 7) == held);
    CHECK(sliceFor(20000, held, 7) == held);
    CHECK(sliceFor(40000, held, 7) != held);
    CHECK(sliceFor(100, held, 7).whole());
}

// Guards against a process that is told, or keeps, what lies outside of its slice.
TEST_CASE("a slice is told of changes of its own keys alone")
{
    auto whole = historyOf(10000);
    const auto slice = sliceFor(10000, {}, 3);
    section_history copy("n/");
    REQUIRE(copy.apply(whole.since(0, slice)) == true);
    CHECK(copy.slice() == slice);
    CHECK(!copy.whole());
    copy.takeChanges();
    const auto& entries = copy.section().entries;
    const std::string inside(entries[0].key());
    const std::string leaving(entries[1].key());
    std::string outside = "n/0";
    for (int i = 1; slice.contains(outside); ++i)
        outside = "n/" + std::to_string(i);
    whole.apply(std::vector<store_event> { { false, value(inside, "2", 6) },
                    { false, value(outside, "2", 7) }, { true, value(leaving, "", 8) } },
        8);
    const auto update = whole.since(copy.askFrom(), slice);
    CHECK(update.changed.size() == 1);
    CHECK(update.removed.size() == 1);
    CHECK(copy.apply(update) == true);
    const auto changes = copy.takeChanges();
    REQUIRE(changes.size() == 2);
    CHECK(copy.askFrom() == 8);
    // From the store it hears of all keys.
    copy.apply(std::vector<store_event> { { false, value(outside, "3", 9) } }, 9);
    CHECK(copy.takeChanges().empty());
}

// Guards against targets that are taken for gone because a process keeps another slice than before.
TEST_CASE("a key that a new slice does not hold is released and not removed")
{
    const auto whole = historyOf(10000);
    section_history copy("n/");
    copy.begin(9, numbered(200));
    CHECK(copy.takeChanges().size() == 200);
    CHECK(copy.askFrom() == 0);
    CHECK(!copy.complete());
    REQUIRE(copy.apply(whole.since(0, sliceFor(10000, {}, 3))));
    CHECK(copy.complete());
    for (const auto& change : copy.takeChanges())
        CHECK(change.what != section_change::kind::removed);
}

// Guards against a process that serves others, and gives them its slice for all there is.
TEST_CASE("a process that others come to rely on reads the whole section")
{
    event_loop loop;
    scripted_store store;
    store_mirror mirror(loop, store, "n/", milliseconds { 0 }, [](const store_mirror&, auto) {});
    mirror.setFollowing(false);
    mirror.takeSlice(3);
    mirror.start(store_mirror::first_read::stale);
    CHECK(store.firsts == 1);
    store.pendingList(store_listing { { value("n/0", "1", 4) }, 5, true });
    CHECK(store.lists == 0);
    CHECK(mirror.known());
    CHECK(!mirror.history().whole());
    const auto whole = historyOf(10000);
    CHECK(mirror.offer(whole.since(0, sliceFor(10000, {}, 3))));
    CHECK(!mirror.history().whole());
    mirror.takeWhole();
    CHECK(store.lists == 1);
    CHECK(mirror.history().askFrom() == 0);
    CHECK(mirror.offer(whole.since(0)));
    CHECK(mirror.history().whole());
    CHECK(mirror.section().entries.size() == 10000);
}

// Guards against a fleet that reads the whole list in each process when nobody is heard of who follows the
// store.
TEST_CASE("a process that begins to follow the store goes on from the first entries that it has read")
{
    event_loop loop;
    scripted_store store;
    store_mirror mirror(loop, store, "n/", milliseconds { 0 }, [](const store_mirror&, auto) {});
    mirror.takeSlice(3);
    mirror.startFromPeers();
    mirror.setFollowing(true);
    CHECK(store.firsts == 1);
    store.pendingList(store_listing { { value("n/0", "1", 4), value("n/1", "1", 4) }, 5, true });
    CHECK(store.lists == 0);
    CHECK(store.waitedFrom == 5);
    store.pendingWait(
        store_changes { { { true, value("n/0", "", 6) }, { false, value("n/7", "2", 7) } }, 7 });
    REQUIRE(mirror.section().entries.size() == 2);
    CHECK(mirror.section().entries[0].key() == "n/1");
    CHECK(mirror.section().entries[1].key() == "n/7");
    CHECK(mirror.history().askFrom() == 0);
    // Peers may know the whole slice as it was a moment before.
    CHECK(mirror.offer(historyOf(10000).since(0, sliceFor(10000, {}, 3))));
    CHECK(mirror.history().askFrom() == 5);
}

TEST_CASE("a slice whose changes the store has forgotten is asked for again, and the first entries are read")
{
    event_loop loop;
    scripted_store store;
    std::vector<section_change> told;
    store_mirror mirror(loop, store, "n/", milliseconds { 0 },
        [&](const store_mirror&, auto changes) { told.insert(told.end(), changes.begin(), changes.end()); });
    mirror.takeSlice(3);
    mirror.startFromPeers();
    REQUIRE(mirror.offer(historyOf(10000).since(0, sliceFor(10000, {}, 3))));
    mirror.setFollowing(true);
    store.pendingWait(notRun(failure_kind::gone, "compacted"));
    CHECK(store.firsts == 1);
    store.pendingList(store_listing { { value("n/0", "1", 4) }, 90, true });
    CHECK(store.waitedFrom == 90);
    CHECK(mirror.history().askFrom() == 0);
    for (const auto& change : told)
        CHECK(change.what != section_change::kind::removed);
}
