#pragma once

#include "quota/quota_row.h"

#include <vector>

namespace azurehill {

/// \brief Accounts are spread over this many rows, each held by one daemon.
constexpr std::size_t quotaShardCount = 32;

/// \returns the shard of \p account, below \c quotaShardCount.
std::size_t shardOf(const account_id &account);
/// \returns the row of \p shard in the store.
row_name quotaRowName(std::size_t shard);
/// \returns the daemon among \p daemons that should hold \p shard, the same wherever the same
/// daemons are known; an empty id if there are none.
daemon_id preferredHolder(std::size_t shard, const std::vector<daemon_id> &daemons);

/// \brief What is known of the daemon that a row names as its holder.
enum class holder_state {
    /// It lives as far as anybody knows.
    Lives,
    /// It is certain that it lends no more: it released the row, or runs anew.
    NoLongerLending,
    /// It may still lend: nobody hears of it, or it can't be told from one that was cut off.
    Silent,
};

template <>
struct enum_names<holder_state>
{
    static constexpr std::array<std::string_view, 3> names = {"lives", "ended", "silent"};
};

} // namespace azurehill
