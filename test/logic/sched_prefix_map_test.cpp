#include "sched_test_support.h"

#include <doctest/doctest.h>

using namespace azurehill;
using namespace azurehill::test;

TEST_CASE("What this daemon sent tells where a prefix is cached")
{
    prefix_map map;
    map.set(7, 0, 1000, at(0));
    CHECK(map.expected(7, 0) == 1000);
    CHECK(map.expected(7, 1) == 0);

    SUBCASE("an eviction takes it away")
    {
        map.onEvent(0, {1, 7}, at(1));
        CHECK(map.expected(7, 0) == 0);
    }
    SUBCASE("events with a gap make older entries doubtful, newer ones not")
    {
        map.onEvent(0, {1, 99}, at(1));
        CHECK(map.expected(7, 0) == 1000);
        map.onEvent(0, {3, 98}, at(2));
        CHECK(map.expected(7, 0) < 1000);
        CHECK(map.expected(7, 0) > 0);
        map.set(7, 0, 1200, at(3));
        CHECK(map.expected(7, 0) == 1200);
    }
    SUBCASE("old entries are forgotten")
    {
        map.expire(seconds(10), at(5));
        CHECK(map.holders(7).size() == 1);
        map.expire(seconds(10), at(11));
        CHECK(map.holders(7).empty());
    }
    SUBCASE("the end of a program names all replicas that hold something for it")
    {
        map.set(7, 1, 500, at(1));
        CHECK(map.release(7) == std::vector<replica_index>{0, 1});
        CHECK(map.holders(7).empty());
    }
}
