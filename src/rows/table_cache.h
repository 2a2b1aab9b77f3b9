#pragma once

#include "rows/row.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace azurehill {

/// \brief What a daemon tells others of its copy of a table.
struct table_digest
{
    /// Version of the store at which the copy was the table.
    store_version version = 0;
    /// Equal for copies with the same rows at the same versions.
    std::uint64_t hash = 0;
    /// How long ago the copy was certainly the table.
    duration age = duration::zero();

    friend bool operator==(const table_digest &, const table_digest &) = default;
};

/// \brief What turns an older copy of a table into a newer one.
struct table_changes
{
    table_digest digest;
    /// Whether \c rows are all rows, whatever the older copy has.
    bool isWhole = false;
    std::vector<stored_row> rows;
    /// Keys of rows that are gone, with the version at which that was seen.
    std::map<std::string, store_version> gone;
};

/// \brief What another daemon's digest says of this daemon's copy.
enum class digest_comparison {
    /// The copies are the same.
    Same,
    /// The other copy is newer.
    Behind,
    /// This copy is newer.
    Ahead,
};

/// \brief A copy of a small table of the store that daemons pass on to each other.
///
/// If each daemon read the table whole, reads would grow with daemons times rows: 295 daemons with
/// 233 rows read 16 MB a second of what hardly ever changes. So a few read, and the others compare
/// digests and take changes from each other. An older copy never replaces a newer one, and each
/// daemon knows how old its own is, whoever read it: too old, and it reads the table itself.
class table_cache
{
public:
    /// \brief Takes in an answer of the store to a read that began at \p began.
    /// \returns whether rows changed.
    bool onRead(const row_page &page, time_point began);
    /// \brief Takes in an answer of the store to the question, asked at \p began, what changed
    /// since this copy's version: rows as they are now, and those that are gone. \returns whether
    /// rows changed.
    bool onFeed(const row_page &page, time_point began);
    /// \brief Takes in the digest of another daemon's copy, from an answer to what was asked at
    /// \p askedAt.
    digest_comparison onDigest(const table_digest &digest, time_point askedAt);
    /// \brief Takes in changes from another daemon, asked for at \p askedAt.
    /// \returns whether this copy is now the same as its; if not, it is as it was.
    bool onChanges(const table_changes &changes, time_point askedAt);

    /// \returns the digest to tell at \p now, or nothing before the first rows came.
    std::optional<table_digest> digest(time_point now) const;
    /// \returns what a copy of version \p after needs to become this one.
    table_changes changesSince(store_version after, time_point now) const;
    /// \returns the version of the store at which this copy was the table; 0 before there is one.
    store_version version() const { return m_version; }
    /// \returns how long ago this copy was certainly the table, or nothing before there is one.
    std::optional<duration> age(time_point now) const;
    /// \returns the rows by key.
    const std::map<std::string, stored_row> &rows() const { return m_rows; }
    /// \returns the keys of the rows that changed or went since the last call.
    std::set<std::string> takeChanged() { return std::exchange(m_changed, {}); }

private:
    using row_map = std::map<std::string, stored_row>;

    void replace(const row_map &rows, store_version version, time_point freshAt);
    void setRow(const stored_row &row);
    void removeRow(const std::string &key, store_version version);
    void limitTombstones();
    void markFresh(store_version version, time_point freshAt);
    /// \returns the hash that this copy would have with the rows of \p changes.
    std::uint64_t hashAfter(const table_changes &changes) const;

    row_map m_rows;
    std::uint64_t m_hash = 0;
    store_version m_version = 0;
    std::optional<time_point> m_freshAt;
    /// Rows that are gone, with the version at which that was seen, and the version since which all
    /// such are known here.
    std::map<std::string, store_version> m_tombstones;
    store_version m_tombstonesSince = 0;
    std::set<std::string> m_changed;
};

/// \returns \p changes as text.
std::string encodeChanges(const table_changes &changes);
/// \returns the changes in \p text to rows of \p table, or nothing when it can't be read.
std::optional<table_changes> decodeChanges(std::string_view text, const std::string &table);

} // namespace azurehill
