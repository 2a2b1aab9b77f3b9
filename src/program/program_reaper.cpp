#include "program/program_reaper.h"

namespace azurehill {

namespace {

struct family_activity
{
    std::int64_t stamp = 0;
    bool callOpen = false;
};

/// \returns the activity of \p p and its descendants; its stamp increases with each turn and each
/// spent token.
family_activity activityOf(const program_registry &registry, const program &p)
{
    family_activity a{p.lastTurn + p.spentTokens + 1, p.openCall.has_value()};
    for (const program_id &child : p.children) {
        if (const program *c = registry.find(child)) {
            const family_activity below = activityOf(registry, *c);
            a.stamp += below.stamp;
            a.callOpen = a.callOpen || below.callOpen;
        }
    }
    return a;
}

} // namespace

std::vector<program_ended> program_reaper::findDue(const program_registry &registry, time_point now,
                                                   std::int64_t nowUnixMs)
{
    std::erase_if(m_observations, [&](const auto &entry) { return !registry.find(entry.first); });
    std::vector<program_ended> due;
    for (const auto &[id, p] : registry.programs()) {
        if (p.ended)
            continue;
        const family_activity activity = activityOf(registry, p);
        observation &s
            = m_observations.try_emplace(id, observation{activity.stamp, now}).first->second;
        if (activity.callOpen || activity.stamp != s.activity)
            s = {activity.stamp, now};
        if (activity.callOpen)
            continue;
        if (p.deadlineUnixMs != 0 && nowUnixMs >= p.deadlineUnixMs)
            due.push_back({id, end_reason::DeadlinePassed});
        else if (p.idleMs != 0 && now - s.unchangedSince >= milliseconds(p.idleMs))
            due.push_back({id, end_reason::Expired});
    }
    return due;
}

} // namespace azurehill
