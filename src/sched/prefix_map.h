#pragma once

#include "sched/call.h"
#include "sched/replica_table.h"

#include <unordered_map>
#include <vector>

namespace azurehill {

/// \brief Notification from an engine that it evicted a prefix. Delivery is not reliable.
struct cache_event
{
    /// Sequence number of the event at its replica, to detect lost events.
    std::uint64_t sequence = 0;
    prefix_key prefix = 0;
};

/// \brief Estimate of which replicas have which prompt prefixes cached.
///
/// It is based on the calls that this daemon sent, corrected by cache events and by the number of
/// cached tokens that responses report.
class prefix_map
{
public:
    struct holder
    {
        replica_index replica = noReplica;
        std::int64_t tokens = 0;
        time_point usedAt;
    };

    /// \brief Records that the replica has \p tokens of the prefix cached.
    void set(prefix_key prefix, replica_index replica, std::int64_t tokens, time_point now);
    void drop(prefix_key prefix, replica_index replica);
    void onEvent(replica_index replica, const cache_event &event, time_point now);
    /// \brief Removes the prefix from all replicas. \returns the replicas that had it cached.
    std::vector<replica_index> release(prefix_key prefix);
    /// \brief Removes entries that were not used for \p age.
    void expire(duration age, time_point now);

    const std::vector<holder> &holders(prefix_key prefix) const;
    /// \returns the expected number of tokens of the prefix that the replica has cached.
    double expected(prefix_key prefix, replica_index replica) const;

private:
    struct event_state
    {
        std::uint64_t last = 0;
        /// Entries last used before this time may have been evicted by an event that was lost.
        time_point uncertainBefore;
    };

    double confidence(const holder &h) const;

    std::unordered_map<prefix_key, std::vector<holder>> m_holders;
    std::unordered_map<replica_index, event_state> m_events;
};

} // namespace azurehill
