#include "sched_test_support.h"

#include <doctest/doctest.h>

using namespace azurehill;
using namespace azurehill::test;

TEST_CASE("A replica that fails or is far slower than its peers gets no work for a while")
{
    replica_health health;
    for (int i = 0; i < 20; ++i)
        health.onSuccess(1, 1, at(0));

    SUBCASE("three failures in a row open the circuit, two don't")
    {
        health.onFailure(0, at(1));
        health.onFailure(0, at(1));
        CHECK(health.mayTake(0, at(1)));
        health.onFailure(0, at(1));
        CHECK(health.state(0, at(2)) == circuit::Open);
        CHECK_FALSE(health.mayTake(0, at(2)));

        SUBCASE("it returns with one call at a time")
        {
            CHECK(health.state(0, at(7)) == circuit::Returning);
            CHECK(health.mayTake(0, at(7)));
            health.onSent(0, at(7));
            CHECK_FALSE(health.mayTake(0, at(7.5)));
            for (int i = 0; i < 5; ++i)
                health.onSuccess(0, 1, at(8));
            CHECK(health.state(0, at(8)) == circuit::Closed);
        }
        SUBCASE("a failure while it returns opens it for longer")
        {
            health.onFailure(0, at(7));
            CHECK(health.state(0, at(14)) == circuit::Open);
            CHECK(health.state(0, at(18)) == circuit::Returning);
        }
    }
    SUBCASE("an outlier is ejected")
    {
        for (int i = 0; i < 4; ++i)
            health.onSuccess(0, 10, at(1));
        CHECK(health.state(0, at(2)) == circuit::Open);
        CHECK(health.mayTake(1, at(2)));
    }
    SUBCASE("calls long overdue eject it before any of them ends")
    {
        health.onOverdue(0, 10, at(1));
        CHECK(health.state(0, at(2)) == circuit::Open);
    }
}

// All estimates were ten times too long, so calls took a tenth of them. A replica new to the
// daemon began with a slowness of 1, looked ten times slower than its peers and was ejected.
TEST_CASE("A new replica is no outlier where estimates are off for all")
{
    replica_health health;
    for (int i = 0; i < 2000; ++i)
        health.onSuccess(1, 0.1, at(0));
    for (int i = 0; i < 5; ++i)
        health.onSuccess(0, 0.1, at(1));
    CHECK(health.state(0, at(1)) == circuit::Closed);
}
