#include "rows/unreadable_row_log.h"

namespace azurehill {

namespace {

/// Number of rows remembered, about 100 bytes each. If more rows are corrupt, their log lines
/// repeat.
constexpr std::size_t maxLoggedRows = 1000;

} // namespace

void unreadable_row_log::logOnce(log_event event, const stored_row &row, const std::string &detail)
{
    if (m_loggedVersions.size() >= maxLoggedRows && !m_loggedVersions.contains(row.name))
        m_loggedVersions.clear();
    const auto [logged, isNew] = m_loggedVersions.try_emplace(row.name, row.version);
    if (!isNew && logged->second == row.version)
        return;
    logged->second = row.version;
    logDecision(event,
                {{"table", row.name.table},
                 {"part", row.name.partition},
                 {"key", row.name.key},
                 {"row_version", static_cast<std::int64_t>(row.version)},
                 {"detail", detail}});
}

} // namespace azurehill
