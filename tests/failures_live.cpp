// Live requests under failure, with real processes.

#include "engine_core.h"
#include "harness.h"
#include "messages/messages.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <set>
#include <thread>

using namespace yuccachute;
using namespace yuccachute::testing;
using standin::expectedCompletion;

namespace {

/// Runs completions on some entries from several threads until stopped; counts what was not right.
class background_load {
public:
    background_load(test_system& system, std::vector<std::string> entries, unsigned threads, unsigned tokens)
    {
        for (unsigned t = 0; t < threads; ++t) {
            m_threads.emplace_back([this, &system, entries, tokens, t] {
                for (unsigned i = 0; !m_stop; ++i) {
                    const auto prompt = "load " + std::to_string(t) + " request " + std::to_string(i);
                    const auto answer
                        = system.complete(entries[i % entries.size()], prompt, tokens, i % 2 == 0);
                    const bool right = answer.whole && answer.text == expectedCompletion(prompt, tokens);
                    // An entry that is shutting down or gone may refuse, and then truthfully.
                    const bool refused = !answer.whole && (answer.status == 503 || answer.status == 0)
                        && answer.text.empty();
                    ++(right ? m_right : refused ? m_refused : m_wrong);
                    const std::scoped_lock lock(m_mutex);
                    auto& first = refused ? m_firstRefused : m_firstWrong;
                    if (!right && first.empty())
                        first = std::to_string(answer.status) + ' ' + answer.error;
                }
            });
        }
    }
    ~background_load() { stop(); }

    void stop()
    {
        m_stop = true;
        for (auto& thread : m_threads) {
            if (thread.joinable())
                thread.join();
        }
    }
    unsigned right() const { return m_right; }
    unsigned refused() const { return m_refused; }
    unsigned wrong() const { return m_wrong; }
    std::string firstWrong()
    {
        const std::scoped_lock lock(m_mutex);
        return m_firstWrong;
    }
    std::string firstRefused()
    {
        const std::scoped_lock lock(m_mutex);
        return m_firstRefused;
    }

private:
    std::atomic<bool> m_stop { false };
    std::atomic<unsigned> m_right { 0 };
    std::atomic<unsigned> m_refused { 0 };
    std::atomic<unsigned> m_wrong { 0 };
    std::mutex m_mutex;
    std::string m_firstWrong;
    std::string m_firstRefused;
    std::vector<std::thread> m_threads;
};

/// Sends requests until one of the entries shows itself as dispatcher of the only target group. The first one
/// may be served past it: on a busy machine connecting to the dispatcher can take longer than it is waited
/// for.
std::string findDispatcher(test_system& system, const std::vector<std::string>& entries)
{
    std::string dispatcher;
    waitUntil("a dispatcher", [&] {
        for (const auto& name : entries) {
            CHECK(system.complete(name, "who", 2).whole);
            if (nlohmann::json::parse(system.get(name, "/status").value().body).contains("groups"))
                dispatcher = name;
        }
        return !dispatcher.empty();
    });
    return dispatcher;
}

http_request plainCall(const std::string& method, const std::string& path, const std::string& body = {},
    http_headers headers = {})
{
    http_request request;
    request.method = method;
    request.path = "/services/registry" + path;
    request.body = body;
    request.headers = std::move(headers);
    return request;
}

} // namespace

// Story: an applicant's answer is half written when the engine dies. The applicant sees the stream stop and
// drops out of the signup. The entry must go on elsewhere from the text that it has passed on, without a gap
// or a repetition.
TEST_CASE("an engine killed in the middle of a stream costs the caller nothing")
{
    test_system system;
    system.addEngine("e1", "a", { "--step-us", "20000" });
    system.addEngine("e2", "a", { "--step-us", "20000" });
    system.addEntry("n1", "a");
    system.start();
    std::vector<std::thread> callers;
    std::atomic<int> right { 0 };
    for (int i = 0; i < 6; ++i) {
        callers.emplace_back([&, i] {
            const auto prompt = "applicant " + std::to_string(i);
            const auto answer = system.complete("n1", prompt, 60, i % 2 == 0);
            right += answer.whole && answer.text == expectedCompletion(prompt, 60);
        });
    }
    waitUntil("streams on the engine",
        [&] { return system.targetJson("e1", "/counts")["tokens"].get<int>() > 30; });
    system.target("e1").signal(SIGKILL);
    for (auto& caller : callers)
        caller.join();
    CHECK(right == 6);
    CHECK(system.targetJson("e2", "/counts")["admitted"].get<int>() >= 4);
}

