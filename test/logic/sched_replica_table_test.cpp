#include "sched_test_support.h"

#include <doctest/doctest.h>

using namespace azurehill;
using namespace azurehill::test;

TEST_CASE("A late load report is corrected by this daemon's own work")
{
    replica_table table({"here"});
    table.setReplicas({listed("a"), listed("b", "there")});
    const replica_index a = table.find({"a"});
    table.onReport({"a"}, {at(0), 3, 1, 500});

    SUBCASE("a call sent after the report counts on top of it")
    {
        table.onSent(a, 1000, 800, at(1));
        CHECK(table.load(a).calls == 5);
        CHECK(table.load(a).prefillTokens == 1300);

        SUBCASE("until a report that was taken later shows it")
        {
            table.onReport({"a"}, {at(2), 5, 0, 100});
            CHECK(table.load(a).calls == 5);
            CHECK(table.load(a).prefillTokens == 100);
            table.onDone(a, 1000, 800, at(1), at(3));
            CHECK(table.load(a).calls == 4);
            CHECK(table.load(a).prefillTokens == 100);
        }
        SUBCASE("a report that was taken before it changes nothing of that")
        {
            table.onReport({"a"}, {at(0.5), 3, 1, 500});
            CHECK(table.load(a).calls == 5);
        }
        SUBCASE("a report that arrives after a later one is left aside")
        {
            table.onReport({"a"}, {at(-0.5), 9, 9, 9});
            CHECK(table.load(a).calls == 5);
        }
    }
    SUBCASE("replicas are grouped by distance and leave their group when they leave")
    {
        CHECK(table.group("model").near.size() == 1);
        CHECK(table.group("model").far.size() == 1);
        table.setLeaving(a);
        CHECK(table.group("model").near.empty());

        SUBCASE("the list that still names it doesn't bring it back")
        {
            table.setReplicas({listed("a"), listed("b", "there")});
            CHECK_FALSE(table.isAvailable(a));
        }
        SUBCASE("a new address under the name is a new process")
        {
            replica again = listed("a");
            again.address = "a:2";
            table.setReplicas({again});
            CHECK(table.isAvailable(a));
            CHECK(table.list().size() == 1);
        }
    }
}
