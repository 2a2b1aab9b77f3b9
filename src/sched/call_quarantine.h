#pragma once

#include "program/refusal.h"
#include "quarantine/quarantine.h"
#include "sched/replica.h"

#include <map>
#include <optional>
#include <vector>

namespace azurehill {

/// \brief Quarantine of calls under which replicas end, as one daemon knows it: all attempts of a
/// call of a program pass its owner.
class call_quarantine
{
public:
    /// \returns why \p call may not be sent to a replica at \p now, or nothing if it may.
    std::optional<refusal> check(const request_fingerprint &call, time_point now) const;
    /// \brief A send of \p call to the replica \p id at \p address has ended.
    /// \param loss how the replica lost it, or nothing if it answered.
    void onEnded(const request_fingerprint &call, const upstream_id &id, const std::string &address,
                 std::optional<send_loss> loss, time_point now);
    /// \brief Sets the replicas that the platform lists.
    void setReplicas(const std::vector<replica> &listed, time_point now);

private:
    struct seen_replica
    {
        std::string address;
        bool isLeaving = false;
        time_point answeredAt;
        /// If it leaves: a time before it announced that.
        time_point leavesNotBefore;
    };

    replica_sight sightOf(const replica_incarnation &who) const;
    void update(time_point now);
    /// \brief Settles suspicions by the list that the platform has just given.
    void settleByList(time_point now);

    std::map<upstream_id, seen_replica> m_listed;
    time_point m_listedAt;
    crash_watch m_watch;
    crash_ledger m_ledger;
    std::uint64_t m_sends = 0;
};

} // namespace azurehill