// Story: an engine freezes in the middle of its streams without closing a connection. Its callers wait for
// the rest until their timeout, and new requests go to it because it has never failed one.
TEST_CASE("a frozen engine's streams go on elsewhere, and it gets no new work")
{
    test_system system;
    system.addEngine("e1", "a", { "--step-us", "20000" });
    system.addEngine("e2", "a", { "--step-us", "20000" });
    system.addEntry("n1", "a");
    system.setServiceSettings("stall_timeout_ms = 1000\n");
    system.start();
    std::vector<std::thread> callers;
    std::atomic<int> right { 0 };
    for (int i = 0; i < 6; ++i) {
        callers.emplace_back([&, i] {
            const auto prompt = "frozen " + std::to_string(i);
            const auto answer = system.complete("n1", prompt, 60, i % 2 == 0);
            right += answer.whole && answer.text == expectedCompletion(prompt, 60);
        });
    }
    waitUntil("streams on the engine",
        [&] { return system.targetJson("e1", "/counts")["tokens"].get<int>() > 30; });
    system.target("e1").signal(SIGSTOP);
    for (auto& caller : callers)
        caller.join();
    CHECK(right == 6);
    waitUntil("the engine to be ejected", [&] {
        const auto status = nlohmann::json::parse(system.get("n1", "/status").value().body);
        return status["groups"][0]["usable"] == 1;
    });
    system.target("e1").signal(SIGCONT);
    waitUntil("the engine to be used again", [&] {
        system.complete("n1", "probe", 2);
        const auto status = nlohmann::json::parse(system.get("n1", "/status").value().body);
        return status["groups"][0]["slots"] == 16;
    });
}

// Story: the connection to a healthy engine breaks in the middle of a stream. The entry starts the request
// anew and the engine does the work twice, or the caller gets the beginning twice.
TEST_CASE("a broken connection is resumed on the same target")
{
    test_system system;
    system.addEngine("e1", "a", {}, true);
    system.addEntry("n1", "a");
    system.start();
    system.route("e1", "drop_reply_after=3000");
    const std::string prompt = "resumed";
    std::thread heal([&] {
        waitUntil(
            "a broken stream", [&] { return system.targetJson("e1", "/counts")["tokens"].get<int>() > 20; });
        system.route("e1", "drop_reply_after=-1");
    });
    const auto answer = system.complete("n1", prompt, 60);
    heal.join();
    INFO(answer.error);
    CHECK(answer.whole);
    CHECK(answer.text == expectedCompletion(prompt, 60));
}

// Story: the entry that is dispatcher of a target group is killed. Requests at other entries wait for its
// grants until they time out, although the engines are healthy.
TEST_CASE("a killed dispatcher loses no request of other entries")
{
    test_system system;
    system.addEngine("e1", "a");
    for (const char* name : { "n1", "n2", "n3" })
        system.addEntry(name, "a");
    system.start();
    const auto dispatcher = findDispatcher(system, { "n1", "n2", "n3" });
    std::vector<std::string> others;
    for (const char* name : { "n1", "n2", "n3" }) {
        if (name != dispatcher)
            others.emplace_back(name);
    }
    background_load load(system, others, 4, 8);
    waitUntil("load", [&] { return load.right() > 20; });
    system.at(dispatcher).process->signal(SIGKILL);
    const auto before = load.right();
    waitUntil("load to go on", [&] { return load.right() > before + 200; });
    load.stop();
    INFO(load.firstWrong() << " / " << load.firstRefused());
    CHECK(load.wrong() == 0);
    CHECK(load.refused() == 0);
}

// Story: the dispatcher's process is stopped (a paused VM), not dead: its connections stay open and nothing
// is refused. Callers of other entries wait for it.
TEST_CASE("a paused dispatcher is passed over")
{
    test_system system;
    system.addEngine("e1", "a");
    system.addEntry("n1", "a");
    system.addEntry("n2", "a");
    system.start();
    const auto dispatcher = findDispatcher(system, { "n1", "n2" });
    const std::string other = dispatcher == "n1" ? "n2" : "n1";
    system.at(dispatcher).process->signal(SIGSTOP);
    // Its connections are found dead after 2 to 4 s: only the missing acknowledgement helps a caller with 1.5
    // s.
    const http_headers hurried { { "X-Timeout-Ms", "1500" } };
    for (int i = 0; i < 10; ++i) {
        const auto answer = system.complete(other, "paused " + std::to_string(i), 4, true, "small", hurried);
        INFO(answer.error);
        CHECK(answer.whole);
    }
    system.at(dispatcher).process->signal(SIGCONT);
    waitUntil("the woken one to serve", [&] { return system.complete(dispatcher, "awake", 4).whole; });
}

