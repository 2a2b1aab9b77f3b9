#include "ownership/ownership_history.h"

#include "ownership/placement.h"

#include <algorithm>

namespace azurehill {

namespace {

constexpr std::size_t maxHistoryViews = 64;

} // namespace

void ownership_history::onView(const cell_view &view)
{
    if (!m_views.empty() && view.number != m_views.back().number + 1)
        m_views.clear();
    m_views.push_back(view);
    if (m_views.size() > maxHistoryViews)
        m_views.pop_front();
}

bool ownership_history::covers(fencing_number number) const
{
    return !m_views.empty() && m_views.front().number <= number && number <= m_views.back().number;
}

bool ownership_history::owns(const cell_view &view, const program_id &program) const
{
    const member *owner = ownerOf(view, program);
    return owner && owner->daemon == m_self && owner->incarnation == m_incarnation;
}

bool ownership_history::ownedSince(const program_id &program, fencing_number number) const
{
    return covers(number) && std::all_of(m_views.begin(), m_views.end(), [&](const cell_view &v) {
               return v.number < number || owns(v, program);
           });
}

bool ownership_history::canOwn(const cell_view &view) const
{
    const member *me = view.find(m_self);
    return me && me->incarnation == m_incarnation && acceptsPrograms(*me);
}

bool ownership_history::mayGain(const cell_view &from, const cell_view &to) const
{
    if (!canOwn(to))
        return false;
    if (!canOwn(from))
        return true;
    for (const member &before : from.members) {
        if (before.daemon == m_self)
            continue;
        const member *after = to.find(before.daemon);
        if (acceptsPrograms(before) && (!after || !acceptsPrograms(*after)))
            return true;
        for (const program_id &kept : before.keeps) {
            if (owns(to, kept))
                return true;
        }
    }
    return false;
}

bool ownership_history::mayHaveGainedSince(fencing_number number) const
{
    if (!covers(number))
        return true;
    for (std::size_t i = 1; i < m_views.size(); ++i) {
        if (m_views[i].number > number && mayGain(m_views[i - 1], m_views[i]))
            return true;
    }
    return false;
}

} // namespace azurehill
