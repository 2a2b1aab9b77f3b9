#include "logic/cell_model.h"

#include <doctest/doctest.h>

using namespace azurehill;

TEST_CASE("Journals are read only when something may have been gained")
{
    cell_view view{1, 1, {makeMember(0, 1), makeMember(1, 1), makeMember(2, 1)}};
    ownership_history history({"a"}, "1");
    history.onView(view);
    const auto change = [&](fencing_number by = 1) {
        view.number += by;
        history.onView(view);
        return history.mayHaveGainedSince(view.number - 1);
    };
    CHECK(history.mayHaveGainedSince(0));
    CHECK_FALSE(history.mayHaveGainedSince(1));
    SUBCASE("not when another announces itself and joins")
    {
        view.members.push_back(makeMember(3, 1));
        view.members.back().joining = true;
        CHECK_FALSE(change());
        view.members.back().joining = false;
        CHECK_FALSE(change());
    }
    SUBCASE("not when another starts again under its name")
    {
        view.members[1].incarnation = "2";
        CHECK_FALSE(change());
    }
    SUBCASE("when another goes, drains or is missed")
    {
        view.members[1].draining = true;
        CHECK(change());
        view.members.erase(view.members.begin() + 1);
        CHECK_FALSE(change());
        view.members.pop_back();
        CHECK(change());
        CHECK(change(2));
    }
    SUBCASE("when another gives up what is now this daemon's")
    {
        for (const program_id &id : testPrograms()) {
            view.members[1].keeps = {id};
            change();
            view.members[1].keeps.clear();
            const bool isOurs = ownerOf(view, id)->daemon.value == "a";
            CHECK(change() == isOurs);
        }
    }
    SUBCASE("what was away in between is not held, nor is anything after a missed view")
    {
        const auto own
            = [&](const program_id &id) { return ownerOf(view, id)->daemon.value == "a"; };
        const auto programs = testPrograms();
        const program_id mine = *std::find_if(programs.begin(), programs.end(), own);
        CHECK(history.ownedSince(mine, 1));
        CHECK_FALSE(history.ownedSince(mine, 0));
        view.members[0].draining = true;
        change();
        view.members[0].draining = false;
        change();
        CHECK_FALSE(history.ownedSince(mine, 1));
        CHECK(history.ownedSince(mine, 3));
        change(2);
        CHECK_FALSE(history.ownedSince(mine, 3));
        CHECK(history.ownedSince(mine, 5));
    }
    SUBCASE("when this daemon itself joins")
    {
        view.members[0].joining = true;
        CHECK_FALSE(change());
        view.members[0].joining = false;
        CHECK(change());
    }
}
