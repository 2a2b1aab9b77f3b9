#pragma once

/// \file
/// \brief Interface of the persistent store: versioned rows in tables, divided into partitions.

#include "rows/row.h"
#include "runtime/asio.h"

#include <tl/expected.hpp>

#include <string>

namespace azurehill {

template <class T>
using store_result = tl::expected<T, store_error>;

/// \brief Client of the store. Not thread-safe; used from one thread.
class store
{
public:
    virtual ~store() = default;

    /// \brief Applies \p t before \p deadline. \returns the version that its rows have
    /// afterwards.
    virtual awaitable<store_result<store_version>> transact(store_transaction t,
                                                            time_point deadline)
        = 0;
    /// \brief Reads all rows of \p range in key order.
    ///
    /// The store returns a bounded number of rows per response, so a long range takes several
    /// requests. Each request gets as much time as the first one has until \p deadline; the total
    /// time grows with the range. The result has the store's version at the first response: it
    /// contains all changes up to that version, and may contain later ones.
    virtual awaitable<store_result<row_page>> read(row_range range, time_point deadline) = 0;
    /// \brief Long-polls for up to \p wait for changes of \p table after version \p after.
    virtual awaitable<store_result<row_page>> changes(std::string table, store_version after,
                                                      duration wait, time_point deadline)
        = 0;
    /// \brief Lists partitions of \p table that have rows and sort after \p after, as many as fit
    /// into one response.
    virtual awaitable<store_result<partition_page>> partitions(std::string table, std::string after,
                                                               time_point deadline)
        = 0;
    /// \returns whether the store is considered reachable: the last calls were answered, or there
    /// was none for some time. Makes no call.
    virtual bool isReachable() const = 0;
};

} // namespace azurehill
