#include "members/gossip_reports.h"

namespace azurehill {

namespace {

/// Words older than this say little of a demand that follows bursts of some seconds. In this time
/// some 36 messages come, six a round, of as many daemons where there are many.
constexpr duration mostAge = milliseconds(1200);

} // namespace

void gossip_reports::onHeard(const daemon_id &member, concurrency_reports words,
                             replica_reports replicas, time_point now)
{
    m_heard[member] = {std::move(words), std::move(replicas), now};
}

void gossip_reports::expire(time_point now)
{
    std::erase_if(m_heard, [now](const auto &item) { return now - item.second.at > mostAge; });
}

std::vector<concurrency_reports> gossip_reports::heard() const
{
    std::vector<concurrency_reports> all;
    all.reserve(m_heard.size());
    for (const auto &[member, heard] : m_heard)
        all.push_back(heard.words);
    return all;
}

std::vector<replica_reports> gossip_reports::replicaReports() const
{
    std::vector<replica_reports> all;
    for (const auto &[member, heard] : m_heard) {
        if (!heard.replicas.empty())
            all.push_back(heard.replicas);
    }
    return all;
}

} // namespace azurehill
