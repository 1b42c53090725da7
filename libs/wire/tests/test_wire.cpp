#include "wire/wire.h"

#include <catch2/catch.hpp>

using namespace yuccachute;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time {} + 1h;

} // namespace

TEST_CASE("an envelope is unchanged by encoding and decoding")
{
    envelope message;
    slot_request request;
    request.id = 7;
    request.customer = "armor";
    request.workClass = work_class::bulk;
    request.weight = 2;
    request.prefixes = { 1, 2, 3 };
    request.deadline = start + 5s;
    request.due = start + 1h;
    request.hold = 7s;
    request.remainingEvents = 120.5;
    request.producedEvents = 17;
    request.maxEventInterval = 400ms;
    request.age = 1200ms;
    message.asks.push_back({ "screening/rennes-a/0", request });
    message.grants.push_back({ 0, 7, 8, "s1", "127.0.0.1:7001", 12ms, "v1.1" });
    message.grants.push_back({ 0, 7, 8, "s2", "127.0.0.1:7002", 12ms });
    message.refusals.push_back({ 0, 9, notRun(failure_kind::overloaded, "full", 1500ms) });
    message.moved.push_back({ 10, "127.0.0.1:9" });
    message.revokes.push_back({ "g", 11 });
    message.releases.push_back({ "g", { 12, grant_outcome::failed, 13ms, 14, 18, 3480us } });
    message.withdrawals.push_back({ "g", 15 });
    message.limits.push_back({ "vm", 7, share_request { 123456789, true, { true, { "away" } } } });
    message.limits.push_back(
        { "vm", 7, share_loan { 8, 123456789, 600ms, 0.25, 0.1, 90, { { 99, 12 } }, true, true } });
    message.limits.push_back({ "vm", 7, token_request { 5, { { 99, 0.5, 12 } } } });
    message.limits.push_back({ "vm", 7, token_transfer { 5, 600ms, { { 99, 1.3, 0.7 } } } });
    message.asks.front().ask.begun = true;
    message.asks.front().ask.version = "";
    message.origins.push_back({ { "stream", "screening", "v1.1" }, 4500ms });
    message.originQueries.push_back({ "other", "screening", 10s });
    message.originAnswers.push_back(
        { "other", "screening", stream_origin { "other", "screening", "v1" }, {} });
    message.originAnswers.push_back(
        { "unknown", "screening", std::nullopt, { version_evidence::kind::single, "v1" } });
    const auto later = start + 1h;
    peer::Envelope wire;
    toWire(message, start, wire);
    peer::Envelope received;
    REQUIRE(received.ParseFromString(wire.SerializeAsString()));
    const auto copy = fromWire(received, later);
    CHECK(copy.asks[0].ask.deadline == later + 5s);
    CHECK(copy.asks[0].ask.prefixes == request.prefixes);
    CHECK(copy.asks[0].ask.hold == 7s);
    CHECK(copy.asks[0].ask.workClass == work_class::bulk);
    CHECK(copy.asks[0].ask.remainingEvents == 120.5);
    CHECK(copy.asks[0].ask.producedEvents == 17);
    CHECK(copy.asks[0].ask.maxEventInterval == 400ms);
    CHECK(copy.asks[0].ask.age == 1200ms);
    CHECK(copy.grants[0].address == "127.0.0.1:7001");
    CHECK(copy.refusals[0].reason.retryAfter == 1500ms);
    CHECK(copy.moved[0].ownerAddress == "127.0.0.1:9");
    CHECK(copy.revokes[0].grantId == 11);
    CHECK(copy.releases[0].release.outcome == grant_outcome::failed);
    CHECK(copy.releases[0].release.events == 18);
    CHECK(copy.releases[0].release.eventInterval == 3480us);
    CHECK(copy.withdrawals[0].slotRequestId == 15);
    CHECK(copy.limits == message.limits);
    CHECK(copy.asks.front().ask.begun);
    CHECK(copy.asks.front().ask.version == "");
    CHECK(copy.grants[0].version == "v1.1");
    CHECK(!copy.grants[1].version);
    CHECK(copy.origins == message.origins);
    CHECK(copy.originQueries == message.originQueries);
    CHECK(copy.originAnswers == message.originAnswers);
}

TEST_CASE("members and settings are unchanged by encoding and decoding")
{
    const member_info member { "vm1", "rennes-a", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", 4, 5, true, 6,
        7 };
    peer::Member wireMember;
    toWire(member, wireMember);
    const auto memberCopy = fromWire(wireMember);
    CHECK(memberCopy.adminAddress == member.adminAddress);
    CHECK(memberCopy.leaving);
    CHECK(memberCopy.settingsVersion == 6);
    CHECK(memberCopy.otherProcessesVersion == 7);

    settings_tree tree;
    tree.version = 9;
    tree.nodes["fleet"] = { { { "weight", "2" } }, 8 };
    peer::Settings wireTree;
    toWire(settings_update { 5, tree, { "customer/gone" } }, wireTree);
    const auto update = fromWire(wireTree);
    CHECK(update.basedOn == 5);
    CHECK(update.removed.at(0) == "customer/gone");
    const auto& copy = update.changed;
    CHECK(copy.version == 9);
    CHECK(copy.nodes.at("fleet").revision == 8);
    CHECK(copy.nodes.at("fleet").values.at("weight") == "2");
}

