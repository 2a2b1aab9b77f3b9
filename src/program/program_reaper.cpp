#include "program/program_reaper.h"

namespace azurehill {

namespace {

struct family_activity
{
    std::int64_t stamp = 0;
    bool callOpen = false;
};

/// \returns a number that grows with whatever \p p and the programs below it do.
family_activity activityOf(const program_registry &book, const program &p)
{
    family_activity a{p.lastTurn + p.spentTokens + 1, p.open.has_value()};
    for (const program_id &child : p.children) {
        if (const program *c = book.find(child)) {
            const family_activity below = activityOf(book, *c);
            a.stamp += below.stamp;
            a.callOpen = a.callOpen || below.callOpen;
        }
    }
    return a;
}

} // namespace

std::vector<program_ended> program_reaper::tick(const program_registry &book, time_point now,
                                                std::int64_t nowUnixMs)
{
    std::erase_if(m_seen, [&](const auto &entry) { return !book.find(entry.first); });
    std::vector<program_ended> due;
    for (const auto &[id, p] : book.programs()) {
        if (p.ended)
            continue;
        const family_activity activity = activityOf(book, p);
        seen &s = m_seen.try_emplace(id, seen{activity.stamp, now}).first->second;
        if (activity.callOpen || activity.stamp != s.activity)
            s = {activity.stamp, now};
        if (activity.callOpen)
            continue;
        if (p.deadlineUnixMs != 0 && nowUnixMs >= p.deadlineUnixMs)
            due.push_back({id, end_reason::DeadlinePassed});
        else if (p.idleMs != 0 && now - s.since >= milliseconds(p.idleMs))
            due.push_back({id, end_reason::Expired});
    }
    return due;
}

} // namespace azurehill
