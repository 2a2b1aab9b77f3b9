#include "io/membership_replay.h"

#include <doctest/doctest.h>

namespace azurehill::test {

namespace {

/// Time within which each daemon must act on a change of the entries.
constexpr duration bound = seconds(4);
/// Reads a second of all daemons that the store is asked for at most, whatever their number: about
/// twice what sixteen readers make.
constexpr double maxReadsPerSecond = 32;

membership_replay runningReplay(int size)
{
    membership_replay replay(size, membership_replay::start::Joined);
    replay.followTable(bound);
    replay.play(seconds(3));
    return replay;
}

} // namespace

TEST_SUITE("replay of replicas' entries")
{
    TEST_CASE("a change is with all daemons in time, at reads that don't grow with their number")
    {
        // Each daemon read all entries once a second: 295 daemons and 233 entries were 16 MB a
        // second at the store, most of what a calm day read there, and forty times that at 1,800
        // daemons.
        for (const int size : {3, 30, 300, 1800}) {
            CAPTURE(size);
            membership_replay replay = runningReplay(size);
            replay.tableReads = 0;
            replay.play(seconds(2));
            CHECK(double(replay.tableReads) / 2 <= maxReadsPerSecond);
            replay.changeTable();
            replay.play(bound);
            CHECK(replay.daemonsBehind() == 0);
            CHECK(replay.oldestCopy() <= bound);
        }
    }

    TEST_CASE("daemons that are cut off, frozen or last to hear make nobody late")
    {
        constexpr int size = 100;
        membership_replay replay = runningReplay(size);

        SUBCASE("nine tenths don't reach the store")
        {
            for (int i = 0; i < 90; ++i)
                replay.cutStore(i);
        }
        SUBCASE("a third is frozen, in the midst of their reads")
        {
            for (int i = 0; i < size; i += 3)
                replay.stop(i);
        }
        SUBCASE("one reaches no other daemon, and reads for itself")
        {
            for (int i = 1; i < size; ++i) {
                replay.cut(0, i);
                replay.cut(i, 0);
            }
        }
        SUBCASE("one in ten datagrams is lost")
        {
            replay.setLossRate(0.1);
        }
        for (int change = 0; change < 3; ++change) {
            replay.changeTable();
            replay.play(bound);
            CHECK(replay.daemonsBehind() == 0);
        }
    }

    TEST_CASE("a daemon that wakes hears what it missed, and makes none of the others older")
    {
        membership_replay replay = runningReplay(60);
        replay.stop(7);
        replay.play(seconds(5));
        replay.changeTable();
        replay.play(bound);
        replay.unfreeze(7);
        replay.play(seconds(2));
        CHECK(replay.daemonsBehind() == 0);
    }

    TEST_CASE("the store is silent for a while, and the copies are young soon after")
    {
        constexpr int size = 300;
        membership_replay replay = runningReplay(size);
        for (int i = 0; i < size; ++i)
            replay.cutStore(i);
        replay.play(seconds(6));
        replay.changeTable();
        replay.restoreStore();
        replay.play(bound / 2);
        CHECK(replay.daemonsBehind() == 0);
        replay.play(seconds(2));
        replay.tableReads = 0;
        replay.play(seconds(2));
        CHECK(double(replay.tableReads) / 2 <= maxReadsPerSecond);
    }
}

} // namespace azurehill::test
