#pragma once

#include "quota/quota_row.h"

#include <vector>

namespace azurehill {

/// \brief Number of shards that accounts are hashed to. Each shard has one row, held by one daemon.
constexpr std::size_t quotaShardCount = 32;

/// \returns the shard of \p account, below \c quotaShardCount.
std::size_t shardOf(const account_id &account);
/// \returns the name of the store row of \p shard.
row_name quotaRowName(std::size_t shard);
/// \returns the daemon among \p daemons that should hold \p shard, chosen by rendezvous hashing:
/// daemons that know the same members choose the same holder. Returns an empty id if there are
/// none.
daemon_id preferredHolder(std::size_t shard, const std::vector<daemon_id> &daemons);

/// \brief State of the daemon that a row names as its holder, as another daemon observes it.
enum class holder_state {
    /// It is alive according to the membership protocol.
    Alive,
    /// It certainly no longer lends: it released the row, or has restarted since.
    NoLongerLending,
    /// It is not a known member but may still lend: a dead daemon can't be distinguished from one
    /// behind a network partition.
    Unreachable,
};

template <>
struct enum_names<holder_state>
{
    static constexpr std::array<std::string_view, 3> names = {"lives", "ended", "silent"};
};

} // namespace azurehill
