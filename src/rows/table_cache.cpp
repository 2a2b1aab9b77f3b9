#include "rows/table_cache.h"

#include <algorithm>
#include <vector>

namespace azurehill {

namespace {

/// Tombstones of removed rows are kept up to this number or the number of existing rows,
/// whichever is larger. A daemon that missed more takes a snapshot of the table.
constexpr std::size_t minTombstones = 1000;

std::uint64_t hashOf(const std::string &key, store_version version)
{
    return stableHash(key, version);
}

} // namespace

void table_cache::limitTombstones()
{
    if (m_tombstones.size() <= std::max(minTombstones, m_rows.size()))
        return;
    m_tombstones.clear();
    m_tombstonesSince = m_version;
}

void table_cache::recordChange(const std::string &key)
{
    if (m_changed.empty())
        m_changedAfter = m_freshAt;
    m_changed.insert(key);
}

void table_cache::setRow(const stored_row &row)
{
    const std::string &key = row.name.key;
    const auto [found, isNew] = m_rows.try_emplace(key, row);
    if (!isNew && found->second.version == row.version)
        return;
    if (!isNew) {
        m_hash -= hashOf(key, found->second.version);
        found->second = row;
    }
    m_hash += hashOf(key, row.version);
    m_tombstones.erase(key);
    recordChange(key);
}

void table_cache::removeRow(const std::string &key, store_version version)
{
    const auto found = m_rows.find(key);
    if (found == m_rows.end() || found->second.version > version)
        return;
    m_hash -= hashOf(key, found->second.version);
    m_rows.erase(found);
    m_tombstones[key] = version;
    recordChange(key);
}

void table_cache::markFresh(store_version version, time_point freshAt)
{
    m_version = std::max(m_version, version);
    m_freshAt = m_freshAt ? std::max(*m_freshAt, freshAt) : freshAt;
    limitTombstones();
}

void table_cache::replace(const row_map &rows, store_version version, time_point freshAt)
{
    if (!m_freshAt)
        m_tombstonesSince = version;
    std::vector<std::string> gone;
    for (const auto &[key, row] : m_rows) {
        if (!rows.contains(key))
            gone.push_back(key);
    }
    for (const std::string &key : gone)
        removeRow(key, std::max(version, m_rows.at(key).version));
    for (const auto &[key, row] : rows)
        setRow(row);
    markFresh(version, freshAt);
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
    replace(rows, page.version, began);
    return isFirst || m_hash != before;
}

bool table_cache::onFeed(const row_page &page, time_point began, bool isLast)
{
    // Changes from another daemon may have advanced this copy in the meantime.
    if (!m_freshAt || page.version < m_version)
        return false;
    const std::uint64_t before = m_hash;
    for (const stored_row &row : page.rows) {
        const auto known = m_rows.find(row.name.key);
        if (row.deleted)
            removeRow(row.name.key, row.version);
        else if (known == m_rows.end() || known->second.version < row.version)
            setRow(row);
    }
    markFresh(page.version, isLast ? began : *m_freshAt);
    return m_hash != before;
}

digest_comparison table_cache::onDigest(const table_digest &digest, time_point askedAt)
{
    if (!m_freshAt || (digest.hash != m_hash && digest.version > m_version))
        return digest_comparison::Behind;
    if (digest.hash != m_hash)
        return digest_comparison::Ahead;
    m_freshAt = std::max(*m_freshAt, askedAt - digest.age);
    m_version = std::max(m_version, digest.version);
    return digest_comparison::Same;
}

bool table_cache::onChanges(const table_changes &changes, time_point askedAt)
{
    const table_digest &digest = changes.digest;
    if (m_freshAt && digest.version < m_version)
        return false;
    if (changes.isSnapshot) {
        row_map rows;
        std::uint64_t hash = 0;
        for (const stored_row &row : changes.rows) {
            if (rows.emplace(row.name.key, row).second)
                hash += hashOf(row.name.key, row.version);
        }
        if (hash != digest.hash)
            return false;
        replace(rows, digest.version, askedAt - digest.age);
        return true;
    }
    if (hashAfter(changes) != digest.hash)
        return false;
    for (const auto &[key, version] : changes.removed)
        removeRow(key, version);
    for (const stored_row &row : changes.rows)
        setRow(row);
    markFresh(digest.version, askedAt - digest.age);
    return true;
}

std::uint64_t table_cache::hashAfter(const table_changes &changes) const
{
    std::uint64_t hash = m_hash;
    std::map<std::string, std::optional<store_version>> next;
    for (const auto &[key, version] : changes.removed) {
        const auto found = m_rows.find(key);
        if (found != m_rows.end() && found->second.version <= version)
            next[key] = std::nullopt;
    }
    for (const stored_row &row : changes.rows)
        next[row.name.key] = row.version;
    for (const auto &[key, version] : next) {
        const auto found = m_rows.find(key);
        if (found != m_rows.end())
            hash -= hashOf(key, found->second.version);
        if (version)
            hash += hashOf(key, *version);
    }
    return hash;
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
    changes.isSnapshot = after < m_tombstonesSince;
    for (const auto &[key, row] : m_rows) {
        if (changes.isSnapshot || row.version > after)
            changes.rows.push_back(row);
    }
    if (changes.isSnapshot)
        return changes;
    for (const auto &[key, version] : m_tombstones) {
        if (version > after)
            changes.removed.emplace(key, version);
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
