#include "http/http.h"
#include "scripted_replica.h"

#include <doctest/doctest.h>

using namespace azurehill;
using namespace azurehill::test;

TEST_CASE("An endpoint is written as host:port")
{
    CHECK(parseEndpoint("127.0.0.1:80") == endpoint{"127.0.0.1", 80});
    CHECK_FALSE(parseEndpoint("127.0.0.1"));
    CHECK_FALSE(parseEndpoint("127.0.0.1:99999"));
}

// Guards against the part of a response that any reader of responses takes for the whole.
TEST_CASE("A response that breaks off is an error")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string stream = "Content-Type: text/event-stream\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

    SUBCASE("before it is complete")
    {
        for (const std::string &bytes :
             {head + "Content-Length: 3\r\n\r\nab<close>", head + chunked + "2\r\nab\r\n<close>",
              head + chunked + "2\r\na<close>", head + stream + "\r\ndata: a\n<close>",
              head + stream + "\r\n<close>",
              head + stream + chunked + "8\r\ndata: a\n\r\n0\r\n\r\n"}) {
            CAPTURE(bytes);
            const exchange_result result = exchangeWith(bytes);
            REQUIRE_FALSE(result);
            CHECK(result.error().kind == http_error_kind::Incomplete);
            CHECK(result.error().ran == outcome::Unknown);
        }
    }
    SUBCASE("inside its head")
    {
        const exchange_result result = exchangeWith("HTTP/1.1 200 OK\r\nContent-Le<close>");
        REQUIRE_FALSE(result);
        CHECK(result.error().ran == outcome::Unknown);
    }
    SUBCASE("a whole one is none")
    {
        for (const std::string &bytes :
             {head + "Content-Length: 2\r\n\r\nab", head + chunked + "2\r\nab\r\n0\r\n\r\n",
              head + "\r\nab<close>"}) {
            CAPTURE(bytes);
            const exchange_result result = exchangeWith(bytes);
            REQUIRE(result);
            CHECK(result->body == "ab");
        }
    }
}
