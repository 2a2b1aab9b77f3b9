#include "sched_test_support.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace azurehill;
using namespace azurehill::test;

namespace {

scheduler_parameters singleSlotParameters()
{
    scheduler_parameters knobs;
    knobs.slotsPerReplica = 1;
    knobs.maxEngineQueue = 0;
    return knobs;
}

program_request programOf(const std::string &id)
{
    program_request request;
    request.program = {id};
    request.tenant = {"tenant"};
    request.service = "model";
    return request;
}

} // namespace

TEST_CASE("Calls beyond the room of the replicas wait in order")
{
    scheduler s(singleSlotParameters(), {"here"}, 1);
    s.setReplicas({listed("a")}, at(0));
    for (const char *id : {"p1", "p2", "p3"})
        s.startProgram(programOf(id), at(0));
    s.submit(callOf(1, "p1"), at(0));
    CHECK(dispatched(s).size() == 1);

    SUBCASE("the program with less service goes first")
    {
        s.onEnd(1, {std::nullopt, 0, 2000, false}, at(1));
        s.submit(callOf(2, "p2"), at(1));
        s.submit(callOf(3, "p1"), at(2));
        s.submit(callOf(4, "p3"), at(3));
        CHECK(dispatched(s).front().first == 2);
        s.onEnd(2, {}, at(4));
        CHECK(dispatched(s).front().first == 4);
    }
    SUBCASE("but one that has waited long is not overtaken any more")
    {
        s.onEnd(1, {std::nullopt, 0, 2000, false}, at(1));
        s.submit(callOf(2, "p2"), at(1));
        s.submit(callOf(3, "p1"), at(2));
        s.submit(callOf(4, "p3"), at(5000));
        dispatched(s);
        s.onEnd(2, {}, at(5001));
        CHECK(dispatched(s).front().first == 3);
    }
    SUBCASE("a call whose deadline passes while it waits is refused")
    {
        pending_call late = callOf(2, "p2");
        late.deadline = at(5);
        s.submit(late, at(1));
        CHECK(s.takeActions().empty());
        s.onTick(at(5));
        const auto actions = s.takeActions();
        REQUIRE(actions.size() == 1);
        CHECK(std::get<refuse_call>(actions[0]).reason == refusal_reason::DeadlinePassed);
    }
    SUBCASE("a call that is taken back leaves its room to the next")
    {
        s.submit(callOf(2, "p2"), at(1));
        s.cancel(1, at(1));
        CHECK(dispatched(s).size() == 1);
    }
    SUBCASE("the tokens in flight of a replica are bounded, but one call always fits")
    {
        scheduler_parameters knobs;
        knobs.tokensInFlightPerReplica = 1500;
        scheduler bounded(knobs, {"here"}, 1);
        bounded.setReplicas({listed("a")}, at(0));
        bounded.submit(callOf(1, "p1", 5000), at(0));
        bounded.submit(callOf(2, "p2", 1000), at(0));
        CHECK(dispatched(bounded).size() == 1);
        bounded.onEnd(1, {}, at(1));
        CHECK(dispatched(bounded).size() == 1);
    }
}

// The host list still named a replica that was shutting down. It refused a call; the daemon went on
// sending it work, and calls that waited for it were refused as well.
TEST_CASE("A leaving replica gets nothing more at its first sign, and waiting calls move")
{
    scheduler s(singleSlotParameters(), {"here"}, 1);
    s.setReplicas({listed("a")}, at(0));
    s.submit(callOf(1, "p1"), at(0));
    s.submit(callOf(2, "p2"), at(0));
    CHECK(dispatched(s).size() == 1);

    SUBCASE("its own refusal is a sign")
    {
        s.setReplicas({listed("a"), listed("b")}, at(1));
        CHECK(dispatched(s).front().second == "b");
        s.onEnd(1, {outcome::DidNotRun, std::nullopt, 0, true}, at(2));
        s.submit(callOf(3, "p1"), at(2));
        CHECK(dispatched(s).empty());
        s.onEnd(2, {}, at(2));
        CHECK(dispatched(s).front().second == "b");
    }
    SUBCASE("the list is a sign")
    {
        replica leaving = listed("a");
        leaving.leaving = true;
        s.setReplicas({leaving, listed("b")}, at(1));
        CHECK(dispatched(s)
              == std::vector<std::pair<call_number, std::string>>{{call_number(2), "b"}});
    }
    SUBCASE("with no replica left, waiting calls are refused at once")
    {
        s.setReplicas({}, at(1));
        const auto actions = s.takeActions();
        REQUIRE(actions.size() == 1);
        CHECK(std::get<refuse_call>(actions[0]).reason == refusal_reason::NoUpstream);
    }
}

