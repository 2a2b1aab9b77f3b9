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
    void lose(send_loss loss) { watch.onSendLost({request, replica, 1}, loss, lookup(), now); }
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
        SUBCASE("of which nothing more becomes known: the suspicion is dropped")
        {
            wait(seconds(15));
            CHECK(fates() == fate_list{replica_fate::Cleared});
        }
        SUBCASE("which says that it leaves: it still runs")
        {
            sight.isDraining = true;
            wait(seconds(1));
            CHECK(fates() == fate_list{replica_fate::Cleared});
        }
    }

    // Guards against slow replicas and cut connections counting as crashes.
    TEST_CASE_FIXTURE(watch_fixture, "a send without an answer says nothing by itself")
    {
        lose(send_loss::Unanswered);
        CHECK(fates().empty());

        SUBCASE("the replica ended if its entry lapses without a sign of life")
        {
            sight.isListed = false;
            wait(seconds(3));
            CHECK(fates() == fate_list{replica_fate::Ended});
        }
        SUBCASE("a replica that answered others before it ended did not run the request any more")
        {
            sight.lastReceivedAt = now + seconds(1);
            wait(seconds(2));
            sight.isListed = false;
            wait(seconds(1));
            CHECK(fates().empty());
        }
    }

    // Guards against a planned end of a replica counting as a crash.
    TEST_CASE_FIXTURE(watch_fixture, "a replica that ends as announced did not end under a request")
    {
        SUBCASE("it drains")
        {
            sight.isDraining = true;
        }
        SUBCASE("its entry was removed before")
        {
            sight.isListed = false;
        }
        lose(send_loss::ConnectionEnded);
        wait(seconds(3));
        CHECK(fates().empty());
    }

    TEST_CASE_FIXTURE(watch_fixture, "the number of watched sends is bounded")
    {
        for (std::uint64_t i = 0; i < 2 * crash_watch::maxWatched; ++i)
            watch.onSendLost(
                {request, replica, i}, send_loss::Unanswered,
                [this](const replica_incarnation &) { return sight; }, now);
        CHECK(watch.size() == crash_watch::maxWatched);
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
