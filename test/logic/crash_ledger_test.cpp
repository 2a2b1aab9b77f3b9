#include "quarantine/quarantine.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <random>

namespace azurehill {

namespace {

const time_point start{seconds(1000)};

request_fingerprint requestNumber(std::uint64_t number)
{
    const std::string text = std::to_string(number);
    return fingerprintOf(std::array<std::string_view, 1>{text});
}

crash_report lossOf(std::uint64_t request, std::uint64_t replica, replica_fate fate)
{
    return {requestNumber(request), duration::zero(), {{replica, 10 * replica, fate}}};
}

template <class Verdict>
bool is(const send_verdict &verdict)
{
    return std::holds_alternative<Verdict>(verdict);
}

} // namespace

TEST_SUITE("crash ledger")
{
    TEST_CASE("a request may be sent until three replicas have ended under it")
    {
        crash_ledger ledger;
        const auto verdict = [&](duration after = duration::zero()) {
            return ledger.verdict(requestNumber(1), start + after);
        };
        const auto lose = [&](std::uint64_t replica, replica_fate fate) {
            return ledger.merge(lossOf(1, replica, fate), start);
        };
        CHECK(is<send_allowed>(verdict()));
        lose(1, replica_fate::Ended);
        lose(2, replica_fate::Ended);
        CHECK(std::get<send_allowed>(verdict()).crashes == 2);
        CHECK(crash_ledger::isLastAllowed(verdict()));

        SUBCASE("the third one ends it")
        {
            lose(3, replica_fate::Ended);
            CHECK(std::get<send_rejected>(verdict()).endedReplicas == 3);
            // Guards against one client's crashes being another request's.
            CHECK(is<send_allowed>(ledger.verdict(requestNumber(2), start)));

            SUBCASE("until an operator lifts it")
            {
                CHECK(ledger.lift(requestNumber(1), start));
                CHECK(is<send_allowed>(verdict()));
                SUBCASE("and reports from before that say nothing new")
                {
                    CHECK_FALSE(lose(3, replica_fate::Ended));
                    CHECK(is<send_allowed>(verdict()));
                }
            }
            SUBCASE("until its lifetime is over")
            {
                CHECK(is<send_rejected>(verdict(crash_ledger::lifetime - seconds(1))));
                CHECK(is<send_allowed>(verdict(crash_ledger::lifetime)));
                ledger.expire(start + crash_ledger::lifetime);
                CHECK(ledger.size() == 0);
            }
        }
        SUBCASE("while the third one may have ended, nobody can be sure")
        {
            lose(3, replica_fate::Suspected);
            CHECK(std::get<send_deferred>(verdict()).retryAfter == seconds(5));
            CHECK(std::get<send_deferred>(verdict(seconds(10))).retryAfter > duration::zero());

            // Guards against a request that merely stood beside a broken answer being refused.
            SUBCASE("and if it lived on, the request may be sent")
            {
                lose(3, replica_fate::Cleared);
                CHECK(is<send_allowed>(verdict()));
            }
            SUBCASE("and if it ended, the request may not be sent")
            {
                lose(3, replica_fate::Ended);
                CHECK(is<send_rejected>(verdict()));
            }
            // Guards against a suspicion that time clears although nothing was learnt.
            SUBCASE("and while nothing more becomes known, it stays so")
            {
                CHECK(is<send_deferred>(verdict(crash_ledger::suspicionLifetime - seconds(1))));
            }
            SUBCASE("but not for ever, since memory is bounded")
            {
                CHECK(is<send_allowed>(verdict(crash_ledger::suspicionLifetime)));
            }
            SUBCASE("and if a replica may work on, the client learns until when")
            {
                crash_report report = lossOf(1, 4, replica_fate::Suspected);
                report.workLeft = seconds(7);
                ledger.merge(report, start);
                CHECK(std::get<send_deferred>(verdict()).retryAfter == seconds(7));
                CHECK(ledger.suspicions(requestNumber(1), start).empty());
                CHECK(ledger.suspicions(requestNumber(1), start + seconds(7)).size() == 2);
            }
        }
        SUBCASE("one replica that lost two sends counts once")
        {
            ledger.merge({requestNumber(1), duration::zero(), {{2, 99, replica_fate::Ended}}},
                         start);
            CHECK(std::get<send_allowed>(verdict()).crashes == 2);
        }
    }

    // Guards against a suspicion that is lost with the daemon that could have settled it.
    TEST_CASE("a suspicion that nobody settles is settled by the list of replicas")
    {
        crash_ledger ledger;
        for (const std::uint64_t replica : {1, 2, 3})
            ledger.merge(lossOf(1, replica, replica_fate::Suspected), start);
        const fate_lookup unlisted
            = [](std::uint64_t) { return std::optional(replica_fate::Ended); };
        const fate_lookup listed = [](std::uint64_t) { return std::optional<replica_fate>(); };
        const time_point early = start + crash_ledger::adoptionTime - seconds(1);
        const time_point due = start + crash_ledger::adoptionTime;
        CHECK(ledger.adoptSuspicions(unlisted, early).empty());
        CHECK(ledger.adoptSuspicions(listed, due).empty());
        CHECK(is<send_deferred>(ledger.verdict(requestNumber(1), due)));
        CHECK(ledger.adoptSuspicions(unlisted, due).size() == 1);
        CHECK(is<send_rejected>(ledger.verdict(requestNumber(1), due)));
    }

    TEST_CASE("daemons that have the same reports decide alike")
    {
        CHECK(rc::check("whatever the order and the number of copies", [] {
            const auto fates = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
            std::vector<crash_report> reports;
            for (std::size_t i = 0; i < fates.size(); ++i) {
                reports.push_back(lossOf(1, i % 5, static_cast<replica_fate>(fates[i])));
            }
            std::vector<crash_report> shuffled = reports;
            shuffled.insert(shuffled.end(), reports.begin(), reports.end());
            const auto seed = *rc::gen::arbitrary<std::uint32_t>();
            std::shuffle(shuffled.begin(), shuffled.end(), std::minstd_rand(seed));
            crash_ledger one;
            crash_ledger other;
            for (const crash_report &r : reports)
                one.merge(r, start);
            for (const crash_report &r : shuffled)
                other.merge(r, start);
            const send_verdict a = one.verdict(requestNumber(1), start);
            const send_verdict b = other.verdict(requestNumber(1), start);
            RC_ASSERT(a.index() == b.index());
        }));
    }

    // Guards against attempts at the same time, and against a daemon that ends with a send in
    // flight.
    TEST_CASE("sends in flight count once others were lost")
    {
        constexpr duration workTime = seconds(4);
        crash_ledger ledger;
        crash_report pending;
        pending.request = requestNumber(1);
        pending.inFlight = {{7, 70, workTime}};
        const auto verdict = [&](duration after = duration::zero()) {
            return ledger.verdict(requestNumber(1), start + after);
        };
        ledger.merge(lossOf(1, 1, replica_fate::Ended), start);
        ledger.merge(lossOf(1, 2, replica_fate::Suspected), start);
        CHECK(ledger.merge(pending, start));
        CHECK_FALSE(ledger.merge(pending, start));
        CHECK(std::get<send_deferred>(verdict()).retryAfter == milliseconds(500));
        CHECK(ledger.isInFlight(requestNumber(1), 70));

        SUBCASE("but not against themselves")
        {
            const crash_evidence own{7, 70, replica_fate::Suspected};
            CHECK(is<send_allowed>(ledger.verdict(requestNumber(1), start, {own})));
        }
        SUBCASE("until they are answered")
        {
            ledger.merge({requestNumber(1), duration::zero(), {{7, 70, replica_fate::Cleared}}},
                         start);
            CHECK(std::get<send_allowed>(verdict()).crashes == 2);
            SUBCASE("and later reports of the flight say nothing new")
            {
                CHECK_FALSE(ledger.merge(pending, start));
                CHECK(is<send_allowed>(verdict()));
            }
        }
        SUBCASE("and when they are lost as well, they count once")
        {
            ledger.merge({requestNumber(1), duration::zero(), {{7, 70, replica_fate::Suspected}}},
                         start);
            CHECK_FALSE(ledger.isInFlight(requestNumber(1), 70));
            ledger.merge(lossOf(1, 2, replica_fate::Ended), start);
            CHECK(is<send_deferred>(verdict()));
            ledger.merge({requestNumber(1), duration::zero(), {{7, 70, replica_fate::Ended}}},
                         start);
            CHECK(std::get<send_rejected>(verdict()).endedReplicas == 3);
        }
        SUBCASE("and become suspicions if nothing more is told of them")
        {
            CHECK(ledger.suspicions(requestNumber(1), start).size() == 1);
            CHECK(ledger.suspicions(requestNumber(1), start + workTime).size() == 2);
            const auto ended = [](std::uint64_t) { return std::optional(replica_fate::Ended); };
            ledger.adoptSuspicions(ended, start + crash_ledger::adoptionTime);
            CHECK(is<send_rejected>(verdict(crash_ledger::adoptionTime)));
        }
        SUBCASE("and are told to others")
        {
            const crash_report report = *ledger.find(requestNumber(1), start + seconds(1));
            const std::vector<send_in_flight> expected{{7, 70, workTime - seconds(1)}};
            CHECK(report.inFlight == expected);
            const auto decoded = decodeCrashMessage(encodeCrashMessage(crash_notice{1, {report}}));
            REQUIRE(decoded);
            CHECK(std::get<crash_notice>(*decoded).reports.front().inFlight == expected);
        }
    }

    // Guards against a wave of crashes that makes the daemon forget the requests that it refuses.
    TEST_CASE("its memory is bounded, and refused requests are the last to be forgotten")
    {
        crash_ledger ledger;
        for (std::uint64_t replica = 1; replica <= 3; ++replica)
            ledger.merge(lossOf(0, replica, replica_fate::Ended), start);
        for (std::uint64_t i = 1; i < crash_ledger::maxRequests + 100; ++i)
            ledger.merge(lossOf(i, 1, replica_fate::Ended), start + milliseconds(i));
        CHECK(ledger.size() == crash_ledger::maxRequests);
        CHECK(is<send_rejected>(ledger.verdict(requestNumber(0), start + seconds(10))));
        for (std::uint64_t i = 1; i < 2 * crash_ledger::maxEvidence; ++i)
            ledger.merge(lossOf(0, 100 + i, replica_fate::Suspected), start);
        CHECK(ledger.find(requestNumber(0), start)->evidence.size() == crash_ledger::maxEvidence);
    }

    TEST_CASE("a message is decoded as it was encoded, or refused")
    {
        const crash_notice notice{7,
                                  {{requestNumber(1),
                                    seconds(2),
                                    {{~0ULL, 3, replica_fate::Ended}},
                                    seconds(3),
                                    seconds(4)}}};
        const auto decoded = decodeCrashMessage(encodeCrashMessage(notice));
        REQUIRE(decoded);
        const auto &again = std::get<crash_notice>(*decoded);
        CHECK(again.number == 7);
        CHECK(again.reports.front().request == requestNumber(1));
        CHECK(again.reports.front().age == seconds(2));
        CHECK(again.reports.front().workLeft == seconds(3));
        CHECK(again.reports.front().endLeft == seconds(4));
        CHECK(again.reports.front().evidence == notice.reports.front().evidence);
        CHECK(std::holds_alternative<crash_query>(
            *decodeCrashMessage(encodeCrashMessage(crash_query()))));
        CHECK_FALSE(decodeCrashMessage("[9,1,[]]"));
        CHECK_FALSE(decodeCrashMessage(R"([0,1,[["short",0,[]]]])"));
        CHECK_FALSE(
            decodeCrashMessage(R"([0,1,[["00000000000000000000000000000000",0,[[1,1,7]]]]])"));
    }
}

} // namespace azurehill