TEST_CASE("A call that did not run moves to another replica within the budget")
{
    scheduler s(singleSlotParameters(), {"here"}, 1);
    s.setReplicas({listed("a")}, at(0));
    s.submit(callOf(1, "p1"), at(0));
    dispatched(s);
    CHECK_FALSE(s.move(1, at(0)));
    s.setReplicas({listed("a"), listed("b")}, at(0));
    CHECK(s.move(1, at(0))->value == "b");
    CHECK(s.replicas()[0].outstanding == 0);
    CHECK(s.replicas()[1].outstanding == 1);

    SUBCASE("twice at the most")
    {
        CHECK(s.move(1, at(0))->value == "a");
        CHECK_FALSE(s.move(1, at(0)));
    }
    SUBCASE("never once it has ended")
    {
        s.onEnd(1, {}, at(1));
        CHECK_FALSE(s.move(1, at(1)));
    }
}

// A replica became ten times slower. Its calls were still running, so no end told of it, and for
// half a minute it was given as much work as the others.
TEST_CASE("Overdue calls keep work from a replica that became slow")
{
    scheduler s({}, {"here"}, 1);
    s.setReplicas({listed("a")}, at(0));
    for (call_number n = 1; n <= 3; ++n)
        s.submit(callOf(n, "p" + std::to_string(n)), at(0));
    s.setReplicas({listed("a"), listed("b")}, at(1));
    dispatched(s);
    s.onTick(at(100));
    s.submit(callOf(4, "p1"), at(100));
    CHECK(dispatched(s).front().second == "b");
}

TEST_CASE("The end of a program releases what engines cached for it")
{
    scheduler s({}, {"here"}, 1);
    s.setReplicas({listed("a")}, at(0));
    s.startProgram(programOf("p1"), at(0));
    s.submit(callOf(1, "p1"), at(0));
    s.takeActions();
    s.onEnd(1, {}, at(1));
    s.retainPrograms([](const program_id &) { return false; }, at(2));
    const auto actions = s.takeActions();
    REQUIRE(actions.size() == 1);
    CHECK(std::get<release_prefix>(actions[0]).replica.value == "a");
}

TEST_CASE("Every call is dispatched or refused exactly once")
{
    CHECK(rc::check([](const std::vector<std::uint8_t> &steps) {
        scheduler s(singleSlotParameters(), {"here"}, 1);
        s.setReplicas({listed("a"), listed("b")}, at(0));
        std::map<call_number, int> answers;
        std::vector<call_number> running;
        call_number last = 0;
        double now = 0;
        const auto collect = [&] {
            for (const sched_action &a : s.takeActions()) {
                if (const auto *d = std::get_if<dispatch_call>(&a)) {
                    ++answers[d->number];
                    running.push_back(d->number);
                } else if (const auto *r = std::get_if<refuse_call>(&a)) {
                    ++answers[r->number];
                }
            }
        };
        for (const std::uint8_t step : steps) {
            now += 0.1;
            if (step % 3 == 0 && !running.empty()) {
                s.onEnd(running.back(), {}, at(now));
                running.pop_back();
            } else if (step % 7 == 0) {
                s.setReplicas({listed("a")}, at(now));
            } else {
                s.submit(callOf(++last, "p" + std::to_string(step)), at(now));
            }
            collect();
        }
        while (!running.empty()) {
            now += 0.1;
            s.onEnd(running.back(), {}, at(now));
            running.pop_back();
            collect();
        }
        RC_ASSERT(answers.size() == last);
        for (const auto &[number, count] : answers)
            RC_ASSERT(count == 1);
    }));
}
