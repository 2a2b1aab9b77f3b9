#include "sched_test_support.h"

#include <doctest/doctest.h>

using namespace azurehill;
using namespace azurehill::test;

TEST_CASE("New programs are refused when they would not be finished in time")
{
    const scheduler_parameters knobs;
    admission a(knobs, 1);
    program_request request;
    request.programClass = "lesson";
    request.limit = seconds(60);

    SUBCASE("never while there is room")
    {
        CHECK_FALSE(a.refuse(request, {0.1, 0.9, 3}));
    }
    SUBCASE("when the replicas are full, with a time to come back")
    {
        const auto again = a.refuse(request, {knobs.maxCallsPerSlot + 0.5, 0, 0});
        REQUIRE(again);
        CHECK(*again > duration::zero());
        CHECK(*again <= seconds(30));
    }
    SUBCASE("earlier for a tenant above its share")
    {
        CHECK(a.refuse(request, {knobs.fairShareCallsPerSlot + 0.1, 0.5, 0}));
        CHECK_FALSE(a.refuse(request, {knobs.fairShareCallsPerSlot + 0.1, 0, 0}));
    }
    SUBCASE("when programs of the class take longer than their limit under pressure")
    {
        a.onProgramEnd("lesson", seconds(90));
        CHECK(a.refuse(request, {knobs.fairShareCallsPerSlot + 0.1, 0, 0}));
        CHECK_FALSE(a.refuse(request, {knobs.fairShareCallsPerSlot - 0.1, 0, 0}));
    }
    SUBCASE("when the tenant has as many programs as it may")
    {
        request.tenantLimit = 2;
        CHECK_FALSE(a.refuse(request, {0, 0, 1}));
        CHECK(a.refuse(request, {0, 0, 2}));
    }
}

TEST_CASE("A tenant's part of the recent service is compared with its weight")
{
    service_ledger ledger({});
    ledger.startProgram({"p1"}, {"tenant"}, 1);
    ledger.startProgram({"p2"}, {"other"}, 3);
    ledger.charge(callOf(1, "p1"), 6000, 0, at(0));
    CHECK(ledger.excess({"tenant"}, at(0)) == doctest::Approx(0.75));
    CHECK(ledger.excess({"other"}, at(0)) == 0);
    CHECK(ledger.attained({"p1"}) == doctest::Approx(1));

    SUBCASE("sub-agents are charged to their family")
    {
        ledger.startProgram({"p1.1"}, {"tenant"}, 1);
        ledger.charge(callOf(2, "p1.1"), 6000, 0, at(0));
        CHECK(ledger.attained({"p1"}) == doctest::Approx(2));
        ledger.endProgram({"p1.1"});
        CHECK(ledger.attained({"p1"}) == doctest::Approx(2));
        ledger.endProgram({"p1"});
        CHECK(ledger.attained({"p1"}) == 0);
        CHECK(ledger.programs({"tenant"}) == 0);
    }
}

TEST_CASE("Retries stay a share of the traffic")
{
    retry_budget budget({}, 1);
    const auto drain = [&] {
        int taken = 0;
        while (budget.take(outcome::DidNotRun, false, 1))
            ++taken;
        return taken;
    };
    SUBCASE("only what did not run, or may run twice, is sent again")
    {
        CHECK(budget.take(outcome::DidNotRun, false, 1));
        CHECK(budget.take(outcome::Unknown, true, 1));
        CHECK_FALSE(budget.take(outcome::Unknown, false, 1));
        CHECK_FALSE(budget.take(outcome::Ran, true, 1));
        CHECK_FALSE(budget.take(outcome::DidNotRun, true, 3));
    }
    SUBCASE("a hundred calls earn ten retries")
    {
        drain();
        for (int i = 0; i < 101; ++i)
            budget.onCall();
        CHECK(drain() == 10);
    }
}
