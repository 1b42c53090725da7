#include "../src/request_drain.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

/// A request that ends, and with it another one, when it is called.
struct scripted_request final : drainable_request {
    scripted_request(request_drain& owner, scripted_request* other)
        : drained(owner)
        , neighbour(other)
    {
        drained.add(*this);
    }
    void drain() override { end(); }
    void cutOff() override { end(); }
    void end()
    {
        ++calls;
        drained.remove(*this);
        if (neighbour)
            drained.remove(*neighbour);
    }

    request_drain& drained;
    scripted_request* neighbour;
    int calls = 0;
};

} // namespace

TEST_CASE("only a request that may last longer than its process is refused")
{
    const steady_time now { milliseconds { 1000 } };
    request_drain drain;
    CHECK(!drain.refuses(now + milliseconds { 100 }));
    drain.begin(now);
    CHECK(!drain.refuses(now));
    CHECK(drain.refuses(now + milliseconds { 1 }));
}

// Guards against a call of a request that has ended because another one did.
TEST_CASE("a request that ends while others are called is not called")
{
    for (const bool begins : { true, false }) {
        request_drain drain;
        scripted_request first(drain, nullptr);
        scripted_request second(drain, &first);
        first.neighbour = &second;
        begins ? drain.begin({}) : drain.cutOffAll();
        CHECK(first.calls + second.calls == 1);
        drain.cutOffAll();
        CHECK(first.calls + second.calls == 1);
    }
}
