#include "quota/quota.h"

#include <doctest/doctest.h>

namespace azurehill {

namespace {

constexpr duration window = seconds(5);

/// \brief Ledger with a single borrower. Its reservation is practically unlimited unless a test
/// sets one.
struct ledger_fixture
{
    ledger_fixture() { ledger.setReservedCredits(1'000'000); }

    lend_verdict requestCredit(credit_use use, int quotaLimit = 100)
    {
        last = ledger.lend({{"d"}, 1, ++number}, use, quotaLimit, now);
        return last.verdict;
    }
    int requestCredits(int count, credit_use use, int quotaLimit)
    {
        int lent = 0;
        for (int i = 0; i < count; ++i)
            lent += requestCredit(use, quotaLimit) == lend_verdict::Lent ? 1 : 0;
        return lent;
    }

    credit_ledger ledger{window};
    time_point now{seconds(1000)};
    std::uint64_t number = 0;
    lend_result last;
};

} // namespace

TEST_CASE("an account gets no more credits in a window than its bound")
{
    ledger_fixture fixture;
    CHECK(fixture.requestCredits(150, credit_use::Continue, 100) == 100);

    SUBCASE("the refusal tells when a credit is there again")
    {
        CHECK(fixture.last.retryAfter > seconds(4));
        fixture.now += fixture.last.retryAfter + milliseconds(1);
        CHECK(fixture.requestCredit(credit_use::Continue) == lend_verdict::Lent);
    }
    SUBCASE("a credit that was not used is lent again")
    {
        fixture.ledger.restoreCredit({{"d"}, 1, 7});
        CHECK(fixture.requestCredits(5, credit_use::Continue, 100) == 1);
    }
    SUBCASE("one credit comes back once only")
    {
        fixture.ledger.restoreCredit({{"d"}, 1, 7});
        fixture.ledger.restoreCredit({{"d"}, 1, 7});
        CHECK(fixture.requestCredits(5, credit_use::Continue, 100) == 1);
    }
}

TEST_CASE("a request that is asked twice uses one credit")
{
    ledger_fixture fixture;
    const credit_id id{{"d"}, 1, 500};
    CHECK(fixture.ledger.lend(id, credit_use::Continue, 1, fixture.now).verdict
          == lend_verdict::Lent);
    CHECK(fixture.ledger.lend(id, credit_use::Continue, 1, fixture.now).verdict
          == lend_verdict::Lent);
    CHECK(fixture.ledger.lentCredits(fixture.now) == 1);
}

TEST_CASE("what the store does not know of is not lent")
{
    ledger_fixture fixture;
    fixture.ledger.setReservedCredits(10);
    CHECK(fixture.requestCredits(20, credit_use::Continue, 100) == 10);
    CHECK(fixture.last.verdict == lend_verdict::ReservationTooSmall);
    const int target = fixture.ledger.targetReservation(100, true, fixture.now);
    CHECK(target >= 20);
    CHECK(target <= 100);
}

TEST_CASE("what other daemons may lend is left alone")
{
    ledger_fixture fixture;
    fixture.ledger.addPeerCredits({60, fixture.now + seconds(15)});
    CHECK(fixture.requestCredits(100, credit_use::Continue, 100) == 40);
    fixture.now += seconds(16);
    CHECK(fixture.requestCredits(100, credit_use::Continue, 100) == 100);
}

// Guards against an account over its limit that starts more programs than its quota lets it finish.
TEST_CASE("programs under way find credits while too many want to begin")
{
    ledger_fixture fixture;
    // Train the estimate with programs of ten requests each.
    for (int i = 0; i < 30; ++i) {
        fixture.requestCredit(credit_use::Begin, 1000);
        fixture.requestCredits(9, credit_use::Continue, 1000);
        fixture.now += seconds(1);
    }
    fixture.now += seconds(6);
    const int begun = fixture.requestCredits(500, credit_use::Begin, 200);
    CHECK(begun >= 10);
    CHECK(begun <= 30);
    CHECK(fixture.requestCredits(9 * begun, credit_use::Continue, 200) >= 150);
}

TEST_CASE("an account whose limit is below one program's requests still begins one")
{
    ledger_fixture fixture;
    CHECK(fixture.requestCredit(credit_use::Begin, 3) == lend_verdict::Lent);
}

} // namespace azurehill
