#pragma once

#include "sched/load_report.h"
#include "sched/replica.h"

#include <deque>
#include <limits>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace azurehill {

/// \brief Index of a replica in the table. It is never used again for another replica.
using replica_index = std::uint32_t;
constexpr replica_index noReplica = std::numeric_limits<replica_index>::max();

/// \brief The replicas of one service, by distance.
struct replica_group
{
    std::vector<replica_index> near;
    std::vector<replica_index> far;
};

/// \brief Load of a replica as far as this daemon can tell.
struct load_estimate
{
    double calls = 0;
    double prefillTokens = 0;
};

/// \brief Replicas with the last load report and this daemon's own work on top of it.
class replica_table
{
public:
    explicit replica_table(data_centre_id here) : m_here(std::move(here)) { }

    /// \brief Takes in the replicas that the platform lists now.
    void setReplicas(const std::vector<replica> &listed);
    /// \brief Stops new work for a replica that says itself that it leaves, before the list does.
    void setLeaving(replica_index index);
    void onReport(const upstream_id &id, const load_report &report);

    void onSent(replica_index index, std::int64_t promptTokens, std::int64_t prefillTokens,
                time_point now);
    /// \param sentAt when the call was given to onSent().
    void onDone(replica_index index, std::int64_t promptTokens, std::int64_t prefillTokens,
                time_point sentAt, time_point now);

    replica_index find(const upstream_id &id) const;
    const replica &at(replica_index index) const { return m_entries[index].listed; }
    /// \returns whether the replica may be given work.
    bool isOpen(replica_index index) const;
    load_estimate load(replica_index index) const;
    /// \returns prompt tokens of this daemon's calls that are under way there.
    std::int64_t ownTokens(replica_index index) const { return m_entries[index].ownTokens; }
    /// \returns the replicas of \p service that may be given work.
    const replica_group &group(std::string_view service) const;
    std::vector<replica> list() const;
    const data_centre_id &here() const { return m_here; }

private:
    /// \brief A change by this daemon that the last report may not show yet.
    struct local_change
    {
        time_point at;
        int calls = 0;
        std::int64_t prefillTokens = 0;
    };
    struct entry
    {
        replica listed;
        bool gone = false;
        bool reportedLeaving = false;
        load_report report;
        std::int64_t ownTokens = 0;
        std::int64_t ownPrefill = 0;
        std::deque<local_change> changes;
        int callsSinceReport = 0;
        std::int64_t prefillSinceReport = 0;
    };

    static void change(entry &e, int calls, std::int64_t prefillTokens, time_point now);
    void regroup();

    data_centre_id m_here;
    std::vector<entry> m_entries;
    std::unordered_map<upstream_id, replica_index> m_index;
    std::map<std::string, replica_group, std::less<>> m_groups;
};

} // namespace azurehill
