#include "core/ids.h"

#include <doctest/doctest.h>

using namespace azurehill;

TEST_CASE("A program's id tells its family")
{
    const program_id root = makeProgramId();
    CHECK(isProgramId(root.value));
    CHECK(rootOf(root) == root);

    SUBCASE("a sub-agent belongs to its root")
    {
        const program_id child = makeProgramId(root);
        CHECK(isProgramId(child.value));
        CHECK(rootOf(child) == root);
        CHECK(rootOf(makeProgramId(child)) == root);
    }
    SUBCASE("other texts are no ids")
    {
        for (const char *text : {"", "p", "p.", "p1.", "p1..2", "x12", "p12g", "p/../1"})
            CHECK_FALSE(isProgramId(text));
    }
}
