#include "platform/json_elements.h"
#include "platform/platform_client.h"
#include "scripted_replica.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace azurehill::test {

namespace {

/// \returns a host's entry with \p port.
std::string entry(const std::string &name, const std::string &port)
{
    return fmt::format(R"({{"name":"{}","service":"s","host":"127.0.0.1","port":{},)"
                       R"("data_centre":"dc","leaving":false}})",
                       name, port);
}

/// \returns what a daemon reads of a platform whose list of hosts is \p entries, or nothing if the
/// list can't be read.
std::optional<std::vector<std::string>> namesIn(const std::string &entries)
{
    asio::io_context context;
    scripted_replica platform(context, "platform", "platform");
    const std::string body = R"({"hosts":[)" + entries + "]}";
    platform.script
        = {fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body)};
    std::optional<std::vector<std::string>> names;
    auto read = [&]() -> awaitable<void> {
        platform_client client(platform.entry.address, seconds(5));
        const auto hosts = co_await client.hosts();
        if (!hosts)
            co_return;
        names.emplace();
        for (const listed_host &host : *hosts)
            names->push_back(host.name);
    };
    runIn(context, read());
    return names;
}

} // namespace

TEST_SUITE("host list of azurehilld")
{
    // Guards against a daemon that no longer follows the list, since one of its entries is odd.
    TEST_CASE("an odd entry hides no other host")
    {
        constexpr std::size_t depth = 20'000;
        const std::string number(60'000, '9');
        const std::vector<std::string> both = {"first", "last"};
        const auto around = [](const std::string &odd) {
            return namesIn(entry("first", "80") + "," + odd + "," + entry("last", "81"));
        };

        SUBCASE("with a port that does not exist")
        {
            for (const std::string port : {"0", "-1", "65536", "1e9", "\"80\"", "null"})
                CHECK(around(entry("odd", port)) == both);
            CHECK(around(entry("odd", number)) == both);
        }
        SUBCASE("with a number that no type holds")
        {
            for (const std::string &value :
                 {number, "-" + number, "0." + number, std::string("1e400"), "1e" + number}) {
                CAPTURE(value.size());
                CHECK(around(R"({"name":)" + value + "}") == both);
                CHECK(around(value) == both);
            }
        }
        SUBCASE("nested deeply")
        {
            const std::string deep = std::string(depth, '[') + std::string(depth, ']');
            CHECK(around(deep) == both);
            CHECK(around(R"({"name":)" + deep + "}") == both);
            CHECK(around(R"({"name":"a [ \" { b","more":)" + deep + "}") == both);
        }
        SUBCASE("of another type, or without a field")
        {
            for (const std::string odd : {"null", "7", "\"x\"", "[]", "{}", R"({"name":"odd"})"})
                CHECK(around(odd) == both);
        }
    }

    TEST_CASE("what is no list is an error, and no empty list")
    {
        for (const std::string_view text :
             {"", "{", "[]", "{}", R"({"hosts":)", R"({"hosts":[)", R"({"hosts":[1)",
              R"({"hosts":[1,]})", R"({"hosts":{}})",
              R"({"hosts":[]})"
              "x",
              R"({"hosts":["a]})", R"({"a":1,"b":[]})"})
            CHECK_FALSE(arrayElements(text, "hosts"));
        CHECK_FALSE(namesIn(entry("first", "80") + ","));
        CHECK_FALSE(namesIn(std::string(20'000, '[')));
        CHECK(namesIn("") == std::vector<std::string>());
    }

    TEST_CASE("elements are split where the array has its commas")
    {
        using texts = std::vector<std::string_view>;
        CHECK(*arrayElements(R"({"a":[",","\\"],"hosts":[]})", "hosts") == texts());
        CHECK(*arrayElements(R"( { "hosts" : [ {"x":[1,2]} , "a,\"]" ,3] , "b" : {"c":"}"} } )",
                             "hosts")
              == texts{R"({"x":[1,2]} )", R"("a,\"]" )", "3"});
    }
}

} // namespace azurehill::test
