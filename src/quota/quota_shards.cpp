#include "quota/quota_shards.h"

#include <fmt/format.h>

namespace azurehill {

namespace {

constexpr std::string_view quotaTable = "quotas";

} // namespace

std::size_t shardOf(const account_id &account)
{
    return stableHash(account.value) % quotaShardCount;
}

row_name quotaRowName(std::size_t shard)
{
    // A part of its own, so that the holders' writes don't wait for each other.
    const std::string name = fmt::format("{:02}", shard);
    return {std::string(quotaTable), name, name};
}

daemon_id preferredHolder(std::size_t shard, const std::vector<daemon_id> &daemons)
{
    daemon_id best;
    std::uint64_t highest = 0;
    for (const daemon_id &one : daemons) {
        const std::uint64_t weight = stableHash(one.value, shard + 1);
        if (best.empty() || weight > highest || (weight == highest && one < best)) {
            best = one;
            highest = weight;
        }
    }
    return best;
}

} // namespace azurehill
