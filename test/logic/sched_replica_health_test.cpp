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
        CHECK(health.mayReceiveCall(0, at(1)));
        health.onFailure(0, at(1));
        CHECK(health.state(0, at(2)) == circuit_state::Open);
        CHECK_FALSE(health.mayReceiveCall(0, at(2)));

        SUBCASE("it returns with one call at a time")
        {
            CHECK(health.state(0, at(7)) == circuit_state::HalfOpen);
            CHECK(health.mayReceiveCall(0, at(7)));
            health.onSent(0, at(7));
            CHECK_FALSE(health.mayReceiveCall(0, at(7.5)));
            for (int i = 0; i < 5; ++i)
                health.onSuccess(0, 1, at(8));
            CHECK(health.state(0, at(8)) == circuit_state::Closed);
        }
        SUBCASE("a failure while it returns opens it for longer")
        {
            health.onFailure(0, at(7));
            CHECK(health.state(0, at(14)) == circuit_state::Open);
            CHECK(health.state(0, at(18)) == circuit_state::HalfOpen);
        }
    }
    SUBCASE("an outlier is ejected")
    {
        for (int i = 0; i < 4; ++i)
            health.onSuccess(0, 10, at(1));
        CHECK(health.state(0, at(2)) == circuit_state::Open);
        CHECK(health.mayReceiveCall(1, at(2)));
    }
    SUBCASE("calls long overdue eject it before any of them ends")
    {
        health.onOverdue(0, 10, at(1));
        CHECK(health.state(0, at(2)) == circuit_state::Open);
    }
}

// Regression test: all estimates are ten times too long, so calls take a tenth of the estimate. A
// replica new to the daemon started with a slowness of 1, appeared ten times slower than its
// peers and was ejected.
TEST_CASE("A new replica is no outlier where estimates are off for all")
{
    replica_health health;
    for (int i = 0; i < 2000; ++i)
        health.onSuccess(1, 0.1, at(0));
    for (int i = 0; i < 5; ++i)
        health.onSuccess(0, 0.1, at(1));
    CHECK(health.state(0, at(1)) == circuit_state::Closed);
}
