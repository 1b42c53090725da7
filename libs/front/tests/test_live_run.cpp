#include "front/front.h"
#include "support/whole_list.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

/// The caller's side: keeps what it is sent.
class recorded_caller final : public http_exchange {
public:
    explicit recorded_caller(http_request request)
        : m_request(std::move(request))
        , m_received(std::chrono::steady_clock::now())
    {
    }
    const http_request& request() const override { return m_request; }
    steady_time received() const override { return m_received; }
    void send(http_reply reply) override { whole = std::move(reply); }
    void startStream(unsigned given, const http_headers& headers, std::optional<std::uint64_t>) override
    {
        status = given;
        head = headers;
    }
    void write(std::string_view piece) override { body += piece; }
    void finish() override { finished = true; }
    void abort() override { aborted = true; }
    std::size_t unsentBytes() const override { return 0; }
    void onDrained(std::function<void()>) override { }
    void onCallerGone(std::function<void()> notify) override { gone = std::move(notify); }

    std::optional<http_reply> whole;
    unsigned status = 0;
    http_headers head;
    std::string body;
    bool finished = false;
    bool aborted = false;
    std::function<void()> gone;

private:
    http_request m_request;
    steady_time m_received;
};

class scripted_places final : public place_source {
public:
    struct ask : slot_acquisition {
        explicit ask(scripted_places& places)
            : owner(places)
        {
        }
        ~ask() override { owner.withdrawn = true; }
        scripted_places& owner;
    };
    std::shared_ptr<slot_acquisition> acquire(
        slot_requirements request, std::function<void(result<held_slot>)> done) override
    {
        ++asks;
        last = std::move(request);
        answer = std::move(done);
        withdrawn = false;
        return std::make_shared<ask>(*this);
    }
    void release(const held_slot& taken, grant_outcome outcome, milliseconds) override
    {
        released += taken.target + ":" + std::to_string(static_cast<int>(outcome)) + " ";
    }
    void grant(const std::string& target)
    {
        held_slot found;
        found.target = target;
        found.address = target;
        const auto done = answer;
        done(found);
    }

    int asks = 0;
    slot_requirements last;
    std::function<void(result<held_slot>)> answer;
    bool withdrawn = false;
    std::string released;
};

class scripted_targets final : public target_client {
public:
    struct call final : client_call {
        void cancel() override { cancelled = true; }
        void pause() override { }
        void resume() override { }
        ~call() override { cancelled = true; }
        bool cancelled = false;
    };
    std::shared_ptr<client_call> start(std::string_view address, const http_request& request,
        const client_call_options& options, client_call_events events) override
    {
        sent += std::string(address) + "@" + std::string(findHeader(request.headers, "Last")) + " ";
        customer = findHeader(request.headers, "Customer");
        fresh = options.freshConnection;
        if (running && !running->cancelled)
            overlapped = true;
        running = std::make_shared<call>();
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
    std::string customer; ///< As the last target was told.
    bool fresh = false;
    bool overlapped = false;
    bool accepted = true;
    std::shared_ptr<call> running;
    client_call_events current;
};

/// Header names of the test's own platform.
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

/// Targets that refuse connections after a cut, or answer.
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

struct fixture {
    explicit fixture(request_kind kind = request_kind::streaming, bool resumable = true, int timeoutMs = 1000,
        request_guard* guard = nullptr, const std::string& key = "")
    {
        services.guard = guard;
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
        serveLive(services, caller, { facts, table, table->routes[0], { table->customers.byKey(key) } });
    }
    void run(int ms = 5) { loop.runFor(milliseconds { ms }); }

    event_loop loop;
    scripted_places places;
    scripted_targets targets;
    plain_protocol protocol;
    metrics figures;
    live_services services { loop, places, targets, protocol, figures };
    std::shared_ptr<recorded_caller> caller = std::make_shared<recorded_caller>(http_request {});
    std::shared_ptr<const routing_table> table;
};

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) + "\n\n";
}

