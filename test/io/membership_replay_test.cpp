#include "io/membership_replay.h"

#include <doctest/doctest.h>

namespace azurehill::test {

namespace {

/// Time in which all daemons that start at once have heard of each other.
constexpr duration startupBound = seconds(5);
/// A death is known to all that run within this time.
constexpr duration deathDetectionBound = milliseconds(1500);
/// Bytes a second that a daemon may send to tell who lives, and what it wants of the engines.
constexpr double mostBytes = 6000;

} // namespace

TEST_SUITE("replay of membership")
{
    TEST_CASE("a calm time has no deaths, at a cost that does not grow with the number of daemons")
    {
        // Places, rates and look-ups are divided by the number of daemons that live. With 295 that
        // all lived, some 950 were taken for gone and as many for back in each second: the words of
        // one daemon reached another now and then only, through forty states by chance a message,
        // 2.4 to 2.6 s apart ("silent_ms":2412), and each daemon sent 185 KB a second for that.
        for (const int size : {30, 300}) {
            CAPTURE(size);
            membership_replay replay(size);
            replay.play(startupBound);
            CHECK(replay.isAgreed());
            replay.falseDeaths = 0;
            replay.countsBytes = true;
            constexpr int seconds = 5;
            replay.play(std::chrono::seconds(seconds));
            CHECK(replay.falseDeaths == 0);
            CHECK(double(replay.bytes) / size / seconds <= mostBytes);
        }
    }

    TEST_CASE("a death is told to all within 1.5 s, whatever the number of daemons")
    {
        // Callers are sent to a host that lost its power until all know of it.
        for (const int size : {3, 30, 300, 1800}) {
            CAPTURE(size);
            membership_replay replay(size, membership_replay::start::Joined);
            replay.play(seconds(1));
            replay.stop(1);
            replay.play(deathDetectionBound);
            CHECK(replay.countSeeingAlive(1) == 0);
            CHECK(replay.falseDeaths == 0);
        }
    }

    TEST_CASE("half of the daemons stop at one moment")
    {
        // A data centre and more lose power. The others take no living one for gone, though half of
        // the daemons that they ask to ping for them don't answer either.
        membership_replay replay(300);
        replay.play(startupBound);
        for (int i = 0; i < 300; i += 2)
            replay.stop(i);
        replay.play(seconds(4));
        CHECK(replay.isAgreed());
        CHECK(replay.falseDeaths == 0);

        SUBCASE("and wake after some seconds")
        {
            // What they had asked before they stopped was not answered to them: they must not take
            // that for a sign that the others are gone.
            for (int i = 0; i < 300; i += 2)
                replay.unfreeze(i);
            replay.play(seconds(6));
            CHECK(replay.isAgreed());
            CHECK(replay.falseDeaths == 0);
        }
    }

    TEST_CASE("lost datagrams make nobody dead")
    {
        membership_replay replay(100);
        replay.play(startupBound);
        replay.setLossRate(0.05);
        replay.play(seconds(30));
        CHECK(replay.falseDeaths == 0);
    }

    TEST_CASE("links cut one way make nobody dead whom others reach")
    {
        // One host can't reach a third of the others, which reach it: its pings are made through
        // others, and a suspicion is denied.
        membership_replay replay(60);
        replay.play(startupBound);
        for (int other = 1; other < 60; other += 3)
            replay.cut(0, other);
        replay.play(seconds(20));
        CHECK(replay.falseDeaths == 0);
        CHECK(replay.isAgreed());
    }

    TEST_CASE("a daemon that hears nobody accuses nobody")
    {
        // One host's datagrams go out and none come in. It suspected all others, by turns, and had
        // each refute that to all: 29.7 KB a second at every daemon, and after the link was mended
        // they had not agreed on who lives within four seconds.
        constexpr int size = 300;
        membership_replay replay(size, membership_replay::start::Joined);
        replay.play(seconds(2));
        replay.ignoreViewOf(0);
        for (int other = 1; other < size; ++other)
            replay.cut(other, 0);
        replay.play(seconds(4));
        replay.countsBytes = true;
        constexpr int seconds = 5;
        replay.play(std::chrono::seconds(seconds));
        // Only the host itself is held for gone, as nobody gets an answer from it.
        CHECK(replay.countSeeingAlive(0) == 0);
        CHECK(replay.falseDeaths == size - 1);
        CHECK(double(replay.bytes) / size / seconds <= mostBytes);
        replay.restoreLinks();
        replay.play(std::chrono::seconds(4));
        CHECK(replay.isAgreed());
    }

    TEST_CASE("two halves that were cut from each other find together again")
    {
        membership_replay replay(40);
        replay.play(startupBound);
        for (int a = 0; a < 20; ++a) {
            for (int b = 20; b < 40; ++b) {
                replay.cut(a, b);
                replay.cut(b, a);
            }
        }
        replay.play(seconds(4));
        CHECK(replay.countSeeingAlive(0) == 19);
        CHECK(replay.countSeeingAlive(39) == 19);
        replay.restoreLinks();
        replay.play(seconds(4));
        CHECK(replay.isAgreed());
    }

    TEST_CASE("a daemon that pauses for a moment is not gone")
    {
        // Small hosts stand still for some tenths of a second when they are short of processor.
        membership_replay replay(60);
        replay.play(startupBound);
        for (int i = 0; i < 20; ++i) {
            replay.stop(i);
            replay.play(milliseconds(350));
            CHECK(replay.countSeeingAlive(i) == 59);
            replay.unfreeze(i);
            replay.play(milliseconds(150));
            CHECK(replay.countSeeingAlive(i) == 59);
        }
        CHECK(replay.falseDeaths == 0);
        CHECK(replay.isAgreed());
    }
}

} // namespace azurehill::test
