#include "routes/routes.h"

#include <doctest/doctest.h>

namespace azurehill {

namespace {

route_rule rule(const std::string &name, const std::string &host, const std::string &prefix)
{
    route_rule r;
    r.name = name;
    r.hostname = host;
    r.prefix = prefix;
    r.services = {{"s", 1}};
    return r;
}

std::string found(const routing_config &book, std::string_view host, std::string_view path)
{
    const route_rule *r = book.find(host, path);
    return r ? r->name : "none";
}

} // namespace

TEST_CASE("a request takes the route of its host with the longest prefix")
{
    const routing_config book(3,
                              {rule("short", "a.example", "/x/"),
                               rule("long", "a.example", "/x/y/"),
                               rule("other", "b.example", "/x/")},
                              {}, {});
    CHECK(found(book, "a.example", "/x/1") == "short");
    CHECK(found(book, "a.example", "/x/y/1") == "long");
    CHECK(found(book, "b.example", "/x/y/1") == "other");

    SUBCASE("a prefix ends at a slash")
    {
        CHECK(found(book, "a.example", "/xy/1") == "none");
    }
    SUBCASE("the query is no part of the path")
    {
        CHECK(found(book, "a.example", "/x/1?p=/x/y/") == "short");
    }
    SUBCASE("a host name has a port and any case")
    {
        CHECK(found(book, "A.Example:8080", "/x/1") == "short");
    }
    SUBCASE("an unknown host has no route")
    {
        CHECK(found(book, "c.example", "/x/1") == "none");
    }
}

// Guards against a program that is given a second budget, as its route states no retention time.
TEST_CASE("a token account is retained on any route")
{
    route_rule route;
    CHECK(route.accountRetention() == seconds(60));
    route.retention = seconds(10);
    CHECK(route.accountRetention() == seconds(10));
}

} // namespace azurehill
