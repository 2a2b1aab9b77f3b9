#include "client/table.h"

#include <boost/json.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>

namespace azurehill {

namespace json = boost::json;

namespace {

std::string formatCell(const json::value &row, const std::string &column)
{
    const json::value *v = row.is_object() ? row.get_object().if_contains(column) : nullptr;
    if (!v)
        return "-";
    if (v->is_bool())
        return v->get_bool() ? "yes" : "no";
    return v->is_string() ? std::string(v->get_string()) : json::serialize(*v);
}

template <class Items, class Function>
std::string block(char open, char close, const Items &items, int indent, Function text)
{
    constexpr int step = 2;
    std::string result(1, open);
    const char *separator = "\n";
    for (const auto &item : items) {
        result += separator + std::string(static_cast<std::size_t>(indent + step), ' ')
            + text(item, indent + step);
        separator = ",\n";
    }
    return result + "\n" + std::string(static_cast<std::size_t>(indent), ' ') + close;
}

} // namespace

std::string toTable(const json::array &rows, const std::vector<std::string> &columns)
{
    std::vector<std::vector<std::string>> lines = {columns};
    for (const json::value &row : rows) {
        std::vector<std::string> line;
        line.reserve(columns.size());
        for (const std::string &column : columns)
            line.push_back(formatCell(row, column));
        lines.push_back(std::move(line));
    }
    std::vector<std::size_t> widths(columns.size());
    for (const auto &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].size());
    }
    std::string text;
    for (const auto &line : lines) {
        for (std::size_t i = 0; i + 1 < line.size(); ++i)
            text += fmt::format("{:{}}  ", line[i], widths[i]);
        text += line.back() + "\n";
    }
    return text;
}

std::string toPrettyText(const json::value &value, int indent)
{
    if (value.is_object() && !value.get_object().empty()) {
        return block('{', '}', value.get_object(), indent, [](const auto &member, int inner) {
            return json::serialize(json::value(member.key())) + ": "
                + toPrettyText(member.value(), inner);
        });
    }
    if (value.is_array() && !value.get_array().empty()) {
        return block('[', ']', value.get_array(), indent,
                     [](const json::value &item, int inner) { return toPrettyText(item, inner); });
    }
    return json::serialize(value);
}

std::string toUtc(std::int64_t unixMs)
{
    const std::time_t whole = unixMs / 1000;
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(whole), unixMs % 1000);
}

} // namespace azurehill
