#pragma once

/// \file
/// \brief The store that everything lasting goes through: versioned rows under tables and parts.

#include "core/core.h"
#include "runtime/asio.h"

#include <tl/expected.hpp>

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

/// \brief Changes that happen together, or not at all when one condition fails.
struct store_transaction
{
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
/// Conflict, HistoryGone and Refused say that nothing was written. After Unknown the write may have
/// taken effect, or may take effect seconds later if its conditions still hold.
enum class store_error_kind { Conflict, HistoryGone, Refused, Unknown };

template <>
struct enum_names<store_error_kind>
{
    static constexpr std::array<std::string_view, 4> names
        = {"conflict", "history_gone", "refused", "unknown"};
};

struct store_error
{
    store_error_kind kind = store_error_kind::Refused;
    std::string detail;
    /// Only for Conflict: the rows of the conditions as they are now.
    std::vector<stored_row> current;
};

template <class T>
using store_result = tl::expected<T, store_error>;

/// \brief A client of the store. Used from one thread.
class store
{
public:
    virtual ~store() = default;

    /// \brief Applies \p t by \p deadline. \returns the version that its rows have now.
    virtual awaitable<store_result<store_version>> transact(store_transaction t,
                                                            time_point deadline)
        = 0;
    /// \brief Reads all rows of \p range in key order.
    virtual awaitable<store_result<row_page>> read(row_range range, time_point deadline) = 0;
    /// \brief Waits up to \p wait for changes of \p table after \p after.
    virtual awaitable<store_result<row_page>> changes(std::string table, store_version after,
                                                      duration wait, time_point deadline)
        = 0;
    /// \returns whether a call is worth making: the last ones were answered, or none was made for a
    /// while. It costs no call.
    virtual bool isReachable() const = 0;
};

} // namespace azurehill
