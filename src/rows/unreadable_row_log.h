#pragma once

#include "core/log_event.h"
#include "rows/row.h"

#include <map>
#include <string>

namespace azurehill {

/// \brief Logs rows that cannot be decoded, once per version of a row.
///
/// Tables are read several times a second, and a corrupt row stays until an operator repairs it.
/// Without deduplication, each read would log the same line again.
class unreadable_row_log
{
public:
    /// \brief Logs \p event with the row's name and version and \p detail, unless that version
    /// was already logged.
    void logOnce(log_event event, const stored_row &row, const std::string &detail);

private:
    std::map<row_name, store_version> m_loggedVersions;
};

} // namespace azurehill
