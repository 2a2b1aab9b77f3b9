#include "turns/row_retention_tracker.h"

namespace azurehill {

void row_retention_tracker::onTurnAdded(const program_id &program, const turn_id &id,
                                        store_version version, time_point until)
{
    onAccountChanged(program, version, until);
    m_programs[program].turns.push_back(id);
}

void row_retention_tracker::onAccountChanged(const program_id &program, store_version version,
                                             time_point until)
{
    entry &e = m_programs[program];
    e.version = std::max(e.version, version);
    e.until = std::max(e.until, until);
}

std::vector<row_retention_tracker::expired_program>
row_retention_tracker::takeExpired(time_point now, std::size_t most)
{
    std::vector<expired_program> due;
    for (auto it = m_programs.begin(); it != m_programs.end() && due.size() < most;) {
        if (it->second.until > now) {
            ++it;
            continue;
        }
        due.push_back({it->first, it->second.version, std::move(it->second.turns)});
        it = m_programs.erase(it);
    }
    return due;
}

} // namespace azurehill
