#include "rows/unreadable_row_log.h"

namespace azurehill {

namespace {

/// Rows remembered, some 100 bytes each. A table with more spoiled rows has its lines told again.
constexpr std::size_t maxLoggedRows = 1000;

} // namespace

void unreadable_row_log::tell(log_event event, const stored_row &row, const std::string &detail)
{
    if (m_told.size() >= maxLoggedRows && !m_told.contains(row.name))
        m_told.clear();
    const auto [told, isNew] = m_told.try_emplace(row.name, row.version);
    if (!isNew && told->second == row.version)
        return;
    told->second = row.version;
    logDecision(event,
                {{"table", row.name.table},
                 {"part", row.name.part},
                 {"key", row.name.key},
                 {"row_version", static_cast<std::int64_t>(row.version)},
                 {"detail", detail}});
}

} // namespace azurehill
