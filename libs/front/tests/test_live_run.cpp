#include "../src/request_drain.h"
#include "front/front.h"
#include "support/whole_list.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

/// The caller's side of an exchange. Records what is sent to it.
class recording_caller final : public http_exchange {
public:
    explicit recording_caller(http_request request)
        : m_request(std::move(request))
        , m_received(std::chrono::steady_clock::now())
    {
    }
    const http_request& request() const override { return m_request; }
    steady_time received() const override { return m_received; }
    void send(http_reply given) override { reply = std::move(given); }
    void startStream(unsigned given, const http_headers& headers, std::optional<std::uint64_t>) override
    {
        status = given;
        head = headers;
    }
    void write(std::string_view piece) override { body += piece; }
    void finish() override { finished = true; }
    void abort() override { aborted = true; }
    std::size_t unsentBytes() const override { return unsent; }
    void onDrained(std::function<void()>) override { }
    void onCallerGone(std::function<void()> notify) override { onGone = std::move(notify); }

    std::size_t unsent = 0;
    std::optional<http_reply> reply;
    unsigned status = 0;
    http_headers head;
    std::string body;
    bool finished = false;
    bool aborted = false;
    std::function<void()> onGone;

private:
    http_request m_request;
    steady_time m_received;
};

class scripted_slots final : public slot_source {
public:
    struct acquisition : slot_acquisition {
        explicit acquisition(scripted_slots& slots)
            : owner(slots)
        {
        }
        ~acquisition() override { owner.withdrawn = true; }
        scripted_slots& owner;
    };
    std::shared_ptr<slot_acquisition> acquire(
        slot_requirements request, std::function<void(result<held_slot>)> done) override
    {
        ++acquisitions;
        last = std::move(request);
        answer = std::move(done);
        withdrawn = false;
        return std::make_shared<acquisition>(*this);
    }
    void release(const held_slot& taken, const slot_usage& usage) override
    {
        released += taken.target + ":" + std::to_string(static_cast<int>(usage.outcome)) + " ";
        lastUsage = usage;
    }
    void grant(const std::string& target, std::optional<std::string> version = "v1")
    {
        held_slot found;
        found.target = target;
        found.address = target;
        found.version = version;
        const auto done = answer;
        done(found);
    }

    int acquisitions = 0;
    slot_requirements last;
    std::function<void(result<held_slot>)> answer;
    bool withdrawn = false;
    std::string released;
    slot_usage lastUsage;
};

class scripted_targets final : public target_client {
public:
    struct call final : client_call {
        void cancel() override { cancelled = true; }
        void pause() override { }
        void resume() override { }
        void setLimits(const answer_limits& given) override { limits = given; }
        void eventsReceived() override { ++eventReports; }
        ~call() override { cancelled = true; }
        bool cancelled = false;
        answer_limits limits;
        int eventReports = 0;
    };
    std::shared_ptr<client_call> start(std::string_view address, const http_request& request,
        const client_call_options& options, client_call_events events) override
    {
        sent += std::string(address) + "@" + std::string(findHeader(request.headers, "Last")) + " ";
        customer = findHeader(request.headers, "Customer");
        fresh = options.freshConnection;
        answerId = options.answerId;
        if (running && !running->cancelled)
            overlapped = true;
        running = std::make_shared<call>();
        running->limits = options.limits;
        current = std::move(events);
        return running;
    }
    void head(unsigned status, http_headers headers = {})
    {
        const auto events = current;
        accepted = events.head({ status, std::move(headers), "" });
    }
    void body(std::string_view piece)
    {
        const auto events = current;
        accepted = events.body(piece);
    }
    void whole()
    {
        const auto events = current;
        running->cancelled = true;
        events.whole();
    }
    void fail(failure error)
    {
        const auto events = current;
        running->cancelled = true;
        events.failed(error);
    }

    std::string sent;
    std::string customer; ///< Customer sent to the last target.
    bool fresh = false;
    std::string answerId; ///< Of the options of the last call.
    bool overlapped = false;
    bool accepted = true;
    std::shared_ptr<call> running;
    client_call_events current;
};

/// Protocol with the header names "Last", "Customer", "Refused" and "Foreign".
class plain_protocol final : public caller_protocol {
public:
    result<request_facts> describe(const http_request&) const override { return request_facts {}; }
    http_request forTarget(const http_request& request, const target_envelope& envelope) const override
    {
        auto sent = request;
        sent.headers.emplace_back("Last", envelope.lastEvent ? std::to_string(*envelope.lastEvent) : "");
        sent.headers.emplace_back("Customer", envelope.customer.value_or("as sent"));
        return sent;
    }
    void removeKey(http_headers&) const override { }
    answer_meaning classify(const http_reply& head, std::string_view) const override
    {
        if (!findHeader(head.headers, "Refused").empty())
            return answer_meaning::not_run;
        return findHeader(head.headers, "Foreign").empty() ? answer_meaning::own : answer_meaning::foreign;
    }
};

/// Load reports of targets that either refuse the connection, as after a termination, or respond.
class scripted_loads final : public load_report_source {
public:
    void ask(const std::string&, callback done) override
    {
        if (silent)
            done(mayHaveRun(failure_kind::timeout, "no response"));
        else if (refuses)
            done(notRun(failure_kind::unavailable, "connection refused"));
        else if (!neverAnswers)
            done(load_report {});
    }
    void askStart(const std::string& address, const std::string& target, callback done) override
    {
        askedStarts += target + '@' + address + ' ';
        if (restarted)
            return done(notRun(failure_kind::gone, "another start of the target responds"));
        ask(address, std::move(done));
    }
    std::string askedStarts;
    bool restarted = false;
    bool refuses = true;
    bool silent = false;
    bool neverAnswers = false;
};

