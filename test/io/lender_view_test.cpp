#include "lending/lending.h"

#include <doctest/doctest.h>

namespace azurehill::test {

namespace {

member_state memberOf(const std::string &name, double cores, bool reachesStore)
{
    member_state m;
    m.name = {name};
    m.incarnation = 1;
    m.serving = true;
    m.storeReachable = reachesStore;
    m.cores = cores;
    return m;
}

/// \returns the preferred holders of all shards.
std::vector<daemon_id> holdersOf(const lender_view &view)
{
    std::vector<daemon_id> holders;
    for (std::size_t shard = 0; shard < quotaShardCount; ++shard)
        holders.push_back(view.preferred(shard));
    return holders;
}

} // namespace

TEST_SUITE("lender view")
{
    // Guards against holders that hand their rows over during an outage of the store, after which
    // no daemon lends until the outage ends.
    TEST_CASE("an outage of the store leaves the preferred holders as they are")
    {
        lender_view view;
        view.set(memberOf("a", 1, true), {memberOf("b", 1, true), memberOf("c", 1, true)});
        const std::vector<daemon_id> before = holdersOf(view);

        SUBCASE("when it is noticed by all daemons")
        {
            view.set(memberOf("a", 1, false), {memberOf("b", 1, false), memberOf("c", 1, false)});
            CHECK(holdersOf(view) == before);
        }
        SUBCASE("while a daemon that alone can't reach the store gives way")
        {
            view.set(memberOf("a", 1, true), {memberOf("b", 1, false), memberOf("c", 1, true)});
            for (const daemon_id &holder : holdersOf(view))
                CHECK(holder != daemon_id{"b"});
        }
    }

    // Guards against a small host that has to answer thousands of requests per second of one
    // account, and answers none of them in time.
    TEST_CASE("small hosts hold no shard while larger ones may")
    {
        lender_view view;
        view.set(memberOf("large", 0.5, true), {memberOf("small", 0.12, true)});
        for (const daemon_id &holder : holdersOf(view))
            CHECK(holder == daemon_id{"large"});

        SUBCASE("and do if no larger one reaches the store")
        {
            view.set(memberOf("large", 0.5, false), {memberOf("small", 0.12, true)});
            for (const daemon_id &holder : holdersOf(view))
                CHECK(holder == daemon_id{"small"});
        }
        SUBCASE("as do hosts of which the processor is not known")
        {
            view.set(memberOf("a", 0, true), {memberOf("b", 0, true)});
            const auto holders = holdersOf(view);
            CHECK(std::count(holders.begin(), holders.end(), daemon_id{"b"}) > 0);
        }
    }
}

} // namespace azurehill::test
