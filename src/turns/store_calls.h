#pragma once

#include "core/runtime_clock.h"
#include "rows/row.h"

#include <algorithm>
#include <vector>

namespace azurehill {

/// Longest wait for one answer of the store. It answers in a few milliseconds; fifty times slower
/// is still below this, and a connection that went silent costs no more than this.
constexpr duration callTime = milliseconds(800);
/// Pause before a call that failed is made again; doubled each time, since hundreds of turns may
/// wait for the same outage to end and the store's calls are limited.
constexpr duration minStoreRetryDelay = milliseconds(40);
constexpr duration maxStoreRetryDelay = milliseconds(640);

/// \returns when one call has to be answered whose caller waits until \p deadline.
inline time_point storeAttemptDeadline(time_point deadline)
{
    return std::min(deadline, runtime_clock::now() + callTime);
}

/// \returns the row \p name of \p rows if it exists, or null.
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