failure cut()
{
    return mayHaveRun(failure_kind::incomplete, "cut");
}

} // namespace

TEST_CASE("a stream is passed on as it comes, and its place given back")
{
    fixture f;
    f.places.grant("t1");
    f.targets.head(200, { { "Seal", "s1" }, { "Connection", "keep-alive" } });
    CHECK(f.caller->status == 0); // Until an event is there the request can still go elsewhere.
    f.targets.body(event(1) + "id: 2\nda");
    CHECK(f.caller->status == 200);
    CHECK(f.caller->head == http_headers { { "Seal", "s1" } });
    CHECK(f.caller->body == event(1));
    f.targets.body("ta: x2\n\n");
    f.targets.whole();
    CHECK(f.caller->body == event(1) + event(2));
    CHECK(f.caller->finished);
    CHECK(f.places.released == "t1:0 ");
}

// Story: a target dies in the middle of an event of a stream that may be resumed. The caller must get the
// rest from another target, with no event twice, none missing and no half one.
TEST_CASE("a broken stream goes on behind its last whole event, with its first head")
{
    fixture f;
    f.places.grant("t1");
    f.targets.head(200, { { "Seal", "s1" } });
    f.targets.body(event(1) + event(2) + "id: 3\nda");
    f.targets.fail(cut());
    REQUIRE(f.places.asks == 2);
    CHECK(f.places.last.avoid == "t1");
    f.places.grant("t2");
    CHECK(f.targets.sent == "t1@ t2@2 ");
    f.targets.head(200, { { "Seal", "s2" } });
    f.targets.body(event(3));
    f.targets.whole();
    CHECK(f.caller->body == event(1) + event(2) + event(3));
    CHECK(f.caller->head == http_headers { { "Seal", "s1" } });
    CHECK(f.caller->finished);
}

// Story: after a break the second target begins at the wrong event; the caller would miss a piece.
// Story: a stream breaks in the middle and goes on at another target, which fails and answers 500. The
// failure's body went to the caller as the rest of the stream, which then ended as if it were whole.
TEST_CASE("a target that fails on the rest of a stream does not end it for the caller")
{
    fixture f;
    f.places.grant("t1");
    f.targets.head(200);
    f.targets.body("id: 1\ndata: a\n\nid: 2\nda");
    f.targets.fail(mayHaveRun(failure_kind::incomplete, "broke off"));
    f.places.grant("t2");
    f.targets.head(500, { { "Content-Length", "7" } });
    f.targets.body("no luck");
    f.targets.whole();
    f.run();
    CHECK(f.caller->body == "id: 1\ndata: a\n\n");
    CHECK(!f.caller->finished);
    CHECK(f.caller->aborted);
    CHECK(f.places.released == "t1:2 t2:2 ");
}

TEST_CASE("a stream with a gap is not passed on")
{
    fixture f;
    f.places.grant("t1");
    f.targets.head(200);
    f.targets.body(event(1));
    f.targets.body(event(3));
    CHECK(!f.targets.accepted);
    CHECK(f.caller->body == event(1));
}

// Story: a server breaks off a request that must not run twice. The caller is told "not run", sends it again,
// and it runs a second time.
TEST_CASE("a request that may not be repeated is sent once and answered 502")
{
    for (const auto kind : { request_kind::unsafe, request_kind::streaming }) {
        fixture f(kind, false);
        f.places.grant("t1");
        CHECK(f.targets.fresh);
        f.targets.fail(cut());
        CHECK(f.places.asks == 1);
        REQUIRE(f.caller->whole);
        CHECK(f.caller->whole->status == 502);
    }
}

TEST_CASE("a stream that cannot go on ends as a cut connection")
{
    fixture f(request_kind::streaming, false);
    f.places.grant("t1");
    f.targets.head(200);
    f.targets.body(event(1));
    f.targets.fail(cut());
    CHECK(f.caller->aborted);
    CHECK(!f.caller->finished);
}