class scripted_origins final : public stream_origins {
public:
    struct lookup : origin_lookup { };
    void record(const stream_origin& origin, milliseconds) override { recorded.push_back(origin); }
    std::optional<std::string> versionToBegin(
        const std::string&, const std::optional<std::string>& granted) override
    {
        const auto found = versionsToBegin.find(granted.value_or(""));
        return found == versionsToBegin.end() ? std::nullopt : std::optional(found->second);
    }
    std::shared_ptr<origin_lookup> find(
        const origin_query& query, std::function<void(result<stream_origin>)> done) override
    {
        asked = query.streamId;
        answer = std::move(done);
        return std::make_shared<lookup>();
    }

    std::vector<stream_origin> recorded;
    std::map<std::string, std::string> versionsToBegin; ///< By granted version; "" before a grant.
    std::string asked;
    std::function<void(result<stream_origin>)> answer;
};

struct fixture {
    explicit fixture(request_kind kind = request_kind::streaming, bool resumable = true, int timeoutMs = 1000,
        request_guard* guard = nullptr, const std::string& key = "", int ageMs = 0,
        std::optional<std::uint64_t> resumedAfter = std::nullopt, std::vector<prompt_part> promptParts = {})
    {
        services.guard = guard;
        services.drain = &drain;
        auto made = std::make_shared<routing_table>();
        route one;
        one.name = "r";
        one.kind = kind;
        one.resumable = resumable;
        one.timeout = milliseconds { timeoutMs };
        one.objective = milliseconds { 300 };
        one.maxAttempts = 2;
        one.shares = { { "service", 1 } };
        made->routes = { one };
        if (!key.empty())
            made->customers.add({ "firm", 0, 0, 0, 0 }, std::vector { key });
        table = made;
        request_facts facts;
        facts.id = "id";
        facts.promptParts = std::move(promptParts);
        if (resumedAfter) {
            facts.lastEvent = resumedAfter;
            facts.resumes = "first";
        }
        services.origins = &origins;
        serveLive(services, caller,
            { facts, table, table->routes[0], { table->customers.byKey(key) }, milliseconds { ageMs } });
    }
    void run(int ms = 5) { loop.runFor(milliseconds { ms }); }

    event_loop loop;
    scripted_slots slots;
    scripted_targets targets;
    plain_protocol protocol;
    metrics figures;
    scripted_origins origins;
    request_drain drain;
    live_services services { loop, slots, targets, protocol, figures };
    std::shared_ptr<recording_caller> caller = std::make_shared<recording_caller>(http_request {});
    std::shared_ptr<const routing_table> table;
};

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) + "\n\n";
}

failure connectionReset()
{
    return mayHaveRun(failure_kind::incomplete, "connection reset");
}

} // namespace

// Guards against a process that ends by std::out_of_range, thrown by the conversion of the length.
TEST_CASE("an answer whose length is no number is taken for one without a length")
{
    for (const char* length : { "99999999999999999999999", "x", ", 5", "-1" }) {
        fixture f(request_kind::safe);
        f.slots.grant("t1");
        f.targets.head(200, { { "Content-Length", length }, { "Transfer-Encoding", "chunked" } });
        f.targets.body("ok");
        f.targets.whole();
        CHECK(f.caller->body == "ok");
        CHECK(f.caller->finished);
    }
}

// Guards against limits of the wrong kind of answer, and against events that do not renew them.
TEST_CASE("a target's answer has the limits of its kind, and whole events renew them")
{
    fixture plain(request_kind::safe);
    plain.slots.grant("t1");
    plain.targets.head(200, { { "Content-Length", "2" } });
    CHECK(plain.targets.running->limits.kind == plainLimits.kind);
    fixture refused;
    refused.slots.grant("t1");
    refused.targets.head(503, { { "Refused", "1" } });
    CHECK(refused.targets.running->limits.kind == discardedLimits.kind);
    fixture stream;
    stream.slots.grant("t1");
    stream.targets.head(200);
    CHECK(stream.targets.running->limits.eventBytes == maxEventBytes);
    stream.targets.body("id: 1\ndata");
    CHECK(stream.targets.running->eventReports == 0);
    stream.targets.body(": x\n\n");
    CHECK(stream.targets.running->eventReports == 1);
}

TEST_CASE("the limit of a stream follows the tokens that its request may produce, within bounds")
{
    CHECK(streamLimits(0).bodyBytes == maxUnknownStreamBytes);
    CHECK(streamLimits(100).bodyBytes == maxEventBytes + 100 * maxBytesPerToken);
    CHECK(
        streamLimits(std::numeric_limits<std::uint64_t>::max()).bodyBytes == maxEventBytes + maxStreamBytes);
}

TEST_CASE("a stream is relayed event by event, and its slot released at the end")
{
    fixture f;
    f.slots.grant("t1");
    f.targets.head(200, { { "Seal", "s1" }, { "Connection", "keep-alive" } });
    CHECK(f.caller->status == 0); // Before the first event the request can still move to another target.
    f.targets.body(event(1) + "id: 2\nda");
    CHECK(f.caller->status == 200);
    CHECK(f.caller->head == http_headers { { "Seal", "s1" } });
    CHECK(f.caller->body == event(1));
    f.targets.body("ta: x2\n\n");
    f.targets.whole();
    CHECK(f.caller->body == event(1) + event(2));
    CHECK(f.caller->finished);
    CHECK(f.slots.released == "t1:0 ");
}

