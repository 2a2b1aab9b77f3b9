#include "replicas/concurrency_limiter.h"

#include <doctest/doctest.h>

namespace azurehill {

namespace {

time_point at(int ms)
{
    return time_point(milliseconds(1'000'000 + ms));
}

/// \brief Fills the gate. \returns how many requests it let in.
int fill(concurrency_limiter &gate, std::uint64_t firstNumber = 1000)
{
    int inside = 0;
    admission_request ticket;
    for (ticket.number = firstNumber; gate.enter(ticket); ++ticket.number)
        ++inside;
    gate.withdraw(ticket.number);
    return inside;
}

} // namespace

TEST_SUITE("service gate")
{
    TEST_CASE("those that wait go by rank, and by what their programs can still win")
    {
        concurrency_limiter gate;
        gate.setEngineCapacity({1, 8});
        fill(gate);
        const auto wait
            = [&](std::uint64_t number, int rank, deadline_feasibility hope, duration slack) {
                  CHECK_FALSE(gate.enter({number, rank, hope, slack}));
              };
        wait(1, 0, deadline_feasibility::Lost, seconds(-9));
        wait(2, 1, deadline_feasibility::Late, seconds(-1));
        wait(3, 1, deadline_feasibility::OnTime, seconds(3));
        wait(4, 1, deadline_feasibility::OnTime, seconds(1));
        wait(5, 0, deadline_feasibility::Late, seconds(-1));
        wait(6, 0, deadline_feasibility::OnTime, seconds(5));

        std::vector<std::uint64_t> order;
        for (int i = 0; i < 6; ++i) {
            gate.leave();
            const auto granted = gate.take();
            REQUIRE(granted.size() == 1);
            order.push_back(granted.front());
        }
        CHECK(order == std::vector<std::uint64_t>{6, 5, 4, 3, 2, 1});
    }

    TEST_CASE("a late program's turn gets a place while others keep coming")
    {
        // After all hosts had lost power, runners whose programs had become late in the outage were
        // refused try after try. Each try waited behind every turn of a program that was on time,
        // and more of those came than places became free. One program's tries on two daemons:
        // "hope":"late","waited_ms":1447, then 719, then 294, none granted.
        concurrency_limiter gate;
        gate.setEngineCapacity({1, 8});
        std::uint64_t number = 1;
        fill(gate);
        const auto join = [&](deadline_feasibility hope) {
            CHECK_FALSE(gate.enter({++number, 1, hope, seconds(1)}));
            return number;
        };
        for (int i = 0; i < 20; ++i)
            join(deadline_feasibility::OnTime);
        constexpr int placesDuringFirstTry = 12;
        bool isGranted = false;
        const std::uint64_t late = join(deadline_feasibility::Late);
        for (int i = 0; i < placesDuringFirstTry; ++i) {
            join(deadline_feasibility::OnTime);
            gate.leave();
            for (const std::uint64_t granted : gate.take())
                isGranted = isGranted || granted == late;
        }
        CHECK(isGranted);
    }

    TEST_CASE("what was begun goes before what begins")
    {
        // After a power loss beside slow replicas, programs that went on from before it were
        // refused to the end of the recovery: 17 of 20 in eight tries, all of them on time. In the
        // same seconds first turns of the same rank got 118 places of 424 that they asked for.
        concurrency_limiter gate;
        gate.setEngineCapacity({1, 8});
        fill(gate);
        const auto wait = [&](std::uint64_t number, deadline_feasibility hope, bool continues) {
            CHECK_FALSE(gate.enter({number, 1, hope, seconds(1), continues}));
        };
        wait(1, deadline_feasibility::OnTime, false);
        wait(2, deadline_feasibility::OnTime, true);
        wait(3, deadline_feasibility::Late, true);
        wait(4, deadline_feasibility::Lost, true);
        std::vector<std::uint64_t> order;
        for (int i = 0; i < 4; ++i) {
            gate.leave();
            const auto granted = gate.take();
            REQUIRE(granted.size() == 1);
            order.push_back(granted.front());
        }
        CHECK(order == std::vector<std::uint64_t>{2, 3, 1, 4});
    }

    TEST_CASE("a request that gives up waiting is passed over")
    {
        concurrency_limiter gate;
        gate.setEngineCapacity({1, 8});
        fill(gate);
        CHECK_FALSE(gate.enter({1, 0, deadline_feasibility::OnTime, seconds(1)}));
        CHECK_FALSE(gate.enter({2, 0, deadline_feasibility::OnTime, seconds(2)}));
        CHECK(gate.withdraw(1));
        gate.leave();
        CHECK(gate.take() == std::vector<std::uint64_t>{2});
    }

    TEST_CASE("the bound follows the pace of the engines")
    {
        concurrency_limiter gate;
        gate.setEngineCapacity({18, 18 * 96});
        gate.setLimitShare(1.0 / 9);
        int ms = 0;
        for (int i = 0; i < 30; ++i)
            gate.onPace(10, at(ms += 50));
        fill(gate);
        const double before = gate.limit();

        SUBCASE("events come five times slower: fewer requests go in")
        {
            for (int i = 0; i < 200; ++i)
                gate.onPace(50, at(ms += 50));
            CHECK(gate.limit() < 0.7 * before);
            CHECK(gate.limit() >= 1);
        }
        SUBCASE("events come as from idle engines: more go in")
        {
            for (int i = 0; i < 40; ++i) {
                gate.onPace(10, at(ms += 50));
                fill(gate);
            }
            CHECK(gate.limit() > 1.3 * before);
        }
    }

    TEST_CASE("engines that bear their slots are filled from the first second on")
    {
        // All daemons had just started again when a burst came. Half of its requests waited for up
        // to 1.6 seconds at engines that were a third full: the bound began at what slower engines
        // bear and grew by a tenth in a quarter of a second.
        concurrency_limiter gate;
        // The replicas become known one after the other.
        gate.setEngineCapacity({0, 0});
        gate.setEngineCapacity({2, 2 * 16});
        gate.setLimitShare(1.0 / 5);
        gate.setEngineCapacity({9, 9 * 16});
        gate.setLimitShare(1.0 / 13);
        CHECK(fill(gate) >= 11);

        SUBCASE("the bound stays at what their slots hold, as the engine's own queue knows no rank")
        {
            int ms = 0;
            for (int i = 0; i < 400; ++i) {
                gate.onPace(10, at(ms += 50));
                fill(gate);
            }
            CHECK(gate.limit() <= 1.25 * 9 * 16 / 13 + 0.01);
        }
    }

    TEST_CASE("the bound is shared by the daemons, however many there are")
    {
        for (const auto &[replicas, daemons] : {std::pair{18, 9}, {72, 87}, {4, 90}, {60, 3}}) {
            concurrency_limiter gate;
            constexpr int slots = 6;
            gate.setEngineCapacity({replicas, slots * replicas});
            gate.setLimitShare(1.0 / daemons);
            const int inside = fill(gate);
            CHECK(inside >= 1);
            CHECK(inside <= 1 + double(slots) * replicas / daemons);
        }
    }
}

} // namespace azurehill