TEST_CASE("what has not run is tried elsewhere, whatever its kind")
{
    fixture f(request_kind::unsafe);
    f.places.grant("t1");
    f.targets.fail(notRun(failure_kind::unavailable, "refused connection"));
    f.places.grant("t2");
    f.targets.head(503, { { "Refused", "1" } });
    f.targets.whole();
    CHECK(f.places.asks == 3);
    CHECK(f.places.released == "t1:2 t2:1 ");
    f.places.answer(notRun(failure_kind::overloaded, "full", milliseconds { 1500 }));
    REQUIRE(f.caller->whole);
    CHECK(f.caller->whole->status == 503);
    CHECK(findHeader(f.caller->whole->headers, "Retry-After") == "1.500");
}

// Story: a safe request ran at a target whose answer was lost, and no other has room. Saying 503 would claim
// that it has not run.
TEST_CASE("a request that has begun is never said not to have run")
{
    fixture f(request_kind::safe);
    f.places.grant("t1");
    f.targets.fail(cut());
    f.places.answer(notRun(failure_kind::overloaded, "full", milliseconds { 100 }));
    REQUIRE(f.caller->whole);
    CHECK(f.caller->whole->status == 502);
}

TEST_CASE("answers of targets that failed are repeated elsewhere if they may be, else passed on unchanged")
{
    fixture safe(request_kind::safe);
    safe.places.grant("t1");
    safe.targets.head(500);
    safe.targets.body("bad");
    safe.targets.whole();
    safe.places.grant("t2");
    safe.targets.head(200);
    safe.targets.body("good");
    safe.targets.whole();
    CHECK(safe.caller->status == 200);
    CHECK(safe.caller->body == "good");

    fixture unsafe(request_kind::unsafe);
    unsafe.places.grant("t1");
    unsafe.targets.head(500, { { "Seal", "s" } });
    unsafe.targets.body("bad");
    unsafe.targets.whole();
    CHECK(unsafe.caller->status == 500);
    CHECK(unsafe.caller->body == "bad");
    CHECK(unsafe.caller->head == http_headers { { "Seal", "s" } });
}

// Story: a late second answer of an earlier request arrives where this request's answer is due.
TEST_CASE("an answer to another request is never passed on")
{
    fixture f(request_kind::safe);
    f.places.grant("t1");
    f.targets.head(200, { { "Foreign", "1" } });
    CHECK(!f.targets.accepted);
    f.targets.fail(cut());
    f.places.grant("t2");
    f.targets.head(200);
    f.targets.body("own");
    f.targets.whole();
    CHECK(f.caller->body == "own");
}

// Story: a target has gone dark; its connections hang. Callers waited for their whole deadline.
TEST_CASE("a target without a first event is left for another one, which begins after the first was closed")
{
    fixture f;
    f.places.grant("t1");
    f.run(160);
    REQUIRE(f.places.asks == 2);
    CHECK(!f.targets.running->cancelled); // It may still answer while a place is looked for.
    f.places.grant("t2");
    CHECK(!f.targets.overlapped);
    CHECK(f.places.released == "t1:2 ");
    f.targets.head(200);
    f.targets.body(event(1));
    f.targets.whole();
    CHECK(f.caller->finished);
}

TEST_CASE("a target that answers while another place is looked for keeps the request")
{
    fixture f;
    f.places.grant("t1");
    f.run(160);
    REQUIRE(f.places.asks == 2);
    f.targets.head(200);
    f.targets.body(event(1));
    CHECK(f.places.withdrawn);
    f.targets.whole();
    CHECK(f.caller->finished);
    CHECK(f.targets.sent == "t1@ ");
}

TEST_CASE("a caller that leaves ends its request at the target")
{
    fixture f;
    f.places.grant("t1");
    f.targets.head(200);
    f.targets.body(event(1));
    f.caller->gone();
    CHECK(f.targets.running->cancelled);
    CHECK(f.places.released == "t1:3 ");
}

