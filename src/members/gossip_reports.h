#pragma once

#include "core/core.h"
#include "replicas/place_division.h"
#include "replicas/replica_reports.h"

#include <map>
#include <vector>

namespace azurehill {

/// \brief Recent reports of other daemons on engine demand and replica health, the latest of each.
///
/// Reports arrive with the messages of random daemons in each round. The reports of one second are
/// a random sample of all daemons, at a cost that does not grow with their number, and cover all
/// daemons if there are few.
class gossip_reports
{
public:
    /// \brief Stores the reports of \p member, in place of its earlier ones.
    void onReports(const daemon_id &member, concurrency_reports demand, replica_reports replicas,
                   time_point now);
    /// \brief Removes reports that are too old.
    void expire(time_point now);
    /// \returns the demand reports, one per daemon.
    std::vector<concurrency_reports> demandReports() const;
    /// \returns the replica reports that are not empty, one per daemon.
    std::vector<replica_reports> replicaReports() const;

private:
    struct received_report
    {
        concurrency_reports demand;
        replica_reports replicas;
        time_point at;
    };

    std::map<daemon_id, received_report> m_latest;
};

} // namespace azurehill
