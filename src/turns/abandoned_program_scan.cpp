#include "turns/abandoned_program_scan.h"

namespace azurehill {

duration abandoned_program_scan::jittered(duration interval)
{
    const double factor = std::uniform_real_distribution<double>(1.0, 1.5)(m_random);
    return std::chrono::duration_cast<duration>(interval * factor);
}

std::vector<program_id> abandoned_program_scan::onListed(const partition_page &page, time_point now,
                                                         duration interval, int daemons)
{
    std::vector<program_id> found;
    m_dueAt = now + jittered(interval);
    if (m_seen.empty()) {
        m_seen.insert(page.names.begin(), page.names.end());
        if (m_seen.empty())
            m_position.clear();
        return found;
    }
    std::uniform_int_distribution<int> share(1, std::max(1, daemons));
    for (const std::string &name : page.names) {
        if (m_seen.contains(name) && share(m_random) == 1)
            found.push_back({name});
    }
    m_seen.clear();
    m_position = page.hasMore ? page.names.back() : std::string();
    return found;
}

} // namespace azurehill
