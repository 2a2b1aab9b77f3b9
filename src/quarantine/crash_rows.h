#pragma once

#include "quarantine/crash_ledger.h"
#include "rows/row.h"

#include <optional>

namespace azurehill {

/// \brief Layout of the evidence on lost sends in the store.
///
/// | table | partition | key | value |
/// | --- | --- | --- | --- |
/// | crashes | | FINGERPRINT/SEND | JSON list: replica, fate, and the two times of a report in ms |
///
/// Each lost send has a row of its own, so that daemons write without reading before. A send that
/// was cleared has none. Rows have no time: who reads one knows only that the evidence exists.
namespace crash_rows {

/// \returns the range of all rows.
row_range all();
/// \returns the range of the rows of \p request.
row_range ofRequest(const request_fingerprint &request);
/// \returns the name of the row of the send \p send of \p request.
row_name nameOf(const request_fingerprint &request, std::uint64_t send);
/// \returns the row of \p evidence, which \p report holds.
row_value encode(const crash_report &report, const crash_evidence &evidence);
/// \returns the report of the evidence in \p row, or nothing if it can't be decoded.
std::optional<crash_report> decode(const stored_row &row);

} // namespace crash_rows

} // namespace azurehill
