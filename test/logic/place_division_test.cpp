#include "replicas/replicas.h"

#include <doctest/doctest.h>

#include <numeric>
#include <utility>
#include <vector>

namespace azurehill::test {

namespace {

constexpr double places = 288;

/// \returns the part of each daemon, given what each wants.
std::vector<double> partsOf(const std::vector<double> &wanted)
{
    std::vector<double> parts;
    for (std::size_t d = 0; d < wanted.size(); ++d) {
        std::vector<place_word> others;
        for (std::size_t o = 0; o < wanted.size(); ++o) {
            if (o != d)
                others.push_back({wanted[o], 0});
        }
        parts.push_back(placePart(wanted[d], others, places));
    }
    return parts;
}

/// \returns a gate whose places are all taken.
service_gate fullGate()
{
    service_gate gate;
    gate.setShare({1, 1, 1});
    for (int i = 0; gate.enter({std::uint64_t(10'000 + i), 1, program_hope::OnTime, seconds(1)});)
        ++i;
    for (std::uint64_t n = 10'000; n < 10'100; ++n)
        gate.withdraw(n);
    return gate;
}

} // namespace

TEST_SUITE("place division")
{
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
        CHECK(parts[0] * places == doctest::Approx(90 + 47));
        CHECK(parts[1] * places == doctest::Approx(10 + 47));
        CHECK(parts[2] * places == doctest::Approx(47));
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
        CHECK(agreedPerReplica({0, 0}, {}) == 0);
        CHECK(agreedPerReplica({5, 12}, {}) == doctest::Approx(12));
        const std::vector<place_word> others = {{99, 20}, {500, 0}};
        CHECK(agreedPerReplica({0, 10}, others) == doctest::Approx((10 + 100 * 20) / 101.0));
    }

    TEST_CASE("an agreed bound stays within what a daemon would learn itself")
    {
        service_gate gate;
        gate.setShare({18, 18 * 16, 0.5});
        for (const auto &[told, bound] : {std::pair{0.1, 3.0}, {12.0, 12.0}, {9999.0, 20.0}}) {
            const std::vector<place_word> others = {{1e5, told}};
            gate.agree(others);
            CHECK(gate.limit() == doctest::Approx(bound * 18 * 0.5).epsilon(0.01));
        }
    }

    TEST_CASE("a gate tells those that wait as well as those inside")
    {
        service_gate gate = fullGate();
        const int inside = gate.inside();
        gate.enter({1, 1, program_hope::OnTime, seconds(1)});
        gate.enter({2, 1, program_hope::Late, seconds(1)});
        CHECK(gate.word().wanted == inside + 2);
    }

    TEST_CASE("late programs' turns get one place in four at the most while others wait")
    {
        service_gate gate = fullGate();
        std::uint64_t number = 0;
        for (int i = 0; i < 100; ++i)
            gate.enter({++number, 1, program_hope::Late, seconds(1)});
        const std::uint64_t lastLate = number;
        int late = 0;
        for (int i = 0; i < 100; ++i) {
            gate.enter({++number, 1, program_hope::OnTime, seconds(1)});
            gate.leave();
            for (const std::uint64_t granted : gate.take())
                late += granted <= lastLate ? 1 : 0;
        }
        CHECK(late >= 20);
        CHECK(late <= 25);
    }

    TEST_CASE("a late program's turn that gave up waiting gets no place")
    {
        service_gate gate = fullGate();
        gate.enter({1, 1, program_hope::Late, seconds(1)});
        for (std::uint64_t n = 2; n < 40; ++n)
            gate.enter({n, 1, program_hope::OnTime, seconds(1)});
        CHECK(gate.withdraw(1));
        for (int i = 0; i < 30; ++i) {
            gate.leave();
            for (const std::uint64_t granted : gate.take())
                CHECK(granted != 1);
        }
    }
}

} // namespace azurehill::test
