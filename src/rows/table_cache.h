#pragma once

#include "rows/row.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace azurehill {

/// \brief Summary of a copy of a table that daemons exchange to compare their copies.
struct table_digest
{
    /// Version of the store at which the copy was equal to the table.
    store_version version = 0;
    /// Order-independent hash of keys and versions: equal for copies with the same rows at the
    /// same versions.
    std::uint64_t hash = 0;
    /// Time since the copy was known to be equal to the table.
    duration age = duration::zero();

    friend bool operator==(const table_digest &, const table_digest &) = default;
};

/// \brief Changes that bring an older copy of a table up to date.
struct table_changes
{
    table_digest digest;
    /// Whether \c rows is a snapshot of all rows, which replaces the older copy.
    bool isSnapshot = false;
    std::vector<stored_row> rows;
    /// Tombstones: keys of removed rows, with the version at which the removal was observed.
    std::map<std::string, store_version> removed;
};

/// \brief Result of comparing this daemon's copy with the digest of another one.
enum class digest_comparison {
    /// The copies are equal.
    Same,
    /// This copy is behind: the other one is newer.
    Behind,
    /// This copy is ahead: the other one is older.
    Ahead,
};

/// \brief Cached copy of a small table of the store, kept up to date by anti-entropy between
/// daemons.
///
/// If every daemon read the whole table, read traffic would grow with daemons times rows: 295
/// daemons with 233 rows read 16 MB/s of data that rarely changes. Instead a few daemons read,
/// and the others compare digests and fetch changes from each other. An older copy never replaces
/// a newer one. Each daemon knows the age of its copy, whichever daemon read it, and reads the
/// table itself once the copy is too old.
class table_cache
{
public:
    /// \brief Applies a response of the store to a read that began at \p began.
    /// \returns whether rows changed.
    bool onRead(const row_page &page, time_point began);
    /// \brief Applies a response of the store's change feed since this copy's version, requested
    /// at \p began: changed rows and removed ones.
    /// \param isLast whether the table had no further changes then; if not, the copy grows no
    /// younger.
    /// \returns whether rows changed.
    bool onFeed(const row_page &page, time_point began, bool isLast = true);
    /// \brief Compares with the digest of another daemon's copy, received in response to a
    /// request sent at \p askedAt. If the copies are equal, this one gets the lower age of the
    /// two.
    digest_comparison onDigest(const table_digest &digest, time_point askedAt);
    /// \brief Applies changes from another daemon, requested at \p askedAt.
    /// \returns whether this copy is now equal to the other one; if not, it is unchanged.
    bool onChanges(const table_changes &changes, time_point askedAt);

    /// \returns the digest at \p now, or nothing before the first update.
    std::optional<table_digest> digest(time_point now) const;
    /// \returns the changes from a copy of version \p after to this one.
    table_changes changesSince(store_version after, time_point now) const;
    /// \returns the version of the store at which this copy was equal to the table; 0 before the
    /// first update.
    store_version version() const { return m_version; }
    /// \returns the time since this copy was known to be equal to the table, or nothing before
    /// the first update.
    std::optional<duration> age(time_point now) const;
    /// \returns the rows, by key.
    const std::map<std::string, stored_row> &rows() const { return m_rows; }
    /// \returns the keys of rows changed or removed since the last call.
    std::set<std::string> takeChanged() { return std::exchange(m_changed, {}); }
    /// \returns a time at which none of the changes that takeChanged() returns next had been made,
    /// or nothing if they are the first rows.
    std::optional<time_point> changedAfter() const { return m_changedAfter; }

private:
    using row_map = std::map<std::string, stored_row>;

    void replace(const row_map &rows, store_version version, time_point freshAt);
    void setRow(const stored_row &row);
    void removeRow(const std::string &key, store_version version);
    void recordChange(const std::string &key);
    void limitTombstones();
    void markFresh(store_version version, time_point freshAt);
    /// \returns the hash of this copy after applying \p changes.
    std::uint64_t hashAfter(const table_changes &changes) const;

    row_map m_rows;
    std::uint64_t m_hash = 0;
    store_version m_version = 0;
    std::optional<time_point> m_freshAt;
    /// Tombstones: keys of removed rows, with the version at which the removal was observed.
    std::map<std::string, store_version> m_tombstones;
    /// Version since which \c m_tombstones is complete.
    store_version m_tombstonesSince = 0;
    std::set<std::string> m_changed;
    /// When this copy was last known to be equal to the table without the changes in \c m_changed.
    std::optional<time_point> m_changedAfter;
};

/// \returns \p changes serialized as JSON.
std::string encodeChanges(const table_changes &changes);
/// \returns the changes to rows of \p table parsed from \p text, or nothing if it is malformed.
std::optional<table_changes> decodeChanges(std::string_view text, const std::string &table);

} // namespace azurehill