// Guards against a wait at the target, or slow reading by the caller, that counts as a slow target.
TEST_CASE("a release tells the number of events and the interval between them, without wait and pauses")
{
    fixture f;
    f.slots.grant("t1");
    f.targets.head(200);
    f.run(100);
    f.targets.body(event(1));
    f.run(20);
    f.targets.body(event(2) + event(3));
    f.run(20);
    f.caller->unsent = 1u << 20; // Reading from the target pauses with this event.
    f.targets.body(event(4));
    f.caller->unsent = 0;
    f.run(200);
    f.targets.body(event(5));
    f.targets.whole();
    CHECK(f.slots.lastUsage.events == 5);
    CHECK(f.slots.lastUsage.eventInterval >= milliseconds { 13 });
    CHECK(f.slots.lastUsage.eventInterval < milliseconds { 45 });
}

// Guards against figures of the first target that are released as those of the second one.
TEST_CASE("the figures of a release are those of its own run")
{
    fixture f;
    f.slots.grant("t1");
    f.targets.head(200);
    f.targets.body(event(1) + event(2) + event(3));
    f.targets.fail(connectionReset());
    CHECK(f.slots.lastUsage.events == 3);
    f.slots.grant("t2");
    f.targets.head(200);
    f.targets.body(event(4));
    f.targets.whole();
    CHECK(f.slots.lastUsage.events == 1);
    CHECK(f.slots.lastUsage.eventInterval == milliseconds { 0 });
}

// A target terminates in the middle of an event of a resumable stream. The caller must receive the rest from
// another target without a duplicate, missing or partial event.
TEST_CASE("an interrupted stream resumes after its last complete event and keeps its first response head")
{
    fixture f;
    f.slots.grant("t1");
    f.targets.head(200, { { "Seal", "s1" } });
    f.targets.body(event(1) + event(2) + "id: 3\nda");
    f.targets.fail(connectionReset());
    REQUIRE(f.slots.acquisitions == 2);
    CHECK(f.slots.last.avoid == "t1");
    f.slots.grant("t2");
    CHECK(f.targets.sent == "t1@ t2@2 ");
    f.targets.head(200, { { "Seal", "s2" } });
    f.targets.body(event(3));
    f.targets.whole();
    CHECK(f.caller->body == event(1) + event(2) + event(3));
    CHECK(f.caller->head == http_headers { { "Seal", "s1" } });
    CHECK(f.caller->finished);
}

// A stream is interrupted and resumed at another target, which responds with 500. The body of the error was
// sent to the caller as the rest of the stream, which then ended as if it were complete.
TEST_CASE("an error response instead of the rest of a stream aborts the caller's response")
{
    fixture f;
    f.slots.grant("t1");
    f.targets.head(200);
    f.targets.body("id: 1\ndata: a\n\nid: 2\nda");
    f.targets.fail(mayHaveRun(failure_kind::incomplete, "connection reset"));
    f.slots.grant("t2");
    f.targets.head(500, { { "Content-Length", "7" } });
    f.targets.body("failure");
    f.targets.whole();
    f.run();
    CHECK(f.caller->body == "id: 1\ndata: a\n\n");
    CHECK(!f.caller->finished);
    CHECK(f.caller->aborted);
    CHECK(f.slots.released == "t1:2 t2:2 ");
}

// After an interruption the second target resumes at the wrong event, and the caller misses one.
TEST_CASE("events after a gap in a stream are not relayed")
{
    fixture f;
    f.slots.grant("t1");
    f.targets.head(200);
    f.targets.body(event(1));
    f.targets.body(event(3));
    CHECK(!f.targets.accepted);
    CHECK(f.caller->body == event(1));
}

// A target aborts a request that must not run twice. If the caller receives "not run", it sends the request
// again and the request runs a second time.
TEST_CASE("a request that must not be retried is sent once and fails with 502")
{
    for (const auto kind : { request_kind::unsafe, request_kind::streaming }) {
        fixture f(kind, false);
        f.slots.grant("t1");
        CHECK(f.targets.fresh);
        f.targets.fail(connectionReset());
        CHECK(f.slots.acquisitions == 1);
        REQUIRE(f.caller->reply);
        CHECK(f.caller->reply->status == 502);
    }
}

TEST_CASE("a stream that cannot be resumed ends with an aborted connection")
{
    fixture f(request_kind::streaming, false);
    f.slots.grant("t1");
    f.targets.head(200);
    f.targets.body(event(1));
    f.targets.fail(connectionReset());
    CHECK(f.caller->aborted);
    CHECK(!f.caller->finished);
}

TEST_CASE("a request that has not run is sent to another target, whatever its kind")
{
    fixture f(request_kind::unsafe);
    f.slots.grant("t1");
    f.targets.fail(notRun(failure_kind::unavailable, "refused connection"));
    f.slots.grant("t2");
    f.targets.head(503, { { "Refused", "1" } });
    f.targets.whole();
    CHECK(f.slots.acquisitions == 3);
    CHECK(f.slots.released == "t1:2 t2:1 ");
    f.slots.answer(notRun(failure_kind::overloaded, "full", milliseconds { 1500 }));
    REQUIRE(f.caller->reply);
    CHECK(f.caller->reply->status == 503);
    CHECK(findHeader(f.caller->reply->headers, "Retry-After") == "1.500");
}

