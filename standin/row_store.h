#pragma once

#include "store/store.h"

#include <map>
#include <vector>

namespace azurehill {

/// \brief The rows of a store in memory, with versions, conditions and a history of changes.
class row_store
{
public:
    /// \returns the version of the rows written, or the rows of the conditions when one fails.
    tl::expected<store_version, std::vector<stored_row>> apply(const store_transaction &t);
    row_page read(const row_range &range) const;
    /// \returns the partitions of \p table that sort after \p after, in ascending order.
    std::vector<std::string> partitions(const std::string &table, const std::string &after) const;
    /// \returns the changes of \p table after \p after, or nothing when they are forgotten.
    std::optional<row_page> changes(const std::string &table, store_version after) const;
    /// \brief Forgets the history of changes.
    void forgetHistory();
    store_version version() const { return m_version; }
    std::size_t size() const { return m_rows.size(); }

private:
    store_version m_version = 0;
    store_version m_forgottenUpTo = 0;
    std::map<row_name, stored_row> m_rows;
    std::vector<stored_row> m_history;
};

} // namespace azurehill
