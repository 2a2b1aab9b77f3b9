#include "dispatch/dispatcher_selection.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Replicas of one group. Larger groups use their slots better, smaller ones cost their dispatcher
/// less: 64 replicas of 8 slots are some 1,500 turns per second.
constexpr std::size_t replicasPerGroup = 64;
/// Fraction of the largest host's processor that a dispatcher's host has at least.
constexpr double minCoresFraction = 0.5;

} // namespace

std::uint32_t groupsOf(std::size_t replicas)
{
    // The number of groups changes at twice their size only, so that a few replicas more or less
    // don't move programs to other groups.
    std::uint32_t groups = 1;
    while (replicas >= 2 * replicasPerGroup * groups)
        groups *= 2;
    return groups;
}

std::uint32_t groupOf(const program_id &program, std::uint32_t groups)
{
    return static_cast<std::uint32_t>(stableHash(program.value) % groups);
}

std::uint32_t groupOf(const upstream_id &replica, std::uint32_t groups)
{
    return static_cast<std::uint32_t>(stableHash(replica.value) % groups);
}

daemon_id dispatcherOf(std::string_view service, std::uint32_t group,
                       const std::vector<dispatcher_candidate> &candidates)
{
    double mostCores = 0;
    for (const dispatcher_candidate &c : candidates)
        mostCores = std::max(mostCores, c.cores);
    const std::uint64_t groupHash = stableHash(service, group);
    daemon_id best;
    std::uint64_t highest = 0;
    for (const dispatcher_candidate &c : candidates) {
        if (c.cores < minCoresFraction * mostCores)
            continue;
        const std::uint64_t hash = stableHash(c.name.value, groupHash);
        if (!best.empty() && hash <= highest)
            continue;
        best = c.name;
        highest = hash;
    }
    return best;
}

} // namespace azurehill
