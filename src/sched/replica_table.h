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

/// \brief Index of a replica in the table. It is never reused for another replica.
using replica_index = std::uint32_t;
constexpr replica_index noReplica = std::numeric_limits<replica_index>::max();

/// \brief The available replicas of one service, in this daemon's data centre (near) and in
/// others (far).
struct replica_group
{
    std::vector<replica_index> near;
    std::vector<replica_index> far;
};

/// \brief Estimated load of a replica.
struct load_estimate
{
    double calls = 0;
    double prefillTokens = 0;
};

/// \brief Replicas with their last load reports, each corrected by the calls that this daemon
/// sent or finished since.
class replica_table
{
public:
    explicit replica_table(data_centre_id localDataCentre)
        : m_localDataCentre(std::move(localDataCentre))
    { }

    /// \brief Sets the current list of replicas from the platform.
    void setReplicas(const std::vector<replica> &listed);
    /// \brief Stops sending calls to a replica that reported its own shutdown, before the list
    /// shows it.
    void setLeaving(replica_index index);
    void onReport(const upstream_id &id, const load_report &report);

    void onSent(replica_index index, std::int64_t promptTokens, std::int64_t prefillTokens,
                time_point now);
    /// \param sentAt the time passed to onSent() for this call.
    void onDone(replica_index index, std::int64_t promptTokens, std::int64_t prefillTokens,
                time_point sentAt, time_point now);

    replica_index find(const upstream_id &id) const;
    const replica &at(replica_index index) const { return m_entries[index].listed; }
    /// \returns whether the replica is listed and not leaving.
    bool isAvailable(replica_index index) const;
    load_estimate load(replica_index index) const;
    /// \returns the prompt tokens of this daemon's calls in progress at the replica.
    std::int64_t ownTokens(replica_index index) const { return m_entries[index].ownTokens; }
    /// \returns the available replicas of \p service.
    const replica_group &group(std::string_view service) const;
    std::vector<replica> list() const;
    const data_centre_id &here() const { return m_localDataCentre; }

private:
    /// \brief A change of load by this daemon that the last report may not include.
    struct local_change
    {
        time_point at;
        int calls = 0;
        std::int64_t prefillTokens = 0;
    };
    struct entry
    {
        replica listed;
        bool isRemoved = false;
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

    data_centre_id m_localDataCentre;
    std::vector<entry> m_entries;
    std::unordered_map<upstream_id, replica_index> m_index;
    std::map<std::string, replica_group, std::less<>> m_groups;
};

} // namespace azurehill
