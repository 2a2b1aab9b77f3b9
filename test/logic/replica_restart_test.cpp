#include "replicas/replicas.h"

#include <doctest/doctest.h>

namespace azurehill {

namespace {

replica_entry entry(const std::string &id, std::int64_t born, bool draining = false,
                    std::uint64_t sequence = 1)
{
    return {{{id}, born}, "model", {"10.0.0.1", 80}, {"here"}, 8, draining, sequence};
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

std::int64_t chosenStart(replica_load_balancer &board, int ms)
{
    const auto p = board.choose(request(), at(ms));
    return p ? p->replica.incarnation.startedUnixMs : -1;
}

} // namespace

TEST_SUITE("replica restart")
{
    // After a rack lost power its replicas came back under their ids. The daemons went on as if
    // nothing had happened: prompts were sent where nothing was cached any more, and replicas that
    // had drained before the crash got no work for the rest of the day.
    TEST_CASE("a replica that starts again under its id begins with nothing")
    {
        replica_load_balancer board({"here"}, 1);
        board.setReplicas({entry("a", 100)}, at(0));
        const auto first = board.choose(request(), at(0));
        REQUIRE(first);
        board.onSent(*first, request(), at(0));

        SUBCASE("what its old process had read is gone")
        {
            board.onDone(*first, send_outcome::Answered, at(100));
            REQUIRE(board.choose(request(), at(200))->cachedTokens == 2500);
            board.setReplicas({entry("a", 200)}, at(300));
            CHECK(board.choose(request(), at(400))->cachedTokens == 0);
        }
        SUBCASE("what a turn remembers of it counts for the old process only")
        {
            placement_request next = request();
            next.parts = {};
            next.lastReplica = first->replica.incarnation;
            next.lastTokens = 2000;
            REQUIRE(board.choose(next, at(100))->cachedTokens == 2000);
            board.setReplicas({entry("a", 200)}, at(300));
            CHECK(board.choose(next, at(400))->cachedTokens == 0);
            // Rows of earlier daemons don't tell which process answered.
            next.lastReplica.startedUnixMs = 0;
            CHECK(board.choose(next, at(400))->cachedTokens == 0);
        }
        SUBCASE("work under way at the old process is not the new one's")
        {
            REQUIRE(board.choose(request(), at(100))->outstanding == 1);
            board.setReplicas({entry("a", 200)}, at(300));
            const auto second = board.choose(request(), at(400));
            CHECK(second->outstanding == 0);
            board.onSent(*second, request(), at(400));
            // The old request ends only now, and badly: it says nothing of the new process.
            board.onDone(*first, send_outcome::Unreachable, at(500));
            CHECK(board.choose(request(), at(600))->outstanding == 1);
            CHECK(board.doubted() == 0);
        }
        SUBCASE("it may take a request again that broke off at the old process")
        {
            placement_request again = request();
            again.tried.insert(first->replica.incarnation);
            CHECK_FALSE(board.choose(again, at(100)));
            board.setReplicas({entry("a", 200)}, at(300));
            CHECK(board.choose(again, at(400)));
        }
        SUBCASE("doubts go with the process that gave rise to them")
        {
            board.onDone(*first, send_outcome::Unreachable, at(100));
            REQUIRE(board.doubted() == 1);
            board.setReplicas({entry("a", 200)}, at(300));
            CHECK(board.doubted() == 0);
            CHECK(board.lastReceivedAt(first->replica.incarnation) == time_point());
        }
        SUBCASE("draining ends with the process that drained")
        {
            board.setReplicas({entry("a", 100, true)}, at(100));
            REQUIRE(chosenStart(board, 150) == -1);
            board.setReplicas({entry("a", 200)}, at(200));
            CHECK(chosenStart(board, 250) == 200);
        }
        SUBCASE("another replica at its old address says nothing of the new process")
        {
            board.setReplicas({entry("a", 200)}, at(100));
            board.setLeaving(first->replica.incarnation);
            CHECK(chosenStart(board, 150) == 200);
        }
        SUBCASE("the process that is over is told once, so that its connections go")
        {
            const auto ended = board.setReplicas({entry("a", 200)}, at(100));
            REQUIRE(ended.size() == 1);
            CHECK(ended.front().incarnation == first->replica.incarnation);
            CHECK(board.isReplaced(first->replica.incarnation));
            CHECK(board.setReplicas({entry("a", 200)}, at(200)).empty());
        }
    }

    TEST_CASE("entries that are read out of order change nothing")
    {
        replica_load_balancer board({"here"}, 1);

        SUBCASE("the old process's entry after the new one's")
        {
            board.setReplicas({entry("a", 200)}, at(0));
            CHECK(board.setReplicas({entry("a", 100, true)}, at(100)).empty());
            CHECK(chosenStart(board, 150) == 200);
            // One that tells no start is older than any that does.
            board.setReplicas({entry("a", 0, true)}, at(200));
            CHECK(chosenStart(board, 250) == 200);
        }
        SUBCASE("two starts within a heartbeat, the one between them last")
        {
            board.setReplicas({entry("a", 100)}, at(0));
            board.setReplicas({entry("a", 300)}, at(100));
            board.setReplicas({entry("a", 200, true)}, at(200));
            CHECK(chosenStart(board, 250) == 300);
        }
        SUBCASE("an older entry of the same process: draining stays, its address too")
        {
            replica_entry moved = entry("a", 100, false, 5);
            moved.address.port = 81;
            board.setReplicas({moved}, at(0));
            board.setReplicas({entry("a", 100, false, 4)}, at(100));
            CHECK(board.choose(request(), at(150))->replica.address.port == 81);
            board.setReplicas({entry("a", 100, true, 6)}, at(200));
            board.setReplicas({entry("a", 100, false, 5)}, at(300));
            CHECK(chosenStart(board, 350) == -1);
        }
        SUBCASE("without a start a lower number may be a new process: it is taken in")
        {
            replica_entry moved = entry("a", 0, false, 5);
            board.setReplicas({moved}, at(0));
            moved.sequence = 1;
            moved.address.port = 82;
            board.setReplicas({moved}, at(100));
            CHECK(board.choose(request(), at(150))->replica.address.port == 82);
        }
    }
}

} // namespace azurehill