// Story: an operator replaces an entry VM under load. Requests in progress on it are cut off.
TEST_CASE("an entry stopped under load finishes what it has")
{
    test_system system;
    system.addEngine("e1", "a", { "--step-us", "10000" });
    system.addEntry("n1", "a");
    system.addEntry("n2", "a");
    system.start();
    background_load load(system, { "n1", "n2" }, 6, 120);
    waitUntil("load", [&] { return load.right() > 10; });
    system.at("n1").process->signal(SIGTERM);
    CHECK(system.at("n1").process->wait() == 0);
    const auto before = load.right();
    waitUntil("load to go on", [&] { return load.right() > before + 10; });
    load.stop();
    INFO(load.firstWrong());
    CHECK(load.wrong() == 0);
}

// Story: a stream never ends and its entry never stops; the platform kills the VM in the end and the log says
// nothing of what was cut off.
TEST_CASE("a shutdown ends at its limit and says what it cut off")
{
    test_system system;
    system.addEngine("e1", "a", { "--step-us", "50000" });
    system.addEntry("n1", "a", "stop_limit_ms = 300\n");
    system.start();
    std::thread caller([&] { CHECK(!system.complete("n1", "endless", 400).whole); });
    waitUntil("the stream", [&] { return system.targetJson("e1", "/counts")["tokens"].get<int>() > 3; });
    system.at("n1").process->signal(SIGTERM);
    CHECK(system.at("n1").process->wait() == 3);
    caller.join();
}

// Story: the key-value service is down for hours. Live callers need nothing from it, and must not notice; an
// entry VM that is replaced meanwhile must get its settings from its peers.
TEST_CASE("live requests and new entries do without the store")
{
    test_system system;
    system.addEngine("e1", "a");
    system.addEntry("n1", "a");
    system.addEntry("n2", "a");
    system.start();
    system.store("down=true");
    for (int i = 0; i < 20; ++i)
        CHECK(system.complete(i % 2 ? "n1" : "n2", "down " + std::to_string(i), 4).whole);
    system.at("n2").process->signal(SIGKILL);
    system.at("n2").process->wait();
    system.startNode("n2");
    waitUntil("the new entry to serve", [&] { return system.complete("n2", "new", 4).whole; });
    const auto refused = system.call("n1", plainCall("POST", "/x", "y", { { "Idempotency-Key", "k" } }));
    REQUIRE(refused);
    CHECK(refused.value().status >= 500);
    CHECK(readVerdict(refused.value().body) == verdict::not_run);
}

// Story: a payment order goes to a plain service; the service runs it and the connection breaks before the
// answer. The caller is told that it was not run, or the entry sends it again: it is paid twice.
TEST_CASE("a non-idempotent call whose connection breaks runs at most once, and the caller is told the truth")
{
    test_system system;
    system.addPlain("p1", "a", true);
    system.addPlain("p2", "a", true);
    system.addEntry("n1", "a");
    system.start();
    for (const char* target : { "p1", "p2" })
        system.route(target, "drop_reply_after=0");
    for (int i = 0; i < 5; ++i) {
        const auto id = "pay-" + std::to_string(i);
        const auto reply = system.call("n1", plainCall("POST", "/pay", "1 EUR", { { "X-Request-Id", id } }));
        REQUIRE(reply);
        CHECK(reply.value().status == 502);
        CHECK(readVerdict(reply.value().body) == verdict::may_have_run);
        CHECK(findHeader(reply.value().headers, "X-Request-Id") == id);
    }
    int most = 0;
    int total = 0;
    for (const char* target : { "p1", "p2" }) {
        const auto executions = system.targetJson(target, "/executions");
        for (const auto& [id, count] : executions.items()) {
            most = std::max(most, count.get<int>());
            total += count.get<int>();
        }
    }
    CHECK(most == 1);
    CHECK(total == 5);
    for (const char* target : { "p1", "p2" })
        system.route(target, "drop_reply_after=-1");
    // The broken answers have ejected the targets for a moment; an idempotent call is repeated meanwhile.
    waitUntil("a whole answer", [&] {
        const auto reply = system.call("n1", plainCall("GET", "/look", {}));
        return reply && reply.value().status == 200;
    });
}

