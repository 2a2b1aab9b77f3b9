#include "lending/lender_view.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Before this, a daemon knows too few others to conclude that one is silent.
constexpr duration settleTime = seconds(3);

/// Fraction of the largest host's processor that a holder's host has at least. One account may send
/// thousands of requests per second, which a host of 0.12 cores can't answer in time.
constexpr double minCoresFraction = 0.5;

} // namespace

void lender_view::set(member_state self, std::vector<member_state> others)
{
    if (!m_firstSetAt)
        m_firstSetAt = runtime_clock::now();
    m_self = std::move(self);
    m_others = std::move(others);
    selectCandidates(true);
    // While no daemon reaches the store, holders go on lending by their reservations, so that none
    // is to hand its row over.
    if (m_candidates.empty())
        selectCandidates(false);
}

void lender_view::selectCandidates(bool reachesStore)
{
    std::vector<const member_state *> serving;
    double mostCores = 0;
    const auto consider = [&](const member_state &m) {
        if (!m.serving || (reachesStore && !m.storeReachable))
            return;
        serving.push_back(&m);
        mostCores = std::max(mostCores, m.cores);
    };
    consider(m_self);
    std::for_each(m_others.begin(), m_others.end(), consider);
    m_candidates.clear();
    for (const member_state *m : serving) {
        if (m->cores >= minCoresFraction * mostCores)
            m_candidates.push_back(m->name);
    }
}

const member_state *lender_view::find(const daemon_id &name) const
{
    if (name == m_self.name)
        return &m_self;
    const auto found = std::find_if(m_others.begin(), m_others.end(),
                                    [&](const member_state &m) { return m.name == name; });
    return found == m_others.end() ? nullptr : &*found;
}

daemon_id lender_view::preferred(std::size_t shard) const
{
    return preferredHolder(shard, m_candidates);
}

holder_state lender_view::stateOf(const quota_row &row) const
{
    const member_state *const holder = find(row.holder);
    if (row.isReleased || (holder && holder->incarnation > row.incarnation))
        return holder_state::NoLongerLending;
    return holder ? holder_state::Alive : holder_state::Unreachable;
}

bool lender_view::isSettled(time_point now) const
{
    return m_firstSetAt && now >= *m_firstSetAt + settleTime;
}

endpoint lendingAddress(const member_state &member)
{
    return {member.gossip.host, static_cast<std::uint16_t>(member.gossip.port + 1)};
}

} // namespace azurehill