TEST_CASE("heartbeats are unchanged by encoding and decoding")
{
    gossip_message message { "a", { { 1, 2, 3, 100, 90, false }, { 4, 5, 6, 80, 0, true } }, {}, { 7 } };
    peer::Digest wire;
    toWire(message, wire);
    const auto copy = fromWire(wire);
    CHECK(copy.zone == "a");
    CHECK(copy.notes[0].settingsVersion == 100);
    CHECK(copy.notes[0].otherProcessesVersion == 90);
    CHECK(copy.notes[1].settingsVersion == 80);
    CHECK(copy.notes[1].otherProcessesVersion == 0);
    CHECK(copy.notes[1].leaving);
    CHECK(copy.wanted == std::vector<std::uint32_t> { 7 });
}

// Guards against ages and due times that become negative or overflow: a suspicion with a negative age lies in
// the future and never expires, and an item that is due in the far future is late.
TEST_CASE("ages and due times of 64 bits are limited to a year")
{
    constexpr milliseconds year { std::chrono::hours { 365 * 24 } };
    for (const std::uint64_t huge :
        { ~std::uint64_t { 0 }, std::uint64_t { 1 } << 63, std::uint64_t { 9300000000000 } }) {
        peer::SyncReply reply;
        reply.add_suspects()->set_age_ms(huge);
        reply.add_standings()->set_age_ms(huge);
        const auto answer = fromWire(reply);
        CHECK(answer.suspects.at(0).age == year);
        CHECK(answer.standings.at(0).age == year);
        peer::Envelope wire;
        wire.add_asks()->set_due_in_ms(huge);
        CHECK(fromWire(wire, start).asks.at(0).ask.due == start + year);
    }
}

// Guards against times that 32 bits do not hold: a hold that had just passed was sent as one of 49 days.
TEST_CASE("times that are negative or too long for a message are sent as the nearest one")
{
    constexpr milliseconds longest { 4294967295 };
    const auto holdAfterSending = [](milliseconds hold) {
        envelope message;
        slot_request request;
        request.hold = hold;
        request.deadline = start + hold;
        message.asks.push_back({ "group", request });
        peer::Envelope wire;
        toWire(message, start, wire);
        const auto received = fromWire(wire, start).asks.at(0).ask;
        CHECK(received.deadline == start + received.hold);
        return received.hold;
    };
    CHECK(holdAfterSending(-5ms) == 0ms);
    CHECK(holdAfterSending(longest) == longest);
    CHECK(holdAfterSending(longest + 5ms) == longest);
}

TEST_CASE("reports of suspected requests are unchanged by encoding and decoding")
{
    const suspect_report note { { 1, 2 }, { 3, 4 }, milliseconds { 500 } };
    peer::SyncRequest wireQuestion;
    toWire(sync_question { { { "targets/", 7 } }, { note }, 9 }, wireQuestion);
    const auto question = fromWire(wireQuestion);
    CHECK(question.known.at(0).revision == 7);
    CHECK(question.suspects.at(0).identity == note.identity);
    CHECK(question.suspectsDigest == 9);
    sync_answer answer;
    answer.suspects = { note };
    answer.suspectsDigest = 8;
    peer::SyncReply wireAnswer;
    toWire(answer, false, wireAnswer);
    const auto copy = fromWire(wireAnswer);
    CHECK(copy.suspects.at(0).record == note.record);
    CHECK(copy.suspects.at(0).age == note.age);
    CHECK(copy.suspectsDigest == 8);
}

// When a fleet of 300 processes restarts, each requests the list of 3,000 targets, which has 900 KB
// uncompressed. The network links of the queried processes were saturated for half a minute, all requests
// timed out and were retried, and all callers had to wait.
TEST_CASE("large sections are compressed for receivers that accept compression")
{
    section_update update { "targets/", 12, {}, 0, { "targets/gone" }, 5 };
    for (int i = 0; i < 3000; ++i)
        update.changed.push_back({ "targets/i-" + std::to_string(i * 7919),
            R"({"service":"llm","address":"10.3.64.)" + std::to_string(i % 250)
                + R"(:8000","zone":"vannes-c","version":"v1","slots":8,"state":"ready","cold_left_ms":0})",
            i + 1 });
    peer::Section uncompressed;
    toWire(update, false, uncompressed);
    peer::Section compressed;
    toWire(update, true, compressed);
    CHECK(compressed.ByteSizeLong() * 5 < uncompressed.ByteSizeLong());
    for (const auto* wire : { &uncompressed, &compressed }) {
        const auto read = fromWire(*wire);
        REQUIRE(read);
        CHECK(read.value().changed == update.changed);
        CHECK(read.value().removed == update.removed);
        CHECK(read.value().keysDigest == 5);
    }
    compressed.set_packed_entries("damaged");
    CHECK(!fromWire(compressed));
}

TEST_CASE("small sections are sent uncompressed")
{
    const section_update update { "orders/", 12, { { "orders/config", "{}", 3 } }, 9, {}, 0 };
    peer::Section wire;
    toWire(update, true, wire);
    CHECK(wire.entries_size() == 1);
    CHECK(fromWire(wire).value().changed == update.changed);
}
