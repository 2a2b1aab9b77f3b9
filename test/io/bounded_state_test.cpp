#include "replicas/prefix_cache.h"
#include "turns/row_retention_tracker.h"
#include "turns/turn_cache.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace azurehill;

namespace {

turn_ptr makeTurn(const std::string &id, turn_ptr previous, std::size_t bytes)
{
    auto t = std::make_shared<turn>();
    t->id = {id};
    t->previous = std::move(previous);
    t->input = std::string(bytes, 'x');
    return t;
}

} // namespace

TEST_SUITE("state by names of clients")
{
    // Guards against turns that are evicted and yet kept by the turns after them.
    TEST_CASE("cached turns are limited with their chains")
    {
        constexpr std::size_t limit = 100'000;
        turn_cache cache(limit);
        for (int program = 0; program < 50; ++program) {
            turn_ptr last;
            for (int i = 0; i < 5; ++i) {
                last = makeTurn(fmt::format("{}/{}", program, i), last, 4000);
                cache.insert(last, time_point::max());
            }
            CHECK(cache.bytes() <= limit);
        }
        CHECK(cache.find({"49/4"}) != nullptr);
        CHECK(cache.find({"0/4"}) == nullptr);
    }

    // Guards against parts that no cache evicts, as they have next to no tokens.
    TEST_CASE("the model of a replica's cache is limited in parts")
    {
        prefix_cache cache;
        cache.setMaxParts(100);
        SUBCASE("of a token each")
        {
            for (int i = 0; i < 1000; ++i) {
                cache.recordSend({{fmt::format("small-{}", i), 1}}, 1'000'000);
                CHECK(cache.size() <= 100);
            }
        }
        SUBCASE("of no tokens, beside which others are kept")
        {
            for (int i = 0; i < 1000; ++i)
                cache.recordSend({{fmt::format("empty-{}", i), 0}, {"shared", 50}}, 1000);
            CHECK(cache.size() == 1);
            CHECK(cache.cachedPrefixTokens({{"shared", 50}}, 1000) == 50);
        }
    }

    // Guards against a record of every program that a client makes up.
    TEST_CASE("programs beyond the limit are left to the scan for abandoned rows")
    {
        row_retention_tracker tracker;
        tracker.setMaxPrograms(10);
        const time_point now;
        for (int i = 0; i < 100; ++i)
            tracker.onWritten({fmt::format("p{}", i)}, 1, now, seconds(60));
        CHECK(tracker.size() == 10);
        SUBCASE("those that are tracked stay up to date")
        {
            tracker.onWritten({"p3"}, 2, now + seconds(30), seconds(60));
            CHECK(tracker.takeDue(now + seconds(61), 100).size() == 9);
        }
    }
}