// A safe request ran at a target whose response was lost, and no other target has a free slot. A 503 would
// claim that the request has not run.
TEST_CASE("a request that may have run is never reported as not run")
{
    fixture f(request_kind::safe);
    f.slots.grant("t1");
    f.targets.fail(connectionReset());
    f.slots.answer(notRun(failure_kind::overloaded, "full", milliseconds { 100 }));
    REQUIRE(f.caller->reply);
    CHECK(f.caller->reply->status == 502);
}

TEST_CASE(
    "after an error response a retryable request is retried; otherwise the response is relayed unchanged")
{
    fixture safe(request_kind::safe);
    safe.slots.grant("t1");
    safe.targets.head(500);
    safe.targets.body("bad");
    safe.targets.whole();
    safe.slots.grant("t2");
    safe.targets.head(200);
    safe.targets.body("good");
    safe.targets.whole();
    CHECK(safe.caller->status == 200);
    CHECK(safe.caller->body == "good");

    fixture unsafe(request_kind::unsafe);
    unsafe.slots.grant("t1");
    unsafe.targets.head(500, { { "Seal", "s" } });
    unsafe.targets.body("bad");
    unsafe.targets.whole();
    CHECK(unsafe.caller->status == 500);
    CHECK(unsafe.caller->body == "bad");
    CHECK(unsafe.caller->head == http_headers { { "Seal", "s" } });
}

// A late duplicate response to an earlier request arrives instead of the response to this request.
TEST_CASE("a response to another request is never relayed")
{
    fixture f(request_kind::safe);
    f.slots.grant("t1");
    f.targets.head(200, { { "Foreign", "1" } });
    CHECK(!f.targets.accepted);
    f.targets.fail(connectionReset());
    f.slots.grant("t2");
    f.targets.head(200);
    f.targets.body("own");
    f.targets.whole();
    CHECK(f.caller->body == "own");
}

// A target becomes unreachable and its connections hang. Callers waited until their deadline.
TEST_CASE("without a first event the request moves to another target after the first call is cancelled")
{
    fixture f;
    f.slots.grant("t1");
    f.run(160);
    REQUIRE(f.slots.acquisitions == 2);
    CHECK(!f.targets.running->cancelled); // It may still respond while a slot is being acquired.
    f.slots.grant("t2");
    CHECK(!f.targets.overlapped);
    CHECK(f.slots.released == "t1:2 ");
    f.targets.head(200);
    f.targets.body(event(1));
    f.targets.whole();
    CHECK(f.caller->finished);
}

TEST_CASE("a target that responds during the acquisition of another slot keeps the request")
{
    fixture f;
    f.slots.grant("t1");
    f.run(160);
    REQUIRE(f.slots.acquisitions == 2);
    f.targets.head(200);
    f.targets.body(event(1));
    CHECK(f.slots.withdrawn);
    f.targets.whole();
    CHECK(f.caller->finished);
    CHECK(f.targets.sent == "t1@ ");
}

TEST_CASE("when the caller disconnects, the call to the target is cancelled")
{
    fixture f;
    f.slots.grant("t1");
    f.targets.head(200);
    f.targets.body(event(1));
    f.caller->onGone();
    CHECK(f.targets.running->cancelled);
    CHECK(f.slots.released == "t1:3 ");
}

TEST_CASE("at its deadline a waiting request fails with 503 and one that was sent with 504")
{
    fixture waiting(request_kind::streaming, true, 30);
    waiting.run(60);
    REQUIRE(waiting.caller->reply);
    CHECK(waiting.caller->reply->status == 503);

    fixture sent(request_kind::unsafe, true, 30);
    sent.slots.grant("t1");
    sent.run(60);
    REQUIRE(sent.caller->reply);
    CHECK(sent.caller->reply->status == 504);
    CHECK(sent.targets.running->cancelled);
}

namespace {

/// The request guard of an entry, shared by several identical requests, with load reports that show whether
/// their targets terminated.
struct guard_fixture {
    guard_fixture()
    {
        whole_list::value_map targets;
        for (const auto* name : { "t1", "t2", "t3" }) {
            listed_target target;
            target.id = name;
            target.address = name;
            targets.emplace(name, target);
        }
        const auto now = std::chrono::steady_clock::now();
        const auto changes = listed.changesTo(targets, now);
        guard.setTargets(listed.directory(), changes, now);
    }
    event_loop loop;
    scripted_loads loads;
    metrics figures;
    whole_list listed;
    request_guard guard { loop, loads, figures };
};

} // namespace

// A request terminates each target that runs it. It was retried at the next target, and each new attempt of
// its caller, with another id, started over, so that it terminated one target after the other.
TEST_CASE("a request that terminates its targets is not retried, and its caller's next attempt is refused")
{
    guard_fixture all;
    fixture first(request_kind::streaming, true, 1000, &all.guard);
    first.slots.grant("t1");
    first.targets.fail(connectionReset());
    REQUIRE(first.slots.acquisitions == 2); // A single termination may be a coincidence.
    first.slots.grant("t2");
    first.targets.fail(connectionReset());
    REQUIRE(first.caller->reply);
    CHECK(first.caller->reply->status == 502);

    fixture second(request_kind::streaming, true, 1000, &all.guard);
    second.slots.grant("t3");
    second.targets.fail(connectionReset());
    CHECK(second.slots.acquisitions == 1);
    REQUIRE(second.caller->reply);
    CHECK(second.caller->reply->status == 502);

    fixture third(request_kind::streaming, true, 1000, &all.guard);
    CHECK(third.slots.acquisitions == 0);
    REQUIRE(third.caller->reply);
    CHECK(third.caller->reply->status == 429);
    CHECK(!findHeader(third.caller->reply->headers, "Retry-After").empty());
}

