#pragma once

#include "sched/replica.h"

#include <map>
#include <string_view>
#include <vector>

namespace azurehill {

/// \brief Chooses the replica for a call.
class router
{
public:
    explicit router(data_centre_id here) : m_here(std::move(here)) { }

    /// \brief Takes in the replicas that the platform lists now.
    void setReplicas(const std::vector<replica> &listed);
    /// \returns the replica with the least work of this daemon, near ones first, or nullptr.
    const replica *choose(std::string_view service) const;
    void onSent(const upstream_id &id);
    void onDone(const upstream_id &id);

    const std::map<upstream_id, replica> &replicas() const { return m_replicas; }

private:
    data_centre_id m_here;
    std::map<upstream_id, replica> m_replicas;
};

} // namespace azurehill
