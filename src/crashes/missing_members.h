#pragma once

#include "members/member_state.h"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace azurehill {

/// \brief Daemons that this one knew as live and no longer does. They have ended, or a cut lies
/// between them and this daemon, so that their reports may be missing here.
class missing_members
{
public:
    /// Time after which a daemon that does not return is taken to have ended.
    static constexpr duration maxAbsence = seconds(60);

    /// \brief Sets the other daemons that are live now.
    void update(const std::vector<member_state> &live, time_point now)
    {
        m_hasMembers = true;
        std::set<daemon_id> names;
        for (const member_state &member : live) {
            names.insert(member.name);
            m_missingSince.erase(member.name);
        }
        for (const daemon_id &name : m_live) {
            if (!names.contains(name))
                m_missingSince.emplace(name, now);
        }
        m_live = std::move(names);
        std::erase_if(m_missingSince,
                      [now](const auto &item) { return now >= item.second + maxAbsence; });
    }
    /// \returns whether the other daemons are known yet.
    bool hasMembers() const { return m_hasMembers; }
    /// \returns whether reports of any daemon may be missing at \p now.
    bool any(time_point now) const
    {
        return std::any_of(m_missingSince.begin(), m_missingSince.end(),
                           [now](const auto &item) { return now < item.second + maxAbsence; });
    }

private:
    bool m_hasMembers = false;
    std::set<daemon_id> m_live;
    std::map<daemon_id, time_point> m_missingSince;
};

} // namespace azurehill