TEST_CASE("a request whose targets abort it but keep running is retried and not suspected")
{
    guard_fixture all;
    all.loads.refuses = false;
    for (int i = 0; i < 4; ++i) {
        fixture f(request_kind::streaming, true, 1000, &all.guard);
        f.slots.grant("t1");
        f.targets.fail(connectionReset());
        REQUIRE(f.slots.acquisitions == 2);
        f.slots.grant("t2");
        f.targets.fail(connectionReset());
    }
    CHECK_FALSE(all.guard.hasSuspects());
}

TEST_CASE("a complete response clears a suspected request")
{
    guard_fixture all;
    fixture first(request_kind::streaming, true, 1000, &all.guard);
    first.slots.grant("t1");
    first.targets.fail(connectionReset());
    CHECK(all.guard.hasSuspects());
    first.slots.grant("t2");
    first.targets.head(200, { { "Transfer-Encoding", "chunked" } });
    first.targets.body(event(1));
    first.targets.whole();
    CHECK(first.caller->finished);
    const auto identity = identityOf(first.caller->request(), "");
    CHECK(all.guard.record(identity) == strike_record { 1, 0 });
}

// A target terminates in the middle of a response without a length. The closed connection looks like the end
// of the response, and the request as if it had been served.
TEST_CASE("a response whose end cannot be told from a broken connection does not clear a suspected request")
{
    guard_fixture all;
    fixture first(request_kind::streaming, true, 1000, &all.guard);
    first.slots.grant("t1");
    first.targets.fail(connectionReset());
    first.slots.grant("t2");
    first.targets.head(200);
    first.targets.body(event(1));
    first.targets.whole();
    CHECK_FALSE(first.caller->finished);
    CHECK(all.guard.record(identityOf(first.caller->request(), "")).strikes == 2);
}

// A caller sets the customer header, which only the entry may set, to another customer's name. The target
// would account the request to the wrong customer. The slot, too, must be acquired for the customer of the
// key.
TEST_CASE("the target and the dispatcher receive the customer that the key belongs to")
{
    fixture f(request_kind::streaming, true, 1000, nullptr, "key");
    CHECK(f.slots.last.customer == "firm");
    f.slots.grant("t1");
    CHECK(f.targets.customer == "firm");

    fixture without;
    CHECK(without.slots.last.customer == "r");
    without.slots.grant("t1");
    CHECK(without.targets.customer == "as sent");
}

TEST_CASE("a first attempt waits for a slot within its objective and is refused at its end")
{
    fixture f(request_kind::streaming, true, 5000);
    CHECK(f.slots.last.age.count() == 0);
    CHECK(f.slots.last.grantDeadline == f.caller->received() + milliseconds { 250 });
    f.slots.answer(notRun(failure_kind::overloaded, "full", milliseconds { 1500 }));
    REQUIRE(f.caller->reply);
    CHECK(f.caller->reply->status == 503);
    CHECK(f.slots.acquisitions == 1);
}

// Guards against refusals at the end of an objective that the request had missed before it arrived: its
// caller had waited for a connection while all VMs were down.
TEST_CASE("a request that is late on arrival waits for a slot until its deadline")
{
    fixture f(request_kind::streaming, true, 5000, nullptr, "", 900);
    CHECK(f.slots.last.age >= milliseconds { 900 });
    CHECK(f.slots.last.grantDeadline == f.caller->received() + milliseconds { 5000 });
    // Only a wait that exceeds its deadline is a reason to refuse it.
    f.slots.answer(notRun(failure_kind::overloaded, "full", milliseconds { 6000 }));
    REQUIRE(f.caller->reply);
    CHECK(f.caller->reply->status == 503);
    CHECK(f.slots.acquisitions == 1);
}

TEST_CASE("a repeated attempt that cannot be on time after all waits until its deadline")
{
    fixture f(request_kind::streaming, true, 5000, nullptr, "", 100);
    CHECK(f.slots.last.age >= milliseconds { 100 });
    CHECK(f.slots.last.grantDeadline == f.caller->received() + milliseconds { 150 });
    f.slots.answer(notRun(failure_kind::overloaded, "full", milliseconds { 1500 }));
    CHECK(!f.caller->reply);
    CHECK(f.slots.acquisitions == 2);
    CHECK(f.slots.last.grantDeadline == f.caller->received() + milliseconds { 5000 });
    f.slots.answer(notRun(failure_kind::overloaded, "full", milliseconds { 6000 }));
    CHECK(f.caller->reply);
    CHECK(f.slots.acquisitions == 2);
}

// Guards against a stream that is interrupted and then waits behind requests that have not begun, because its
// caller had repeated it.
TEST_CASE("a request that has begun, or whose deadline comes first, has no age")
{
    fixture f(request_kind::streaming, true, 5000, nullptr, "", 900);
    f.slots.grant("t1");
    f.targets.head(200);
    f.targets.body(event(1));
    f.targets.fail(connectionReset());
    REQUIRE(f.slots.acquisitions == 2);
    CHECK(f.slots.last.begun);
    CHECK(f.slots.last.age.count() == 0);
    fixture deadlineFirst(request_kind::streaming, true, 150, nullptr, "", 100);
    CHECK(deadlineFirst.slots.last.age.count() == 0);
}