// Story: a caller sends an order with an idempotency key, loses the connection and sends it again to another
// entry; it is carried out twice.
TEST_CASE("an idempotency key holds across entries, and also when the store's reply is lost")
{
    test_system system;
    system.addPlain("p1", "a");
    system.addEntry("n1", "a");
    system.addEntry("n2", "a");
    system.start();
    const http_headers key { { "Idempotency-Key", "order-1" }, { "Content-Type", "text/plain" } };
    const auto first = system.call("n1", plainCall("POST", "/order", "once", key));
    REQUIRE(first);
    CHECK(first.value().status == 200);
    const auto again = system.call("n2", plainCall("POST", "/order", "once", key));
    REQUIRE(again);
    CHECK(again.value().status == 200);
    CHECK(again.value().body == first.value().body);

    system.store("lose_replies=1");
    const auto lost
        = system.call("n1", plainCall("POST", "/order", "two", { { "Idempotency-Key", "order-2" } }));
    REQUIRE(lost);
    CHECK(lost.value().status == 200);
    int total = 0;
    const auto executions = system.targetJson("p1", "/executions");
    for (const auto& [id, count] : executions.items())
        total += count.get<int>();
    CHECK(total == 2);
}

// Story: answers come late and in another order than the requests went out; a caller gets a stranger's
// answer.
TEST_CASE("each of many callers gets its own whole answer, late or out of order")
{
    test_system system;
    system.addEngine("e1", "a", { "--slots", "16" }, true);
    system.addEngine("e2", "a", { "--slots", "16" }, true);
    system.addEntry("n1", "a");
    system.addEntry("n2", "a");
    system.start();
    system.route("e1", "delay_ms=30");
    system.route("e2", "delay_ms=3");
    constexpr int callers = 80;
    std::atomic<int> right { 0 };
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] {
            const auto prompt = "caller " + std::to_string(i);
            const auto tokens = static_cast<unsigned>(1 + i % 17);
            const auto answer
                = system.complete(i % 3 ? "n1" : "n2", prompt, tokens, i % 2 == 0, i % 5 ? "small" : "large");
            right += answer.whole && answer.text == expectedCompletion(prompt, tokens);
        });
    }
    for (auto& thread : threads)
        thread.join();
    CHECK(right == callers);
}

// Story: malformed, oversized or unauthorised requests end the process, or are passed on to a target.
TEST_CASE("bad requests are refused with their cause, and the process lives")
{
    test_system system;
    system.addEngine("e1", "a");
    system.addEntry("n1", "a");
    system.start();
    const auto post
        = [&](const std::string& body, const std::string& customer = "small", http_headers headers = {}) {
              http_request request;
              request.method = "POST";
              request.path = "/v1/completions";
              request.body = body;
              request.headers = std::move(headers);
              return system.call("n1", request, std::chrono::seconds { 10 }, customer).value();
          };
    CHECK(post("{").status == 400);
    CHECK(post(R"({"model":"screening","prompt":7})").body.find("prompt") != std::string::npos);
    CHECK(post(R"({"model":"nothing","prompt":"x"})").status == 404);
    CHECK(post(R"({"model":"screening","prompt":"x"})", "nobody").status == 401);
    CHECK(post(R"({"model":"screening","prompt":"x"})", "").status == 401);
    CHECK(post(R"({"model":"screening","prompt":"x"})", "small", { { "X-Timeout-Ms", "soon" } })
              .body.find("X-Timeout-Ms")
        != std::string::npos);
    CHECK(post(R"({"model":"screening","prompt":")" + std::string(9u << 20, 'x') + "\"}").status == 413);
    // With a length and chunks at once, the end of the body could be read in two ways.
    CHECK(post("{}", "small", { { "Transfer-Encoding", "chunked" } }).status == 400);
    CHECK(system.get("n1", "/nowhere").value().status == 404);
    CHECK(system.targetJson("e1", "/counts")["admitted"].get<int>() == 0);
    CHECK(system.complete("n1", "still alive", 3).whole);
    const auto metrics = system.get("n1", "/metrics").value().body;
    CHECK(metrics.find("yuccachute_first_token_seconds_bucket{customer=\"small\",class=\"live\"")
        != std::string::npos);
}

// Story: all targets of an availability zone die; its callers are refused although another zone has room.
TEST_CASE("another availability zone serves when the own one cannot")
{
    test_system system;
    system.addEngine("e1", "a");
    system.addEngine("e2", "b");
    system.addEntry("n1", "a");
    system.addEntry("n2", "b");
    system.start();
    REQUIRE(system.complete("n1", "home", 2).whole);
    CHECK(system.targetJson("e2", "/counts")["admitted"].get<int>() == 0);
    system.target("e1").signal(SIGKILL);
    for (int i = 0; i < 10; ++i) {
        const auto answer = system.complete("n1", "away " + std::to_string(i), 3);
        INFO(answer.error);
        CHECK(answer.whole);
    }
    system.startTarget("e1");
    waitUntil("the own zone to serve again", [&] {
        system.complete("n1", "home again", 2);
        return system.targetJson("e1", "/counts")["admitted"].get<int>() > 0;
    });
}

