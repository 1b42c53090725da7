#include "dispatch/dispatch.h"

#include <catch2/catch.hpp>

using namespace yuccachute;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time {} + 1h;

slot_request askOf(std::string customer, std::uint64_t id, double weight = 1)
{
    slot_request ask;
    ask.id = id;
    ask.customer = std::move(customer);
    ask.weight = weight;
    ask.deadline = start + 1h;
    return ask;
}

} // namespace

// Story: the largest customer sends a thousand requests at once; a small one sends a single request just
// after, and waits behind all of them.
TEST_CASE("a small customer does not wait behind a large one's backlog")
{
    fair_queue fair;
    fair_queue arrival(fair_queue::order::arrival);
    for (auto* queue : { &fair, &arrival }) {
        for (std::uint64_t id = 0; id < 1000; ++id)
            queue->push(askOf("large", id), start);
        for (int i = 0; i < 10; ++i)
            queue->pop();
        queue->push(askOf("small", 5000), start);
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

TEST_CASE("shares follow weights under backlog, and idle capacity goes to whoever asks")
{
    fair_queue queue;
    for (std::uint64_t id = 0; id < 400; ++id) {
        queue.push(askOf("a", id, 3), start);
        queue.push(askOf("b", id, 1), start);
    }
    int a = 0;
    for (int i = 0; i < 200; ++i)
        a += queue.pop().first.customer == "a";
    CHECK(a >= 148);
    CHECK(a <= 152);
    CHECK(queue.shareOf("a", 3) == Approx(0.75));
    CHECK(queue.sizeOf("b") == 400u - (200u - static_cast<unsigned>(a)));
}

// Story: a customer that was idle for an hour comes back and is given all capacity until it has caught up
// with what it did not use.
TEST_CASE("an idle customer saves up no credit")
{
    fair_queue queue;
    for (std::uint64_t id = 0; id < 1000; ++id)
        queue.push(askOf("busy", id), start);
    for (int i = 0; i < 500; ++i)
        queue.pop();
    for (std::uint64_t id = 0; id < 100; ++id)
        queue.push(askOf("back", id), start);
    int back = 0;
    for (int i = 0; i < 100; ++i)
        back += queue.pop().first.customer == "back";
    CHECK(back >= 49);
    CHECK(back <= 51);
}

TEST_CASE("asks can be withdrawn, expire and go with their holder")
{
    fair_queue queue;
    for (std::uint64_t id = 0; id < 5; ++id) {
        auto ask = askOf("a", id);
        ask.holder = id % 2;
        ask.deadline = start + std::chrono::seconds(id);
        queue.push(ask, start);
    }
    CHECK(queue.remove(0, 4));
    CHECK(!queue.remove(0, 4));
    CHECK(queue.takeExpired(start + 1s).size() == 2);
    CHECK(queue.size() == 2);
    queue.removeHolder(1);
    REQUIRE(queue.size() == 1);
    CHECK(queue.front()->id == 2);
}