// Guards against streams that begin at a version whose record the store has lost, and are continued at
// another version after all entries were killed.
TEST_CASE("a stream that may be resumed begins at the version that its process requires")
{
    fixture f;
    f.origins.versionsToBegin = { { "v2", "v1" } };
    CHECK(!f.slots.last.version);
    f.slots.grant("t2", "v2"); // Of a target that this process does not know yet.
    CHECK(f.slots.released == "t2:4 ");
    CHECK(f.targets.sent.empty());
    CHECK(f.slots.last.version == "v1");
    f.slots.grant("t1", "v1");
    CHECK(f.targets.sent == "t1@ ");
    f.targets.head(200);
    f.targets.body(event(1));
    CHECK(f.origins.recorded == std::vector<stream_origin> { { "id", "service", "v1" } });
}

TEST_CASE("a request that cannot be resumed runs at any version")
{
    for (const auto kind : { request_kind::streaming, request_kind::safe }) {
        fixture f(kind, false);
        f.origins.versionsToBegin = { { "", "v1" }, { "v2", "v1" } };
        f.slots.grant("t2", "v2");
        CHECK(!f.slots.last.version);
        CHECK(f.targets.sent == "t2@ ");
    }
}

// Guards against a failover within one response to a target of another software version.
TEST_CASE("after its first event a stream is bound to the software version that sent it")
{
    fixture f;
    CHECK(!f.slots.last.version);
    f.slots.grant("t1", "v1");
    f.targets.head(200);
    f.targets.body(event(1));
    CHECK(f.origins.recorded == std::vector<stream_origin> { { "id", "service", "v1" } });
    f.targets.fail(connectionReset());
    REQUIRE(f.slots.acquisitions == 2);
    CHECK(f.slots.last.version == "v1");
    f.slots.grant("t2", "v1");
    f.targets.head(200);
    f.targets.body(event(2));
    f.targets.whole();
    CHECK(f.caller->finished);
    CHECK(f.origins.recorded.size() == 1);
}

// Guards against new streams that are bound to the version of a target that never answered.
TEST_CASE("before its first event a stream can move to any software version")
{
    fixture f;
    f.slots.grant("t1", "v1");
    f.targets.fail(connectionReset());
    REQUIRE(f.slots.acquisitions == 2);
    CHECK(!f.slots.last.version);
    f.slots.grant("t2", "v2");
    f.targets.head(200);
    f.targets.body(event(1));
    CHECK(f.origins.recorded == std::vector<stream_origin> { { "id", "service", "v2" } });
}

// Guards against a guess where neither a dispatcher nor the list of targets has the version.
TEST_CASE("a stream from a target of unknown version is not continued elsewhere")
{
    fixture f;
    f.slots.grant("t1", std::nullopt);
    f.targets.head(200);
    f.targets.body(event(1));
    f.targets.fail(connectionReset());
    f.run();
    CHECK(f.slots.acquisitions == 1);
    CHECK(f.caller->aborted);
    CHECK(f.origins.recorded.empty());
}

// Guards against a resumed stream that is placed like a new request.
TEST_CASE("a stream that its caller resumes is bound to the version that began it")
{
    fixture f(request_kind::streaming, true, 1000, nullptr, "", 0, 7);
    CHECK(f.slots.acquisitions == 0);
    CHECK(f.origins.asked == "first");
    f.origins.answer(stream_origin { "first", "service", "v2" });
    REQUIRE(f.slots.acquisitions == 1);
    CHECK(f.slots.last.version == "v2");
    f.slots.grant("t1", "v2");
    CHECK(f.targets.sent == "t1@7 ");
    f.targets.head(200);
    f.targets.body(event(8));
    CHECK(f.origins.recorded == std::vector<stream_origin> { { "first", "service", "v2" } });
}

// Guards against a stream of unknown origin that is sent to a target by guess, or whose caller waits in vain.
TEST_CASE("a stream of unknown origin is refused at once and not run")
{
    fixture f(request_kind::streaming, true, 1000, nullptr, "", 0, 7);
    f.origins.answer(notRun(failure_kind::unavailable, "unknown", milliseconds { 100 }));
    f.run();
    REQUIRE(f.caller->reply);
    CHECK(f.caller->reply->status == 503);
    CHECK(findHeader(f.caller->reply->headers, "Retry-After") == "0.100");
    CHECK(f.slots.acquisitions == 0);
    CHECK(f.targets.sent.empty());
}

// Guards against a route that has moved to another service since the stream began.
TEST_CASE("a stream is not resumed at another service than the one that began it")
{
    fixture f(request_kind::streaming, true, 1000, nullptr, "", 0, 7);
    f.origins.answer(stream_origin { "first", "former service", "v1" });
    f.run();
    REQUIRE(f.caller->reply);
    CHECK(f.caller->reply->status == 503);
    CHECK(f.slots.acquisitions == 0);
}

namespace {

constexpr prompt_part harmfulPart { 9 };

/// A request whose prompt contains the part that ends targets.
struct harmful_fixture : fixture {
    explicit harmful_fixture(request_guard& guard)
        : fixture(request_kind::streaming, true, 1000, &guard, "", 0, std::nullopt,
            { prompt_part { 1 }, harmfulPart })
    {
    }
};

void endTargets(request_guard& guard, std::initializer_list<const char*> targets)
{
    const std::vector<prompt_part> parts { harmfulPart };
    for (const auto* target : targets)
        guard.aborted({ request_identity { 5, 5 }, {}, { target, target }, parts, 0 }, nullptr);
}

} // namespace

