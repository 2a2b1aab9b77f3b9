#include "io/membership_replay.h"

#include <doctest/doctest.h>

namespace azurehill::test {

namespace {

/// Time in which all daemons that start at once have heard of each other.
constexpr duration startTime = seconds(5);
/// A death is known to all that run within this time.
constexpr duration deathTime = milliseconds(1500);
/// Bytes a second that a daemon may send to tell who lives, and what it wants of the engines.
constexpr double mostBytes = 6000;

} // namespace

TEST_SUITE("membership replay")
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
            replay.play(startTime);
            CHECK(replay.isAgreed());
            replay.falseDeaths = 0;
            replay.bytes = 0;
            constexpr int seconds = 5;
            replay.play(std::chrono::seconds(seconds));
            CHECK(replay.falseDeaths == 0);
            CHECK(double(replay.bytes) / size / seconds <= mostBytes);
        }
    }
}

} // namespace azurehill::test
