#include "http/http.h"

#include <doctest/doctest.h>

using namespace azurehill;

TEST_CASE("An endpoint is written as host:port")
{
    CHECK(parseEndpoint("127.0.0.1:80") == endpoint{"127.0.0.1", 80});
    CHECK_FALSE(parseEndpoint("127.0.0.1"));
    CHECK_FALSE(parseEndpoint("127.0.0.1:99999"));
}
