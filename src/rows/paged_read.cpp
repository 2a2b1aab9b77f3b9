#include "rows/paged_read.h"

#include <algorithm>
#include <iterator>
#include <map>

namespace azurehill {

void paged_read::add(row_page page)
{
    if (!m_hasVersion)
        m_all.version = page.version;
    m_hasVersion = true;
    std::move(page.rows.begin(), page.rows.end(), std::back_inserter(m_all.rows));
}

void applyFeed(row_page &page, const row_page &changes)
{
    page.version = std::max(page.version, changes.version);
    std::map<std::string_view, const stored_row *> latest;
    for (const stored_row &row : changes.rows) {
        const auto [found, isNew] = latest.try_emplace(row.name.key, &row);
        if (!isNew && found->second->version < row.version)
            found->second = &row;
    }
    const auto isSuperseded = [&](const stored_row &row) {
        const auto found = latest.find(row.name.key);
        return found != latest.end() && found->second->version >= row.version;
    };
    std::erase_if(page.rows, isSuperseded);
    std::map<std::string_view, store_version> kept;
    for (const stored_row &row : page.rows)
        kept.emplace(row.name.key, row.version);
    std::vector<stored_row> added;
    for (const auto &[key, row] : latest) {
        if (!row->deleted && !kept.contains(key))
            added.push_back(*row);
    }
    std::move(added.begin(), added.end(), std::back_inserter(page.rows));
}

} // namespace azurehill
