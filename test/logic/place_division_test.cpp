#include "replicas/place_division.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <numeric>
#include <vector>

namespace azurehill {

namespace {

/// \returns the parts of all daemons, each of which has heard all others.
std::vector<double> partsOf(const std::vector<place_word> &words, double places)
{
    std::vector<double> parts;
    for (std::size_t d = 0; d < words.size(); ++d) {
        std::vector<place_word> others = words;
        others.erase(others.begin() + std::ptrdiff_t(d));
        parts.push_back(placePart(words[d].wanted, others, places));
    }
    return parts;
}

} // namespace

TEST_SUITE("place division")
{
    TEST_CASE("daemons that know each other's demand divide all places, and no place twice")
    {
        CHECK(rc::check("any demands, any number of places", [] {
            const int daemons = *rc::gen::inRange(1, 100);
            const double places = *rc::gen::inRange(0, 10'000);
            std::vector<place_word> words;
            for (int d = 0; d < daemons; ++d)
                words.push_back({double(*rc::gen::inRange(0, 500)), 0});
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
        const std::vector<double> parts = partsOf({{78, 0}, {4, 0}, {3, 0}, {0, 0}}, 200);
        CHECK(parts[0] * 200 >= 78);
        CHECK(parts[1] * 200 >= 4);
        CHECK(parts[3] > 0);
    }

    TEST_CASE("where places are short, a request's chance does not depend on its daemon")
    {
        const std::vector<double> parts = partsOf({{90, 0}, {30, 0}, {30, 0}}, 60);
        CHECK(parts[0] / 90 == doctest::Approx(parts[1] / 30).epsilon(0.2));

        SUBCASE("and a daemon whose callers have only just come has some places")
        {
            CHECK(partsOf({{90, 0}, {30, 0}, {0, 0}}, 60).back() * 60 >= 1);
        }
    }

    TEST_CASE("daemons agree on what a replica bears")
    {
        SUBCASE("by the requests behind each word")
        {
            CHECK(agreedPerReplica({1, 4}, std::vector<place_word>{{77, 20}}) > 19);
            CHECK(agreedPerReplica({77, 4}, std::vector<place_word>{{1, 20}}) < 5);
        }
        SUBCASE("and one that has learned nothing takes what the others say")
        {
            CHECK(agreedPerReplica({50, 0}, std::vector<place_word>{{3, 17}}) == 17);
            CHECK(agreedPerReplica({50, 0}, std::vector<place_word>{{3, 0}}) == 0);
        }
        SUBCASE("never beyond what one of them holds to be right")
        {
            CHECK(rc::check("any words", [] {
                std::vector<place_word> words;
                const int daemons = *rc::gen::inRange(2, 40);
                for (int d = 0; d < daemons; ++d) {
                    words.push_back(
                        {double(*rc::gen::inRange(0, 500)), double(*rc::gen::inRange(1, 100))});
                }
                const place_word own = words.back();
                words.pop_back();
                const double agreed = agreedPerReplica(own, words);
                double least = own.perReplica;
                double most = own.perReplica;
                for (const place_word &w : words) {
                    least = std::min(least, w.perReplica);
                    most = std::max(most, w.perReplica);
                }
                RC_ASSERT(agreed > least - 1e-6);
                RC_ASSERT(agreed < most + 1e-6);
            }));
        }
    }
}

} // namespace azurehill
