#include "quarantine/quarantine.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>

namespace azurehill {

namespace {

const request_fingerprint request = fingerprintOf(std::array<std::string_view, 1>{"request"});

stored_row rowOf(const row_value &row)
{
    return {row.name, row.value, 7};
}

} // namespace

TEST_SUITE("rows of lost sends")
{
    TEST_CASE("a row is decoded as it was encoded")
    {
        CHECK(rc::check([](std::uint64_t replica, std::uint64_t send) {
            const crash_evidence evidence{
                replica, send, *rc::gen::element(replica_fate::Suspected, replica_fate::Ended)};
            const crash_report report{request, seconds(9), {evidence}, seconds(3), seconds(4)};
            const auto again = crash_rows::decode(rowOf(crash_rows::encode(report, evidence)));
            RC_ASSERT(again);
            RC_ASSERT(again->request == request);
            RC_ASSERT(again->evidence == report.evidence);
            RC_ASSERT(again->workLeft == seconds(3));
            RC_ASSERT(again->endLeft == seconds(4));
            RC_ASSERT(again->age == duration::zero());
        }));
    }

    TEST_CASE("the rows of a request are those of its range")
    {
        const row_range range = crash_rows::ofRequest(request);
        for (const std::uint64_t send : {std::uint64_t(0), ~std::uint64_t(0)}) {
            const row_name name = crash_rows::nameOf(request, send);
            CHECK(name.key >= range.from);
            CHECK(name.key < range.to);
        }
        const request_fingerprint other = fingerprintOf(std::array<std::string_view, 1>{"other"});
        const std::string key = crash_rows::nameOf(other, 1).key;
        CHECK((key < range.from || key >= range.to));
    }

    // Guards against a row of another writer that ends the daemon, or counts against a request.
    TEST_CASE("a row that holds no lost send is refused")
    {
        crash_report report;
        report.request = request;
        const stored_row good = rowOf(crash_rows::encode(report, {1, 2, replica_fate::Suspected}));
        REQUIRE(crash_rows::decode(good));
        stored_row row = good;
        for (const std::string_view value :
             {"", "[]", "{}", "[1]", R"([1,"asleep",0,0])", R"([1,"ended",0])",
              R"([-1,"ended",0,0])", R"([1,"ended","x",0])", R"([1,"ended",0,0)"}) {
            CAPTURE(std::string(value));
            row.value = value;
            CHECK_FALSE(crash_rows::decode(row));
        }
        row = good;
        for (const std::string &key :
             {std::string(), toText(request), toText(request) + "/", toText(request) + "/12",
              toText(request) + "/000000000000000x", std::string("short/0000000000000001")}) {
            CAPTURE(key);
            row.name.key = key;
            CHECK_FALSE(crash_rows::decode(row));
        }
        row = good;
        row.isReadable = false;
        CHECK_FALSE(crash_rows::decode(row));
    }
}

} // namespace azurehill
