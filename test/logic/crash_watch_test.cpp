#include "quarantine/quarantine.h"

#include <doctest/doctest.h>

#include <array>
#include <vector>

namespace azurehill {

namespace {

/// \brief Test fixture: a replica as this daemon sees it, which lost a send of a request.
class watch_fixture
{
public:
    /// \param workTime time for which the replica may work on the request after the loss.
    void lose(send_loss loss, duration workTime = duration::zero(), bool wasLeaving = false)
    {
        watch.onSendLost({request, replica, 1}, {loss, now + workTime, wasLeaving}, lookup(), now);
    }
    void wait(duration time)
    {
        now += time;
        watch.update(lookup(), now);
    }
    /// \returns the fates that were found since the last call.
    std::vector<replica_fate> fates()
    {
        std::vector<replica_fate> result;
        for (const crash_finding &finding : watch.takeFindings())
            result.push_back(finding.fate);
        return result;
    }

    time_point now{seconds(100)};
    replica_sight sight{true, false, now};
    const request_fingerprint request = fingerprintOf(std::array<std::string_view, 1>{"request"});
    const replica_incarnation replica{{"i-1"}, 5};
    crash_watch watch;

private:
    replica_lookup lookup()
    {
        return [this](const replica_incarnation &) { return sight; };
    }
};

using fate_list = std::vector<replica_fate>;

} // namespace

TEST_SUITE("replicas that lost a request")
{
    TEST_CASE_FIXTURE(watch_fixture, "a connection that ends is a reason to look at its replica")
    {
        lose(send_loss::ConnectionEnded);
        CHECK(fates() == fate_list{replica_fate::Suspected});

        SUBCASE("whose entry lapses: it ended under the request")
        {
            sight.isListed = false;
            wait(seconds(3));
            CHECK(fates() == fate_list{replica_fate::Ended});

            // Guards against a request that is refused because entries lapsed with the store away.
            SUBCASE("unless the entry comes back: the store was away")
            {
                wait(seconds(4));
                sight.isListed = true;
                wait(seconds(1));
                CHECK(fates() == fate_list{replica_fate::Cleared});
                CHECK(watch.size() == 0);
            }
        }
        SUBCASE("whose address another process has: it ended under the request")
        {
            watch.onAddressTaken(replica, now);
            CHECK(fates() == fate_list{replica_fate::Ended});
            wait(seconds(1));
            CHECK(fates().empty());
        }
        // Guards against a replica that only breaks answers off counting as one that ended.
        SUBCASE("which answers others later: it lives on")
        {
            sight.lastReceivedAt = now + milliseconds(150);
            wait(milliseconds(200));
            CHECK(fates() == fate_list{replica_fate::Cleared});
        }
        SUBCASE("bytes of which were still under way: that says nothing")
        {
            sight.lastReceivedAt = now + milliseconds(5);
            wait(milliseconds(200));
            CHECK(fates().empty());
        }
        // Guards against a suspicion that expires although nothing was learnt of the replica.
        SUBCASE("of which nothing more becomes known: it stays a suspicion")
        {
            wait(seconds(15));
            CHECK(fates().empty());
            CHECK(watch.size() == 0);
        }
        SUBCASE("which says later that it leaves: it still runs")
        {
            sight.isDraining = true;
            sight.drainNotBefore = now + milliseconds(150);
            wait(seconds(1));
            CHECK(fates() == fate_list{replica_fate::Cleared});
        }
        // Guards against a replica that announces its end and ends before that is seen.
        SUBCASE("which may have said before that it leaves: that shows nothing")
        {
            sight.isDraining = true;
            sight.drainNotBefore = now - milliseconds(150);
            wait(seconds(1));
            CHECK(fates().empty());
            sight.isListed = false;
            wait(seconds(3));
            CHECK(fates() == fate_list{replica_fate::Ended});
        }
    }

    // Guards against losses that are recognised by the error of the connection, or only after an
    // entry has lapsed.
    TEST_CASE_FIXTURE(watch_fixture, "a send that is lost in another way is a suspicion at once")
    {
        for (const send_loss loss : {send_loss::GivenUp, send_loss::Malformed}) {
            CAPTURE(std::string(toName(loss)));
            lose(loss, seconds(4));
            CHECK(fates() == fate_list{replica_fate::Suspected});
            watch = crash_watch();
        }
        lose(send_loss::GivenUp, seconds(4));
        fates();

        SUBCASE("the replica ended if its entry lapses")
        {
            sight.isListed = false;
            wait(seconds(3));
            CHECK(fates() == fate_list{replica_fate::Ended});
        }
        // Guards against a request that ends its replica after it has answered others.
        SUBCASE("a sign of life says nothing while the replica may work on the request")
        {
            sight.lastReceivedAt = now + seconds(1);
            wait(seconds(2));
            CHECK(fates().empty());
            sight.isListed = false;
            wait(seconds(1));
            CHECK(fates() == fate_list{replica_fate::Ended});
        }
        SUBCASE("a sign of life after that time clears it")
        {
            sight.lastReceivedAt = now + seconds(5);
            wait(seconds(6));
            CHECK(fates() == fate_list{replica_fate::Cleared});
        }
    }

    // Guards against a process that closes the connection, answers others, and only then ends.
    TEST_CASE_FIXTURE(watch_fixture, "a replica that closed the connection may still end")
    {
        lose(send_loss::ConnectionEnded, seconds(4));
        const std::vector<crash_finding> found = watch.takeFindings();
        REQUIRE(found.size() == 1);
        CHECK(found.front().workLeft == duration::zero());
        CHECK(found.front().endLeft == seconds(4));

        sight.lastReceivedAt = now + seconds(1);
        wait(seconds(2));
        CHECK(fates().empty());
        SUBCASE("under the request, until its deadline")
        {
            sight.isListed = false;
            wait(seconds(1));
            CHECK(fates() == fate_list{replica_fate::Ended});
        }
        SUBCASE("for other reasons, afterwards")
        {
            sight.lastReceivedAt = now + seconds(3);
            wait(seconds(4));
            CHECK(fates() == fate_list{replica_fate::Cleared});
        }
    }

    TEST_CASE_FIXTURE(watch_fixture,
                      "a replica that answered others before it ended did not run the "
                      "request any more")
    {
        lose(send_loss::GivenUp);
        sight.lastReceivedAt = now + seconds(1);
        wait(seconds(2));
        sight.isListed = false;
        wait(seconds(1));
        CHECK(fates() == fate_list{replica_fate::Suspected, replica_fate::Cleared});
    }

    TEST_CASE_FIXTURE(watch_fixture, "an answer that ended with its connection may be whole")
    {
        lose(send_loss::EndedWithConnection);
        CHECK(fates().empty());
        SUBCASE("it was not if the replica ended")
        {
            sight.isListed = false;
            wait(seconds(3));
            CHECK(fates() == fate_list{replica_fate::Ended});
        }
        SUBCASE("it was if the replica lives on")
        {
            sight.lastReceivedAt = now + seconds(1);
            wait(seconds(2));
            CHECK(fates().empty());
            CHECK(watch.size() == 0);
        }
    }

    // Guards against a send that outlives the entry of its replica, and is then passed over.
    TEST_CASE_FIXTURE(watch_fixture, "a send that is lost after the entry lapsed counts")
    {
        sight.isListed = false;
        lose(send_loss::GivenUp);
        CHECK(fates() == fate_list{replica_fate::Ended});
        SUBCASE("unless the entry comes back: the store was away")
        {
            sight.isListed = true;
            wait(seconds(1));
            CHECK(fates() == fate_list{replica_fate::Cleared});
        }
    }

    // Guards against a planned end of a replica counting as a crash.
    TEST_CASE_FIXTURE(watch_fixture, "a replica that ends as announced did not end under a request")
    {
        bool wasLeaving = false;
        SUBCASE("it drained for its drain time")
        {
            sight.isDraining = true;
            sight.drainDeadline = now;
        }
        SUBCASE("it drained, and its entry was removed before the send was lost")
        {
            sight.isListed = false;
            wasLeaving = true;
        }
        lose(send_loss::ConnectionEnded, duration::zero(), wasLeaving);
        wait(seconds(3));
        CHECK(fates().empty());
    }

    // Guards against a notice of drain that makes a replica's crash a planned end.
    TEST_CASE_FIXTURE(watch_fixture, "a replica that ends before its drain time is over counts")
    {
        sight.isDraining = true;
        sight.drainNotBefore = now - milliseconds(100);
        sight.drainDeadline = now + seconds(2);
        lose(send_loss::ConnectionEnded);
        CHECK(fates() == fate_list{replica_fate::Suspected});
        SUBCASE("as ended once its entry is gone, even after that time")
        {
            wait(seconds(3));
            CHECK(fates().empty());
            sight.isListed = false;
            wait(seconds(1));
            CHECK(fates() == fate_list{replica_fate::Ended});
        }
        SUBCASE("unless it goes on to answer others")
        {
            sight.lastReceivedAt = now + seconds(1);
            wait(seconds(1));
            CHECK(fates() == fate_list{replica_fate::Cleared});
        }
    }

    TEST_CASE_FIXTURE(watch_fixture, "the number of watched sends is bounded")
    {
        for (std::uint64_t i = 0; i < 2 * crash_watch::maxWatched; ++i)
            watch.onSendLost(
                {request, replica, i}, {send_loss::GivenUp, now, false},
                [this](const replica_incarnation &) { return sight; }, now);
        CHECK(watch.size() == crash_watch::maxWatched);
        // Unwatched sends are reported as suspicions too.
        CHECK(fates().size() == 2 * crash_watch::maxWatched);
    }

    TEST_CASE("a fingerprint tells requests apart by every field and by their borders")
    {
        const auto of
            = [](std::array<std::string_view, 3> fields) { return fingerprintOf(fields); };
        CHECK(of({"a", "b", "c"}) == of({"a", "b", "c"}));
        CHECK(of({"a", "b", "c"}) != of({"a", "b", "d"}));
        CHECK(of({"a", "b", "c"}) != of({"b", "a", "c"}));
        CHECK(of({"ab", "", "c"}) != of({"a", "b", "c"}));
        const request_fingerprint one = of({"a", "b", "c"});
        CHECK(parseFingerprint(toText(one)) == one);
        CHECK_FALSE(parseFingerprint(toText(one).substr(1)));
        CHECK_FALSE(parseFingerprint("no hexadecimal digits in this..."));
    }
}

} // namespace azurehill
