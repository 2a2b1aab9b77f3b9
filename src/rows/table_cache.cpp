#include "rows/table_cache.h"

#include <utility>

namespace azurehill {

namespace {

/// Rows that are gone are remembered up to this number; who missed more takes the table whole.
constexpr std::size_t mostGone = 1000;

} // namespace

std::uint64_t table_cache::hashOf(const row_map &rows)
{
    std::uint64_t hash = 0;
    for (const auto &[key, row] : rows)
        hash += stableHash(key, row.version);
    return hash;
}

void table_cache::replace(row_map rows, store_version version, time_point freshAt)
{
    if (!m_freshAt)
        m_goneSince = version;
    for (const auto &[key, row] : m_rows) {
        if (!rows.contains(key))
            m_gone[key] = version;
    }
    for (const auto &[key, row] : rows)
        m_gone.erase(key);
    if (m_gone.size() > mostGone) {
        m_gone.clear();
        m_goneSince = version;
    }
    m_rows = std::move(rows);
    m_hash = hashOf(m_rows);
    m_version = version;
    m_freshAt = m_freshAt ? std::max(*m_freshAt, freshAt) : freshAt;
}

bool table_cache::onRead(const row_page &page, time_point began)
{
    if (m_freshAt && page.version < m_version)
        return false;
    row_map rows;
    for (const stored_row &row : page.rows)
        rows.emplace(row.name.key, row);
    const bool isFirst = !m_freshAt;
    const std::uint64_t before = m_hash;
    replace(std::move(rows), page.version, began);
    return isFirst || m_hash != before;
}

digest_verdict table_cache::onDigest(const table_digest &digest, time_point askedAt)
{
    if (!m_freshAt || (digest.hash != m_hash && digest.version > m_version))
        return digest_verdict::Behind;
    if (digest.hash != m_hash)
        return digest_verdict::Ahead;
    m_freshAt = std::max(*m_freshAt, askedAt - digest.age);
    m_version = std::max(m_version, digest.version);
    return digest_verdict::Same;
}

bool table_cache::onChanges(const table_changes &changes, time_point askedAt)
{
    const table_digest &digest = changes.digest;
    if (m_freshAt && digest.version < m_version)
        return false;
    row_map rows = changes.isWhole ? row_map() : m_rows;
    for (const auto &[key, version] : changes.gone) {
        const auto found = rows.find(key);
        if (found != rows.end() && found->second.version <= version)
            rows.erase(found);
    }
    for (const stored_row &row : changes.rows)
        rows.insert_or_assign(row.name.key, row);
    if (hashOf(rows) != digest.hash)
        return false;
    replace(std::move(rows), digest.version, askedAt - digest.age);
    return true;
}

std::optional<table_digest> table_cache::digest(time_point now) const
{
    if (!m_freshAt)
        return std::nullopt;
    return table_digest{m_version, m_hash, now - *m_freshAt};
}

table_changes table_cache::changesSince(store_version after, time_point now) const
{
    table_changes changes;
    changes.digest = digest(now).value_or(table_digest());
    changes.isWhole = after < m_goneSince;
    for (const auto &[key, row] : m_rows) {
        if (changes.isWhole || row.version > after)
            changes.rows.push_back(row);
    }
    if (changes.isWhole)
        return changes;
    for (const auto &[key, version] : m_gone) {
        if (version > after)
            changes.gone.emplace(key, version);
    }
    return changes;
}

std::optional<duration> table_cache::age(time_point now) const
{
    if (!m_freshAt)
        return std::nullopt;
    return now - *m_freshAt;
}

} // namespace azurehill
