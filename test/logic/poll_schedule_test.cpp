#include "rows/rows.h"

#include <doctest/doctest.h>

namespace azurehill::test {

namespace {

constexpr poll_schedule schedule{seconds(3), 600};

copy_freshness aged(int ageMs, int sinceAnswerMs, int inTouchMs)
{
    return {milliseconds(ageMs), milliseconds(sinceAnswerMs), milliseconds(inTouchMs)};
}

} // namespace

TEST_SUITE("poll schedule")
{
    // Guards against a copy whose next read begins after the drain time because of one lost answer.
    TEST_CASE("a copy is refreshed so early that a second read is in time as well")
    {
        CHECK_FALSE(isRefreshDue(schedule, aged(1000, 100, 60'000)));
        CHECK(isRefreshDue(schedule, aged(1001, 100, 60'000)));
        const duration afterTwoReads
            = seconds(1) + 2 * freshnessCheckInterval(schedule) + 2 * refreshTimeout(schedule);
        CHECK(afterTwoReads <= milliseconds(2500));
    }

    TEST_CASE("a daemon that the store answers does not act on an old copy")
    {
        CHECK_FALSE(isCopyOutdated(schedule, aged(2500, 100, 60'000)));
        CHECK(isCopyOutdated(schedule, aged(2501, 100, 60'000)));

        SUBCASE("the copy is outdated before the drain time, even with the interval of the checks")
        {
            CHECK(milliseconds(2501) + freshnessCheckInterval(schedule) < seconds(3));
        }
        SUBCASE("without answers it continues: no change can be acknowledged in an outage")
        {
            CHECK_FALSE(isCopyOutdated(schedule, aged(6000, 2500, 0)));
            CHECK_FALSE(isRefreshDue(schedule, aged(6000, 2500, 0)));
        }
        SUBCASE("the last answer before an outage does not count")
        {
            CHECK_FALSE(isCopyOutdated(schedule, aged(2900, 1900, 60'000)));
        }
        SUBCASE("after an outage there is time to refresh the copy")
        {
            CHECK_FALSE(isCopyOutdated(schedule, aged(7000, 10, 1500)));
            CHECK(isRefreshDue(schedule, aged(7000, 10, 0)));
            CHECK(isCopyOutdated(schedule, aged(8000, 10, 1501)));
        }
    }
}

} // namespace azurehill::test
