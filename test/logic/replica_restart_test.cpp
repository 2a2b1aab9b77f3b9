#include "replicas/replicas.h"

#include <doctest/doctest.h>

namespace azurehill {

namespace {

replica_entry entry(const std::string &id, std::int64_t startedUnixMs, bool draining = false,
                    std::uint64_t sequence = 1)
{
    return {{{id}, startedUnixMs}, "model", {"10.0.0.1", 80}, {"here"}, 8, draining, sequence};
}

placement_request request()
{
    placement_request r;
    r.service = "model";
    r.parts = {{"system", 2000}, {"own", 500}};
    r.promptTokens = 2500;
    return r;
}

time_point at(int ms)
{
    return time_point(milliseconds(1'000'000 + ms));
}

std::int64_t chosenStart(replica_load_balancer &balancer, int ms)
{
    const auto p = balancer.choose(request(), at(ms));
    return p ? p->replica.incarnation.startedUnixMs : -1;
}

} // namespace

TEST_SUITE("replica restart")
{
    // Guards against state of an old process that is applied to a new one with the same id. After a
    // rack lost power, its replicas restarted under their ids: prompts were sent to replicas that
    // no longer had them cached, and replicas that had been draining before the crash got no
    // requests for the rest of the day.
    TEST_CASE("a replica that starts again under its id begins with nothing")
    {
        replica_load_balancer balancer({"here"}, 1);
        balancer.setReplicas({entry("a", 100)}, at(0));
        const auto first = balancer.choose(request(), at(0));
        REQUIRE(first);
        balancer.onSent(*first, request(), at(0));

        SUBCASE("what its old process had read is gone")
        {
            balancer.onDone(*first, send_outcome::Answered, at(100));
            REQUIRE(balancer.choose(request(), at(200))->cachedTokens == 2500);
            balancer.setReplicas({entry("a", 200)}, at(300));
            CHECK(balancer.choose(request(), at(400))->cachedTokens == 0);
        }
        SUBCASE("what a turn remembers of it counts for the old process only")
        {
            placement_request next = request();
            next.parts = {};
            next.lastReplica = first->replica.incarnation;
            next.lastTokens = 2000;
            REQUIRE(balancer.choose(next, at(100))->cachedTokens == 2000);
            balancer.setReplicas({entry("a", 200)}, at(300));
            CHECK(balancer.choose(next, at(400))->cachedTokens == 0);
            // Rows written by earlier daemon versions don't contain the replica's start time.
            next.lastReplica.startedUnixMs = 0;
            CHECK(balancer.choose(next, at(400))->cachedTokens == 0);
        }
        SUBCASE("work under way at the old process is not the new one's")
        {
            REQUIRE(balancer.choose(request(), at(100))->outstanding == 1);
            balancer.setReplicas({entry("a", 200)}, at(300));
            const auto second = balancer.choose(request(), at(400));
            CHECK(second->outstanding == 0);
            balancer.onSent(*second, request(), at(400));
            // A failure of the old request must not affect the new process.
            balancer.onDone(*first, send_outcome::Unreachable, at(500));
            CHECK(balancer.choose(request(), at(600))->outstanding == 1);
            CHECK(balancer.ejectedReplicas() == 0);
        }
        SUBCASE("it may take a request again that broke off at the old process")
        {
            placement_request again = request();
            again.tried.insert(first->replica.incarnation);
            CHECK_FALSE(balancer.choose(again, at(100)));
            balancer.setReplicas({entry("a", 200)}, at(300));
            CHECK(balancer.choose(again, at(400)));
        }
        SUBCASE("doubts go with the process that gave rise to them")
        {
            balancer.onDone(*first, send_outcome::Unreachable, at(100));
            REQUIRE(balancer.ejectedReplicas() == 1);
            balancer.setReplicas({entry("a", 200)}, at(300));
            CHECK(balancer.ejectedReplicas() == 0);
            CHECK(balancer.lastReceivedAt(first->replica.incarnation) == time_point());
        }
        SUBCASE("draining ends with the process that drained")
        {
            balancer.setReplicas({entry("a", 100, true)}, at(100));
            REQUIRE(chosenStart(balancer, 150) == -1);
            balancer.setReplicas({entry("a", 200)}, at(200));
            CHECK(chosenStart(balancer, 250) == 200);
        }
        SUBCASE("another replica at its old address says nothing of the new process")
        {
            balancer.setReplicas({entry("a", 200)}, at(100));
            balancer.setLeaving(first->replica.incarnation);
            CHECK(chosenStart(balancer, 150) == 200);
        }
        SUBCASE("the process that is over is told once, so that its connections go")
        {
            const auto ended = balancer.setReplicas({entry("a", 200)}, at(100));
            REQUIRE(ended.size() == 1);
            CHECK(ended.front().incarnation == first->replica.incarnation);
            CHECK(balancer.isReplaced(first->replica.incarnation));
            CHECK(balancer.setReplicas({entry("a", 200)}, at(200)).empty());
        }
    }

    TEST_CASE("entries that are read out of order change nothing")
    {
        replica_load_balancer balancer({"here"}, 1);

        SUBCASE("the old process's entry after the new one's")
        {
            balancer.setReplicas({entry("a", 200)}, at(0));
            CHECK(balancer.setReplicas({entry("a", 100, true)}, at(100)).empty());
            CHECK(chosenStart(balancer, 150) == 200);
            // An entry without a start time counts as older than any entry with one.
            balancer.setReplicas({entry("a", 0, true)}, at(200));
            CHECK(chosenStart(balancer, 250) == 200);
        }
        SUBCASE("two starts within a heartbeat, the one between them last")
        {
            balancer.setReplicas({entry("a", 100)}, at(0));
            balancer.setReplicas({entry("a", 300)}, at(100));
            balancer.setReplicas({entry("a", 200, true)}, at(200));
            CHECK(chosenStart(balancer, 250) == 300);
        }
        SUBCASE("an older entry of the same process: draining stays, its address too")
        {
            replica_entry moved = entry("a", 100, false, 5);
            moved.address.port = 81;
            balancer.setReplicas({moved}, at(0));
            balancer.setReplicas({entry("a", 100, false, 4)}, at(100));
            CHECK(balancer.choose(request(), at(150))->replica.address.port == 81);
            balancer.setReplicas({entry("a", 100, true, 6)}, at(200));
            balancer.setReplicas({entry("a", 100, false, 5)}, at(300));
            CHECK(chosenStart(balancer, 350) == -1);
        }
        SUBCASE("without a start a lower number may be a new process: it is taken in")
        {
            replica_entry moved = entry("a", 0, false, 5);
            balancer.setReplicas({moved}, at(0));
            moved.sequence = 1;
            moved.address.port = 82;
            balancer.setReplicas({moved}, at(100));
            CHECK(balancer.choose(request(), at(150))->replica.address.port == 82);
        }
    }
}

} // namespace azurehill
