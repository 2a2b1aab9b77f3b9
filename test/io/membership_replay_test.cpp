#include "io/membership_replay.h"

#include <doctest/doctest.h>

namespace azurehill::test {

namespace {

/// Time within which daemons that start at once have discovered each other.
constexpr duration startupBound = seconds(5);
/// Time within which all running daemons know of a death.
constexpr duration deathDetectionBound = milliseconds(1500);
/// Bound of the gossip traffic per daemon.
constexpr double maxBytesPerSecond = 6000;

} // namespace

TEST_SUITE("replay of membership")
{
    TEST_CASE("a calm time has no deaths, at a cost that does not grow with the number of daemons")
    {
        // Guards against false deaths without a fault: slots, rates and polling are divided by the
        // number of live daemons. With 295 live daemons and messages that carried the states of
        // forty random members, the states of one daemon reached another only every 2.4 to 2.6 s
        // ("silent_ms":2412). That caused some 950 false deaths and as many returns per second,
        // while each daemon sent 185 KB a second.
        for (const int size : {30, 300}) {
            CAPTURE(size);
            membership_replay replay(size);
            replay.advance(startupBound);
            CHECK(replay.isAgreed());
            replay.falseDeaths = 0;
            replay.countsBytes = true;
            constexpr int seconds = 5;
            replay.advance(std::chrono::seconds(seconds));
            CHECK(replay.falseDeaths == 0);
            CHECK(double(replay.bytes) / size / seconds <= maxBytesPerSecond);
        }
    }

    TEST_CASE("a death is told to all within 1.5 s, whatever the number of daemons")
    {
        // Callers are directed to a host that lost power until all daemons know of its death.
        for (const int size : {3, 30, 300, 1800}) {
            CAPTURE(size);
            membership_replay replay(size, membership_replay::start::Joined);
            replay.advance(seconds(1));
            replay.stop(1);
            replay.advance(deathDetectionBound);
            CHECK(replay.countSeeingAlive(1) == 0);
            CHECK(replay.falseDeaths == 0);
        }
    }

    TEST_CASE("half of the daemons stop at one moment")
    {
        // More than one data centre loses power. The others must not declare a live daemon dead,
        // although half of the daemons that they ask for indirect probes don't answer either.
        membership_replay replay(300);
        replay.advance(startupBound);
        for (int i = 0; i < 300; i += 2)
            replay.stop(i);
        replay.advance(seconds(4));
        CHECK(replay.isAgreed());
        CHECK(replay.falseDeaths == 0);

        SUBCASE("and wake after some seconds")
        {
            // Their pings from before the freeze are unanswered, which must not count as a failure
            // of the others.
            for (int i = 0; i < 300; i += 2)
                replay.unfreeze(i);
            replay.advance(seconds(6));
            CHECK(replay.isAgreed());
            CHECK(replay.falseDeaths == 0);
        }
    }

    TEST_CASE("lost datagrams make nobody dead")
    {
        membership_replay replay(100);
        replay.advance(startupBound);
        replay.setLossRate(0.05);
        replay.advance(seconds(30));
        CHECK(replay.falseDeaths == 0);
    }

    TEST_CASE("links cut one way make nobody dead whom others reach")
    {
        // One host can't reach a third of the others, while these reach it. Its pings are sent
        // indirectly, and a suspicion is refuted.
        membership_replay replay(60);
        replay.advance(startupBound);
        for (int other = 1; other < 60; other += 3)
            replay.cut(0, other);
        replay.advance(seconds(20));
        CHECK(replay.falseDeaths == 0);
        CHECK(replay.isAgreed());
    }

    TEST_CASE("a daemon that hears nobody accuses nobody")
    {
        // One host can send datagrams but receives none. It suspected all others in turn, and the
        // refutation of each spread to all daemons: every daemon sent 29.7 KB a second, and four
        // seconds after the links were restored the views still differed.
        constexpr int size = 300;
        membership_replay replay(size, membership_replay::start::Joined);
        replay.advance(seconds(2));
        replay.ignoreViewOf(0);
        for (int other = 1; other < size; ++other)
            replay.cut(other, 0);
        replay.advance(seconds(4));
        replay.countsBytes = true;
        constexpr int seconds = 5;
        replay.advance(std::chrono::seconds(seconds));
        // Only the host itself is declared dead, since it answers no ping.
        CHECK(replay.countSeeingAlive(0) == 0);
        CHECK(replay.falseDeaths == size - 1);
        CHECK(double(replay.bytes) / size / seconds <= maxBytesPerSecond);
        replay.restoreLinks();
        replay.advance(std::chrono::seconds(4));
        CHECK(replay.isAgreed());
    }

    TEST_CASE("two halves that were cut from each other find together again")
    {
        membership_replay replay(40);
        replay.advance(startupBound);
        for (int a = 0; a < 20; ++a) {
            for (int b = 20; b < 40; ++b) {
                replay.cut(a, b);
                replay.cut(b, a);
            }
        }
        replay.advance(seconds(4));
        CHECK(replay.countSeeingAlive(0) == 19);
        CHECK(replay.countSeeingAlive(39) == 19);
        replay.restoreLinks();
        replay.advance(seconds(4));
        CHECK(replay.isAgreed());
    }

    TEST_CASE("a daemon that pauses for a moment is not gone")
    {
        // Small hosts pause for some tenths of a second when they are short of CPU time.
        membership_replay replay(60);
        replay.advance(startupBound);
        for (int i = 0; i < 20; ++i) {
            replay.stop(i);
            replay.advance(milliseconds(350));
            CHECK(replay.countSeeingAlive(i) == 59);
            replay.unfreeze(i);
            replay.advance(milliseconds(150));
            CHECK(replay.countSeeingAlive(i) == 59);
        }
        CHECK(replay.falseDeaths == 0);
        CHECK(replay.isAgreed());
    }
}

} // namespace azurehill::test
