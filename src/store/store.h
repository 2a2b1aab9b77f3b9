#pragma once

/// \file
/// \brief The store that everything lasting goes through: versioned rows under tables and parts.

#include "rows/row.h"
#include "runtime/asio.h"

#include <tl/expected.hpp>

#include <string>

namespace azurehill {

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
    ///
    /// The store answers with a bounded number of rows at a time. Each answer has the time that the
    /// first one has until \p deadline, so a read lasts as long as its range is long.
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
