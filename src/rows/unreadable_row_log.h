#pragma once

#include "core/log_event.h"
#include "rows/row.h"

#include <map>
#include <string>

namespace azurehill {

/// \brief Tells in the log of rows that can't be read, once for each version of a row.
///
/// Tables are read again several times a second, and a row that another writer spoiled stays until
/// somebody mends it: without a memory, each read would fill the log with the same line.
class unreadable_row_log
{
public:
    /// \brief Logs \p event with the row's name and version, and \p detail, unless that was done.
    void tell(log_event event, const stored_row &row, const std::string &detail);

private:
    std::map<row_name, store_version> m_told;
};

} // namespace azurehill
