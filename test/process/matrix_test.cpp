#include "process/matrix.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <sstream>

using namespace azurehill::proof;

namespace {

matrix matrixOf(const std::string &text)
{
    std::istringstream in(text + "\n* | * | - not tried\n");
    return readMatrix(in);
}

} // namespace

TEST_CASE("Fault matrix")
{
    const matrix m = matrixOf("journal | store down | Store down\n"
                              "journal | * | - later");
    result_table results;
    readResults(R"(<TestCase name="Store down"><OverallResultsAsserts successes="3" failures="0" )"
                R"(test_case_success="true"/></TestCase>)",
                results);

    SUBCASE("a cell with a test shows its result")
    {
        CHECK(faultsOf(m, results).empty());
        CHECK(page(m, results).find("T1 passed") != std::string::npos);
        CHECK(page(m, results).find("1 of 180 cells") != std::string::npos);
    }
    SUBCASE("a failed test shows")
    {
        readResults(R"(<TestCase name="Store down"><OverallResultsAsserts )"
                    R"(test_case_success="false"/></TestCase>)",
                    results);
        CHECK(page(m, results).find("T1 FAILED") != std::string::npos);
    }
    SUBCASE("a cell that names a test that doesn't exist is a fault")
    {
        results.clear();
        CHECK(faultsOf(m, results) == std::vector<std::string>{"no such test: Store down"});
    }
    SUBCASE("a misspelt row is a fault")
    {
        CHECK(faultsOf(matrixOf("jurnal | * | - x"), results).size() == 1);
    }
    SUBCASE("a cell with neither test nor reason is a fault")
    {
        std::istringstream in("* | store down | Store down");
        CHECK(faultsOf(readMatrix(in), results).size() == rows.size() * (columns.size() - 1));
    }
}
