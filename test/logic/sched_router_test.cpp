#include "sched_test_support.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

using namespace azurehill;
using namespace azurehill::test;

TEST_CASE("A call goes where it is expected to end first")
{
    replica_table table({"here"});
    prefix_map prefixes;
    replica_health health;
    router r({}, 1);
    table.setReplicas({listed("a"), listed("b")});
    const replica_index a = table.find({"a"});
    const replica_index b = table.find({"b"});
    const auto choose = [&](const pending_call &call, replica_index excluded = noReplica) {
        return r.choose(call, 200, table, prefixes, health, at(1), excluded);
    };
    const pending_call call = callOf(1, "p1", 4000);

    SUBCASE("to the idle one of two")
    {
        table.onReport({"a"}, {at(0), 16, 20, 60'000});
        CHECK(choose(call)->replica == b);
    }
    SUBCASE("to a busier one that has the prefix cached")
    {
        prefixes.set(stableHash("p1"), a, 3900, at(0));
        table.onReport({"a"}, {at(0), 8, 0, 0});
        CHECK(choose(call)->replica == a);
        CHECK(choose(call)->prefillTokens == 100);

        SUBCASE("but not when that one is far behind")
        {
            table.onReport({"a"}, {at(0.5), 16, 400, 600'000});
            CHECK(choose(call)->replica == b);
        }
        SUBCASE("nor when it leaves or failed the call before")
        {
            CHECK(choose(call, a)->replica == b);
            table.setLeaving(a);
            CHECK(choose(call)->replica == b);
        }
    }
    SUBCASE("nowhere when there is none")
    {
        table.setReplicas({});
        CHECK_FALSE(choose(call));
    }
}

// Guards against herding: twenty daemons see the same load report, in which one replica is
// slightly less busy than the others. If all send their next call there, the replica is
// overloaded before the next report.
TEST_CASE("Daemons that share a stale report don't all pick the same replica")
{
    std::set<replica_index> picked;
    for (std::uint64_t daemon = 0; daemon < 20; ++daemon) {
        replica_table table({"here"});
        table.setReplicas({listed("a"), listed("b"), listed("c"), listed("d")});
        for (const char *id : {"a", "b", "c", "d"})
            table.onReport({id}, {at(0), id[0] == 'a' ? 7 : 8, 0, 0});
        router r({}, daemon);
        picked.insert(r.choose(callOf(1, "p1"), 200, table, {}, {}, at(1))->replica);
    }
    CHECK(picked.size() >= 3);
}

TEST_CASE("No choice is ever a replica that is leaving or of another service")
{
    CHECK(rc::check([](const std::vector<std::pair<bool, bool>> &shape) {
        replica_table table({"here"});
        std::vector<replica> all;
        for (const auto &[leaving, other] : shape) {
            replica r = listed("r" + std::to_string(all.size()));
            r.leaving = leaving;
            r.service = other ? "tool" : "model";
            all.push_back(r);
        }
        table.setReplicas(all);
        prefix_map prefixes;
        for (replica_index i = 0; i < all.size(); ++i)
            prefixes.set(stableHash("p1"), i, 1000, at(0));
        const auto chosen = router({}, 1).choose(callOf(1, "p1"), 200, table, prefixes, {}, at(1));
        if (chosen) {
            RC_ASSERT(!table.at(chosen->replica).leaving);
            RC_ASSERT(table.at(chosen->replica).service == "model");
        }
    }));
}
