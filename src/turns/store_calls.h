#pragma once

#include "core/runtime_clock.h"
#include "rows/row.h"

#include <algorithm>
#include <vector>

namespace azurehill {

/// Timeout of one call to the store. The store usually responds within a few milliseconds, and even
/// fifty times that is below this limit. A connection that stops responding costs no more than
/// this.
constexpr duration storeAttemptTimeout = milliseconds(800);
/// Exponential backoff between attempts of a failed call. Hundreds of turns may wait for the same
/// outage to end, and the store limits the rate of calls.
constexpr duration minStoreRetryDelay = milliseconds(40);
constexpr duration maxStoreRetryDelay = milliseconds(640);

/// \returns the deadline of one call to the store by a caller whose own deadline is \p deadline.
inline time_point storeAttemptDeadline(time_point deadline)
{
    return std::min(deadline, runtime_clock::now() + storeAttemptTimeout);
}

/// \returns the existing row \p name in \p rows, or null.
inline const stored_row *findRow(const std::vector<stored_row> &rows, const row_name &name)
{
    for (const stored_row &row : rows) {
        if (row.name == name && row.version != 0 && !row.deleted)
            return &row;
    }
    return nullptr;
}

/// \returns the newest version of \p rows.
inline store_version versionOf(const std::vector<stored_row> &rows)
{
    store_version newest = 0;
    for (const stored_row &row : rows)
        newest = std::max(newest, row.version);
    return newest;
}

} // namespace azurehill
