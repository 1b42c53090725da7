#include "dispatch/dispatch.h"

#include <catch2/catch.hpp>

using namespace yuccachute;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time {} + 1h;

slot_request makeRequest(std::string customer, std::uint64_t id, double weight = 1)
{
    slot_request request;
    request.id = id;
    request.customer = std::move(customer);
    request.weight = weight;
    request.deadline = start + 1h;
    return request;
}

} // namespace

// Guards against a queue in arrival order, where a single request of a small customer waits behind a thousand
// requests that a large customer has just sent.
TEST_CASE("a request of a small customer does not wait behind the backlog of a large one")
{
    fair_queue fair;
    fair_queue arrival(fair_queue::order::arrival);
    for (auto* queue : { &fair, &arrival }) {
        for (std::uint64_t id = 0; id < 1000; ++id)
            queue->push(makeRequest("large", id), start);
        for (int i = 0; i < 10; ++i)
            queue->pop();
        queue->push(makeRequest("small", 5000), start);
    }
    const auto positionOfSmall = [](fair_queue& queue) {
        int position = 0;
        while (queue.pop().first.customer != "small")
            ++position;
        return position;
    };
    CHECK(positionOfSmall(fair) <= 1);
    CHECK(positionOfSmall(arrival) == 990);
}

TEST_CASE("customers with a backlog are served in proportion to their weights")
{
    fair_queue queue;
    for (std::uint64_t id = 0; id < 400; ++id) {
        queue.push(makeRequest("a", id, 3), start);
        queue.push(makeRequest("b", id, 1), start);
    }
    int a = 0;
    for (int i = 0; i < 200; ++i)
        a += queue.pop().first.customer == "a";
    CHECK(a >= 148);
    CHECK(a <= 152);
    CHECK(queue.shareOf("a", 3) == Approx(0.75));
    CHECK(queue.sizeOf("b") == 400u - (200u - static_cast<unsigned>(a)));
}

// Guards against a customer that gets all capacity after an idle time, until it has caught up with the share
// that it did not use.
TEST_CASE("an idle customer accumulates no credit")
{
    fair_queue queue;
    for (std::uint64_t id = 0; id < 1000; ++id)
        queue.push(makeRequest("busy", id), start);
    for (int i = 0; i < 500; ++i)
        queue.pop();
    for (std::uint64_t id = 0; id < 100; ++id)
        queue.push(makeRequest("back", id), start);
    int back = 0;
    for (int i = 0; i < 100; ++i)
        back += queue.pop().first.customer == "back";
    CHECK(back >= 49);
    CHECK(back <= 51);
}

TEST_CASE("requests can be withdrawn, expire, and are removed with their holder")
{
    fair_queue queue;
    for (std::uint64_t id = 0; id < 5; ++id) {
        auto request = makeRequest("a", id);
        request.holder = id % 2;
        request.deadline = start + std::chrono::seconds(id);
        queue.push(request, start);
    }
    CHECK(queue.remove(0, 4));
    CHECK(!queue.remove(0, 4));
    CHECK(queue.takeExpired(start + 1s).size() == 2);
    CHECK(queue.size() == 2);
    queue.removeHolder(1);
    REQUIRE(queue.size() == 1);
    CHECK(queue.front()->id == 2);
}
