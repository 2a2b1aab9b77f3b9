#pragma once

#include "core/core.h"

#include <cstdint>
#include <string>
#include <vector>

namespace azurehill {

/// \brief Version of a row or of the whole store. 0 is the version of a row that does not exist.
using store_version = std::uint64_t;

/// \brief Names one row. Rows of one part are written one transaction after the other.
struct row_name
{
    std::string table;
    std::string part;
    std::string key;

    friend auto operator<=>(const row_name &, const row_name &) = default;
};

struct stored_row
{
    row_name name;
    std::string value;
    store_version version = 0;
    /// Only in a feed: the row is gone.
    bool deleted = false;
    /// Whether \c value could be decoded. A row that can't be read is there all the same: it must
    /// count neither as absent nor as empty.
    bool isReadable = true;
};

/// \brief A condition of a transaction: the row has this version.
struct row_condition
{
    row_name name;
    store_version version = 0;
};

struct row_value
{
    row_name name;
    std::string value;
};

/// \brief What goes first when not all writes can go.
enum class write_urgency {
    /// Ends a turn: all work behind it is lost without it, and its client waits for the last byte.
    End,
    /// Lets a turn begin.
    Begin,
    /// Nobody waits for it.
    Background,
};

template <>
struct enum_names<write_urgency>
{
    static constexpr std::array<std::string_view, 3> names = {"end", "begin", "upkeep"};
};

/// \brief Changes that happen together, or not at all when one condition fails.
struct store_transaction
{
    write_urgency urgency = write_urgency::Background;
    std::vector<row_condition> conditions;
    std::vector<row_value> writes;
    std::vector<row_name> removals;
};

/// \brief A range of the keys of one part.
struct row_range
{
    std::string table;
    std::string part;
    /// First key, or empty for the first of all.
    std::string from;
    /// Key after the last, or empty for no bound.
    std::string to;
};

/// \brief Rows and the store's version at the moment they were read.
struct row_page
{
    std::vector<stored_row> rows;
    store_version version = 0;
};

/// \brief How a call to the store failed.
///
/// Conflict, HistoryGone, Refused and Limited say that nothing was written; Limited, that the calls
/// of all daemons together are more than the store takes, so that the call may be made again soon.
/// After Unknown the write may have taken effect, or may take effect seconds later if its
/// conditions still hold.
enum class store_error_kind { Conflict, HistoryGone, Refused, Limited, Unknown };

template <>
struct enum_names<store_error_kind>
{
    static constexpr std::array<std::string_view, 5> names
        = {"conflict", "history_gone", "refused", "limited", "unknown"};
};

struct store_error
{
    store_error_kind kind = store_error_kind::Refused;
    std::string detail;
    /// Only for Conflict: the rows of the conditions as they are now.
    std::vector<stored_row> current;
};

} // namespace azurehill
