#include "replicas/replicas.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <utility>
#include <vector>

namespace azurehill {

namespace {

/// \returns the parts of all daemons, each of which has heard all others.
std::vector<double> partsOf(const std::vector<concurrency_report> &words, double places)
{
    std::vector<double> parts;
    for (std::size_t d = 0; d < words.size(); ++d) {
        std::vector<concurrency_report> others = words;
        others.erase(others.begin() + std::ptrdiff_t(d));
        parts.push_back(concurrencyShare(words[d].wanted, others, places));
    }
    return parts;
}

constexpr double usualLimit = 288;

/// \returns the parts of usualLimit, given what each daemon wants.
std::vector<double> partsOf(const std::vector<double> &wanted)
{
    std::vector<concurrency_report> words;
    words.reserve(wanted.size());
    for (const double w : wanted)
        words.push_back({.wanted = w});
    return partsOf(words, usualLimit);
}

/// \returns a gate whose places are all taken.
concurrency_limiter fullLimiter()
{
    concurrency_limiter gate;
    gate.setEngineCapacity({1, 1});
    for (int i = 0;
         gate.enter({std::uint64_t(10'000 + i), 1, deadline_feasibility::OnTime, seconds(1)});)
        ++i;
    for (std::uint64_t n = 10'000; n < 10'100; ++n)
        gate.withdraw(n);
    return gate;
}

} // namespace

TEST_SUITE("place division")
{
    TEST_CASE("daemons that know each other's demand divide all places, and no place twice")
    {
        CHECK(rc::check("any demands, any number of places", [] {
            const int daemons = *rc::gen::inRange(1, 100);
            const double places = *rc::gen::inRange(0, 10'000);
            std::vector<concurrency_report> words;
            words.reserve(std::size_t(daemons));
            for (int d = 0; d < daemons; ++d)
                words.push_back({.wanted = double(*rc::gen::inRange(0, 500))});
            const std::vector<double> parts = partsOf(words, places);
            const double sum = std::accumulate(parts.begin(), parts.end(), 0.0);
            RC_ASSERT(sum > 0.999);
            RC_ASSERT(sum < 1.001);
            for (const double part : parts)
                RC_ASSERT(part > 0);
        }));
    }

    TEST_CASE("while there are places for all, each daemon has those that it wants")
    {
        const std::vector<double> parts = partsOf({{78}, {4}, {3}, {0}}, 200);
        CHECK(parts[0] * 200 >= 78);
        CHECK(parts[1] * 200 >= 4);
        CHECK(parts[3] > 0);
    }

    TEST_CASE("where places are short, a request's chance does not depend on its daemon")
    {
        const std::vector<double> parts = partsOf({{45}, {15}, {15}}, 60);
        CHECK(parts[0] / 45 == doctest::Approx(parts[1] / 15).epsilon(0.2));

        SUBCASE("and a daemon whose callers have only just come has some places")
        {
            CHECK(partsOf({{45}, {30}, {0}}, 60).back() * 60 >= 1);
        }
    }

    TEST_CASE("daemons agree on what a replica bears")
    {
        SUBCASE("by the requests behind each word")
        {
            CHECK(mergedLimitPerReplica({1, 1, 1, 4},
                                        std::vector<concurrency_report>{{77, 77, 1, 20}})
                  > 19);
            CHECK(mergedLimitPerReplica({77, 77, 1, 4},
                                        std::vector<concurrency_report>{{1, 1, 1, 20}})
                  < 5);
        }
        SUBCASE("and one that has learned nothing takes what the others say")
        {
            CHECK(
                mergedLimitPerReplica({50, 9, 0, 0}, std::vector<concurrency_report>{{3, 3, 1, 17}})
                == 17);
            CHECK(
                mergedLimitPerReplica({50, 9, 0, 0}, std::vector<concurrency_report>{{3, 3, 1, 0}})
                == 0);
        }
        SUBCASE("never beyond what one of them holds to be right")
        {
            CHECK(rc::check("any words", [] {
                std::vector<concurrency_report> words;
                const int daemons = *rc::gen::inRange(2, 40);
                words.reserve(std::size_t(daemons));
                for (int d = 0; d < daemons; ++d) {
                    words.push_back({.inside = double(*rc::gen::inRange(0, 500)),
                                     .perReplica = double(*rc::gen::inRange(1, 100))});
                }
                const concurrency_report own = words.back();
                words.pop_back();
                const double agreed = mergedLimitPerReplica(own, words);
                double least = own.perReplica;
                double most = own.perReplica;
                for (const concurrency_report &w : words) {
                    least = std::min(least, w.perReplica);
                    most = std::max(most, w.perReplica);
                }
                RC_ASSERT(agreed > least - 1e-6);
                RC_ASSERT(agreed < most + 1e-6);
            }));
        }
    }

    TEST_CASE("parts of daemons that know the same make a whole")
    {
        for (const auto &wanted : std::vector<std::vector<double>>{
                 {0}, {50}, {0, 0, 0}, {90, 10, 0}, {200, 200, 1}, std::vector<double>(90, 7)}) {
            const std::vector<double> parts = partsOf(wanted);
            CHECK(std::accumulate(parts.begin(), parts.end(), 0.0) == doctest::Approx(1));
        }
    }

    TEST_CASE("while places suffice, each gets what it wants and an even part of the rest")
    {
        const std::vector<double> parts = partsOf({90, 10, 0, 0});
        CHECK(parts[0] * usualLimit == doctest::Approx(90 + 47));
        CHECK(parts[1] * usualLimit == doctest::Approx(10 + 47));
        CHECK(parts[2] * usualLimit == doctest::Approx(47));
    }

    TEST_CASE("where places are short, nine tenths go by what is wanted and none is left without")
    {
        const std::vector<double> parts = partsOf({900, 100, 0, 0});
        CHECK(parts[0] == doctest::Approx(0.025 + 0.9 * 0.9));
        CHECK(parts[1] == doctest::Approx(0.025 + 0.9 * 0.1));
        CHECK(parts[2] == doctest::Approx(0.025));
    }

    TEST_CASE("what is agreed goes by the requests behind each word, and by no word unlearned")
    {
        CHECK(mergedLimitPerReplica({}, {}) == 0);
        CHECK(mergedLimitPerReplica({5, 5, 1, 12}, {}) == doctest::Approx(12));
        const std::vector<concurrency_report> others = {{120, 99, 1, 20}, {500, 500, 1, 0}};
        CHECK(mergedLimitPerReplica({0, 0, 1, 10}, others)
              == doctest::Approx((10 + 100 * 20) / 101.0));
    }

    TEST_CASE(
        "hundreds of daemons that hear some of each other's words divide the places all the same")
    {
        // At 300 daemons a word of each would be older than a burst by the time that it came. Each
        // hears 36 others by chance; a third of the daemons has three times the callers of the
        // rest.
        constexpr std::size_t daemons = 300;
        constexpr std::size_t heardOfEach = 36;
        constexpr double places = 2000;
        std::minstd_rand random(3);
        std::vector<concurrency_report> words(daemons);
        for (std::size_t d = 0; d < daemons; ++d)
            words[d].wanted = d % 3 == 0 ? 15 : 5;
        double sum = 0;
        for (std::size_t d = 0; d < daemons; ++d) {
            std::vector<concurrency_report> others = words;
            others.erase(others.begin() + std::ptrdiff_t(d));
            std::shuffle(others.begin(), others.end(), random);
            others.resize(heardOfEach);
            const double part = concurrencyShare(words[d].wanted, {others, daemons - 1}, places);
            const double fair = words[d].wanted / 2500;
            CHECK(part > fair / 2);
            CHECK(part < fair * 2);
            sum += part;
        }
        CHECK(sum > 0.9);
        CHECK(sum < 1.1);

        SUBCASE("and evenly where nobody was heard yet")
        {
            CHECK(concurrencyShare(50, {std::span<const concurrency_report>(), 9}, places)
                  == doctest::Approx(0.1));
        }
    }

    TEST_CASE("an agreed bound stays within what a daemon would learn itself")
    {
        for (const auto &[told, bound] : {std::pair{0.1, 3.0}, {12.0, 12.0}, {9999.0, 20.0}}) {
            concurrency_limiter gate;
            gate.setEngineCapacity({18, 18 * 16});
            const std::vector<concurrency_report> others = {{1e5, 1e5, 1, told}};
            gate.hear(others);
            CHECK(gate.limit() == doctest::Approx(bound * 18 * gate.part()).epsilon(0.01));
        }
    }

    TEST_CASE("a gate tells those that wait as well as those inside")
    {
        concurrency_limiter gate = fullLimiter();
        const int inside = gate.inside();
        gate.enter({1, 1, deadline_feasibility::OnTime, seconds(1)});
        gate.enter({2, 1, deadline_feasibility::Late, seconds(1)});
        CHECK(gate.word().wanted == inside + 2);
    }

    TEST_CASE("late programs' turns get one place in four at the most while others wait")
    {
        concurrency_limiter gate = fullLimiter();
        std::uint64_t number = 0;
        for (int i = 0; i < 100; ++i)
            gate.enter({++number, 1, deadline_feasibility::Late, seconds(1)});
        const std::uint64_t lastLate = number;
        int late = 0;
        for (int i = 0; i < 100; ++i) {
            gate.enter({++number, 1, deadline_feasibility::OnTime, seconds(1)});
            gate.leave();
            for (const std::uint64_t granted : gate.take())
                late += granted <= lastLate ? 1 : 0;
        }
        CHECK(late >= 20);
        CHECK(late <= 25);
    }

    TEST_CASE("a late program's turn that gave up waiting gets no place")
    {
        concurrency_limiter gate = fullLimiter();
        gate.enter({1, 1, deadline_feasibility::Late, seconds(1)});
        for (std::uint64_t n = 2; n < 40; ++n)
            gate.enter({n, 1, deadline_feasibility::OnTime, seconds(1)});
        CHECK(gate.withdraw(1));
        for (int i = 0; i < 30; ++i) {
            gate.leave();
            for (const std::uint64_t granted : gate.take())
                CHECK(granted != 1);
        }
    }
}

} // namespace azurehill
