#include "../src/job_forwarder.h"
#include "support/free_port.h"

#include <catch2/catch.hpp>

#include <time.h>

using namespace yuccachute;

namespace {

node_record batchNode(const std::string& vm, const std::string& zone, const std::string& address)
{
    return { vm, node_role::batch, zone, address, 1, false, 0.3 };
}

/// Protocol in which the header "Key" carries the caller's key.
class key_protocol final : public caller_protocol {
public:
    result<request_facts> describe(const http_request&) const override { return request_facts {}; }
    http_request forTarget(const http_request& request, const target_envelope&) const override
    {
        return request;
    }
    void removeKey(http_headers& headers) const override
    {
        std::erase_if(headers, [](const auto& field) { return field.first == "Key"; });
    }
    answer_meaning classify(const http_reply&, std::string_view) const override
    {
        return answer_meaning::own;
    }
};

/// A batch process that holds the job or not, and counts the requests that it receives.
struct fake_batch {
    fake_batch(event_loop& loop, bool holdsJob)
        : holds(holdsJob)
        , port(freePort())
        , listener(loop, { "127.0.0.1", port, {}, "", "" }, [this](std::shared_ptr<http_exchange> call) {
            const bool onlyIfHeld = !findHeader(call->request().headers, onlyIfHeldHeader).empty();
            ++(onlyIfHeld ? askedIfHeld : askedFully);
            lastHeaders = call->request().headers;
            call->send({ holds ? 200u : onlyIfHeld ? 503u : 404u, {}, "" });
        })
    {
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(port); }

    bool holds;
    std::uint16_t port;
    unsigned askedIfHeld = 0;
    unsigned askedFully = 0;
    http_headers lastHeaders;
    http_listener listener;
};

struct fixture {
    explicit fixture(bool farHolds)
        : far(loop, farHolds)
    {
    }
    unsigned call(job_forwarder::call_kind kind)
    {
        http_request request;
        request.method = kind == job_forwarder::call_kind::submission ? "POST" : "GET";
        request.path = "/lots/job";
        request.headers = callerHeaders;
        client_call_options options;
        options.deadline = std::chrono::steady_clock::now() + milliseconds { 3000 };
        std::optional<unsigned> status;
        client_call_events events;
        events.head = [&](const http_reply& head) {
            status = head.status;
            return true;
        };
        forwarding = kind;
        const auto running = client.start("127.0.0.1:" + std::to_string(port), request, options, events);
        for (int i = 0; i < 200 && !status; ++i)
            loop.runFor(milliseconds { 10 });
        return status.value_or(0);
    }

    event_loop loop;
    http_client client { loop, {} };
    metrics figures;
    fake_batch near { loop, false };
    fake_batch far;
    key_protocol protocol;
    job_forwarder forwarder { loop, client, protocol, "a",
        [this] {
            return std::vector { batchNode("n", "a", near.address()), batchNode("f", "b", far.address()) };
        },
        figures };
    job_forwarder::call_kind forwarding = job_forwarder::call_kind::submission;
    std::optional<std::string> customer;
    http_headers callerHeaders;
    std::int64_t configuration = 0;
    std::uint16_t port = freePort();
    http_listener entry { loop, { "127.0.0.1", port, {}, "", "" },
        [this](std::shared_ptr<http_exchange> call) {
            forwarder.forward(call,
                { "job", customer, forwarding, milliseconds { 2000 }, milliseconds { 0 }, configuration });
        } };
};

} // namespace

TEST_CASE("batch processes are ranked for a job by zone, then by hash, whatever the order of the list")
{
    std::vector<node_record> nodes;
    for (int i = 0; i < 9; ++i)
        nodes.push_back(batchNode("vm-" + std::to_string(i),
            i < 3       ? "a"
                : i < 6 ? "b"
                        : "c",
            std::to_string(i)));
    const auto ranked = rankHolders("job", "b", nodes);
    REQUIRE(ranked.size() == 9);
    for (int i = 0; i < 3; ++i)
        CHECK((ranked[static_cast<std::size_t>(i)] >= "3" && ranked[static_cast<std::size_t>(i)] <= "5"));
    std::reverse(nodes.begin(), nodes.end());
    CHECK(rankHolders("job", "b", nodes) == ranked);
    // The first-ranked process of each zone is queried with onlyIfHeld before any process reads the store.
    const auto candidates = candidatesForJob("job", "b", nodes);
    REQUIRE(candidates.size() == 12);
    CHECK(candidates[0].address == ranked[0]);
    CHECK(candidates[2].onlyIfHeld);
    CHECK(!candidates[3].onlyIfHeld);
    CHECK(candidates[3].address == ranked[0]);
    CHECK(candidates[1].address == rankHolders("job", candidates[1].address < "3" ? "a" : "c", nodes)[0]);
}

