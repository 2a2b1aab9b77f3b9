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

/// \returns the limit shares of all daemons, each of which has the reports of all others.
std::vector<double> sharesOf(const std::vector<concurrency_report> &reports, double totalLimit)
{
    std::vector<double> shares;
    for (std::size_t d = 0; d < reports.size(); ++d) {
        std::vector<concurrency_report> others = reports;
        others.erase(others.begin() + std::ptrdiff_t(d));
        shares.push_back(concurrencyShare(reports[d].demand, others, totalLimit));
    }
    return shares;
}

constexpr double usualLimit = 288;

/// \returns the shares of usualLimit for the demand of each daemon.
std::vector<double> sharesOf(const std::vector<double> &demands)
{
    std::vector<concurrency_report> reports;
    reports.reserve(demands.size());
    for (const double demand : demands)
        reports.push_back({.demand = demand});
    return sharesOf(reports, usualLimit);
}

/// \returns a limiter that has reached its limit.
concurrency_limiter fullLimiter()
{
    concurrency_limiter limiter;
    limiter.setEngineCapacity({1, 1});
    for (int i = 0; limiter.tryAdmit(
             {std::uint64_t(10'000 + i), 1, deadline_feasibility::OnTime, seconds(1)});)
        ++i;
    for (std::uint64_t n = 10'000; n < 10'100; ++n)
        limiter.cancelWait(n);
    return limiter;
}

} // namespace

TEST_SUITE("place division")
{
    TEST_CASE("daemons that know each other's demand divide all places, and no place twice")
    {
        CHECK(rc::check("any demands, any number of places", [] {
            const int daemons = *rc::gen::inRange(1, 100);
            const double totalLimit = *rc::gen::inRange(0, 10'000);
            std::vector<concurrency_report> reports;
            reports.reserve(std::size_t(daemons));
            for (int d = 0; d < daemons; ++d)
                reports.push_back({.demand = double(*rc::gen::inRange(0, 500))});
            const std::vector<double> shares = sharesOf(reports, totalLimit);
            const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
            RC_ASSERT(sum > 0.999);
            RC_ASSERT(sum < 1.001);
            for (const double share : shares)
                RC_ASSERT(share > 0);
        }));
    }

    TEST_CASE("while there are places for all, each daemon has those that it wants")
    {
        const std::vector<double> shares = sharesOf({{78}, {4}, {3}, {0}}, 200);
        CHECK(shares[0] * 200 >= 78);
        CHECK(shares[1] * 200 >= 4);
        CHECK(shares[3] > 0);
    }

    TEST_CASE("where places are short, a request's chance does not depend on its daemon")
    {
        const std::vector<double> shares = sharesOf({{45}, {15}, {15}}, 60);
        CHECK(shares[0] / 45 == doctest::Approx(shares[1] / 15).epsilon(0.2));

        SUBCASE("and a daemon whose callers have only just come has some places")
        {
            CHECK(sharesOf({{45}, {30}, {0}}, 60).back() * 60 >= 1);
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
                std::vector<concurrency_report> reports;
                const int daemons = *rc::gen::inRange(2, 40);
                reports.reserve(std::size_t(daemons));
                for (int d = 0; d < daemons; ++d) {
                    reports.push_back({.inFlight = double(*rc::gen::inRange(0, 500)),
                                       .limitPerReplica = double(*rc::gen::inRange(1, 100))});
                }
                const concurrency_report own = reports.back();
                reports.pop_back();
                const double mergedLimit = mergedLimitPerReplica(own, reports);
                double minLimit = own.limitPerReplica;
                double maxLimit = own.limitPerReplica;
                for (const concurrency_report &report : reports) {
                    minLimit = std::min(minLimit, report.limitPerReplica);
                    maxLimit = std::max(maxLimit, report.limitPerReplica);
                }
                RC_ASSERT(mergedLimit > minLimit - 1e-6);
                RC_ASSERT(mergedLimit < maxLimit + 1e-6);
            }));
        }
    }

    TEST_CASE("parts of daemons that know the same make a whole")
    {
        for (const auto &demands : std::vector<std::vector<double>>{
                 {0}, {50}, {0, 0, 0}, {90, 10, 0}, {200, 200, 1}, std::vector<double>(90, 7)}) {
            const std::vector<double> shares = sharesOf(demands);
            CHECK(std::accumulate(shares.begin(), shares.end(), 0.0) == doctest::Approx(1));
        }
    }

    TEST_CASE("while places suffice, each gets what it wants and an even part of the rest")
    {
        const std::vector<double> shares = sharesOf({90, 10, 0, 0});
        CHECK(shares[0] * usualLimit == doctest::Approx(90 + 47));
        CHECK(shares[1] * usualLimit == doctest::Approx(10 + 47));
        CHECK(shares[2] * usualLimit == doctest::Approx(47));
    }

    TEST_CASE("where places are short, nine tenths go by what is wanted and none is left without")
    {
        const std::vector<double> shares = sharesOf({900, 100, 0, 0});
        CHECK(shares[0] == doctest::Approx(0.025 + 0.9 * 0.9));
        CHECK(shares[1] == doctest::Approx(0.025 + 0.9 * 0.1));
        CHECK(shares[2] == doctest::Approx(0.025));
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
        // With 300 daemons, the reports of all of them would arrive only after a burst has ended.
        // Each daemon has the reports of 36 random others; a third of the daemons has three times
        // the callers of the rest.
        constexpr std::size_t daemons = 300;
        constexpr std::size_t reportsPerDaemon = 36;
        constexpr double totalLimit = 2000;
        std::minstd_rand random(3);
        std::vector<concurrency_report> reports(daemons);
        for (std::size_t d = 0; d < daemons; ++d)
            reports[d].demand = d % 3 == 0 ? 15 : 5;
        double sum = 0;
        for (std::size_t d = 0; d < daemons; ++d) {
            std::vector<concurrency_report> others = reports;
            others.erase(others.begin() + std::ptrdiff_t(d));
            std::shuffle(others.begin(), others.end(), random);
            others.resize(reportsPerDaemon);
            const double share
                = concurrencyShare(reports[d].demand, {others, daemons - 1}, totalLimit);
            const double fairShare = reports[d].demand / 2500;
            CHECK(share > fairShare / 2);
            CHECK(share < fairShare * 2);
            sum += share;
        }
        CHECK(sum > 0.9);
        CHECK(sum < 1.1);

        SUBCASE("and evenly where nobody was heard yet")
        {
            CHECK(concurrencyShare(50, {std::span<const concurrency_report>(), 9}, totalLimit)
                  == doctest::Approx(0.1));
        }
    }

    TEST_CASE("an agreed bound stays within what a daemon would learn itself")
    {
        for (const auto &[reported, expected] :
             {std::pair{0.1, 3.0}, {12.0, 12.0}, {9999.0, 20.0}}) {
            concurrency_limiter limiter;
            limiter.setEngineCapacity({18, 18 * 16});
            const std::vector<concurrency_report> others = {{1e5, 1e5, 1, reported}};
            limiter.mergeReports(others);
            CHECK(limiter.limit()
                  == doctest::Approx(expected * 18 * limiter.limitShare()).epsilon(0.01));
        }
    }

    TEST_CASE("a gate tells those that wait as well as those inside")
    {
        concurrency_limiter limiter = fullLimiter();
        const int inFlight = limiter.inFlight();
        limiter.tryAdmit({1, 1, deadline_feasibility::OnTime, seconds(1)});
        limiter.tryAdmit({2, 1, deadline_feasibility::Late, seconds(1)});
        CHECK(limiter.report().demand == inFlight + 2);
    }

    TEST_CASE("late programs' turns get one place in four at the most while others wait")
    {
        concurrency_limiter limiter = fullLimiter();
        std::uint64_t number = 0;
        for (int i = 0; i < 100; ++i)
            limiter.tryAdmit({++number, 1, deadline_feasibility::Late, seconds(1)});
        const std::uint64_t lastLate = number;
        int late = 0;
        for (int i = 0; i < 100; ++i) {
            limiter.tryAdmit({++number, 1, deadline_feasibility::OnTime, seconds(1)});
            limiter.release();
            for (const std::uint64_t granted : limiter.admitQueued())
                late += granted <= lastLate ? 1 : 0;
        }
        CHECK(late >= 20);
        CHECK(late <= 25);
    }

    TEST_CASE("a late program's turn that gave up waiting gets no place")
    {
        concurrency_limiter limiter = fullLimiter();
        limiter.tryAdmit({1, 1, deadline_feasibility::Late, seconds(1)});
        for (std::uint64_t n = 2; n < 40; ++n)
            limiter.tryAdmit({n, 1, deadline_feasibility::OnTime, seconds(1)});
        CHECK(limiter.cancelWait(1));
        for (int i = 0; i < 30; ++i) {
            limiter.release();
            for (const std::uint64_t granted : limiter.admitQueued())
                CHECK(granted != 1);
        }
    }
}

} // namespace azurehill
