#pragma once

#include "core/ids.h"
#include "platform/table.h"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace azurehill {

/// \brief One daemon of a cell.
struct member
{
    daemon_id daemon;
    /// Random id of this run of the daemon; a restarted daemon has another.
    std::string incarnation;
    /// Where callers connect, as "host:port".
    std::string address;
    /// Where other daemons connect, as "host:port".
    std::string innerAddress;
    data_centre_id dataCentre;
    /// A draining member owns only what it retainedPrograms and is in no look-up.
    bool draining = false;
    /// A joining member owns nothing until all others have said which programs they keep.
    bool joining = false;
    /// Root programs that would go to another member and stay until their running calls have
    /// ended, sorted.
    std::vector<program_id> retainedPrograms = {};

    friend bool operator==(const member &, const member &) = default;
};

/// \brief The members of a cell as the table has them: the single place that says who owns what.
///
/// The view is one row. Every durable write of a daemon checks that the row still has the version
/// that the daemon knows, so a daemon that missed a change can write nothing.
struct cell_view
{
    /// Version of the row; 0 when there is no view yet.
    row_version version = 0;
    /// Grows by one with each view of the cell.
    fencing_number number = 0;
    std::vector<member> members;

    /// \returns the member \p id, or nullptr.
    const member *find(const daemon_id &id) const;
};

/// \returns the value of the row that holds \p view.
std::string encode(const cell_view &view);
/// \returns the view in \p row, or what is wrong with it.
tl::expected<cell_view, std::string> decodeView(const table_row &row);

} // namespace azurehill
