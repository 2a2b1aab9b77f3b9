#pragma once

#include "core/core.h"

#include <cstdint>
#include <string>
#include <vector>

namespace azurehill {

/// \brief Version of a row or of the whole store. 0 is the version of a row that does not exist.
using store_version = std::uint64_t;

/// \brief Name of a row. The store serializes the transactions on one partition.
struct row_name
{
    std::string table;
    std::string partition;
    std::string key;

    friend auto operator<=>(const row_name &, const row_name &) = default;
};

struct stored_row
{
    row_name name;
    std::string value;
    store_version version = 0;
    /// Set only in rows of a change feed: the row was removed.
    bool deleted = false;
    /// Whether \c value could be decoded. A row that cannot be decoded still exists: it must be
    /// treated neither as absent nor as empty.
    bool isReadable = true;
};

/// \brief Precondition of a transaction: the row has this version.
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

/// \brief Priority class of a write, the most urgent first, for when the write rate is limited.
enum class write_urgency {
    /// Ends a turn. Without it the work of the turn is lost, and its client is waiting for the
    /// last byte of the response.
    End,
    /// Starts a turn.
    Begin,
    /// Maintenance: no client waits for it.
    Background,
};

template <>
struct enum_names<write_urgency>
{
    static constexpr std::array<std::string_view, 3> names = {"end", "begin", "upkeep"};
};

/// \brief Atomic transaction: all changes are applied, or none if a condition fails.
struct store_transaction
{
    write_urgency urgency = write_urgency::Background;
    std::vector<row_condition> conditions;
    std::vector<row_value> writes;
    std::vector<row_name> removals;
};

/// \brief Range of keys in one partition.
struct row_range
{
    std::string table;
    std::string partition;
    /// First key; empty for the first key of the partition.
    std::string from;
    /// Exclusive upper bound; empty for none.
    std::string to;
};

/// \brief Rows, with the version of the store at which they were read.
struct row_page
{
    std::vector<stored_row> rows;
    store_version version = 0;
};

/// \brief Names of partitions of a table, in ascending order.
struct partition_page
{
    std::vector<std::string> names;
    /// Whether further partitions follow.
    bool hasMore = false;
};

/// \brief Kind of failure of a call to the store.
///
/// Conflict, HistoryGone, Refused and Limited mean that nothing was written. Limited means that
/// the calls of all daemons together exceed the rate limit of the store, so the call can be
/// retried soon. After Unknown the write may have taken effect, or may still take effect seconds
/// later if its conditions hold then.
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
    /// Only for Conflict: the current rows that the conditions name.
    std::vector<stored_row> current;
};

} // namespace azurehill
