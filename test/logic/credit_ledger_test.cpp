#include "quota/quota.h"

#include <doctest/doctest.h>

namespace azurehill {

namespace {

constexpr duration window = seconds(5);

/// \brief Lends to one borrower, with a level that bounds nothing unless a test sets one.
struct ledger_fixture
{
    ledger_fixture() { ledger.setReservedCredits(1'000'000); }

    lend_verdict ask(credit_use use, int most = 100)
    {
        last = ledger.lend({{"d"}, 1, ++number}, use, most, now);
        return last.verdict;
    }
    int requestCredits(int count, credit_use use, int most)
    {
        int lent = 0;
        for (int i = 0; i < count; ++i)
            lent += ask(use, most) == lend_verdict::Lent ? 1 : 0;
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
    ledger_fixture desk;
    CHECK(desk.requestCredits(150, credit_use::Continue, 100) == 100);

    SUBCASE("the refusal tells when a credit is there again")
    {
        CHECK(desk.last.retryAfter > seconds(4));
        desk.now += desk.last.retryAfter + milliseconds(1);
        CHECK(desk.ask(credit_use::Continue) == lend_verdict::Lent);
    }
    SUBCASE("a credit that was not used is lent again")
    {
        desk.ledger.restoreCredit({{"d"}, 1, 7});
        CHECK(desk.requestCredits(5, credit_use::Continue, 100) == 1);
    }
    SUBCASE("one credit comes back once only")
    {
        desk.ledger.restoreCredit({{"d"}, 1, 7});
        desk.ledger.restoreCredit({{"d"}, 1, 7});
        CHECK(desk.requestCredits(5, credit_use::Continue, 100) == 1);
    }
}

TEST_CASE("a request that is asked twice uses one credit")
{
    ledger_fixture desk;
    const credit_id id{{"d"}, 1, 500};
    CHECK(desk.ledger.lend(id, credit_use::Continue, 1, desk.now).verdict == lend_verdict::Lent);
    CHECK(desk.ledger.lend(id, credit_use::Continue, 1, desk.now).verdict == lend_verdict::Lent);
    CHECK(desk.ledger.lent(desk.now) == 1);
}

TEST_CASE("what the store does not know of is not lent")
{
    ledger_fixture desk;
    desk.ledger.setReservedCredits(10);
    CHECK(desk.requestCredits(20, credit_use::Continue, 100) == 10);
    CHECK(desk.last.verdict == lend_verdict::ReservationTooSmall);
    const int wanted = desk.ledger.targetReservation(100, true, desk.now);
    CHECK(wanted >= 20);
    CHECK(wanted <= 100);
}

TEST_CASE("what other daemons may lend is left alone")
{
    ledger_fixture desk;
    desk.ledger.addPeerCredits({60, desk.now + seconds(15)});
    CHECK(desk.requestCredits(100, credit_use::Continue, 100) == 40);
    desk.now += seconds(16);
    CHECK(desk.requestCredits(100, credit_use::Continue, 100) == 100);
}

// Guards against an account over its limit that begins more programs than it can end.
TEST_CASE("programs under way find credits while too many want to begin")
{
    ledger_fixture desk;
    // Programs of ten requests each.
    for (int i = 0; i < 30; ++i) {
        desk.ask(credit_use::Begin, 1000);
        desk.requestCredits(9, credit_use::Continue, 1000);
        desk.now += seconds(1);
    }
    desk.now += seconds(6);
    const int begun = desk.requestCredits(500, credit_use::Begin, 200);
    CHECK(begun >= 10);
    CHECK(begun <= 30);
    CHECK(desk.requestCredits(9 * begun, credit_use::Continue, 200) >= 150);
}

TEST_CASE("an account whose limit is below one program's requests still begins one")
{
    ledger_fixture desk;
    CHECK(desk.ask(credit_use::Begin, 3) == lend_verdict::Lent);
}

} // namespace azurehill
