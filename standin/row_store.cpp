#include "standin/row_store.h"

#include <set>

namespace azurehill {

tl::expected<store_version, std::vector<stored_row>> row_store::apply(const store_transaction &t)
{
    bool holds = true;
    std::vector<stored_row> current;
    for (const row_condition &c : t.conditions) {
        const auto found = m_rows.find(c.name);
        const store_version version = found == m_rows.end() ? 0 : found->second.version;
        holds = holds && version == c.version;
        if (found != m_rows.end())
            current.push_back(found->second);
    }
    if (!holds)
        return tl::unexpected(std::move(current));
    ++m_version;
    for (const row_value &w : t.writes) {
        m_rows[w.name] = {w.name, w.value, m_version, false};
        m_history.push_back(m_rows[w.name]);
    }
    for (const row_name &name : t.removals) {
        if (m_rows.erase(name) > 0)
            m_history.push_back({name, "", m_version, true});
    }
    return m_version;
}

row_page row_store::read(const row_range &range) const
{
    row_page page;
    page.version = m_version;
    for (const auto &[name, row] : m_rows) {
        const bool inPart = name.table == range.table && name.partition == range.partition;
        if (inPart && name.key >= range.from && (range.to.empty() || name.key < range.to))
            page.rows.push_back(row);
    }
    return page;
}

std::vector<std::string> row_store::partitions(const std::string &table,
                                               const std::string &after) const
{
    std::set<std::string> names;
    for (const auto &[name, row] : m_rows) {
        if (name.table == table && name.partition > after)
            names.insert(name.partition);
    }
    return {names.begin(), names.end()};
}

std::optional<row_page> row_store::changes(const std::string &table, store_version after) const
{
    if (after < m_forgottenUpTo)
        return std::nullopt;
    row_page page;
    page.version = m_version;
    for (const stored_row &row : m_history) {
        if (row.name.table == table && row.version > after)
            page.rows.push_back(row);
    }
    return page;
}

void row_store::forgetHistory()
{
    m_history.clear();
    m_forgottenUpTo = m_version;
}

} // namespace azurehill
