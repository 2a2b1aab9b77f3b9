#include "members/adaptive_timeout.h"

#include <doctest/doctest.h>

namespace azurehill {

TEST_SUITE("answer patience")
{
    TEST_CASE("the wait for the store's answer follows the answers that come")
    {
        adaptive_timeout patience;
        CHECK(patience.wait() == milliseconds(400));
        for (int i = 0; i < 50; ++i)
            patience.onAnswer(milliseconds(8));

        SUBCASE("a store that answers in milliseconds is not waited for long")
        {
            // The store lost a third of its answers. Each turn that met one stood still for 0.4 s
            // before the call was made again, longer than the engines needed for the whole answer.
            CHECK(patience.wait() == milliseconds(120));
        }
        SUBCASE("a store that turns slow is not asked twice for everything")
        {
            for (int i = 0; i < 2; ++i)
                patience.onTimeout();
            CHECK(patience.wait() == milliseconds(480));
            for (int i = 0; i < 4; ++i)
                patience.onAnswer(milliseconds(i % 2 == 0 ? 200 : 400));
            CHECK(patience.wait() > milliseconds(400));
        }
        SUBCASE("one answer that came ends the doubt")
        {
            patience.onTimeout();
            CHECK(patience.wait() == milliseconds(240));
            patience.onAnswer(milliseconds(8));
            CHECK(patience.wait() == milliseconds(120));
        }
    }
}

} // namespace azurehill
