#include "../src/waiting_callers.h"

#include <catch2/catch.hpp>

using namespace yuccachute;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time {} + 1h;
constexpr startup_state nothing {};
constexpr startup_state configured { true, false };
constexpr startup_state complete { true, true };

class silent_caller final : public http_exchange {
public:
    explicit silent_caller(std::size_t bodyBytes, std::size_t headerBytes)
    {
        m_request.body = std::string(bodyBytes, '\0');
        if (headerBytes > 0)
            m_request.headers.emplace_back("padding", std::string(headerBytes, 'x'));
    }
    const http_request& request() const override { return m_request; }
    steady_time received() const override { return start; }
    void send(http_reply) override { }
    void startStream(unsigned, const http_headers&, std::optional<std::uint64_t>) override { }
    void write(std::string_view) override { }
    void finish() override { }
    void abort() override { }
    std::size_t unsentBytes() const override { return 0; }
    void onDrained(std::function<void()>) override { }
    void onCallerGone(std::function<void()> notify) override { onGone = std::move(notify); }

    std::function<void()> onGone;

private:
    http_request m_request;
};

std::shared_ptr<silent_caller> makeCaller(std::size_t bodyBytes = 0, std::size_t headerBytes = 0)
{
    return std::make_shared<silent_caller>(bodyBytes, headerBytes);
}

} // namespace

TEST_CASE("a request waits for what it needs, in order of arrival")
{
    waiting_callers waiting;
    const auto first = makeCaller();
    const auto second = makeCaller();
    const auto third = makeCaller();
    REQUIRE(waiting.add(first, startup_need::target_list, start + 250ms));
    REQUIRE(waiting.add(second, startup_need::configuration, start + 250ms));
    REQUIRE(waiting.add(third, startup_need::target_list, start + 250ms));
    CHECK(waiting.take(nothing, start).empty());
    const auto configuredNow = waiting.take(configured, start + 10ms);
    REQUIRE(configuredNow.size() == 1);
    CHECK(configuredNow[0].caller == second);
    CHECK(!configuredNow[0].expired);
    const auto all = waiting.take(complete, start + 20ms);
    REQUIRE(all.size() == 2);
    CHECK(all[0].caller == first);
    CHECK(all[1].caller == third);
    CHECK(waiting.empty());
}

// Guards against a request that is held while nothing arrives, until its caller gives up without an answer.
TEST_CASE("a request whose time to wait has passed is released to be refused")
{
    waiting_callers waiting;
    REQUIRE(
        waiting.add(makeCaller(), startup_need::target_list, targetListWaitEnd(start, 300ms, std::nullopt)));
    REQUIRE(
        waiting.add(makeCaller(), startup_need::target_list, targetListWaitEnd(start, 2000ms, std::nullopt)));
    CHECK(waiting.take(configured, start + 249ms).empty());
    const auto released = waiting.take(configured, start + 250ms);
    REQUIRE(released.size() == 1);
    CHECK(released[0].expired);
    CHECK(waiting.size() == 1);
    CHECK(configurationWaitEnd(start) < start + 300ms);
    CHECK(targetListWaitEnd(start, 0ms, std::nullopt) == start);
    // A caller that waits for less than the objective is answered before it gives up.
    CHECK(targetListWaitEnd(start, 2000ms, 200ms) == start + 150ms);
    CHECK(targetListWaitEnd(start, 300ms, 5000ms) == start + 250ms);
}

// Guards against an entry that runs out of memory because the callers of a whole fleet wait at it.
TEST_CASE("waiting requests are limited in number and in memory")
{
    waiting_callers waiting;
    std::size_t accepted = 0;
    while (accepted < 10000 && waiting.add(makeCaller(), startup_need::target_list, start + 250ms))
        ++accepted;
    CHECK(accepted == 512);
    CHECK(waiting.take(complete, start).size() == 512);
    CHECK(waiting.add(makeCaller(5u << 20), startup_need::target_list, start + 250ms));
    CHECK(!waiting.add(makeCaller(5u << 20), startup_need::target_list, start + 250ms));
    CHECK(waiting.add(makeCaller(1u << 20), startup_need::target_list, start + 250ms));
    CHECK(waiting.take(complete, start).size() == 2);
    CHECK(waiting.add(makeCaller(5u << 20), startup_need::target_list, start + 250ms));
    CHECK(!waiting.add(makeCaller(0, 5u << 20), startup_need::target_list, start + 250ms));
}

// Guards against a slot that is requested for a caller who has disconnected while it waited.
TEST_CASE("a caller that disconnects while it waits is removed, and its memory counted as free")
{
    waiting_callers waiting;
    const auto caller = makeCaller(5u << 20);
    REQUIRE(waiting.add(caller, startup_need::target_list, start + 250ms));
    caller->onGone();
    CHECK(waiting.empty());
    REQUIRE(waiting.add(makeCaller(5u << 20), startup_need::target_list, start + 250ms));
    CHECK(waiting.take(complete, start).size() == 1);
    const auto late = makeCaller();
    {
        waiting_callers shortLived;
        REQUIRE(shortLived.add(late, startup_need::target_list, start + 250ms));
    }
    late->onGone();
}
