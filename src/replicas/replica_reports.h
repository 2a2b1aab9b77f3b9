#pragma once

#include "core/core.h"

#include <map>

namespace azurehill {

/// \brief Health of a replica as one daemon has observed it.
enum class replica_report {
    /// Requests fail at the replica, and none has succeeded since.
    Failing,
    /// The replica failed requests and has answered again since.
    Recovered,
};

template <>
struct enum_names<replica_report>
{
    static constexpr std::array<std::string_view, 2> names = {"fails", "answers"};
};

/// \brief The reports of one daemon by replica id, exchanged by gossip.
using replica_reports = std::map<upstream_id, replica_report>;

/// Maximum number of replica reports in one gossip message.
constexpr std::size_t maxReplicaReports = 8;

} // namespace azurehill
