#include "ownership/membership.h"

#include <algorithm>

namespace azurehill {

membership::membership(member self, lease_settings settings)
    : m_self(std::move(self)), m_settings(settings), m_holder(settings), m_observer(settings)
{
    m_lease.daemon = m_self.daemon;
    m_lease.incarnation = m_self.incarnation;
}

bool membership::onView(const cell_view &view, time_point now)
{
    const bool first = !m_viewRead;
    m_viewRead = true;
    if (view.number < m_view.number || (!first && view.number == m_view.number))
        return false;
    m_view = view;
    for (const member &m : m_view.members)
        m_observer.watch(m.daemon, now);
    return true;
}

void membership::onLeases(const std::vector<lease_record> &leases, time_point now)
{
    for (const lease_record &lease : leases)
        m_observer.onRead(lease, now);
}

void membership::onRenewed(time_point sentAt)
{
    m_holder.onRenewed(sentAt);
}

void membership::onLoaded(fencing_number number)
{
    m_lease.loadedView = number;
}

void membership::drain()
{
    m_self.draining = true;
}

std::vector<membership_action> membership::poll(time_point now)
{
    std::vector<membership_action> actions;
    if (now >= m_holder.renewAt()) {
        ++m_lease.counter;
        actions.emplace_back(renew_lease{m_lease});
    }
    if (!m_viewRead || !m_holder.holds(now))
        return actions;
    if (auto next = nextView(now))
        actions.emplace_back(change_view{m_view.version, std::move(*next)});
    return actions;
}

std::optional<cell_view> membership::nextView(time_point now) const
{
    cell_view next{0, m_view.number + 1, {}};
    for (const member &m : m_view.members) {
        if (m.daemon != m_self.daemon && !m_observer.hasLapsed(m.daemon, now))
            next.members.push_back(m);
    }
    next.members.push_back(m_self);
    const auto byId = [](const member &a, const member &b) { return a.daemon < b.daemon; };
    std::sort(next.members.begin(), next.members.end(), byId);
    if (next.members == m_view.members)
        return std::nullopt;
    return next;
}

bool membership::isActive(time_point now) const
{
    const member *me = m_view.find(m_self.daemon);
    return m_holder.holds(now) && me && me->incarnation == m_self.incarnation;
}

} // namespace azurehill
