#include "../src/open_job_scan.h"

#include "store/store.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

const steady_time begin { std::chrono::hours { 1 } };
constexpr milliseconds tick { 50 };
/// Oldest answer of the store that a process knows of while the store can be reached.
constexpr milliseconds answered { 1400 };

struct listing_outcome {
    milliseconds took { 0 };
    std::optional<failure_kind> failed;
};

/// Plays listings until a time; those that succeed confirm the job.
template <typename Outcome>
void play(open_job_scan& scan, steady_time& openAt, steady_time& now, steady_time until, Outcome outcomeOf)
{
    for (; now < until; now += tick) {
        if (!scan.due(now))
            continue;
        scan.started(now);
        const listing_outcome outcome = outcomeOf(now);
        if (outcome.failed) {
            scan.failed(*outcome.failed, now + outcome.took);
        } else {
            scan.succeeded();
            openAt = scan.requestedAt();
        }
    }
}

} // namespace

TEST_CASE("items wait from the maximum age of the last confirmation on")
{
    open_job_scan scan;
    scan.started(begin);
    scan.succeeded();
    CHECK(scan.maySend(begin, begin + maxOpenAge, answered));
    CHECK_FALSE(scan.maySend(begin, begin + maxOpenAge + milliseconds { 1 }, answered));
    CHECK_FALSE(scan.maySend(begin, begin + maxOpenAge + milliseconds { 1 }, std::chrono::hours { 1 }));
    CHECK(maxOpenAge + deliveryTime == cancelTime);
}

// Guards against items that wait although the store answers: a listing meets a silent connection each time.
TEST_CASE("items do not wait for listings that are repeated over a new connection")
{
    open_job_scan scan;
    auto openAt = begin;
    auto now = begin;
    bool waited = false;
    play(scan, openAt, now, begin + std::chrono::minutes { 1 }, [&](steady_time time) {
        waited = waited || !scan.maySend(openAt, time + silentConnectionTimeout, answered);
        return listing_outcome { silentConnectionTimeout, std::nullopt };
    });
    CHECK_FALSE(waited);
}

// Guards against a bulk process that stands still while it cannot reach the store, and against one that goes
// on sending items of ended jobs once it can.
TEST_CASE("items do not wait while the store cannot be reached, and the next listing follows its return soon")
{
    for (const auto& lost : { listing_outcome { milliseconds { 1500 }, failure_kind::timeout },
             listing_outcome { milliseconds { 0 }, failure_kind::unavailable } }) {
        open_job_scan scan;
        auto openAt = begin;
        auto now = begin;
        play(scan, openAt, now, begin + milliseconds { 100 }, [](auto) { return listing_outcome {}; });
        for (milliseconds back { 5000 }; back < milliseconds { 8000 }; back += tick) {
            play(scan, openAt, now, begin + back, [&](auto) { return lost; });
            CHECK(scan.maySend(openAt, now, back));
            auto returned = scan;
            auto time = now;
            auto confirmed = openAt;
            // A call that was sent before the return is lost as well.
            const auto until = now + cancelTime - deliveryTime;
            play(returned, confirmed, time, until, [&](auto) { return listing_outcome {}; });
            CHECK(confirmed >= now);
        }
    }
}

// Guards against items of ended jobs at a process whose listings fail in any way, while the store answers
// others or other calls.
TEST_CASE("items wait while the open jobs cannot be listed and the store answers a process of the fleet")
{
    for (const auto kind : { failure_kind::timeout, failure_kind::unavailable, failure_kind::incomplete,
             failure_kind::forbidden, failure_kind::internal }) {
        open_job_scan scan;
        auto openAt = begin;
        auto now = begin;
        play(scan, openAt, now, begin + milliseconds { 100 }, [](auto) { return listing_outcome {}; });
        play(scan, openAt, now, begin + milliseconds { 6000 }, [kind](auto) {
            return listing_outcome { milliseconds { 0 }, kind };
        });
        CHECK_FALSE(scan.maySend(openAt, now, answered));
        CHECK_FALSE(scan.maySend(openAt, now, maxStoreSilence));
        CHECK(scan.maySend(openAt, now, maxStoreSilence + milliseconds { 1 }));
        // Suspended for hours: the store may have answered others meanwhile.
        CHECK_FALSE(scan.maySend(openAt, now + std::chrono::hours { 1 }, answered));
    }
}

// Guards against items of ended jobs at a process whose calls are refused because of their number, while the
// store answers others.
TEST_CASE("items wait while the store limits the rate of calls")
{
    open_job_scan scan;
    auto openAt = begin;
    auto now = begin;
    play(scan, openAt, now, begin + milliseconds { 100 }, [](auto) { return listing_outcome {}; });
    play(scan, openAt, now, begin + milliseconds { 6000 }, [](auto) {
        return listing_outcome { milliseconds { 0 }, failure_kind::limited };
    });
    CHECK_FALSE(scan.maySend(openAt, now, std::chrono::hours { 1 }));
}

TEST_CASE("a listing that is requested while one runs follows at once")
{
    open_job_scan scan;
    scan.started(begin);
    scan.request(begin + milliseconds { 10 });
    CHECK_FALSE(scan.due(begin + milliseconds { 20 }));
    scan.succeeded();
    CHECK(scan.due(begin + milliseconds { 20 }));
}
