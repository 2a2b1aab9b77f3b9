#include "dispatch/replica_pool.h"
#include "dispatch/session_directory.h"

#include <doctest/doctest.h>

namespace azurehill {

namespace {

replica_incarnation replica(int i)
{
    return {{"r" + std::to_string(i)}, 1};
}

struct pool_fixture
{
    explicit pool_fixture(int replicas, int slots)
    {
        std::vector<engine_replica> listed;
        listed.reserve(std::size_t(replicas));
        for (int i = 0; i < replicas; ++i)
            listed.push_back({replica(i), slots});
        pool.setReplicas(listed);
    }
    void run(int i, send_outcome outcome, double msPerEvent = 0)
    {
        pool.acquire(replica(i));
        pool.release(replica(i), outcome, msPerEvent, now);
    }

    replica_pool pool{1};
    time_point now{seconds(1000)};
};

} // namespace

TEST_SUITE("replica pool")
{
    TEST_CASE("a failing replica is ejected for 1 s, doubled up to 4 s")
    {
        pool_fixture f(6, 4);
        f.run(0, send_outcome::Unreachable);
        for (const duration time : {seconds(1), seconds(2), seconds(4), seconds(4)}) {
            CHECK(!f.pool.isAvailable(replica(0), f.now + time - milliseconds(1)));
            f.now += time;
            CHECK(f.pool.isAvailable(replica(0), f.now));
            // One trial at a time.
            f.pool.acquire(replica(0));
            CHECK(!f.pool.hasFreeSlot(replica(0), f.now));
            f.pool.release(replica(0), send_outcome::Failed, 0, f.now);
        }
        f.now += seconds(4);
        f.run(0, send_outcome::Answered);
        CHECK(f.pool.freeSlots(f.now) == 24);
        f.run(0, send_outcome::Failed);
        CHECK(f.pool.isAvailable(replica(0), f.now));
    }

    TEST_CASE("an answer between two failures, or a client that leaves, ejects no replica")
    {
        pool_fixture f(6, 4);
        for (const auto outcome : {send_outcome::Failed, send_outcome::Answered,
                                   send_outcome::Failed, send_outcome::Cancelled})
            f.run(0, outcome);
        CHECK(f.pool.ejected(f.now) == 0);
        f.run(0, send_outcome::Failed);
        CHECK(f.pool.ejected(f.now) == 1);
    }

    // Guards against a faulty program that takes all replicas out of service.
    TEST_CASE("if more than a third of the replicas fail, none is ejected for it")
    {
        pool_fixture f(9, 4);
        for (int i = 0; i < 3; ++i)
            f.run(i, send_outcome::Unreachable);
        CHECK(f.pool.slots(f.now) == 24);
        f.run(3, send_outcome::Unreachable);
        CHECK(f.pool.slots(f.now) == 36);
        CHECK(f.pool.freeSlots(f.now) == 36);
    }

    TEST_CASE("a replica that leaves gets no request, and its requests stay counted")
    {
        pool_fixture f(2, 2);
        f.pool.acquire(replica(0));
        f.pool.setReplicas({{replica(1), 2}});
        CHECK(!f.pool.isAvailable(replica(0), f.now));
        CHECK(f.pool.inFlight() == 1);
        f.pool.setReplicas({{replica(0), 2}, {replica(1), 2}});
        CHECK(f.pool.freeSlots(f.now) == 3);
        f.pool.release(replica(0), send_outcome::Answered, 0, f.now);
        CHECK(f.pool.freeSlots(f.now) == 4);
    }

    TEST_CASE("new sessions go to the replica with the least expected time")
    {
        pool_fixture f(3, 4);
        SUBCASE("the one with the fewest requests in flight")
        {
            f.pool.acquire(replica(0));
            f.pool.acquire(replica(2));
            CHECK(f.pool.leastLoaded(f.now) == replica(1));
        }
        SUBCASE("a faster one takes more requests than a slower one")
        {
            for (int i = 0; i < 40; ++i) {
                f.run(0, send_outcome::Answered, 3);
                f.run(1, send_outcome::Answered, 5);
                f.run(2, send_outcome::Answered, 8);
            }
            f.pool.acquire(replica(0));
            f.pool.acquire(replica(0));
            CHECK(f.pool.leastLoaded(f.now) == replica(0));
        }
        SUBCASE("the one with the fewest sessions")
        {
            f.pool.addSessions(replica(0), 2);
            f.pool.addSessions(replica(1), 2);
            CHECK(f.pool.leastLoaded(f.now) == replica(2));
        }
        SUBCASE("none that is full or refused a request")
        {
            for (int i = 0; i < 4; ++i)
                f.pool.acquire(replica(0));
            f.run(1, send_outcome::NotRun);
            CHECK(f.pool.leastLoaded(f.now) == replica(2));
            CHECK(f.pool.hasFreeSlot(replica(1), f.now + milliseconds(100)));
        }
    }
}

TEST_SUITE("session directory")
{
    TEST_CASE("a session is known at its latest replica until 10 s after its last turn")
    {
        pool_fixture f(2, 4);
        session_directory sessions(f.pool);
        sessions.assign({{"a"}, "s"}, replica(0), 100, f.now);
        sessions.assign({{"a"}, "s"}, replica(1), 200, f.now);
        sessions.expire(f.now + seconds(10));
        REQUIRE(sessions.find({{"a"}, "s"}));
        CHECK(sessions.find({{"a"}, "s"})->replica == replica(1));
        CHECK(sessions.find({{"a"}, "s"})->tokens == 200);
        CHECK(!sessions.find({{"a"}, "other"}));
        CHECK(sessions.findProgram({"a"})->replica == replica(1));
        sessions.expire(f.now + seconds(10) + milliseconds(1));
        CHECK(sessions.size() == 0);
        CHECK(!sessions.findProgram({"a"}));
    }

    // Guards against replicas that look loaded by sessions which have moved or ended.
    TEST_CASE("a session counts at one replica, and only while it is active")
    {
        pool_fixture f(2, 4);
        session_directory sessions(f.pool);
        for (int i = 0; i < 5; ++i) {
            const session_key key{{"a"}, std::to_string(i)};
            sessions.assign(key, replica(0), 100, f.now);
            sessions.assign(key, replica(1), 100, f.now);
        }
        CHECK(f.pool.leastLoaded(f.now) == replica(0));
        f.pool.acquire(replica(0));
        CHECK(f.pool.leastLoaded(f.now) == replica(0));
        sessions.expire(f.now + seconds(2));
        CHECK(f.pool.leastLoaded(f.now) == replica(1));
    }
}

} // namespace azurehill
