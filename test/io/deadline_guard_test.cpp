#include "io/loopback.h"

#include <doctest/doctest.h>

using namespace azurehill;
using namespace azurehill::test;

// A stream starts a watch for every token. The timer of an earlier watch keeps running and fires
// during a later one: this must neither expire the later watch early nor leave it without a
// deadline.
TEST_CASE("A deadline guard watches the operation that was started last")
{
    const paused_clock clock;
    asio::io_context context;
    deadline_guard guard(context.get_executor());
    int expiries = 0;
    const auto expire = [&] { ++expiries; };
    const auto passTime = [&](duration d) {
        auto body = [&]() -> awaitable<void> {
            const time_point until = runtime_clock::now() + d;
            while (runtime_clock::now() < until) {
                runtime_clock::advance(milliseconds(100));
                // A timer that is already due fires before this one.
                co_await sleepFor(duration(0));
            }
            co_await sleepFor(duration(0));
        };
        runIn(context, body());
    };

    SUBCASE("nothing finishes it")
    {
        guard.start(runtime_clock::now() + seconds(1), expire);
        passTime(seconds(2));
        CHECK(expiries == 1);
        CHECK(guard.expired());
    }
    SUBCASE("it is finished in time")
    {
        guard.start(runtime_clock::now() + seconds(1), expire);
        guard.finish();
        passTime(seconds(2));
        CHECK(expiries == 0);
        CHECK_FALSE(guard.expired());
    }
    SUBCASE("a later one goes past the time of the first")
    {
        guard.start(runtime_clock::now() + seconds(1), expire);
        guard.finish();
        guard.start(runtime_clock::now() + seconds(3), expire);
        passTime(seconds(2));
        CHECK(expiries == 0);
        passTime(seconds(2));
        CHECK(expiries == 1);
    }
    SUBCASE("a later one has an earlier deadline")
    {
        guard.start(runtime_clock::now() + seconds(10), expire);
        guard.finish();
        guard.start(runtime_clock::now() + seconds(1), expire);
        passTime(seconds(2));
        CHECK(expiries == 1);
    }
    SUBCASE("one after an expiry")
    {
        guard.start(runtime_clock::now() + seconds(1), expire);
        passTime(seconds(2));
        guard.start(runtime_clock::now() + seconds(1), expire);
        CHECK_FALSE(guard.expired());
        passTime(seconds(2));
        CHECK(expiries == 2);
    }
}
