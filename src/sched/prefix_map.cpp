#include "sched/prefix_map.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Share of the entries from before a gap that are taken to be still there.
constexpr double confidenceAfterGap = 0.7;
/// Only the replicas used last are remembered for a prefix.
constexpr std::size_t maxHolders = 8;

} // namespace

void prefix_map::set(prefix_key prefix, replica_index replica, std::int64_t tokens, time_point now)
{
    std::vector<holder> &all = m_holders[prefix];
    std::erase_if(all, [&](const holder &h) { return h.replica == replica; });
    if (all.size() == maxHolders)
        all.erase(all.begin());
    all.push_back({replica, tokens, now});
}

void prefix_map::drop(prefix_key prefix, replica_index replica)
{
    const auto it = m_holders.find(prefix);
    if (it == m_holders.end())
        return;
    std::erase_if(it->second, [&](const holder &h) { return h.replica == replica; });
    if (it->second.empty())
        m_holders.erase(it);
}

void prefix_map::onEvent(replica_index replica, const cache_event &event, time_point now)
{
    event_state &state = m_events[replica];
    if (state.last != 0 && event.sequence != state.last + 1)
        state.uncertainBefore = now;
    state.last = event.sequence;
    drop(event.prefix, replica);
}

std::vector<replica_index> prefix_map::release(prefix_key prefix)
{
    std::vector<replica_index> replicas;
    for (const holder &h : holders(prefix))
        replicas.push_back(h.replica);
    m_holders.erase(prefix);
    return replicas;
}

void prefix_map::expire(duration age, time_point now)
{
    for (auto it = m_holders.begin(); it != m_holders.end();) {
        std::erase_if(it->second, [&](const holder &h) { return now - h.usedAt > age; });
        it = it->second.empty() ? m_holders.erase(it) : std::next(it);
    }
}

const std::vector<prefix_map::holder> &prefix_map::holders(prefix_key prefix) const
{
    static const std::vector<holder> none;
    const auto it = m_holders.find(prefix);
    return it == m_holders.end() ? none : it->second;
}

double prefix_map::expected(prefix_key prefix, replica_index replica) const
{
    for (const holder &h : holders(prefix)) {
        if (h.replica == replica)
            return double(h.tokens) * trust(h);
    }
    return 0;
}

double prefix_map::trust(const holder &h) const
{
    const auto it = m_events.find(h.replica);
    return it != m_events.end() && h.usedAt < it->second.uncertainBefore ? confidenceAfterGap : 1;
}

} // namespace azurehill
