#include "process/matrix.h"

#include <fmt/format.h>

#include <algorithm>
#include <regex>
#include <set>

namespace azurehill::proof {

namespace {

constexpr std::string_view everywhere = "*";

std::string trimmed(std::string_view text)
{
    const auto begin = text.find_first_not_of(' ');
    if (begin == std::string_view::npos)
        return "";
    return std::string(text.substr(begin, text.find_last_not_of(' ') - begin + 1));
}

template <std::size_t N>
bool isOneOf(const std::array<std::string_view, N> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

struct matrix_line
{
    std::string row;
    std::string column;
    std::string text;

    bool isReason() const { return text.starts_with("- "); }
    bool covers(std::string_view r, std::string_view c) const
    {
        return (row == r || row == everywhere) && (column == c || column == everywhere);
    }
};

void take(const matrix_line &line, matrix &into)
{
    for (const std::string_view row : rows) {
        for (const std::string_view column : columns) {
            if (!line.covers(row, column))
                continue;
            cell &c = into.cells[{std::string(row), std::string(column)}];
            if (!line.isReason())
                c.tests.push_back(line.text);
            else if (c.tests.empty() && c.reason.empty())
                c.reason = line.text.substr(2);
        }
    }
}

std::string unescaped(std::string text)
{
    const std::array<std::pair<std::string_view, std::string_view>, 5> entities
        = {{{"&lt;", "<"}, {"&gt;", ">"}, {"&quot;", "\""}, {"&apos;", "'"}, {"&amp;", "&"}}};
    for (const auto &[from, to] : entities) {
        for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + 1))
            text.replace(at, from.size(), to);
    }
    return text;
}

std::string_view nameOf(test_result r)
{
    constexpr std::array<std::string_view, 3> names = {"passed", "FAILED", "not run"};
    return names[static_cast<std::size_t>(r)];
}

/// \returns the place of \p text in \p list, from 1, after adding it if it is new.
std::size_t numberIn(std::vector<std::string> &list, const std::string &text)
{
    const auto it = std::find(list.begin(), list.end(), text);
    if (it != list.end())
        return static_cast<std::size_t>(it - list.begin()) + 1;
    list.push_back(text);
    return list.size();
}

std::string cellText(const cell &c, const result_table &results, std::vector<std::string> &tests,
                     std::vector<std::string> &reasons)
{
    if (c.tests.empty())
        return fmt::format("not proved ({})", numberIn(reasons, c.reason));
    std::string text;
    for (const std::string &test : c.tests) {
        const auto it = results.find(test);
        const test_result r = it == results.end() ? test_result::NotRun : it->second;
        text += fmt::format("{}T{} {}", text.empty() ? "" : ", ", numberIn(tests, test), nameOf(r));
    }
    return text;
}

} // namespace

matrix readMatrix(std::istream &in)
{
    matrix result;
    std::vector<matrix_line> lines;
    for (std::string text; std::getline(in, text);) {
        if (text.empty() || text.front() == '#')
            continue;
        const auto first = text.find('|');
        const auto second = first == std::string::npos ? first : text.find('|', first + 1);
        if (second == std::string::npos) {
            result.faults.push_back("not a cell: " + text);
            continue;
        }
        const std::string_view view = text;
        matrix_line line{trimmed(view.substr(0, first)),
                         trimmed(view.substr(first + 1, second - first - 1)),
                         trimmed(view.substr(second + 1))};
        if (line.row != everywhere && !isOneOf(rows, line.row))
            result.faults.push_back("no such row: " + line.row);
        if (line.column != everywhere && !isOneOf(columns, line.column))
            result.faults.push_back("no such column: " + line.column);
        lines.push_back(std::move(line));
    }
    // Tests first, whatever the order of the lines: a reason stands only where no test does.
    std::stable_partition(lines.begin(), lines.end(),
                          [](const matrix_line &line) { return !line.isReason(); });
    for (const matrix_line &line : lines)
        take(line, result);
    return result;
}

void readResults(const std::string &text, result_table &into)
{
    static const std::regex begin("<TestCase name=\"([^\"]*)\"");
    static const std::regex success("test_case_success=\"(true|false)\"");
    for (std::sregex_iterator it(text.begin(), text.end(), begin), end; it != end; ++it) {
        const auto from = text.begin() + it->position();
        const auto next = std::next(it);
        const auto to = next == end ? text.end() : text.begin() + next->position();
        std::smatch found;
        test_result r = test_result::NotRun;
        if (std::regex_search(from, to, found, success))
            r = found[1] == "true" ? test_result::Passed : test_result::Failed;
        // A test that one run left out may have its result from another.
        const auto [entry, added] = into.try_emplace(unescaped((*it)[1]), r);
        if (r != test_result::NotRun)
            entry->second = r;
    }
}

std::vector<std::string> faultsOf(const matrix &m, const result_table &results)
{
    std::vector<std::string> faults = m.faults;
    std::set<std::string> unknown;
    for (const auto &[place, c] : m.cells) {
        for (const std::string &test : c.tests) {
            if (!results.count(test))
                unknown.insert(test);
        }
    }
    for (const std::string &test : unknown)
        faults.push_back("no such test: " + test);
    for (const std::string_view row : rows) {
        for (const std::string_view column : columns) {
            const auto it = m.cells.find({std::string(row), std::string(column)});
            if (it == m.cells.end() || (it->second.tests.empty() && it->second.reason.empty()))
                faults.push_back(fmt::format("nothing said of: {} | {}", row, column));
        }
    }
    return faults;
}

std::string page(const matrix &m, const result_table &results)
{
    std::vector<std::string> tests;
    std::vector<std::string> reasons;
    std::size_t proved = 0;
    std::string table = "| step |";
    std::string rule = "|---|";
    for (const std::string_view column : columns) {
        table += fmt::format(" {} |", column);
        rule += "---|";
    }
    table += "\n" + rule + "\n";
    for (const std::string_view row : rows) {
        table += fmt::format("| {} |", row);
        for (const std::string_view column : columns) {
            const cell &c = m.cells.at({std::string(row), std::string(column)});
            proved += c.tests.empty() ? 0 : 1;
            table += fmt::format(" {} |", cellText(c, results, tests, reasons));
        }
        table += "\n";
    }
    std::string text
        = fmt::format("# Proof\n\nGenerated by `make proof` from `test/process/matrix.txt` and the "
                      "tests' own results; don't edit.\nRows are the steps of a request's life, "
                      "columns the faults at that step. {} of {} cells have a test.\n\n{}\n## "
                      "Tests\n\n",
                      proved, rows.size() * columns.size(), table);
    for (std::size_t i = 0; i < tests.size(); ++i) {
        const auto it = results.find(tests[i]);
        text += fmt::format("- T{}: {}: {}\n", i + 1, tests[i],
                            nameOf(it == results.end() ? test_result::NotRun : it->second));
    }
    text += "\n## Not proved\n\n";
    for (std::size_t i = 0; i < reasons.size(); ++i)
        text += fmt::format("- ({}) {}\n", i + 1, reasons[i]);
    return text;
}

} // namespace azurehill::proof
