#include "ownership/lease.h"

#include <doctest/doctest.h>

using namespace azurehill;

namespace {

const lease_settings rules;
const time_point start{seconds(1000)};

lease_record record(std::uint64_t counter)
{
    return {{"a"}, "1", counter, 0, 0, 0};
}

} // namespace

TEST_CASE("The holder counts its lease from the sending of the renewal")
{
    lease_holder holder(rules);
    CHECK_FALSE(holder.holds(start));
    holder.onRenewed(start);
    CHECK(holder.holds(start + rules.ttl - rules.margin - milliseconds(1)));
    CHECK_FALSE(holder.holds(start + rules.ttl - rules.margin));
    SUBCASE("an answer that comes late does not shorten it")
    {
        holder.onRenewed(start + seconds(1));
        holder.onRenewed(start);
        CHECK(holder.holds(start + rules.ttl));
    }
}

TEST_CASE("An observer sees a lease lapse by its counter alone")
{
    lease_observer observer(rules);
    const duration life = rules.ttl + rules.margin;
    observer.onRead({record(5)}, start, start);
    CHECK_FALSE(observer.hasExpired({"a"}, "1"));
    SUBCASE("after its life, by a read that shows it")
    {
        observer.onRead({record(5)}, start + life, start + life);
        CHECK(observer.hasExpired({"a"}, "1"));
        CHECK_FALSE(observer.hasExpired({"a"}, "2"));
    }
    SUBCASE("a renewal starts a new life")
    {
        observer.onRead({record(6)}, start + seconds(1), start + seconds(1));
        observer.onRead({record(6)}, start + life, start + life);
        CHECK_FALSE(observer.hasExpired({"a"}, "1"));
    }
    SUBCASE("an old renewal that the table applied late is no sign of life")
    {
        observer.onRead({record(4)}, start + seconds(1), start + seconds(1));
        observer.onRead({record(4)}, start + life, start + life);
        CHECK(observer.hasExpired({"a"}, "1"));
    }
    SUBCASE("an older read proves nothing")
    {
        observer.onRead({record(6)}, start + seconds(2), start + seconds(2));
        observer.onRead({record(5)}, start, start + life + seconds(3));
        CHECK_FALSE(observer.hasExpired({"a"}, "1"));
        CHECK(observer.row({"a"})->counter == 6);
    }
}

TEST_CASE("A lease survives its text")
{
    const lease_record written{{"a"}, "f00", 7, 3, 2, 0};
    const auto read = decodeLease(encode(written));
    REQUIRE(read);
    CHECK(read->counter == 7);
    CHECK(read->loadedView == 3);
    CHECK(read->preparedView == 2);
    CHECK_FALSE(decodeLease("{}"));
}
