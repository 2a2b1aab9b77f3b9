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
    /// Random id of this process run; a restart of the daemon gets a new one.
    std::string incarnation;
    /// Address for clients, as "host:port".
    std::string address;
    /// Address for other daemons, as "host:port".
    std::string innerAddress;
    data_centre_id dataCentre;
    /// A draining member owns only its retained programs and is not offered in look-ups.
    bool draining = false;
    /// A joining member owns no program until every other member has published which programs it
    /// retains.
    bool joining = false;
    /// Sorted ids of the root programs that hash to another member but stay at this one until their
    /// running calls have ended.
    std::vector<program_id> retainedPrograms = {};

    friend bool operator==(const member &, const member &) = default;
};

/// \brief The membership view of a cell, as stored in the table: the only source of truth for
/// program ownership.
///
/// The view is one row. Every durable write of a daemon is conditional on the row version that the
/// daemon knows, so a daemon with an outdated view cannot write anything.
struct cell_view
{
    /// Version of the row; 0 if the row does not exist yet.
    row_version version = 0;
    /// Fencing number; incremented by one with each view of the cell.
    fencing_number number = 0;
    std::vector<member> members;

    /// \returns the member \p id, or nullptr.
    const member *find(const daemon_id &id) const;
};

/// \returns the value of the row that holds \p view.
std::string encode(const cell_view &view);
/// \returns the view decoded from \p row, or a description of the decoding error.
tl::expected<cell_view, std::string> decodeView(const table_row &row);

} // namespace azurehill
