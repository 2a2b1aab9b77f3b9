#include "logic/cell_model.h"

#include <doctest/doctest.h>

using namespace azurehill;

namespace {

cell_view someView(int members)
{
    cell_view view{1, 1, {}};
    for (int i = 0; i < members; ++i)
        view.members.push_back(makeMember(i, 1));
    return view;
}

} // namespace

TEST_CASE("Placement of programs")
{
    cell_view view = someView(4);
    const std::vector<program_id> programs = testPrograms();
    SUBCASE("a family lives on one member")
    {
        for (const program_id &root : programs)
            CHECK(ownerOf(view, {root.value + ".1f"}) == ownerOf(view, root));
    }
    SUBCASE("the view survives its text")
    {
        view.members[1].joining = true;
        view.members[2].keeps = {programs[0], programs[1]};
        const auto read = decodeView({"view/main", encode(view), 1});
        REQUIRE(read);
        CHECK(read->members == view.members);
        CHECK(read->number == 1);
    }
    SUBCASE("a member that goes moves only what it had")
    {
        cell_view fewer = view;
        fewer.members.pop_back();
        for (const program_id &id : programs) {
            if (ownerOf(view, id)->daemon != view.members.back().daemon)
                CHECK(ownerOf(fewer, id)->daemon == ownerOf(view, id)->daemon);
        }
    }
    SUBCASE("a draining member is in no look-up and owns what it keeps")
    {
        view.members[0].draining = true;
        view.members[0].keeps = {programs[3]};
        CHECK(ownerOf(view, programs[3]) == &view.members[0]);
        CHECK(ownerAfterPendingChanges(view, programs[3]) != &view.members[0]);
        for (const member *m : preferenceOrder(view, programs[3]))
            CHECK(m != &view.members[0]);
        CHECK(ownerOf(view, programs[4]) != &view.members[0]);
    }
    SUBCASE("a joining member owns nothing yet")
    {
        view.members[0].joining = true;
        for (const program_id &id : programs)
            CHECK(ownerOf(view, id) != &view.members[0]);
        CHECK(preferenceOrder(view, programs[0]).size() == 3);
    }
    SUBCASE("without members nobody owns")
    {
        CHECK(ownerOf({}, programs[0]) == nullptr);
    }
}
