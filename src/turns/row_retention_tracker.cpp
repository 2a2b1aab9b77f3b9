#include "turns/row_retention_tracker.h"

#include <algorithm>

namespace azurehill {

void row_retention_tracker::onWritten(const program_id &program, store_version version,
                                      time_point now, duration retention)
{
    if (!hasRoomFor(program))
        return;
    schedule &s = m_programs[program];
    s.version = std::max(s.version, std::optional(version));
    s.knownSince = std::max(s.knownSince, now);
    s.retention = std::max(s.retention, retention);
    s.dueAt = std::max(s.dueAt, s.knownSince + s.retention);
}

void row_retention_tracker::onFound(const program_id &program, time_point now)
{
    if (hasRoomFor(program))
        m_programs.try_emplace(program, schedule{std::nullopt, now, duration::zero(), now});
}

void row_retention_tracker::reschedule(const tracked_program &program, time_point dueAt)
{
    if (!hasRoomFor(program.program))
        return;
    schedule &s = m_programs[program.program];
    s.version = std::max(s.version, program.version);
    s.knownSince = std::max(s.knownSince, program.knownSince);
    s.dueAt = std::max(s.dueAt, dueAt);
}

bool row_retention_tracker::hasRoomFor(const program_id &program) const
{
    return m_programs.size() < m_maxPrograms || m_programs.contains(program);
}

std::vector<row_retention_tracker::tracked_program>
row_retention_tracker::takeDue(time_point now, std::size_t maxPrograms)
{
    std::vector<tracked_program> due;
    for (auto it = m_programs.begin(); it != m_programs.end() && due.size() < maxPrograms;) {
        if (it->second.dueAt > now) {
            ++it;
            continue;
        }
        due.push_back({it->first, it->second.version, it->second.knownSince});
        it = m_programs.erase(it);
    }
    return due;
}

} // namespace azurehill
