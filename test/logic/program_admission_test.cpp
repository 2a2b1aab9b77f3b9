#include "dispatch/account_shares.h"
#include "dispatch/program_admission.h"

#include <doctest/doctest.h>

namespace azurehill {

namespace {

struct admission_fixture
{
    slot_request request(int program, const std::string &route = "plan") const
    {
        slot_request r;
        r.program = {"p" + std::to_string(program)};
        r.route = route;
        r.timeToFinish = seconds(4);
        r.timeLeft = seconds(4);
        return r;
    }
    program_admission::program_state &beginTurn(const slot_request &r, bool isUnderWay = false)
    {
        auto &p = programs.onRequest(r, isUnderWay, now);
        programs.onQueued(p);
        programs.onGranted(p, now);
        return p;
    }
    void runTurn(const slot_request &r, duration time)
    {
        auto &p = beginTurn(r);
        advance(time);
        programs.onReleased(p, now);
    }
    void advance(duration time)
    {
        for (const time_point end = now + time; now < end;) {
            now += milliseconds(10);
            programs.update(now);
        }
    }

    program_admission programs;
    time_point now{seconds(1000)};
};

} // namespace

TEST_SUITE("program admission")
{
    TEST_CASE("programs begin until those under way would use 95 % of the slots")
    {
        admission_fixture f;
        // Half a slot for each program until their use is known.
        for (int i = 0; i < 18; ++i)
            f.beginTurn(f.request(i));
        CHECK(f.programs.mayBegin("plan", false, 10, 0));
        f.beginTurn(f.request(18));
        CHECK(!f.programs.mayBegin("plan", false, 10, 0));
        SUBCASE("or while more than 15 % of the slots are free")
        {
            CHECK(f.programs.mayBegin("plan", false, 10, 2));
            CHECK(!f.programs.mayBegin("plan", false, 10, 1));
        }
        SUBCASE("but never without a slot")
        {
            CHECK(!f.programs.mayBegin("plan", false, 0, 0));
        }
        SUBCASE("the use of a program is learned: these have a turn in flight all the time")
        {
            f.advance(seconds(2));
            CHECK(!f.programs.mayBegin("plan", false, 20, 0));
            CHECK(f.programs.mayBegin("plan", false, 22, 0));
        }
    }

    TEST_CASE("a program is under way until its turns stop coming")
    {
        admission_fixture f;
        f.runTurn(f.request(0), milliseconds(200));
        f.advance(milliseconds(590));
        CHECK(f.programs.running() == 1);
        f.advance(milliseconds(20));
        CHECK(f.programs.running() == 0);
        f.beginTurn(f.request(0));
        CHECK(f.programs.running() == 1);
        f.advance(seconds(5));
        CHECK(f.programs.running() == 1);
    }

    TEST_CASE("the pauses of a route's programs are learned")
    {
        for (const duration pause : {milliseconds(100), milliseconds(1200)}) {
            admission_fixture f;
            for (int turn = 0; turn < 60; ++turn) {
                f.runTurn(f.request(0), milliseconds(100));
                f.advance(pause);
            }
            f.runTurn(f.request(0), milliseconds(100));
            const duration bound = std::max<duration>(pause, milliseconds(300));
            f.advance(bound - milliseconds(10));
            CHECK(f.programs.running() == 1);
            f.advance(bound + milliseconds(100));
            CHECK(f.programs.running() == 0);
        }
    }

    // Guards against programs of a dead dispatcher that count as ended within their usual pauses.
    TEST_CASE("programs taken over teach no pauses")
    {
        admission_fixture f;
        for (int i = 0; i < 40; ++i)
            f.programs.onReleased(f.beginTurn(f.request(i), true), f.now);
        f.advance(milliseconds(500));
        CHECK(f.programs.running() == 40);
    }

    // Guards against slots that a route counts as used for ever, or as used less than not at all.
    TEST_CASE("a program with turns of two routes leaves nothing behind when it ends")
    {
        admission_fixture f;
        for (int i = 0; i < 40; ++i) {
            f.runTurn(f.request(i, "plan"), milliseconds(10));
            f.beginTurn(f.request(i, "summary"));
        }
        f.advance(seconds(3));
        CHECK(f.programs.running() == 40);
        CHECK(!f.programs.mayBegin("plan", false, 20, 0));
        for (int i = 0; i < 40; ++i)
            f.programs.onReleased(*f.programs.find({"p" + std::to_string(i)}), f.now);
        f.advance(seconds(4));
        CHECK(f.programs.running() == 0);
        // One more program of either route uses one slot at most.
        CHECK(f.programs.mayBegin("plan", false, 2, 0));
        CHECK(f.programs.mayBegin("summary", false, 2, 0));
        // Ten programs of one turn each in flight use ten slots.
        for (int i = 100; i < 110; ++i)
            f.beginTurn(f.request(i, "summary"));
        f.advance(seconds(8));
        CHECK(!f.programs.mayBegin("summary", false, 10, 0));
    }

    TEST_CASE("feasibility follows the program's time, its wait and what its route needs")
    {
        admission_fixture f;
        auto &p = f.programs.onRequest(f.request(0), false, f.now);
        // 0.6 of 4 s with a margin of 0.15 is 2.76 s.
        CHECK(f.programs.feasibility(p, milliseconds(1230), f.now) == deadline_feasibility::OnTime);
        CHECK(f.programs.feasibility(p, milliseconds(1250), f.now) == deadline_feasibility::Late);
        CHECK(f.programs.feasibility(p, milliseconds(5230), f.now) == deadline_feasibility::Late);
        CHECK(f.programs.feasibility(p, milliseconds(5250), f.now) == deadline_feasibility::Lost);
    }

    TEST_CASE("the expected wait is the queue ahead at the rate of the last 2 s")
    {
        admission_fixture f;
        for (int i = 0; i < 40; ++i) {
            f.beginTurn(f.request(i));
            f.advance(milliseconds(50));
        }
        CHECK(f.programs.expectedWait(10, 8, f.now) == milliseconds(500));
        f.advance(seconds(3));
        CHECK(f.programs.expectedWait(10, 100, f.now) == seconds(1));
    }
}

TEST_SUITE("account shares")
{
    TEST_CASE("an account is over its share above 1.3 times the mean, by weight, for some seconds")
    {
        account_shares shares;
        const time_point now{seconds(1000)};
        const auto begin = [&](const char *account, double weight, int count) {
            for (int i = 0; i < count; ++i)
                shares.onBegin({account}, weight, now);
        };
        for (const char *const account : {"a", "b", "c", "d", "e", "f", "g", "h", "i"})
            begin(account, 1, 10);
        begin("large", 4, 40);
        CHECK(!shares.isOverShare({"large"}, now));
        begin("busy", 1, 12);
        CHECK(!shares.isOverShare({"busy"}, now));
        begin("busy", 1, 4);
        CHECK(shares.isOverShare({"busy"}, now));
        begin("large", 4, 30);
        CHECK(shares.isOverShare({"large"}, now));
        CHECK(!shares.isOverShare({"a"}, now));
        CHECK(!shares.isOverShare({"unknown"}, now));
        CHECK(!shares.isOverShare({}, now));
        CHECK(!shares.isOverShare({"busy"}, now + seconds(20)));
    }

    TEST_CASE("an account alone is never over its share")
    {
        account_shares shares;
        for (int i = 0; i < 100; ++i)
            shares.onBegin({"a"}, 1, time_point(seconds(1)));
        CHECK(!shares.isOverShare({"a"}, time_point(seconds(1))));
    }
}

} // namespace azurehill
