#include "io/membership_replay.h"

#include <doctest/doctest.h>

namespace azurehill::test {

namespace {

/// Time within which each daemon must see a change of the replica table.
constexpr duration bound = seconds(4);
/// Bound of the table reads of all daemons together, whatever their number: about twice the rate of
/// sixteen readers.
constexpr double maxReadsPerSecond = 32;

membership_replay runningReplay(int size)
{
    membership_replay replay(size, membership_replay::start::Joined);
    replay.followTable(bound);
    replay.advance(seconds(3));
    return replay;
}

/// Drain time of a replica.
constexpr duration drainTime = seconds(3);
/// As maxReadsPerSecond, for sixteen readers in each quarter of the drain time.
constexpr double maxReadsAtDrainTime = 43;
/// Time from page to page of a read on a host with a tenth of a core, which decodes 500 entries
/// per page.
constexpr duration pageTime = milliseconds(40);
/// Rows per page. A replay has one row instead of ten per daemon, and pages of a tenth of the
/// store's 500 rows: as many pages as in operation, in a tenth of the memory.
constexpr int pageRows = 50;

membership_replay longTableReplay(int size)
{
    membership_replay replay(size, membership_replay::start::Joined);
    replay.followLongTable(drainTime, size, pageRows, pageTime);
    replay.advance(seconds(5));
    return replay;
}

/// \returns the time until no daemon acts on a copy with an older version of \p row, or nothing if
/// that takes longer than 10 s.
std::optional<duration> timeUntilKnown(membership_replay &replay, int row, store_version version)
{
    constexpr duration step = milliseconds(20);
    for (duration waited = duration::zero(); waited < seconds(10); waited += step) {
        if (replay.daemonsActingOnOlder(row, version) == 0)
            return waited;
        replay.advance(step);
    }
    return std::nullopt;
}

} // namespace

TEST_SUITE("replay of replicas' entries")
{
    TEST_CASE("a change between the pages of a read reaches all daemons within the drain time")
    {
        // Guards against a read of several pages that claims the version of its last page. Daemons
        // with equal rows adopted that version from digests, and then asked the store and their
        // peers only for later changes. At 300 daemons and 3,000 replicas one of them sent a
        // request to a replica 3.8 s after the replica's entry said that it leaves.
        for (const int size : {30, 100, 300, 600}) {
            CAPTURE(size);
            membership_replay replay = longTableReplay(size);
            for (int reader = 0; reader < 5; ++reader) {
                CAPTURE(reader);
                replay.readAllRows(reader);
                replay.advance(pageTime / 2);
                const store_version version = replay.changeRow(reader);
                const auto known = timeUntilKnown(replay, reader, version);
                REQUIRE(known);
                CAPTURE(toMilliseconds(*known));
                CHECK(*known <= drainTime);
            }
            replay.tableReads = 0;
            replay.advance(seconds(2));
            CHECK(double(replay.tableReads) / 2 <= maxReadsAtDrainTime);
        }
    }

    TEST_CASE("a daemon that can't refresh its copy stops to act on it within the drain time")
    {
        constexpr int size = 100;
        membership_replay replay = longTableReplay(size);
        const auto isolate = [&](int daemon) {
            for (int i = 0; i < size; ++i) {
                replay.cut(daemon, i);
                replay.cut(i, daemon);
            }
        };

        SUBCASE("no peer and no read of the table answers it, but the store answers other calls")
        {
            isolate(0);
            replay.failTableReads(0);
            const store_version version = replay.changeRow(7);
            const auto known = timeUntilKnown(replay, 7, version);
            REQUIRE(known);
            CHECK(*known <= drainTime);
            CHECK(replay.outdatedDaemons() == 1);
            CHECK(replay.daemonsBehind() == 1);
        }
        SUBCASE("no peer answers it, and it reads for itself")
        {
            isolate(0);
            const store_version version = replay.changeRow(7);
            const auto known = timeUntilKnown(replay, 7, version);
            REQUIRE(known);
            CHECK(*known <= drainTime);
            CHECK(replay.outdatedDaemons() == 0);
        }
        SUBCASE("a third of the peers is frozen, in the midst of their reads")
        {
            for (int i = 0; i < size; i += 3)
                replay.stop(i);
            const store_version version = replay.changeRow(7);
            const auto known = timeUntilKnown(replay, 7, version);
            REQUIRE(known);
            CHECK(*known <= drainTime);
        }
        SUBCASE("during an outage of the store all continue to act on their copies")
        {
            for (int i = 0; i < size; ++i)
                replay.cutStore(i);
            replay.advance(seconds(6));
            CHECK(replay.outdatedDaemons() == 0);
        }
    }

    TEST_CASE("a change is with all daemons in time, at reads that don't grow with their number")
    {
        // Guards against reads that grow with the number of daemons. When each daemon read the
        // whole table once a second, 295 daemons and 233 entries caused 16 MB a second at the
        // store, most of its read traffic under normal load; 1,800 daemons would cause forty times
        // that.
        for (const int size : {3, 30, 300, 1800}) {
            CAPTURE(size);
            membership_replay replay = runningReplay(size);
            replay.tableReads = 0;
            replay.advance(seconds(2));
            CHECK(double(replay.tableReads) / 2 <= maxReadsPerSecond);
            replay.changeTable();
            replay.advance(bound);
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
            replay.advance(bound);
            CHECK(replay.daemonsBehind() == 0);
        }
    }

    TEST_CASE("a daemon that wakes hears what it missed, and makes none of the others older")
    {
        membership_replay replay = runningReplay(60);
        replay.stop(7);
        replay.advance(seconds(5));
        replay.changeTable();
        replay.advance(bound);
        replay.unfreeze(7);
        replay.advance(seconds(2));
        CHECK(replay.daemonsBehind() == 0);
    }

    TEST_CASE("the store is silent for a while, and the copies are young soon after")
    {
        constexpr int size = 300;
        membership_replay replay = runningReplay(size);
        for (int i = 0; i < size; ++i)
            replay.cutStore(i);
        replay.advance(seconds(6));
        replay.changeTable();
        replay.restoreStore();
        replay.advance(bound / 2);
        CHECK(replay.daemonsBehind() == 0);
        replay.advance(seconds(2));
        replay.tableReads = 0;
        replay.advance(seconds(2));
        CHECK(double(replay.tableReads) / 2 <= maxReadsPerSecond);
    }
}

} // namespace azurehill::test
