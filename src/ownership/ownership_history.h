#pragma once

#include "ownership/cell_view.h"

#include <deque>

namespace azurehill {

/// \brief The last views of a cell as this daemon saw them, and what they say of its programs.
///
/// A daemon can lose a program and regain it between two reads of the view. Its own memory of the
/// program is then old, though the newest view names it the owner. So "still mine" always means:
/// in each view since, without one missing.
class ownership_history
{
public:
    ownership_history(daemon_id self, std::string incarnation)
        : m_self(std::move(self)), m_incarnation(std::move(incarnation))
    { }

    /// \brief Takes in a view that this daemon adopted; numbers grow.
    void onView(const cell_view &view);
    /// \returns whether this daemon owned \p program in every view from \p number on.
    bool ownedSince(const program_id &program, fencing_number number) const;
    /// \returns whether this daemon may own a program now that it did not hold ever since view
    /// \p number. If not, nothing need be read from the journals.
    bool mayHaveGainedSince(fencing_number number) const;

private:
    bool covers(fencing_number number) const;
    bool owns(const cell_view &view, const program_id &program) const;
    bool canOwn(const cell_view &view) const;
    bool mayGain(const cell_view &from, const cell_view &to) const;

    daemon_id m_self;
    std::string m_incarnation;
    /// Views with consecutive numbers, the newest last.
    std::deque<cell_view> m_views;
};

} // namespace azurehill