// Guards against requests that wait for a slot while the part of their prompts becomes known.
TEST_CASE("a request whose prompt part becomes refused while it waits is refused as not run")
{
    guard_fixture all;
    harmful_fixture f(all.guard);
    endTargets(all.guard, { "t1", "t2", "t3" });
    f.slots.grant("t2");
    CHECK(f.targets.sent.empty());
    CHECK(f.slots.lastUsage.outcome == grant_outcome::unused);
    REQUIRE(f.caller->reply);
    CHECK(f.caller->reply->status == 429);
}

TEST_CASE("a request with a part that has ended two targets is not retried")
{
    guard_fixture all;
    endTargets(all.guard, { "t1" });
    harmful_fixture f(all.guard);
    f.slots.grant("t2");
    f.targets.fail(connectionReset());
    CHECK(f.slots.acquisitions == 1);
    REQUIRE(f.caller->reply);
    CHECK(f.caller->reply->status == 502);
}

// Guards against ends that are taken for answers where responses have neither length nor chunks.
TEST_CASE("a response without framing acquits the parts of its prompt only if its target still runs")
{
    for (const bool terminated : { true, false }) {
        guard_fixture all;
        endTargets(all.guard, { "t1" });
        all.loads.refuses = terminated;
        harmful_fixture f(all.guard);
        f.slots.grant("t2");
        f.targets.head(200);
        f.targets.body(event(1));
        f.targets.whole();
        CHECK(f.caller->finished == !terminated);
        CHECK(all.guard.hasStrikes(std::vector { harmfulPart }) == terminated);
    }
}

// Guards against a target that ends before its first event and whose closed connection looks like the end of
// the stream.
TEST_CASE("a stream that ends with its connection and without an event is not complete")
{
    fixture f;
    for (const auto* target : { "t1", "t2" }) {
        f.slots.grant(target);
        f.targets.head(200);
        f.targets.whole();
    }
    CHECK(f.targets.sent == "t1@ t2@ ");
    CHECK_FALSE(f.caller->finished);
    REQUIRE(f.caller->reply);
    CHECK(f.caller->reply->status == 502);

    fixture framed;
    framed.slots.grant("t1");
    framed.targets.head(200, { { "Transfer-Encoding", "chunked" } });
    framed.targets.whole();
    CHECK(framed.caller->finished);
}

TEST_CASE(
    "a resumed stream that ends with its connection and without an event is complete if its target runs")
{
    for (const bool terminated : { true, false }) {
        guard_fixture all;
        all.loads.refuses = terminated;
        fixture f(request_kind::streaming, true, 1000, &all.guard, "", 0, 5);
        f.origins.answer(stream_origin { "first", "service", "v1" });
        f.slots.grant("t1", "v1");
        f.targets.head(200);
        f.targets.whole();
        all.loop.runFor(milliseconds { 5 });
        CHECK(f.caller->finished != terminated);
        CHECK((f.slots.acquisitions == 2) == terminated);
    }
}

// Guards against a target that ends between two events and whose closed connection looks like the end of the
// stream.
TEST_CASE("a stream that ends with its connection between two events is whole only if its target runs")
{
    for (const std::string target : { "runs", "has terminated", "is silent", "has started again" }) {
        INFO("the target " << target);
        guard_fixture all;
        all.loads.restarted = target == "has started again";
        all.loads.refuses = target == "has terminated";
        all.loads.silent = target == "is silent";
        fixture f(request_kind::streaming, true, 1000, &all.guard);
        f.slots.grant("t1");
        f.targets.head(200);
        f.targets.body(event(1));
        f.targets.whole();
        CHECK(f.caller->finished == (target == "runs"));
        CHECK(all.loads.askedStarts.starts_with("t1@t1 "));
        if (target == "runs")
            continue;
        f.loop.runFor(milliseconds { 50 });
        REQUIRE(f.slots.acquisitions == 2);
        f.slots.grant("t2");
        f.targets.head(200, { { "Transfer-Encoding", "chunked" } });
        f.targets.body(event(2));
        f.targets.whole();
        CHECK(f.caller->body == event(1) + event(2));
        CHECK(f.caller->finished);
    }
}

// Guards against a late answer to another run, or a part of one, that is passed on as the beginning of a
// stream or as the rest of it.
TEST_CASE("a stream begins with event 1, and a resumed one with the event after its last one")
{
    fixture f;
    f.slots.grant("t1");
    f.targets.head(200);
    f.targets.body(event(2));
    CHECK_FALSE(f.targets.accepted);
    CHECK(f.caller->body.empty());
    f.targets.fail(mayHaveRun(failure_kind::incomplete, "rejected"));
    REQUIRE(f.slots.acquisitions == 2);
    f.slots.grant("t2");
    f.targets.head(200);
    f.targets.body(event(1));
    CHECK(f.targets.accepted);
    CHECK(f.caller->body == event(1));

    fixture resumed(request_kind::streaming, true, 1000, nullptr, "", 0, 5);
    resumed.origins.answer(stream_origin { "first", "service", "v1" });
    for (const auto& [target, first] : { std::pair("t1", 5), std::pair("t2", 6) }) {
        resumed.slots.grant(target, "v1");
        resumed.targets.head(200);
        resumed.targets.body(event(first));
        CHECK(resumed.targets.accepted == (first == 6));
        if (first != 6)
            resumed.targets.fail(mayHaveRun(failure_kind::incomplete, "rejected"));
    }
    CHECK(resumed.caller->body == event(6));
}

