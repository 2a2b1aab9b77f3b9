#pragma once

#include "quota/quota_bound.h"
#include "rows/row.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurehill {

/// \brief Credits of one account as recorded in the store: the holder's reservation, and the
/// credits of previous holders that still count.
struct credit_reservation
{
    /// Number of credits that the holder may lend in a window.
    int credits = 0;
    /// \brief Credits of a previous holder of the row, and the time for which they still count
    /// after the write of the row.
    struct peer_share
    {
        int credits = 0;
        duration left = duration::zero();
    };
    std::vector<peer_share> peerCredits;
};

/// \brief Lease row of a quota shard in the store. It names the daemon that lends the credits of
/// the shard's accounts, and limits how many it may lend.
struct quota_row
{
    daemon_id holder;
    std::int64_t incarnation = 0;
    /// The holder has released the row and no longer lends.
    bool isReleased = false;
    std::map<account_id, credit_reservation> reservations;
};

/// \returns \p row encoded as the value that the store holds.
std::string encodeQuotaRow(const quota_row &row);
/// \returns the row decoded from \p text, or nothing if it is malformed.
std::optional<quota_row> decodeQuotaRow(std::string_view text);

} // namespace azurehill
