#include "turns/retention_policy.h"

#include <algorithm>

namespace azurehill {

void retention_policy::setRoutes(std::map<std::string, duration> retentions)
{
    m_routes = std::move(retentions);
    for (const auto &[route, retention] : m_routes)
        m_longest = std::max(m_longest, retention);
}

duration retention_policy::of(const turn &t) const
{
    const auto route = m_routes.find(t.route);
    const duration current = route == m_routes.end() ? duration::zero() : route->second;
    return std::max(t.retention.value_or(m_longest), current);
}

duration retention_policy::of(const token_account &account) const
{
    return account.retention.value_or(m_longest);
}

} // namespace azurehill
