#pragma once

#include <array>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace azurehill::proof {

/// Steps of a request's life.
inline constexpr std::array<std::string_view, 15> rows
    = {"look-up", "connect", "accept", "place",  "journal", "reserve",   "intent",       "send",
       "stream",  "settle",  "commit", "answer", "release", "hand-over", "config change"};

/// Faults at a step.
inline constexpr std::array<std::string_view, 12> columns = {"daemon killed",
                                                             "paused beyond its lease",
                                                             "cut from the store",
                                                             "cut from peers",
                                                             "cut from the upstream",
                                                             "half-open connection",
                                                             "store down",
                                                             "store slow",
                                                             "answer lost after effect",
                                                             "host list late",
                                                             "two operators at once",
                                                             "two faults together"};

/// \brief What covers one fault at one step.
struct cell
{
    /// Names of test cases.
    std::vector<std::string> tests;
    /// Why there is no test, when there is none.
    std::string reason;
};

/// \brief Results of test cases by name, as doctest's XML reporter wrote them.
enum class test_result { Passed, Failed, NotRun };

using cell_place = std::pair<std::string, std::string>;
using result_table = std::map<std::string, test_result>;

/// \brief The table of cells and what is wrong with its text.
struct matrix
{
    std::map<cell_place, cell> cells;
    std::vector<std::string> faults;
};

/// \brief Reads lines "ROW | COLUMN | TEST" and "ROW | COLUMN | - REASON". A reason for row or
/// column "*" holds for every cell there that has neither a test nor an earlier reason.
matrix readMatrix(std::istream &in);

/// \brief Adds the test cases that doctest's XML in \p text tells of, or lists.
void readResults(const std::string &text, result_table &into);

/// \returns what is wrong: cells that name a test that doesn't exist, cells with nothing.
std::vector<std::string> faultsOf(const matrix &m, const result_table &results);

/// \returns docs/PROOF.md.
std::string page(const matrix &m, const result_table &results);

} // namespace azurehill::proof