// Guards against a late second answer to an earlier attempt at the same target, which bears the same id.
TEST_CASE("a request is sent with the id that its answer bears")
{
    fixture f;
    f.slots.grant("t1");
    CHECK_FALSE(f.targets.fresh);
    CHECK(!f.targets.answerId.empty());
}

// Guards against a failover that was wanted before the response ended, and overtakes the question whether it
// is whole.
TEST_CASE("a response that ends without framing withdraws the failover that its silence had asked for")
{
    guard_fixture all;
    all.loads.refuses = false;
    all.loads.neverAnswers = true;
    fixture f(request_kind::streaming, true, 1000, &all.guard);
    f.slots.grant("t1");
    f.targets.head(200);
    f.targets.body(event(1));
    f.loop.runFor(milliseconds { 250 });
    REQUIRE(f.slots.acquisitions == 2);
    f.targets.whole();
    CHECK(f.slots.withdrawn);
}

// Guards against a stream that waits for a question to its target that is never answered.
TEST_CASE("a stream whose target is never heard of again is resumed elsewhere")
{
    guard_fixture all;
    all.loads.refuses = false;
    all.loads.neverAnswers = true;
    fixture f(request_kind::streaming, true, 5000, &all.guard);
    f.slots.grant("t1");
    f.targets.head(200);
    f.targets.body(event(1));
    f.targets.whole();
    f.loop.runFor(milliseconds { 100 });
    CHECK(f.slots.acquisitions == 1);
    f.loop.runFor(milliseconds { 400 });
    CHECK(f.slots.acquisitions == 2);
}

// Guards against answers that are cut off and look whole to callers whose requests may not run again.
TEST_CASE("a response that may not be repeated and whose target has terminated does not look whole")
{
    for (const auto kind : { request_kind::streaming, request_kind::unsafe }) {
        guard_fixture all;
        fixture f(kind, false, 1000, &all.guard);
        f.slots.grant("t1");
        f.targets.head(200);
        f.targets.body(event(1));
        f.targets.whole();
        CHECK(f.slots.acquisitions == 1);
        CHECK_FALSE(f.caller->finished);
        const bool stream = kind == request_kind::streaming;
        CHECK((f.caller->reply && f.caller->reply->status == 502) == !stream);
    }
}

TEST_CASE("a stream that ends with its connection inside an event is resumed after its last complete event")
{
    fixture f;
    f.slots.grant("t1");
    f.targets.head(200);
    f.targets.body(event(1) + "id: 2\nda");
    f.targets.whole();
    REQUIRE(f.slots.acquisitions == 2);
    f.slots.grant("t2");
    f.targets.head(200);
    f.targets.body(event(2));
    f.targets.whole();
    CHECK(f.caller->body == event(1) + event(2));
    CHECK(f.caller->finished);
}

namespace {

/// From now, the timeout of the fixture's requests being a second.
steady_time afterMs(int ms)
{
    return std::chrono::steady_clock::now() + milliseconds { ms };
}

} // namespace

// Guards against requests that are passed on although their process ends before they are complete.
TEST_CASE("a request that waits for a slot in a stop is refused if it may last longer than its process")
{
    fixture late;
    late.drain.begin(afterMs(500));
    REQUIRE(late.caller->reply);
    CHECK(late.caller->reply->status == 503);
    CHECK(findHeader(late.caller->reply->headers, "Retry-After") == "0.001");
    CHECK(late.targets.sent.empty());
    fixture early;
    early.drain.begin(afterMs(2000));
    CHECK(!early.caller->reply);
    early.slots.grant("t1");
    CHECK(early.targets.sent == "t1@ ");
}

// Guards against the same of a request that a target has refused.
TEST_CASE("a request that was refused by a target in a stop is not sent to another one")
{
    fixture f;
    f.slots.grant("t1");
    f.drain.begin(afterMs(500));
    CHECK(!f.caller->reply);
    f.targets.head(503, { { "Refused", "1" } });
    f.targets.whole();
    REQUIRE(f.caller->reply);
    CHECK(f.caller->reply->status == 503);
    CHECK(f.slots.acquisitions == 1);
}

// Guards against a refusal that is not true: a target may have run the request.
TEST_CASE("a request that a target may have run goes on in a stop")
{
    fixture f;
    f.slots.grant("t1");
    f.drain.begin(afterMs(500));
    f.targets.head(200);
    f.targets.body(event(1));
    f.targets.fail(connectionReset());
    f.slots.grant("t2");
    CHECK(f.targets.sent == "t1@ t2@1 ");
    f.targets.head(200);
    f.targets.body(event(2));
    f.targets.whole();
    CHECK(f.caller->finished);
}

// Guards against connections that are closed without a response when the process ends.
TEST_CASE("a request that is cut off by the end of its process gets a response that is true")
{
    fixture waiting;
    waiting.drain.cutOffAll();
    REQUIRE(waiting.caller->reply);
    CHECK(waiting.caller->reply->status == 503);

    fixture running(request_kind::unsafe);
    running.slots.grant("t1");
    running.drain.cutOffAll();
    REQUIRE(running.caller->reply);
    CHECK(running.caller->reply->status == 502);

    fixture streaming;
    streaming.slots.grant("t1");
    streaming.targets.head(200);
    streaming.targets.body(event(1));
    streaming.drain.cutOffAll();
    CHECK(streaming.caller->aborted);
    CHECK(!streaming.caller->finished);

    fixture done;
    done.slots.grant("t1");
    done.targets.head(200);
    done.targets.body(event(1));
    done.targets.whole();
    done.drain.cutOffAll();
    CHECK(!done.caller->aborted);
}
