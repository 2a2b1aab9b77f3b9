#include "rows/table_digest_json.h"

#include <boost/json.hpp>

#include <chrono>
#include <stdexcept>

namespace azurehill {

namespace json = boost::json;

namespace {

/// Fields of a row, which is an array.
enum row_field : std::size_t { Key, Value, Version, IsReadable, RowFields };

stored_row rowFromJson(const json::value &value, const std::string &table)
{
    const json::array &a = value.as_array();
    if (a.size() < RowFields)
        throw std::out_of_range("a row");
    stored_row row;
    row.name = {table, "", std::string(a[Key].as_string())};
    row.value = std::string(a[Value].as_string());
    row.version = a[Version].to_number<store_version>();
    row.isReadable = a[IsReadable].as_bool();
    return row;
}

table_changes changesFromJson(const json::object &o, const std::string &table)
{
    table_changes changes;
    changes.digest = digestFromJson(o.at("digest"));
    changes.isWhole = o.at("whole").as_bool();
    for (const json::value &row : o.at("rows").as_array())
        changes.rows.push_back(rowFromJson(row, table));
    for (const auto &[key, version] : o.at("gone").as_object())
        changes.gone.emplace(std::string(key), version.to_number<store_version>());
    return changes;
}

} // namespace

std::string encodeChanges(const table_changes &changes)
{
    json::array rows;
    for (const stored_row &row : changes.rows)
        rows.push_back(json::array{row.name.key, row.value, row.version, row.isReadable});
    json::object gone;
    for (const auto &[key, version] : changes.gone)
        gone[key] = version;
    json::object o;
    o["digest"] = toJson(changes.digest);
    o["whole"] = changes.isWhole;
    o["rows"] = std::move(rows);
    o["gone"] = std::move(gone);
    return json::serialize(o);
}

std::optional<table_changes> decodeChanges(std::string_view text, const std::string &table)
{
    try {
        const json::value document = json::parse(text);
        return changesFromJson(document.as_object(), table);
    } catch (const std::exception &) {
        // The caller reads the table itself.
        return std::nullopt;
    }
}

} // namespace azurehill