// Story: a target says that it is leaving, or an operator drains it, and it still gets new work.
TEST_CASE("a leaving or drained target gets no new work")
{
    test_system system;
    system.addEngine("e1", "a");
    system.addEngine("e2", "a");
    system.addEntry("n1", "a");
    system.addAdmin("admin", "n1");
    system.start();
    REQUIRE(system.complete("n1", "x", 2).whole);
    const auto admitted = [&](const std::string& target) {
        return system.targetJson(target, "/counts")["admitted"].get<int>();
    };
    // More at once than one target has slots: both must take part unless one is out.
    const auto serves = [&](const std::string& target) {
        const auto before = admitted(target);
        std::atomic<int> right { 0 };
        std::vector<std::thread> callers;
        for (int i = 0; i < 14; ++i)
            callers.emplace_back(
                [&, i] { right += system.complete("n1", target + std::to_string(i), 20).whole; });
        for (auto& caller : callers)
            caller.join();
        CHECK(right == 14);
        return admitted(target) > before;
    };
    CHECK(serves("e1"));
    CHECK(serves("e2"));
    CHECK(system.edit("admin", "service/screening/target/e1", { { "drain", "true" } }).status == 200);
    waitUntil(
        "the drain to be in force", [&] { return !serves("e1"); }, std::chrono::seconds { 3 });
    CHECK(!serves("e1"));
    CHECK(system.edit("admin", "service/screening/target/e1", { { "drain", "false" } }).status == 200);
    waitUntil("the target to be used again", [&] { return serves("e1"); });
    system.targetJson("e2", "/control?leaving=true");
    waitUntil(
        "the leaving target to be left alone", [&] { return !serves("e2"); }, std::chrono::seconds { 3 });
    CHECK(!serves("e2"));
}

// Story: a client library gives every request the same X-Request-Id. Broken streams are resumed under that
// id, and a caller gets the rest of a stranger's answer.
TEST_CASE("callers with one request id each get their own answer")
{
    test_system system;
    system.addEngine("e1", "a", { "--step-us", "5000" }, true);
    system.addEntry("n1", "a");
    system.start();
    system.route("e1", "drop_reply_after=3000");
    std::vector<std::thread> callers;
    std::atomic<int> right { 0 };
    std::atomic<int> strange { 0 };
    for (int i = 0; i < 6; ++i) {
        callers.emplace_back([&, i] {
            const auto prompt = "same id " + std::to_string(i);
            const auto expected = expectedCompletion(prompt, 50);
            const auto answer
                = system.complete("n1", prompt, 50, i % 2 == 0, "small", { { "X-Request-Id", "the-id" } });
            right += answer.whole && answer.text == expected;
            strange += expected.compare(0, answer.text.size(), answer.text) != 0;
        });
    }
    waitUntil(
        "broken streams", [&] { return system.targetJson("e1", "/counts")["tokens"].get<int>() > 200; });
    system.route("e1", "drop_reply_after=-1");
    for (auto& caller : callers)
        caller.join();
    CHECK(strange == 0);
    CHECK(right == 6);
}

// Story: a caller sends its order again with the same idempotency key and, as its library does, the same
// request id. The claim is taken for this request's own, and the order is carried out twice.
TEST_CASE("an idempotency key holds whatever the request id, and a request id claims nothing")
{
    test_system system;
    system.addPlain("p1", "a");
    system.addEngine("e1", "a");
    system.addEntry("n1", "a");
    system.addBatch("b1", "n1");
    system.start();
    for (int i = 0; i < 3; ++i) {
        const auto reply = system.call("n1",
            plainCall("POST", "/order", "once", { { "Idempotency-Key", "k" }, { "X-Request-Id", "same" } }));
        REQUIRE(reply);
        CHECK(reply.value().status == 200);
    }
    const auto executions = system.targetJson("p1", "/executions");
    CHECK(executions["same"] == 1);
    std::set<std::string> jobs;
    for (int i = 0; i < 2; ++i) {
        http_request request;
        request.method = "POST";
        request.path = "/v1/batches";
        request.query = "service=screening";
        request.headers.emplace_back("X-Request-Id", "same");
        request.body = "{\"prompt\":\"job " + std::to_string(i) + "\"}\n";
        const auto reply = system.call("n1", request);
        REQUIRE(reply);
        REQUIRE(reply.value().status == 202);
        jobs.insert(nlohmann::json::parse(reply.value().body)["id"].get<std::string>());
    }
    CHECK(jobs.size() == 2);
}
