#include "rows/rows.h"

#include <doctest/doctest.h>

namespace azurehill::test {

TEST_SUITE("paged read")
{
    TEST_CASE("a read of several pages has the version of the first")
    {
        const auto row = [](const std::string &key, store_version version) {
            return stored_row{{"t", "", key}, "v", version};
        };
        paged_read read;
        read.add({{row("a", 3), row("b", 4)}, 10});
        read.add({{row("c", 12)}, 14});
        row_page table = read.take();
        CHECK(table.version == 10);
        REQUIRE(table.rows.size() == 3);

        SUBCASE("with the changes since, it is the table at the version of these")
        {
            stored_row removed = row("b", 13);
            removed.deleted = true;
            applyFeed(table,
                      {{row("a", 11), row("c", 12), row("a", 15), removed, row("d", 15)}, 16});
            CHECK(table.version == 16);
            table_cache copy;
            table_cache expected;
            copy.onRead(table, time_point(seconds(1)));
            expected.onRead({{row("a", 15), row("c", 12), row("d", 15)}, 16},
                            time_point(seconds(1)));
            CHECK(copy.digest(time_point(seconds(1))) == expected.digest(time_point(seconds(1))));
        }
        SUBCASE("an older change does not replace a row")
        {
            applyFeed(table, {{row("c", 11)}, 16});
            CHECK(table.rows.back().version == 12);
        }
    }
}

} // namespace azurehill::test
