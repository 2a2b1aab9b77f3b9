#include "journal/record.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace azurehill;

// A tool answers with a PDF, whose bytes are not valid UTF-8. Stored unencoded in a JSON row, they
// would make the row unreadable, and the program would be lost when its daemon dies.
TEST_CASE("A reply of any bytes survives the journal")
{
    CHECK(rc::check([](const std::string &body) {
        const call_finished record{{"p"}, 1, "k", 2, 200, "", body, "application/pdf"};
        const std::string row = boost::json::serialize(toJson(journal_record(record)));
        const auto back = recordFromJson(boost::json::parse(row));
        RC_ASSERT(back.has_value());
        RC_ASSERT(std::get<call_finished>(*back).reply == body);
        RC_ASSERT(std::get<call_finished>(*back).contentType == "application/pdf");
    }));
}
