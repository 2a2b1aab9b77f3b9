#include "sched/router.h"

#include <tuple>

namespace azurehill {

void router::setReplicas(const std::vector<replica> &listed)
{
    std::map<upstream_id, replica> next;
    for (replica r : listed) {
        if (const auto known = m_replicas.find(r.id); known != m_replicas.end())
            r.outstanding = known->second.outstanding;
        next.emplace(r.id, std::move(r));
    }
    m_replicas = std::move(next);
}

const replica *router::choose(std::string_view service) const
{
    const auto cost = [&](const replica &r) {
        return std::tuple(r.outstanding, r.dataCentre == m_here ? 0 : 1);
    };
    const replica *best = nullptr;
    for (const auto &[id, r] : m_replicas) {
        if (r.service != service || r.leaving)
            continue;
        if (!best || cost(r) < cost(*best))
            best = &r;
    }
    return best;
}

void router::onSent(const upstream_id &id)
{
    if (const auto it = m_replicas.find(id); it != m_replicas.end())
        ++it->second.outstanding;
}

void router::onDone(const upstream_id &id)
{
    if (const auto it = m_replicas.find(id); it != m_replicas.end())
        --it->second.outstanding;
}

} // namespace azurehill
