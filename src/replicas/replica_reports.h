#pragma once

#include "core/core.h"

#include <map>

namespace azurehill {

/// \brief What a daemon has seen of a replica itself.
enum class replica_report {
    /// Requests fail there, and none has been answered since.
    Fails,
    /// It failed requests, and answers them again.
    Answers,
};

template <>
struct enum_names<replica_report>
{
    static constexpr std::array<std::string_view, 2> names = {"fails", "answers"};
};

/// \brief What a daemon tells the others of replicas, by the replicas' ids.
using replica_reports = std::map<upstream_id, replica_report>;

/// Most replicas of which one message tells.
constexpr std::size_t maxReplicaReports = 8;

} // namespace azurehill
