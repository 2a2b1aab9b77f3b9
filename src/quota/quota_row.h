#pragma once

#include "quota/quota_bound.h"
#include "rows/row.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurehill {

/// \brief What the store knows of an account's credits.
struct credit_reservation
{
    /// Credits that the holder may lend in a window.
    int credits = 0;
    /// \brief Credits of daemons that held the row before, and for how long they count from the
    /// write of the row on.
    struct peer_share
    {
        int credits = 0;
        duration left = duration::zero();
    };
    std::vector<peer_share> foreign;
};

/// \brief The row of the store that names the daemon that lends the credits of some accounts, and
/// bounds how many it may lend.
struct quota_row
{
    daemon_id holder;
    std::int64_t incarnation = 0;
    /// The holder has stopped and lends no more.
    bool isReleased = false;
    std::map<account_id, credit_reservation> levels;
};

/// \returns \p row as the text that the store holds.
std::string encodeQuotaRow(const quota_row &row);
/// \returns the row in \p text, or nothing when it can't be read.
std::optional<quota_row> decodeQuotaRow(std::string_view text);

} // namespace azurehill