TEST_CASE("at the end of its time a request is answered for what it is")
{
    fixture waiting(request_kind::streaming, true, 30);
    waiting.run(60);
    REQUIRE(waiting.caller->whole);
    CHECK(waiting.caller->whole->status == 503);

    fixture sent(request_kind::unsafe, true, 30);
    sent.places.grant("t1");
    sent.run(60);
    REQUIRE(sent.caller->whole);
    CHECK(sent.caller->whole->status == 504);
    CHECK(sent.targets.running->cancelled);
}

namespace {

/// Several requests that ask for the same, at an entry that sees their targets end.
struct guarded {
    guarded()
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

// Story: a request ends each target that runs it. Within an attempt it went on to the next target, and its
// caller's next attempt, with another id, began anew; it took one target after the other.
TEST_CASE("a request that ends its targets is not tried again within the attempt, and then refused")
{
    guarded all;
    fixture first(request_kind::streaming, true, 1000, &all.guard);
    first.places.grant("t1");
    first.targets.fail(cut());
    REQUIRE(first.places.asks == 2); // One end may be chance.
    first.places.grant("t2");
    first.targets.fail(cut());
    REQUIRE(first.caller->whole);
    CHECK(first.caller->whole->status == 502);

    fixture second(request_kind::streaming, true, 1000, &all.guard);
    second.places.grant("t3");
    second.targets.fail(cut());
    CHECK(second.places.asks == 1);
    REQUIRE(second.caller->whole);
    CHECK(second.caller->whole->status == 502);

    fixture third(request_kind::streaming, true, 1000, &all.guard);
    CHECK(third.places.asks == 0);
    REQUIRE(third.caller->whole);
    CHECK(third.caller->whole->status == 429);
    CHECK(!findHeader(third.caller->whole->headers, "Retry-After").empty());
}

TEST_CASE("a request whose target only breaks off goes on elsewhere, as often as it may")
{
    guarded all;
    all.loads.refuses = false;
    for (int i = 0; i < 4; ++i) {
        fixture f(request_kind::streaming, true, 1000, &all.guard);
        f.places.grant("t1");
        f.targets.fail(cut());
        REQUIRE(f.places.asks == 2);
        f.places.grant("t2");
        f.targets.fail(cut());
    }
    CHECK_FALSE(all.guard.hasSuspects());
}

TEST_CASE("a whole answer clears a request that was suspected")
{
    guarded all;
    fixture first(request_kind::streaming, true, 1000, &all.guard);
    first.places.grant("t1");
    first.targets.fail(cut());
    CHECK(all.guard.hasSuspects());
    first.places.grant("t2");
    first.targets.head(200, { { "Transfer-Encoding", "chunked" } });
    first.targets.body(event(1));
    first.targets.whole();
    CHECK(first.caller->finished);
    const auto identity = identityOf(first.caller->request(), "");
    CHECK(all.guard.record(identity) == strike_record { 1, 0 });
}

// Story: a target ends under a request in the middle of an answer that has no length. The connection's end
// looks like the answer's, and the request like one that was served.
TEST_CASE("an answer whose end cannot be told from a cut clears nothing")
{
    guarded all;
    fixture first(request_kind::streaming, true, 1000, &all.guard);
    first.places.grant("t1");
    first.targets.fail(cut());
    first.places.grant("t2");
    first.targets.head(200);
    first.targets.body(event(1));
    first.targets.whole();
    CHECK(all.guard.record(identityOf(first.caller->request(), "")).strikes == 1);
}

// Story: a caller names another customer to the target, in the header that the system itself sets; the target
// would count and answer for the wrong one. The place is asked for on behalf of the key's customer, too.
TEST_CASE("the target and the dispatcher are told the customer who holds the key")
{
    fixture f(request_kind::streaming, true, 1000, nullptr, "key");
    CHECK(f.places.last.customer == "firm");
    f.places.grant("t1");
    CHECK(f.targets.customer == "firm");

    fixture without;
    CHECK(without.places.last.customer == "r");
    without.places.grant("t1");
    CHECK(without.targets.customer == "as sent");
}
