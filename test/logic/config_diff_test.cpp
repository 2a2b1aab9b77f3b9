#include "config/config.h"

#include <doctest/doctest.h>

using namespace azurehill;

TEST_CASE("Two documents differ by the values at their paths")
{
    const std::string before = R"({"tenants":{"a":{"weight":1}},"list":[1,2],"gone":true})";
    SUBCASE("equal documents have no changes, whatever the order of their keys")
    {
        CHECK(
            diffJson(before, R"({"list":[1,2],"gone":true,"tenants":{"a":{"weight":1}}})").empty());
    }
    SUBCASE("changed, added and removed values are named")
    {
        const auto changes
            = diffJson(before, R"({"tenants":{"a":{"weight":2},"b":{"weight":3}},"list":[1]})");
        REQUIRE(changes.size() == 4);
        CHECK(changes[0].path == "/gone");
        CHECK(changes[0].after.empty());
        CHECK(changes[1].path == "/list");
        CHECK(changes[2].path == "/tenants/a/weight");
        CHECK(changes[2].before == "1");
        CHECK(changes[2].after == "2");
        CHECK(changes[3].path == "/tenants/b/weight");
        CHECK(changes[3].before.empty());
    }
}
