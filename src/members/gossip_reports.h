#pragma once

#include "core/core.h"
#include "replicas/place_division.h"
#include "replicas/replica_reports.h"

#include <map>
#include <vector>

namespace azurehill {

/// \brief The words on places and replicas that came lately, one of each daemon that was heard.
///
/// Each daemon talks to some others by chance in each round, so what it hears in a second is a
/// sample of all, as fresh as a second, at a cost that does not grow with their number. Where there
/// are few daemons it is all of them.
class gossip_reports
{
public:
    /// \brief \p member told \p words of places and \p replicas.
    void onHeard(const daemon_id &member, concurrency_reports words, replica_reports replicas,
                 time_point now);
    /// \brief Forgets words that are too old.
    void expire(time_point now);
    /// \returns what each daemon that was heard lately told last.
    std::vector<concurrency_reports> heard() const;
    /// \returns what those daemons told of replicas, where they told anything.
    std::vector<replica_reports> replicaReports() const;

private:
    struct received_report
    {
        concurrency_reports words;
        replica_reports replicas;
        time_point at;
    };

    std::map<daemon_id, received_report> m_heard;
};

} // namespace azurehill
