#include "lost_request_fixture.h"

namespace azurehill::test {

TEST_SUITE("evidence against a request")
{
    // Guards against a loss of power that takes along what all daemons know.
    TEST_CASE("outlives all daemons")
    {
        int endsBefore = 0;
        SUBCASE("that lose power after the first end of a replica")
        {
            endsBefore = 1;
        }
        SUBCASE("that lose power after the second one")
        {
            endsBefore = 2;
        }
        SUBCASE("that lose power after the third one")
        {
            endsBefore = maxEnded;
        }
        for (const std::string_view prefix : prefixes) {
            CAPTURE(std::string(prefix));
            const std::string target = fmt::format("{}marked", prefix);
            lost_request_fixture fixture(disruption::ClosesBeforeHead, true);
            fixture.askUntilEnded(endsBefore, target);
            fixture.losePower();
            for (std::size_t host = 0; host < hosts; ++host)
                fixture.ask(host, target);
            fixture.losePower();
            fixture.introduce();
            fixture.askFor(seconds(6), target);
            CHECK(fixture.countEnded() == maxEnded);
            CHECK(fixture.sentAfterwards == 0);
            CHECK(fixture.refusedOthers == 0);
        }
    }

    // Guards against a daemon that serves before it knows what the others know.
    TEST_CASE("is known to a daemon that has just started")
    {
        const std::string target = "/unsafe/marked";
        lost_request_fixture fixture(disruption::ClosesBeforeHead, true);
        fixture.askUntilEnded(maxEnded, target);

        SUBCASE("and has not met the others")
        {
            for (std::size_t host = 0; host < hosts; ++host) {
                fixture.restart(host);
                CHECK(fixture.ask(host, target).starts_with("HTTP/1.1 503"));
                fixture.introduce();
            }
            CHECK(fixture.ask(0, "/safe/other").starts_with("HTTP/1.1 200"));
        }
        SUBCASE("or it refuses what it can't decide, while the store is away")
        {
            fixture.setStoreAway(true);
            fixture.losePower();
            CHECK(fixture.ask(0, target).find("Retry-After") != std::string::npos);
            fixture.setStoreAway(false);
            fixture.wait(seconds(2));
            CHECK(fixture.ask(0, target).starts_with("HTTP/1.1 503"));
            CHECK(fixture.ask(0, "/safe/other").starts_with("HTTP/1.1 200"));
        }
        CHECK(fixture.sentAfterwards == 0);
    }

    // Guards against evidence that is written while the store is away, and then never again.
    TEST_CASE("is stored once the store is back")
    {
        const std::string target = "/unsafe/marked";
        lost_request_fixture fixture(disruption::ClosesBeforeHead, true);
        fixture.setStoreAway(true);
        fixture.askUntilEnded(maxEnded, target);
        fixture.setStoreAway(false);
        fixture.wait(seconds(3));
        fixture.losePower();
        for (std::size_t host = 0; host < hosts; ++host)
            fixture.ask(host, target);
        CHECK(fixture.sentAfterwards == 0);
    }

    // Guards against a daemon that ends while a replica works on its send, and takes it along.
    TEST_CASE("outlives the daemon of a send in flight, once one send was lost")
    {
        const std::string target = "/unsafe/marked";
        lost_request_fixture fixture(disruption::ClosesBeforeHead, true);
        fixture.askUntilEnded(1, target);
        fixture.askAndRestart(1, target);
        fixture.introduce();
        fixture.askFor(seconds(6), target);
        CHECK(fixture.countEnded() == maxEnded);
        CHECK(fixture.sentAfterwards == 0);
    }

    // Guards against the notice of a drain that clears a replica, which then ends at once.
    TEST_CASE("counts a replica that ends before its drain time is over")
    {
        for (const std::string_view prefix : prefixes) {
            CAPTURE(std::string(prefix));
            lost_request_fixture fixture(disruption::DrainsBeforeEnd, true);
            fixture.askFor(seconds(12), fmt::format("{}marked", prefix));
            CHECK(fixture.countEnded() == maxEnded);
            CHECK(fixture.sentAfterwards == 0);
            CHECK(fixture.refusedOthers == 0);
        }
    }

    // Guards against hosts that don't reach each other, and let three replicas end each.
    TEST_CASE("crosses a cut between the hosts")
    {
        for (const std::string_view prefix : prefixes) {
            CAPTURE(std::string(prefix));
            lost_request_fixture fixture(disruption::ClosesBeforeHead, true);
            fixture.cutLinks();
            fixture.askFor(seconds(12), fmt::format("{}marked", prefix));
            CHECK(fixture.sentAfterwards == 0);
            CHECK(fixture.refusedOthers == 0);
        }
    }

    // Guards against attempts at the same time, each of which believes itself to be the last one.
    TEST_CASE("counts sends in flight, once one send was lost")
    {
        for (const std::string_view prefix : prefixes) {
            CAPTURE(std::string(prefix));
            const std::string target = fmt::format("{}marked", prefix);
            lost_request_fixture fixture(disruption::ClosesBeforeHead, true);
            fixture.askUntilEnded(1, target);
            for (int round = 0; round < 4; ++round) {
                fixture.askAtOnce(hosts, target);
                fixture.wait(clientPause);
            }
            CHECK(fixture.countEnded() == maxEnded);
            CHECK(fixture.sentAfterwards == 0);
        }
    }
}

} // namespace azurehill::test
