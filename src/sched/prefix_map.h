#pragma once

#include "sched/call.h"
#include "sched/replica_table.h"

#include <unordered_map>
#include <vector>

namespace azurehill {

/// \brief Engine's notice that it dropped a prefix. Some of them get lost.
struct cache_event
{
    /// Counts the events of a replica, so that a gap shows.
    std::uint64_t sequence = 0;
    prefix_key prefix = 0;
};

/// \brief Which replicas probably hold which prefixes: what this daemon sent there, corrected by
/// cache events and by the cached tokens that answers report.
class prefix_map
{
public:
    struct holder
    {
        replica_index replica = noReplica;
        std::int64_t tokens = 0;
        time_point usedAt;
    };

    /// \brief The replica holds \p tokens of the prefix from now on.
    void set(prefix_key prefix, replica_index replica, std::int64_t tokens, time_point now);
    void drop(prefix_key prefix, replica_index replica);
    void onEvent(replica_index replica, const cache_event &event, time_point now);
    /// \brief Forgets the prefix everywhere. \returns the replicas that held it.
    std::vector<replica_index> release(prefix_key prefix);
    /// \brief Forgets what was not used for \p age.
    void expire(duration age, time_point now);

    const std::vector<holder> &holders(prefix_key prefix) const;
    /// \returns tokens of the prefix that the replica should have cached, on average.
    double expected(prefix_key prefix, replica_index replica) const;

private:
    struct event_state
    {
        std::uint64_t last = 0;
        /// Entries not used since then may have been dropped by an event that got lost.
        time_point uncertainBefore;
    };

    double trust(const holder &h) const;

    std::unordered_map<prefix_key, std::vector<holder>> m_holders;
    std::unordered_map<replica_index, event_state> m_events;
};

} // namespace azurehill
