#include "members/adaptive_timeout.h"

#include <doctest/doctest.h>

namespace azurehill {

TEST_SUITE("answer patience")
{
    TEST_CASE("the wait for the store's answer follows the answers that come")
    {
        adaptive_timeout storeTimeout;
        CHECK(storeTimeout.timeout() == milliseconds(400));
        for (int i = 0; i < 50; ++i)
            storeTimeout.onResponse(milliseconds(8));

        SUBCASE("a store that answers in milliseconds is not waited for long")
        {
            // Guards against a long fixed timeout. When the store lost a third of its responses,
            // each affected turn stalled for 0.4 s before the retry, longer than the engines needed
            // for the whole answer.
            CHECK(storeTimeout.timeout() == milliseconds(120));
        }
        SUBCASE("a store that turns slow is not asked twice for everything")
        {
            for (int i = 0; i < 2; ++i)
                storeTimeout.onTimeout();
            CHECK(storeTimeout.timeout() == milliseconds(480));
            for (int i = 0; i < 4; ++i)
                storeTimeout.onResponse(milliseconds(i % 2 == 0 ? 200 : 400));
            CHECK(storeTimeout.timeout() > milliseconds(400));
        }
        SUBCASE("one answer that came ends the doubt")
        {
            storeTimeout.onTimeout();
            CHECK(storeTimeout.timeout() == milliseconds(240));
            storeTimeout.onResponse(milliseconds(8));
            CHECK(storeTimeout.timeout() == milliseconds(120));
        }
    }
}

} // namespace azurehill
