#include "members/gossip_reports.h"

namespace azurehill {

namespace {

/// Older reports say little about a demand that changes in bursts of some seconds. Within this time
/// some 36 messages arrive, six per round, from as many daemons if there are many.
constexpr duration maxReportAge = milliseconds(1200);

} // namespace

void gossip_reports::onReports(const daemon_id &member, concurrency_reports demand,
                               replica_reports replicas, time_point now)
{
    m_latest[member] = {std::move(demand), std::move(replicas), now};
}

void gossip_reports::expire(time_point now)
{
    std::erase_if(m_latest,
                  [now](const auto &item) { return now - item.second.at > maxReportAge; });
}

std::vector<concurrency_reports> gossip_reports::demandReports() const
{
    std::vector<concurrency_reports> all;
    all.reserve(m_latest.size());
    for (const auto &[member, latest] : m_latest)
        all.push_back(latest.demand);
    return all;
}

std::vector<replica_reports> gossip_reports::replicaReports() const
{
    std::vector<replica_reports> all;
    for (const auto &[member, latest] : m_latest) {
        if (!latest.replicas.empty())
            all.push_back(latest.replicas);
    }
    return all;
}

} // namespace azurehill