// A job is held in the zone of its caller, but its results are read through entries of all zones. With each
// such read the batch process of the reader's zone queried the store for the holder: 14 store calls a second.
TEST_CASE("a job of another zone is found without a store call, and with one request the next time")
{
    fixture f(true);
    CHECK(f.call(job_forwarder::call_kind::existing_job) == 200);
    CHECK(f.near.askedIfHeld == 1);
    CHECK(f.near.askedFully == 0);
    CHECK(f.call(job_forwarder::call_kind::existing_job) == 200);
    CHECK(f.near.askedIfHeld == 1);
    CHECK(f.far.askedIfHeld + f.far.askedFully == 2);
}

TEST_CASE("a job without a holder is looked up in the store by one process only")
{
    fixture f(false);
    CHECK(f.call(job_forwarder::call_kind::existing_job) == 404);
    CHECK(f.near.askedFully == 1);
    CHECK(f.far.askedFully == 0);
    CHECK(f.call(job_forwarder::call_kind::submission) == 404);
    CHECK(f.near.askedFully == 2);
}

// To find the entries on larger VMs, each entry was compared with every other one, with a copy of the list
// for each. Every change of the list took 1.4 ms with 250 entries and 8.5 ms with 600; in one pass it takes
// 0.014 and 0.036 ms.
TEST_CASE("the cost of converting the entries to dispatchers grows linearly")
{
    const auto cost = [](int entries) {
        std::vector<node_record> nodes;
        for (int i = 0; i < entries; ++i)
            nodes.push_back({ "vm-" + std::to_string(i), node_role::entry, "zone-" + std::to_string(i % 5),
                "10.0.0." + std::to_string(i) + ":8000", 1, false, i % 20 == 0 ? 0.5 : 0.12 });
        timespec begin {};
        timespec end {};
        ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &begin);
        for (int i = 0; i < 20; ++i)
            CHECK(dispatchersAmong(nodes).size() == nodes.size());
        ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &end);
        return 1e3 * static_cast<double>(end.tv_sec - begin.tv_sec)
            + static_cast<double>(end.tv_nsec - begin.tv_nsec) / 1e6;
    };
    cost(60);
    const double few = cost(60);
    CHECK(cost(600) < 30 * few); // 10 times the entries; a quadratic cost would be 100 times.
}

// A caller sets the header that names the customer to batch processes, and reads or cancels another
// customer's job. A key that is forwarded to a batch process appears in everything that process stores of the
// request.
TEST_CASE("a batch process receives the customer from the entry only, and no key")
{
    fixture f(true);
    f.callerHeaders = { { "Key", "secret" }, { std::string(customerHeader), "victim" } };
    f.customer = "firm";
    CHECK(f.call(job_forwarder::call_kind::submission) == 404);
    CHECK(findHeader(f.near.lastHeaders, customerHeader) == "firm");
    CHECK(findHeader(f.near.lastHeaders, "Key").empty());

    // Without customers all headers are forwarded unchanged, except the one that only an entry may set.
    f.customer.reset();
    CHECK(f.call(job_forwarder::call_kind::submission) == 404);
    CHECK(findHeader(f.near.lastHeaders, customerHeader).empty());
    CHECK(findHeader(f.near.lastHeaders, "Key") == "secret");
}

// Guards against a caller that names a configuration of its own: its job would wait for it and be refused.
TEST_CASE("a batch process receives the version of the configuration from the entry only")
{
    fixture f(true);
    f.callerHeaders = { { std::string(configurationHeader), "99" } };
    f.configuration = 7;
    CHECK(f.call(job_forwarder::call_kind::submission) == 404);
    CHECK(findHeader(f.near.lastHeaders, configurationHeader) == "7");
    f.configuration = 0;
    CHECK(f.call(job_forwarder::call_kind::submission) == 404);
    CHECK(findHeader(f.near.lastHeaders, configurationHeader).empty());
}

// Guards against a caller that makes a batch process drop a job by the notice of another batch process.
TEST_CASE("a batch process receives no notice of a job's end from a caller")
{
    fixture f(true);
    f.callerHeaders = { { std::string(jobEndedHeader), "1" } };
    CHECK(f.call(job_forwarder::call_kind::submission) == 404);
    CHECK(findHeader(f.near.lastHeaders, jobEndedHeader).empty());
}

// Guards against a caller that sends these headers empty: the first field counts, so that its job belonged to
// no customer.
TEST_CASE("a batch process receives no empty header that only an entry may set")
{
    fixture f(true);
    f.callerHeaders = { { std::string(customerHeader), "" }, { std::string(configurationHeader), "" } };
    f.customer = "firm";
    f.configuration = 7;
    CHECK(f.call(job_forwarder::call_kind::submission) == 404);
    CHECK(findHeader(f.near.lastHeaders, customerHeader) == "firm");
    CHECK(findHeader(f.near.lastHeaders, configurationHeader) == "7");
}
