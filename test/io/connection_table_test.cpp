#include "http/connection_table.h"

#include <doctest/doctest.h>

using namespace azurehill;

TEST_SUITE("connections of a server")
{
    TEST_CASE("one that waits makes way for another")
    {
        connection_table table;
        const time_point start;
        int closed = 0;
        const auto add = [&](time_point now, int name) {
            return table.add(2, now, [&closed, name] { closed = name; });
        };
        const auto first = add(start, 1);
        const auto second = add(start + seconds(1), 2);
        REQUIRE(first != 0);
        REQUIRE(second != 0);

        SUBCASE("not before it has waited for a second")
        {
            CHECK(add(start + milliseconds(999), 3) == 0);
            CHECK(closed == 0);
        }
        SUBCASE("the one that has waited longest")
        {
            CHECK(add(start + seconds(3), 3) != 0);
            CHECK(closed == 1);
            CHECK(table.size() == 2);
        }
        SUBCASE("not while it is being answered, and later again")
        {
            REQUIRE(table.endWait(first));
            CHECK(add(start + seconds(3), 3) != 0);
            CHECK(closed == 2);
            table.beginWait(first, start + seconds(4));
            CHECK(table.closeLongestWaiting(start + seconds(5)));
            CHECK(closed == 3);
        }
        // Guards against an answer that is cut off, as its request came while its connection was
        // chosen to make way.
        SUBCASE("and begins no request after that")
        {
            REQUIRE(add(start + seconds(3), 3) != 0);
            CHECK_FALSE(table.endWait(first));
            table.beginWait(first, start + seconds(3));
            table.remove(first);
            CHECK(table.size() == 2);
        }
    }
}
