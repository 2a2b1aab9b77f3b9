#pragma once

#include "core/core.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace azurehill {

/// \brief A daemon that may dispatch a group.
struct dispatcher_candidate
{
    daemon_id name;
    /// Processor of its host, in cores.
    double cores = 0;
};

/// \returns the number of groups that \p replicas replicas of one service form. A group is as large
/// as one small host can dispatch.
std::uint32_t groupsOf(std::size_t replicas);
/// \returns the group of \p program among \p groups.
std::uint32_t groupOf(const program_id &program, std::uint32_t groups);
/// \returns the group of \p replica among \p groups.
std::uint32_t groupOf(const upstream_id &replica, std::uint32_t groups);
/// \returns the daemon that dispatches \p group of \p service: by rendezvous hashing over the
/// candidates with at least half of the processor of the largest one, or empty without candidates.
daemon_id dispatcherOf(std::string_view service, std::uint32_t group,
                       const std::vector<dispatcher_candidate> &candidates);

} // namespace azurehill
